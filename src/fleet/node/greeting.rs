//! Announces this member to addresses where no member is known to be present, so that the sides of a network partition merge
//! after it has healed.
use super::Node;
use crate::fleet::fault_injection::{is_injected, Defect};
use crate::fleet::member::MAX_MEMBERS;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

/// Interval between announcements to absent members.
pub const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(2);
/// Maximum number of remembered members that receive an announcement in each interval, in rotation. Limits the traffic in a
/// large fleet.
const MAX_ANNOUNCED_PER_ROUND: usize = 4;
/// Maximum number of remembered addresses while the process runs.
const MAX_REMEMBERED: usize = MAX_MEMBERS;

/// Schedules announcements and selects the addresses that receive them.
pub(super) struct Announcer {
    seed_addresses: Vec<SocketAddr>,
    /// Addresses of absent members, in the order in which they departed.
    remembered_addresses: Vec<SocketAddr>,
    /// Position in the rotation over the remembered addresses.
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

    /// Remembers the address of a departed member, which may return. If there are too many, the oldest address is removed.
    pub(super) fn remember(&mut self, address: SocketAddr) {
        if self.remembered_addresses.len() >= MAX_REMEMBERED {
            self.remembered_addresses.remove(0);
        }
        self.remembered_addresses.push(address);
    }

    /// Forgets the address of a member that is present again.
    pub(super) fn forget(&mut self, address: SocketAddr) {
        self.remembered_addresses.retain(|remembered| *remembered != address);
    }

    /// Returns all absent seed addresses and the next absent remembered addresses in the rotation.
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
