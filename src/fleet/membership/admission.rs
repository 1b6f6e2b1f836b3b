//! Decides which updates of a received datagram membership takes in, so that its tables stay bounded.
use super::{encode, Membership};
use crate::fleet::member::{Member, MAX_MEMBERS, MAX_NAME_BYTES};
use foca::{Codec, Message, PostcardCodec};
use std::borrow::Cow;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Size of the count of updates behind foca's header, in bytes.
const UPDATE_COUNT_BYTES: usize = 2;

/// Which members a datagram may bring into the table.
enum Admission {
    /// There is room for all.
    Anyone,
    /// There is no room: only members at these addresses.
    Only(BTreeSet<SocketAddr>),
}

impl Admission {
    fn admits(&self, address: SocketAddr) -> bool {
        match self {
            Admission::Anyone => true,
            Admission::Only(known) => known.contains(&address),
        }
    }
}

/// A datagram with the updates that are taken in.
pub(super) struct Admitted<'a> {
    pub(super) sender: SocketAddr,
    pub(super) bytes: Cow<'a, [u8]>,
}

impl Membership {
    /// Filters a datagram. Guards against forged members: they may fill the table, but must neither keep updates of real
    /// members out nor shut out those that join. The sender is what the datagram states; whom to trust is decided
    /// elsewhere.
    pub(super) fn admit<'a>(&mut self, bytes: &'a [u8]) -> Option<Admitted<'a>> {
        let mut rest = bytes;
        let header: foca::Header<Member> = PostcardCodec.decode_header(&mut rest).ok()?;
        let sender = header.src.address;
        // No other process has this member's address.
        if sender == self.local_address || header.src.name.len() > MAX_NAME_BYTES {
            return None;
        }
        self.note_direct_sender(sender);
        let admission = self.admission_for(sender)?;
        if rest.len() < UPDATE_COUNT_BYTES || header.message == Message::Broadcast {
            return Some(Admitted { sender, bytes: bytes.into() });
        }
        let (count, mut rest) = rest.split_at(UPDATE_COUNT_BYTES);
        let count = u16::from_be_bytes([count[0], count[1]]);
        let admitted = self.admitted_updates(count, &mut rest, &admission)?;
        if admitted.len() == usize::from(count) {
            return Some(Admitted { sender, bytes: bytes.into() });
        }
        let mut filtered = encode(&header, &admitted)?;
        filtered.extend(rest);
        Some(Admitted { sender, bytes: filtered.into() })
    }

    fn note_direct_sender(&mut self, sender: SocketAddr) {
        if self.direct_senders.len() >= 2 * MAX_MEMBERS {
            let active = self.active_addresses();
            self.direct_senders.retain(|address| active.contains(address));
        }
        self.direct_senders.insert(sender);
    }

    /// Whom a datagram of this sender may bring into the table; none if not even the sender. In a full table the sender
    /// takes the place of a member that never sent a datagram.
    fn admission_for(&mut self, sender: SocketAddr) -> Option<Admission> {
        let is_full = self.is_full();
        // foca keeps departed members for a while: these are bounded as well.
        let is_state_full = self.foca.iter_membership_state().len() >= 2 * MAX_MEMBERS;
        if !is_full && !is_state_full {
            return Some(Admission::Anyone);
        }
        let mut known = self.active_addresses();
        if is_full && !known.contains(&sender) {
            let replaced = self.first_indirect_member()?;
            if is_state_full {
                return None;
            }
            known.remove(&replaced.address);
            known.insert(sender);
            let update = foca::Member::new(replaced, 0, foca::State::Down);
            self.foca.apply_many(std::iter::once(update), false, &mut self.runtime).ok()?;
        }
        Some(Admission::Only(known))
    }

    fn first_indirect_member(&self) -> Option<Member> {
        let indirect = self.foca.iter_members().find(|m| !self.direct_senders.contains(&m.id().address))?;
        Some(indirect.id().clone())
    }

    /// Reads the updates of a datagram and gives those that are admitted; none if they are malformed. What they say of
    /// this member's address is noted here.
    fn admitted_updates(
        &mut self, count: u16, bytes: &mut &[u8], admission: &Admission,
    ) -> Option<Vec<foca::Member<Member>>> {
        let mut admitted = Vec::new();
        for _ in 0..count {
            let update: foca::Member<Member> = PostcardCodec.decode_member(&mut *bytes).ok()?;
            let member = update.id();
            if member.address == self.local_address && member != self.foca.identity() {
                self.note_incarnation_at_local_address(member.incarnation);
            } else if member.name.len() <= MAX_NAME_BYTES && admission.admits(member.address) {
                admitted.push(update);
            }
        }
        Some(admitted)
    }
}
