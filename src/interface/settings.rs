//! Settings of the decision module.
use super::Nanos;

/// How often a message may take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Repeating it is harmless.
    Idempotent,
    /// Repeats are dropped for `window` from the first send that may have run, by the endpoints of `scope`.
    IdempotentByKey {
        /// Which endpoints drop repeats.
        scope: IdempotencyScope,
        /// For how long.
        window: Nanos,
    },
    /// It must never take effect twice.
    AtMostOnce,
}

/// The endpoints of a destination that drop repeats of a message with an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdempotencyScope {
    /// All of them.
    AllEndpoints,
    /// Those in the zone of the endpoint that may have run it.
    SameZone,
}

/// How a message's value decays once its latency objective has passed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ValueDecay {
    /// Evenly, to the late share at the deadline.
    #[default]
    Linear,
    /// By half with each further latency objective, not below the late share.
    Halving,
}

/// A class of message.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Full value when delivered within this time.
    pub latency_objective: Nanos,
    /// Given up after this time.
    pub deadline: Nanos,
    /// Full value, in points.
    pub priority_weight: f64,
    /// Share of the value left at the deadline.
    pub late_weight_share: f64,
    /// How often it may take effect.
    pub effect: Effect,
    /// Messages that share a key are sent one at a time, in the order of arrival; those without a key are
    /// free.
    pub fifo_by_key: bool,
}

/// A kind of endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointKind {
    /// The endpoints of a destination are separate routes: each has its own limit, waits, pace and outages.
    pub separate_routes: bool,
    /// Messages that one call carries at most.
    pub max_batch: usize,
}

/// What the rates of the endpoint list mean.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ListedRates {
    /// No rate is listed.
    #[default]
    Absent,
    /// Calls a second that the destination (or separate route) takes from all forwarders together.
    Nominal,
    /// The same, but only roughly.
    Approximate,
}

/// Settings of a forwarder, fixed at its start. A deployment without a feature leaves its field empty or
/// zero, as the default does for all.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// Calls in flight at most.
    pub slots: usize,
    /// Messages that are owed an answer at most, in flight or not.
    pub max_pending: usize,
    /// Attempts of one message at most.
    pub max_attempts: u32,
    /// Forwarders in this deployment.
    pub forwarders: usize,
    /// Shortest time between two rounds.
    pub tick: Nanos,
    /// Classes of message.
    pub classes: Vec<Class>,
    /// Kinds of endpoint.
    pub kinds: Vec<EndpointKind>,
    /// How a message's value decays.
    pub value_decay: ValueDecay,
    /// Calls a second of each tenant's agreed quota, over all forwarders; empty without tenants.
    pub tenant_quota: Vec<f64>,
    /// Value of traffic beyond a quota, as a share of the usual.
    pub over_quota_weight: f64,
    /// This forwarder's zone.
    pub zone: usize,
    /// Points for a message that a separate route in each zone takes on.
    pub route_fee: Vec<f64>,
    /// Points for an attempt that crosses zones.
    pub cross_fee: f64,
    /// Points for a new connection.
    pub handshake_fee: f64,
    /// Idle connections close after this time.
    pub connection_idle_timeout: Nanos,
    /// Calls that one connection carries at once.
    pub streams_per_connection: u32,
    /// Longest Retry-After that clients obey; none: a rejection carries no Retry-After.
    pub retry_after: Option<Nanos>,
    /// Attempts may be cancelled.
    pub may_cancel: bool,
    /// The endpoint list comes on request only, and must be requested at least this often.
    pub poll_interval: Option<Nanos>,
    /// Answers report their destination's limit, where it has one.
    pub limits_reported: bool,
    /// What the rates of the endpoint list mean.
    pub listed_rates: ListedRates,
    /// Share of its capacity that a destination has at least when it returns from an outage.
    pub cold_capacity_share: f64,
    /// Time after which it has all of its capacity.
    pub warm_up: Nanos,
    /// Multiple of its present capacity beyond which a returning destination fails again,
    pub overload_multiple: f64,
    /// if calls arrive at that rate for this long.
    pub overload_window: Nanos,
    /// An ordering key's pause after an attempt that may still run; zero where none is needed.
    pub ordering_pause: Nanos,
}
