//! Who is there: SWIM by `foca` over UDP (Das, Gupta and Motivala, "SWIM", 2002). Says where a member may be found and
//! no more; whom to believe is settled by certificates, on the connections. This file drives foca; it holds no socket.
use super::fault_injection::broken;
use super::member::{Member, MAX_MEMBERS, MAX_NAME_BYTES};
use bytes::BufMut;
use foca::{
    AccumulatingRuntime, Codec, Config, Foca, Identity, Message, OwnedNotification, PostcardCodec, Timer,
};
use rand::rngs::StdRng;
use rand::SeedableRng;
use std::borrow::Cow;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::num::{NonZeroU32, NonZeroU8, NonZeroUsize};
use std::time::Duration;

/// So many are told directly of a planned end; of more, the rest hear it from these.
const FAREWELLS: usize = 64;
/// What foca writes at most; with the head of a datagram it stays under what most networks carry in one piece.
const PACKET: usize = super::wire::DATAGRAM - super::wire::HEAD;
/// Of those that are gone foca keeps the names so long: a word about their last life changes nothing any more.
const BURIED: Duration = Duration::from_secs(3600);
/// A restart gives its old name up sooner than SWIM would call it dead; the rest is for real failures.
pub const PROBE_PERIOD: Duration = Duration::from_millis(500);
const PROBE_RTT: Duration = Duration::from_millis(150);

/// So often each member passes a change on. Each of n members then hears of it so often on the average; that one of
/// them hears of it never has the chance n e^(-0.85 TRANSMISSIONS) where 15% of datagrams are lost: under one in a
/// million at 1,000. foca's own figure (4 at 8 members) left one out of eight waiting for its own suspicion 4 s later in
/// one run of six.
const TRANSMISSIONS: NonZeroU8 = NonZeroU8::new(26).unwrap();

impl Identity for Member {
    type Addr = SocketAddr;

    fn renew(&self) -> Option<Member> {
        let anew = || Member { incarnation: self.incarnation.saturating_add(1), ..self.clone() };
        (!broken("never renews")).then(anew)
    }
    fn addr(&self) -> SocketAddr {
        self.address
    }
    fn win_addr_conflict(&self, other: &Member) -> bool {
        self.supersedes(other)
    }
}

/// What is to be done after a step.
#[derive(Default)]
pub struct Effects {
    /// Datagrams, and where to.
    pub send: Vec<(SocketAddr, Vec<u8>)>,
    /// Timers, and after how long they are to be handed back.
    pub timers: Vec<(Duration, Timer<Member>)>,
    /// Who came or went: worth passing on at once.
    pub changes: Vec<Change>,
    /// Those that have not answered a probe of this one's own.
    pub failed: Vec<Member>,
    /// Who sent the datagram, as it says itself.
    pub from: Option<SocketAddr>,
}

/// What has changed about who is there.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// It is there, or there anew.
    Up(Member),
    /// It is there no more.
    Down(Member),
}

/// Membership as seen by one forwarder.
pub struct Membership {
    foca: Foca<Member, PostcardCodec, StdRng, foca::NoCustomBroadcast>,
    runtime: AccumulatingRuntime<Member>,
    me: SocketAddr,
    /// The highest life that was told of this one's address, where that is above its own.
    outlived: Option<u64>,
    /// Those that have sent a datagram themselves; of some that are gone since, at most as many again.
    heard: BTreeSet<SocketAddr>,
}

impl Membership {
    /// Alone at first. `size` is about how many forwarders there are.
    pub fn new(me: Member, size: u32, seed: u64) -> Membership {
        let mut config = Config::new_lan(NonZeroU32::new(size).unwrap_or(NonZeroU32::MIN));
        config.probe_period = PROBE_PERIOD;
        config.probe_rtt = PROBE_RTT;
        // The timer that ends a suspicion is handed back when `doubts` says so.
        config.remove_down_after = BURIED;
        config.max_transmissions = TRANSMISSIONS;
        config.max_packet_size = NonZeroUsize::new(PACKET).unwrap_or(NonZeroUsize::MIN);
        config.notify_down_members = true;
        let address = me.address;
        let foca = Foca::new(me, config, StdRng::seed_from_u64(seed), PostcardCodec);
        let runtime = AccumulatingRuntime::new();
        Membership { foca, runtime, me: address, outlived: None, heard: BTreeSet::new() }
    }

    /// Makes itself known at an address.
    pub fn announce(&mut self, to: SocketAddr) -> Effects {
        if to == self.me {
            return Effects::default();
        }
        // Only the address counts for a message that is not for a member yet.
        let to = Member { address: to, name: String::new(), incarnation: 0 };
        let told = self.foca.announce(to, &mut self.runtime);
        self.steps("announcing", told)
    }

    /// Takes in a datagram, whatever it holds.
    pub fn datagram(&mut self, bytes: &[u8]) -> Effects {
        let Some((from, admitted)) = self.admit(bytes) else { return Effects::default() };
        let mut told = self.foca.handle_data(&admitted, &mut self.runtime);
        if let Some(life) = self.outlived.take() {
            told = told.and(self.live_above(life));
        }
        Effects { from: Some(from), ..self.steps("a datagram", told) }
    }

