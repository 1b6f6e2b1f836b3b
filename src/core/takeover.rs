//! A takeover: the journal goes from one process to the next while calls are in flight. The process that releases the
//! journal (the predecessor) reports the outcomes of its calls. The one that takes it over holds back those messages, and
//! all later ones with the same ordering key, until it has the outcomes.
use super::in_flight::Stage;
use super::messages::EndpointObservation;
use super::Core;
use crate::interface::{
    DestinationId, EndpointId, Event, Finding, MessageId, Nanos, Observation, Outcome, PriorAttempts,
};
use crate::journal::{Completion, LateOutcome, Record};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// A message of which the predecessor has reported nothing is given up this long after its deadline, in seconds: the
/// predecessor's own time-out, and the way of its report through the file, come first.
const REPORT_GRACE_S: f64 = 0.08;

/// Codes of findings in the journal's `Observed` records. They are read by the next version too, so they stay.
mod finding_code {
    pub(super) const OUTAGE: u8 = 0;
    pub(super) const RECOVERING: u8 = 1;
    pub(super) const HEALTHY: u8 = 2;
    pub(super) const RETRY_AFTER: u8 = 3;
    pub(super) const RATE_LIMIT: u8 = 4;
    pub(super) const CONNECTION_CAPACITY: u8 = 5;
}

/// What a process that has taken the journal over knows of its predecessor's calls.
#[derive(Default)]
pub(super) struct PredecessorCalls {
    /// Messages that the predecessor may still have a call in flight for.
    in_flight: BTreeSet<MessageId>,
    /// Messages whose call there has ended without a delivery, and when they may go on.
    resume_at: BTreeMap<MessageId, Nanos>,
    /// Messages that wait for one of those by their ordering key, in their order; the module does not have them yet.
    waiting: HashMap<u64, Vec<MessageId>>,
    /// The ordering keys of the messages in `in_flight` and `resume_at`.
    keys: HashMap<MessageId, u64>,
}

impl PredecessorCalls {
    fn is_empty(&self) -> bool {
        self.in_flight.is_empty() && self.resume_at.is_empty() && self.waiting.is_empty()
    }

    /// All messages that wait by their ordering key.
    fn waiting(&self) -> impl Iterator<Item = MessageId> + '_ {
        self.waiting.values().flatten().copied()
    }

    /// Nothing of this message is left there: the messages that waited for it, in their order.
    fn release(&mut self, id: MessageId) -> Vec<MessageId> {
        let Some(key) = self.keys.remove(&id) else { return Vec::new() };
        self.waiting.remove(&key).unwrap_or_default()
    }
}

/// A finding as the journal's records hold it: its code and its values. Times are Unix nanoseconds.
fn encode_finding(finding: Finding, now: Nanos) -> (u8, [u64; 2]) {
    match finding {
        Finding::Outage { since, risky } => (finding_code::OUTAGE, [since.0, risky.into()]),
        Finding::Recovering { since } => (finding_code::RECOVERING, [since.0, 0]),
        Finding::Healthy { mean, dev } => (finding_code::HEALTHY, [mean.to_bits(), dev.to_bits()]),
        Finding::RetryAfter { left } => (finding_code::RETRY_AFTER, [(now + left).0, 0]),
        Finding::RateLimit { rate } => (finding_code::RATE_LIMIT, [rate.to_bits(), 0]),
        Finding::ConnectionCapacity { calls } => (finding_code::CONNECTION_CAPACITY, [calls.to_bits(), 0]),
    }
}

/// The finding of a record; none where its code is unknown or a value makes no sense.
fn decode_finding(code: u8, [first, second]: [u64; 2], now: Nanos) -> Option<Finding> {
    let finding = match code {
        finding_code::OUTAGE => Finding::Outage { since: Nanos(first), risky: second == 1 },
        finding_code::RECOVERING => Finding::Recovering { since: Nanos(first) },
        finding_code::HEALTHY => {
            Finding::Healthy { mean: decode_number(first)?, dev: decode_number(second)? }
        }
        finding_code::RETRY_AFTER => Finding::RetryAfter { left: Nanos(first) - now },
        finding_code::RATE_LIMIT => Finding::RateLimit { rate: decode_number(first)? },
        finding_code::CONNECTION_CAPACITY => Finding::ConnectionCapacity { calls: decode_number(first)? },
        _ => return None,
    };
    Some(finding)
}

fn decode_number(bits: u64) -> Option<f64> {
    Some(f64::from_bits(bits)).filter(|value| value.is_finite() && *value >= 0.0)
}

/// The process that releases the journal.
impl Core {
    /// Whether the journal cannot be released now: it cannot be written, or calls of an earlier takeover are unresolved.
    pub fn is_release_blocked(&self) -> bool {
        self.journal.is_unavailable() || !self.predecessor_calls.is_empty()
    }

