//! A start: what the journal says is pending, which attempts may have run, and what is still to be reported.
use super::in_flight::{InFlight, Stage};
use super::messages::Output;
use super::{Core, Predecessor};
use crate::interface::{EndpointId, MessageId, Nanos};
use crate::journal::{AcceptedMessage, Completion, Record};
use crate::request::RequestContext;

impl Core {
    /// Takes in one record of the journal, in their order.
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
            // These are in the file of a takeover, never in the journal.
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
        }
    }

    fn replay_attempt_started(&mut self, id: MessageId, started: Nanos, zone: usize, earlier_attempts: u32) {
        let Some(message) = self.pending.get_mut(id) else { return };
        message.attempts += earlier_attempts;
        let attempt = message.attempts;
        message.attempts += 1;
        // The journal does not say where the attempt went, nor for how long.
        let (host, timeout) = (EndpointId(0), Nanos(0));
        let stage = Stage::Sent;
        self.pending.set_in_flight(id, InFlight { attempt, started, zone, stage, host, timeout });
    }

    fn replay_completed(&mut self, id: MessageId, at: Nanos, completion: Completion) {
        let Some(message) = self.pending.get_open(id) else { return };
        let context = message.context.clone();
        self.pending.take_in_flight(id);
        self.set_complete(id, completion);
        self.remember(&context, at, completion);
        self.remove_if_done(id);
    }

    /// Resumes what is pending once all records are replayed.
    pub(super) fn resume(&mut self, predecessor: Predecessor) {
        let with_attempt = self.pending.iter().filter(|(_, m)| m.in_flight().is_some());
        let in_flight: Vec<MessageId> = with_attempt.map(|(id, _)| id).collect();
        match predecessor {
            Predecessor::MayHaveCalls => self.leave_to_predecessor(&in_flight),
            Predecessor::None => {
                for id in in_flight {
                    // Guards "no double effect" across restarts: an attempt that was in flight may have run.
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
            // Guards the journal against the predecessor: what it may still append goes to a file that is gone.
            self.rewrite_journal();
        }
        if !self.pending.is_empty() {
            log::info!(messages = self.pending.len(); "resumed from the journal");
            self.wake_at = Some(self.now);
        }
    }

    /// Reports a complete message again, or gives an open one to the module.
    fn resume_pending(&mut self, id: MessageId) {
        let Some(message) = self.pending.get(id) else { return };
        if let Some(completion) = message.completion() {
            self.outputs.extend(message.callback(id, completion).map(Output::Callback));
            return;
        }
        if message.in_flight().is_none() && !self.wait_for_predecessor(id) {
            self.resume_message(id);
        }
    }
}
