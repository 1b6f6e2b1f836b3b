//! The fleet protocol of one forwarder, without I/O: membership, suspicion, the member table and the side of a partition.
//! Time, the random seed and datagrams are arguments, so the same code runs on sockets, in virtual time and in a model.
//!
//! The driver calls [`Node::handle_datagram`] with each received datagram and [`Node::handle_wakeup`] at
//! [`Node::next_wakeup`]. After each call it sends the datagrams that [`Node::take_outgoing`] returns. A late call shows that
//! the process was suspended. The time of the suspension does not count for probes and suspicions, so that datagrams waiting
//! in the socket are processed before any member is declared dead.
//!
//! `inbound` processes received messages, `effects` executes the actions of membership, `dissemination` gossips changes,
//! `anti_entropy` repairs missed changes, `greeting` announces this member to absent ones, `departure` leaves the fleet,
//! `partition_check` determines the side of a partition, and `view` builds the view for people and programs. `clock` and
//! `timers` manage time; `bounds` states upper bounds of detection and dissemination times.
mod anti_entropy;
mod bounds;
mod clock;
mod departure;
mod dissemination;
mod effects;
mod greeting;
mod inbound;
mod partition_check;
mod timers;
mod view;

use super::member::Member;
use super::member_table::MemberTable;
use super::membership::{Membership, Presence};
use super::partition::{PartitionDetector, PartitionSide};
use super::suspicion::SuspicionTracker;
use super::wire::{self, Attributes, Header, Message};
use anti_entropy::AntiEntropy;
use clock::NodeClock;
use dissemination::Dissemination;
use greeting::Announcer;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;
use timers::TimerQueue;

pub use bounds::{crash_detection_bound, dissemination_bound};
pub use greeting::ANNOUNCE_INTERVAL;

/// How often the side of a partition, name conflicts and silent members are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Configuration of a node.
pub struct NodeConfig {
    /// Identity of this member.
    pub local: Member,
    /// Group of the fleet. Datagrams of other groups are dropped.
    pub group: String,
    /// Approximate number of members.
    pub expected_members: u32,
    /// Seed of the node's random number generator.
    pub random_seed: u64,
    /// Configured addresses of members.
    pub seed_addresses: Vec<SocketAddr>,
    /// Addresses of members that an earlier incarnation of this member knew.
    pub remembered_addresses: Vec<SocketAddr>,
    /// Names of the members of the fleet that an earlier incarnation last agreed on.
    pub agreed_fleet: BTreeSet<String>,
    /// Attributes that this member publishes.
    pub attributes: Attributes,
}

/// A datagram to send.
#[derive(Clone, Debug)]
pub struct OutgoingDatagram {
    /// Address of the receiver.
    pub to: SocketAddr,
    /// The encoded datagram, at most `wire::MAX_DATAGRAM_BYTES`.
    pub bytes: Vec<u8>,
}

/// The view that a peer reported in the header of its last datagram.
struct PeerReport {
    header: Header,
    received_at: Duration,
}

/// The fleet protocol of one forwarder. All times passed to its methods are relative to the same arbitrary origin.
pub struct Node {
    group_tag: u32,
    membership: Membership,
    table: MemberTable,
    suspicions: SuspicionTracker,
    partition: PartitionDetector,
    /// Attributes that this member publishes.
    attributes: Attributes,
    clock: NodeClock,
    random: StdRng,
    timers: TimerQueue,
    announcer: Announcer,
    dissemination: Dissemination,
    anti_entropy: AntiEntropy,
    next_check_at: Duration,
    peer_reports: BTreeMap<SocketAddr, PeerReport>,
    /// Digest of the view at the end of the last call.
    digest: u64,
    /// When the digest last changed.
    digest_since: Duration,
    /// The side of a partition that outgoing datagrams report.
    side: PartitionSide,
    /// `MemberTable::change_count` at the last check of the entries.
    checked_change_count: u64,
    has_withdrawn: bool,
    /// How many times this member suspected a member after a failed probe.
    suspicion_count: u64,
    outgoing: Vec<OutgoingDatagram>,
}

