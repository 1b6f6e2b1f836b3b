//! Actions: what the forwarder is to carry out.
use super::{EndpointId, MessageId, Nanos};

/// What the forwarder is to do, in this order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a message to an endpoint. Sends of one round to one endpoint travel as one call, as far as its
    /// kind allows.
    Send {
        /// The message.
        id: MessageId,
        /// The endpoint.
        host: EndpointId,
        /// Time-out of this attempt.
        timeout: Nanos,
    },
    /// Cancel an attempt in flight; its outcome still comes.
    Cancel {
        /// The message.
        id: MessageId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Final answer: not delivered; the client may safely submit it again.
    Reject {
        /// The message.
        id: MessageId,
        /// Retry-After, if clients are given one.
        after: Option<Nanos>,
    },
    /// Final answer: given up, with no promise about its effect.
    Fail(MessageId),
    /// Call `handle` with [`Event::Due`](super::Event::Due) at this time.
    WakeAt(Nanos),
    /// Close this forwarder's idle connections to an endpoint.
    CloseIdle(EndpointId),
    /// Watch the endpoint list.
    WatchEndpointList,
    /// A line for the operator.
    Log {
        /// What happened.
        text: &'static str,
        /// The endpoint concerned, if one is.
        host: Option<EndpointId>,
    },
}
