//! Admission of requests. Some are answered at once, the decision module decides on the others, and an accepted message is in
//! the journal before its request is answered.
use super::messages::{Answer, Output};
use super::pending::{journal_bytes, memory_bytes};
use super::Core;
use crate::interface::{Action, Event, MessageId, Nanos, Settings};
use crate::journal::{self, Record};
use crate::metrics::MessageResult;
use crate::plugins::ScriptRequest;
use crate::request::RequestContext;
use std::collections::BTreeMap;

/// Minimum interval between two warnings that the journal has no capacity left, in seconds. Without it each rejected
/// request would log one.
const WARNING_INTERVAL_S: f64 = 1.0;
/// Longest `Retry-After` of a request that is rejected without the decision module, in seconds. Short, because the cause
/// may disappear at any time.
const RETRY_AFTER_S: f64 = 1.0;

/// Returns the `Retry-After` of a request that is rejected without the decision module; `None` if the settings have none.
pub fn rejection_retry_after(settings: &Settings) -> Option<Nanos> {
    settings.retry_after.map(|longest| Nanos::from_secs(RETRY_AFTER_S).min(longest))
}

/// Returns the answers to the messages that the decision module refuses.
fn refusals(actions: &[Action]) -> BTreeMap<MessageId, Answer> {
    let refusal = |action: &Action| match action {
        Action::Reject { id, after } => Some((*id, Answer::Reject(*after))),
        Action::Fail(id) => Some((*id, Answer::Failed)),
        _ => None,
    };
    actions.iter().filter_map(refusal).collect()
}

impl Core {
    /// Answers a request at once, or adds it as a message for the decision module and returns its id.
    pub(super) fn handle_submitted(&mut self, id: MessageId, context: RequestContext) -> Option<MessageId> {
        let class = context.class;
        if let Some(answer) = self.answer_from_cache(&context) {
            self.answer(id, id, class, answer);
            return None;
        }
        if let Some(message) = self.message_of_same_name(&context) {
            self.handle_repeat(id, message, context);
            return None;
        }
        if let Some(answer) = self.immediate_answer(&context) {
            self.answer(id, id, class, answer);
            return None;
        }
        self.pending.insert(id, context);
        if !self.queue_behind_predecessor(id) {
            self.events.extend(self.pending.get(id).map(|m| Event::Message(m.message(id))));
        }
        Some(id)
    }

    /// Returns the request that plug-in scripts must inspect before it is submitted. Returns `None` if the request is a repeat, and if
    /// it is answered without a decision.
    pub fn request_to_inspect(&mut self, now: Nanos, context: &RequestContext) -> Option<ScriptRequest> {
        self.now = now;
        let is_inspected = self.is_first_request(context) && self.immediate_answer(context).is_none();
        is_inspected.then(|| self.script_request(context))
    }

    /// Returns the answer to a request that the plug-in scripts reject. Returns `None` if another request for the same message has
    /// been accepted while the scripts inspected this one: it is a repeat then, and must be submitted.
    pub fn reject_inspected(&mut self, context: &RequestContext) -> Option<Answer> {
        if !self.is_first_request(context) {
            return None;
        }
        log::info!(message = context.name, dest = context.dest; "request rejected by a plug-in script");
        self.metrics.record_result(context.class, MessageResult::Throttled);
        Some(Answer::Reject(self.rejection_retry_after()))
    }

    /// Returns whether this request is for a message that the core neither holds nor remembers.
    fn is_first_request(&self, context: &RequestContext) -> bool {
        self.answer_from_cache(context).is_none() && self.message_of_same_name(context).is_none()
    }

    /// Returns the answer to a request that needs no decision; `None` if plug-in scripts and the decision module must see it.
    fn immediate_answer(&mut self, context: &RequestContext) -> Option<Answer> {
        if self.endpoints.has_no_destinations() {
            // Without an endpoint list the existing destinations are unknown, and a retry is harmless.
            return Some(Answer::Reject(self.rejection_retry_after()));
        }
        if !self.endpoints.has_destination(context.dest) {
            return Some(Answer::UnknownDestination);
        }
        if context.deadline <= self.now {
            return Some(Answer::Failed);
        }
        if !self.has_capacity(context) {
            return Some(Answer::Reject(self.rejection_retry_after()));
        }
        None
    }