impl Node {
    /// Creates a node that knows no other members. It announces itself to the seed addresses at once.
    pub fn new(config: NodeConfig, now: Duration) -> Node {
        let local = config.local;
        let mut table = MemberTable::new(local.clone(), now);
        table.publish(now, &local, config.attributes.clone(), 0);
        table.mark_authenticated(&local);
        let mut random = StdRng::seed_from_u64(config.random_seed);
        // Random delay, so that members that start at the same time do not send announcements simultaneously.
        let first_announcement = now + ANNOUNCE_INTERVAL.mul_f64(random.random_range(0.0..1.0));
        let mut node = Node {
            group_tag: wire::group_tag(&config.group),
            membership: Membership::new(local, config.expected_members, random.random()),
            digest: table.digest(),
            table,
            suspicions: SuspicionTracker::default(),
            partition: PartitionDetector::new(config.agreed_fleet),
            attributes: config.attributes,
            clock: NodeClock::new(now),
            random,
            timers: TimerQueue::default(),
            announcer: Announcer::new(config.seed_addresses, config.remembered_addresses, first_announcement),
            dissemination: Dissemination::new(now),
            anti_entropy: AntiEntropy::new(now),
            next_check_at: now + CHECK_INTERVAL,
            peer_reports: BTreeMap::new(),
            digest_since: now,
            side: PartitionSide::Unknown,
            checked_change_count: 0,
            has_withdrawn: false,
            suspicion_count: 0,
            outgoing: Vec::new(),
        };
        node.announce_to_absent_members();
        node.end_call();
        node
    }

    /// Processes a received datagram, which may be malformed or forged.
    pub fn handle_datagram(&mut self, now: Duration, bytes: &[u8]) {
        self.begin_call(now);
        // Any host can send datagrams that cannot be decoded, so they are dropped without a log line.
        if let Ok((header, message)) = wire::decode(self.group_tag, bytes) {
            self.handle_message(header, message);
        }
        self.end_call();
    }

    /// Performs all actions that are due.
    pub fn handle_wakeup(&mut self, now: Duration) {
        self.begin_call(now);
        self.run_swim_timers();
        self.expire_suspicions();
        if self.dissemination.is_due(self.clock.active()) {
            self.disseminate();
        }
        if self.announcer.is_due(self.clock.active()) {
            self.announcer.schedule_next(self.clock.active());
            self.announce_to_absent_members();
        }
        if self.next_check_at <= self.clock.active() {
            self.next_check_at = self.clock.active() + CHECK_INTERVAL;
            self.check();
        }
        self.end_call();
    }

    fn run_swim_timers(&mut self) {
        while let Some(timer) = self.timers.pop_due(self.clock.active()) {
            let begins_probe_round = matches!(timer, foca::Timer::ProbeRandomMember(_));
            let effects = self.membership.handle_timer(timer);
            self.apply_effects(effects);
            if begins_probe_round {
                self.suspicions.begin_probe_round();
            }
        }
    }

    fn expire_suspicions(&mut self) {
        let others = self.membership.active_count();
        for expired in self.suspicions.remove_expired(self.clock.active(), others) {
            // A suspect that has refuted the suspicion is no longer suspected, or is suspected in another SWIM incarnation.
            let suspected = self.membership.suspected_incarnation(&expired.suspect);
            if suspected != Some(expired.swim_incarnation) {
                continue;
            }
            let effects = match expired.timer {
                Some(timer) => self.membership.handle_timer(timer),
                None => self.membership.apply_claim(&expired.suspect, Presence::Departed),
            };
            self.apply_effects(effects);
        }
    }

    /// Returns the latest time at which `handle_wakeup` must be called.
    pub fn next_wakeup(&self) -> Duration {
        let mut earliest = self.announcer.next_at().min(self.next_check_at);
        let optional = [
            self.timers.next_at(),
            self.suspicions.next_expiry(self.membership.active_count()),
            self.dissemination.next_at(),
        ];
        for at in optional.into_iter().flatten() {
            earliest = earliest.min(at);
        }
        self.clock.to_wall(earliest)
    }

