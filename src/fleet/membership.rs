//! Failure detection and membership with the SWIM protocol (Das, Gupta and Motivala, 2002), implemented by `foca`.
//!
//! Membership establishes only at which addresses members are reachable. Trust is established by certificates on the
//! connections between members. This module drives foca and does no I/O.
mod admission;

use super::fault_injection::{is_injected, Defect};
use super::member::{Member, MAX_MEMBERS};
use super::wire::{HEADER_BYTES, MAX_DATAGRAM_BYTES};
use bytes::BufMut;
use foca::{
    AccumulatingRuntime, Codec, Config, Foca, Identity, Message, OwnedNotification, PostcardCodec, Timer,
};
use rand::rngs::StdRng;
use rand::SeedableRng;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::num::{NonZeroU32, NonZeroU8, NonZeroUsize};
use std::time::Duration;

/// Maximum number of members that receive a leave message directly. Further members receive it by gossip.
const MAX_LEAVE_MESSAGES: usize = 64;
/// Maximum size of a foca message, in bytes: with the header it fits into one datagram.
const MAX_PACKET_BYTES: usize = MAX_DATAGRAM_BYTES - HEADER_BYTES;
/// How long foca remembers departed members, so that delayed messages do not add them again. No message about a departed
/// incarnation is delayed for longer.
const REMEMBER_DEPARTED: Duration = Duration::from_secs(3600);
/// Interval between two probes. Probes detect failures only: a member that restarts announces itself.
pub const PROBE_PERIOD: Duration = Duration::from_millis(500);
/// Timeout of a direct probe, after which other members are requested to probe indirectly.
const PROBE_RTT: Duration = Duration::from_millis(150);
/// How many times each member transmits an update. Each of n members then receives it this many times on average. At 15%
/// datagram loss, the probability that some member never receives it is n e^(-0.85 MAX_TRANSMISSIONS): below one in a
/// million for 1,000 members. With foca's default (4 for 8 members), one of eight members missed a leave message in one of
/// six runs, and detected the departure by a suspicion 4 s later.
const MAX_TRANSMISSIONS: NonZeroU8 = NonZeroU8::new(26).expect("26 is not zero");

impl Identity for Member {
    type Addr = SocketAddr;

    fn renew(&self) -> Option<Member> {
        if is_injected(Defect::NeverRenews) {
            return None;
        }
        Some(Member { incarnation: self.incarnation.saturating_add(1), ..self.clone() })
    }
    fn addr(&self) -> SocketAddr {
        self.address
    }
    fn win_addr_conflict(&self, other: &Member) -> bool {
        self.supersedes(other)
    }
}

/// An encoded foca message, to be sent as `wire::Message::Swim`.
pub struct SwimMessage {
    /// Address of the receiver.
    pub to: SocketAddr,
    /// The message as encoded by foca.
    pub bytes: Vec<u8>,
}

/// A timer that foca sets, to be passed to `Membership::handle_timer` when it expires.
pub struct SwimTimer {
    /// Time until the timer expires.
    pub after: Duration,
    /// The foca timer.
    pub timer: Timer<Member>,
}

/// Actions that the caller of a `Membership` method must perform.
#[derive(Default)]
pub struct Effects {
    /// Messages to send.
    pub messages: Vec<SwimMessage>,
    /// Timers to set.
    pub timers: Vec<SwimTimer>,
    /// Members that became present or departed. The caller disseminates them at once.
    pub changes: Vec<Change>,
    /// Members that did not answer a probe by this member.
    pub failed_probes: Vec<Member>,
    /// Address of the sender as stated in the datagram.
    pub sender: Option<SocketAddr>,
}

/// A change in the presence of a member.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// A member became present, or is present in a new incarnation.
    Up(Member),
    /// A member has departed.
    Down(Member),
}

/// Presence of a member as claimed by a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    /// The incarnation is present.
    Present,
    /// The incarnation has left or was declared dead.
    Departed,
}

