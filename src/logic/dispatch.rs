//! Dispatch (ARR of the paper): selects the destination that fills a free slot, the message and the endpoint.
use super::tuning::*;
use super::Balancer;
use crate::interface::*;
use crate::state::*;

/// Shortest latency objective in seconds used to compute costs; it prevents a division by zero.
const MIN_OBJECTIVE_SECS: f64 = 1e-3;

/// A message that may be sent next.
struct Candidate {
    /// The message.
    id: MessageId,
    /// Value in points that the message loses if it waits until the backlog is served.
    loss: f64,
}

impl DestinationQueue {
    /// Returns (a + 1) / g of the design. δ differs from g by a factor that is the same for all destinations.
    /// The destination with the smallest ratio is served next.
    fn dispatch_ratio(&self) -> f64 {
        (self.dispatched + 1.0) / (INITIAL_GAIN + self.extra_gain)
    }
}

impl Balancer {
    /// Fills free slots, each from the destination with the smallest (a + 1) / δ.
    pub(super) fn dispatch(&mut self) {
        while self.calls.len() < self.settings.slots {
            let ready = self.active_destinations().filter(|(_, queue)| queue.ready > 0);
            let next = ready.min_by(|a, b| a.1.dispatch_ratio().total_cmp(&b.1.dispatch_ratio()));
            let Some(dest) = next.map(|(dest, _)| *dest) else { return };
            if !self.fill_slot(dest) {
                let destination = self.destination(dest);
                destination.promoted -= destination.ready as f64;
                destination.ready = 0;
            }
        }
    }

    /// Fills one slot from a destination, with the message that loses most by waiting, at the endpoint with
    /// the lowest cost. Returns `false` if the destination has no message to send.
    fn fill_slot(&mut self, dest: DestinationId) -> bool {
        let Some((first, endpoint)) = self.next_send(&self.destinations[&dest]) else { return false };
        // All messages of a call share its outcome, so a trial call carries only one.
        let trial = matches!(self.endpoints[&endpoint].breaker, CircuitBreaker::Open { .. });
        let max_batch = if trial { 1 } else { self.max_batch(endpoint) };
        let call = self.start_call(dest, endpoint, first);
        self.send(first, endpoint, call);
        for _ in 1..max_batch {
            let Some(next) = self.most_urgent(&self.destinations[&dest], endpoint) else { break };
            self.send(next.id, endpoint, call);
        }
        true
    }

    /// Returns the message that loses most by waiting, and the endpoint with the lowest cost for it.
    fn next_send(&self, destination: &DestinationQueue) -> Option<(MessageId, EndpointId)> {
        let mut best: Option<(Candidate, f64, EndpointId)> = None;
        for endpoint in self.open_endpoints(destination) {
            let Some(candidate) = self.most_urgent(destination, endpoint) else { continue };
            let cost = self.endpoint_cost(candidate.id, endpoint);
            let better = best.as_ref().is_none_or(|(other, least_cost, _)| {
                other.loss.total_cmp(&candidate.loss).then(cost.total_cmp(least_cost)).is_lt()
            });
            if better {
                best = Some((candidate, cost, endpoint));
            }
        }
        best.map(|(candidate, _, endpoint)| (candidate.id, endpoint))
    }

    /// Returns, of the messages that may be sent to this endpoint, the one that loses most by waiting, or the
    /// first of them to arrive if several lose the same.
    fn most_urgent(&self, destination: &DestinationQueue, endpoint: EndpointId) -> Option<Candidate> {
        let latency = self.endpoints.get(&endpoint).map_or(0.0, |endpoint| endpoint.latency.mean);
        let soon = self.now + latency;
        let later = soon + destination.backlog_secs();
        // The loss is not monotonic in the deadline: its turning points are where the wait ends and where the
        // latency objective passes.
        let points = |class: usize| {
            let class = &self.settings.classes[class];
            [later, soon + (class.deadline - class.latency_objective)]
        };
        let nearest = destination.pending.nearest(points, |id| self.message_allows(id, endpoint));
        let losses = nearest
            .map(|position| (self.value(&position.id, soon) - self.value(&position.id, later), position));
        let most = losses.max_by(|(loss, position), (other_loss, other)| {
            loss.total_cmp(other_loss).then(other.arrival.cmp(&position.arrival))
        });
        most.map(|(loss, position)| Candidate { id: position.id, loss })
    }

