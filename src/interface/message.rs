//! Messages, and the ids of what the module decides on.
use super::Nanos;

/// A message, as the caller names it. Never used twice.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MessageId(pub u64);

/// One endpoint address, as the caller numbers it. Carries no meaning.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct EndpointId(pub u32);

/// A destination: the set of endpoints that a message may go to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct DestinationId(pub u64);

/// A message that was submitted.
#[derive(Clone, Copy, Debug)]
pub struct Message {
    /// Its id.
    pub id: MessageId,
    /// Its class, an index into the settings' list.
    pub class: usize,
    /// Its tenant, an index into the settings' list.
    pub tenant: usize,
    /// Its ordering key, where the class has one.
    pub key: Option<u64>,
    /// Its destination.
    pub dest: DestinationId,
    /// It is given up at this time.
    pub deadline: Nanos,
}

/// The attempts of a message that an earlier process of this forwarder had accepted.
#[derive(Clone, Copy, Debug, Default)]
pub struct PriorAttempts {
    /// Attempts made.
    pub attempts: u32,
    /// When, and to an endpoint of which zone, the first attempt that may have run was sent.
    pub first_possible_run: Option<(Nanos, usize)>,
}