    /// Returns whether the table of messages and the journal have room for one more message.
    fn has_capacity(&mut self, context: &RequestContext) -> bool {
        if self.pending.open() >= self.settings.max_pending || self.journal.is_unavailable() {
            return false;
        }
        let held = self.pending.memory_bytes() + self.deduplication.memory_bytes();
        if held + memory_bytes(context) > self.message_limit {
            self.warn_of_capacity("requests rejected: no memory left for messages, see limits.memory_mb");
            return false;
        }
        let reserved = self.pending.journal_bytes() + self.deduplication.journal_bytes();
        if reserved + journal_bytes(context) <= self.journal.capacity() {
            return true;
        }
        self.warn_of_capacity("requests rejected: no capacity left in the journal");
        false
    }

    fn warn_of_capacity(&mut self, text: &str) {
        if self.now >= self.capacity_warning_at {
            log::warn!("{text}");
            self.capacity_warning_at = self.now + WARNING_INTERVAL_S;
        }
    }

    /// Returns the `Retry-After` of a request that is rejected without the decision module; `None` if the settings have none.
    pub fn rejection_retry_after(&self) -> Option<Nanos> {
        rejection_retry_after(&self.settings)
    }

    /// Returns a request as plug-in scripts see it.
    pub(super) fn script_request(&self, context: &RequestContext) -> ScriptRequest {
        let name_of = |names: &[String], index: usize| names.get(index).cloned().unwrap_or_default();
        ScriptRequest {
            name: context.name.clone(),
            class: name_of(&self.deployment.classes, context.class),
            tenant: name_of(&self.deployment.tenants, context.tenant),
            dest: context.dest,
            size: context.body.len(),
            time_left: context.deadline - self.now,
            tags: context.tags.clone(),
        }
    }

    /// Answers the requests on which the decision module decided in this step. Accepted messages are journalled first. Returns
    /// the answers to the requests that were refused.
    pub(super) fn answer_submitted(
        &mut self, submitted: &[MessageId], actions: &[Action],
    ) -> BTreeMap<MessageId, Answer> {
        let decisions = refusals(actions);
        let mut refused = BTreeMap::new();
        for id in submitted {
            let Some(message) = self.pending.get(*id) else { continue };
            let class = message.context.class;
            let answer = match decisions.get(id) {
                Some(refusal) => *refusal,
                None => self.accept(*id),
            };
            if answer != Answer::Accepted {
                refused.insert(*id, answer);
                self.remove(*id);
            }
            self.answer(*id, *id, class, answer);
        }
        refused
    }

    /// Accepts a message if it can be journalled; otherwise withdraws it from the decision module and rejects it.
    fn accept(&mut self, id: MessageId) -> Answer {
        if self.write_accepted(id) {
            if let Some(message) = self.pending.get(id) {
                let context = &message.context;
                log::debug!(message = context.name, class = context.class, dest = context.dest; "message accepted");
            }
            return Answer::Accepted;
        }
        self.events.push(Event::Withdrawn(id));
        self.wake_at = Some(self.now);
        Answer::Reject(self.rejection_retry_after())
    }

    /// Writes the message to the journal, compacting the journal first if needed. Returns whether the write succeeded.
    fn write_accepted(&mut self, id: MessageId) -> bool {
        let Some(message) = self.pending.get(id) else { return false };
        let record = Record::Accepted(message.accepted(id));
        if self.journal.needs_rewrite(self.now, journal::encoded_len(&record)) {
            self.rewrite_journal();
        }
        let written = self.journal.append(self.now, &record).is_ok();
        if let Some(message) = self.pending.get_mut(id) {
            message.in_journal = written;
        }
        written
    }

    /// Answers a request for a message. Counts the result of a message that ends with this answer.
    pub(super) fn answer(&mut self, request: MessageId, message: MessageId, class: usize, answer: Answer) {
        let result = match answer {
            Answer::Accepted => None,
            Answer::Delivered => Some(MessageResult::Fulfilled),
            Answer::Reject(_) => Some(MessageResult::Throttled),
            Answer::UnknownDestination | Answer::Failed => Some(MessageResult::Faulted),
        };
        if let Some(result) = result {
            self.metrics.record_result(class, result);
        }
        if answer == Answer::Accepted {
            self.pending.add_client(message);
        }
        self.outputs.push(Output::Answer { request, message, answer });
    }
}
