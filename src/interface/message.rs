//! Messages and the identifiers of messages, endpoints and destinations.
use super::Nanos;

/// Identifier of a message, assigned by the caller and never reused.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MessageId(pub u64);

/// Identifier of an endpoint address, assigned by the caller. The number has no meaning beyond identity.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct EndpointId(pub u32);

/// Identifier of a destination: a set of endpoints, each of which can receive the destination's messages.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct DestinationId(pub u64);

/// A submitted message.
#[derive(Clone, Copy, Debug)]
pub struct Message {
    /// Identifier of the message.
    pub id: MessageId,
    /// Class of the message, an index into the settings' list.
    pub class: usize,
    /// Tenant of the message, an index into the settings' list.
    pub tenant: usize,
    /// Ordering key, for classes that have one.
    pub key: Option<u64>,
    /// Destination of the message.
    pub dest: DestinationId,
    /// Time at which delivery is given up.
    pub deadline: Nanos,
}

/// The attempts that an earlier process of this forwarder made for a message that it had accepted.
#[derive(Clone, Copy, Debug, Default)]
pub struct PriorAttempts {
    /// Number of attempts made.
    pub attempts: u32,
    /// Send time of the first attempt that may have run, and the zone of its endpoint.
    pub first_possible_run: Option<(Nanos, usize)>,
}
