//! The links between members: loss, duplication, delay and partitions.
use super::{member_at, Event, Network};
use rand::Rng;
use std::net::SocketAddr;
use std::time::Duration;

/// Delay of a datagram, as between two machines of one site.
const BASE_DELAY: Duration = Duration::from_micros(300);

/// Conditions of all links; blocked links come on top.
#[derive(Clone, Copy, Debug, Default)]
pub struct LinkConditions {
    /// Share of the datagrams that are lost, 0 to 1.
    pub loss: f64,
    /// Share of the datagrams that arrive twice, 0 to 1.
    pub duplication: f64,
    /// Most that is added to a datagram's delay at random.
    pub jitter: Duration,
}

/// Extra delay of a member's datagrams.
#[derive(Clone, Copy, Debug)]
pub struct Delay {
    /// Added always.
    pub base: Duration,
    /// Most that is added at random.
    pub jitter: Duration,
}

impl Network {
    /// Blocks all links between two groups of members.
    pub fn partition(&mut self, one: &[usize], other: &[usize]) {
        self.block(one, other);
        self.block(other, one);
    }

    /// Blocks the links from some members to others.
    pub fn block(&mut self, from: &[usize], to: &[usize]) {
        self.record(format!("{} members are not heard by {}", from.len(), to.len()));
        for sender in from {
            for receiver in to.iter().filter(|receiver| *receiver != sender) {
                self.blocked.insert((*sender, *receiver));
            }
        }
    }

    /// Unblocks all links.
    pub fn heal(&mut self) {
        self.record("all links are unblocked".into());
        self.blocked.clear();
    }

    /// Sends a datagram `after` a time.
    pub(super) fn send(&mut self, sender: usize, to: SocketAddr, bytes: Vec<u8>, after: Duration) {
        self.sent_bytes[sender] += bytes.len() as u64;
        let Some(receiver) = member_at(to) else { return };
        if receiver >= self.processes.len() || self.blocked.contains(&(sender, receiver)) {
            return;
        }
        let is_duplicated = self.happens(self.links.duplication);
        let copies = if is_duplicated { 2 } else { 1 };
        for _ in 0..copies {
            if self.happens(self.links.loss) {
                continue;
            }
            let delay = after + self.random_delay(sender, receiver);
            let generation = self.generation(receiver);
            self.schedule(delay, receiver, generation, Event::Datagram(bytes.clone()));
        }
    }

    /// Draws no random number for what never happens: runs of one seed then differ by their conditions alone.
    fn happens(&mut self, share: f64) -> bool {
        share > 0.0 && self.random.random_bool(share)
    }

    fn random_delay(&mut self, sender: usize, receiver: usize) -> Duration {
        let mut delay = BASE_DELAY;
        for member in [sender, receiver] {
            if let Some(extra) = self.delays.get(&member) {
                delay += extra.base + extra.jitter.mul_f64(self.random.random_range(0.0..1.0));
            }
        }
        delay + self.links.jitter.mul_f64(self.random.random_range(0.0..1.0))
    }
}
