//! Selects the peers from which this forwarder receives observations.
use super::rotation::Rotation;
use crate::fleet::member::Member;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Sources at a time: three independent views are enough to start from, and each costs its publisher little.
pub const MAX_SOURCES: usize = 3;

/// The current sources and the candidates for the next ones. Times are in seconds of any monotonic clock.
pub struct Sources {
    seeds: Vec<SocketAddr>,
    local_address: SocketAddr,
    rotation: Rotation,
}

impl Sources {
    /// Seeds are candidates from the start: a forwarder that waited for membership to settle would by then have met
    /// every outage with calls of its own.
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

    /// The session with `peer` has ended; the next one begins `backoff` seconds later at the earliest.
    pub fn release(&mut self, now: f64, peer: SocketAddr, backoff: f64) {
        self.rotation.release(now, peer, backoff);
    }
}

#[cfg(test)]
mod tests;
