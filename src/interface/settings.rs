//! Settings of the decision module.
use super::Nanos;

/// How often a message may take effect at its destination.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Repeated delivery is harmless.
    Idempotent,
    /// The endpoints of `scope` drop repeated deliveries for `window`, counted from the first send that may
    /// have run.
    IdempotentByKey {
        /// The endpoints that drop repeats.
        scope: IdempotencyScope,
        /// Duration of the idempotency window.
        window: Nanos,
    },
    /// The message must never take effect twice.
    AtMostOnce,
}

/// The endpoints of a destination that drop repeated deliveries of a message with an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdempotencyScope {
    /// All endpoints of the destination.
    AllEndpoints,
    /// The endpoints in the zone of the endpoint that may have run the message.
    SameZone,
}

/// How the value of a message decays after its latency objective has passed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ValueDecay {
    /// Linearly, down to the late share at the deadline.
    #[default]
    Linear,
    /// By half with each further latency objective, but not below the late share.
    Halving,
}

/// A class of messages.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Latency objective: a message delivered within this time has its full value.
    pub latency_objective: Nanos,
    /// Time after which delivery is given up.
    pub deadline: Nanos,
    /// Full value of a message, in points.
    pub priority_weight: f64,
    /// Share of the value that is left at the deadline.
    pub late_weight_share: f64,
    /// How often a message may take effect.
    pub effect: Effect,
    /// Messages that share a key are sent one at a time, in the order of arrival. Messages without a key are
    /// not ordered.
    pub fifo_by_key: bool,
}

/// A kind of endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointKind {
    /// Each endpoint of a destination is a separate route with its own limit, waits, pace and outages.
    pub separate_routes: bool,
    /// Maximum number of messages in one call.
    pub max_batch: usize,
}

/// Meaning of the rates in the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ListedRates {
    /// The list contains no rates.
    #[default]
    Absent,
    /// Calls per second that the destination (or separate route) accepts from all forwarders together.
    Nominal,
    /// Like `Nominal`, but only an approximation.
    Approximate,
}

/// Settings of a forwarder, fixed at its start. A field is empty or zero in a deployment without the feature,
/// as in the default value.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// Maximum number of calls in flight.
    pub slots: usize,
    /// Maximum number of messages without a final answer, pending or in flight.
    pub max_pending: usize,
    /// Maximum number of attempts of one message.
    pub max_attempts: u32,
    /// Number of forwarders in this deployment.
    pub forwarders: usize,
    /// Shortest time between two rounds.
    pub tick: Nanos,
    /// Classes of messages.
    pub classes: Vec<Class>,
    /// Kinds of endpoint.
    pub kinds: Vec<EndpointKind>,
    /// How the value of a message decays.
    pub value_decay: ValueDecay,
    /// Agreed quota of each tenant in calls per second, over all forwarders; empty without tenants.
    pub tenant_quota: Vec<f64>,
    /// Value of traffic over a tenant's quota, as a share of its usual value.
    pub over_quota_weight: f64,
    /// Zone of this forwarder.
    pub zone: usize,
    /// Cost in points, by zone, of a message that a separate route accepts.
    pub route_fee: Vec<f64>,
    /// Cost in points of an attempt that crosses zones.
    pub cross_fee: f64,
    /// Cost in points of a new connection.
    pub handshake_fee: f64,
    /// Time after which an idle connection is closed.
    pub connection_idle_timeout: Nanos,
    /// Maximum number of concurrent calls on one connection.
    pub streams_per_connection: u32,
    /// Longest Retry-After that clients obey; `None` if rejections carry no Retry-After.
    pub retry_after: Option<Nanos>,
    /// Attempts in flight may be cancelled.
    pub may_cancel: bool,
    /// Maximum interval between requests for the endpoint list, if the list is only sent on request;
    /// `None` if it is pushed.
    pub poll_interval: Option<Nanos>,
    /// Responses report the limit of their destination, if it has one.
    pub limits_reported: bool,
    /// Meaning of the rates in the endpoint list.
    pub listed_rates: ListedRates,
    /// Minimum share of its capacity that a destination has when it returns from an outage.
    pub cold_capacity_share: f64,
    /// Time after which a returning destination has its full capacity.
    pub warm_up: Nanos,
    /// Multiple of its current capacity above which a returning destination fails again, if calls arrive at
    /// that rate for `overload_window`.
    pub overload_multiple: f64,
    /// Time for which a returning destination tolerates calls above `overload_multiple`.
    pub overload_window: Nanos,
    /// Pause of an ordering key after an attempt that may still run; zero if no pause is needed.
    pub ordering_pause: Nanos,
}
