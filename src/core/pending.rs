//! Pending messages: each with its attempts, what may have run, its completion, and the records that the journal needs
//! of it. The table keeps its counts and its index by name in step with the messages.
use super::in_flight::{InFlight, InFlightCounts, Stage};
use super::messages::Callback;
use crate::interface::{DestinationId, Message, MessageId, Nanos};
use crate::journal::{AcceptedMessage, Completion, Journal, Record};
use crate::request::RequestContext;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// A message that is not complete, or whose attempt or callback is not over.
pub(super) struct PendingMessage {
    pub(super) context: Arc<RequestContext>,
    /// Attempts so far, with the one in flight.
    pub(super) attempts: u32,
    in_flight: Option<InFlight>,
    /// When, and in which zone, the first attempt started that may have run.
    pub(super) first_possible_run: Option<(Nanos, usize)>,
    /// Set once; the message then remains for its attempt and its callback.
    completion: Option<Completion>,
    callback_acknowledged: bool,
    /// Whether the journal has it.
    pub(super) in_journal: bool,
    /// Bytes that the journal reserves for it.
    journal_bytes: u64,
}

impl PendingMessage {
    pub(super) fn in_flight(&self) -> Option<&InFlight> {
        self.in_flight.as_ref()
    }

    /// The attempt in flight with this number; none once it has ended.
    pub(super) fn attempt_mut(&mut self, attempt: u32) -> Option<&mut InFlight> {
        self.in_flight.as_mut().filter(|a| a.attempt == attempt)
    }

    /// The attempt that has not been handed to the transport.
    pub(super) fn deferred_attempt_mut(&mut self) -> Option<&mut InFlight> {
        self.in_flight.as_mut().filter(|a| a.stage == Stage::Deferred)
    }

    pub(super) fn completion(&self) -> Option<Completion> {
        self.completion
    }

    pub(super) fn is_open(&self) -> bool {
        self.completion.is_none()
    }

    /// Whether the message is complete and nobody is to be notified of it any more.
    pub(super) fn is_settled(&self) -> bool {
        let Some(completion) = self.completion else { return false };
        self.callback_acknowledged || !needs_callback(&self.context, completion)
    }

    /// The message as the decision module knows it.
    pub(super) fn message(&self, id: MessageId) -> Message {
        let context = &self.context;
        Message {
            id,
            class: context.class,
            tenant: context.tenant,
            key: context.ordering_key,
            dest: DestinationId(context.dest),
            deadline: context.deadline,
        }
    }

    /// What its client is to be notified of, if anything.
    pub(super) fn callback(&self, id: MessageId, completion: Completion) -> Option<Callback> {
        needs_callback(&self.context, completion).then(|| Callback {
            id,
            name: self.context.name.clone(),
            origin: self.context.origin.clone(),
            completion,
        })
    }

    /// What the journal keeps of it.
    pub(super) fn accepted(&self, id: MessageId) -> AcceptedMessage {
        let context = &self.context;
        AcceptedMessage {
            id: id.0,
            name: context.name.clone(),
            origin: context.origin.clone(),
            class: context.class as u32,
            tenant: context.tenant as u32,
            key: context.ordering_key,
            dest: context.dest,
            deadline: context.deadline.0,
            idempotency_key: context.idempotency_key.clone(),
            body: context.body.clone(),
        }
    }

    /// All that the journal must hold of it, in the fewest records.
    fn records(&self, id: MessageId, now: Nanos) -> Vec<Record> {
        let mut records = vec![Record::Accepted(self.accepted(id))];
        if let Some(completion) = self.completion {
            records.push(Record::Completed { id: id.0, at: now.0, completion });
            if self.callback_acknowledged {
                records.push(Record::CallbackAcknowledged { id: id.0 });
            }
            return records;
        }
        let ended_attempts = self.attempts - u32::from(self.in_flight.is_some());
        if ended_attempts > 0 {
            let (at, zone) = self.first_possible_run.map_or((0, 0), |(at, zone)| (at.0, zone as u32));
            records.push(Record::AttemptStarted { id: id.0, at, zone, earlier_attempts: ended_attempts - 1 });
            let may_have_run = self.first_possible_run.is_some();
            records.push(Record::AttemptEnded { id: id.0, may_have_run });
        }
        if let Some(sent) = self.in_flight.as_ref().filter(|a| a.stage == Stage::Sent) {
            let (at, zone) = (sent.started.0, sent.zone as u32);
            records.push(Record::AttemptStarted { id: id.0, at, zone, earlier_attempts: 0 });
        }
        records
    }
}

/// All pending messages. Only its methods change what its counts are about, so that these agree with the messages.
#[derive(Default)]
pub(super) struct PendingMessages {
    messages: BTreeMap<MessageId, PendingMessage>,
    by_name: HashMap<String, MessageId>,
    /// Messages that are not complete.
    open: usize,
    /// Bytes that the journal reserves for all of them.
    journal_bytes: u64,
    in_flight: InFlightCounts,
}

