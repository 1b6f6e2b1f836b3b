//! The state of an endpoint: its list entry, latency, failures, circuit breaker and connections.
use super::{CallPermits, RouteKey, Suspicion, SuspicionCause};
use crate::interface::*;
use std::collections::BTreeMap;

/// Circuit breaker of an endpoint.
#[derive(Clone, Copy, Default, PartialEq)]
pub(crate) enum CircuitBreaker {
    /// Calls are sent without restriction, unless the endpoint is suspected.
    #[default]
    Closed,
    /// Outage: only trial calls are sent.
    Open {
        /// Start of the outage.
        since: Nanos,
        /// Earliest time of the next trial call.
        next_trial: Nanos,
        /// Calls may disappear or be processed in part rather than be rejected.
        may_lose_calls: bool,
    },
    /// Slow start after an outage: calls are sent at a limited rate.
    SlowStart {
        /// Time of the first served call.
        since: Nanos,
    },
}

/// Latency estimate in seconds; all fields are zero before the first sample.
#[derive(Clone, Copy, Default)]
pub(crate) struct Latency {
    /// Moving mean.
    pub mean: f64,
    /// Moving mean deviation.
    pub deviation: f64,
    /// Lowest moving mean seen.
    pub lowest_mean: f64,
}

/// A call that was lost on a connection that had been idle.
#[derive(Clone, Copy)]
pub(crate) struct IdleLoss {
    /// Time of the loss.
    pub at: Nanos,
    /// Time in seconds that the connection had been idle.
    pub idle_secs: f64,
}

/// The state of an endpoint.
#[derive(Default)]
pub(crate) struct EndpointRecord {
    /// Destination of the endpoint.
    pub dest: DestinationId,
    /// Zone of the endpoint.
    pub zone: usize,
    /// Kind of the endpoint, an index into the settings' list.
    pub kind: usize,
    /// Route whose limits apply to the endpoint.
    pub route: RouteKey,
    /// Whether the endpoint list allows messages to be sent to the endpoint.
    pub listed: bool,
    /// Removed from the list; the record is dropped after the last call in flight has ended.
    pub removed: bool,
    /// Listed rate in calls per second.
    pub listed_rate: f64,
    /// Number of calls in flight.
    pub calls: u32,
    /// Latency estimate.
    pub latency: Latency,
    /// Time of the last response.
    pub last_response_at: Nanos,
    /// Time at which a call to the endpoint last started or ended.
    pub used_at: Nanos,
    /// Estimated number of open connections to the endpoint.
    pub connections: u32,
    /// Number of concurrent calls that the endpoint accepts; `None` until it rejects a call for lack of
    /// connections.
    pub capacity: Option<f64>,
    /// Time until which no call is sent, because the endpoint had no free connection at all.
    pub full_until: Nanos,
    /// Consecutive calls rejected for lack of connections while no other call was in flight.
    pub consecutive_full_rejections: u32,
    /// The last call that was lost on an idle connection, until its cause is known.
    pub idle_loss: Option<IdleLoss>,
    /// Time in seconds that the connection of the last call had been idle.
    pub connection_idle_secs: f64,
    /// Consecutive unanswered calls.
    pub consecutive_unanswered: u32,
    /// Moving share of calls that fail.
    pub failure_share: f64,
    /// Moving share of lost calls, for each class that has lost calls here.
    pub class_loss: BTreeMap<usize, f64>,
    /// State of the circuit breaker.
    pub breaker: CircuitBreaker,
    /// First message of the trial call in flight.
    pub trial: Option<MessageId>,
    /// Permits for calls while the endpoint is not healthy, unless it may only be at its limit.
    pub permits: CallPermits,
    /// Suspected of an outage; `None` if its last call was served and its route is in no outage.
    pub suspicion: Option<Suspicion>,
    /// Consecutive failed and rejected calls.
    pub failed_calls: u32,
    /// Time at which a call was last served; `None` before the first one.
    pub last_served_at: Option<Nanos>,
    /// Calls per second allowed while the endpoint is not healthy.
    pub limited_rate: f64,
    /// Time of the last outcome that this forwarder itself received from the endpoint.
    pub local_outcome_at: Option<Nanos>,
    /// Time of the first local outcome from which the breaker's state has been based on local outcomes
    /// without interruption.
    pub local_since: Nanos,
    /// Whether the breaker's state comes from a peer's observation.
    pub breaker_from_peer: bool,
    /// Whether the capacity comes from a peer's observation.
    pub capacity_from_peer: bool,
    /// Whether the latency estimate comes from a peer's observation.
    pub latency_from_peer: bool,
}

impl EndpointRecord {
    /// Returns the earliest time of the next call if the breaker or a suspicion limits calls, or `None` if
    /// neither does.
    pub fn next_call(&self, now: Nanos) -> Option<Nanos> {
        if self.may_be_at_limit(now) {
            return None;
        }
        let permit = self.permits.next(now, self.limited_rate);
        match self.breaker {
            CircuitBreaker::Closed => self.suspicion.map(|_| permit),
            CircuitBreaker::Open { next_trial, .. } => Some(next_trial.max(permit)),
            CircuitBreaker::SlowStart { .. } => Some(permit),
        }
    }

    /// Returns the health of the endpoint.
    pub fn health(&self) -> EndpointHealth {
        match self.breaker {
            CircuitBreaker::Open { .. } => EndpointHealth::Outage,
            // A call that failed in a slow start may belong to another outage.
            _ if self.suspicion.is_some() => EndpointHealth::Suspected,
            CircuitBreaker::Closed => EndpointHealth::Healthy,
            CircuitBreaker::SlowStart { .. } => EndpointHealth::SlowStart,
        }
    }

    /// Returns whether the endpoint is suspected because calls were rejected, and none failed.
    pub fn is_suspected_after_rejections(&self) -> bool {
        self.suspicion.is_some_and(|suspicion| suspicion.cause == SuspicionCause::Rejection)
    }

    /// Returns whether the endpoint is suspected only because it rejected calls, as it does at a limit.
    pub fn may_be_at_limit(&self, now: Nanos) -> bool {
        self.breaker == CircuitBreaker::Closed
            && self.suspicion.is_some_and(|suspicion| suspicion.may_be_at_limit(now))
    }

    /// Returns whether a call may start although the endpoint is not healthy.
    pub fn has_permit(&self, now: Nanos) -> bool {
        self.may_be_at_limit(now) || self.permits.is_granted()
    }

    /// Returns what allows a call although the endpoint is not healthy.
    pub fn call_allowance(&self, now: Nanos) -> CallAllowance {
        match self.may_be_at_limit(now) {
            true => CallAllowance::AtLimit,
            false if self.permits.is_second_call() => CallAllowance::SecondCall,
            false => CallAllowance::Permit,
        }
    }

    /// Clears the trial if this message carries it.
    pub fn end_trial(&mut self, id: MessageId) {
        if self.trial == Some(id) {
            self.trial = None;
        }
    }
}
