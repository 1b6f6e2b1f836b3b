//! Who is present: the SWIM protocol (Das, Gupta and Motivala, 2002) by `foca`. It says where a member can be reached and no
//! more; whom to trust is decided by certificates, on the connections. This module drives foca and holds no socket.
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

/// Most members that are sent their own datagram when this one leaves; further ones learn of it by gossip.
const MAX_LEAVE_MESSAGES: usize = 64;
/// Largest message of foca, in bytes: with the header it fits into a datagram.
const MAX_PACKET_BYTES: usize = MAX_DATAGRAM_BYTES - HEADER_BYTES;
/// How long foca remembers departed members. After that a late message about such an incarnation changes nothing any more.
const REMEMBER_DEPARTED: Duration = Duration::from_secs(3600);
/// How often a member is probed. A restart announces itself sooner than a probe finds it; this is for real failures.
pub const PROBE_PERIOD: Duration = Duration::from_millis(500);
/// How long a direct probe may take before others are asked to probe as well.
const PROBE_RTT: Duration = Duration::from_millis(150);
/// How often each member passes a change on. Each of n members then receives it this often on the average; that one of
/// them never does has the probability n e^(-0.85 MAX_TRANSMISSIONS) at a datagram loss of 15%: under one in a million at
/// 1,000 members. With foca's default (4 at 8 members) one of eight missed a goodbye in one run of six, and noticed it 4 s
/// later by its own suspicion.
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

/// A message of foca's protocol, to be sent as `Message::Swim`.
pub struct SwimMessage {
    /// The receiver.
    pub to: SocketAddr,
    /// foca's bytes.
    pub bytes: Vec<u8>,
}

/// A timer of foca, to be handed back by `Membership::handle_timer`.
pub struct SwimTimer {
    /// After this time.
    pub after: Duration,
    /// What is handed back.
    pub timer: Timer<Member>,
}

/// What is to be done after a call.
#[derive(Default)]
pub struct Effects {
    /// Messages to be sent.
    pub messages: Vec<SwimMessage>,
    /// Timers to be set.
    pub timers: Vec<SwimTimer>,
    /// Members that became present or departed: worth passing on at once.
    pub changes: Vec<Change>,
    /// Members that have not answered a probe of this member's own.
    pub failed_probes: Vec<Member>,
    /// The sender of the datagram, as it states itself.
    pub sender: Option<SocketAddr>,
}

/// A change of who is present.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// A member is present, or present in a new incarnation.
    Up(Member),
    /// A member has departed.
    Down(Member),
}

/// What is claimed about a member.
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
    /// The highest incarnation that others state for this address, if not below its own.
    superseding_incarnation: Option<u64>,
    /// Addresses that have sent datagrams themselves; besides members at most as many others.
    direct_senders: BTreeSet<SocketAddr>,
}

impl Membership {
    /// This member alone, in a fleet of about `expected_members`.
    pub fn new(local: Member, expected_members: u32, random_seed: u64) -> Membership {
        let mut config = Config::new_lan(NonZeroU32::new(expected_members).unwrap_or(NonZeroU32::MIN));
        config.probe_period = PROBE_PERIOD;
        config.probe_rtt = PROBE_RTT;
        // foca's own timeout of a suspicion is not used: `SuspicionTracker` decides when its timer is handed back.
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
        // foca uses the address alone for a receiver that is not a member yet.
        let receiver = Member { address: to, name: String::new(), incarnation: 0 };
        let result = self.foca.announce(receiver, &mut self.runtime);
        self.collect_effects("announcing", result)
    }

    /// Takes in a datagram, whatever it holds.
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

    /// Whether the table takes in no further member that is known from gossip only.
    pub fn is_full(&self) -> bool {
        self.foca.num_members() >= MAX_MEMBERS
    }