impl PendingMessages {
    pub(super) fn get(&self, id: MessageId) -> Option<&PendingMessage> {
        self.messages.get(&id)
    }

    pub(super) fn get_mut(&mut self, id: MessageId) -> Option<&mut PendingMessage> {
        self.messages.get_mut(&id)
    }

    /// The message, if it is not complete.
    pub(super) fn get_open(&self, id: MessageId) -> Option<&PendingMessage> {
        self.get(id).filter(|m| m.is_open())
    }

    pub(super) fn by_name(&self, name: &str) -> Option<&PendingMessage> {
        self.get(*self.by_name.get(name)?)
    }

    /// In the order of their ids.
    pub(super) fn iter(&self) -> impl Iterator<Item = (MessageId, &PendingMessage)> {
        self.messages.iter().map(|(id, message)| (*id, message))
    }

    pub(super) fn len(&self) -> usize {
        self.messages.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.messages.is_empty()
    }

    /// Messages that are not complete.
    pub(super) fn open(&self) -> usize {
        self.open
    }

    /// Bytes that the journal reserves for all of them.
    pub(super) fn journal_bytes(&self) -> u64 {
        self.journal_bytes
    }

    pub(super) fn in_flight(&self) -> &InFlightCounts {
        &self.in_flight
    }

    pub(super) fn insert(&mut self, id: MessageId, context: RequestContext) {
        let journal_bytes = journal_bytes(&context);
        self.journal_bytes += journal_bytes;
        self.open += 1;
        self.by_name.insert(context.name.clone(), id);
        let message = PendingMessage {
            context: Arc::new(context),
            attempts: 0,
            in_flight: None,
            first_possible_run: None,
            completion: None,
            callback_acknowledged: false,
            in_journal: false,
            journal_bytes,
        };
        self.messages.insert(id, message);
    }

    /// The message has this attempt in flight, and no other.
    pub(super) fn set_in_flight(&mut self, id: MessageId, attempt: InFlight) {
        let Some(message) = self.messages.get_mut(&id) else { return };
        self.in_flight.add(attempt.host);
        if let Some(previous) = message.in_flight.replace(attempt) {
            self.in_flight.remove(previous.host);
        }
    }

    /// The message has no attempt in flight any more. Returns the one that it had.
    pub(super) fn take_in_flight(&mut self, id: MessageId) -> Option<InFlight> {
        let attempt = self.messages.get_mut(&id)?.in_flight.take()?;
        self.in_flight.remove(attempt.host);
        Some(attempt)
    }

    /// The message's attempt has ended. Where it may have run, remembers the first such attempt.
    pub(super) fn end_attempt(&mut self, id: MessageId, may_have_run: bool) {
        let Some(attempt) = self.take_in_flight(id) else { return };
        if !may_have_run || attempt.stage != Stage::Sent {
            return;
        }
        if let Some(message) = self.messages.get_mut(&id) {
            message.first_possible_run.get_or_insert((attempt.started, attempt.zone));
        }
    }

    /// The message is complete. The caller sees to it that it was open.
    pub(super) fn set_complete(&mut self, id: MessageId, completion: Completion) {
        let Some(message) = self.messages.get_mut(&id) else { return };
        message.completion = Some(completion);
        self.open -= 1;
    }

    /// The callback of the message is acknowledged. Returns the message if it was complete and this is news.
    pub(super) fn acknowledge_callback(&mut self, id: MessageId) -> Option<&PendingMessage> {
        let message = self.messages.get_mut(&id)?;
        if message.is_open() || message.callback_acknowledged {
            return None;
        }
        message.callback_acknowledged = true;
        Some(message)
    }

    /// Removes a message with all that is counted of it. Returns its ordering key if the message still blocks that key.
    pub(super) fn remove(&mut self, id: MessageId) -> Option<u64> {
        self.take_in_flight(id);
        let message = self.messages.remove(&id)?;
        self.journal_bytes -= message.journal_bytes;
        if message.is_open() {
            self.open -= 1;
        }
        if self.by_name.get(&message.context.name) == Some(&id) {
            self.by_name.remove(&message.context.name);
        }
        if message.is_open() || message.callback_acknowledged {
            return None;
        }
        message.context.ordering_key
    }

    /// All that the journal must hold of the messages that it has, in the fewest records.
    pub(super) fn records(&self, now: Nanos) -> impl Iterator<Item = Record> + '_ {
        let in_journal = self.messages.iter().filter(|(_, message)| message.in_journal);
        in_journal.flat_map(move |(id, message)| message.records(*id, now))
    }
}

/// Bytes that the journal reserves for a message.
pub(super) fn journal_bytes(context: &RequestContext) -> u64 {
    Journal::reserved_bytes(&context.name, &context.origin, &context.idempotency_key, context.body.len())
}

/// Whether somebody is to be notified of this completion.
fn needs_callback(context: &RequestContext, completion: Completion) -> bool {
    match completion {
        Completion::Withdrawn => false,
        Completion::Delivered => !context.origin.is_empty(),
        Completion::Undeliverable | Completion::Deferred(_) => true,
    }
}