    /// What of a datagram is taken in, and who sent it. Guards the view against names that nobody bears: they may fill
    /// the table, but neither deafen it to those who are in it nor keep out who comes. Who sends is what the datagram
    /// says; whom to believe is settled elsewhere.
    fn admit<'a>(&mut self, bytes: &'a [u8]) -> Option<(SocketAddr, Cow<'a, [u8]>)> {
        let mut rest = bytes;
        let header: foca::Header<Member> = PostcardCodec.decode_header(&mut rest).ok()?;
        let from = header.src.address;
        // Nobody else is where this one is.
        if from == self.me || header.src.name.len() > MAX_NAME_BYTES {
            return None;
        }
        if self.heard.len() >= 2 * MAX_MEMBERS {
            let there = self.addresses();
            self.heard.retain(|a| there.contains(a));
        }
        self.heard.insert(from);
        // Those given up stay on foca's books for a while: these are bounded as well.
        let (full, booked) = (self.full(), self.foca.iter_membership_state().len() >= 2 * MAX_MEMBERS);
        let mut there = if full || booked { self.addresses() } else { BTreeSet::new() };
        if full && !there.contains(&from) {
            let silent =
                self.foca.iter_members().find(|m| !self.heard.contains(&m.id().address))?.id().clone();
            if booked {
                return None;
            }
            there.remove(&silent.address);
            there.insert(from);
            let given_up = std::iter::once(foca::Member::new(silent, 0, foca::State::Down));
            self.foca.apply_many(given_up, false, &mut self.runtime).ok()?;
        }
        if rest.len() < 2 || header.message == Message::Broadcast {
            return Some((from, bytes.into()));
        }
        let count = u16::from_be_bytes([rest[0], rest[1]]);
        rest = &rest[2..];
        let mut kept = Vec::new();
        for _ in 0..count {
            let update: foca::Member<Member> = PostcardCodec.decode_member(&mut rest).ok()?;
            let id = update.id();
            if id.address == self.me && *id != *self.foca.identity() {
                self.heard_of_own(id.incarnation);
            } else if id.name.len() <= MAX_NAME_BYTES && (!(full || booked) || there.contains(&id.address)) {
                kept.push(update);
            }
        }
        if kept.len() == usize::from(count) {
            return Some((from, bytes.into()));
        }
        let mut out = encode(&header, &kept)?;
        out.extend(rest);
        Some((from, out.into()))
    }

    /// Whether the table takes nobody in any more by hearsay.
    pub fn full(&self) -> bool {
        self.foca.num_members() >= MAX_MEMBERS
    }

    /// Somebody knows a life at this one's address that is later than its own: its folder was lost and its clock set
    /// back, or another name was there before. It lives above that one, at once.
    fn heard_of_own(&mut self, incarnation: u64) {
        if incarnation >= self.foca.identity().incarnation {
            self.outlived = self.outlived.max(Some(incarnation));
        }
    }

    fn live_above(&mut self, life: u64) -> Result<(), foca::Error> {
        if broken("keeps an earlier life") {
            return Ok(());
        }
        let incarnation = life.saturating_add(1);
        let anew = Member { incarnation, ..self.foca.identity().clone() };
        log::warn!(life = incarnation; "others know a later life of this forwarder: living above it");
        self.foca.change_identity(anew, &mut self.runtime)
    }

    /// Takes in what the records say of a member: that it is there, or that this life of it is over.
    pub fn told(&mut self, of: &Member, there: bool) -> Effects {
        let me = self.foca.identity();
        let told = if of.address == self.me {
            // Of its own life that is said to be over, and of later ones.
            let over = of.incarnation > me.incarnation || (of == me && !there);
            if over {
                self.live_above(of.incarnation)
            } else {
                Ok(())
            }
        } else {
            let state = if there { foca::State::Alive } else { foca::State::Down };
            let update = std::iter::once(foca::Member::new(of.clone(), 0, state));
            self.foca.apply_many(update, true, &mut self.runtime)
        };
        self.steps("records", told)
    }

    /// This one as the others are to know it.
    pub fn me(&self) -> &Member {
        self.foca.identity()
    }

    /// Those that are suspected, and foca's number of each.
    pub fn suspects(&self) -> impl Iterator<Item = (&Member, u16)> {
        let suspects = self.foca.iter_members().filter(|m| m.state() == foca::State::Suspect);
        suspects.map(|m| (m.id(), m.incarnation()))
    }

    /// foca's number of a member that is suspected.
    pub fn suspect(&self, of: &Member) -> Option<u16> {
        self.suspects().find(|s| s.0 == of).map(|s| s.1)
    }

    /// Another one has not been answered by a member: suspects it too, unless it has answered that already.
    pub fn doubted(&mut self, of: &Member, number: u16) -> Effects {
        let update = std::iter::once(foca::Member::new(of.clone(), number, foca::State::Suspect));
        let known = self.foca.iter_members().find(|m| m.id() == of).map(|m| m.incarnation());
        let told = match known {
            // Nobody gets into the table by being doubted.
            Some(known) if known <= number => self.foca.apply_many(update, true, &mut self.runtime),
            _ => Ok(()),
        };
        self.steps("a doubt", told)
    }

    /// Words that still wait to be passed on.
    pub fn backlog(&self) -> usize {
        self.foca.updates_backlog()
    }

    /// How many are taken to live, without this one.
    pub fn count(&self) -> usize {
        self.foca.num_members()
    }

    /// Tells one that it is suspected, at once: it is the one that can say otherwise.
    pub fn warn(&mut self, suspect: &Member) -> Vec<(SocketAddr, Vec<u8>)> {
        let state = self.foca.iter_members().find(|m| m.id() == suspect);
        let Some(known) = state.filter(|m| m.state() == foca::State::Suspect).cloned() else {
            return Vec::new();
        };
        word(self.foca.identity(), suspect, known).map(|bytes| (suspect.address, bytes)).into_iter().collect()
    }

    /// Takes a timer back.
    pub fn timer(&mut self, timer: Timer<Member>) -> Effects {
        let told = self.foca.handle_timer(timer, &mut self.runtime);
        self.steps("a timer", told)
    }

    /// Says goodbye: a planned restart needs no suspicion. Told to those that have spoken for themselves, each by a
    /// datagram of its own, and by foca to a few of all: names that nobody bears take nobody's place.
    pub fn leave(&mut self) -> Effects {
        let me = self.foca.identity().clone();
        let gone = || foca::Member::new(me.clone(), 0, foca::State::Down);
        let told: Vec<_> =
            self.heard().iter().filter_map(|to| Some((to.address, word(&me, to, gone())?))).collect();
        let left = self.foca.leave_cluster(&mut self.runtime);
        let mut steps = self.steps("leaving", left);
        steps.send.extend(told);
        steps
    }

    /// Some of those that have spoken for themselves: names that nobody bears take nobody's place.
    pub fn heard(&self) -> Vec<Member> {
        let heard = self.foca.iter_members().map(|m| m.id()).filter(|m| self.heard.contains(&m.address));
        heard.take(FAREWELLS).cloned().collect()
    }

    /// Passes on what changed lately, to a few: SWIM's own turn may be 0.2 s away.
    pub fn pass_on(&mut self) -> Effects {
        let told = self.foca.gossip(&mut self.runtime);
        self.steps("passing on", told)
    }

    /// Those that are taken to live, without this one.
    pub fn active(&self) -> Vec<Member> {
        self.foca.iter_members().map(|m| m.id().clone()).collect()
    }

    fn addresses(&self) -> BTreeSet<SocketAddr> {
        self.foca.iter_members().map(|m| m.id().address).collect()
    }

    fn steps(&mut self, what: &str, told: Result<(), foca::Error>) -> Effects {
        if let Err(fault) = told {
            // Also what a stranger sent. It changes nothing.
            log::debug!("{what}: {fault}");
        }
        let mut steps = Effects::default();
        while let Some((to, bytes)) = self.runtime.to_send() {
            steps.send.push((to.address, bytes.to_vec()));
        }
        while let Some(timer) = self.runtime.to_schedule() {
            steps.timers.push(timer);
        }
        while let Some(notification) = self.runtime.to_notify() {
            let (change, said) = match notification {
                OwnedNotification::MemberUp(m) => (Change::Up(m), "neighbour is there"),
                OwnedNotification::MemberDown(m) => (Change::Down(m), "neighbour is gone"),
                OwnedNotification::Rename(_, m) => (Change::Up(m), "neighbour started anew"),
                OwnedNotification::ProbeFailed(_, m) => {
                    steps.failed.push(m);
                    continue;
                }
                OwnedNotification::Rejoin(m) => {
                    log::info!(neighbour = m.name, life = m.incarnation; "taken for dead, joined again");
                    continue;
                }
                _ => continue,
            };
            let (Change::Up(m) | Change::Down(m)) = &change;
            log::info!(neighbour = m.name, address = m.address.to_string(), life = m.incarnation; "{said}");
            steps.changes.push(change);
        }
        steps
    }
}

/// A datagram to one member that says one thing of one.
fn word(me: &Member, to: &Member, update: foca::Member<Member>) -> Option<Vec<u8>> {
    let (src, dst, message) = (me.clone(), to.clone(), Message::Gossip);
    encode(&foca::Header { src, src_incarnation: 0, dst, message }, &[update])
}

/// A datagram as foca reads it: its header, and what it says of members.
fn encode(header: &foca::Header<Member>, updates: &[foca::Member<Member>]) -> Option<Vec<u8>> {
    let mut out = Vec::new();
    PostcardCodec.encode_header(header, &mut out).ok()?;
    out.put_u16(updates.len() as u16);
    updates.iter().try_for_each(|u| PostcardCodec.encode_member(u, &mut out)).ok()?;
    Some(out)
}

#[cfg(test)]
mod tests;
