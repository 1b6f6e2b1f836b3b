//! Announces this member to addresses where no present member is known: by that groups which a network partition has
//! separated meet again.
use super::Node;
use crate::fleet::fault_injection::{is_injected, Defect};
use crate::fleet::member::MAX_MEMBERS;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

/// How often absent members are greeted.
pub const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(2);
/// Most remembered members that are greeted at a time, in rotation, so that not all members greet all of a large fleet.
const MAX_ANNOUNCED_PER_ROUND: usize = 4;
/// Most addresses that are remembered while the process runs.
const MAX_REMEMBERED: usize = MAX_MEMBERS;

/// Whom to greet, and when.
pub(super) struct Announcer {
    seed_addresses: Vec<SocketAddr>,
    /// Absent members, the one that departed first in front.
    remembered_addresses: Vec<SocketAddr>,
    /// Where the rotation over the remembered addresses goes on.
    rotation: usize,
    next_at: Duration,
}

impl Announcer {
    pub(super) fn new(
        seed_addresses: Vec<SocketAddr>, remembered_addresses: Vec<SocketAddr>, next_at: Duration,
    ) -> Announcer {
        Announcer { seed_addresses, remembered_addresses, rotation: 0, next_at }
    }

    pub(super) fn next_at(&self) -> Duration {
        self.next_at
    }

    pub(super) fn is_due(&self, now: Duration) -> bool {
        self.next_at <= now
    }

    pub(super) fn schedule_next(&mut self, now: Duration) {
        self.next_at = now + ANNOUNCE_INTERVAL;
    }

    /// A member departed: it may come back. The one remembered for the longest makes room.
    pub(super) fn remember(&mut self, address: SocketAddr) {
        if self.remembered_addresses.len() >= MAX_REMEMBERED {
            self.remembered_addresses.remove(0);
        }
        self.remembered_addresses.push(address);
    }

    /// A member is present and need not be greeted.
    pub(super) fn forget(&mut self, address: SocketAddr) {
        self.remembered_addresses.retain(|remembered| *remembered != address);
    }

    /// All absent seeds, and the next ones in the rotation over absent remembered members.
    fn next_addresses(&mut self, present: &BTreeSet<SocketAddr>) -> Vec<SocketAddr> {
        let is_absent = |address: &&SocketAddr| !present.contains(address);
        let mut addresses: Vec<SocketAddr> = self.seed_addresses.iter().filter(is_absent).copied().collect();
        let remembered: Vec<SocketAddr> = self
            .remembered_addresses
            .iter()
            .filter(is_absent)
            .filter(|address| !self.seed_addresses.contains(address))
            .filter(|_| !is_injected(Defect::RememberedNotAnnounced))
            .copied()
            .collect();
        if !remembered.is_empty() {
            let first = self.rotation % remembered.len();
            let count = MAX_ANNOUNCED_PER_ROUND.min(remembered.len());
            addresses.extend(remembered.iter().cycle().skip(first).take(count));
        }
        self.rotation = self.rotation.wrapping_add(MAX_ANNOUNCED_PER_ROUND);
        addresses
    }
}

impl Node {
    pub(super) fn announce_to_absent_members(&mut self) {
        let present = self.table.present().map(|entry| entry.member.address).collect();
        for address in self.announcer.next_addresses(&present) {
            let effects = self.membership.announce(address);
            self.apply_effects(effects);
        }
    }
}
