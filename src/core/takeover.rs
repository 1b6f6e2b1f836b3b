//! Takeover of the journal by another process while calls are in flight. The process that releases the journal (the
//! predecessor) reports the outcomes of its calls. The process that takes the journal over holds back the messages of these
//! calls, and all later messages with the same ordering key, until it has the outcomes.
use super::in_flight::Stage;
use super::messages::EndpointObservation;
use super::Core;
use crate::interface::{
    DestinationId, EndpointId, Event, Finding, MessageId, Nanos, Observation, Outcome, PriorAttempts,
};
use crate::journal::{Completion, LateOutcome, Record};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// How long after a message's deadline its late outcome is still awaited, in seconds. Leaves time for the predecessor's own
/// timeout and for the transfer of its report through the file.
const REPORT_GRACE_S: f64 = 0.08;

/// Codes of findings in `Observed` records. They must not change, because another version may read them.
mod finding_code {
    pub(super) const OUTAGE: u8 = 0;
    pub(super) const RECOVERING: u8 = 1;
    pub(super) const HEALTHY: u8 = 2;
    pub(super) const RETRY_AFTER: u8 = 3;
    pub(super) const RATE_LIMIT: u8 = 4;
    pub(super) const CONNECTION_CAPACITY: u8 = 5;
}

/// The predecessor's calls and the messages that wait for them, in the process that has taken the journal over.
#[derive(Default)]
pub(super) struct PredecessorCalls {
    /// Messages for which the predecessor may still have a call in flight.
    in_flight: BTreeSet<MessageId>,
    /// Messages whose call has ended without a delivery, and the time at which they resume.
    resume_at: BTreeMap<MessageId, Nanos>,
    /// By ordering key, messages that wait for a message in `in_flight` or `resume_at`, in order. The decision module does not
    /// have them yet.
    waiting: HashMap<u64, Vec<MessageId>>,
    /// Ordering keys of the messages in `in_flight` and `resume_at`.
    keys: HashMap<MessageId, u64>,
}

impl PredecessorCalls {
    fn is_empty(&self) -> bool {
        self.in_flight.is_empty() && self.resume_at.is_empty() && self.waiting.is_empty()
    }

    /// Returns all messages that wait because of their ordering key.
    fn waiting(&self) -> impl Iterator<Item = MessageId> + '_ {
        self.waiting.values().flatten().copied()
    }

    /// Releases the ordering key of this message, and returns the messages that waited for it, in order.
    fn release(&mut self, id: MessageId) -> Vec<MessageId> {
        let Some(key) = self.keys.remove(&id) else { return Vec::new() };
        self.waiting.remove(&key).unwrap_or_default()
    }
}

/// Encodes a finding for an `Observed` record as its code and values. Times are Unix nanoseconds.
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

/// Decodes the finding of a record; `None` if its code is unknown or a number is not finite or is negative.
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

/// Operations of the process that releases the journal.
impl Core {
    /// Returns whether the journal cannot be released now, because it cannot be written or because calls of an earlier takeover
    /// are unresolved.
    pub fn is_release_blocked(&self) -> bool {
        self.journal.is_unavailable() || !self.predecessor_calls.is_empty()
    }

    /// Releases the journal. From now on nothing is accepted and no attempt starts; calls in flight continue. Returns this
    /// forwarder's observations of endpoints for the next process, including the `Retry-After` waits in force.
    pub fn release_journal(&mut self, now: Nanos) -> Vec<Record> {
        let to_record = |observation: EndpointObservation| {
            let EndpointObservation { uid, finding, age } = observation;
            let (kind, values) = encode_finding(finding, now);
            Record::Observed { uid, at: (now - age).0, kind, values }
        };
        let records = self.observations(now).into_iter().map(to_record).collect();
        self.draining = true;
        self.journal.release();
        records
    }

    /// Returns the number of attempts in flight whose first byte may have been sent.
    pub fn calls_in_flight(&self) -> usize {
        let attempts = self.pending.iter().filter_map(|(_, message)| message.in_flight());
        attempts.filter(|attempt| attempt.stage == Stage::Sent).count()
    }

    /// Ends an attempt after the release of the journal. Returns the record of its outcome; `None` if it was never sent.
    pub fn late_outcome(
        &mut self, id: MessageId, attempt: u32, outcome: Outcome, over: bool,
    ) -> Option<Record> {
        let in_flight = self.pending.get(id)?.in_flight().filter(|a| a.attempt == attempt)?;
        let sent = in_flight.stage == Stage::Sent;
        let at = in_flight.started.0;
        self.pending.take_in_flight(id);
        let late_outcome = match outcome {
            Outcome::Ok => LateOutcome::Delivered,
            _ if over => LateOutcome::Final,
            outcome if outcome.never_ran() => LateOutcome::NeverRan,
            _ => LateOutcome::MayHaveRun,
        };
        sent.then_some(Record::LateOutcome { id: id.0, at, outcome: late_outcome })
    }

    /// Returns the record of a `Retry-After` that arrived after the release of the journal; `None` for an unknown endpoint.
    pub fn late_retry_after(&self, now: Nanos, host: EndpointId, wait: Nanos) -> Option<Record> {
        let (kind, values) = encode_finding(Finding::RetryAfter { left: wait }, now);
        let uid = self.endpoints.get(host)?.uid.clone();
        Some(Record::Observed { uid, at: now.0, kind, values })
    }
}

