//! Leaving the fleet: first draining, then the goodbye.
use super::{Node, OutgoingDatagram};
use crate::fleet::fault_injection::{is_injected, Defect};
use crate::fleet::wire::{Attributes, Message};
use std::time::Duration;

impl Node {
    /// This member is shutting down: the others learn at once that it takes nothing new.
    pub fn drain(&mut self, now: Duration) {
        self.begin_call(now);
        self.set_attributes(Attributes { draining: true, ..self.attributes.clone() });
        self.send_local_record();
        self.end_call();
    }

    /// Leaves the fleet; nothing is to be called after it. The datagrams may be lost: they are to be sent several times.
    pub fn leave(&mut self, now: Duration) -> Vec<OutgoingDatagram> {
        if !is_injected(Defect::LeaveNotAnnounced) {
            self.drain(now);
        }
        let effects = self.membership.leave();
        self.apply_effects(effects);
        self.take_outgoing()
    }

    /// Sends this member's record directly to members that have sent datagrams themselves.
    fn send_local_record(&mut self) {
        let records = vec![self.table.local_entry().to_record(self.clock.now())];
        let message = Message::Records { from: self.local_member().clone(), records };
        for member in self.membership.direct_members() {
            self.send(member.address, &message);
        }
    }
}
