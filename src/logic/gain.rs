//! The periodic review: gains of destinations that missed the latency objective, rates, and removal of unused
//! records.
use super::tuning::*;
use super::Balancer;
use crate::interface::*;
use crate::state::*;

impl EndpointRecord {
    /// Ends a completed slow start, lets the loss shares of classes decay and resets the connection count
    /// after the idle timeout.
    /// Returns whether a slow start has ended.
    fn review(&mut self, now: Nanos, settings: &Settings) -> bool {
        let is_warm = self.end_slow_start(now, settings.warm_up);
        for share in self.class_loss.values_mut() {
            *share *= REVIEW_KEEP;
        }
        if now - self.used_at >= settings.connection_idle_timeout {
            self.connections = self.calls;
        }
        is_warm
    }
}

impl DestinationQueue {
    /// Updates rates and ARR's gain. Returns `true` if the gain rose. Departure from the design: only the
    /// wait that this forwarder could have avoided counts. Otherwise a slow destination would miss the
    /// objective because of its own latency and keep the highest priority permanently.
    fn review(&mut self, now: Nanos, latency_objective: f64) -> bool {
        self.served_rate += SERVED_RATE_GAIN * (f64::from(self.served_since_review) - self.served_rate);
        self.demand *= 1.0 - DEMAND_GAIN;
        let missed = self.sent_since_review > 0
            && self.total_wait_secs / f64::from(self.sent_since_review)
                > latency_objective * OBJECTIVE_WAIT_SHARE;
        if missed {
            self.extra_gain += GAIN_STEP;
        } else {
            self.extra_gain *= REVIEW_KEEP;
        }
        self.total_wait_secs = 0.0;
        self.sent_since_review = 0;
        self.served_since_review = 0;
        if now - self.last_sent_at > IDLE_DESTINATION_RESET_AFTER
            && self.calls == 0
            && self.pending.is_empty()
        {
            self.dispatched = 0.0;
            self.promoted = 0.0;
            self.extra_gain = 0.0;
        }
        missed
    }
}

impl Balancer {
    /// Requests the endpoint list when it is due, and reviews endpoints and destinations once per interval.
    pub(super) fn review(&mut self) {
        if self.watch_at.take_if(|at| *at <= self.now).is_some() {
            self.actions.push(Action::WatchEndpointList);
        }
        if self.now < self.next_review_at {
            return;
        }
        self.next_review_at = self.now + REVIEW_INTERVAL;
        self.review_endpoints();
        self.review_gains();
        self.forget_unused();
    }

    /// Reviews endpoints, and drops the records of removed endpoints.
    fn review_endpoints(&mut self) {
        let mut warm = Vec::new();
        for (id, endpoint) in &mut self.endpoints {
            if endpoint.review(self.now, &self.settings) {
                warm.push(*id);
            }
        }
        for id in warm {
            self.report_health(id, HealthReason::WarmedUp);
        }
        // Keeps the table small when many endpoints are added and removed in a day.
        self.endpoints.retain(|_, endpoint| !endpoint.removed || endpoint.calls > 0);
        let endpoints = &self.endpoints;
        self.routes.retain(|(_, endpoint), _| endpoint.is_none_or(|id| endpoints.contains_key(&id)));
        self.idle_limit_secs = self.idle_limit_secs.map(|limit| limit * IDLE_LIMIT_GROWTH);
    }

    /// ARR: a missed objective raises the gain and resets all dispatch counters. Gains are halved together
    /// once one exceeds the maximum.
    fn review_gains(&mut self) {
        let objective = self.settings.shortest_objective_secs();
        let mut missed = false;
        for destination in self.destinations.values_mut() {
            missed |= destination.review(self.now, objective);
        }
        let too_high =
            self.destinations.values().any(|queue| queue.extra_gain > MAX_GAIN_FACTOR * INITIAL_GAIN);
        if !missed && !too_high {
            return;
        }
        for destination in self.destinations.values_mut() {
            destination.dispatched = 0.0;
            if too_high {
                destination.extra_gain /= 2.0;
            }
        }
    }

    /// Drops the records of endpoints, destinations and ordering keys that are no longer in use.
    fn forget_unused(&mut self) {
        let endpoints = &self.endpoints;
        let in_use = |id: &EndpointId| endpoints.get(id).is_some_and(|e| e.listed || e.calls > 0);
        for destination in self.destinations.values_mut() {
            destination.endpoints.retain(in_use);
        }
        self.destinations
            .retain(|_, queue| !queue.endpoints.is_empty() || !queue.pending.is_empty() || queue.calls > 0);
        let now = self.now;
        self.ordering_keys
            .retain(|_, key| !key.queue.is_empty() || key.in_flight > 0 || key.paused_until > now);
    }
}
