//! Attempts: held back, on their way to a connection, started once the journal knows of them, ended.
use super::completions::TIME_UP;
use super::messages::{Attempt, Output};
use super::pending::{Out, Stage};
use super::Core;
use crate::interface::{AttemptEnded, Effect, EndpointId, Event, LoadReport, MessageId, Nanos, Outcome};
use crate::journal::{Completion, Record};
use crate::plugins;
use crate::request::RequestContext;

/// Bytes of bodies and names in one call with several messages, which is 64 KiB at the most.
const CALL_MOST: usize = 56 * 1024;
/// What a message takes in it beside those.
const LINE: usize = 16;

/// Whether a call that carries `most` messages takes this one too.
fn fits(call: &[Attempt], one: &Attempt, most: usize) -> bool {
    let size =
        |t: &Attempt| t.context.name.len() + t.context.idempotency_key.len() + t.context.body.len() + LINE;
    call.len() < most && call.iter().chain([one]).map(size).sum::<usize>() <= CALL_MOST
}

impl Core {
    /// The message has an attempt out. With `take_out` the only place that says so: `busy` agrees with what is held.
    pub(super) fn put_out(&mut self, id: MessageId, out: Out) {
        let Some(h) = self.held.get_mut(&id) else { return };
        self.busy.add(out.host);
        if let Some(before) = h.out.replace(out) {
            self.busy.remove(before.host);
        }
    }

    /// The message has no attempt out any more; gives the one that it had.
    pub(super) fn take_out(&mut self, id: MessageId) -> Option<Out> {
        let out = self.held.get_mut(&id)?.out.take()?;
        self.busy.remove(out.host);
        Some(out)
    }

    /// The message's attempt is over, and may have run or did not.
    pub(super) fn ran(&mut self, id: MessageId, may_have_run: bool) {
        let Some(out) = self.take_out(id).filter(|o| may_have_run && o.stage == Stage::Sent) else { return };
        if let Some(h) = self.held.get_mut(&id) {
            h.first_possible_run.get_or_insert((out.started, out.zone));
        }
    }

    pub(super) fn attempt_ended(
        &mut self, id: MessageId, attempt: u32, outcome: Outcome, over: bool, report: Option<LoadReport>,
    ) {
        // Guards the paces against a word that this deployment does not have.
        let report = report.filter(|_| self.settings.limits_reported);
        let Some(h) = self.held.get_mut(&id) else { return };
        let Some(out) = h.out.as_ref().filter(|o| o.attempt == attempt) else { return };
        let (took, sent) = (self.now - out.started, out.stage == Stage::Sent);
        // Broken off before its first byte: it never ran, whatever its end is called.
        let outcome = match outcome {
            Outcome::Timeout | Outcome::Reset if !sent => Outcome::ConnectFailed,
            Outcome::Cancelled if !sent => Outcome::NotSent,
            outcome => outcome,
        };
        let may_have_run = !outcome.never_ran();
        let context = h.context.clone();
        if outcome == Outcome::NotSent {
            h.attempts -= 1;
        }
        self.ran(id, may_have_run);
        self.plugins.on_outcome(&context, self.details(&context), &plugins::outcome_text(outcome));
        self.events.push(Event::AttemptEnded(AttemptEnded { id, attempt, outcome, over, took, report }));
        if outcome == Outcome::Ok || over {
            let end = if outcome == Outcome::Ok { self.delivered(&context) } else { Completion::Withdrawn };
            if self.held[&id].end.is_none() {
                self.end(id, end);
            } else if outcome == Outcome::Ok {
                log::warn!(message = context.name, dest = context.dest; "delivered after its end");
            }
        } else if sent && self.held[&id].end.is_none() {
            self.ledger.keep(self.now, Record::AttemptEnded { id: id.0, may_have_run }, None);
        }
        self.drop_if_done(id);
    }

    /// How a message ends whose endpoint says that it has run. Guards against a word that comes with the end of its time: the
    /// platform has written the message off by then and still waits for its end. A notice for one that was in time after
    /// all does no harm; other fronts are told of each end, and know best themselves what is late.
    pub(super) fn delivered(&self, context: &RequestContext) -> Completion {
        let late = (context.deadline - self.now).secs() <= TIME_UP;
        if late && context.origin.is_empty() {
            log::debug!(message = context.name, dest = context.dest; "delivered with the end of its time");
            return Completion::Undeliverable;
        }
        Completion::Delivered
    }

