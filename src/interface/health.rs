//! Changes of an endpoint's health, as the decision module reports them for the log.
use super::{EndpointId, Nanos};

/// Health of an endpoint as the decision module sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointHealth {
    /// Calls are sent without restriction.
    Healthy,
    /// A call failed and no other has been served since: calls are sent at a limited rate.
    Suspected,
    /// The circuit breaker is open: only trial calls are sent.
    Outage,
    /// The endpoint serves again after an outage: calls are sent at a limited rate that rises.
    SlowStart,
}

/// Why the health of an endpoint changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthReason {
    /// A call was answered with an error, rejected below the limit, or lost.
    CallFailed,
    /// Another endpoint of the route did not answer.
    RouteFailed,
    /// Another endpoint of the route rejected a call.
    RouteRejected,
    /// Consecutive calls were not answered.
    Unanswered,
    /// Most calls failed.
    FailureShare,
    /// A response told to wait for as long as an outage lasts.
    LongRetryAfter,
    /// A call was served.
    Served,
    /// A call that was sent before the outage, or soon after its start, was served: it was no outage.
    FalseAlarm,
    /// The warm-up is over.
    WarmedUp,
    /// A peer's observation or an operator's command.
    PeerObservation,
    /// The last process of this forwarder knew of an outage or a slow start.
    Restored,
}

/// A change of an endpoint's health.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HealthChange {
    /// The endpoint.
    pub host: EndpointId,
    /// Its health from now on.
    pub health: EndpointHealth,
    /// Why it changed.
    pub reason: HealthReason,
    /// Calls per second that this forwarder may send from now on; `None` if they are not limited.
    pub rate: Option<f64>,
    /// Time since the last response of the endpoint; `None` if there was none.
    pub last_response_age: Option<Nanos>,
    /// Calls per second of this forwarder that the endpoint's destination served while it was healthy.
    pub served_rate: f64,
    /// Listed rate in calls per second.
    pub listed_rate: f64,
    /// Consecutive failed and rejected calls.
    pub failed_calls: u32,
}

/// What allowed a call to an endpoint that is not healthy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallAllowance {
    /// A random permit, at the rate of a slow start.
    Permit,
    /// The call right after a single failed one.
    SecondCall,
    /// The endpoint served a call shortly before it rejected one, so it may only be at its limit.
    AtLimit,
}

/// A call to an endpoint that is not healthy.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RestrictedCall {
    /// The endpoint.
    pub host: EndpointId,
    /// Its health.
    pub health: EndpointHealth,
    /// What allowed the call.
    pub allowance: CallAllowance,
    /// Calls per second that this forwarder may send.
    pub rate: f64,
}

/// A lower pace after a rejection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PaceReduction {
    /// The endpoint that rejected a call.
    pub host: EndpointId,
    /// Retry-After of the rejection; `None` if there was none.
    pub retry_after: Option<Nanos>,
    /// Pace of the route in calls per second.
    pub pace: f64,
    /// Time until which no call may start.
    pub blocked_for: Nanos,
}
