//! The life of an attempt: the decision module decides on it, the core defers it to the end of the step and hands it to
//! the transport, the journal records it before its first byte, and its outcome ends it.
use super::completions::DEADLINE_MARGIN_S;
use super::in_flight::{InFlight, Stage};
use super::messages::{Attempt, Output};
use super::Core;
use crate::interface::{AttemptEnded, Effect, EndpointId, Event, LoadReport, MessageId, Nanos, Outcome};
use crate::journal::{Completion, Record};
use crate::request::RequestContext;

/// Maximum size of the names, keys and bodies in a batch call, in bytes. With its head the call stays below 64 KiB.
const BATCH_BYTES_MAX: usize = 56 * 1024;
/// Overhead of a message in a batch call, in bytes, in addition to its name, key and body.
const BATCH_MESSAGE_OVERHEAD_BYTES: usize = 16;

/// Returns the size of an attempt in a batch call, in bytes.
fn batch_bytes(attempt: &Attempt) -> usize {
    let context = &attempt.context;
    context.name.len() + context.idempotency_key.len() + context.body.len() + BATCH_MESSAGE_OVERHEAD_BYTES
}

/// Returns whether `call`, which carries at most `max_batch` messages, has room for one more attempt.
fn has_room(call: &[Attempt], attempt: &Attempt, max_batch: usize) -> bool {
    let bytes: usize = call.iter().map(batch_bytes).sum();
    call.len() < max_batch && bytes + batch_bytes(attempt) <= BATCH_BYTES_MAX
}

/// Adds an attempt to the last call to its endpoint if that call has room, otherwise to a new call.
fn add_to_calls(calls: &mut Vec<Vec<Attempt>>, attempt: Attempt, max_batch: usize) {
    if max_batch > 1 {
        let last = calls.iter_mut().rfind(|call| call[0].host == attempt.host);
        if let Some(call) = last.filter(|call| has_room(call, &attempt, max_batch)) {
            call.push(attempt);
            return;
        }
    }
    calls.push(vec![attempt]);
}

/// Converts the outcome of an attempt that ended before its first byte: such an attempt cannot have run.
fn outcome_before_first_byte(outcome: Outcome) -> Outcome {
    match outcome {
        Outcome::Timeout | Outcome::Reset => Outcome::ConnectFailed,
        Outcome::Cancelled => Outcome::NotSent,
        outcome => outcome,
    }
}

impl Core {
    /// Processes the outcome of an attempt. Ignores an attempt that is no longer in flight.
    pub(super) fn attempt_ended(
        &mut self, id: MessageId, attempt: u32, outcome: Outcome, over: bool, report: Option<LoadReport>,
    ) {
        // Drops load reports in a deployment whose settings have none, so that they cannot change rate limits.
        let report = report.filter(|_| self.settings.limits_reported);
        let Some(message) = self.pending.get_mut(id) else { return };
        let Some(in_flight) = message.attempt_mut(attempt) else { return };
        let took = self.now - in_flight.started;
        let (host, sent) = (in_flight.host, in_flight.stage == Stage::Sent);
        let outcome = if sent { outcome } else { outcome_before_first_byte(outcome) };
        if outcome == Outcome::NotSent {
            message.attempts -= 1;
        }
        let context = message.context.clone();
        self.log_call_without_delivery(&context, host, outcome, took);
        let may_have_run = !outcome.never_ran();
        self.pending.end_attempt(id, may_have_run);
        if self.plugins.observes_outcomes() {
            self.plugins.on_outcome(self.script_request(&context), outcome);
        }
        self.events.push(Event::AttemptEnded(AttemptEnded { id, attempt, outcome, over, took, report }));
        if outcome == Outcome::Ok {
            self.attempt_delivered(id, &context);
        } else if over {
            self.complete(id, Completion::Withdrawn);
        } else if sent && self.pending.get_open(id).is_some() {
            self.journal.append_or_defer(self.now, Record::AttemptEnded { id: id.0, may_have_run }, None);
        }
        self.remove_if_done(id);
    }

    /// Logs an attempt that reached an endpoint, or was meant to, and delivered nothing. The log limits the number of lines.
    fn log_call_without_delivery(
        &self, context: &RequestContext, host: EndpointId, outcome: Outcome, took: Nanos,
    ) {
        if matches!(outcome, Outcome::Ok | Outcome::NotSent | Outcome::Cancelled) {
            return;
        }
        let Some(endpoint) = self.endpoints.get(host) else { return };
        log::info!(
            message = context.name, host = endpoint.uid, dest = endpoint.dest, outcome:? = outcome, took_s = took.secs();
            "call delivered nothing"
        );
    }

    fn attempt_delivered(&mut self, id: MessageId, context: &RequestContext) {
        let completion = self.completion_of_delivery(context);
        if self.pending.get_open(id).is_some() {
            self.complete(id, completion);
        } else {
            log::warn!(message = context.name, dest = context.dest; "message delivered after its completion");
        }
    }

