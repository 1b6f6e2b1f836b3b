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
pub struct MsgId(pub u64);
/// One endpoint address, as the caller numbers it. Carries no meaning.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct HostId(pub u32);
/// A destination: the set of hosts that a message may go to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct DestId(pub u64);

/// How often a message may take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Repeating it is harmless.
    Repeatable,
    /// Repeats are dropped for `window` from the first send that may have run, by the hosts of `group`.
    Keyed {
        /// Which hosts drop repeats.
        group: Group,
        /// For how long.
        window: Nanos,
    },
    /// It must never take effect twice.
    Once,
}

/// The hosts of a destination that drop repeats of a keyed message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    /// All of them.
    All,
    /// Those in the zone of the host that may have run it.
    Zone,
}

/// How worth falls once the aim has passed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fade {
    /// Evenly, to the late share at the deadline.
    #[default]
    Line,
    /// By half with each further aim, not under the late share.
    Halves,
}

/// A class of message.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Full worth when delivered within this time.
    pub aim: Nanos,
    /// Given up after this time.
    pub deadline: Nanos,
    /// Worth.
    pub points: f64,
    /// Share of the worth left at the deadline.
    pub late_share: f64,
    /// Effect kind.
    pub effect: Effect,
    /// Messages that share a key go one at a time, in the order taken; those without a key are free.
    pub fifo_by_key: bool,
}

/// A kind of destination.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Kind {
    /// Its hosts are routes apart: each has its own limit, waits, pace and outages.
    pub apart: bool,
    /// Most messages in one call.
    pub per_call: usize,
}

/// What a listed rate is worth.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Weights {
    /// No rate is listed.
    #[default]
    Off,
    /// Calls a second that the destination (or route apart) takes from all relays together.
    Nominal,
    /// The same, but only roughly.
    Rough,
}

/// What a relay is told at its start. A deployment without a feature leaves its field empty or zero, as the
/// default does for all.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// Calls out at once.
    pub slots: usize,
    /// Messages held at once, sent or not.
    pub open_cap: usize,
    /// Attempts of one message at most.
    pub most_tries: u32,
    /// Relays in this deployment.
    pub relays: usize,
    /// Shortest time between two batches.
    pub tick: Nanos,
    /// Classes of message.
    pub classes: Vec<Class>,
    /// Kinds of destination.
    pub kinds: Vec<Kind>,
    /// How worth falls.
    pub fade: Fade,
    /// Calls a second of each tenant's agreed share, over all relays; empty without tenants.
    pub tenant_quota: Vec<f64>,
    /// Worth of traffic past a share, as a fraction of the usual.
    pub over_share_worth: f64,
    /// This relay's zone.
    pub zone: usize,
    /// Points for a message that a route apart in each zone takes on.
    pub route_fee: Vec<f64>,
    /// Points for an attempt that crosses zones.
    pub cross_fee: f64,
    /// Points for a new connection.
    pub handshake_fee: f64,
    /// Idle connections close after this.
    pub conn_idle: Nanos,
    /// Calls that one connection carries at once.
    pub streams: u32,
    /// Longest wait that clients obey with a refusal; none: clients hear no wait.
    pub retry_after: Option<Nanos>,
    /// Attempts may be called off.
    pub may_cancel: bool,
    /// The list answers only when asked, and at least this often it must be.
    pub must_ask: Option<Nanos>,
    /// Answers tell their destination's limit, where it has one.
    pub limits_told: bool,
    /// What a listed rate holds.
    pub weights: Weights,
    /// A returning destination has this share of its capacity or more.
    pub cold_from: f64,
    /// And all of it after this.
    pub ramp: Nanos,
    /// Sent more than this multiple of its present capacity
    pub fall_multiple: f64,
    /// for this long, it falls over.
    pub fall_after: Nanos,
    /// A key's pause after an attempt that may still run; zero where none is asked for.
    pub order_pause: Nanos,
}

/// State of a listed host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listed {
    /// May be sent to; says nothing of health.
    Running,
    /// Nothing new may go there.
    Stopping,
    /// Removed.
    Gone,
}

/// One line of the list of hosts.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The host.
    pub host: HostId,
    /// Its zone.
    pub zone: usize,
    /// Its kind.
    pub kind: usize,
    /// Its destination.
    pub dest: DestId,
    /// Its state.
    pub state: Listed,
    /// Listed rate, see [`Weights`].
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
    Full(Option<Nanos>),
    /// No answer in time; it may have run or run yet.
    Timeout,
    /// No connection; it never ran.
    ConnectFailed,
    /// Turned away on a new connection, since the host holds no further one; it never ran.
    Crowded,
    /// The connection broke; it may have run.
    Reset,
    /// Called off; it may have run.
    Cancelled,
    /// It ran, but its answer cannot be read: that says nothing of its host.
    Spoilt,
    /// Not sent.
    Moot,
    /// Not sent, since what it was decided on holds no longer: it counts for no attempt, and is decided anew.
    Unsent,
}

impl Outcome {
    /// Whether the host said anything.
    pub fn answered(self) -> bool {
        match self {
            Outcome::Ok | Outcome::Error | Outcome::Full(_) | Outcome::Crowded | Outcome::Spoilt => true,
            Outcome::Timeout | Outcome::ConnectFailed | Outcome::Reset | Outcome::Cancelled => false,
            Outcome::Moot | Outcome::Unsent => false,
        }
    }
    /// Whether it proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        match self {
            Outcome::Full(_) | Outcome::ConnectFailed | Outcome::Crowded => true,
            Outcome::Moot | Outcome::Unsent => true,
            Outcome::Ok | Outcome::Error | Outcome::Timeout | Outcome::Reset => false,
            Outcome::Cancelled | Outcome::Spoilt => false,
        }
    }
}

