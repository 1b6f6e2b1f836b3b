//! Completions: written to the journal, reported in a callback until it is acknowledged, and cached to answer repeats.
use super::messages::Output;
use super::Core;
use crate::interface::{Effect, MessageId, Nanos};
use crate::journal::{Completion, Record};
use crate::metrics::MessageResult;
use crate::request::{has_lasting_name, RequestContext};

/// How long a complete message stays in the deduplication cache after its deadline, in seconds: a repeat may be that long
/// in the network.
const DEDUPLICATION_GRACE_S: f64 = 2.0;

/// How long a complete message with a lasting name stays in the deduplication cache after its completion, in seconds: a partner whose
/// connection was down for a day may still repeat it.
const LASTING_DEDUPLICATION_S: f64 = 24.0 * 3600.0;
/// Divisor of the memory and of the journal's capacity: the part that messages with lasting names may take in the cache.
const LASTING_SHARE_DIVISOR: u64 = 4;

/// A message this close to its deadline, in seconds, counts as expired: if deferred, it would not run again after a
/// restart, and if delivered, its client may already have given it up.
pub(super) const DEADLINE_MARGIN_S: f64 = 0.05;

/// Returns the result that the metrics count for a completion; `None` for a withdrawn message.
fn message_result(completion: Completion) -> Option<MessageResult> {
    match completion {
        Completion::Delivered => Some(MessageResult::Fulfilled),
        Completion::Undeliverable => Some(MessageResult::Faulted),
        Completion::Deferred(_) => Some(MessageResult::Throttled),
        Completion::Withdrawn => None,
    }
}

impl Core {
    /// Completes a message: journals the completion and reports it. Does nothing if the message is already complete.
    pub(super) fn complete(&mut self, id: MessageId, requested: Completion) {
        let now = self.now;
        let Some(message) = self.pending.get_open(id) else { return };
        let context = message.context.clone();
        self.abandon_deferred_attempt(id);
        let left_s = (context.deadline - now).secs();
        log::debug!(message = context.name, completion:? = requested, left_s; "message complete");
        let record = Record::Completed { id: id.0, at: now.0, completion: requested };
        let written = self.journal.append(now, &record).is_ok();
        let completion =
            if written { requested } else { self.completion_without_journal(&context, requested) };
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
        self.add_to_deduplication(&context, now, completion);
        self.remove_if_done(id);
    }

    /// Ends an attempt that was never handed to the transport, because its message completes. The decision module still waits
    /// for its outcome.
    fn abandon_deferred_attempt(&mut self, id: MessageId) {
        let deferred = self.pending.get_mut(id).and_then(|m| m.deferred_attempt_mut());
        let Some(attempt) = deferred.map(|a| a.attempt) else { return };
        self.pending.take_in_flight(id);
        self.skip_attempt(id, attempt);
    }

    /// Returns the completion to report while the journal cannot be written. If this process is killed now, the next one
    /// resumes the message. An at-most-once message is therefore reported as undeliverable instead of deferred: a client
    /// may retry a deferred message, and the message could run twice.
    fn completion_without_journal(&self, context: &RequestContext, requested: Completion) -> Completion {
        let effect = self.settings.classes.get(context.class).map(|c| c.effect);
        let would_run_again = (context.deadline - self.now).secs() > DEADLINE_MARGIN_S;
        match requested {
            Completion::Deferred(_) if effect == Some(Effect::AtMostOnce) && would_run_again => {
                Completion::Undeliverable
            }
            _ => requested,
        }
    }

    /// Reports a completion that is not in the journal yet. The report of a delivery waits until its record is written: if
    /// the process is killed before, the message may complete in another way.
    fn report_before_journal(&mut self, id: MessageId, completion: Completion, callback: Option<Output>) {
        let record = Record::Completed { id: id.0, at: self.now.0, completion };
        if completion == Completion::Delivered {
            self.journal.append_or_defer(self.now, record, callback);
        } else {
            self.outputs.extend(callback);
            self.journal.append_or_defer(self.now, record, None);
        }
    }

    /// Marks the message complete, and blocks its ordering key until its callback is acknowledged.
    pub(super) fn set_complete(&mut self, id: MessageId, completion: Completion) {
        let Some(message) = self.pending.get(id) else { return };
        let key = message.context.ordering_key;
        self.pending.set_complete(id, completion);
        if let Some(key) = key {
            self.ordering.block(key);
        }
    }

    /// Handles the client's acknowledgement of a callback.
    pub(super) fn acknowledge_callback(&mut self, id: MessageId) {
        let Some(message) = self.pending.acknowledge_callback(id) else { return };
        if let Some(key) = message.context.ordering_key {
            self.ordering.unblock(key);
        }
        self.remove_if_done(id);
    }

    /// Adds a complete message to the deduplication cache. Deferred and withdrawn messages are left out: a repeat of them is
    /// a new message.
    pub(super) fn add_to_deduplication(
        &mut self, context: &RequestContext, at: Nanos, completion: Completion,
    ) {
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
        let mut until = context.deadline.max(at + window) + DEDUPLICATION_GRACE_S;
        let is_lasting = has_lasting_name(&context.name);
        if is_lasting {
            until = until.max(at + LASTING_DEDUPLICATION_S);
        }
        let (name, idempotency_key) = (context.name.clone(), context.idempotency_key.clone());
        self.deduplication.expire(self.now);
        self.deduplication.insert(name, idempotency_key, until, delivered);
        if is_lasting {
            self.evict_lasting_results();
        }
    }

    /// Keeps the results of messages with lasting names within their share, so that they leave room for new messages.
    fn evict_lasting_results(&mut self) {
        let max_journal_bytes = self.journal.capacity() / LASTING_SHARE_DIVISOR;
        let max_memory_bytes = self.message_limit / LASTING_SHARE_DIVISOR;
        let evicted = self.deduplication.evict_lasting(max_journal_bytes, max_memory_bytes);
        if evicted > 0 {
            log::warn!(evicted; "results of AS2 messages forgotten before their time: a repeat of such a message would run again");
        }
    }

    /// Removes the message if it waits neither for an acknowledgement nor for the end of an attempt.
    pub(super) fn remove_if_done(&mut self, id: MessageId) {
        let Some(message) = self.pending.get(id) else { return };
        if message.is_settled() && message.in_flight().is_none() {
            self.remove(id);
        }
    }

    /// Removes the message and releases its ordering key.
    pub(super) fn remove(&mut self, id: MessageId) {
        if let Some(key) = self.pending.remove(id) {
            self.ordering.unblock(key);
        }
    }
}
