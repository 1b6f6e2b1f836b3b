//! What is known of an endpoint: the list's entry, latency, failures, circuit breaker and connections.
use super::{RouteKey, TokenBucket};
use crate::interface::*;
use std::collections::BTreeMap;

/// Circuit breaker of an endpoint.
#[derive(Clone, Copy, Default, PartialEq)]
pub(crate) enum CircuitBreaker {
    /// Calls go as usual.
    #[default]
    Closed,
    /// Outage: only trial calls go.
    Open {
        /// Start of the outage.
        since: Nanos,
        /// When the next trial may go.
        next_trial: Nanos,
        /// Calls may be swallowed or half done rather than rejected.
        may_lose_calls: bool,
    },
    /// Slow start after an outage.
    SlowStart {
        /// When the first call was served, or may be.
        since: Nanos,
    },
}

/// Latency estimate, in seconds; all zero before the first sample.
#[derive(Clone, Copy, Default)]
pub(crate) struct Latency {
    /// Moving mean.
    pub mean: f64,
    /// Moving mean deviation.
    pub deviation: f64,
    /// Lowest mean seen.
    pub lowest_mean: f64,
}

/// A call that was lost on a connection that had been idle.
#[derive(Clone, Copy)]
pub(crate) struct IdleLoss {
    /// When it was lost.
    pub at: Nanos,
    /// For how long the connection had been idle, in seconds.
    pub idle_secs: f64,
}

/// What is known of an endpoint.
#[derive(Default)]
pub(crate) struct EndpointRecord {
    /// Its destination.
    pub dest: DestinationId,
    /// Its zone.
    pub zone: usize,
    /// Its kind, an index into the settings' list.
    pub kind: usize,
    /// The route that its limits belong to.
    pub route: RouteKey,
    /// It may be sent to, as far as the list goes.
    pub listed: bool,
    /// Removed from the list: forgotten with its last call.
    pub removed: bool,
    /// Listed rate in calls a second.
    pub listed_rate: f64,
    /// Calls in flight.
    pub calls: u32,
    /// Latency estimate.
    pub latency: Latency,
    /// When it last answered.
    pub last_answer_at: Nanos,
    /// When a call to it last started or ended.
    pub used_at: Nanos,
    /// Connections to it, as far as the module can tell.
    pub connections: u32,
    /// Calls that it takes at once, once it has rejected one for want of connections.
    pub capacity: Option<f64>,
    /// It has capacity for no call at all until then.
    pub full_until: Nanos,
    /// Consecutive calls that it rejected for want of connections while no other was in flight.
    pub consecutive_full_rejections: u32,
    /// The last call that was lost on an idle connection, until it is explained.
    pub idle_loss: Option<IdleLoss>,
    /// For how long the connection of its last call had been idle, in seconds.
    pub connection_idle_secs: f64,
    /// Consecutive unanswered calls.
    pub consecutive_unanswered: u32,
    /// Moving share of calls that fail.
    pub failure_share: f64,
    /// Moving share of lost calls, for each class that was lost here.
    pub class_loss: BTreeMap<usize, f64>,
    /// Its circuit breaker.
    pub breaker: CircuitBreaker,
    /// The message that the trial in flight carries.
    pub trial: Option<MessageId>,
    /// Tokens for calls while it is suspected or in slow start.
    pub bucket: TokenBucket,
    /// Its last call failed, or its route is in an outage.
    pub suspected: bool,
    /// Calls a second that may go while it is suspected or in slow start.
    pub limited_rate: f64,
    /// When this forwarder last had an outcome of its own here.
    pub local_outcome_at: Option<Nanos>,
    /// The first own outcome since which the breaker is own experience.
    pub local_since: Nanos,
    /// The breaker's state is a peer's observation.
    pub breaker_from_peer: bool,
    /// The capacity is a peer's observation.
    pub capacity_from_peer: bool,
    /// The latency is a peer's observation.
    pub latency_from_peer: bool,
}

impl EndpointRecord {
    /// When a call may go next, where it is limited.
    pub fn next_call(&self, now: Nanos) -> Option<Nanos> {
        let token = self.bucket.next_token(now, self.limited_rate);
        match self.breaker {
            CircuitBreaker::Closed => self.suspected.then_some(token),
            CircuitBreaker::Open { next_trial, .. } => Some(next_trial.max(token)),
            CircuitBreaker::SlowStart { .. } => Some(token),
        }
    }

    /// Forgets the trial in flight if this message carries it.
    pub fn end_trial(&mut self, id: MessageId) {
        if self.trial == Some(id) {
            self.trial = None;
        }
    }
}
