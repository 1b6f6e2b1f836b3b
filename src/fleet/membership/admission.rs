//! Filters the updates of received datagrams, so that the membership tables stay bounded.
use super::{encode, Membership};
use crate::fleet::member::{Member, MAX_MEMBERS, MAX_NAME_BYTES};
use foca::{Codec, Message, PostcardCodec};
use std::borrow::Cow;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Size of the update count that follows foca's header, in bytes.
const UPDATE_COUNT_BYTES: usize = 2;

/// The members that the updates of a datagram may add or change.
enum Admission {
    /// There is room: all members.
    Any,
    /// The table or foca's list of departed members is full: only members at these addresses.
    Only(BTreeSet<SocketAddr>),
}

impl Admission {
    fn admits(&self, address: SocketAddr) -> bool {
        match self {
            Admission::Any => true,
            Admission::Only(known) => known.contains(&address),
        }
    }
}

/// A datagram reduced to its admitted updates.
pub(super) struct Admitted<'a> {
    pub(super) sender: SocketAddr,
    pub(super) bytes: Cow<'a, [u8]>,
}

impl Membership {
    /// Filters a datagram; returns `None` if it is to be dropped. Guards against forged members: they can fill the table,
    /// but must not block updates of real members or members that join. The sender is not verified here but by its
    /// certificate on a connection.
    pub(super) fn admit<'a>(&mut self, bytes: &'a [u8]) -> Option<Admitted<'a>> {
        let mut rest = bytes;
        let header: foca::Header<Member> = PostcardCodec.decode_header(&mut rest).ok()?;
        let sender = header.src.address;
        // Only this process has the local address, so such a sender is forged.
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

    /// Returns the members that a datagram from this sender may add or change, or `None` if not even the sender may be
    /// added. In a full table the sender replaces a member that never sent a datagram.
    fn admission_for(&mut self, sender: SocketAddr) -> Option<Admission> {
        let is_full = self.is_full();
        // foca keeps departed members for `REMEMBER_DEPARTED`, so they are bounded as well.
        let is_state_full = self.foca.iter_membership_state().len() >= 2 * MAX_MEMBERS;
        if !is_full && !is_state_full {
            return Some(Admission::Any);
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

    /// Decodes the updates of a datagram and returns the admitted ones, or `None` if they are malformed. Notes the
    /// incarnation of another identity at the local address.
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
