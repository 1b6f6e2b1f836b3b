//! Repeated requests, and the clients that a message has.
//!
//! A client that sees its connection end before the answer sends the request again, so several requests may belong to one message.
//! Each of them that is answered with 202 is owed the outcome. A repeat therefore gets its answer at the end of its step, by what
//! has become of the message until then, and a message is withdrawn only if all its clients have disconnected.
//!
//! | the message at the end of the step | answer to the repeat |
//! | --- | --- |
//! | refused in this step | the same as the first request's |
//! | open | 202 |
//! | delivered, undeliverable | as that outcome, now and later |
//! | deferred, its callback not acknowledged | 503: a 202 could follow the callback, which then ends nothing |
//! | withdrawn after it may have been sent | 503 |
//! | withdrawn before that | none: the request was accepted as a new message |
use super::in_flight::Stage;
use super::messages::Answer;
use super::pending::PendingMessage;
use super::Core;
use crate::deduplication::PriorResult;
use crate::interface::{Event, MessageId};
use crate::journal::Completion;
use crate::request::RequestContext;
use std::collections::BTreeMap;

/// A repeated request that is answered at the end of the step.
pub(super) struct Repeat {
    /// Id under which the request was submitted.
    request: MessageId,
    /// The message that it repeats.
    message: MessageId,
    context: RequestContext,
}

/// Returns whether a repeat of this message is a new message: the message was withdrawn, and no attempt of it can run.
fn is_void(message: &PendingMessage) -> bool {
    let is_sent = message.in_flight().is_some_and(|attempt| attempt.stage == Stage::Sent);
    message.completion() == Some(Completion::Withdrawn) && !is_sent
}

impl Core {
    /// Returns the answer to a request whose message is complete and in the deduplication cache, recognized by its name or its
    /// idempotency key.
    pub(super) fn answer_from_cache(&self, context: &RequestContext) -> Option<Answer> {
        let result = self.deduplication.get(&context.name, &context.idempotency_key)?;
        Some(match result {
            PriorResult::Delivered => Answer::Delivered,
            PriorResult::Failed => Answer::Failed,
        })
    }

    /// Returns the id of the message whose name the request has.
    pub(super) fn message_of_same_name(&self, context: &RequestContext) -> Option<MessageId> {
        let id = self.pending.id_by_name(&context.name)?;
        self.pending.get(id).filter(|message| !is_void(message)).map(|_| id)
    }

    /// Handles a request that has the name of a message in the table.
    pub(super) fn handle_repeat(&mut self, request: MessageId, message: MessageId, context: RequestContext) {
        let is_same = self.pending.get(message).is_some_and(|m| m.context.same_message(&context));
        if is_same {
            self.repeats.push(Repeat { request, message, context });
        } else {
            // A different message under the same name must not receive the answer of the pending one.
            self.answer(request, request, context.class, Answer::Reject(self.rejection_retry_after()));
        }
    }

    /// Answers the repeats of this step. `refused` has the answers to requests that were refused in this step.
    pub(super) fn answer_repeats(&mut self, refused: &BTreeMap<MessageId, Answer>) {
        for repeat in std::mem::take(&mut self.repeats) {
            let answer = match refused.get(&repeat.message) {
                Some(refusal) => *refusal,
                None => self.answer_to_repeat(&repeat),
            };
            self.answer(repeat.request, repeat.message, repeat.context.class, answer);
        }
    }

    fn answer_to_repeat(&self, repeat: &Repeat) -> Answer {
        let Some(message) = self.pending.get(repeat.message) else {
            let refusal = Answer::Reject(self.rejection_retry_after());
            return self.answer_from_cache(&repeat.context).unwrap_or(refusal);
        };
        match message.completion() {
            None => Answer::Accepted,
            Some(Completion::Delivered) => Answer::Delivered,
            Some(Completion::Undeliverable) => Answer::Failed,
            Some(Completion::Deferred(_) | Completion::Withdrawn) => {
                Answer::Reject(self.rejection_retry_after())
            }
        }
    }

    /// Handles the disconnect of a client before it received its 202. Withdraws the message if it has no other client and is
    /// not complete.
    pub(super) fn client_disconnected(&mut self, id: MessageId) {
        let Some(message) = self.pending.get_mut(id).filter(|m| m.is_open()) else { return };
        message.clients = message.clients.saturating_sub(1);
        if message.clients == 0 {
            self.events.push(Event::Withdrawn(id));
            self.complete(id, Completion::Withdrawn);
        }
    }
}

#[cfg(test)]
mod tests;
