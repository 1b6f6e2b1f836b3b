//! A journal that changes hands while calls are out. The process that lets it go (the elder) says what comes of its
//! calls; the one that takes it up holds those messages, and all behind them of the same key, until it has heard.
use super::messages::EndpointObservation;
use super::pending::Stage;
use super::Core;
use crate::interface::{EndpointId, Event, Finding, MessageId, Nanos, Outcome, PriorAttempts as Before};
use crate::journal::{Completion, LateOutcome, Record};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// A message whose elder has said nothing by its time ends so long after it, in seconds: that one's own time-out, and the
/// way through the file, come first.
const ELDER_LATE: f64 = 0.08;

/// What a process that has taken the journal up knows of its elder's calls.
#[derive(Default)]
pub(super) struct Elders {
    /// Messages that the elder may still have an attempt out for.
    out: BTreeSet<MessageId>,
    /// Attempts that may have run, and when the key may go again: the elder's process gave the call up just now.
    resting: BTreeMap<MessageId, Nanos>,
    /// Messages behind one of those by their key, in their order; the module does not know of them yet.
    behind: HashMap<u64, Vec<MessageId>>,
    /// The keys of those that are out there.
    keys: HashMap<MessageId, u64>,
}

impl Elders {
    fn is_empty(&self) -> bool {
        self.out.is_empty() && self.resting.is_empty() && self.behind.is_empty()
    }
}

/// Finding as the journal's records hold it.
fn written(finding: Finding, now: Nanos) -> (u8, [u64; 2]) {
    match finding {
        Finding::Outage { since, risky } => (0, [since.0, risky.into()]),
        Finding::Recovering { since } => (1, [since.0, 0]),
        Finding::Healthy { mean, dev } => (2, [mean.to_bits(), dev.to_bits()]),
        Finding::RetryAfter { left } => (3, [(now + left).0, 0]),
        Finding::RateLimit { rate } => (4, [rate.to_bits(), 0]),
        Finding::ConnectionCapacity { calls } => (5, [calls.to_bits(), 0]),
    }
}

fn read(kind: u8, [a, b]: [u64; 2], now: Nanos) -> Option<Finding> {
    let number = |bits| Some(f64::from_bits(bits)).filter(|v| v.is_finite() && *v >= 0.0);
    Some(match kind {
        0 => Finding::Outage { since: Nanos(a), risky: b == 1 },
        1 => Finding::Recovering { since: Nanos(a) },
        2 => Finding::Healthy { mean: number(a)?, dev: number(b)? },
        3 => Finding::RetryAfter { left: Nanos(a) - now },
        4 => Finding::RateLimit { rate: number(a)? },
        5 => Finding::ConnectionCapacity { calls: number(a)? },
        _ => return None,
    })
}

impl Core {
    // ---- The elder.

    /// Whether the journal cannot be handed on now.
    pub fn is_release_blocked(&self) -> bool {
        self.ledger.stuck() || !self.elders.is_empty()
    }

    /// Lets the journal go. From now on nothing is taken on, and no attempt starts; what is out goes on. Gives what the next
    /// process should know of endpoints, told waits among it.
    pub fn release_journal(&mut self, now: Nanos) -> Vec<Record> {
        let seen = self.observations(now).into_iter().map(|EndpointObservation { uid, finding, age }| {
            let (kind, values) = written(finding, now);
            Record::Observed { uid, at: (now - age).0, kind, values }
        });
        let seen = seen.collect();
        self.resting = true;
        self.ledger.release_journal();
        seen
    }

    /// Attempts whose first byte may have gone out, and that have not ended.
    pub fn calls_in_flight(&self) -> usize {
        let sent = |h: &&super::pending::Held| h.out.as_ref().is_some_and(|o| o.stage == Stage::Sent);
        self.held.values().filter(sent).count()
    }

    /// What came of a call after the journal was let go; nothing where the call never went out.
    pub fn late_outcome(
        &mut self, id: MessageId, attempt: u32, outcome: Outcome, over: bool,
    ) -> Option<Record> {
        let out = self.held.get(&id)?.out.as_ref().filter(|o| o.attempt == attempt)?;
        let (sent, at) = (out.stage == Stage::Sent, out.started.0);
        self.take_out(id);
        let how = match outcome {
            Outcome::Ok => LateOutcome::Delivered,
            _ if over => LateOutcome::Final,
            outcome if outcome.never_ran() => LateOutcome::NeverRan,
            _ => LateOutcome::MayHaveRun,
        };
        sent.then_some(Record::LateOutcome { id: id.0, at, outcome: how })
    }

    /// A wait that was told after the journal was let go.
    pub fn late_retry_after(&self, now: Nanos, host: EndpointId, wait: Nanos) -> Option<Record> {
        let (kind, values) = written(Finding::RetryAfter { left: wait }, now);
        let uid = self.hosts.get(&host)?.uid.clone();
        Some(Record::Observed { uid, at: now.0, kind, values })
    }

    // ---- The one that takes it up.

    /// The elder may still have these attempts out.
    pub(super) fn leave_to_elder(&mut self, ids: &[MessageId]) {
        self.elders.out.extend(ids);
        for id in ids {
            if let Some(key) = self.held.get(id).and_then(|h| h.context.ordering_key) {
                self.elders.behind.entry(key).or_default();
                self.elders.keys.insert(*id, key);
            }
        }
        log::info!(messages = ids.len(); "calls of the process before are still out");
    }