    pub(super) fn send(&mut self, id: MessageId, host: EndpointId, timeout: Nanos) {
        let (now, zone) = (self.now, self.hosts.get(&host).map_or(0, |m| m.zone));
        let Some(h) = self.held.get_mut(&id) else {
            // Guards the slots: the module waits to hear of an attempt whose message was not taken on after all.
            return self.not_sent(id, 0, true);
        };
        // Guards "order by key": a message that ends by a notice is over only once the notice is answered.
        let out = Out { attempt: h.attempts, started: now, zone, stage: Stage::HeldBack, host, timeout };
        h.attempts += 1;
        self.put_out(id, out);
        self.held_back.insert(id);
    }

    /// Lets the attempts go to their connections whose key is free. Those of one moment to one endpoint are one call, as far
    /// as its kind allows.
    pub(super) fn release_held_back(&mut self) {
        let mut calls: Vec<Vec<Attempt>> = Vec::new();
        for id in std::mem::take(&mut self.held_back) {
            let Some(h) = self.held.get_mut(&id) else { continue };
            let Some(out) = h.out.as_mut().filter(|o| o.stage == Stage::HeldBack) else { continue };
            if let Some(key) = h.context.ordering_key.filter(|k| self.unheard.contains_key(k)) {
                self.parked.entry(key).or_default().push(id);
                continue;
            }
            let (attempt, host) = (out.attempt, out.host);
            (out.stage, out.started) = (Stage::Connecting, self.now);
            let timeout = out.timeout.min(h.context.deadline - self.now);
            let context = h.context.clone();
            log::debug!(message = context.name, "try" = attempt, dest = context.dest; "try starts");
            let address = self.hosts.get(&host).map(|m| m.address.clone()).unwrap_or_default();
            let once =
                self.settings.classes.get(context.class).is_some_and(|c| c.effect == Effect::AtMostOnce);
            let one = Attempt { id, attempt, host, address, timeout, at_most_once: once, context };
            let most = self.max_batch(host);
            let open = (most > 1).then(|| calls.iter_mut().rfind(|call| call[0].host == host)).flatten();
            match open.filter(|call| fits(call, &one, most)) {
                Some(call) => call.push(one),
                None => calls.push(vec![one]),
            }
        }
        self.orders.extend(calls.into_iter().map(Output::Call));
    }

    fn max_batch(&self, host: EndpointId) -> usize {
        let kind = self.hosts.get(&host).and_then(|m| self.settings.kinds.get(m.kind));
        kind.map_or(1, |k| k.max_batch)
    }

    /// Asked once, when an attempt has its connection and before its first byte: whether what was decided then still
    /// holds. Guards waits, drains, trials and what was called off against a connect that took long. From a yes on
    /// the attempt may have run, and the journal knows of it; after a no it ends as `Unsent`.
    pub fn may_send(&mut self, now: Nanos, id: MessageId, attempt: u32) -> bool {
        let Some(h) = self.held.get_mut(&id).filter(|h| h.end.is_none()) else { return false };
        let Some(out) = h.out.as_mut().filter(|o| o.attempt == attempt) else { return false };
        let stands = out.stage == Stage::Connecting && !self.resting && self.balancer.may_still_send(now, id);
        let (at, zone) = (out.started.0, out.zone as u32);
        // Guards "no double effect" across restarts: what the journal does not know of does not start.
        if !stands || !self.ledger.first(now, &Record::AttemptStarted { id: id.0, at, zone, before: 0 }) {
            log::debug!(message = h.context.name, "try" = attempt, stands; "not sent: decided anew");
            return false;
        }
        out.stage = Stage::Sent;
        self.metrics.record_relayed(h.context.class);
        log::debug!(message = h.context.name, "try" = attempt, dest = h.context.dest; "first byte");
        true
    }

    /// Tells the module of an attempt that did not start.
    pub(super) fn not_sent(&mut self, id: MessageId, attempt: u32, over: bool) {
        let (outcome, took) = (Outcome::Skipped, Nanos(0));
        self.events.push(Event::AttemptEnded(AttemptEnded {
            id,
            attempt,
            outcome,
            over,
            took,
            report: None,
        }));
        self.wake = Some(self.now);
    }
}