    /// Returns the completion of a message whose endpoint confirmed the delivery. For the platform, which gets no callback on
    /// a delivery, a confirmation at the deadline counts as undeliverable: the platform has already given the message up and
    /// still waits for its completion. A callback on a delivery in time does no harm. Other client interfaces are notified
    /// of every completion and judge lateness themselves.
    pub(super) fn completion_of_delivery(&self, context: &RequestContext) -> Completion {
        let is_late = (context.deadline - self.now).secs() <= DEADLINE_MARGIN_S;
        if is_late && context.origin.is_empty() {
            log::debug!(message = context.name, dest = context.dest; "delivered at its deadline, so undeliverable");
            return Completion::Undeliverable;
        }
        Completion::Delivered
    }

    /// Registers an attempt that the decision module decided on. The attempt is deferred to the end of the step.
    pub(super) fn defer_attempt(&mut self, id: MessageId, host: EndpointId, timeout: Nanos) {
        let zone = self.endpoints.get(host).map_or(0, |e| e.zone);
        let Some(message) = self.pending.get_mut(id) else {
            // The message was rejected after this decision. The decision module still waits for an outcome, and its slot would
            // leak without one.
            return self.skip_attempt(id, 0);
        };
        // Attempts start after all actions of the step: a completion in the same step may block the ordering key, because a
        // message with a callback holds its key until the callback is acknowledged.
        let stage = Stage::Deferred;
        let attempt = InFlight { attempt: message.attempts, started: self.now, zone, stage, host, timeout };
        message.attempts += 1;
        self.pending.set_in_flight(id, attempt);
        self.ordering.defer(id);
    }

    /// Hands deferred attempts to the transport, and parks those whose ordering key is blocked. Attempts of a step to the
    /// same endpoint share a call, up to the batch size of the endpoint's kind.
    pub(super) fn start_deferred_attempts(&mut self) {
        let mut calls = Vec::new();
        for id in self.ordering.take_deferred() {
            let Some(attempt) = self.start_deferred_attempt(id) else { continue };
            let max_batch = self.max_batch(attempt.host);
            add_to_calls(&mut calls, attempt, max_batch);
        }
        self.outputs.extend(calls.into_iter().map(Output::Call));
    }

    /// Returns the attempt to hand to the transport; `None` if it was abandoned in this step or is now parked.
    fn start_deferred_attempt(&mut self, id: MessageId) -> Option<Attempt> {
        let message = self.pending.get_mut(id)?;
        let context = message.context.clone();
        let in_flight = message.deferred_attempt_mut()?;
        if let Some(key) = context.ordering_key.filter(|key| self.ordering.is_blocked(*key)) {
            self.ordering.park(key, id);
            return None;
        }
        in_flight.stage = Stage::Connecting;
        in_flight.started = self.now;
        let (attempt, host) = (in_flight.attempt, in_flight.host);
        let timeout = in_flight.timeout.min(context.deadline - self.now);
        log::debug!(message = context.name, attempt, dest = context.dest; "attempt starts");
        let address = self.endpoints.get(host).map(|e| e.address.clone()).unwrap_or_default();
        let class = self.settings.classes.get(context.class);
        let at_most_once = class.is_some_and(|c| c.effect == Effect::AtMostOnce);
        Some(Attempt { id, attempt, host, address, timeout, at_most_once, context })
    }

    /// Returns the maximum number of messages in one call to this endpoint.
    fn max_batch(&self, host: EndpointId) -> usize {
        let kind = self.endpoints.get(host).and_then(|e| self.settings.kinds.get(e.kind));
        kind.map_or(1, |k| k.max_batch)
    }

    /// Returns whether an attempt may still be sent. The transport calls this once, after the connect and before the first
    /// byte: during a slow connect a `Retry-After`, a drain, an outage (which permits trial attempts only) or a withdrawal
    /// may have outdated the decision. After `true` the journal has the attempt and it may run; after `false` it must end as
    /// [`Outcome::NotSent`].
    pub fn may_send(&mut self, now: Nanos, id: MessageId, attempt: u32) -> bool {
        let Some(message) = self.pending.get_mut(id).filter(|m| m.is_open()) else { return false };
        let context = message.context.clone();
        let Some(in_flight) = message.attempt_mut(attempt) else { return false };
        let permitted =
            in_flight.stage == Stage::Connecting && !self.draining && self.balancer.may_still_send(now, id);
        let (at, zone) = (in_flight.started.0, in_flight.zone as u32);
        let record = Record::AttemptStarted { id: id.0, at, zone, earlier_attempts: 0 };
        // An attempt that is not in the journal must not start: after a restart the message could run twice.
        if !permitted || self.journal.append(now, &record).is_err() {
            log::debug!(message = context.name, attempt, permitted; "attempt not sent: the decision no longer holds");
            return false;
        }
        in_flight.stage = Stage::Sent;
        self.metrics.record_relayed(context.class);
        log::debug!(message = context.name, attempt, dest = context.dest; "first byte");
        true
    }

    /// Reports to the decision module that an attempt was never handed to the transport and that its message is done.
    pub(super) fn skip_attempt(&mut self, id: MessageId, attempt: u32) {
        self.events.push(Event::AttemptEnded(AttemptEnded {
            id,
            attempt,
            outcome: Outcome::Skipped,
            over: true,
            took: Nanos(0),
            report: None,
        }));
        self.wake_at = Some(self.now);
    }
}
