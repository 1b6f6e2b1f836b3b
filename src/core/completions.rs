//! Completions: written to the journal, reported once, kept until the callback is acknowledged, remembered for repeats.
use super::messages::Output;
use super::Core;
use crate::interface::{Effect, MessageId, Nanos};
use crate::journal::{Completion, Record};
use crate::metrics::MessageResult;
use crate::request::RequestContext;

/// How long after its deadline a complete message is remembered, in seconds: a repeat may cross the network that long.
const REMEMBER_AFTER_DEADLINE_S: f64 = 2.0;

/// A message this close to its deadline, in seconds, counts as past it: one that is handed back does not run after a
/// restart either, and the client of one that is answered may have given it up already.
pub(super) const DEADLINE_MARGIN_S: f64 = 0.05;

/// How operators count a completion; none where the client withdrew the message.
fn message_result(completion: Completion) -> Option<MessageResult> {
    match completion {
        Completion::Delivered => Some(MessageResult::Fulfilled),
        Completion::Undeliverable => Some(MessageResult::Faulted),
        Completion::Deferred(_) => Some(MessageResult::Throttled),
        Completion::Withdrawn => None,
    }
}

impl Core {
    /// Completes a message, unless it is complete already.
    pub(super) fn complete(&mut self, id: MessageId, wanted: Completion) {
        let now = self.now;
        let Some(message) = self.pending.get_open(id) else { return };
        let context = message.context.clone();
        self.abandon_deferred_attempt(id);
        let left_s = (context.deadline - now).secs();
        log::debug!(message = context.name, completion:? = wanted, left_s; "complete");
        let record = Record::Completed { id: id.0, at: now.0, completion: wanted };
        let written = self.journal.append(now, &record).is_ok();
        let completion = if written { wanted } else { self.completion_without_journal(&context, wanted) };
        self.set_complete(id, completion);
        if let Some(result) = message_result(completion) {
            self.metrics.record_result(context.class, result);
        }
        let Some(message) = self.pending.get(id) else { return };
        let callback = message.callback(id, completion).map(Output::Callback);
        if written {
            self.outputs.extend(callback);
        } else {
            self.report_before_journal(id, completion, callback);
        }
        self.remember(&context, now, completion);
        self.remove_if_done(id);
    }

    /// An attempt that was never handed to the transport ends with its message; the module still waits for its outcome.
    fn abandon_deferred_attempt(&mut self, id: MessageId) {
        let deferred = self.pending.get_mut(id).and_then(|m| m.deferred_attempt_mut());
        let Some(attempt) = deferred.map(|a| a.attempt) else { return };
        self.pending.take_in_flight(id);
        self.skip_attempt(id, attempt);
    }

    /// The completion to report where the journal cannot hold it yet. Guards "no double effect": a process that is killed
    /// now resumes the message, so its client must not be told that a retry is harmless.
    fn completion_without_journal(&self, context: &RequestContext, wanted: Completion) -> Completion {
        let effect = self.settings.classes.get(context.class).map(|c| c.effect);
        let would_run_again = (context.deadline - self.now).secs() > DEADLINE_MARGIN_S;
        match wanted {
            Completion::Deferred(_) if effect == Some(Effect::AtMostOnce) && would_run_again => {
                Completion::Undeliverable
            }
            _ => wanted,
        }
    }

    /// Reports a completion that the journal does not hold yet. A delivery is reported only once it is written: after a
    /// kill, the message might complete in another way.
    fn report_before_journal(&mut self, id: MessageId, completion: Completion, callback: Option<Output>) {
        let record = Record::Completed { id: id.0, at: self.now.0, completion };
        if completion == Completion::Delivered {
            self.journal.append_or_defer(self.now, record, callback);
        } else {
            self.outputs.extend(callback);
            self.journal.append_or_defer(self.now, record, None);
        }
    }

    /// Marks the message complete. Its ordering key is blocked until its callback is acknowledged.
    pub(super) fn set_complete(&mut self, id: MessageId, completion: Completion) {
        let Some(message) = self.pending.get(id) else { return };
        let key = message.context.ordering_key;
        self.pending.set_complete(id, completion);
        if let Some(key) = key {
            self.ordering.block(key);
        }
    }

    /// The client has acknowledged the message's callback.
    pub(super) fn acknowledge_callback(&mut self, id: MessageId) {
        let Some(message) = self.pending.acknowledge_callback(id) else { return };
        if let Some(key) = message.context.ordering_key {
            self.ordering.unblock(key);
        }
        self.remove_if_done(id);
    }

    /// Remembers a complete message for its repeats. One that was handed back or withdrawn may come again as if new.
    pub(super) fn remember(&mut self, context: &RequestContext, at: Nanos, completion: Completion) {
        let delivered = match completion {
            Completion::Delivered => true,
            Completion::Undeliverable => false,
            Completion::Deferred(_) | Completion::Withdrawn => return,
        };
        let class = self.settings.classes.get(context.class);
        let window = match class.map(|c| c.effect) {
            Some(Effect::IdempotentByKey { window, .. }) => window,
            _ => Nanos(0),
        };
        let until = context.deadline.max(at + window) + REMEMBER_AFTER_DEADLINE_S;
        let (name, idempotency_key) = (context.name.clone(), context.idempotency_key.clone());
        self.deduplication.expire(self.now);
        self.deduplication.insert(name, idempotency_key, until, delivered);
    }

    /// Removes the message once neither a callback nor an attempt of it is left.
    pub(super) fn remove_if_done(&mut self, id: MessageId) {
        let Some(message) = self.pending.get(id) else { return };
        if message.is_settled() && message.in_flight().is_none() {
            self.remove(id);
        }
    }

    /// Removes the message, whatever is left of it.
    pub(super) fn remove(&mut self, id: MessageId) {
        if let Some(key) = self.pending.remove(id) {
            self.ordering.unblock(key);
        }
    }
}
