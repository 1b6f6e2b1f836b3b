//! Selects the peers from which this forwarder receives observations.
use super::rotation::Rotation;
use crate::fleet::member::Member;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Number of concurrent sources. Three independent sources are enough after a start, and each costs its publisher little.
pub const MAX_SOURCES: usize = 3;

/// Selects sources among the seeds and the members. Times are in seconds of any monotonic clock.
pub struct Sources {
    seeds: Vec<SocketAddr>,
    local_address: SocketAddr,
    rotation: Rotation,
}

impl Sources {
    /// Creates a selection without sources. Seeds are candidates from the start: until membership is established, a
    /// forwarder without sources would find every outage with its own calls.
    pub fn new(local_address: SocketAddr, seeds: Vec<SocketAddr>, random_seed: u64) -> Sources {
        Sources { seeds, local_address, rotation: Rotation::new(MAX_SOURCES, random_seed) }
    }

    /// Selects the peers to connect to now.
    pub fn select(&mut self, now: f64, members: &[Member]) -> Vec<SocketAddr> {
        let mut candidates: BTreeSet<SocketAddr> = members.iter().map(|member| member.address).collect();
        candidates.extend(&self.seeds);
        candidates.remove(&self.local_address);
        self.rotation.select(now, candidates.into_iter())
    }

    /// Records that the session with `peer` ended. The peer can be selected again `backoff` seconds later.
    pub fn release(&mut self, now: f64, peer: SocketAddr, backoff: f64) {
        self.rotation.release(now, peer, backoff);
    }
}

#[cfg(test)]
mod tests;
