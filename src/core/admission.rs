//! Admission: which requests have their answer at once, which the module decides on, and the journal before the answer.
use super::messages::{Answer, Output};
use super::pending::journal_bytes;
use super::Core;
use crate::deduplication::PriorResult;
use crate::interface::{Action, Event, MessageId, Nanos, Settings};
use crate::journal::{self, Completion, Record};
use crate::metrics::MessageResult;
use crate::plugins::Verdict;
use crate::request::{RequestContext, RequestDetails};
use std::collections::BTreeMap;

/// A warning that would come with each request is logged once in so many seconds.
const WARNING_INTERVAL_S: f64 = 1.0;
/// The longest wait that a request is told which is rejected here and not by the module, in seconds: what stands in its
/// way may pass at any time.
const RETRY_AFTER_S: f64 = 1.0;

/// When a client may come again whose request is rejected without the module; none where the settings name no wait.
pub fn rejection_retry_after(settings: &Settings) -> Option<Nanos> {
    settings.retry_after.map(|longest| Nanos::from_secs(RETRY_AFTER_S).min(longest))
}

impl Core {
    /// Answers a request at once, or gives it to the module and returns its id.
    pub(super) fn submitted(&mut self, id: MessageId, mut context: RequestContext) -> Option<MessageId> {
        let class = context.class;
        if let Some(answer) = self.immediate_answer(&context) {
            self.answer(id, class, answer);
            return None;
        }
        let Verdict::Pass(tags) = self.plugins.on_request(&context, self.details(&context)) else {
            log::info!(message = context.name, dest = context.dest; "rejected by a script");
            self.answer(id, class, Answer::Reject(self.rejection_retry_after()));
            return None;
        };
        context.tags = tags;
        self.pending.insert(id, context);
        if !self.wait_for_predecessor(id) {
            self.events.extend(self.pending.get(id).map(|m| Event::Message(m.message(id))));
        }
        Some(id)
    }

    /// The answer to a request on which nothing is left to decide; none for one that scripts and the module see.
    fn immediate_answer(&mut self, context: &RequestContext) -> Option<Answer> {
        if let Some(answer) = self.answer_to_repeat(context) {
            return Some(answer);
        }
        if self.endpoints.has_no_destinations() {
            // No endpoint list has come yet: which destinations exist is not known, and a retry is harmless.
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

    /// The answer to a request that is known by its name or its idempotency key.
    fn answer_to_repeat(&self, context: &RequestContext) -> Option<Answer> {
        match self.deduplication.get(&context.name, &context.idempotency_key) {
            Some(PriorResult::Delivered) => return Some(Answer::Delivered),
            Some(PriorResult::Failed) => return Some(Answer::Failed),
            None => {}
        }
        // The same request again, over a connection that crossed its answer: it is pending already. Guards the clients of
        // pending requests against others that use their names: another message under the same name is not that one,
        // whichever came first.
        let pending = self.pending.by_name(&context.name)?;
        if pending.context.same_message(context) {
            Some(Answer::Accepted)
        } else {
            Some(Answer::Reject(self.rejection_retry_after()))
        }
    }

    /// Whether the tables and the journal have room for one more message.
    fn has_capacity(&mut self, context: &RequestContext) -> bool {
        if self.pending.open() >= self.settings.max_pending || self.journal.is_unavailable() {
            return false;
        }
        let reserved = self.pending.journal_bytes() + self.deduplication.journal_bytes();
        if reserved + journal_bytes(context) <= self.journal.capacity() {
            return true;
        }
        if self.now >= self.capacity_warning_at {
            log::warn!("rejected: no capacity left in the journal");
            self.capacity_warning_at = self.now + WARNING_INTERVAL_S;
        }
        false
    }

    /// When a client whose request is rejected here may come again; none where the settings name no wait.
    pub fn rejection_retry_after(&self) -> Option<Nanos> {
        rejection_retry_after(&self.settings)
    }

    /// What scripts are shown of a request beside its context.
    pub(super) fn details(&self, context: &RequestContext) -> RequestDetails<'_> {
        RequestDetails {
            class: self.deployment.classes.get(context.class).map_or("", String::as_str),
            tenant: self.deployment.tenants.get(context.tenant).map_or("", String::as_str),
            time_left: context.deadline - self.now,
        }
    }

    /// The client has gone. A message that is complete already stays as it is.
    pub(super) fn withdraw(&mut self, id: MessageId) {
        if self.pending.get_open(id).is_some() {
            self.events.push(Event::Withdrawn(id));
            self.complete(id, Completion::Withdrawn);
        }
    }

    /// Answers the requests of this step on which the module has decided. An accepted one is in the journal before that.
    pub(super) fn answer_submitted(&mut self, submitted: &[MessageId], actions: &[Action]) {
        let mut refusals = BTreeMap::new();
        for action in actions {
            match action {
                Action::Reject { id, after } => drop(refusals.insert(*id, Answer::Reject(*after))),
                Action::Fail(id) => drop(refusals.insert(*id, Answer::Failed)),
                _ => {}
            }
        }
        for id in submitted {
            let Some(message) = self.pending.get(*id) else { continue };
            let class = message.context.class;
            let answer = match refusals.get(id) {
                Some(refusal) => *refusal,
                None => self.accept(*id),
            };
            if answer != Answer::Accepted {
                self.remove(*id);
            }
            self.answer(*id, class, answer);
        }
    }

    /// Accepts a message if the journal takes it, or withdraws it from the module.
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

    /// Whether the journal has the message now.
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

    /// The one place where a request has its answer, and where one that ends with it is counted.
    fn answer(&mut self, id: MessageId, class: usize, answer: Answer) {
        let result = match answer {
            Answer::Accepted => None,
            Answer::Delivered => Some(MessageResult::Fulfilled),
            Answer::Reject(_) => Some(MessageResult::Throttled),
            Answer::UnknownDestination | Answer::Failed => Some(MessageResult::Faulted),
        };
        if let Some(result) = result {
            self.metrics.record_result(class, result);
        }
        self.outputs.push(Output::Answer(id, answer));
    }
}
