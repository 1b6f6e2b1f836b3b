//! One held message: its attempts, what may have run, its end, and the records that the journal needs of it.
use super::messages::Callback;
use crate::deduplication::DeduplicationCache;
use crate::interface::{DestinationId, EndpointId, Message, MessageId, Nanos};
use crate::journal::{AcceptedMessage, Completion, Journal, Record};
use crate::request::RequestContext;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// How far an attempt has come.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Stage {
    /// Waits for an earlier message's notice, or for this moment to end; not on its way yet.
    HeldBack,
    /// Waits for its connection: no byte has gone out, and the journal does not know of it.
    Connecting,
    /// Its first byte may have gone out.
    Sent,
}

pub(super) struct Out {
    pub(super) attempt: u32,
    pub(super) started: Nanos,
    pub(super) zone: usize,
    pub(super) stage: Stage,
    pub(super) host: EndpointId,
    pub(super) timeout: Nanos,
}

pub(super) struct Held {
    pub(super) context: Arc<RequestContext>,
    pub(super) attempts: u32,
    pub(super) out: Option<Out>,
    /// When, and in which zone, the first attempt started that may have run.
    pub(super) first_possible_run: Option<(Nanos, usize)>,
    /// Set once the message is over; it is kept for its attempt and its notice.
    pub(super) end: Option<Completion>,
    pub(super) heard: bool,
    /// The journal knows of it.
    pub(super) logged: bool,
    pub(super) weight: u64,
}

impl Held {
    pub(super) fn message(&self, id: MessageId) -> Message {
        let c = &self.context;
        Message {
            id,
            class: c.class,
            tenant: c.tenant,
            key: c.ordering_key,
            dest: DestinationId(c.dest),
            deadline: c.deadline,
        }
    }

    pub(super) fn notice(&self, id: MessageId, end: Completion) -> Callback {
        Callback { id, name: self.context.name.clone(), origin: self.context.origin.clone(), completion: end }
    }

    pub(super) fn taken(&self, id: MessageId) -> AcceptedMessage {
        let c = &self.context;
        AcceptedMessage {
            id: id.0,
            name: c.name.clone(),
            origin: c.origin.clone(),
            class: c.class as u32,
            tenant: c.tenant as u32,
            key: c.ordering_key,
            dest: c.dest,
            deadline: c.deadline.0,
            idempotency_key: c.idempotency_key.clone(),
            body: c.body.clone(),
        }
    }

    /// All that the journal must say of it, in the fewest records.
    pub(super) fn records(&self, id: MessageId, now: Nanos) -> Vec<Record> {
        let mut records = vec![Record::Accepted(self.taken(id))];
        if let Some(end) = self.end {
            records.push(Record::Completed { id: id.0, at: now.0, completion: end });
            records.extend(self.heard.then_some(Record::CallbackAcknowledged { id: id.0 }));
            return records;
        }
        let done = self.attempts - u32::from(self.out.is_some());
        if done > 0 {
            let (at, zone) = self.first_possible_run.map_or((0, 0), |(at, zone)| (at.0, zone as u32));
            records.push(Record::AttemptStarted { id: id.0, at, zone, before: done - 1 });
            records.push(Record::AttemptEnded { id: id.0, may_have_run: self.first_possible_run.is_some() });
        }
        let out = self.out.as_ref().filter(|o| o.stage == Stage::Sent);
        records.extend(out.map(|o| {
            let (at, zone) = (o.started.0, o.zone as u32);
            Record::AttemptStarted { id: id.0, at, zone, before: 0 }
        }));
        records
    }
}

/// All that the journal must say, in the fewest records.
pub(super) fn records<'a>(
    held: &'a BTreeMap<MessageId, Held>, ended: &'a DeduplicationCache, suspended: &'a BTreeSet<String>,
    now: Nanos,
) -> impl Iterator<Item = Record> + 'a {
    let known = held.iter().filter(|(_, h)| h.logged);
    let out = suspended.iter().map(|uid| Record::Suspended { uid: uid.clone(), suspended: true });
    out.chain(ended.records()).chain(known.flat_map(move |(id, h)| h.records(*id, now)))
}

/// Bytes that the journal must keep for a message.
pub(super) fn weigh(c: &RequestContext) -> u64 {
    Journal::reserved_bytes(&c.name, &c.origin, &c.idempotency_key, c.body.len())
}

/// Whether somebody is still to be told of this end.
pub(super) fn owes_word(context: &RequestContext, end: Completion) -> bool {
    match end {
        Completion::Withdrawn => false,
        Completion::Delivered => !context.origin.is_empty(),
        Completion::Undeliverable | Completion::Deferred(_) => true,
    }
}
