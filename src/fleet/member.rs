//! A member's identity, and the bounds that the package puts on identities. A leaf: it imports nothing of the package.
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Members kept in the tables. Once they are full, a member known from gossip only is ignored, and one that sends
/// datagrams itself replaces one that never did.
pub const MAX_MEMBERS: usize = 1000;
/// Longest accepted member name, in bytes.
pub const MAX_NAME_BYTES: usize = 128;

/// One run of a forwarder, as its peers identify it. A restart under the same name is a later incarnation at the same
/// address.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Member {
    /// Where it receives datagrams and accepts connections.
    pub address: SocketAddr,
    /// The forwarder's name.
    pub name: String,
    /// Rises with each start, and each time that the member was wrongly declared dead.
    pub incarnation: u64,
}

impl Member {
    /// Whether this one keeps an address or a name that both claim: the later incarnation does. Ties are broken by name
    /// and address, so that all members decide alike.
    pub fn supersedes(&self, other: &Member) -> bool {
        (self.incarnation, &self.name, self.address) > (other.incarnation, &other.name, other.address)
    }
}

#[cfg(test)]
pub(crate) mod tests;
