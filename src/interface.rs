//! The module's interface: settings in, events in, actions out. No decision is taken here.

use std::ops::{Add, Sub};

/// A point in time or a length of time, in nanoseconds; points count from an arbitrary zero.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Nanos(pub u64);

impl Nanos {
    /// The value in seconds.
    pub fn secs(self) -> f64 {
        self.0 as f64 / 1e9
    }
    /// From seconds; negative or odd values give zero.
    pub fn from_secs(s: f64) -> Self {
        Nanos((s * 1e9) as u64)
    }
}

impl Add for Nanos {
    type Output = Nanos;
    fn add(self, o: Nanos) -> Nanos {
        Nanos(self.0.saturating_add(o.0))
    }
}

impl Add<f64> for Nanos {
    type Output = Nanos;
    fn add(self, secs: f64) -> Nanos {
        self + Nanos::from_secs(secs)
    }
}

impl Sub for Nanos {
    type Output = Nanos;
    fn sub(self, o: Nanos) -> Nanos {
        Nanos(self.0.saturating_sub(o.0))
    }
}

/// A message, as the caller names it. Never used twice.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MessageId(pub u64);
/// One endpoint address, as the caller numbers it. Carries no meaning.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct EndpointId(pub u32);
/// A destination: the set of hosts that a message may go to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct DestinationId(pub u64);

/// How often a message may take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Repeating it is harmless.
    Idempotent,
    /// Repeats are dropped for `window` from the first send that may have run, by the hosts of `group`.
    IdempotentByKey {
        /// Which hosts drop repeats.
        scope: IdempotencyScope,
        /// For how long.
        window: Nanos,
    },
    /// It must never take effect twice.
    AtMostOnce,
}

/// The hosts of a destination that drop repeats of a keyed message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdempotencyScope {
    /// All of them.
    AllEndpoints,
    /// Those in the zone of the host that may have run it.
    SameZone,
}

/// How worth falls once the aim has passed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ValueDecay {
    /// Evenly, to the late share at the deadline.
    #[default]
    Linear,
    /// By half with each further aim, not under the late share.
    Halving,
}

/// A class of message.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Full worth when delivered within this time.
    pub latency_objective: Nanos,
    /// Given up after this time.
    pub deadline: Nanos,
    /// Worth.
    pub priority_weight: f64,
    /// Share of the worth left at the deadline.
    pub late_weight_share: f64,
    /// Effect kind.
    pub effect: Effect,
    /// Messages that share a key go one at a time, in the order taken; those without a key are free.
    pub fifo_by_key: bool,
}

/// A kind of destination.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointKind {
    /// Its hosts are routes apart: each has its own limit, waits, pace and outages.
    pub separate_routes: bool,
    /// Most messages in one call.
    pub max_batch: usize,
}

/// What a listed rate is worth.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ListedRates {
    /// No rate is listed.
    #[default]
    Absent,
    /// Calls a second that the destination (or route apart) takes from all relays together.
    Nominal,
    /// The same, but only roughly.
    Approximate,
}

/// What a relay is told at its start. A deployment without a feature leaves its field empty or zero, as the
/// default does for all.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// Calls out at once.
    pub slots: usize,
    /// Messages held at once, sent or not.
    pub max_pending: usize,
    /// Attempts of one message at most.
    pub max_attempts: u32,
    /// Relays in this deployment.
    pub forwarders: usize,
    /// Shortest time between two batches.
    pub tick: Nanos,
    /// Classes of message.
    pub classes: Vec<Class>,
    /// Kinds of destination.
    pub kinds: Vec<EndpointKind>,
    /// How worth falls.
    pub value_decay: ValueDecay,
    /// Calls a second of each tenant's agreed share, over all relays; empty without tenants.
    pub tenant_quota: Vec<f64>,
    /// Worth of traffic past a share, as a fraction of the usual.
    pub over_quota_weight: f64,
    /// This relay's zone.
    pub zone: usize,
    /// Points for a message that a route apart in each zone takes on.
    pub route_fee: Vec<f64>,
    /// Points for an attempt that crosses zones.
    pub cross_fee: f64,
    /// Points for a new connection.
    pub handshake_fee: f64,
    /// Idle connections close after this.
    pub connection_idle_timeout: Nanos,
    /// Calls that one connection carries at once.
    pub streams_per_connection: u32,
    /// Longest wait that clients obey with a refusal; none: clients hear no wait.
    pub retry_after: Option<Nanos>,
    /// Attempts may be called off.
    pub may_cancel: bool,
    /// The list answers only when asked, and at least this often it must be.
    pub poll_interval: Option<Nanos>,
    /// Answers tell their destination's limit, where it has one.
    pub limits_reported: bool,
    /// What a listed rate holds.
    pub listed_rates: ListedRates,
    /// A returning destination has this share of its capacity or more.
    pub cold_capacity_share: f64,
    /// And all of it after this.
    pub warm_up: Nanos,
    /// Sent more than this multiple of its present capacity
    pub overload_multiple: f64,
    /// for this long, it falls over.
    pub overload_window: Nanos,
    /// A key's pause after an attempt that may still run; zero where none is asked for.
    pub ordering_pause: Nanos,
}

