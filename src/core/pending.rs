//! The table of pending messages: for each its attempts, its first possible run, its completion and its journal records.
//! The table keeps its counts and its index by name consistent with the messages.
use super::in_flight::{InFlight, InFlightCounts, Stage};
use super::messages::Callback;
use crate::interface::{DestinationId, Message, MessageId, Nanos};
use crate::journal::{AcceptedMessage, Completion, Journal, Record};
use crate::request::RequestContext;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// Memory of a message beside its texts and body, in bytes: its entries in the tables of the core and of the decision module, an
/// attempt and a callback.
const MESSAGE_OVERHEAD_BYTES: u64 = 2_048;

/// A message that is open, or complete with an attempt in flight or an unacknowledged callback.
pub(super) struct PendingMessage {
    pub(super) context: Arc<RequestContext>,
    /// Number of requests for the message that were answered with 202 and whose clients were connected then.
    pub(super) clients: usize,
    /// Number of attempts so far, including the one in flight.
    pub(super) attempts: u32,
    in_flight: Option<InFlight>,
    /// Start and zone of the first attempt that may have run.
    pub(super) first_possible_run: Option<(Nanos, usize)>,
    /// Set once. A complete message stays in the table until its attempt has ended and its callback is acknowledged.
    completion: Option<Completion>,
    callback_acknowledged: bool,
    /// Whether the message is in the journal.
    pub(super) in_journal: bool,
    /// Bytes reserved in the journal for the message.
    journal_bytes: u64,
}

impl PendingMessage {
    pub(super) fn in_flight(&self) -> Option<&InFlight> {
        self.in_flight.as_ref()
    }

    /// Returns the attempt with this number if it is in flight.
    pub(super) fn attempt_mut(&mut self, attempt: u32) -> Option<&mut InFlight> {
        self.in_flight.as_mut().filter(|a| a.attempt == attempt)
    }

    /// Returns the attempt in flight if it has not been handed to the transport.
    pub(super) fn deferred_attempt_mut(&mut self) -> Option<&mut InFlight> {
        self.in_flight.as_mut().filter(|a| a.stage == Stage::Deferred)
    }

    pub(super) fn completion(&self) -> Option<Completion> {
        self.completion
    }

    pub(super) fn is_open(&self) -> bool {
        self.completion.is_none()
    }

    /// Returns whether the message is complete and needs no callback, or its callback is acknowledged.
    pub(super) fn is_settled(&self) -> bool {
        let Some(completion) = self.completion else { return false };
        self.callback_acknowledged || !needs_callback(&self.context, completion)
    }

    /// Returns the message in the form that the decision module takes.
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

    /// Returns the callback for this completion; `None` if the client gets none.
    pub(super) fn callback(&self, id: MessageId, completion: Completion) -> Option<Callback> {
        needs_callback(&self.context, completion).then(|| Callback {
            id,
            name: self.context.name.clone(),
            origin: self.context.origin.clone(),
            completion,
        })
    }

    /// Returns the message in the form that the journal stores.
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

    /// Returns the records of the message in a compacted journal.
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

/// All pending messages. The state behind the counts is changed only by methods that update the counts too.
#[derive(Default)]
pub(super) struct PendingMessages {
    messages: BTreeMap<MessageId, PendingMessage>,
    by_name: HashMap<String, MessageId>,
    /// Number of messages that are not complete.
    open: usize,
    /// Bytes reserved in the journal for all messages.
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

    /// Returns the message if it is not complete.
    pub(super) fn get_open(&self, id: MessageId) -> Option<&PendingMessage> {
        self.get(id).filter(|m| m.is_open())
    }

    /// Returns the id of the latest message of this name.
    pub(super) fn id_by_name(&self, name: &str) -> Option<MessageId> {
        self.by_name.get(name).copied()
    }

    /// Counts a client that is told that its message is accepted.
    pub(super) fn add_client(&mut self, id: MessageId) {
        if let Some(message) = self.messages.get_mut(&id) {
            message.clients += 1;
        }
    }