    /// Removes and returns the datagrams to send.
    pub fn take_outgoing(&mut self) -> Vec<OutgoingDatagram> {
        std::mem::take(&mut self.outgoing)
    }

    /// Publishes new attributes of this member. Ignores their `draining` field, which only `drain` sets.
    pub fn publish_attributes(&mut self, now: Duration, attributes: Attributes) {
        self.begin_call(now);
        let draining = self.attributes.draining;
        self.set_attributes(Attributes { draining, ..attributes });
        self.end_call();
    }

    /// Marks a member as authenticated: it has presented a valid certificate on a connection in this incarnation.
    pub fn mark_authenticated(&mut self, now: Duration, member: &Member) {
        self.begin_call(now);
        self.table.mark_authenticated(member);
        self.end_call();
    }

    /// Returns the present members that have sent datagrams and are not authenticated yet.
    pub fn unauthenticated_members(&self) -> Vec<Member> {
        let present = self.table.present();
        let unauthenticated = present.filter(|entry| !entry.authenticated && entry.last_contact.is_some());
        unauthenticated.map(|entry| entry.member.clone()).collect()
    }

    /// Returns the identity of this member in its current incarnation, which may have been raised since the start.
    pub fn local_member(&self) -> &Member {
        self.membership.local_member()
    }

    /// Returns whether another member of the same name has superseded this one. The driver must then leave the fleet.
    pub fn has_withdrawn(&self) -> bool {
        self.has_withdrawn
    }

    /// Returns the present members, without this one and without draining members.
    pub fn available_members(&self) -> Vec<Member> {
        let local = self.local_member().address;
        let available = self.table.present().filter(|entry| {
            let is_draining = entry.attributes.as_ref().is_some_and(|a| a.draining);
            entry.member.address != local && !is_draining
        });
        available.map(|entry| entry.member.clone()).collect()
    }

    /// Returns how many times this member suspected a member after a failed probe.
    pub fn suspicion_count(&self) -> u64 {
        self.suspicion_count
    }

    /// Returns the names of the members of the fleet last agreed on.
    pub fn agreed_fleet(&self) -> &BTreeSet<String> {
        self.partition.agreed_fleet()
    }

    /// Returns the digest of the view. Members with equal views have equal digests.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Advances the clock. Each public method that changes the node calls this first.
    fn begin_call(&mut self, now: Duration) {
        self.clock.advance(now);
    }

    /// Updates the local entry and the digest. Each public method that changes the node calls this last.
    fn end_call(&mut self) {
        // Publishes the attributes again if membership has raised the incarnation.
        if *self.membership.local_member() != self.table.local_entry().member {
            self.publish_local_entry(0);
        }
        let digest = self.table.digest();
        if digest != self.digest {
            self.digest = digest;
            self.digest_since = self.clock.now();
        }
        self.clock.expect_call_at(self.next_wakeup());
    }

    /// Queues a message. The digest in the header includes the changes of the current call.
    fn send(&mut self, to: SocketAddr, message: &Message) {
        let header = Header { digest: self.table.digest(), side: self.side };
        let bytes = wire::encode(self.group_tag, header, message);
        self.outgoing.push(OutgoingDatagram { to, bytes });
    }

    fn set_attributes(&mut self, attributes: Attributes) {
        if attributes == self.attributes {
            return;
        }
        self.attributes = attributes;
        self.publish_local_entry(0);
    }

    /// Publishes the attributes of this member in its current incarnation, with a revision above `above_revision`.
    fn publish_local_entry(&mut self, above_revision: u32) {
        let local = self.local_member().clone();
        self.table.publish(self.clock.now(), &local, self.attributes.clone(), above_revision);
        self.table.mark_authenticated(&local);
        self.queue_record(local.address);
    }
}