/// State of a listed host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// May be sent to; says nothing of health.
    Running,
    /// Nothing new may go there.
    Draining,
    /// Removed.
    Removed,
}

/// One line of the list of hosts.
#[derive(Clone, Debug)]
pub struct EndpointEntry {
    /// The host.
    pub host: EndpointId,
    /// Its zone.
    pub zone: usize,
    /// Its kind.
    pub kind: usize,
    /// Its destination.
    pub dest: DestinationId,
    /// Its state.
    pub state: EndpointState,
    /// Listed rate, see [`ListedRates`].
    pub rate: f64,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Delivered.
    Ok,
    /// The destination answered with an error; it may have run.
    Error,
    /// Turned away unseen, with the wait told, if any.
    Rejected(Option<Nanos>),
    /// No answer in time; it may have run or run yet.
    Timeout,
    /// No connection; it never ran.
    ConnectFailed,
    /// Turned away on a new connection, since the host holds no further one; it never ran.
    ConnectionLimit,
    /// The connection broke; it may have run.
    Reset,
    /// Called off; it may have run.
    Cancelled,
    /// It ran, but its answer cannot be read: that says nothing of its host.
    UnreadableAnswer,
    /// Not sent.
    Skipped,
    /// Not sent, since what it was decided on holds no longer: it counts for no attempt, and is decided anew.
    NotSent,
}

impl Outcome {
    /// Whether the host said anything.
    pub fn answered(self) -> bool {
        match self {
            Outcome::Ok
            | Outcome::Error
            | Outcome::Rejected(_)
            | Outcome::ConnectionLimit
            | Outcome::UnreadableAnswer => true,
            Outcome::Timeout | Outcome::ConnectFailed | Outcome::Reset | Outcome::Cancelled => false,
            Outcome::Skipped | Outcome::NotSent => false,
        }
    }
    /// Whether it proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        match self {
            Outcome::Rejected(_) | Outcome::ConnectFailed | Outcome::ConnectionLimit => true,
            Outcome::Skipped | Outcome::NotSent => true,
            Outcome::Ok | Outcome::Error | Outcome::Timeout | Outcome::Reset => false,
            Outcome::Cancelled | Outcome::UnreadableAnswer => false,
        }
    }
}

/// What an answer told of its destination's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadReport {
    /// Share of the limit that is left.
    pub left: f64,
    /// Calls a second that the limit allows; zero: no limit.
    pub limit: f64,
}

/// A message that was handed in.
#[derive(Clone, Copy, Debug)]
pub struct Message {
    /// Its id.
    pub id: MessageId,
    /// Its class, an index into the settings' list.
    pub class: usize,
    /// Its tenant, an index into the settings' list.
    pub tenant: usize,
    /// Its key, where the class has one.
    pub key: Option<u64>,
    /// Its destination.
    pub dest: DestinationId,
    /// It is given up at this time.
    pub deadline: Nanos,
}

/// What a message has behind it that an earlier process of this relay had taken on.
#[derive(Clone, Copy, Debug, Default)]
pub struct PriorAttempts {
    /// Attempts made.
    pub attempts: u32,
    /// When, and to a host of which zone, the first attempt that may have run was sent.
    pub first_possible_run: Option<(Nanos, usize)>,
}

