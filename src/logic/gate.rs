//! The send gate: the conditions that every send must meet, including retries and trials.
use super::tuning::*;
use super::Balancer;
use crate::interface::*;
use crate::state::*;

impl Balancer {
    /// Returns whether a send may still start as decided. The forwarder calls this once the connection is
    /// established, because a connect can take long enough for a wait, a drain or an outage to begin in the
    /// meantime. Ordering and tokens are not checked again, because the decision to send has already reserved
    /// the place in the order and taken the token.
    pub fn may_still_send(&self, now: Nanos, id: MessageId) -> bool {
        let Some(message) = self.messages.get(&id) else { return false };
        if message.answered || message.deadline <= now {
            return false;
        }
        let Some(attempt) = message.in_flight.filter(|attempt| !attempt.cancelled) else { return false };
        let Some(endpoint) = self.endpoints.get(&attempt.endpoint) else { return false };
        let breaker_allows = match endpoint.breaker {
            CircuitBreaker::Closed => endpoint.consecutive_unanswered == 0 || endpoint.trial == Some(id),
            CircuitBreaker::Open { .. } => endpoint.trial == Some(id),
            CircuitBreaker::SlowStart { since } => since <= attempt.sent_at,
        };
        let route_is_blocked =
            self.routes.get(&endpoint.route).is_none_or(|route| now < route.blocked_until());
        let class = &self.settings.classes[message.class];
        endpoint.listed
            && breaker_allows
            && !route_is_blocked
            && message.may_retry(class, now, Some(endpoint.zone))
    }

    /// Returns whether an endpoint of the destination is slow, failing or in an outage.
    fn is_unhealthy(&self, destination: &DestinationQueue) -> bool {
        let mut endpoints = destination.endpoints.iter().filter_map(|id| self.endpoints.get(id));
        endpoints.any(EndpointRecord::is_unhealthy)
    }

    /// Returns the maximum number of slots for a destination. Departure from the design: slow and failing
    /// destinations share their half of the slots, so that several of them together still leave slots to the
    /// healthy ones.
    pub(super) fn slot_cap(&self, destination: &DestinationQueue) -> usize {
        let slots = self.settings.slots as f64;
        if !self.is_unhealthy(destination) {
            let share = (slots * HEALTHY_SLOT_SHARE).ceil() as usize;
            return share.saturating_sub(1).max(1);
        }
        let unhealthy = self.active_destinations().map(|(_, other)| other);
        let unhealthy = unhealthy.filter(|other| other.calls > 0 && self.is_unhealthy(other));
        let calls_to_unhealthy: usize = unhealthy.map(|other| other.calls).sum();
        let calls_of_others = calls_to_unhealthy - destination.calls;
        ((slots * UNHEALTHY_SLOT_SHARE) as usize).saturating_sub(calls_of_others).max(1)
    }

    /// Returns the endpoints of a destination to which a call may start now.
    pub(super) fn open_endpoints(&self, destination: &DestinationQueue) -> Vec<EndpointId> {
        let slot_free = self.calls.len() < self.settings.slots;
        if !slot_free || destination.calls >= self.slot_cap(destination) {
            return Vec::new();
        }
        destination.endpoints.iter().copied().filter(|id| self.endpoint_allows(*id)).collect()
    }

    /// Returns whether a destination could send a message if a slot were free.
    pub(super) fn needs_only_a_slot(&self, destination: &DestinationQueue) -> bool {
        if destination.calls >= self.slot_cap(destination) {
            return false;
        }
        destination.endpoints.iter().any(|endpoint| {
            destination.pending.unblocked().any(|id| self.message_allows(id, *endpoint))
                && self.endpoint_allows(*endpoint)
        })
    }

    /// Returns whether a call to this endpoint may start now.
    fn endpoint_allows(&self, id: EndpointId) -> bool {
        let Some(endpoint) = self.endpoints.get(&id) else { return false };
        let Some(route) = self.routes.get(&endpoint.route) else { return false };
        let has_capacity = endpoint.capacity.is_none_or(|calls| f64::from(endpoint.calls) < calls.floor());
        let has_token = route.rate().is_none() || route.bucket.level >= 1.0;
        !self.paused
            && endpoint.listed
            && self.breaker_allows(endpoint)
            && self.now >= endpoint.full_until
            && has_capacity
            && self.now >= route.blocked_until()
            && has_token
    }

    /// Returns whether the circuit breaker and a suspicion, if any, allow a call now.
    fn breaker_allows(&self, endpoint: &EndpointRecord) -> bool {
        let has_permit = endpoint.has_permit(self.now);
        match endpoint.breaker {
            CircuitBreaker::Closed if endpoint.suspicion.is_none() => true,
            CircuitBreaker::Closed => {
                has_permit && (endpoint.consecutive_unanswered == 0 || endpoint.trial.is_none())
            }
            CircuitBreaker::Open { next_trial, .. } => {
                has_permit && endpoint.trial.is_none() && self.now >= next_trial
            }
            CircuitBreaker::SlowStart { .. } => has_permit,
        }
    }

    /// Returns whether this message may be sent to this endpoint now, provided that a call to the endpoint
    /// may start.
    pub(super) fn message_allows(&self, id: MessageId, endpoint: EndpointId) -> bool {
        let Some(message) = self.messages.get(&id) else { return false };
        let Some(endpoint) = self.endpoints.get(&endpoint) else { return false };
        let class = &self.settings.classes[message.class];
        endpoint.dest == message.dest
            && message.in_flight.is_none()
            && !message.answered
            && message.attempts < self.settings.max_attempts
            && message.deadline > self.now
            && message.may_retry(class, self.now, Some(endpoint.zone))
            && self.ordering_allows(id, message)
    }

    /// Returns whether the ordering key allows the message to be sent. The key's pause does not delay a
    /// retry, because the pause protects the very message that is retried.
    fn ordering_allows(&self, id: MessageId, message: &PendingMessage) -> bool {
        let Some(key) = message.key.and_then(|key| self.ordering_keys.get(&key)) else { return true };
        key.is_next(id) && (message.attempts > 0 || self.now >= key.paused_until)
    }

    /// Returns the maximum number of messages in a call to this endpoint.
    pub(super) fn max_batch(&self, endpoint: EndpointId) -> usize {
        let Some(endpoint) = self.endpoints.get(&endpoint) else { return 1 };
        self.settings.kinds.get(endpoint.kind).map_or(1, |kind| kind.max_batch.max(1))
    }
}