    /// Whether the module hears of this message only later, since one of its key is still out at the elder.
    pub(super) fn stands_behind(&mut self, id: MessageId) -> bool {
        let key = self.held.get(&id).and_then(|h| h.context.ordering_key);
        let Some(line) = key.and_then(|k| self.elders.behind.get_mut(&k)) else { return false };
        line.push(id);
        true
    }

    /// What the elder said.
    pub(super) fn elder_said(&mut self, records: Vec<Record>) {
        for record in records {
            match record {
                Record::LateOutcome { id, at, outcome: how } => {
                    self.elder_ended(MessageId(id), Some(at), how)
                }
                Record::Observed { uid, at, kind, values } => self.elder_saw(&uid, Nanos(at), kind, values),
                // Nothing else belongs there.
                other => log::warn!("passed over what the process before left: {other:?}"),
            }
        }
    }

    /// Nothing more comes from the elder: what it had out may have run.
    pub(super) fn elder_gone(&mut self) {
        for id in self.elders.out.clone() {
            self.elder_ended(id, None, LateOutcome::MayHaveRun);
        }
    }

    fn elder_ended(&mut self, id: MessageId, at: Option<u64>, how: LateOutcome) {
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
            LateOutcome::Delivered | LateOutcome::Final => {
                self.ran(id, true);
                let end = if how == LateOutcome::Delivered {
                    self.delivered(&context)
                } else {
                    Completion::Withdrawn
                };
                self.end(id, end);
                self.drop_if_done(id);
                return self.elders_go_on(id);
            }
            LateOutcome::MayHaveRun => true,
            LateOutcome::NeverRan => false,
        };
        self.ran(id, may_have_run);
        self.ledger.keep(self.now, Record::AttemptEnded { id: id.0, may_have_run }, None);
        // Guards "order by key": the key rests after a call that may still run.
        let rest = if may_have_run { self.settings.ordering_pause } else { Nanos(0) };
        self.elders.resting.insert(id, self.now + rest);
        self.wake = Some(self.now);
    }

    fn elder_saw(&mut self, uid: &str, at: Nanos, kind: u8, values: [u64; 2]) {
        let Some(host) = self.uids.get(uid).copied() else { return };
        match read(kind, values, self.now) {
            // It was told to this forwarder, whichever process heard it.
            Some(Finding::RetryAfter { left }) => {
                let dest = self.hosts.get(&host).map(|m| m.dest).unwrap_or_default();
                self.events.push(Event::RetryAfter { host, dest: crate::DestinationId(dest), wait: left });
            }
            Some(finding) => self.events.push(Event::PeerObservation(crate::Observation {
                host,
                finding,
                age: self.now - at,
            })),
            None => log::warn!("passed over news of the process before: kind {kind}"),
        }
    }

    /// Lets those go on whose time has come, and ends those of which nothing was heard in their time.
    pub(super) fn look_after_elders(&mut self) {
        if self.elders.is_empty() {
            return;
        }
        let now = self.now;
        let late = |id: &MessageId| self.held.get(id).is_some_and(|h| h.context.deadline + ELDER_LATE <= now);
        let silent: Vec<MessageId> = self.elders.out.iter().copied().filter(late).collect();
        for id in silent {
            self.elder_ended(id, None, LateOutcome::MayHaveRun);
        }
        let ready: Vec<MessageId> =
            self.elders.resting.iter().filter(|r| *r.1 <= now).map(|r| *r.0).collect();
        for id in ready {
            self.elders.resting.remove(&id);
            self.tell_module(id);
            self.elders_go_on(id);
        }
        // Behind a call that takes longer than they have.
        let open =
            |id: &MessageId| self.held.get(id).is_some_and(|h| h.end.is_none() && h.context.deadline <= now);
        let late: Vec<MessageId> = self.elders.behind.values().flatten().copied().filter(open).collect();
        for id in late {
            let first_possible_run = self.held.get(&id).is_some_and(|h| h.first_possible_run.is_some());
            self.end(
                id,
                if first_possible_run { Completion::Undeliverable } else { Completion::Deferred(None) },
            );
        }
        let due =
            self.elders.out.iter().filter_map(|id| Some(self.held.get(id)?.context.deadline + ELDER_LATE));
        let behind = self.elders.behind.values().flatten().filter_map(|id| self.held.get(id));
        let behind = behind.filter(|h| h.end.is_none()).map(|h| h.context.deadline);
        let next = due.chain(self.elders.resting.values().copied()).chain(behind).min();
        self.wake = self.wake.into_iter().chain(next.map(|n| n.max(now + self.settings.tick))).min();
    }

    /// The key of this message is free of the elder: the module hears of those behind it, in their order.
    fn elders_go_on(&mut self, id: MessageId) {
        let Some(key) = self.elders.keys.remove(&id) else { return };
        for id in self.elders.behind.remove(&key).unwrap_or_default() {
            self.tell_module(id);
        }
    }

    pub(super) fn tell_module(&mut self, id: MessageId) {
        let Some(h) = self.held.get(&id).filter(|h| h.end.is_none()) else { return };
        let past = Before { attempts: h.attempts, first_possible_run: h.first_possible_run };
        self.events.push(Event::Resumed(h.message(id), past));
    }
}