/// Operations of the process that takes the journal over.
impl Core {
    /// Holds back messages for which the predecessor may still have calls in flight.
    pub(super) fn await_predecessor_calls(&mut self, ids: &[MessageId]) {
        self.predecessor_calls.in_flight.extend(ids);
        for id in ids {
            if let Some(key) = self.pending.get(*id).and_then(|m| m.context.ordering_key) {
                self.predecessor_calls.waiting.entry(key).or_default();
                self.predecessor_calls.keys.insert(*id, key);
            }
        }
        log::info!(messages = ids.len(); "predecessor still has calls in flight");
    }

    /// Queues the message if a predecessor's call has its ordering key; the decision module then gets it later. Returns whether
    /// it was queued.
    pub(super) fn queue_behind_predecessor(&mut self, id: MessageId) -> bool {
        let key = self.pending.get(id).and_then(|m| m.context.ordering_key);
        let waiting = key.and_then(|key| self.predecessor_calls.waiting.get_mut(&key));
        let Some(waiting) = waiting else { return false };
        waiting.push(id);
        true
    }

    /// Processes the records that the predecessor reports.
    pub(super) fn handle_predecessor_records(&mut self, records: Vec<Record>) {
        for record in records {
            match record {
                Record::LateOutcome { id, at, outcome } => {
                    self.predecessor_call_reported(MessageId(id), Nanos(at), outcome);
                }
                Record::Observed { uid, at, kind, values } => {
                    self.handle_predecessor_observation(&uid, Nanos(at), kind, values);
                }
                // A predecessor reports only these two kinds.
                other => log::warn!("unexpected record from the predecessor ignored: {other:?}"),
            }
        }
    }

    /// Ends all unreported calls once the predecessor has exited: they may have run.
    pub(super) fn handle_predecessor_exit(&mut self) {
        for id in self.predecessor_calls.in_flight.clone() {
            self.predecessor_call_ended(id, LateOutcome::MayHaveRun);
        }
    }

    /// Processes the outcome of the predecessor's call that started at `at`. Ignores a report from an earlier takeover: it
    /// is about another attempt, and applying it could let the message run twice.
    fn predecessor_call_reported(&mut self, id: MessageId, at: Nanos, outcome: LateOutcome) {
        let in_flight = self.pending.get(id).and_then(|m| m.in_flight());
        if in_flight.is_some_and(|attempt| attempt.started == at) {
            self.predecessor_call_ended(id, outcome);
        }
    }

    fn predecessor_call_ended(&mut self, id: MessageId, outcome: LateOutcome) {
        if !self.predecessor_calls.in_flight.remove(&id) {
            return;
        }
        let Some(message) = self.pending.get(id) else { return self.resume_waiting(id) };
        let context = message.context.clone();
        log::debug!(message = context.name, how:? = outcome; "outcome of a predecessor's call");
        match outcome {
            LateOutcome::Delivered => {
                self.pending.end_attempt(id, true);
                let completion = self.completion_of_delivery(&context);
                self.complete_predecessor_call(id, completion);
            }
            LateOutcome::Final => {
                self.pending.end_attempt(id, true);
                self.complete_predecessor_call(id, Completion::Withdrawn);
            }
            // The call may still run. The pause keeps later messages of its ordering key from overtaking it.
            LateOutcome::MayHaveRun => self.retry_predecessor_call(id, true, self.settings.ordering_pause),
            LateOutcome::NeverRan => self.retry_predecessor_call(id, false, Nanos(0)),
        }
    }

    fn complete_predecessor_call(&mut self, id: MessageId, completion: Completion) {
        self.complete(id, completion);
        self.remove_if_done(id);
        self.resume_waiting(id);
    }

    /// Schedules the message to resume in this process after a pause.
    fn retry_predecessor_call(&mut self, id: MessageId, may_have_run: bool, pause: Nanos) {
        self.pending.end_attempt(id, may_have_run);
        self.journal.append_or_defer(self.now, Record::AttemptEnded { id: id.0, may_have_run }, None);
        self.predecessor_calls.resume_at.insert(id, self.now + pause);
        self.wake_at = Some(self.now);
    }

    fn handle_predecessor_observation(&mut self, uid: &str, at: Nanos, code: u8, values: [u64; 2]) {
        let Some(host) = self.endpoints.id(uid) else { return };
        match decode_finding(code, values, self.now) {
            // The wait applies to the forwarder, no matter which of its processes received it.
            Some(Finding::RetryAfter { left }) => {
                let dest = self.endpoints.get(host).map(|e| e.dest).unwrap_or_default();
                self.events.push(Event::RetryAfter { host, dest: DestinationId(dest), wait: left });
            }
            Some(finding) => {
                let age = self.now - at;
                self.events.push(Event::PeerObservation(Observation { host, finding, age }));
            }
            None => log::warn!("invalid observation from the predecessor ignored: kind {code}"),
        }
    }

    /// Resumes messages whose pause is over, gives up unreported calls, and completes waiting messages at their deadline.
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

    /// Completes messages that reached their deadline while they waited for a predecessor's call.
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

    /// Schedules a wake-up for the next report limit, end of a pause, or deadline of these messages.
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

    /// Passes the messages that waited for this one to the decision module, in order.
    fn resume_waiting(&mut self, id: MessageId) {
        for waiting in self.predecessor_calls.release(id) {
            self.resume_message(waiting);
        }
    }

    /// Passes a previously accepted message to the decision module if it is not complete.
    pub(super) fn resume_message(&mut self, id: MessageId) {
        let Some(message) = self.pending.get_open(id) else { return };
        let prior =
            PriorAttempts { attempts: message.attempts, first_possible_run: message.first_possible_run };
        self.events.push(Event::Resumed(message.message(id), prior));
    }
}