/// An attempt that ended. Each send has exactly one.
#[derive(Clone, Copy, Debug)]
pub struct AttemptEnded {
    /// The message.
    pub id: MessageId,
    /// Number of the attempt, from 0.
    pub attempt: u32,
    /// How.
    pub outcome: Outcome,
    /// The message is finished; nothing more is owed.
    pub over: bool,
    /// Time since the send.
    pub took: Nanos,
    /// What the answer told of the limit.
    pub report: Option<LoadReport>,
}

/// What happened, as the relay tells it. All events of one `handle` call share its time.
#[derive(Clone, Debug)]
pub enum Event {
    /// The list of hosts: all of it, or only what changed.
    EndpointList {
        /// Hosts that are missing are gone.
        complete: bool,
        /// The lines.
        entries: Vec<EndpointEntry>,
    },
    /// Asking for the list failed, or the watch on it broke.
    EndpointListFailed,
    /// A message was handed in.
    Message(Message),
    /// A message that is still owed its end after a restart; in the order in which they were taken.
    Resumed(Message, PriorAttempts),
    /// An attempt ended.
    AttemptEnded(AttemptEnded),
    /// A destination told this relay at a host to wait, whatever became of the call that it answered. Its outcome, where
    /// it still counts, says the same once more.
    RetryAfter {
        /// The host.
        host: EndpointId,
        /// Its destination; the host may be forgotten.
        dest: DestinationId,
        /// How long nothing may be sent there.
        wait: Nanos,
    },
    /// The client has withdrawn the message.
    Withdrawn(MessageId),
    /// From now on no send can start (true), or sends can start again (false). What is out goes on.
    Paused(bool),
    /// A neighbour's word on a host. Own experience wins over it unless that is older.
    PeerObservation(Observation),
    /// The timer asked for is due.
    Due,
}

/// What the relay is to do, in this order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Call a host with a message. Sends of one reply to one host travel as one call, as far as its kind allows.
    Send {
        /// The message.
        id: MessageId,
        /// The host.
        host: EndpointId,
        /// Time-out of this attempt.
        timeout: Nanos,
    },
    /// Call off an attempt that is out; its outcome still comes.
    Cancel {
        /// The message.
        id: MessageId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Final answer: not delivered, the client may safely come again (after this time, if told).
    Reject {
        /// The message.
        id: MessageId,
        /// When to come back.
        after: Option<Nanos>,
    },
    /// Final answer: given up, nothing promised.
    Fail(MessageId),
    /// Call `handle` with [`Event::Due`] at this time.
    WakeAt(Nanos),
    /// Close this relay's idle connections to a host.
    CloseIdle(EndpointId),
    /// Watch the list of hosts.
    WatchEndpointList,
    /// A line for the operator.
    Log {
        /// What happened.
        text: &'static str,
        /// The host concerned, if one is.
        host: Option<EndpointId>,
    },
}

/// What is known of a host beside what the list says: this module's own experience, or a neighbour's. Times are spans,
/// never stamps, so that no two clocks are compared.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Finding {
    /// Calls fail there, and have for so long. `risky`: what is sent may be swallowed or half done.
    Outage {
        /// How long the outage has lasted.
        since: Nanos,
        /// Whether calls are lost rather than turned away.
        risky: bool,
    },
    /// It serves again after an outage, and has for so long; it may still be cold.
    Recovering {
        /// How long ago the first call was served.
        since: Nanos,
    },
    /// It serves. Seconds of latency: the mean, and the mean deviation.
    Healthy {
        /// Mean latency in seconds.
        mean: f64,
        /// Mean deviation of the latency in seconds.
        dev: f64,
    },
    /// Its route told a wait, of which so much is left.
    RetryAfter {
        /// How long nothing may be sent there.
        left: Nanos,
    },
    /// Its route turned calls away; one forwarder's pace there, in calls a second.
    RateLimit {
        /// Calls a second.
        rate: f64,
    },
    /// It takes so many calls at once.
    ConnectionCapacity {
        /// Calls at once.
        calls: f64,
    },
}

/// A finding on a host, and how long ago it was seen by the one that tells it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Observation {
    /// The host, as this module knows it.
    pub host: EndpointId,
    /// What was seen there.
    pub finding: Finding,
    /// How long ago.
    pub age: Nanos,
}
