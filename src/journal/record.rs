//! What the journal holds: one record for each step in the life of a message, and what a predecessor leaves behind.
use bytes::Bytes;

/// One entry of the journal. Times are Unix nanoseconds; `id` is the message's number, unique in one journal.
#[derive(Clone, Debug, PartialEq)]
pub enum Record {
    /// A message was accepted. The order of these records is the order of acceptance.
    Accepted(AcceptedMessage),
    /// An attempt is about to start.
    AttemptStarted {
        /// The message.
        id: u64,
        /// When the attempt started.
        at: u64,
        /// Index of the endpoint's zone.
        zone: u32,
        /// Earlier attempts, all of them over, that a compacted journal has no records of their own for.
        earlier_attempts: u32,
    },
    /// An attempt ended without delivering.
    AttemptEnded {
        /// The message.
        id: u64,
        /// The endpoint may have processed the message.
        may_have_run: bool,
    },
    /// The message is complete: delivered, withdrawn, or its client is owed a callback.
    Completed {
        /// The message.
        id: u64,
        /// When it completed.
        at: u64,
        /// How it completed.
        completion: Completion,
    },
    /// The platform acknowledged the callback on the message's completion.
    CallbackAcknowledged {
        /// The message.
        id: u64,
    },
    /// A completed message in the deduplication cache: repeats of it get the same answer until the entry expires.
    Deduplicated {
        /// The name that the client gave the message.
        name: String,
        /// Its idempotency key; empty if it had none.
        idempotency_key: String,
        /// When the entry expires.
        until: u64,
        /// Whether it was delivered; otherwise it was undeliverable.
        delivered: bool,
    },
    /// An operator suspended an endpoint or resumed it. Programs older than this record stop reading at the first one.
    Suspended {
        /// The endpoint's identifier in discovery.
        uid: String,
        /// Whether the endpoint is suspended from now on.
        suspended: bool,
    },
    /// How an attempt ended that the predecessor had in flight when it released the journal.
    LateOutcome {
        /// The message.
        id: u64,
        /// When the attempt started: tells it from an earlier attempt of the same message.
        at: u64,
        /// How the attempt ended.
        outcome: LateOutcome,
    },
    /// What the predecessor had observed of an endpoint, in the encoding of the core.
    Observed {
        /// The endpoint's identifier in discovery.
        uid: String,
        /// When it was observed.
        at: u64,
        /// The kind of observation.
        kind: u8,
        /// Its figures; their meaning depends on the kind.
        values: [u64; 2],
    },
}

/// How an attempt ended after its process had released the journal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LateOutcome {
    /// The endpoint confirmed delivery.
    Delivered,
    /// The endpoint answered that nothing more is to be delivered.
    Final,
    /// The attempt failed, and the endpoint may have processed the message.
    MayHaveRun,
    /// The attempt failed, and the endpoint did not process the message.
    NeverRan,
}

/// An accepted message, with all that a restart needs to go on with it.
#[derive(Clone, Debug, PartialEq)]
pub struct AcceptedMessage {
    /// Its number, unique in one journal.
    pub id: u64,
    /// The name that the client gave it.
    pub name: String,
    /// What its front needs to report the completion; empty for the platform's own front.
    pub origin: String,
    /// Index of its class.
    pub class: u32,
    /// Index of its tenant.
    pub tenant: u32,
    /// Its ordering key, if it has one.
    pub key: Option<u64>,
    /// Its destination.
    pub dest: u64,
    /// When its time is up, in Unix nanoseconds.
    pub deadline: u64,
    /// Its idempotency key; empty if it has none.
    pub idempotency_key: String,
    /// Its body.
    pub body: Bytes,
}

/// How a message completed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Completion {
    /// An endpoint confirmed delivery.
    Delivered,
    /// Its client withdrew it, or the endpoint answered that nothing more is to be delivered.
    Withdrawn,
    /// It cannot be delivered any more, or may have been and must not be sent again.
    Undeliverable,
    /// It was not delivered in time, and its client may send it again; with the milliseconds to wait before that, where
    /// they are known.
    Deferred(Option<u64>),
}
