//! What the module remembers: plain records and their arithmetic. No decision is taken here; see `logic.rs`.
use crate::interface::*;
use crate::pile::{Pile, Sort};
use std::collections::{BTreeMap, VecDeque};

/// One attempt that is out.
#[derive(Clone, Copy, Default)]
pub(crate) struct Out {
    pub host: EndpointId,
    pub class: usize,
    pub sent: Nanos,
    pub call: u64,
    /// Counted as unanswered already.
    pub mute: bool,
    pub called_off: bool,
    /// Seconds for which its connection had been idle.
    pub idle: f64,
}

#[derive(Default)]
pub(crate) struct Msg {
    pub class: usize,
    pub key: Option<u64>,
    pub dest: DestinationId,
    pub arrived: Nanos,
    pub deadline: Nanos,
    pub attempts: u32,
    /// Effect ledger: when and in which zone the first attempt that may have run was sent.
    pub first_possible_run: Option<(Nanos, usize)>,
    /// When a round must see whether it may still go again.
    pub look_at: Option<Nanos>,
    pub out: Option<Out>,
    /// Its final answer is given; kept only until its attempt's outcome is known.
    pub done: bool,
}

impl Msg {
    /// What it has in common with others that lose worth and are refused alike.
    pub fn sort(&self) -> Sort {
        (self.class, self.first_possible_run.map(|m| m.1), self.attempts)
    }
    /// Worth if delivered at this time, as the settings define it.
    pub fn worth(&self, class: &Class, value_decay: ValueDecay, at: Nanos) -> f64 {
        if at >= self.deadline {
            return 0.0;
        }
        let late = class.deadline.secs() - (self.deadline - at).secs() - class.latency_objective.secs();
        if late <= 0.0 {
            return class.priority_weight;
        }
        let span = (class.deadline - class.latency_objective).secs().max(1e-3);
        let share = match value_decay {
            ValueDecay::Linear => 1.0 - (1.0 - class.late_weight_share) * late / span,
            ValueDecay::Halving => 0.5f64.powf(late / class.latency_objective.secs().max(1e-3)),
        };
        class.priority_weight * share.max(class.late_weight_share)
    }
}

impl Settings {
    /// The shortest aim of all classes, in seconds.
    pub(crate) fn least_aim(&self) -> f64 {
        self.classes.iter().map(|c| c.latency_objective.secs()).fold(f64::INFINITY, f64::min)
    }
}

/// Per-key order: the open messages of a key in the order taken, and until when it rests.
#[derive(Default)]
pub(crate) struct Lane {
    pub queue: VecDeque<MessageId>,
    pub out: usize,
    pub free_at: Nanos,
}

impl Lane {
    /// Whether no earlier message, and none on its way, holds this one up.
    pub fn in_turn(&self, id: MessageId) -> bool {
        self.out == 0 && self.queue.front() == Some(&id)
    }
    /// Whose turn it is, if none is on its way.
    pub fn next(&self) -> Option<MessageId> {
        self.queue.front().copied().filter(|_| self.out == 0)
    }
    pub fn leave(&mut self, id: MessageId) {
        // Most leave from the front.
        match self.queue.front() == Some(&id) {
            true => drop(self.queue.pop_front()),
            false => self.queue.retain(|q| *q != id),
        }
    }
}

/// What a limit, a wait and a pace belong to: a destination, or one host where routes are apart.
pub(crate) type RouteKey = (DestinationId, Option<EndpointId>);

/// Token bucket.
#[derive(Clone, Copy, Default)]
pub(crate) struct Bucket {
    pub level: f64,
    pub at: Nanos,
}

impl Bucket {
    pub fn fill(&mut self, now: Nanos, rate: f64, depth: f64) {
        self.level = (self.level + rate * (now - self.at).secs()).min(depth);
        self.at = self.at.max(now);
    }
    /// When the next whole token is there.
    pub fn next(&self, now: Nanos, rate: f64) -> Nanos {
        now + (1.0 - self.level).max(0.0) / rate.max(1e-3)
    }
}

#[derive(Default)]
pub(crate) struct Route {
    /// No call before a told wait is over.
    pub wait_until: Nanos,
    /// Backoff after refusals in a row.
    pub rest_until: Nanos,
    /// Our pace in calls a second; none while free.
    pub pace: Option<f64>,
    pub bucket: Bucket,
    /// Served calls of the last second.
    pub served: VecDeque<Nanos>,
    pub cut_at: Nanos,
    /// To what, and when, the pace was set last; and the level that was too much.
    pub low: f64,
    pub low_at: Nanos,
    pub top: f64,
    /// The limit that answers tell, in calls a second; zero if none. And what the list says of it.
    pub limit: f64,
    pub listed: f64,
    /// Refusals in a row.
    pub strikes: u32,
    /// The end of the waits that this relay was told itself; and whether its pace is a neighbour's word.
    pub own_wait: Nanos,
    pub hearsay: bool,
}

