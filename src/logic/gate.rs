//! The send gate: every send passes here, retries and trials included.
use super::tuning::*;
use super::Balancer;
use crate::interface::*;
use crate::state::*;

impl Balancer {
    /// Whether a send may still start as it was decided; asked once its connection stands. Guards waits,
    /// drains and trials against a connect that took long: what happened since counts. Its turn and its token
    /// it has.
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

    /// Whether one of its endpoints is slow, failing or in an outage.
    fn is_unhealthy(&self, destination: &DestinationQueue) -> bool {
        let mut endpoints = destination.endpoints.iter().filter_map(|id| self.endpoints.get(id));
        endpoints.any(EndpointRecord::is_unhealthy)
    }

    /// Slots that a destination may hold. Departure from the design: slow and failing ones share their half,
    /// so that several at once leave slots to the healthy ones.
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

    /// Endpoints of a destination that a call may start to now.
    pub(super) fn open_endpoints(&self, destination: &DestinationQueue) -> Vec<EndpointId> {
        let slot_free = self.calls.len() < self.settings.slots;
        if !slot_free || destination.calls >= self.slot_cap(destination) {
            return Vec::new();
        }
        destination.endpoints.iter().copied().filter(|id| self.endpoint_allows(*id)).collect()
    }

    /// Whether a destination could send a message if a slot were free.
    pub(super) fn needs_only_a_slot(&self, destination: &DestinationQueue) -> bool {
        if destination.calls >= self.slot_cap(destination) {
            return false;
        }
        destination.endpoints.iter().any(|endpoint| {
            destination.pending.unblocked().any(|id| self.message_allows(id, *endpoint))
                && self.endpoint_allows(*endpoint)
        })
    }

    /// Whether a call to this endpoint may start now.
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

    /// Whether the circuit breaker, or a suspicion, lets a call go now.
    fn breaker_allows(&self, endpoint: &EndpointRecord) -> bool {
        let has_token = endpoint.bucket.level >= 1.0;
        match endpoint.breaker {
            CircuitBreaker::Closed if !endpoint.suspected => true,
            CircuitBreaker::Closed => {
                has_token && (endpoint.consecutive_unanswered == 0 || endpoint.trial.is_none())
            }
            CircuitBreaker::Open { next_trial, .. } => {
                has_token && endpoint.trial.is_none() && self.now >= next_trial
            }
            CircuitBreaker::SlowStart { .. } => has_token,
        }
    }

    /// Whether this message may go to this endpoint now, if a call may.
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

    /// A retry is not held back by its key's pause: it is the attempt that the pause is for.
    fn ordering_allows(&self, id: MessageId, message: &PendingMessage) -> bool {
        let Some(key) = message.key.and_then(|key| self.ordering_keys.get(&key)) else { return true };
        key.is_next(id) && (message.attempts > 0 || self.now >= key.paused_until)
    }

    /// Messages that a call to this endpoint carries at most.
    pub(super) fn max_batch(&self, endpoint: EndpointId) -> usize {
        let Some(endpoint) = self.endpoints.get(&endpoint) else { return 1 };
        self.settings.kinds.get(endpoint.kind).map_or(1, |kind| kind.max_batch.max(1))
    }
}