    /// Returns the expected cost in points of a send to this endpoint: lateness, fees, a new connection and
    /// failure.
    fn endpoint_cost(&self, id: MessageId, endpoint: EndpointId) -> f64 {
        let endpoint = &self.endpoints[&endpoint];
        let class = self.messages[&id].class;
        let objective = self.settings.classes[class].latency_objective.secs().max(MIN_OBJECTIVE_SECS);
        let late = endpoint.latency.mean * f64::from(endpoint.calls + 1) / objective;
        let separate_route = endpoint.route.1.is_some();
        let route_fee = if separate_route { self.settings.route_fee.get(endpoint.zone) } else { None };
        let route_fee = route_fee.copied().unwrap_or(0.0);
        let cross_fee = if endpoint.zone == self.settings.zone { 0.0 } else { self.settings.cross_fee };
        let handshake_fee =
            if endpoint.has_idle_stream(self.streams()) { 0.0 } else { self.settings.handshake_fee };
        let loss = endpoint.class_loss.get(&class).copied().unwrap_or(0.0);
        late * LATE_COST + route_fee + cross_fee + handshake_fee + loss
    }

    /// Starts a call: takes the slot, the permit and the token, and records a trial. Returns the number of
    /// the call.
    fn start_call(&mut self, dest: DestinationId, endpoint: EndpointId, first: MessageId) -> u64 {
        let now = self.now;
        // Drawn for every call, so that the sequence of random numbers does not depend on the breaker.
        let jitter = self.jitter();
        self.last_call += 1;
        self.destination(dest).calls += 1;
        self.assign_connection(endpoint);
        self.report_restricted_call(endpoint);
        let endpoint = self.endpoints.entry(endpoint).or_default();
        endpoint.permits.restart(now, &mut self.permit_random);
        endpoint.trial = Some(first).filter(|_| endpoint.consecutive_unanswered > 0);
        if let CircuitBreaker::Open { since, next_trial, .. } = &mut endpoint.breaker {
            endpoint.trial = Some(first);
            let gap = ((now - *since).secs() * TRIAL_GAP_SHARE).clamp(MIN_TRIAL_GAP_SECS, MAX_TRIAL_GAP_SECS);
            // The wait for a permit follows the gap and is a part of it.
            *next_trial = now + (gap * jitter - 1.0 / endpoint.limited_rate).max(0.0);
        }
        self.routes.entry(endpoint.route).or_default().bucket.level -= 1.0;
        self.last_call
    }

    /// Marks a message as in flight and emits its send action.
    fn send(&mut self, id: MessageId, endpoint: EndpointId, call: u64) {
        let timeout = self.attempt_timeout(endpoint, self.class_of(&id));
        let Some(message) = self.messages.get_mut(&id) else { return };
        let Some(record) = self.endpoints.get(&endpoint) else { return };
        let class = &self.settings.classes[message.class];
        let left = message.deadline - self.now;
        // An at-most-once message cannot be sent again, so a timeout before its deadline would only forfeit
        // its value.
        let timeout = if class.effect == Effect::AtMostOnce { left } else { timeout.min(left) };
        message.attempts += 1;
        message.in_flight = Some(InFlight {
            endpoint,
            class: message.class,
            sent_at: self.now,
            call,
            connection_idle_secs: record.connection_idle_secs,
            ..InFlight::default()
        });
        *self.calls.entry(call).or_default() += 1;
        if let Some(ordering_key) = message.key.and_then(|key| self.ordering_keys.get_mut(&key)) {
            ordering_key.in_flight += 1;
        }
        let (dest, arrived, now) = (message.dest, message.arrived, self.now);
        self.remove_pending(id);
        self.in_flight.insert(id);
        self.destination(dest).record_send(id, arrived, now);
        self.actions.push(Action::Send { id, host: endpoint, timeout });
    }
}