/// Membership as seen by one forwarder.
pub struct Membership {
    foca: Foca<Member, PostcardCodec, StdRng, foca::NoCustomBroadcast>,
    runtime: AccumulatingRuntime<Member>,
    local_address: SocketAddr,
    /// The highest incarnation that other members state for the local address, if not below that of this member.
    superseding_incarnation: Option<u64>,
    /// Addresses that have sent datagrams to this member; limited to twice the maximum number of members.
    direct_senders: BTreeSet<SocketAddr>,
}

impl Membership {
    /// Creates the membership of a fleet of about `expected_members` that contains only this member so far.
    pub fn new(local: Member, expected_members: u32, random_seed: u64) -> Membership {
        let mut config = Config::new_lan(NonZeroU32::new(expected_members).unwrap_or(NonZeroU32::MIN));
        config.probe_period = PROBE_PERIOD;
        config.probe_rtt = PROBE_RTT;
        // foca's suspicion timeout is not used: `SuspicionTracker` decides when foca's timer expires.
        config.remove_down_after = REMEMBER_DEPARTED;
        config.max_transmissions = MAX_TRANSMISSIONS;
        config.max_packet_size = NonZeroUsize::new(MAX_PACKET_BYTES).unwrap_or(NonZeroUsize::MIN);
        config.notify_down_members = true;
        let local_address = local.address;
        Membership {
            foca: Foca::new(local, config, StdRng::seed_from_u64(random_seed), PostcardCodec),
            runtime: AccumulatingRuntime::new(),
            local_address,
            superseding_incarnation: None,
            direct_senders: BTreeSet::new(),
        }
    }

    /// Announces this member to an address.
    pub fn announce(&mut self, to: SocketAddr) -> Effects {
        if to == self.local_address {
            return Effects::default();
        }
        // foca uses only the address of a receiver that is not a member yet.
        let receiver = Member { address: to, name: String::new(), incarnation: 0 };
        let result = self.foca.announce(receiver, &mut self.runtime);
        self.collect_effects("an announcement", result)
    }

    /// Processes a received foca message, which may be malformed or forged.
    pub fn handle_datagram(&mut self, bytes: &[u8]) -> Effects {
        let Some(admitted) = self.admit(bytes) else { return Effects::default() };
        let mut result = self.foca.handle_data(&admitted.bytes, &mut self.runtime);
        if let Some(incarnation) = self.superseding_incarnation.take() {
            result = result.and(self.rejoin_above(incarnation));
        }
        let mut effects = self.collect_effects("a datagram", result);
        effects.sender = Some(admitted.sender);
        effects
    }

    /// Returns whether the table is full, so that members known only from gossip are not added.
    pub fn is_full(&self) -> bool {
        self.foca.num_members() >= MAX_MEMBERS
    }

    /// Notes the incarnation of another identity that other members know at the local address. If it is not lower than
    /// that of this member, the state folder was lost and the clock set back, or a forwarder of another name used this
    /// address. This member then rejoins with a higher incarnation.
    fn note_incarnation_at_local_address(&mut self, incarnation: u64) {
        if incarnation >= self.foca.identity().incarnation {
            self.superseding_incarnation = self.superseding_incarnation.max(Some(incarnation));
        }
    }

    fn rejoin_above(&mut self, incarnation: u64) -> Result<(), foca::Error> {
        if is_injected(Defect::KeepsEarlierIncarnation) {
            return Ok(());
        }
        let incarnation = incarnation.saturating_add(1);
        let renewed = Member { incarnation, ..self.foca.identity().clone() };
        log::warn!(
            life = incarnation;
            "other members know this incarnation as superseded or departed: rejoining with a higher one"
        );
        self.foca.change_identity(renewed, &mut self.runtime)
    }

