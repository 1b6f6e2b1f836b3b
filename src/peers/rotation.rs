//! With whom to connect: some at a time, by luck, and one that has just ended not again at once. Without I/O.
use crate::fleet::member::MAX_MEMBERS;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::SeedableRng;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// A neighbour that garbles, floods or is not trusted is left alone for so long, in seconds.
pub const SHUNNED: f64 = 60.0;
/// One that could not be reached, or that broke off, in seconds.
pub const AGAIN: f64 = 1.0;

/// Those connected with, and those to leave alone. Times in seconds of any clock that only moves forward.
pub struct Rotation {
    most: usize,
    with: BTreeSet<SocketAddr>,
    not_before: BTreeMap<SocketAddr, f64>,
    random: StdRng,
}

impl Rotation {
    /// With nobody yet, and with `most` at a time.
    pub fn new(most: usize, seed: u64) -> Rotation {
        let random = StdRng::seed_from_u64(seed);
        Rotation { most, with: BTreeSet::new(), not_before: BTreeMap::new(), random }
    }

    /// With whom of these to connect now.
    pub fn choose(&mut self, now: f64, of: impl Iterator<Item = SocketAddr>) -> Vec<SocketAddr> {
        self.not_before.retain(|_, at| *at > now);
        let may = |a: &SocketAddr| !self.with.contains(a) && !self.not_before.contains_key(a);
        let free: Vec<SocketAddr> = of.filter(may).collect();
        let room = self.most.saturating_sub(self.with.len());
        let chosen: Vec<SocketAddr> = free.choose_multiple(&mut self.random, room).copied().collect();
        self.with.extend(&chosen);
        chosen
    }

    /// A connection has ended; the next to the same one is made after `pause` seconds.
    pub fn ended(&mut self, now: f64, who: SocketAddr, pause: f64) {
        self.with.remove(&who);
        if self.not_before.len() < MAX_MEMBERS {
            self.not_before.insert(who, now + pause);
        }
    }
}
