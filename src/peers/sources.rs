//! From whom to learn.
use super::rotation::Rotation;
use crate::fleet::member::Member;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// A forwarder learns from so many at once: three views are enough to start from, and each costs its teacher little.
pub const MAX_SOURCES: usize = 3;
/// From whom to learn: some of those that are there, chosen anew when one ends.
pub struct Sources {
    seeds: Vec<SocketAddr>,
    me: SocketAddr,
    turns: Rotation,
}

impl Sources {
    /// `seeds` are tried from the start: who waits for membership to settle has learned everything the hard way.
    pub fn new(me: SocketAddr, seeds: Vec<SocketAddr>, seed: u64) -> Sources {
        Sources { seeds, me, turns: Rotation::new(MAX_SOURCES, seed) }
    }

    /// To whom to connect now; `now` in seconds of any clock that only moves forward.
    pub fn choose(&mut self, now: f64, members: &[Member]) -> Vec<SocketAddr> {
        let known: BTreeSet<SocketAddr> =
            members.iter().map(|m| m.address).chain(self.seeds.clone()).collect();
        self.turns.choose(now, known.into_iter().filter(|a| *a != self.me))
    }

    /// The connection has ended; the next to this one is made after `pause` seconds.
    pub fn ended(&mut self, now: f64, who: SocketAddr, pause: f64) {
        self.turns.ended(now, who, pause);
    }
}

#[cfg(test)]
mod tests;
