//! What the core takes in and what it gives out: inputs, answers, attempts, callbacks. Knows no wire.
use crate::interface::{
    DestinationId, EndpointId, EndpointState, Finding, LoadReport, MessageId, Nanos, Outcome,
};
use crate::journal::{Completion, Record};
use crate::request::RequestContext;
use std::sync::Arc;

/// The answer to a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Answer {
    /// The journal has the message, and its completion will be reported.
    Accepted,
    /// A repeat of a message that was delivered.
    Delivered,
    /// Not accepted: a retry is harmless, after this time if one is given.
    Reject(Option<Nanos>),
    /// No endpoint was ever listed for its destination.
    UnknownDestination,
    /// Its deadline has passed, or it is a repeat of a message that failed.
    Failed,
}

/// One endpoint of the endpoint list.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Discovery's name for the endpoint, the same for all forwarders.
    pub uid: String,
    /// Where it listens.
    pub address: String,
    /// Index of its zone in the settings.
    pub zone: usize,
    /// Index of its endpoint kind in the settings.
    pub kind: usize,
    /// The destination that it serves.
    pub dest: u64,
    /// Its state in the list.
    pub state: EndpointState,
    /// Its rate as listed, in messages a second.
    pub rate: f64,
}

/// What was observed of an endpoint, by this forwarder or by a peer.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointObservation {
    /// Discovery's name for the endpoint, the same for all forwarders. One that is replaced has another, also at the
    /// same address.
    pub uid: String,
    /// What was observed.
    pub finding: Finding,
    /// How long ago.
    pub age: Nanos,
}

/// What happened.
pub enum Input {
    /// The endpoint list, or changes to it.
    Endpoints {
        /// Whether endpoints that are not named here are removed.
        complete: bool,
        /// The endpoints.
        endpoints: Vec<Endpoint>,
    },
    /// A client submitted a request.
    Submitted {
        /// The message's number, from [`Core::next_id`](super::Core::next_id).
        id: MessageId,
        /// The request.
        context: RequestContext,
    },
    /// The client went away before its answer.
    Withdrawn(MessageId),
    /// An attempt ended. Each attempt of [`Output::Call`] ends once.
    AttemptEnded {
        /// Its message.
        id: MessageId,
        /// Its number within the message.
        attempt: u32,
        /// How it ended.
        outcome: Outcome,
        /// Whether the endpoint says that nothing more is owed.
        over: bool,
        /// What the response said of its destination's limit.
        report: Option<LoadReport>,
    },
    /// A partner's `Retry-After` (RFC 9110, section 10.2.3), received from this endpoint.
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
    /// What peers observed.
    PeerObservations(Vec<EndpointObservation>),
    /// What the process that had the journal before reports of its calls and of endpoints.
    PredecessorRecords(Vec<Record>),
    /// That process has ended, or has no call in flight any more.
    PredecessorExited,
}

/// One attempt at delivery.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Its message.
    pub id: MessageId,
    /// Its number within the message, from zero.
    pub attempt: u32,
    /// The endpoint.
    pub host: EndpointId,
    /// Where the endpoint listens.
    pub address: String,
    /// How long the attempt may take, with its connect.
    pub timeout: Nanos,
    /// The message must not run twice: giving the attempt up forfeits the message.
    pub at_most_once: bool,
    /// The request.
    pub context: Arc<RequestContext>,
}

/// What a client is notified of after its message was accepted.
#[derive(Clone, Debug)]
pub struct Callback {
    /// The message.
    pub id: MessageId,
    /// The id that the client gave it.
    pub name: String,
    /// The client side that is to pass it on; empty for the platform's own.
    pub origin: String,
    /// How the message ended.
    pub completion: Completion,
}

/// What is to be done.
pub enum Output {
    /// Answer a request.
    Answer(MessageId, Answer),
    /// Start one call: a single message, or several for one endpoint.
    Call(Vec<Attempt>),
    /// Give an attempt up; it still ends with an [`Input::AttemptEnded`].
    CancelAttempt {
        /// Its message.
        id: MessageId,
        /// Its number within the message.
        attempt: u32,
    },
    /// Close the idle connections to this endpoint.
    CloseIdle(EndpointId),
    /// Notify the client, again and again until it acknowledges.
    Callback(Callback),
}
