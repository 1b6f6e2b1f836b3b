//! The identity of a member, and the limits on member names and on the number of members.
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Maximum number of members in the tables. When a table is full, members known only from gossip are ignored, and a member
/// that sends datagrams itself replaces one that never sent any.
pub const MAX_MEMBERS: usize = 1000;
/// Longest accepted member name, in bytes.
pub const MAX_NAME_BYTES: usize = 128;

/// The identity of one incarnation of a forwarder. A forwarder that restarts under the same name and address has a higher
/// incarnation.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Member {
    /// The address where the member receives datagrams and accepts connections.
    pub address: SocketAddr,
    /// The name of the forwarder.
    pub name: String,
    /// The incarnation number. It increases with each start, and whenever the member was wrongly declared dead.
    pub incarnation: u64,
}

impl Member {
    /// Returns whether this member keeps an address or a name that both members claim. The higher incarnation wins. Ties
    /// are broken by name and address, so that all members decide the same way.
    pub fn supersedes(&self, other: &Member) -> bool {
        (self.incarnation, &self.name, self.address) > (other.incarnation, &other.name, other.address)
    }
}

#[cfg(test)]
pub(crate) mod tests;
