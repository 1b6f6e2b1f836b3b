//! Input and output types of the core, independent of any protocol.
use super::endpoint_list::ListRevision;
use crate::interface::{
    DestinationId, EndpointId, EndpointState, Finding, LoadReport, MessageId, Nanos, Outcome,
};
use crate::journal::{Completion, Record};
use crate::request::RequestContext;
use std::sync::Arc;

/// The answer to a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Answer {
    /// The message is in the journal, and its completion will be reported.
    Accepted,
    /// A repeat of a message that was delivered.
    Delivered,
    /// Not accepted. A retry is harmless, after the given time if there is one.
    Reject(Option<Nanos>),
    /// No endpoint was ever listed for the destination.
    UnknownDestination,
    /// The deadline has passed, or the request repeats a message that failed.
    Failed,
}

/// An entry of the endpoint list.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Name of the endpoint in discovery, the same for all forwarders.
    pub uid: String,
    /// Address on which it listens.
    pub address: String,
    /// Index of its zone in the settings.
    pub zone: usize,
    /// Index of its endpoint kind in the settings.
    pub kind: usize,
    /// Destination that it serves.
    pub dest: u64,
    /// State in the list.
    pub state: EndpointState,
    /// Listed rate, in messages per second.
    pub rate: f64,
}

/// An observation of an endpoint, made by this forwarder or by a peer.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointObservation {
    /// Name of the endpoint in discovery, the same for all forwarders. A replacement has another name, even at the same
    /// address.
    pub uid: String,
    /// What was found.
    pub finding: Finding,
    /// Age of the observation.
    pub age: Nanos,
}

/// An event that the core handles in a step.
pub enum Input {
    /// The endpoint list was received, or changes to it.
    Endpoints {
        /// The revision of the list after this update.
        revision: ListRevision,
        /// Whether this is the whole list: endpoints missing from it are removed.
        complete: bool,
        /// The endpoints.
        endpoints: Vec<Endpoint>,
    },
    /// A client submitted a request.
    Submitted {
        /// Id of the message, from [`Core::next_id`](super::Core::next_id).
        id: MessageId,
        /// The request.
        context: RequestContext,
    },
    /// A client disconnected before its [`Answer::Accepted`] for this message. Follows the [`Output::Answer`] at once.
    ClientDisconnected(MessageId),
    /// An attempt ended. Each attempt of an [`Output::Call`] ends exactly once.
    AttemptEnded {
        /// The message.
        id: MessageId,
        /// Number of the attempt within the message.
        attempt: u32,
        /// How the attempt ended.
        outcome: Outcome,
        /// Whether the endpoint reported that the message needs no further delivery and no callback.
        over: bool,
        /// Load report of the response on the destination's rate limit.
        report: Option<LoadReport>,
    },
    /// An endpoint sent a `Retry-After` (RFC 9110, section 10.2.3).
    RetryAfter {
        /// The endpoint.
        host: EndpointId,
        /// Its destination.
        dest: DestinationId,
        /// How long to wait.
        wait: Nanos,
    },
    /// The client acknowledged the callback of this message.
    CallbackAcknowledged(MessageId),
    /// Peers sent observations of endpoints.
    PeerObservations(Vec<EndpointObservation>),
    /// The predecessor reported outcomes of its calls, or observations of endpoints.
    PredecessorRecords(Vec<Record>),
    /// The predecessor has exited, or has no call in flight any more.
    PredecessorExited,
}

/// One delivery of one message to an endpoint.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The message.
    pub id: MessageId,
    /// Number of the attempt within the message, from zero.
    pub attempt: u32,
    /// The endpoint.
    pub host: EndpointId,
    /// Address of the endpoint.
    pub address: String,
    /// Time limit of the attempt, including its connect.
    pub timeout: Nanos,
    /// Whether the message must not run twice. Cancelling such an attempt after its first byte makes the message
    /// undeliverable.
    pub at_most_once: bool,
    /// The request.
    pub context: Arc<RequestContext>,
}

/// The notification of a client that its accepted message is complete.
#[derive(Clone, Debug)]
pub struct Callback {
    /// The message.
    pub id: MessageId,
    /// Name that the client gave the message.
    pub name: String,
    /// Data of the client interface that delivers the callback; empty for the platform interface.
    pub origin: String,
    /// How the message completed.
    pub completion: Completion,
}

/// An effect that the caller of the core carries out.
#[derive(Debug)]
pub enum Output {
    /// Answer a request.
    Answer {
        /// Id under which the request was submitted.
        request: MessageId,
        /// The message that the request is for: an earlier one if the request is a repeat.
        message: MessageId,
        /// The answer.
        answer: Answer,
    },
    /// Start a call to one endpoint, with one attempt or a batch.
    Call(Vec<Attempt>),
    /// Cancel an attempt; it still ends with an [`Input::AttemptEnded`].
    CancelAttempt {
        /// The message.
        id: MessageId,
        /// Number of the attempt within the message.
        attempt: u32,
    },
    /// Close the idle connections to this endpoint.
    CloseIdle(EndpointId),
    /// Send a callback to the client, repeatedly until it is acknowledged.
    Callback(Callback),
}