    /// Releases the journal. From now on nothing is accepted and no attempt starts; calls in flight go on. Returns what the
    /// next process should know of endpoints, with the waits of `Retry-After` that are in force.
    pub fn release_journal(&mut self, now: Nanos) -> Vec<Record> {
        let observed = |observation: EndpointObservation| {
            let EndpointObservation { uid, finding, age } = observation;
            let (kind, values) = encode_finding(finding, now);
            Record::Observed { uid, at: (now - age).0, kind, values }
        };
        let records = self.observations(now).into_iter().map(observed).collect();
        self.draining = true;
        self.journal.release();
        records
    }

    /// Attempts whose first byte may have been sent, and that have not ended.
    pub fn calls_in_flight(&self) -> usize {
        let attempts = self.pending.iter().filter_map(|(_, message)| message.in_flight());
        attempts.filter(|attempt| attempt.stage == Stage::Sent).count()
    }

    /// The record of an outcome that came after the journal was released; none where the attempt was never sent.
    pub fn late_outcome(
        &mut self, id: MessageId, attempt: u32, outcome: Outcome, over: bool,
    ) -> Option<Record> {
        let in_flight = self.pending.get(id)?.in_flight().filter(|a| a.attempt == attempt)?;
        let sent = in_flight.stage == Stage::Sent;
        let at = in_flight.started.0;
        self.pending.take_in_flight(id);
        let how = match outcome {
            Outcome::Ok => LateOutcome::Delivered,
            _ if over => LateOutcome::Final,
            outcome if outcome.never_ran() => LateOutcome::NeverRan,
            _ => LateOutcome::MayHaveRun,
        };
        sent.then_some(Record::LateOutcome { id: id.0, at, outcome: how })
    }

    /// The record of a `Retry-After` that came after the journal was released; none for an unknown endpoint.
    pub fn late_retry_after(&self, now: Nanos, host: EndpointId, wait: Nanos) -> Option<Record> {
        let (kind, values) = encode_finding(Finding::RetryAfter { left: wait }, now);
        let uid = self.endpoints.get(host)?.uid.clone();
        Some(Record::Observed { uid, at: now.0, kind, values })
    }
}

/// The process that takes the journal over.
impl Core {
    /// The predecessor may still have calls in flight for these messages.
    pub(super) fn leave_to_predecessor(&mut self, ids: &[MessageId]) {
        self.predecessor_calls.in_flight.extend(ids);
        for id in ids {
            if let Some(key) = self.pending.get(*id).and_then(|m| m.context.ordering_key) {
                self.predecessor_calls.waiting.entry(key).or_default();
                self.predecessor_calls.keys.insert(*id, key);
            }
        }
        log::info!(messages = ids.len(); "predecessor still has calls in flight");
    }

    /// Whether the message waits for a predecessor's call by its ordering key; the module then gets it later.
    pub(super) fn wait_for_predecessor(&mut self, id: MessageId) -> bool {
        let key = self.pending.get(id).and_then(|m| m.context.ordering_key);
        let waiting = key.and_then(|key| self.predecessor_calls.waiting.get_mut(&key));
        let Some(waiting) = waiting else { return false };
        waiting.push(id);
        true
    }

    /// Takes in what the predecessor reports.
    pub(super) fn predecessor_records(&mut self, records: Vec<Record>) {
        for record in records {
            match record {
                Record::LateOutcome { id, at, outcome } => {
                    self.predecessor_call_reported(MessageId(id), Nanos(at), outcome);
                }
                Record::Observed { uid, at, kind, values } => {
                    self.predecessor_observed(&uid, Nanos(at), kind, values);
                }
                // Only these two belong there.
                other => log::warn!("ignored a record of the predecessor: {other:?}"),
            }
        }
    }

    /// The predecessor reports nothing more: what it had in flight may have run.
    pub(super) fn predecessor_exited(&mut self) {
        for id in self.predecessor_calls.in_flight.clone() {
            self.predecessor_call_ended(id, LateOutcome::MayHaveRun);
        }
    }

    /// Takes in the outcome of the predecessor's call that started at `at`. Guards "no double effect" against the report of
    /// an earlier takeover: that is about another attempt.
    fn predecessor_call_reported(&mut self, id: MessageId, at: Nanos, how: LateOutcome) {
        let in_flight = self.pending.get(id).and_then(|m| m.in_flight());
        if in_flight.is_some_and(|attempt| attempt.started == at) {
            self.predecessor_call_ended(id, how);
        }
    }

    fn predecessor_call_ended(&mut self, id: MessageId, how: LateOutcome) {
        if !self.predecessor_calls.in_flight.remove(&id) {
            return;
        }
        let Some(message) = self.pending.get(id) else { return self.resume_waiting(id) };
        let context = message.context.clone();
        log::debug!(message = context.name, how:?; "outcome of a predecessor's call");
        match how {
            LateOutcome::Delivered => {
                self.pending.end_attempt(id, true);
                let completion = self.completion_of_delivery(&context);
                self.predecessor_call_completed(id, completion);
            }
            LateOutcome::Final => {
                self.pending.end_attempt(id, true);
                self.predecessor_call_completed(id, Completion::Withdrawn);
            }
            // Guards "order by key": the key pauses after a call that may still run.
            LateOutcome::MayHaveRun => self.retry_predecessor_call(id, true, self.settings.ordering_pause),
            LateOutcome::NeverRan => self.retry_predecessor_call(id, false, Nanos(0)),
        }
    }

