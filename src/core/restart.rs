//! Startup: restores pending messages, possible runs and unacknowledged callbacks from the journal.
use super::in_flight::{InFlight, Stage};
use super::messages::Output;
use super::{Core, Predecessor};
use crate::interface::{EndpointId, MessageId, Nanos};
use crate::journal::{AcceptedMessage, Completion, Record};
use crate::request::RequestContext;

impl Core {
    /// Applies one record of the journal. Records must be replayed in their order.
    pub(super) fn replay(&mut self, record: Record) {
        match record {
            Record::Accepted(message) => self.replay_accepted(message),
            Record::AttemptStarted { id, at, zone, earlier_attempts } => {
                self.replay_attempt_started(MessageId(id), Nanos(at), zone as usize, earlier_attempts);
            }
            Record::AttemptEnded { id, may_have_run } => {
                self.pending.end_attempt(MessageId(id), may_have_run);
            }
            Record::Completed { id, at, completion } => {
                self.replay_completed(MessageId(id), Nanos(at), completion)
            }
            Record::CallbackAcknowledged { id } => self.acknowledge_callback(MessageId(id)),
            // These occur in the takeover file `late`, never in the journal.
            Record::LateOutcome { .. } | Record::Observed { .. } => {}
            Record::Suspended { uid, suspended } => self.endpoints.set_suspended(uid, suspended),
            Record::Deduplicated { name, idempotency_key, until, delivered } => {
                self.deduplication.insert(name, idempotency_key, Nanos(until), delivered);
            }
        }
    }

    fn replay_accepted(&mut self, message: AcceptedMessage) {
        let id = MessageId(message.id);
        self.next_id = self.next_id.max(message.id + 1);
        let context = RequestContext {
            name: message.name,
            origin: message.origin,
            class: message.class as usize,
            tenant: message.tenant as usize,
            ordering_key: message.key,
            dest: message.dest,
            deadline: Nanos(message.deadline),
            idempotency_key: message.idempotency_key,
            body: message.body,
            tags: Vec::new(),
        };
        self.pending.insert(id, context);
        if let Some(message) = self.pending.get_mut(id) {
            message.in_journal = true;
            // The last process may have told the client that the message is accepted.
            message.clients = 1;
        }
    }

    fn replay_attempt_started(&mut self, id: MessageId, started: Nanos, zone: usize, earlier_attempts: u32) {
        let Some(message) = self.pending.get_mut(id) else { return };
        message.attempts += earlier_attempts;
        let attempt = message.attempts;
        message.attempts += 1;
        // The journal stores neither the endpoint nor the timeout of an attempt.
        let (host, timeout) = (EndpointId(0), Nanos(0));
        let stage = Stage::Sent;
        self.pending.set_in_flight(id, InFlight { attempt, started, zone, stage, host, timeout });
    }

    fn replay_completed(&mut self, id: MessageId, at: Nanos, completion: Completion) {
        let Some(message) = self.pending.get_open(id) else { return };
        let context = message.context.clone();
        self.pending.take_in_flight(id);
        self.set_complete(id, completion);
        self.add_to_deduplication(&context, at, completion);
        self.remove_if_done(id);
    }

    /// Resumes pending messages after all records are replayed.
    pub(super) fn resume(&mut self, predecessor: Predecessor) {
        let with_attempt = self.pending.iter().filter(|(_, m)| m.in_flight().is_some());
        let in_flight: Vec<MessageId> = with_attempt.map(|(id, _)| id).collect();
        match predecessor {
            Predecessor::MayHaveCalls => self.await_predecessor_calls(&in_flight),
            Predecessor::None => {
                for id in in_flight {
                    // An attempt that was in flight may have run: an at-most-once message must not run again.
                    self.pending.end_attempt(id, true);
                }
            }
        }
        self.deduplication.expire(self.now);
        let all: Vec<MessageId> = self.pending.iter().map(|(id, _)| id).collect();
        for id in all {
            self.resume_pending(id);
        }
        if predecessor == Predecessor::MayHaveCalls {
            // The rewrite replaces the file, so anything that the predecessor still appends to the old one has no effect.
            self.rewrite_journal();
        }
        if !self.pending.is_empty() {
            log::info!(messages = self.pending.len(); "messages resumed from the journal");
            self.wake_at = Some(self.now);
        }
    }

    /// Sends the callback of a complete message again, or passes an open message to the decision module.
    fn resume_pending(&mut self, id: MessageId) {
        let Some(message) = self.pending.get(id) else { return };
        if let Some(completion) = message.completion() {
            self.outputs.extend(message.callback(id, completion).map(Output::Callback));
            return;
        }
        if message.in_flight().is_none() && !self.queue_behind_predecessor(id) {
            self.resume_message(id);
        }
    }
}
