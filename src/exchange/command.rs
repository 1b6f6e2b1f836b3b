//! The messages of the exchange: commands to its task, and commands from it to the server side.
use crate::core::{Answer, Attempt, Endpoint, EndpointObservation, Input, SuspensionResult};
use crate::request::RequestContext;
use crate::takeover::{FolderLock, LateOutcomeWriter};
use crate::{EndpointId, LoadReport, MessageId, Outcome};
use bytes::Bytes;
use tokio::sync::oneshot;

/// A command to the exchange task. A `reply` is sent once the command has been carried out.
pub(super) enum Command {
    /// A client submits a request.
    Submit { context: RequestContext, reply: oneshot::Sender<Answer> },
    /// An event for the core.
    Input(Input),
    /// An attempt waits for the asynchronous receipt of this AS2 message.
    AwaitReceipt { message_id: String, reply: oneshot::Sender<Bytes> },
    /// Such a receipt has arrived on a client connection.
    ReceiptReceived { message_id: String, receipt: Bytes },
    /// The process is asked to shut down gracefully; the reply says that it may exit.
    ShutDown { reply: oneshot::Sender<()> },
    /// What this forwarder has observed of its endpoints is wanted.
    Observations { reply: oneshot::Sender<Vec<EndpointObservation>> },
    /// An operator suspends or resumes an endpoint.
    SetSuspension { uid: String, suspension: Suspension, reply: oneshot::Sender<SuspensionResult> },
    /// How far client connections are closed.
    SetClientConnections(ClientConnections),
    /// What the last step before the release has put out is to be executed now.
    SendLastAnswers,
    /// The journal belongs to another process from now on; outcomes of calls in flight go to `late`. The owner's lock is
    /// dropped with the release.
    ReleaseJournal { late: LateOutcomeWriter, owner_lock: FolderLock, reply: oneshot::Sender<()> },
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

/// How far client connections are closed; each step goes further than the one before.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ClientConnections {
    /// They are accepted, and stay open for the next request.
    Open,
    /// They are accepted, and closed between two requests.
    Draining,
    /// The same, but no new one is accepted.
    NotAccepted,
    /// The same, and a request that is still arriving is soon given up. This is final.
    Closing,
}

/// One attempt of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptId {
    /// The message.
    pub message: MessageId,
    /// The number of the attempt, from 0.
    pub attempt: u32,
}

impl From<&Attempt> for AttemptId {
    fn from(attempt: &Attempt) -> AttemptId {
        AttemptId { message: attempt.id, attempt: attempt.attempt }
    }
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug)]
pub struct AttemptResult {
    /// Its outcome.
    pub outcome: Outcome,
    /// Whether the endpoint says that the message needs no further attempt.
    pub is_message_over: bool,
    /// The load report that came with the answer.
    pub report: Option<LoadReport>,
}

impl From<Outcome> for AttemptResult {
    fn from(outcome: Outcome) -> AttemptResult {
        AttemptResult { outcome, is_message_over: false, report: None }
    }
}

/// What the server side does for the exchange.
pub enum UpstreamCommand {
    /// Makes one call that carries these attempts, all to the same endpoint.
    Call(Vec<Attempt>),
    /// Cancels this attempt.
    CancelAttempt(AttemptId),
    /// Closes the idle connections to this endpoint.
    CloseIdle(EndpointId),
}
