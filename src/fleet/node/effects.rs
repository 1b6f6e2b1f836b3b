//! Executes the actions that membership returns.
use super::Node;
use crate::fleet::member::Member;
use crate::fleet::member_table::MemberEntry;
use crate::fleet::membership::{Change, Effects, SwimMessage, SwimTimer};
use crate::fleet::wire::Message;

impl Node {
    pub(super) fn apply_effects(&mut self, effects: Effects) {
        for message in effects.messages {
            self.send_swim(message);
        }
        for probed in &effects.failed_probes {
            self.handle_probe_failure(probed);
        }
        for timer in effects.timers {
            self.set_swim_timer(timer);
        }
        for change in &effects.changes {
            self.apply_change(change);
        }
    }

    fn send_swim(&mut self, message: SwimMessage) {
        self.send(message.to, &Message::Swim(message.bytes));
    }

    fn handle_probe_failure(&mut self, probed: &Member) {
        self.suspicions.note_probe_failure(probed);
        // `None` if the member has refuted another suspicion since the probe started. The recipients of a notice would then
        // suspect the member in its new SWIM incarnation while foca here does not, and the member would not be notified.
        // At 15% datagram loss, one of twelve live members was declared dead in this way.
        let Some(swim_incarnation) = self.membership.suspected_incarnation(probed) else { return };
        let message = Message::Suspicion {
            from: self.local_member().clone(),
            suspect: probed.clone(),
            swim_incarnation,
        };
        for recipient in self.suspicion_recipients(probed) {
            self.send(recipient, &message);
        }
    }

    fn set_swim_timer(&mut self, SwimTimer { after, timer }: SwimTimer) {
        let after = match &timer {
            foca::Timer::ChangeSuspectToDown { member_id, incarnation, .. } => {
                let suspect = member_id.clone();
                let swim_incarnation = *incarnation;
                self.begin_suspicion(&suspect, swim_incarnation, timer);
                return;
            }
            foca::Timer::ProbeRandomMember(_) | foca::Timer::SendIndirectProbe { .. } => {
                after * self.suspicions.probe_multiplier()
            }
            _ => after,
        };
        self.timers.insert(self.clock.active() + after, timer);
    }

    /// Starts the suspicion of a member that foca suspects, keeps foca's timer until the suspicion expires, and notifies the
    /// suspect.
    fn begin_suspicion(&mut self, suspect: &Member, swim_incarnation: u16, timer: foca::Timer<Member>) {
        log::info!(neighbour = suspect.name; "member is suspected");
        self.suspicion_count += 1;
        self.suspicions.suspect(self.clock.active(), suspect, swim_incarnation, timer);
        if let Some(notice) = self.membership.suspicion_notice(suspect) {
            self.send_swim(notice);
        }
    }

    fn apply_change(&mut self, change: &Change) {
        match change {
            Change::Up(member) => {
                self.table.mark_present(self.clock.now(), member);
                self.announcer.forget(member.address);
            }
            Change::Down(member) => {
                self.table.mark_departed(self.clock.now(), member);
                self.peer_reports.remove(&member.address);
                self.announcer.remember(member.address);
                if self.table.get(member.address).is_some_and(MemberEntry::left_gracefully) {
                    self.partition.remove_departed(&member.name);
                }
            }
        }
        self.queue_membership_updates();
    }
}
