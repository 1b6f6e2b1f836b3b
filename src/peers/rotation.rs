//! Selects which peers to connect to: a bounded number at a time, at random, and none again before its backoff has
//! passed. Without I/O.
use crate::fleet::member::MAX_MEMBERS;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::SeedableRng;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Backoff for a peer that violates the protocol or is not trusted, in seconds: an operator has to act first, and each
/// attempt costs both sides a handshake.
pub const REJECTED_BACKOFF_SECS: f64 = 60.0;
/// Backoff for a peer that could not be reached or whose connection closed, in seconds.
pub const RECONNECT_BACKOFF_SECS: f64 = 1.0;

/// Peers with a connection, and peers in backoff. Times are in seconds of any monotonic clock.
pub struct Rotation {
    max_connections: usize,
    connected: BTreeSet<SocketAddr>,
    backoff_until: BTreeMap<SocketAddr, f64>,
    random: StdRng,
}

impl Rotation {
    /// No connections yet, and room for `max_connections`.
    pub fn new(max_connections: usize, random_seed: u64) -> Rotation {
        Rotation {
            max_connections,
            connected: BTreeSet::new(),
            backoff_until: BTreeMap::new(),
            random: StdRng::seed_from_u64(random_seed),
        }
    }

    /// Selects the peers to connect to now, and counts them as connected.
    pub fn select(&mut self, now: f64, candidates: impl Iterator<Item = SocketAddr>) -> Vec<SocketAddr> {
        self.backoff_until.retain(|_, until| *until > now);
        let is_eligible =
            |peer: &SocketAddr| !self.connected.contains(peer) && !self.backoff_until.contains_key(peer);
        let eligible: Vec<SocketAddr> = candidates.filter(is_eligible).collect();
        let capacity = self.max_connections.saturating_sub(self.connected.len());
        let selected: Vec<SocketAddr> =
            eligible.choose_multiple(&mut self.random, capacity).copied().collect();
        self.connected.extend(&selected);
        selected
    }

    /// The connection to `peer` has ended; the next one is made `backoff` seconds later at the earliest.
    pub fn release(&mut self, now: f64, peer: SocketAddr, backoff: f64) {
        self.connected.remove(&peer);
        // Bounded: beyond that a peer is merely contacted again sooner.
        if self.backoff_until.len() < MAX_MEMBERS {
            self.backoff_until.insert(peer, now + backoff);
        }
    }
}
