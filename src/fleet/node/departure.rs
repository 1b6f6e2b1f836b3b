//! Leaving the fleet: draining, then the leave messages.
use super::{Node, OutgoingDatagram};
use crate::fleet::fault_injection::{is_injected, Defect};
use crate::fleet::wire::{Attributes, Message};
use std::time::Duration;

impl Node {
    /// Starts to drain this member, and notifies other members at once that it accepts no new messages.
    pub fn drain(&mut self, now: Duration) {
        self.begin_call(now);
        self.set_attributes(Attributes { draining: true, ..self.attributes.clone() });
        self.send_local_record();
        self.end_call();
    }

    /// Leaves the fleet and returns the leave messages. The caller sends them several times, as datagrams may be lost, and
    /// must not call the node again.
    pub fn leave(&mut self, now: Duration) -> Vec<OutgoingDatagram> {
        if !is_injected(Defect::LeaveNotAnnounced) {
            self.drain(now);
        }
        let effects = self.membership.leave();
        self.apply_effects(effects);
        self.take_outgoing()
    }

    /// Sends the record of this member directly to members that have sent datagrams to it.
    fn send_local_record(&mut self) {
        let records = vec![self.table.local_entry().to_record(self.clock.now())];
        let message = Message::Records { from: self.local_member().clone(), records };
        for member in self.membership.direct_members() {
            self.send(member.address, &message);
        }
    }
}
