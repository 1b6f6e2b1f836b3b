//! Selects the peers to connect to, without I/O: a random choice, a bounded number at a time, and no peer again before
//! its backoff has passed.
use crate::fleet::member::MAX_MEMBERS;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::SeedableRng;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Backoff for a peer that violates the protocol or is not trusted, in seconds. It is long because an operator has to act
/// first and each connection costs both sides a handshake.
pub const REJECTED_BACKOFF_SECS: f64 = 60.0;
/// Backoff for a peer that was unreachable or whose connection was closed, in seconds.
pub const RECONNECT_BACKOFF_SECS: f64 = 1.0;

/// Tracks connected peers and peers in backoff. Times are in seconds of any monotonic clock.
pub struct Rotation {
    max_connections: usize,
    connected: BTreeSet<SocketAddr>,
    backoff_until: BTreeMap<SocketAddr, f64>,
    random: StdRng,
}

impl Rotation {
    /// Creates a rotation without connections that allows `max_connections` at a time.
    pub fn new(max_connections: usize, random_seed: u64) -> Rotation {
        Rotation {
            max_connections,
            connected: BTreeSet::new(),
            backoff_until: BTreeMap::new(),
            random: StdRng::seed_from_u64(random_seed),
        }
    }

    /// Selects the peers to connect to now and records them as connected.
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

    /// Records that the connection to `peer` ended. The peer can be selected again `backoff` seconds later.
    pub fn release(&mut self, now: f64, peer: SocketAddr, backoff: f64) {
        self.connected.remove(&peer);
        // Bounds the table. A peer without an entry is only contacted again sooner.
        if self.backoff_until.len() < MAX_MEMBERS {
            self.backoff_until.insert(peer, now + backoff);
        }
    }
}
