//! A journal that changes hands while calls are out. The process that lets it go (the elder) says what comes of its
//! calls; the one that takes it up holds those messages, and all behind them of the same key, until it has heard.
use super::held::Stage;
use super::orders::Sighting;
use super::Core;
use crate::interface::{Event, HostId, MsgId, Nanos, News, Outcome, Past as Before};
use crate::journal::{End, Late, Record};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// A message whose elder has said nothing by its time ends so long after it, in seconds: that one's own time-out, and the
/// way through the file, come first.
const ELDER_LATE: f64 = 0.08;

/// What a process that has taken the journal up knows of its elder's calls.
#[derive(Default)]
pub(super) struct Elders {
    /// Messages that the elder may still have a try out for.
    out: BTreeSet<MsgId>,
    /// Tries that may have run, and when the key may go again: the elder's process gave the call up just now.
    resting: BTreeMap<MsgId, Nanos>,
    /// Messages behind one of those by their key, in their order; the module does not know of them yet.
    behind: HashMap<u64, Vec<MsgId>>,
    /// The keys of those that are out there.
    keys: HashMap<MsgId, u64>,
}

impl Elders {
    fn is_empty(&self) -> bool {
        self.out.is_empty() && self.resting.is_empty() && self.behind.is_empty()
    }
}

/// News as the journal's records hold it.
fn written(news: News, now: Nanos) -> (u8, [u64; 2]) {
    match news {
        News::Out { since, risky } => (0, [since.0, risky.into()]),
        News::Back { since } => (1, [since.0, 0]),
        News::Well { mean, dev } => (2, [mean.to_bits(), dev.to_bits()]),
        News::Wait { left } => (3, [(now + left).0, 0]),
        News::Pace { rate } => (4, [rate.to_bits(), 0]),
        News::Room { calls } => (5, [calls.to_bits(), 0]),
    }
}

fn read(kind: u8, [a, b]: [u64; 2], now: Nanos) -> Option<News> {
    let number = |bits| Some(f64::from_bits(bits)).filter(|v| v.is_finite() && *v >= 0.0);
    Some(match kind {
        0 => News::Out { since: Nanos(a), risky: b == 1 },
        1 => News::Back { since: Nanos(a) },
        2 => News::Well { mean: number(a)?, dev: number(b)? },
        3 => News::Wait { left: Nanos(a) - now },
        4 => News::Pace { rate: number(a)? },
        5 => News::Room { calls: number(a)? },
        _ => return None,
    })
}

impl Core {
    // ---- The elder.

    /// Whether the journal cannot be handed on now.
    pub fn bound(&self) -> bool {
        self.ledger.stuck() || !self.elders.is_empty()
    }

    /// Lets the journal go. From now on nothing is taken on, and no try starts; what is out goes on. Gives what the next
    /// process should know of endpoints, told waits among it.
    pub fn let_go(&mut self, now: Nanos) -> Vec<Record> {
        let seen = self.known(now).into_iter().map(|Sighting { uid, news, age }| {
            let (kind, values) = written(news, now);
            Record::Saw { uid, at: (now - age).0, kind, values }
        });
        let seen = seen.collect();
        self.resting = true;
        self.ledger.let_go();
        seen
    }

    /// Tries whose first byte may have gone out, and that have not ended.
    pub fn calls_out(&self) -> usize {
        let sent = |h: &&super::held::Held| h.out.as_ref().is_some_and(|o| o.stage == Stage::Sent);
        self.held.values().filter(sent).count()
    }

    /// What came of a call after the journal was let go; nothing where the call never went out.
    pub fn late(&mut self, id: MsgId, attempt: u32, outcome: Outcome, over: bool) -> Option<Record> {
        let out = self.held.get(&id)?.out.as_ref().filter(|o| o.attempt == attempt)?;
        let (sent, at) = (out.stage == Stage::Sent, out.started.0);
        self.take_out(id);
        let how = match outcome {
            Outcome::Ok => Late::Delivered,
            _ if over => Late::Over,
            outcome if outcome.never_ran() => Late::NeverRan,
            _ => Late::MayHaveRun,
        };
        sent.then_some(Record::Late { id: id.0, at, how })
    }

    /// A wait that was told after the journal was let go.
    pub fn late_wait(&self, now: Nanos, host: HostId, wait: Nanos) -> Option<Record> {
        let (kind, values) = written(News::Wait { left: wait }, now);
        let uid = self.hosts.get(&host)?.uid.clone();
        Some(Record::Saw { uid, at: now.0, kind, values })
    }

    // ---- The one that takes it up.

    /// The elder may still have these tries out.
    pub(super) fn leave_to_elder(&mut self, ids: &[MsgId]) {
        self.elders.out.extend(ids);
        for id in ids {
            if let Some(key) = self.held.get(id).and_then(|h| h.context.key) {
                self.elders.behind.entry(key).or_default();
                self.elders.keys.insert(*id, key);
            }
        }
        log::info!(messages = ids.len(); "calls of the process before are still out");
    }

    /// Whether the module hears of this message only later, since one of its key is still out at the elder.
    pub(super) fn stands_behind(&mut self, id: MsgId) -> bool {
        let key = self.held.get(&id).and_then(|h| h.context.key);
        let Some(line) = key.and_then(|k| self.elders.behind.get_mut(&k)) else { return false };
        line.push(id);
        true
    }

