//! What is handed in: what can be told at once, what is taken on, and the journal before the answer.
use super::messages::{Answer, Output};
use super::pending::{weigh, Held};
use super::Core;
use crate::interface::{Action, Event, MessageId, Nanos};
use crate::journal::{self, Completion, Record};
use crate::metrics::MessageResult;
use crate::plugins::Verdict;
use crate::request::{RequestContext, RequestDetails};
use std::collections::BTreeMap;
use std::sync::Arc;

/// A line that would come with each request comes once in so many seconds.
const LOG_EACH: f64 = 1.0;

impl Core {
    /// Decides what can be told at once; else hands the message to the module, and gives its id.
    pub(super) fn handed(&mut self, id: MessageId, mut context: RequestContext) -> Option<MessageId> {
        let (weight, class) = (weigh(&context), context.class);
        let answer = if let Some(delivered) = self.ended.delivered(&context.name, &context.idempotency_key) {
            if delivered {
                Answer::Delivered
            } else {
                Answer::Failed
            }
        } else if let Some(held) = self.names.get(&context.name).and_then(|id| self.held.get(id)) {
            // The same request once more, over a connection that crossed its answer: it is held already.
            // Guards the clients of open requests against others that use their ids: another message under
            // the same id is not that one, whichever came first.
            if held.context.same_message(&context) {
                Answer::Accepted
            } else {
                Answer::Reject(self.rejection_retry_after())
            }
        } else if self.dests.is_empty() {
            // No list has come yet: which destinations there are is not known, and coming again is harmless.
            Answer::Reject(self.rejection_retry_after())
        } else if !self.dests.contains(&context.dest) {
            Answer::UnknownDestination
        } else if context.deadline <= self.now {
            Answer::Failed
        } else if self.open >= self.settings.max_pending || self.ledger.stuck() {
            Answer::Reject(self.rejection_retry_after())
        } else if self.weight + self.ended.weight() + weight > self.ledger.room() {
            if self.now >= self.room_log {
                log::warn!("reject: no room in the journal");
                self.room_log = self.now + LOG_EACH;
            }
            Answer::Reject(self.rejection_retry_after())
        } else if let Verdict::Pass(tags) = self.plugins.on_request(&context, self.details(&context)) {
            context.tags = tags;
            self.keep(id, context);
            if !self.stands_behind(id) {
                let h = self.held.get(&id);
                self.events.extend(h.map(|h| Event::Message(h.message(id))));
            }
            return Some(id);
        } else {
            log::info!(message = context.name, dest = context.dest; "reject: a script's word");
            Answer::Reject(self.rejection_retry_after())
        };
        self.answered(id, class, answer);
        None
    }

    /// When a client that is turned away here may come again.
    pub fn rejection_retry_after(&self) -> Option<Nanos> {
        self.settings.retry_after.map(|top| Nanos::from_secs(1.0).min(top))
    }

    pub(super) fn details(&self, context: &RequestContext) -> RequestDetails<'_> {
        RequestDetails {
            class: self.site.classes.get(context.class).map_or("", String::as_str),
            tenant: self.site.tenants.get(context.tenant).map_or("", String::as_str),
            time_left: context.deadline - self.now,
        }
    }

    pub(super) fn keep(&mut self, id: MessageId, context: RequestContext) {
        let weight = weigh(&context);
        self.weight += weight;
        self.open += 1;
        self.names.insert(context.name.clone(), id);
        let context = Arc::new(context);
        let (attempts, out, first_possible_run, end, heard, logged) = (0, None, None, None, false, false);
        let held = Held { context, attempts, out, first_possible_run, end, heard, logged, weight };
        self.held.insert(id, held);
    }

    pub(super) fn withdrawn(&mut self, id: MessageId) {
        if self.held.get(&id).is_some_and(|h| h.end.is_none()) {
            self.events.push(Event::Withdrawn(id));
            self.end(id, Completion::Withdrawn);
        }
    }

    /// Answers the clients of this moment's requests. What is taken on is in the journal before that.
    pub(super) fn answer(&mut self, handed: &[MessageId], actions: &[Action]) {
        let mut rejects = BTreeMap::new();
        for action in actions {
            match action {
                Action::Reject { id, after } => rejects.insert(*id, Answer::Reject(*after)),
                Action::Fail(id) => rejects.insert(*id, Answer::Failed),
                _ => None,
            };
        }
        for id in handed {
            let Some(h) = self.held.get(id) else { continue };
            let context = h.context.clone();
            let answer = match rejects.get(id) {
                Some(answer) => *answer,
                None if self.take_on(*id) => {
                    log::debug!(message = context.name, class = context.class, dest = context.dest; "taken on");
                    Answer::Accepted
                }
                None => {
                    self.events.push(Event::Withdrawn(*id));
                    self.wake = Some(self.now);
                    Answer::Reject(self.rejection_retry_after())
                }
            };
            if answer != Answer::Accepted {
                self.forget(*id);
            }
            self.answered(*id, context.class, answer);
        }
    }

    /// The one place where a request has its answer, and where one that ends with it is counted.
    fn answered(&mut self, id: MessageId, class: usize, answer: Answer) {
        let ending = match answer {
            Answer::Accepted => None,
            Answer::Delivered => Some(MessageResult::Fulfilled),
            Answer::Reject(_) => Some(MessageResult::Throttled),
            Answer::UnknownDestination | Answer::Failed => Some(MessageResult::Faulted),
        };
        if let Some(ending) = ending {
            self.metrics.record_result(class, ending);
        }
        self.orders.push(Output::Answer(id, answer));
    }

    /// Whether the journal has the message.
    pub(super) fn take_on(&mut self, id: MessageId) -> bool {
        let Some(h) = self.held.get(&id) else { return false };
        let record = Record::Accepted(h.taken(id));
        if self.ledger.is_full(self.now, journal::encoded_len(&record)) {
            self.write_anew();
        }
        let logged = self.ledger.first(self.now, &record);
        if let Some(h) = self.held.get_mut(&id) {
            h.logged = logged;
        }
        logged
    }
}
