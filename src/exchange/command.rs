//! What the exchange is told, and what it has the server side do.
use crate::core::{Answer, Attempt, Endpoint, EndpointObservation, Input, SuspensionResult};
use crate::request::RequestContext;
use crate::takeover::LateOutcomeWriter;
use crate::{EndpointId, MessageId};
use bytes::Bytes;
use tokio::sync::oneshot;

/// One thing that the exchange is told.
pub(super) enum Command {
    /// A client submits a request.
    Submit(RequestContext, oneshot::Sender<Answer>),
    /// Something has happened that the core is to hear of.
    Input(Input),
    /// An attempt waits for the asynchronous receipt of this AS2 message.
    AwaitReceipt { message_id: String, reply: oneshot::Sender<Bytes> },
    /// Such a receipt has arrived on a client connection.
    ReceiptReceived { message_id: String, receipt: Bytes },
    /// The process is to end.
    ShutDown(oneshot::Sender<()>),
    /// Somebody wants to know what this forwarder has seen of its endpoints.
    Observations(oneshot::Sender<Vec<EndpointObservation>>),
    /// An operator suspends or resumes an endpoint.
    SetSuspension { uid: String, suspension: Suspension, reply: oneshot::Sender<SuspensionResult> },
    /// Whether client connections stay open.
    SetClientConnections(ClientConnections),
    /// The journal is another process's from now on.
    ReleaseJournal(LateOutcomeWriter, oneshot::Sender<()>),
}

/// An update of the endpoint list.
pub enum EndpointUpdate {
    /// All endpoints: those that it does not name are removed.
    Complete(Vec<Endpoint>),
    /// Endpoints that are new or changed: all others stay as they are.
    Changes(Vec<Endpoint>),
}

/// What an operator wants of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Suspension {
    /// It is taken out of rotation until it is resumed, also over restarts.
    Suspend,
    /// It goes back into rotation.
    Resume,
}

/// What becomes of client connections between two requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientConnections {
    /// They stay open for the next request.
    KeepOpen,
    /// They are closed, and no new one is accepted.
    Close,
}

/// What the server side does for the exchange.
pub enum UpstreamCommand {
    /// One call with these messages.
    Call(Vec<Attempt>),
    /// Call this attempt off.
    CancelAttempt {
        /// The message.
        id: MessageId,
        /// The number of its attempt.
        attempt: u32,
    },
    /// Close the idle connections to this endpoint.
    CloseIdle(EndpointId),
}
