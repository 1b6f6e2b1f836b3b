//! Records: the steps in the life of a message, suspensions, deduplication entries, and the reports of a predecessor.
use bytes::Bytes;

/// An entry of the journal. Times are Unix nanoseconds; `id` identifies a message within one journal.
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
        /// Number of earlier, ended attempts that have no records of their own, because the journal was compacted.
        earlier_attempts: u32,
    },
    /// An attempt ended without delivering.
    AttemptEnded {
        /// The message.
        id: u64,
        /// Whether the endpoint may have processed the message.
        may_have_run: bool,
    },
    /// A message completed. Its client may still need a callback, see [`Record::CallbackAcknowledged`].
    Completed {
        /// The message.
        id: u64,
        /// When it completed.
        at: u64,
        /// How it completed.
        completion: Completion,
    },
    /// The client acknowledged the callback for a completion.
    CallbackAcknowledged {
        /// The message.
        id: u64,
    },
    /// An entry of the deduplication cache: repeats of the message get the same answer until the entry expires.
    Deduplicated {
        /// The name that the client gave the message.
        name: String,
        /// The message's idempotency key; empty if it had none.
        idempotency_key: String,
        /// When the entry expires.
        until: u64,
        /// Whether the message was delivered; otherwise it was undeliverable.
        delivered: bool,
    },
    /// An operator suspended or resumed an endpoint. Versions older than this record stop reading at the first one.
    Suspended {
        /// Name of the endpoint in discovery.
        uid: String,
        /// Whether the endpoint is suspended from now on.
        suspended: bool,
    },
    /// The outcome of an attempt that the predecessor had in flight when it released the journal.
    LateOutcome {
        /// The message.
        id: u64,
        /// When the attempt started; distinguishes it from an earlier attempt of the same message.
        at: u64,
        /// How the attempt ended.
        outcome: LateOutcome,
    },
    /// An observation of an endpoint by the predecessor. The core encodes its finding.
    Observed {
        /// Name of the endpoint in discovery.
        uid: String,
        /// When the observation was made.
        at: u64,
        /// The kind of finding.
        kind: u8,
        /// The values of the finding; their meaning depends on the kind.
        values: [u64; 2],
    },
}

/// Outcome of an attempt that ended after its process had released the journal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LateOutcome {
    /// The endpoint confirmed delivery.
    Delivered,
    /// The endpoint responded that the message needs no further delivery.
    Final,
    /// The attempt failed, and the endpoint may have processed the message.
    MayHaveRun,
    /// The attempt failed, and the endpoint did not process the message.
    NeverRan,
}

/// An accepted message, with everything that a restart needs to resume it.
#[derive(Clone, Debug, PartialEq)]
pub struct AcceptedMessage {
    /// Id, unique within one journal.
    pub id: u64,
    /// Name that the client gave the message.
    pub name: String,
    /// Data that the client interface needs to report the completion; empty for the platform interface.
    pub origin: String,
    /// Index of the class.
    pub class: u32,
    /// Index of the tenant.
    pub tenant: u32,
    /// Ordering key, if any.
    pub key: Option<u64>,
    /// Destination.
    pub dest: u64,
    /// Deadline, in Unix nanoseconds.
    pub deadline: u64,
    /// Idempotency key; empty if there is none.
    pub idempotency_key: String,
    /// Body.
    pub body: Bytes,
}

/// How a message completed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Completion {
    /// An endpoint confirmed delivery.
    Delivered,
    /// The client withdrew the message, or the endpoint responded that it needs no further delivery.
    Withdrawn,
    /// The message can no longer be delivered, or it may have been delivered and must not be sent again.
    Undeliverable,
    /// The message was not delivered in time, and the client may submit it again, after this many milliseconds if they are
    /// known.
    Deferred(Option<u64>),
}
