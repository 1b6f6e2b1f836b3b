//! What the core takes in and what it gives out: inputs, answers, attempts, notices, orders. Knows no wire.
use crate::interface::{
    DestinationId, EndpointId, EndpointState, Finding, LoadReport, MessageId, Nanos, Outcome,
};
use crate::journal::{Completion, Record};
use crate::request::RequestContext;
use std::sync::Arc;

/// What a client is told of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Answer {
    Accepted,
    /// A repeat of one that was delivered.
    Delivered,
    /// Coming again is harmless, after this time if told.
    Reject(Option<Nanos>),
    /// No member of the upstream group is for its dest.
    UnknownDestination,
    Failed,
}

/// One member of the upstream group.
#[derive(Clone, Debug)]
pub struct Endpoint {
    pub uid: String,
    pub address: String,
    pub zone: usize,
    pub kind: usize,
    pub dest: u64,
    pub state: EndpointState,
    pub rate: f64,
}

/// What was seen of an endpoint, by this forwarder or by a neighbour.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointObservation {
    /// Discovery's name for the endpoint, the same for all forwarders. One that is replaced has another, also at the
    /// same address.
    pub uid: String,
    pub finding: Finding,
    /// How long ago.
    pub age: Nanos,
}

/// What happened.
pub enum Input {
    Endpoints {
        complete: bool,
        endpoints: Vec<Endpoint>,
    },
    Submitted {
        id: MessageId,
        context: RequestContext,
    },
    /// The client went before its answer.
    Withdrawn(MessageId),
    /// `over`: the endpoint says that nothing more is owed.
    AttemptEnded {
        id: MessageId,
        attempt: u32,
        outcome: Outcome,
        over: bool,
        /// What the answer told of its destination's limit.
        report: Option<LoadReport>,
    },
    /// A partner's word on when to come, told at this endpoint.
    RetryAfter {
        host: EndpointId,
        dest: DestinationId,
        wait: Nanos,
    },
    CallbackAcknowledged(MessageId),
    /// What neighbours saw.
    PeerObservations(Vec<EndpointObservation>),
    /// What the process that had the journal before says of its calls and of endpoints.
    PredecessorRecords(Vec<Record>),
    /// It has ended, or has no call out.
    PredecessorExited,
}

/// One attempt at delivery.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub id: MessageId,
    pub attempt: u32,
    pub host: EndpointId,
    pub address: String,
    pub timeout: Nanos,
    /// It must not run twice: giving it up forfeits it.
    pub at_most_once: bool,
    pub context: Arc<RequestContext>,
}

/// What a client hears of a message that was taken on and not delivered.
#[derive(Clone, Debug)]
pub struct Callback {
    pub id: MessageId,
    pub name: String,
    /// The front that is to pass it on; empty for the platform's own.
    pub origin: String,
    pub completion: Completion,
}

/// What is to be done.
pub enum Output {
    Answer(MessageId, Answer),
    /// One call: a single message, or several for one endpoint.
    Call(Vec<Attempt>),
    CancelAttempt {
        id: MessageId,
        attempt: u32,
    },
    CloseIdle(EndpointId),
    Callback(Callback),
}
