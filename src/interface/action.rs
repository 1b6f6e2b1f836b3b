//! Actions that the decision module returns and the forwarder carries out.
use super::{EndpointId, HealthChange, MessageId, Nanos, PaceReduction, RestrictedCall};

/// An action for the forwarder. Actions are carried out in the order in which they are emitted.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a message to an endpoint. Sends of one round to the same endpoint are combined into one call, up
    /// to the batch size of the endpoint's kind.
    Send {
        /// The message.
        id: MessageId,
        /// The endpoint.
        host: EndpointId,
        /// Timeout of this attempt.
        timeout: Nanos,
    },
    /// Cancel an attempt in flight. Its outcome is still reported by an event.
    Cancel {
        /// The message.
        id: MessageId,
        /// Number of the attempt, from 0.
        attempt: u32,
    },
    /// Final answer: the message was not delivered, and the client may safely submit it again.
    Reject {
        /// The message.
        id: MessageId,
        /// Retry-After for the client; `None` if the deployment sends none.
        after: Option<Nanos>,
    },
    /// Final answer: delivery is given up, and the message may or may not have taken effect.
    Fail(MessageId),
    /// Call `handle` with [`Event::Due`](super::Event::Due) at this time.
    WakeAt(Nanos),
    /// Close this forwarder's idle connections to an endpoint.
    CloseIdle(EndpointId),
    /// Start to watch, or request, the endpoint list.
    WatchEndpointList,
    /// The health of an endpoint has changed. For the log only.
    HealthChanged(HealthChange),
    /// A call to an endpoint that is not healthy starts. For the log only.
    RestrictedCall(RestrictedCall),
    /// A rejection has reduced a pace. For the log only.
    PaceReduced(PaceReduction),
    /// Write a log line for the operator.
    Log {
        /// The text of the log line.
        text: &'static str,
        /// The endpoint that the line is about, if any.
        host: Option<EndpointId>,
    },
}
