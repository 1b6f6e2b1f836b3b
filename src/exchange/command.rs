//! What the exchange is told, and what it has the server side do.
use crate::core::{Answer, Attempt, EndpointObservation, Input, SuspensionResult};
use crate::request::RequestContext;
use crate::takeover::Late;
use crate::{EndpointId, MessageId};
use bytes::Bytes;
use tokio::sync::oneshot;

/// One thing that the exchange is told.
pub(super) enum Command {
    /// A client submits a request.
    Submit(RequestContext, oneshot::Sender<Answer>),
    /// Something has happened that the core is to hear of.
    Input(Input),
    /// An attempt waits for a word on this topic that comes by way of a client connection.
    ExpectWord(String, oneshot::Sender<Bytes>),
    /// Such a word has come.
    Word(String, Bytes),
    /// The process is to end.
    ShutDown(oneshot::Sender<()>),
    /// Somebody wants to know what this forwarder has seen of its endpoints.
    Observations(oneshot::Sender<Vec<EndpointObservation>>),
    /// An operator takes an endpoint out, or calls it back.
    Suspend { uid: String, out: bool, tell: oneshot::Sender<SuspensionResult> },
    /// Whether client connections stay open.
    KeepConnections(bool),
    /// The journal is another process's from now on.
    ReleaseJournal(Late, oneshot::Sender<()>),
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