    /// Applies what a record from another member claims about the presence of a member.
    pub fn apply_claim(&mut self, member: &Member, presence: Presence) -> Effects {
        let result = if member.address == self.local_address {
            self.apply_claim_about_self(member, presence)
        } else {
            let state = match presence {
                Presence::Present => foca::State::Alive,
                Presence::Departed => foca::State::Down,
            };
            let update = foca::Member::new(member.clone(), 0, state);
            self.foca.apply_many(std::iter::once(update), true, &mut self.runtime)
        };
        self.collect_effects("a record", result)
    }

    /// Refutes a claim that the current incarnation of this member has departed, and supersedes a higher incarnation at
    /// the local address.
    fn apply_claim_about_self(&mut self, member: &Member, presence: Presence) -> Result<(), foca::Error> {
        let local = self.foca.identity();
        let is_declared_departed = member == local && presence == Presence::Departed;
        if member.incarnation > local.incarnation || is_declared_departed {
            return self.rejoin_above(member.incarnation);
        }
        Ok(())
    }

    /// Returns the identity of this member in its current incarnation.
    pub fn local_member(&self) -> &Member {
        self.foca.identity()
    }

    /// Returns the suspected members, each with its SWIM incarnation: foca's own counter within one `Member::incarnation`.
    pub fn suspects(&self) -> impl Iterator<Item = (&Member, u16)> {
        let suspects = self.foca.iter_members().filter(|m| m.state() == foca::State::Suspect);
        suspects.map(|m| (m.id(), m.incarnation()))
    }

    /// Returns the SWIM incarnation in which a member is suspected, or `None` if it is not suspected.
    pub fn suspected_incarnation(&self, member: &Member) -> Option<u16> {
        self.suspects().find(|(suspect, _)| *suspect == member).map(|(_, incarnation)| incarnation)
    }

    /// Suspects a member because the probe of another member failed, unless the suspect has already refuted the suspicion.
    pub fn apply_suspicion(&mut self, suspect: &Member, swim_incarnation: u16) -> Effects {
        let known = self.foca.iter_members().find(|m| m.id() == suspect).map(|m| m.incarnation());
        let result = match known {
            Some(known) if known <= swim_incarnation => {
                let update = foca::Member::new(suspect.clone(), swim_incarnation, foca::State::Suspect);
                self.foca.apply_many(std::iter::once(update), true, &mut self.runtime)
            }
            // A suspicion does not add an unknown member to the table.
            _ => Ok(()),
        };
        self.collect_effects("a suspicion", result)
    }

    /// Returns the number of updates that foca has yet to transmit.
    pub fn backlog(&self) -> usize {
        self.foca.updates_backlog()
    }

    /// Returns the number of members that are not known to have departed, without this one.
    pub fn active_count(&self) -> usize {
        self.foca.num_members()
    }

    /// Returns the message that notifies a member that it is suspected, so that it can refute the suspicion at once.
    pub fn suspicion_notice(&self, suspect: &Member) -> Option<SwimMessage> {
        let known = self.foca.iter_members().find(|m| m.id() == suspect)?;
        if known.state() != foca::State::Suspect {
            return None;
        }
        single_update(self.foca.identity(), suspect, known.clone())
    }

    /// Processes an expired timer.
    pub fn handle_timer(&mut self, timer: Timer<Member>) -> Effects {
        let result = self.foca.handle_timer(timer, &mut self.runtime);
        self.collect_effects("a timer", result)
    }

    /// Leaves the fleet, so that other members detect a planned restart without a suspicion. Members that have sent
    /// datagrams receive a leave message directly, as forged members could fill the few receivers that foca chooses.
    pub fn leave(&mut self) -> Effects {
        let local = self.foca.identity().clone();
        let departed = foca::Member::new(local.clone(), 0, foca::State::Down);
        let receivers = self.direct_members();
        let leave_messages = receivers.iter().filter_map(|to| single_update(&local, to, departed.clone()));
        let result = self.foca.leave_cluster(&mut self.runtime);
        let mut effects = self.collect_effects("a leave request", result);
        effects.messages.extend(leave_messages);
        effects
    }