impl Route {
    /// Calls a second that may go: our pace, and never more than the limit that answers tell.
    pub fn rate(&self) -> Option<f64> {
        let told = Some(self.limit).filter(|l| *l > 0.0);
        self.pace.map(|p| told.map_or(p, |l| p.min(l))).or(told)
    }
    /// Guards "waits are heeded": the longest told wait stands.
    pub fn told(&mut self, now: Nanos, wait: Nanos) {
        self.told_another(now, wait);
        self.own_wait = self.own_wait.max(now + wait);
    }
    /// A wait that the route told another counts here too, to the same end.
    pub fn told_another(&mut self, now: Nanos, wait: Nanos) {
        self.wait_until = self.wait_until.max(now + wait);
    }
    /// When a call may go next.
    pub fn next(&self, now: Nanos) -> Nanos {
        let token = self.rate().map_or(now, |r| self.bucket.next(now, r));
        self.wait_until.max(self.rest_until).max(token)
    }
}

/// Circuit breaker of a host.
#[derive(Clone, Copy, Default, PartialEq)]
pub(crate) enum Breaker {
    #[default]
    Closed,
    /// `risky`: what is sent may be swallowed or half done, not just turned away.
    Open { since: Nanos, next: Nanos, risky: bool },
    /// Slow start after an outage.
    Ramp { since: Nanos },
}

#[derive(Default)]
pub(crate) struct Host {
    pub dest: DestinationId,
    pub zone: usize,
    pub kind: usize,
    pub route: RouteKey,
    pub listed: bool,
    /// Removed from the list: forgotten with its last call.
    pub gone: bool,
    /// EndpointState rate.
    pub rate: f64,
    pub calls: u32,
    /// Latency in seconds: mean, mean deviation, lowest mean seen.
    pub mean: f64,
    pub dev: f64,
    pub best: f64,
    pub heard: Nanos,
    pub used_at: Nanos,
    pub conns: u32,
    /// Calls that it takes at once, once it has turned one away for want of connections; and until when it has room
    /// for none.
    pub room: Option<f64>,
    pub crowded_until: Nanos,
    /// In a row: calls turned away for want of connections while no other was out.
    pub crowds: u32,
    /// When a call was last lost here on a connection that had been idle, and for how long in seconds.
    pub suspect: Option<(Nanos, f64)>,
    /// Seconds for which its last call's connection had been idle.
    pub idle: f64,
    /// Unanswered calls in a row.
    pub fails: u32,
    /// Share of calls that fail, lately.
    pub failing: f64,
    /// The same for each class that was lost here.
    pub losing: BTreeMap<usize, f64>,
    pub breaker: Breaker,
    pub trial: Option<MessageId>,
    pub bucket: Bucket,
    /// Its last call failed.
    pub doubt: bool,
    /// Calls a second that may go while in doubt.
    pub allowed: f64,
    /// The last own outcome; the first of those by which the breaker is own experience; and whether it is a
    /// neighbour's word.
    pub own_at: Option<Nanos>,
    pub own_since: Nanos,
    pub hearsay: bool,
    /// The same of its room and of its latency.
    pub room_hearsay: bool,
    pub mean_hearsay: bool,
}

impl Host {
    /// When a call may go next, where it is limited.
    pub fn next(&self, now: Nanos) -> Option<Nanos> {
        let token = self.bucket.next(now, self.allowed);
        match self.breaker {
            Breaker::Closed => Some(token).filter(|_| self.doubt),
            Breaker::Open { next, .. } => Some(next.max(token)),
            Breaker::Ramp { .. } => Some(token),
        }
    }
}

/// A destination's hold, share (LexAS) and turn (ARR).
#[derive(Default)]
pub(crate) struct Flow {
    pub held: Pile,
    pub hosts: Vec<EndpointId>,
    /// Places in the ready queue. Which message takes one is settled when a slot is there.
    pub ready: usize,
    /// Messages taken a second, lately.
    pub demand: f64,
    /// B of the design: messages promoted.
    pub b: f64,
    /// a of the design: slots filled since the last reset.
    pub a: f64,
    /// g - κ of the design.
    pub raised: f64,
    pub calls: usize,
    /// Since when a message could go: waiting before that is not this relay's to help.
    pub open_since: Nanos,
    pub sendable: bool,
    /// Seconds that sent messages waited here while they could go, and how many they were.
    pub waited: f64,
    pub sent: u32,
    pub served: u32,
    /// Served a second, lately.
    pub rate: f64,
    pub last: Nanos,
}

impl Flow {
    /// One of its messages goes out.
    pub fn took(&mut self, id: MessageId, arrived: Nanos, now: Nanos) {
        self.held.remove(id);
        self.b += if self.ready == 0 { 1.0 } else { 0.0 };
        self.ready = self.ready.saturating_sub(1);
        self.a += 1.0;
        self.waited += (now - arrived.max(self.open_since)).secs();
        self.sent += 1;
        self.last = now;
    }
}

/// Small random number generator (xorshift), from 0 to 1.
#[derive(Default)]
pub(crate) struct Random(pub u64);

impl Random {
    pub fn next(&mut self) -> f64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// Where a condition that holds at `low` and fails further up turns.
pub(crate) fn bisect(mut low: f64, mut high: f64, holds: impl Fn(f64) -> bool) -> f64 {
    for _ in 0..40 {
        let mid = (low + high) / 2.0;
        *if holds(mid) { &mut low } else { &mut high } = mid;
    }
    high
}
