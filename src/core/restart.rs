//! What the journal says at a start: messages that are still owed, and attempts that may have run.
use super::messages::Output;
use super::pending::{owes_word, Out, Stage};
use super::{Core, Predecessor};
use crate::interface::{EndpointId, MessageId, Nanos};
use crate::journal::Record;
use crate::request::RequestContext;

impl Core {
    pub(super) fn replay(&mut self, record: Record) {
        match record {
            Record::Accepted(t) => {
                let id = MessageId(t.id);
                self.next = self.next.max(t.id + 1);
                let context = RequestContext {
                    name: t.name,
                    origin: t.origin,
                    class: t.class as usize,
                    tenant: t.tenant as usize,
                    ordering_key: t.key,
                    dest: t.dest,
                    deadline: Nanos(t.deadline),
                    idempotency_key: t.idempotency_key,
                    body: t.body,
                    tags: Vec::new(),
                };
                self.keep(id, context);
                if let Some(h) = self.held.get_mut(&id) {
                    h.logged = true;
                }
            }
            Record::AttemptStarted { id, at, zone, before } => {
                if let Some(h) = self.held.get_mut(&MessageId(id)) {
                    h.attempts += before;
                    let (started, zone) = (Nanos(at), zone as usize);
                    let (host, timeout) = (EndpointId(0), Nanos(0));
                    let out = Out { attempt: h.attempts, started, zone, stage: Stage::Sent, host, timeout };
                    h.attempts += 1;
                    self.put_out(MessageId(id), out);
                }
            }
            Record::AttemptEnded { id, may_have_run } => {
                self.ran(MessageId(id), may_have_run);
            }
            Record::Completed { id, at, completion: end } => {
                if let Some(h) = self.held.get_mut(&MessageId(id)).filter(|h| h.end.is_none()) {
                    let (context, at) = (h.context.clone(), Nanos(at));
                    self.take_out(MessageId(id));
                    self.close(MessageId(id), end);
                    self.remember(&context, at, end);
                    self.drop_if_done(MessageId(id));
                }
            }
            Record::CallbackAcknowledged { id } => self.heard(MessageId(id)),
            // These stand in `late` alone.
            Record::LateOutcome { .. } | Record::Observed { .. } => {}
            Record::Suspended { uid, suspended: out } => self.suspend(uid, out),
            Record::Deduplicated { name, idempotency_key: repeat_key, until, delivered } => {
                self.ended.add(name, repeat_key, Nanos(until), delivered)
            }
        }
    }

    pub(super) fn resume(&mut self, predecessor: Predecessor) {
        let elder = predecessor == Predecessor::MayHaveCalls;
        let out: Vec<MessageId> =
            self.held.iter().filter(|(_, h)| h.out.is_some()).map(|(id, _)| *id).collect();
        if elder {
            self.leave_to_elder(&out);
        }
        for id in out.into_iter().filter(|_| !elder) {
            // Guards "no double effect" across restarts: an attempt that was out may have run.
            self.ran(id, true);
        }
        let now = self.now;
        self.ended.forget(now);
        let all: Vec<MessageId> = self.held.keys().copied().collect();
        for id in all {
            let h = &self.held[&id];
            if let Some(end) = h.end {
                self.orders.extend(owes_word(&h.context, end).then(|| Output::Callback(h.notice(id, end))));
            } else if h.out.is_none() && !self.stands_behind(id) {
                self.tell_module(id);
            }
        }
        if elder {
            // Guards the log against whoever wrote it before: what that one may still add goes to a file that is gone.
            self.write_anew();
        }
        if !self.held.is_empty() {
            log::info!(messages = self.held.len(); "taken up from the journal");
            self.wake = Some(now);
        }
    }
}
