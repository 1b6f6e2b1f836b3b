//! Attempts: decided by the module, deferred to the end of the step, handed to the transport, started once the journal
//! has them, ended.
use super::completions::DEADLINE_MARGIN_S;
use super::in_flight::{InFlight, Stage};
use super::messages::{Attempt, Output};
use super::Core;
use crate::interface::{AttemptEnded, Effect, EndpointId, Event, LoadReport, MessageId, Nanos, Outcome};
use crate::journal::{Completion, Record};
use crate::plugins;
use crate::request::RequestContext;

/// Bytes of bodies and names in one call with several messages. Such a call is 64 KiB at the most, with its head.
const BATCH_BYTES_MAX: usize = 56 * 1024;
/// Bytes that a message takes in such a call beside its names and its body.
const BATCH_LINE_BYTES: usize = 16;

/// Bytes that an attempt takes in a call with several messages.
fn batch_bytes(attempt: &Attempt) -> usize {
    let context = &attempt.context;
    context.name.len() + context.idempotency_key.len() + context.body.len() + BATCH_LINE_BYTES
}

/// Whether a call that carries up to `max_batch` messages has room for one more attempt.
fn fits(call: &[Attempt], attempt: &Attempt, max_batch: usize) -> bool {
    let bytes: usize = call.iter().map(batch_bytes).sum();
    call.len() < max_batch && bytes + batch_bytes(attempt) <= BATCH_BYTES_MAX
}

/// Adds an attempt to the last call to its endpoint, where that has room, or as a call of its own.
fn add_to_calls(calls: &mut Vec<Vec<Attempt>>, attempt: Attempt, max_batch: usize) {
    if max_batch > 1 {
        let last = calls.iter_mut().rfind(|call| call[0].host == attempt.host);
        if let Some(call) = last.filter(|call| fits(call, &attempt, max_batch)) {
            call.push(attempt);
            return;
        }
    }
    calls.push(vec![attempt]);
}

/// What the outcome of an attempt says about a request of which no byte was sent: it never ran, however it was cut off.
fn outcome_before_first_byte(outcome: Outcome) -> Outcome {
    match outcome {
        Outcome::Timeout | Outcome::Reset => Outcome::ConnectFailed,
        Outcome::Cancelled => Outcome::NotSent,
        outcome => outcome,
    }
}

impl Core {
    /// Takes in the outcome of an attempt. An attempt that is not in flight any more changes nothing.
    pub(super) fn attempt_ended(
        &mut self, id: MessageId, attempt: u32, outcome: Outcome, over: bool, report: Option<LoadReport>,
    ) {
        // Guards the rate limits against a load report in a deployment whose settings have none.
        let report = report.filter(|_| self.settings.limits_reported);
        let Some(message) = self.pending.get_mut(id) else { return };
        let Some(in_flight) = message.attempt_mut(attempt) else { return };
        let took = self.now - in_flight.started;
        let sent = in_flight.stage == Stage::Sent;
        let outcome = if sent { outcome } else { outcome_before_first_byte(outcome) };
        if outcome == Outcome::NotSent {
            message.attempts -= 1;
        }
        let context = message.context.clone();
        let may_have_run = !outcome.never_ran();
        self.pending.end_attempt(id, may_have_run);
        self.plugins.on_outcome(&context, self.details(&context), &plugins::outcome_text(outcome));
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

    fn attempt_delivered(&mut self, id: MessageId, context: &RequestContext) {
        let completion = self.completion_of_delivery(context);
        if self.pending.get_open(id).is_some() {
            self.complete(id, completion);
        } else {
            log::warn!(message = context.name, dest = context.dest; "delivered after its completion");
        }
    }

    /// How a message completes whose endpoint confirms the delivery. Guards against a confirmation that arrives at the
    /// deadline: the platform has given the message up by then and still waits for its completion. A callback for one that
    /// was in time after all does no harm. Other client sides are notified of every completion and judge themselves what
    /// is late.
    pub(super) fn completion_of_delivery(&self, context: &RequestContext) -> Completion {
        let is_late = (context.deadline - self.now).secs() <= DEADLINE_MARGIN_S;
        if is_late && context.origin.is_empty() {
            log::debug!(message = context.name, dest = context.dest; "delivered at its deadline");
            return Completion::Undeliverable;
        }
        Completion::Delivered
    }

    /// The module has decided on an attempt. It stays deferred until the end of the step.
    pub(super) fn defer_attempt(&mut self, id: MessageId, host: EndpointId, timeout: Nanos) {
        let zone = self.endpoints.get(host).map_or(0, |e| e.zone);
        let Some(message) = self.pending.get_mut(id) else {
            // Guards the slots: the module waits for the outcome of an attempt whose message was rejected after all.
            return self.skip_attempt(id, 0);
        };
        // Guards "order by key": a message with a callback is over only once that is acknowledged.
        let stage = Stage::Deferred;
        let attempt = InFlight { attempt: message.attempts, started: self.now, zone, stage, host, timeout };
        message.attempts += 1;
        self.pending.set_in_flight(id, attempt);
        self.ordering.defer(id);
    }

    /// Hands deferred attempts to the transport, and parks those whose ordering key is blocked. Attempts of one step to one
    /// endpoint are one call, as far as the endpoint's kind allows.
    pub(super) fn start_deferred_attempts(&mut self) {
        let mut calls = Vec::new();
        for id in self.ordering.take_deferred() {
            let Some(attempt) = self.start_deferred_attempt(id) else { continue };
            let max_batch = self.max_batch(attempt.host);
            add_to_calls(&mut calls, attempt, max_batch);
        }
        self.outputs.extend(calls.into_iter().map(Output::Call));
    }

    /// Returns the attempt for the transport; none where it was given up meanwhile, or is parked.
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

    /// How many messages one call to this endpoint may carry.
    fn max_batch(&self, host: EndpointId) -> usize {
        let kind = self.endpoints.get(host).and_then(|e| self.settings.kinds.get(e.kind));
        kind.map_or(1, |k| k.max_batch)
    }

    /// Whether what was decided on this attempt still holds. Asked once, when the attempt has its connection and before its
    /// first byte. Guards waits, drains, trials and withdrawals that came during a slow connect. From `true` on the attempt
    /// may have run, and the journal has it; after `false` it ends as [`Outcome::NotSent`].
    pub fn may_send(&mut self, now: Nanos, id: MessageId, attempt: u32) -> bool {
        let Some(message) = self.pending.get_mut(id).filter(|m| m.is_open()) else { return false };
        let context = message.context.clone();
        let Some(in_flight) = message.attempt_mut(attempt) else { return false };
        let permitted =
            in_flight.stage == Stage::Connecting && !self.draining && self.balancer.may_still_send(now, id);
        let (at, zone) = (in_flight.started.0, in_flight.zone as u32);
        let record = Record::AttemptStarted { id: id.0, at, zone, earlier_attempts: 0 };
        // Guards "no double effect" across restarts: an attempt that the journal does not have does not start.
        if !permitted || self.journal.append(now, &record).is_err() {
            log::debug!(message = context.name, attempt, permitted; "not sent: the decision no longer holds");
            return false;
        }
        in_flight.stage = Stage::Sent;
        self.metrics.record_relayed(context.class);
        log::debug!(message = context.name, attempt, dest = context.dest; "first byte");
        true
    }

    /// Reports to the module an attempt that was never handed to the transport and whose message is over.
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
