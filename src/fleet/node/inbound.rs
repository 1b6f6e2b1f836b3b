//! Processes messages received from other members.
use super::{Node, PeerReport};
use crate::fleet::fault_injection::{is_injected, Defect};
use crate::fleet::member::Member;
use crate::fleet::membership::Presence;
use crate::fleet::wire::{Header, Message, Record, DIGEST_BUCKETS};
use rand::Rng;
use std::net::SocketAddr;

impl Node {
    /// Processes a message, notes the view that its header reports, and compares the views.
    pub(super) fn handle_message(&mut self, header: Header, message: Message) {
        let Some(sender) = self.dispatch(message) else { return };
        let now = self.clock.now();
        self.table.mark_contact(now, sender);
        if self.table.get_present(sender).is_some() {
            self.peer_reports.insert(sender, PeerReport { header, received_at: now });
            self.compare_views(sender, header.digest);
        }
    }

    /// Processes a message and returns its sender, or `None` if the message does not count as a contact with the sender.
    fn dispatch(&mut self, message: Message) -> Option<SocketAddr> {
        match message {
            Message::Swim(bytes) => {
                let effects = self.membership.handle_datagram(&bytes);
                let sender = effects.sender;
                self.apply_effects(effects);
                sender
            }
            Message::Digests { from, digests, is_reply } => {
                self.handle_digests(from.address, &digests, is_reply)
            }
            Message::Records { from, records } => {
                for record in &records {
                    self.apply_record(record);
                }
                Some(from.address)
            }
            Message::Suspicion { from, suspect, swim_incarnation } => {
                self.handle_suspicion(&from, &suspect, swim_incarnation)
            }
        }
    }

    fn handle_digests(&mut self, sender: SocketAddr, digests: &[u64], is_reply: bool) -> Option<SocketAddr> {
        // Responds to members only: a response is larger than the request, so a forged sender address could direct a flood
        // of responses at another host.
        self.table.get_present(sender)?;
        if !is_reply && digests != self.table.bucket_digests() {
            self.send_digests(sender, true);
        }
        let first_bucket = self.random.random_range(0..DIGEST_BUCKETS);
        let records = self.table.differing_records(self.clock.now(), digests, first_bucket);
        self.send_response_records(sender, records);
        Some(sender)
    }

    fn handle_suspicion(
        &mut self, from: &Member, suspect: &Member, swim_incarnation: u16,
    ) -> Option<SocketAddr> {
        let sender = self.table.get_present(from.address)?;
        if sender.member != *from {
            return None;
        }
        let effects = self.membership.apply_suspicion(suspect, swim_incarnation);
        self.apply_effects(effects);
        if self.membership.suspected_incarnation(suspect) == Some(swim_incarnation) {
            self.suspicions.confirm(self.clock.active(), suspect, swim_incarnation, from.address);
        }
        Some(from.address)
    }

    fn apply_record(&mut self, record: &Record) {
        if record.member.address == self.local_member().address {
            self.apply_record_about_self(record);
            return;
        }
        if self.changes_membership(record) {
            self.apply_claim(record);
        }
        let address = record.member.address;
        if self.table.apply_record(self.clock.now(), record) {
            self.queue_record(address);
        }
        if let Some(entry) = self.table.get(address).filter(|entry| entry.left_gracefully()) {
            self.partition.remove_departed(&entry.member.name);
        }
    }

    /// Refutes or overrides a record that contradicts this member's own entry, which no other member may change.
    fn apply_record_about_self(&mut self, record: &Record) {
        let local_entry = self.table.local_entry();
        if record.member != local_entry.member || record.departed {
            self.apply_claim(record);
            return;
        }
        let differs = record.revision > local_entry.revision
            || record.revision == local_entry.revision && record.attributes != local_entry.attributes;
        let is_forged = differs && record.attributes.is_some();
        if is_forged && !is_injected(Defect::ForgedAttributesKept) {
            self.publish_local_entry(record.revision);
        }
    }

    /// Returns whether a record changes the membership: an incarnation departed, or a new or higher one is present.
    fn changes_membership(&self, record: &Record) -> bool {
        match self.table.get(record.member.address) {
            Some(entry) if entry.member == record.member => record.departed && !entry.departed,
            Some(entry) => record.member.supersedes(&entry.member) && (!record.departed || !entry.departed),
            None => !record.departed && !self.membership.is_full(),
        }
    }

    fn apply_claim(&mut self, record: &Record) {
        let presence = match record.departed {
            true => Presence::Departed,
            false => Presence::Present,
        };
        let effects = self.membership.apply_claim(&record.member, presence);
        self.apply_effects(effects);
    }
}
