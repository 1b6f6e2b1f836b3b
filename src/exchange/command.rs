//! The commands to the exchange task, and the commands from it to the upstream side.
use crate::core::{Answer, Attempt, Endpoint, EndpointObservation, Input, SuspensionResult};
use crate::request::RequestContext;
use crate::takeover::{FolderLock, LateOutcomeWriter};
use crate::{EndpointId, LoadReport, MessageId, Outcome};
use bytes::Bytes;
use tokio::sync::oneshot;

/// A command to the exchange task. `reply` is completed once the command has been executed.
pub(super) enum Command {
    /// Submits a client's request.
    Submit { context: RequestContext, reply: oneshot::Sender<Answer> },
    /// Passes an input to the core.
    Input(Input),
    /// Registers an attempt that waits for the asynchronous MDN (AS2 receipt) of this message.
    AwaitMdn { message_id: String, reply: oneshot::Sender<Bytes> },
    /// Delivers an asynchronous MDN that has arrived on a client connection.
    MdnReceived { message_id: String, mdn: Bytes },
    /// Shuts down gracefully. The reply is sent when the process may exit.
    ShutDown { reply: oneshot::Sender<()> },
    /// Returns this forwarder's local endpoint observations.
    Observations { reply: oneshot::Sender<Vec<EndpointObservation>> },
    /// Suspends or resumes an endpoint on behalf of an operator.
    SetSuspension { uid: String, suspension: Suspension, reply: oneshot::Sender<SuspensionResult> },
    /// Sets the state of client connections.
    SetClientConnections(ClientConnections),
    /// Executes the withheld outputs of the last step before the release of the journal.
    SendLastAnswers,
    /// Releases the journal to another process. Outcomes of calls in flight are written to `late` afterwards. The owner lock is
    /// dropped on release.
    ReleaseJournal { late: LateOutcomeWriter, owner_lock: FolderLock, reply: oneshot::Sender<()> },
}

/// An update of the endpoint list.
pub enum EndpointUpdate {
    /// The complete list. Endpoints that it does not contain are removed.
    Complete(Vec<Endpoint>),
    /// Only new or changed endpoints. All others stay as they are.
    Changes(Vec<Endpoint>),
}

/// An operator's change of an endpoint's suspension.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Suspension {
    /// Takes the endpoint out of rotation until it is resumed. Persists across restarts.
    Suspend,
    /// Returns the endpoint to rotation.
    Resume,
}

/// The state of client connections, ordered from open to closing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ClientConnections {
    /// New connections are accepted, and connections stay open for the next request.
    Open,
    /// New connections are accepted, and connections are closed between two requests.
    Draining,
    /// No new connections are accepted, and connections are closed between two requests.
    NotAccepted,
    /// As `NotAccepted`, and a request that is still being received is aborted soon. This state is final.
    Closing,
}

/// The id of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptId {
    /// The id of the message.
    pub message: MessageId,
    /// The number of the attempt, from 0.
    pub attempt: u32,
}

impl From<&Attempt> for AttemptId {
    fn from(attempt: &Attempt) -> AttemptId {
        AttemptId { message: attempt.id, attempt: attempt.attempt }
    }
}

/// The result of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptResult {
    /// The outcome.
    pub outcome: Outcome,
    /// Whether the endpoint reported that the message needs no further attempt.
    pub is_message_over: bool,
    /// The load report in the endpoint's response.
    pub report: Option<LoadReport>,
}

impl From<Outcome> for AttemptResult {
    fn from(outcome: Outcome) -> AttemptResult {
        AttemptResult { outcome, is_message_over: false, report: None }
    }
}

/// A command of the exchange to the upstream side.
pub enum UpstreamCommand {
    /// Makes one call that carries these attempts, which all go to the same endpoint.
    Call(Vec<Attempt>),
    /// Cancels this attempt.
    CancelAttempt(AttemptId),
    /// Closes the idle connections to this endpoint.
    CloseIdle(EndpointId),
}
