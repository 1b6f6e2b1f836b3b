//! Events that the forwarder reports to the decision module.
use super::{
    DestinationId, EndpointId, LoadReport, Message, MessageId, Nanos, Observation, Outcome, PriorAttempts,
};

/// State of a listed endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// Accepts messages. This state says nothing about the endpoint's health.
    Running,
    /// Accepts no new messages.
    Draining,
    /// Removed from the list.
    Removed,
}

/// One entry of the endpoint list.
#[derive(Clone, Debug)]
pub struct EndpointEntry {
    /// The endpoint.
    pub host: EndpointId,
    /// Zone of the endpoint.
    pub zone: usize,
    /// Kind of the endpoint, an index into [`Settings::kinds`](super::Settings::kinds).
    pub kind: usize,
    /// Destination that the endpoint belongs to.
    pub dest: DestinationId,
    /// State of the endpoint.
    pub state: EndpointState,
    /// Listed rate in calls per second; [`ListedRates`](super::ListedRates) defines its meaning.
    pub rate: f64,
}

/// The end of an attempt. Each [`Action::Send`](super::Action::Send) is followed by exactly one.
#[derive(Clone, Copy, Debug)]
pub struct AttemptEnded {
    /// The message.
    pub id: MessageId,
    /// Number of the attempt, from 0.
    pub attempt: u32,
    /// Outcome of the attempt.
    pub outcome: Outcome,
    /// The message is finished: it needs no final answer from the module.
    pub over: bool,
    /// Time from the send to the end of the attempt.
    pub took: Nanos,
    /// Report on the destination's limit in the response, if it carried one.
    pub report: Option<LoadReport>,
}

/// An input of the decision module. All events of one `handle` call share the same time.
#[derive(Clone, Debug)]
pub enum Event {
    /// The endpoint list, in full or only its changes.
    EndpointList {
        /// The list is complete: endpoints that are missing from it are removed.
        complete: bool,
        /// Entries of the list.
        entries: Vec<EndpointEntry>,
    },
    /// The request for the endpoint list failed, or the watch on the list broke.
    EndpointListFailed,
    /// A client submitted a message.
    Message(Message),
    /// A message that has no final answer yet after a restart. Such messages are reported in the order in
    /// which they were accepted.
    Resumed(Message, PriorAttempts),
    /// An attempt ended.
    AttemptEnded(AttemptEnded),
    /// An endpoint sent a Retry-After in its response to a call. The event is reported regardless of the
    /// outcome of the call. If the outcome is `Rejected`, it contains the Retry-After too.
    RetryAfter {
        /// The endpoint.
        host: EndpointId,
        /// Destination of the endpoint; it selects the route if the endpoint is no longer known.
        dest: DestinationId,
        /// Time during which no call may start.
        wait: Nanos,
    },
    /// The client has withdrawn the message.
    Withdrawn(MessageId),
    /// From now on no send may start (true), or sends may start again (false). Attempts in flight are not
    /// affected.
    Paused(bool),
    /// The last process of this forwarder knew that the endpoint was not healthy. Reported after the endpoint
    /// list, before any message is sent.
    HealthRestored {
        /// The endpoint.
        host: EndpointId,
        /// [`HealthChange::served_rate`](super::HealthChange::served_rate) of the last change.
        served_rate: f64,
    },
    /// A peer's observation of an endpoint. Local observations take precedence unless they are older.
    PeerObservation(Observation),
    /// The time of the requested wake-up has come.
    Due,
}