    /// What the elder said.
    pub(super) fn elder_said(&mut self, records: Vec<Record>) {
        for record in records {
            match record {
                Record::Late { id, at, how } => self.elder_ended(MsgId(id), Some(at), how),
                Record::Saw { uid, at, kind, values } => self.elder_saw(&uid, Nanos(at), kind, values),
                // Nothing else belongs there.
                other => log::warn!("passed over what the process before left: {other:?}"),
            }
        }
    }

    /// Nothing more comes from the elder: what it had out may have run.
    pub(super) fn elder_gone(&mut self) {
        for id in self.elders.out.clone() {
            self.elder_ended(id, None, Late::MayHaveRun);
        }
    }

    fn elder_ended(&mut self, id: MsgId, at: Option<u64>, how: Late) {
        let started = self.held.get(&id).and_then(|h| Some(h.out.as_ref()?.started.0));
        // Guards "no double effect" against what an earlier hand-over left: it speaks of another try.
        if !self.elders.out.contains(&id) || at.is_some_and(|at| started != Some(at)) {
            return;
        }
        self.elders.out.remove(&id);
        let Some(h) = self.held.get(&id) else { return self.elders_go_on(id) };
        let context = h.context.clone();
        log::debug!(message = context.name, how:?; "heard of a call of the process before");
        let may_have_run = match how {
            Late::Delivered | Late::Over => {
                self.ran(id, true);
                let end = if how == Late::Delivered { self.delivered(&context) } else { End::Withdrawn };
                self.end(id, end);
                self.drop_if_done(id);
                return self.elders_go_on(id);
            }
            Late::MayHaveRun => true,
            Late::NeverRan => false,
        };
        self.ran(id, may_have_run);
        self.ledger.keep(self.now, Record::Outcome { id: id.0, may_have_run }, None);
        // Guards "order by key": the key rests after a call that may still run.
        let rest = if may_have_run { self.settings.order_pause } else { Nanos(0) };
        self.elders.resting.insert(id, self.now + rest);
        self.wake = Some(self.now);
    }

    fn elder_saw(&mut self, uid: &str, at: Nanos, kind: u8, values: [u64; 2]) {
        let Some(host) = self.uids.get(uid).copied() else { return };
        match read(kind, values, self.now) {
            // It was told to this forwarder, whichever process heard it.
            Some(News::Wait { left }) => {
                let dest = self.hosts.get(&host).map(|m| m.dest).unwrap_or_default();
                self.events.push(Event::ToldWait { host, dest: crate::DestId(dest), wait: left });
            }
            Some(news) => self.events.push(Event::Hint(crate::Hint { host, news, age: self.now - at })),
            None => log::warn!("passed over news of the process before: kind {kind}"),
        }
    }

    /// Lets those go on whose time has come, and ends those of which nothing was heard in their time.
    pub(super) fn look_after_elders(&mut self) {
        if self.elders.is_empty() {
            return;
        }
        let now = self.now;
        let late = |id: &MsgId| self.held.get(id).is_some_and(|h| h.context.deadline + ELDER_LATE <= now);
        let silent: Vec<MsgId> = self.elders.out.iter().copied().filter(late).collect();
        for id in silent {
            self.elder_ended(id, None, Late::MayHaveRun);
        }
        let ready: Vec<MsgId> = self.elders.resting.iter().filter(|r| *r.1 <= now).map(|r| *r.0).collect();
        for id in ready {
            self.elders.resting.remove(&id);
            self.tell_module(id);
            self.elders_go_on(id);
        }
        // Behind a call that takes longer than they have.
        let open =
            |id: &MsgId| self.held.get(id).is_some_and(|h| h.end.is_none() && h.context.deadline <= now);
        let late: Vec<MsgId> = self.elders.behind.values().flatten().copied().filter(open).collect();
        for id in late {
            let maybe = self.held.get(&id).is_some_and(|h| h.maybe.is_some());
            self.end(id, if maybe { End::Undeliverable } else { End::Deferred(None) });
        }
        let due =
            self.elders.out.iter().filter_map(|id| Some(self.held.get(id)?.context.deadline + ELDER_LATE));
        let behind = self.elders.behind.values().flatten().filter_map(|id| self.held.get(id));
        let behind = behind.filter(|h| h.end.is_none()).map(|h| h.context.deadline);
        let next = due.chain(self.elders.resting.values().copied()).chain(behind).min();
        self.wake = self.wake.into_iter().chain(next.map(|n| n.max(now + self.settings.tick))).min();
    }

    /// The key of this message is free of the elder: the module hears of those behind it, in their order.
    fn elders_go_on(&mut self, id: MsgId) {
        let Some(key) = self.elders.keys.remove(&id) else { return };
        for id in self.elders.behind.remove(&key).unwrap_or_default() {
            self.tell_module(id);
        }
    }

    pub(super) fn tell_module(&mut self, id: MsgId) {
        let Some(h) = self.held.get(&id).filter(|h| h.end.is_none()) else { return };
        let past = Before { tries: h.tries, maybe: h.maybe };
        self.events.push(Event::Resumed(h.message(id), past));
    }
}