/// What an answer told of its destination's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Report {
    /// Share of the limit that is left.
    pub left: f64,
    /// Calls a second that the limit allows; zero: no limit.
    pub limit: f64,
}

/// A message that was handed in.
#[derive(Clone, Copy, Debug)]
pub struct Message {
    /// Its id.
    pub id: MsgId,
    /// Its class, an index into the settings' list.
    pub class: usize,
    /// Its tenant, an index into the settings' list.
    pub tenant: usize,
    /// Its key, where the class has one.
    pub key: Option<u64>,
    /// Its destination.
    pub dest: DestId,
    /// It is given up at this time.
    pub deadline: Nanos,
}

/// What a message has behind it that an earlier process of this relay had taken on.
#[derive(Clone, Copy, Debug, Default)]
pub struct Past {
    /// Attempts made.
    pub tries: u32,
    /// When, and to a host of which zone, the first attempt that may have run was sent.
    pub maybe: Option<(Nanos, usize)>,
}

/// An attempt that ended. Each send has exactly one.
#[derive(Clone, Copy, Debug)]
pub struct Ended {
    /// The message.
    pub id: MsgId,
    /// Number of the attempt, from 0.
    pub attempt: u32,
    /// How.
    pub outcome: Outcome,
    /// The message is finished; nothing more is owed.
    pub over: bool,
    /// Time since the send.
    pub took: Nanos,
    /// What the answer told of the limit.
    pub report: Option<Report>,
}

/// What happened, as the relay tells it. All events of one `handle` call share its time.
#[derive(Clone, Debug)]
pub enum Event {
    /// The list of hosts: all of it, or only what changed.
    List {
        /// Hosts that are missing are gone.
        whole: bool,
        /// The lines.
        entries: Vec<Entry>,
    },
    /// Asking for the list failed, or the watch on it broke.
    ListFailed,
    /// A message was handed in.
    Message(Message),
    /// A message that is still owed its end after a restart; in the order in which they were taken.
    Resumed(Message, Past),
    /// An attempt ended.
    Ended(Ended),
    /// A destination told this relay at a host to wait, whatever became of the call that it answered. Its outcome, where
    /// it still counts, says the same once more.
    ToldWait {
        /// The host.
        host: HostId,
        /// Its destination; the host may be forgotten.
        dest: DestId,
        /// How long nothing may be sent there.
        wait: Nanos,
    },
    /// The client has withdrawn the message.
    Gone(MsgId),
    /// From now on no send can start (true), or sends can start again (false). What is out goes on.
    Paused(bool),
    /// A neighbour's word on a host. Own experience wins over it unless that is older.
    Hint(Hint),
    /// The timer asked for is due.
    Due,
}

/// What the relay is to do, in this order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Call a host with a message. Sends of one reply to one host travel as one call, as far as its kind allows.
    Send {
        /// The message.
        id: MsgId,
        /// The host.
        host: HostId,
        /// Time-out of this attempt.
        timeout: Nanos,
    },
    /// Call off an attempt that is out; its outcome still comes.
    Cancel {
        /// The message.
        id: MsgId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Final answer: not delivered, the client may safely come again (after this time, if told).
    Refuse {
        /// The message.
        id: MsgId,
        /// When to come back.
        after: Option<Nanos>,
    },
    /// Final answer: given up, nothing promised.
    Fail(MsgId),
    /// Call `handle` with [`Event::Due`] at this time.
    WakeAt(Nanos),
    /// Close this relay's idle connections to a host.
    Release(HostId),
    /// Watch the list of hosts.
    Watch,
    /// A line for the operator.
    Log {
        /// What happened.
        text: &'static str,
        /// The host concerned, if one is.
        host: Option<HostId>,
    },
}

/// What is known of a host beside what the list says: this module's own experience, or a neighbour's. Times are spans,
/// never stamps, so that no two clocks are compared.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum News {
    /// Calls fail there, and have for so long. `risky`: what is sent may be swallowed or half done.
    Out {
        /// How long the outage has lasted.
        since: Nanos,
        /// Whether calls are lost rather than turned away.
        risky: bool,
    },
    /// It serves again after an outage, and has for so long; it may still be cold.
    Back {
        /// How long ago the first call was served.
        since: Nanos,
    },
    /// It serves. Seconds of latency: the mean, and the mean deviation.
    Well {
        /// Mean latency in seconds.
        mean: f64,
        /// Mean deviation of the latency in seconds.
        dev: f64,
    },
    /// Its route told a wait, of which so much is left.
    Wait {
        /// How long nothing may be sent there.
        left: Nanos,
    },
    /// Its route turned calls away; one forwarder's pace there, in calls a second.
    Pace {
        /// Calls a second.
        rate: f64,
    },
    /// It takes so many calls at once.
    Room {
        /// Calls at once.
        calls: f64,
    },
}

/// News of a host, and how long ago it was seen by the one that tells it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Hint {
    /// The host, as this module knows it.
    pub host: HostId,
    /// What was seen there.
    pub news: News,
    /// How long ago.
    pub age: Nanos,
}
