//! The timer: requests a wake-up for the next round.
use super::Balancer;
use crate::interface::*;
use crate::state::*;

impl Balancer {
    /// Requests a wake-up at the earliest time at which a decision may change, unless an earlier one is
    /// already requested.
    pub(super) fn arm_timer(&mut self) {
        let mut earliest = Earliest { after: self.now, time: None };
        self.add_regular_times(&mut earliest);
        self.add_attempt_times(&mut earliest);
        self.add_send_times(&mut earliest);
        let Some(time) = earliest.time else { return };
        let due = time.max(self.now + self.settings.tick);
        if self.timer.is_none_or(|timer| due < timer) {
            self.timer = Some(due);
            self.actions.push(Action::WakeAt(due));
        }
    }

    /// Adds the times of the endpoint list request, the review, the deadlines of pending messages and the
    /// idle connections.
    fn add_regular_times(&self, earliest: &mut Earliest) {
        earliest.extend(self.watch_at);
        if self.open_messages > 0 {
            earliest.add(self.next_review_at);
        }
        if let Some((deadline, _)) = self.deadlines.first() {
            earliest.add(*deadline - self.deadline_margin());
        }
        for endpoint in self.idle_checks.iter().filter_map(|id| self.endpoints.get(id)) {
            earliest.add(endpoint.used_at + endpoint.latency.mean);
        }
    }

    /// Adds the deadlines and response timeouts of attempts in flight.
    fn add_attempt_times(&self, earliest: &mut Earliest) {
        for message in self.in_flight.iter().filter_map(|id| self.messages.get(id)) {
            let Some(attempt) = message.in_flight else { continue };
            let endpoint = self.endpoints.get(&attempt.endpoint);
            let response_timeout_secs = endpoint.map_or(0.0, EndpointRecord::response_timeout_secs);
            earliest.add(message.deadline);
            earliest.add(attempt.sent_at + response_timeout_secs + self.deadline_margin());
        }
    }

    /// Adds the times at which waits, trials, tokens and pauses allow the next send.
    fn add_send_times(&self, earliest: &mut Earliest) {
        for (_, destination) in self.active_destinations().filter(|(_, queue)| !queue.pending.is_empty()) {
            for endpoint in destination.endpoints.iter().filter_map(|id| self.endpoints.get(id)) {
                earliest.extend(endpoint.next_call(self.now));
                earliest.add(endpoint.full_until);
                earliest.extend(self.routes.get(&endpoint.route).map(|route| route.next_call(self.now)));
            }
        }
        if self.settings.ordering_pause > Nanos(0) {
            let waiting = self.ordering_keys.values().filter(|key| !key.queue.is_empty());
            earliest.extend(waiting.map(|key| key.paused_until));
        }
    }
}

/// The earliest of several future times.
struct Earliest {
    /// Times up to this one are in the past and ignored.
    after: Nanos,
    /// The earliest time added so far.
    time: Option<Nanos>,
}

impl Earliest {
    /// Adds a time.
    fn add(&mut self, time: Nanos) {
        if time > self.after && self.time.is_none_or(|earliest| time < earliest) {
            self.time = Some(time);
        }
    }

    /// Adds several times.
    fn extend(&mut self, times: impl IntoIterator<Item = Nanos>) {
        for time in times {
            self.add(time);
        }
    }
}
