//! The links between members: loss, duplication, delay and partitions.
use super::{member_at, Event, Network};
use rand::Rng;
use std::net::SocketAddr;
use std::time::Duration;

/// Minimum delay of a datagram, as is typical between two machines at one site.
const BASE_DELAY: Duration = Duration::from_micros(300);

/// Conditions that apply to all links that are not blocked.
#[derive(Clone, Copy, Debug, Default)]
pub struct LinkConditions {
    /// Fraction of the datagrams that are lost, 0 to 1.
    pub loss: f64,
    /// Fraction of the datagrams that arrive twice, 0 to 1.
    pub duplication: f64,
    /// Maximum random delay that is added to each datagram.
    pub jitter: Duration,
}

/// Extra delay of all datagrams to and from a member.
#[derive(Clone, Copy, Debug)]
pub struct Delay {
    /// Delay that is added to each datagram.
    pub base: Duration,
    /// Maximum random delay that is added on top.
    pub jitter: Duration,
}

impl Network {
    /// Blocks all links between two groups of members, in both directions.
    pub fn partition(&mut self, first: &[usize], second: &[usize]) {
        self.block(first, second);
        self.block(second, first);
    }

    /// Blocks the links from the members `from` to the members `to`, in this direction only.
    pub fn block(&mut self, from: &[usize], to: &[usize]) {
        self.record(format!("links from {} members to {} members are blocked", from.len(), to.len()));
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

    /// Sends a datagram after a delay, subject to the conditions of the link.
    pub(super) fn send(&mut self, sender: usize, to: SocketAddr, bytes: Vec<u8>, send_delay: Duration) {
        self.sent_bytes[sender] += bytes.len() as u64;
        let Some(receiver) = member_at(to) else { return };
        if receiver >= self.processes.len() || self.blocked.contains(&(sender, receiver)) {
            return;
        }
        let is_duplicated = self.occurs(self.links.duplication);
        let copies = if is_duplicated { 2 } else { 1 };
        for _ in 0..copies {
            if self.occurs(self.links.loss) {
                continue;
            }
            let delay = send_delay + self.random_delay(sender, receiver);
            let generation = self.generation(receiver);
            self.schedule(delay, receiver, generation, Event::Datagram(bytes.clone()));
        }
    }

    /// Returns `true` with the given probability. Draws no random number at probability 0, so that runs of one seed differ
    /// only by their conditions.
    fn occurs(&mut self, probability: f64) -> bool {
        probability > 0.0 && self.random.random_bool(probability)
    }

    /// Returns the delay of a datagram, with the extra delays of its sender and receiver.
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