    /// Others know another identity at this member's address. If it is not an earlier one, the state folder was lost and
    /// the clock set back, or another name was at this address: this member then rejoins above it.
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
        log::warn!(life = incarnation; "others know a later life of this forwarder: living above it");
        self.foca.change_identity(renewed, &mut self.runtime)
    }

    /// Takes in what another member's record claims about a member.
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
        self.collect_effects("records", result)
    }

    /// This member refutes that its incarnation has departed, and supersedes a later one at its address.
    fn apply_claim_about_self(&mut self, member: &Member, presence: Presence) -> Result<(), foca::Error> {
        let local = self.foca.identity();
        let is_declared_departed = member == local && presence == Presence::Departed;
        if member.incarnation > local.incarnation || is_declared_departed {
            return self.rejoin_above(member.incarnation);
        }
        Ok(())
    }

    /// This member in its current incarnation.
    pub fn local_member(&self) -> &Member {
        self.foca.identity()
    }

    /// Suspected members, each with foca's number of the suspected state.
    pub fn suspects(&self) -> impl Iterator<Item = (&Member, u16)> {
        let suspects = self.foca.iter_members().filter(|m| m.state() == foca::State::Suspect);
        suspects.map(|m| (m.id(), m.incarnation()))
    }

    /// foca's number of the suspected state of a member, if it is suspected.
    pub fn suspected_incarnation(&self, member: &Member) -> Option<u16> {
        self.suspects().find(|(suspect, _)| *suspect == member).map(|(_, incarnation)| incarnation)
    }

    /// Another member's probe has failed: its suspect is suspected here as well, unless it has refuted that already.
    pub fn apply_suspicion(&mut self, suspect: &Member, swim_incarnation: u16) -> Effects {
        let known = self.foca.iter_members().find(|m| m.id() == suspect).map(|m| m.incarnation());
        let result = match known {
            Some(known) if known <= swim_incarnation => {
                let update = foca::Member::new(suspect.clone(), swim_incarnation, foca::State::Suspect);
                self.foca.apply_many(std::iter::once(update), true, &mut self.runtime)
            }
            // Nobody gets into the table by being suspected.
            _ => Ok(()),
        };
        self.collect_effects("a suspicion", result)
    }

    /// Number of updates that are still to be passed on.
    pub fn backlog(&self) -> usize {
        self.foca.updates_backlog()
    }

    /// Number of members that are not known to have departed, without this one.
    pub fn active_count(&self) -> usize {
        self.foca.num_members()
    }

    /// The message that notifies a member that it is suspected, so that it can refute that at once.
    pub fn suspicion_notice(&self, suspect: &Member) -> Option<SwimMessage> {
        let known = self.foca.iter_members().find(|m| m.id() == suspect)?;
        if known.state() != foca::State::Suspect {
            return None;
        }
        single_update(self.foca.identity(), suspect, known.clone())
    }

    /// Takes a timer back.
    pub fn handle_timer(&mut self, timer: Timer<Member>) -> Effects {
        let result = self.foca.handle_timer(timer, &mut self.runtime);
        self.collect_effects("a timer", result)
    }

    /// Leaves the fleet: a planned restart needs no suspicion. Each member that has sent datagrams gets its own message,
    /// so that forged members take nobody's place; foca notifies a few of all members.
    pub fn leave(&mut self) -> Effects {
        let local = self.foca.identity().clone();
        let departed = foca::Member::new(local.clone(), 0, foca::State::Down);
        let receivers = self.direct_members();
        let leave_messages = receivers.iter().filter_map(|to| single_update(&local, to, departed.clone()));
        let result = self.foca.leave_cluster(&mut self.runtime);
        let mut effects = self.collect_effects("leaving", result);
        effects.messages.extend(leave_messages);
        effects
    }

    /// Some of the members that have sent datagrams themselves, which forged members do not.
    pub fn direct_members(&self) -> Vec<Member> {
        let members = self.foca.iter_members().map(|m| m.id());
        members
            .filter(|m| self.direct_senders.contains(&m.address))
            .take(MAX_LEAVE_MESSAGES)
            .cloned()
            .collect()
    }

    /// Passes recent changes on to a few members at once: foca's own next message may be 0.2 s away.
    pub fn gossip(&mut self) -> Effects {
        let result = self.foca.gossip(&mut self.runtime);
        self.collect_effects("passing on", result)
    }

    /// Members that are not known to have departed, without this one.
    pub fn active_members(&self) -> Vec<Member> {
        self.foca.iter_members().map(|m| m.id().clone()).collect()
    }

    fn active_addresses(&self) -> BTreeSet<SocketAddr> {
        self.foca.iter_members().map(|m| m.id().address).collect()
    }

    fn collect_effects(&mut self, input: &str, result: Result<(), foca::Error>) -> Effects {
        if let Err(e) = result {
            // Anybody can send what foca rejects. It changes nothing.
            log::debug!("{input}: {e}");
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
                log_member_event("neighbour is there", &member);
                self.changes.push(Change::Up(member));
            }
            OwnedNotification::MemberDown(member) => {
                log_member_event("neighbour is gone", &member);
                self.changes.push(Change::Down(member));
            }
            OwnedNotification::Rename(_, member) => {
                log_member_event("neighbour started anew", &member);
                self.changes.push(Change::Up(member));
            }
            OwnedNotification::ProbeFailed(_, member) => self.failed_probes.push(member),
            OwnedNotification::Rejoin(member) => {
                log::info!(neighbour = member.name, life = member.incarnation; "taken for dead, joined again");
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

/// A message to one member with one update.
fn single_update(from: &Member, to: &Member, update: foca::Member<Member>) -> Option<SwimMessage> {
    let header =
        foca::Header { src: from.clone(), src_incarnation: 0, dst: to.clone(), message: Message::Gossip };
    let bytes = encode(&header, &[update])?;
    Some(SwimMessage { to: to.address, bytes })
}

/// A message as foca reads it: its header and updates of members.
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