    /// Iterates over the messages in the order of their ids.
    pub(super) fn iter(&self) -> impl Iterator<Item = (MessageId, &PendingMessage)> {
        self.messages.iter().map(|(id, message)| (*id, message))
    }

    pub(super) fn len(&self) -> usize {
        self.messages.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.messages.is_empty()
    }

    /// Returns the number of messages that are not complete.
    pub(super) fn open(&self) -> usize {
        self.open
    }

    /// Returns the memory of all messages, in bytes.
    pub(super) fn memory_bytes(&self) -> u64 {
        self.journal_bytes + self.messages.len() as u64 * MESSAGE_OVERHEAD_BYTES
    }

    /// Returns the bytes reserved in the journal for all messages.
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
            clients: 0,
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

    /// Sets the attempt in flight of the message, in place of an earlier one.
    pub(super) fn set_in_flight(&mut self, id: MessageId, attempt: InFlight) {
        let Some(message) = self.messages.get_mut(&id) else { return };
        self.in_flight.add(attempt.host);
        if let Some(previous) = message.in_flight.replace(attempt) {
            self.in_flight.remove(previous.host);
        }
    }

    /// Removes and returns the attempt in flight of the message.
    pub(super) fn take_in_flight(&mut self, id: MessageId) -> Option<InFlight> {
        let attempt = self.messages.get_mut(&id)?.in_flight.take()?;
        self.in_flight.remove(attempt.host);
        Some(attempt)
    }

    /// Removes the attempt in flight of the message, and records its start if it is the first that may have run.
    pub(super) fn end_attempt(&mut self, id: MessageId, may_have_run: bool) {
        let Some(attempt) = self.take_in_flight(id) else { return };
        if !may_have_run || attempt.stage != Stage::Sent {
            return;
        }
        if let Some(message) = self.messages.get_mut(&id) {
            message.first_possible_run.get_or_insert((attempt.started, attempt.zone));
        }
    }

    /// Marks the message complete. The caller must make sure that it was open.
    pub(super) fn set_complete(&mut self, id: MessageId, completion: Completion) {
        let Some(message) = self.messages.get_mut(&id) else { return };
        message.completion = Some(completion);
        self.open -= 1;
    }

    /// Marks the callback of a complete message acknowledged, and returns the message. Returns `None` if the message is open
    /// or its callback was already acknowledged.
    pub(super) fn acknowledge_callback(&mut self, id: MessageId) -> Option<&PendingMessage> {
        let message = self.messages.get_mut(&id)?;
        if message.is_open() || message.callback_acknowledged {
            return None;
        }
        message.callback_acknowledged = true;
        Some(message)
    }

    /// Removes a message and updates all counts. Returns its ordering key if the message still blocks that key.
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

    /// Returns the records of all journalled messages in a compacted journal.
    pub(super) fn records(&self, now: Nanos) -> impl Iterator<Item = Record> + '_ {
        let in_journal = self.messages.iter().filter(|(_, message)| message.in_journal);
        in_journal.flat_map(move |(id, message)| message.records(*id, now))
    }
}

/// Returns the memory of a message, in bytes.
pub(super) fn memory_bytes(context: &RequestContext) -> u64 {
    journal_bytes(context) + MESSAGE_OVERHEAD_BYTES
}

/// Returns the bytes to reserve in the journal for a message.
pub(super) fn journal_bytes(context: &RequestContext) -> u64 {
    Journal::reserved_bytes(&context.name, &context.origin, &context.idempotency_key, context.body.len())
}

/// Returns whether a client is notified of this completion. The platform gets no callback on a delivery.
fn needs_callback(context: &RequestContext, completion: Completion) -> bool {
    match completion {
        Completion::Withdrawn => false,
        Completion::Delivered => !context.origin.is_empty(),
        Completion::Undeliverable | Completion::Deferred(_) => true,
    }
}
