//! Events: what the forwarder reports to the decision module.
use super::{
    DestinationId, EndpointId, LoadReport, Message, MessageId, Nanos, Observation, Outcome, PriorAttempts,
};

/// State of a listed endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// May be sent to; says nothing of health.
    Running,
    /// Nothing new may be sent there.
    Draining,
    /// Removed.
    Removed,
}

/// One entry of the endpoint list.
#[derive(Clone, Debug)]
pub struct EndpointEntry {
    /// The endpoint.
    pub host: EndpointId,
    /// Its zone.
    pub zone: usize,
    /// Its kind.
    pub kind: usize,
    /// Its destination.
    pub dest: DestinationId,
    /// Its state.
    pub state: EndpointState,
    /// Listed rate, see [`ListedRates`](super::ListedRates).
    pub rate: f64,
}

/// An attempt that ended. Each send has exactly one.
#[derive(Clone, Copy, Debug)]
pub struct AttemptEnded {
    /// The message.
    pub id: MessageId,
    /// Number of the attempt, from 0.
    pub attempt: u32,
    /// How it ended.
    pub outcome: Outcome,
    /// The message is finished; nothing more is owed.
    pub over: bool,
    /// Time since the send.
    pub took: Nanos,
    /// What the answer reported of the limit.
    pub report: Option<LoadReport>,
}

/// What happened. All events of one `handle` call share its time.
#[derive(Clone, Debug)]
pub enum Event {
    /// The endpoint list: all of it, or only what changed.
    EndpointList {
        /// Endpoints that are missing are removed.
        complete: bool,
        /// The entries.
        entries: Vec<EndpointEntry>,
    },
    /// The request for the endpoint list failed, or the watch on it broke.
    EndpointListFailed,
    /// A message was submitted.
    Message(Message),
    /// A message that is still owed its answer after a restart; in the order in which they were accepted.
    Resumed(Message, PriorAttempts),
    /// An attempt ended.
    AttemptEnded(AttemptEnded),
    /// An endpoint sent a Retry-After, whatever became of the call that it answered. The call's outcome,
    /// where it still counts, repeats it.
    RetryAfter {
        /// The endpoint.
        host: EndpointId,
        /// Its destination; the endpoint may be forgotten.
        dest: DestinationId,
        /// How long nothing may be sent there.
        wait: Nanos,
    },
    /// The client has withdrawn the message.
    Withdrawn(MessageId),
    /// From now on no send can start (true), or sends can start again (false). What is in flight goes on.
    Paused(bool),
    /// A peer's observation of an endpoint. Own experience wins over it unless that is older.
    PeerObservation(Observation),
    /// The timer that was asked for is due.
    Due,
}
