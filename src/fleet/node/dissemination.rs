//! Dissemination: gossips recent changes to a few random members, faster than SWIM's own messages would.
use super::Node;
use crate::fleet::member::Member;
use crate::fleet::wire::{Message, Record};
use rand::seq::IndexedRandom;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Minimum time between two gossip rounds. If the last round was longer ago, a change is gossiped at once.
pub(super) const GOSSIP_INTERVAL: Duration = Duration::from_millis(100);
/// Number of rounds that gossip foca's updates after a member became present or departed.
const MEMBERSHIP_ROUNDS: u32 = 3;
/// If foca has more pending updates than this, a round follows in every interval. After a partition has healed, there is an
/// update for each member.
const MAX_IDLE_BACKLOG: usize = 32;
/// Number of rounds that send a record, each to `GOSSIP_FANOUT` members. The 27 transmissions in total follow from the same
/// calculation as `membership::MAX_TRANSMISSIONS`.
const RECORD_ROUNDS: u32 = 9;
/// Number of random members that receive the records of one round.
const GOSSIP_FANOUT: usize = 3;
/// Maximum number of records that wait for dissemination. Anti-entropy delivers further ones.
const MAX_PENDING_RECORDS: usize = 64;
/// Number of members that are notified of a failed probe.
const SUSPICION_FANOUT: usize = 8;

/// The changes that are pending for dissemination.
pub(super) struct Dissemination {
    next_at: Option<Duration>,
    last_at: Duration,
    /// Number of remaining rounds that gossip foca's updates.
    membership_rounds: u32,
    /// Number of remaining rounds of each record, by the address of the member that the record is about.
    pending_records: BTreeMap<SocketAddr, u32>,
}

impl Dissemination {
    pub(super) fn new(now: Duration) -> Dissemination {
        Dissemination { next_at: None, last_at: now, membership_rounds: 0, pending_records: BTreeMap::new() }
    }

    pub(super) fn next_at(&self) -> Option<Duration> {
        self.next_at
    }

    pub(super) fn is_due(&self, now: Duration) -> bool {
        self.next_at.is_some_and(|at| at <= now)
    }

    /// Schedules a round as soon as the interval allows, unless one is already scheduled. At least the next
    /// `membership_rounds` rounds gossip foca's updates.
    fn schedule(&mut self, now: Duration, membership_rounds: u32) {
        self.membership_rounds = self.membership_rounds.max(membership_rounds);
        if self.next_at.is_none() {
            self.next_at = Some((self.last_at + GOSSIP_INTERVAL).max(now));
        }
    }

    /// Notes that a record was sent in one round, and removes it after its last round.
    fn mark_record_sent(&mut self, address: SocketAddr) {
        let rounds_left = self.pending_records.get(&address).copied().unwrap_or(0);
        if rounds_left > 1 {
            self.pending_records.insert(address, rounds_left - 1);
        } else {
            self.pending_records.remove(&address);
        }
    }
}

impl Node {
    /// Schedules the gossip of foca's updates after a member became present or departed.
    pub(super) fn queue_membership_updates(&mut self) {
        self.dissemination.schedule(self.clock.active(), MEMBERSHIP_ROUNDS);
    }

    /// Queues the record of a member for dissemination. If the queue is full, only the record of this member is added.
    pub(super) fn queue_record(&mut self, address: SocketAddr) {
        let is_local = address == self.local_member().address;
        if self.dissemination.pending_records.len() >= MAX_PENDING_RECORDS && !is_local {
            return;
        }
        self.dissemination.pending_records.insert(address, RECORD_ROUNDS);
        self.dissemination.schedule(self.clock.active(), 1);
    }

    /// Executes one gossip round.
    pub(super) fn disseminate(&mut self) {
        self.dissemination.last_at = self.clock.active();
        if self.dissemination.membership_rounds > 0 {
            self.dissemination.membership_rounds -= 1;
            let effects = self.membership.gossip();
            self.apply_effects(effects);
        }
        self.send_pending_records();
        let has_more = self.dissemination.membership_rounds > 0
            || !self.dissemination.pending_records.is_empty()
            || self.membership.backlog() > MAX_IDLE_BACKLOG;
        self.dissemination.next_at = has_more.then_some(self.clock.active() + GOSSIP_INTERVAL);
    }

    /// Sends one datagram of pending records to random members. Records that do not fit wait for a later round.
    fn send_pending_records(&mut self) {
        let now = self.clock.now();
        let pending = self.dissemination.pending_records.keys();
        let entries = pending.filter_map(|address| self.table.get(*address));
        let records: Vec<Record> = entries.map(|entry| entry.to_record(now)).collect();
        let Some(records) = self.pack_records(records).into_iter().next() else { return };
        for record in &records {
            self.dissemination.mark_record_sent(record.member.address);
        }
        let message = Message::Records { from: self.local_member().clone(), records };
        for to in self.random_members(GOSSIP_FANOUT) {
            self.send(to, &message);
        }
    }

    /// Returns the addresses of the present members, without this one.
    fn other_addresses(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        let local = self.local_member().address;
        let present = self.table.present().map(|entry| entry.member.address);
        present.filter(move |address| *address != local)
    }

    fn random_members(&mut self, count: usize) -> Vec<SocketAddr> {
        let others: Vec<SocketAddr> = self.other_addresses().collect();
        others.choose_multiple(&mut self.random, count).copied().collect()
    }

    /// Returns the members that are notified of failed probes of a suspect. All probers with equal views choose the same
    /// members, so that each recipient is notified of all failures. With random recipients, none of 300 members was notified
    /// by two others in time, and a crash was detected only after 7 s.
    pub(super) fn suspicion_recipients(&self, suspect: &Member) -> Vec<SocketAddr> {
        let rank =
            |address: &SocketAddr| crc32fast::hash(format!("{address} {}", suspect.address).as_bytes());
        let others = self.other_addresses().filter(|address| *address != suspect.address);
        let mut ranked: Vec<(u32, SocketAddr)> = others.map(|address| (rank(&address), address)).collect();
        ranked.sort_unstable();
        ranked.into_iter().take(SUSPICION_FANOUT).map(|(_, address)| address).collect()
    }
}
