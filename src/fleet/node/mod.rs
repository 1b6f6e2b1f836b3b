//! One forwarder's part in the fleet, without I/O: membership, suspicion, the member table and the side of a partition.
//! Time, randomness and datagrams are arguments, so the same code runs on sockets, in virtual time and under a model.
//!
//! The driver calls [`Node::handle_datagram`] with what it receives and [`Node::handle_wakeup`] at [`Node::next_wakeup`],
//! and after each call sends what [`Node::take_outgoing`] gives. A call that comes late shows that this process was
//! suspended: that time does not count for probes and suspicions, and what the others sent meanwhile, which waits in the
//! socket, is taken in before anybody is declared dead.
//!
//! `inbound` takes datagrams in, `effects` carries out what membership asks for, `dissemination` passes changes on,
//! `anti_entropy` repairs what was missed, `departure` leaves the fleet, `partition_check` decides on the side of a
//! partition, and `view` shows all of it. `clock` and `timers` hold the time; `bounds` states how fast news spreads.
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

/// How often the side of a partition, conflicts of names and ages are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// What a node begins with.
pub struct NodeConfig {
    /// This member.
    pub local: Member,
    /// The group that its fleet belongs to; datagrams of other groups are dropped.
    pub group: String,
    /// About how many members there are.
    pub expected_members: u32,
    /// Seed of the node's random choices.
    pub random_seed: u64,
    /// Addresses of members that are configured.
    pub seed_addresses: Vec<SocketAddr>,
    /// Addresses of members that an earlier incarnation knew.
    pub remembered_addresses: Vec<SocketAddr>,
    /// The fleet as an earlier incarnation last agreed on it.
    pub agreed_fleet: BTreeSet<String>,
    /// What this member publishes about itself.
    pub attributes: Attributes,
}

/// A datagram to be sent.
#[derive(Clone, Debug)]
pub struct OutgoingDatagram {
    /// The receiver.
    pub to: SocketAddr,
    /// Its bytes, at most `wire::MAX_DATAGRAM_BYTES`.
    pub bytes: Vec<u8>,
}

/// What the header of a peer's last datagram reported of its view.
struct PeerReport {
    header: Header,
    received_at: Duration,
}

/// One forwarder's part in the fleet. Times in its methods are spans since any moment that is the same for all calls.
pub struct Node {
    group_tag: u32,
    membership: Membership,
    table: MemberTable,
    suspicions: SuspicionTracker,
    partition: PartitionDetector,
    /// What this member publishes about itself.
    attributes: Attributes,
    clock: NodeClock,
    random: StdRng,
    timers: TimerQueue,
    announcer: Announcer,
    dissemination: Dissemination,
    anti_entropy: AntiEntropy,
    next_check_at: Duration,
    peer_reports: BTreeMap<SocketAddr, PeerReport>,
    /// Digest of the view as of the end of the last call.
    digest: u64,
    /// Since when the digest has been the same.
    digest_since: Duration,
    /// The side of a partition that datagrams report.
    side: PartitionSide,
    /// `MemberTable::change_count` as of the last check of its entries.
    checked_change_count: u64,
    has_withdrawn: bool,
    /// How often this member has suspected anybody.
    suspicion_count: u64,
    outgoing: Vec<OutgoingDatagram>,
}

impl Node {
    /// A node that knows nobody yet; it greets its seed addresses at once.
    pub fn new(config: NodeConfig, now: Duration) -> Node {
        let local = config.local;
        let mut table = MemberTable::new(local.clone(), now);
        table.publish(now, &local, config.attributes.clone(), 0);
        table.mark_authenticated(&local);
        let mut random = StdRng::seed_from_u64(config.random_seed);
        // Spread out, so that members that start at the same time do not greet in step.
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

    /// Takes in a datagram, whatever it holds.
    pub fn handle_datagram(&mut self, now: Duration, bytes: &[u8]) {
        self.begin_call(now);
        // Anybody can send what cannot be decoded: it is dropped silently.
        if let Ok((header, message)) = wire::decode(self.group_tag, bytes) {
            self.handle_message(header, message);
        }
        self.end_call();
    }

    /// Does what is due.
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
            // A suspect that has refuted the suspicion is suspected no more, or under another number.
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

    /// When `handle_wakeup` is to be called, at the latest.
    pub fn next_wakeup(&self) -> Duration {
        let mut first = self.announcer.next_at().min(self.next_check_at);
        let optional = [
            self.timers.next_at(),
            self.suspicions.next_expiry(self.membership.active_count()),
            self.dissemination.next_at(),
        ];
        for at in optional.into_iter().flatten() {
            first = first.min(at);
        }
        self.clock.to_wall(first)
    }

    /// Takes the datagrams that are to be sent now.
    pub fn take_outgoing(&mut self) -> Vec<OutgoingDatagram> {
        std::mem::take(&mut self.outgoing)
    }

    /// Publishes new attributes of this member. Whether it drains is not taken from them: `drain` sets that.
    pub fn publish_attributes(&mut self, now: Duration, attributes: Attributes) {
        self.begin_call(now);
        let draining = self.attributes.draining;
        self.set_attributes(Attributes { draining, ..attributes });
        self.end_call();
    }

    /// A member has presented a valid certificate on a connection, in this incarnation.
    pub fn mark_authenticated(&mut self, now: Duration, member: &Member) {
        self.begin_call(now);
        self.table.mark_authenticated(member);
        self.end_call();
    }

    /// Present members that have sent datagrams and are not authenticated yet.
    pub fn unauthenticated_members(&self) -> Vec<Member> {
        let present = self.table.present();
        let waiting = present.filter(|entry| !entry.authenticated && entry.last_contact.is_some());
        waiting.map(|entry| entry.member.clone()).collect()
    }

    /// This member in its current incarnation, which may have risen since the start.
    pub fn local_member(&self) -> &Member {
        self.membership.local_member()
    }

    /// Whether another member with this one's name has superseded it: the driver is to leave the fleet.
    pub fn has_withdrawn(&self) -> bool {
        self.has_withdrawn
    }

    /// Present members, without this one and those that are draining.
    pub fn available_members(&self) -> Vec<Member> {
        let local = self.local_member().address;
        let available = self.table.present().filter(|entry| {
            let is_draining = entry.attributes.as_ref().is_some_and(|a| a.draining);
            entry.member.address != local && !is_draining
        });
        available.map(|entry| entry.member.clone()).collect()
    }

    /// How often this member has suspected anybody.
    pub fn suspicion_count(&self) -> u64 {
        self.suspicion_count
    }

    /// The fleet as it was last agreed.
    pub fn agreed_fleet(&self) -> &BTreeSet<String> {
        self.partition.agreed_fleet()
    }

    /// One number for the view: equal for members whose views are the same.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Each public method that changes the node begins with this.
    fn begin_call(&mut self, now: Duration) {
        self.clock.advance(now);
    }

    /// And ends with this.
    fn end_call(&mut self) {
        // Membership may have raised the incarnation, which publishes the attributes again.
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

    /// Queues a message. The header has the digest of this moment, with what this very call has changed.
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

    /// Publishes this member's attributes in its current incarnation, above a revision that others have seen.
    fn publish_local_entry(&mut self, above_revision: u32) {
        let local = self.local_member().clone();
        self.table.publish(self.clock.now(), &local, self.attributes.clone(), above_revision);
        self.table.mark_authenticated(&local);
        self.queue_record(local.address);
    }
}