    /// Returns up to `MAX_LEAVE_MESSAGES` of the members that have sent datagrams to this member. Forged members are not
    /// among them, as they send none.
    pub fn direct_members(&self) -> Vec<Member> {
        let members = self.foca.iter_members().map(|m| m.id());
        members
            .filter(|m| self.direct_senders.contains(&m.address))
            .take(MAX_LEAVE_MESSAGES)
            .cloned()
            .collect()
    }

    /// Gossips recent updates to a few members at once: foca would send its next gossip up to 0.2 s later.
    pub fn gossip(&mut self) -> Effects {
        let result = self.foca.gossip(&mut self.runtime);
        self.collect_effects("a gossip round", result)
    }

    /// Returns the members that are not known to have departed, without this one.
    pub fn active_members(&self) -> Vec<Member> {
        self.foca.iter_members().map(|m| m.id().clone()).collect()
    }

    fn active_addresses(&self) -> BTreeSet<SocketAddr> {
        self.foca.iter_members().map(|m| m.id().address).collect()
    }

    fn collect_effects(&mut self, input: &str, result: Result<(), foca::Error>) -> Effects {
        if let Err(e) = result {
            // Any host can send datagrams that foca rejects. They change nothing, so this is no warning.
            log::debug!("foca rejected {input}: {e}");
        }
        let mut effects = Effects::default();
        while let Some((to, bytes)) = self.runtime.to_send() {
            effects.messages.push(SwimMessage { to: to.address, bytes: bytes.to_vec() });
        }
        while let Some((after, timer)) = self.runtime.to_schedule() {
            effects.timers.push(SwimTimer { after, timer });
        }
        while let Some(notification) = self.runtime.to_notify() {
            effects.handle_notification(notification);
        }
        effects
    }
}

impl Effects {
    fn handle_notification(&mut self, notification: OwnedNotification<Member>) {
        match notification {
            OwnedNotification::MemberUp(member) => {
                log_member_event("member is up", &member);
                self.changes.push(Change::Up(member));
            }
            OwnedNotification::MemberDown(member) => {
                log_member_event("member is down", &member);
                self.changes.push(Change::Down(member));
            }
            OwnedNotification::Rename(_, member) => {
                log_member_event("member restarted", &member);
                self.changes.push(Change::Up(member));
            }
            OwnedNotification::ProbeFailed(_, member) => self.failed_probes.push(member),
            OwnedNotification::Rejoin(member) => {
                log::info!(
                    neighbour = member.name, life = member.incarnation;
                    "this member was declared dead and has rejoined the fleet"
                );
            }
            _ => {}
        }
    }
}

fn log_member_event(event: &str, member: &Member) {
    log::info!(
        neighbour = member.name, address = member.address.to_string(), life = member.incarnation; "{event}"
    );
}

/// Encodes a gossip message with a single update.
fn single_update(from: &Member, to: &Member, update: foca::Member<Member>) -> Option<SwimMessage> {
    let header =
        foca::Header { src: from.clone(), src_incarnation: 0, dst: to.clone(), message: Message::Gossip };
    let bytes = encode(&header, &[update])?;
    Some(SwimMessage { to: to.address, bytes })
}

/// Encodes a message in foca's format: the header, the number of updates and the updates.
fn encode(header: &foca::Header<Member>, updates: &[foca::Member<Member>]) -> Option<Vec<u8>> {
    let mut bytes = Vec::new();
    PostcardCodec.encode_header(header, &mut bytes).ok()?;
    bytes.put_u16(updates.len() as u16);
    for update in updates {
        PostcardCodec.encode_member(update, &mut bytes).ok()?;
    }
    Some(bytes)
}

#[cfg(test)]
mod tests;