    fn predecessor_call_completed(&mut self, id: MessageId, completion: Completion) {
        self.complete(id, completion);
        self.remove_if_done(id);
        self.resume_waiting(id);
    }

    /// The message goes on here, after this pause.
    fn retry_predecessor_call(&mut self, id: MessageId, may_have_run: bool, pause: Nanos) {
        self.pending.end_attempt(id, may_have_run);
        self.journal.append_or_defer(self.now, Record::AttemptEnded { id: id.0, may_have_run }, None);
        self.predecessor_calls.resume_at.insert(id, self.now + pause);
        self.wake_at = Some(self.now);
    }

    fn predecessor_observed(&mut self, uid: &str, at: Nanos, code: u8, values: [u64; 2]) {
        let Some(host) = self.endpoints.id(uid) else { return };
        match decode_finding(code, values, self.now) {
            // The wait was told to this forwarder, whichever of its processes received it.
            Some(Finding::RetryAfter { left }) => {
                let dest = self.endpoints.get(host).map(|e| e.dest).unwrap_or_default();
                self.events.push(Event::RetryAfter { host, dest: DestinationId(dest), wait: left });
            }
            Some(finding) => {
                let age = self.now - at;
                self.events.push(Event::PeerObservation(Observation { host, finding, age }));
            }
            None => log::warn!("ignored an observation of the predecessor: kind {code}"),
        }
    }

    /// Resumes messages whose pause is over, and completes those whose time is up.
    pub(super) fn advance_predecessor_calls(&mut self) {
        if self.predecessor_calls.is_empty() {
            return;
        }
        self.give_up_unreported_calls();
        self.resume_after_pause();
        self.complete_expired_waiting();
        self.schedule_predecessor_calls();
    }

    fn give_up_unreported_calls(&mut self) {
        let now = self.now;
        let is_late = |id: &MessageId| {
            self.pending.get(*id).is_some_and(|m| m.context.deadline + REPORT_GRACE_S <= now)
        };
        let in_flight = self.predecessor_calls.in_flight.iter().copied();
        let unreported: Vec<MessageId> = in_flight.filter(is_late).collect();
        for id in unreported {
            self.predecessor_call_ended(id, LateOutcome::MayHaveRun);
        }
    }

    fn resume_after_pause(&mut self) {
        let now = self.now;
        let pauses = self.predecessor_calls.resume_at.iter();
        let ready: Vec<MessageId> = pauses.filter(|(_, at)| **at <= now).map(|(id, _)| *id).collect();
        for id in ready {
            self.predecessor_calls.resume_at.remove(&id);
            self.resume_message(id);
            self.resume_waiting(id);
        }
    }

    /// Completes messages that wait for a call which takes longer than they have.
    fn complete_expired_waiting(&mut self) {
        let now = self.now;
        let is_expired =
            |id: &MessageId| self.pending.get_open(*id).is_some_and(|m| m.context.deadline <= now);
        let expired: Vec<MessageId> = self.predecessor_calls.waiting().filter(is_expired).collect();
        for id in expired {
            let may_have_run = self.pending.get(id).is_some_and(|m| m.first_possible_run.is_some());
            let completion =
                if may_have_run { Completion::Undeliverable } else { Completion::Deferred(None) };
            self.complete(id, completion);
        }
    }

    /// Sets the wake-up for the next pause or deadline of these messages.
    fn schedule_predecessor_calls(&mut self) {
        let calls = &self.predecessor_calls;
        let in_flight = calls.in_flight.iter().filter_map(|id| self.pending.get(*id));
        let reports = in_flight.map(|m| m.context.deadline + REPORT_GRACE_S);
        let pauses = calls.resume_at.values().copied();
        let waiting = calls.waiting().filter_map(|id| self.pending.get_open(id));
        let deadlines = waiting.map(|m| m.context.deadline);
        let Some(next) = reports.chain(pauses).chain(deadlines).min() else { return };
        self.wake_by(next.max(self.now + self.settings.tick));
    }

    /// The predecessor has nothing left of this message: the module gets those that waited for it, in their order.
    fn resume_waiting(&mut self, id: MessageId) {
        for waiting in self.predecessor_calls.release(id) {
            self.resume_message(waiting);
        }
    }

    /// Gives the module a message that was accepted before, if it is not complete.
    pub(super) fn resume_message(&mut self, id: MessageId) {
        let Some(message) = self.pending.get_open(id) else { return };
        let prior =
            PriorAttempts { attempts: message.attempts, first_possible_run: message.first_possible_run };
        self.events.push(Event::Resumed(message.message(id), prior));
    }
}
