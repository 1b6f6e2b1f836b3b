//! Builds the view of the fleet for people and programs.
use super::Node;
use crate::fleet::member::Member;
use crate::fleet::member_table::MemberEntry;
use crate::fleet::partition::PartitionSide;
use crate::fleet::view::{FleetView, MemberState, MemberView};
use std::collections::BTreeSet;
use std::time::Duration;

impl Node {
    /// Returns the current view of the fleet.
    pub fn view(&self, now: Duration) -> FleetView {
        let now = now.max(self.clock.now());
        let suspects: BTreeSet<&Member> = self.membership.suspects().map(|(suspect, _)| suspect).collect();
        let mut members: Vec<MemberView> =
            self.table.iter().map(|entry| self.member_view(entry, &suspects, now)).collect();
        members.sort_by(|a, b| (&a.name, &a.address).cmp(&(&b.name, &b.address)));
        let status = self.partition.status();
        FleetView {
            observer: self.local_member().name.clone(),
            digest: format!("{:016x}", self.digest),
            agreed: self.views_agree(),
            side: self.partition.side(),
            counted: status.counted,
            out_of_reach: status.unreachable,
            last_agreed: status.agreed,
            members,
        }
    }

    fn member_view(&self, entry: &MemberEntry, suspects: &BTreeSet<&Member>, now: Duration) -> MemberView {
        let secs_since = |at: Duration| now.saturating_sub(at).as_secs_f64();
        let state = self.member_state(entry, suspects);
        let attributes = entry.attributes.clone().unwrap_or_default();
        MemberView {
            name: entry.member.name.clone(),
            address: entry.member.address.to_string(),
            incarnation: entry.member.incarnation,
            state,
            state_age_secs: secs_since(entry.state_since),
            last_contact_secs_ago: entry.last_contact.map(secs_since),
            counted: entry.authenticated && !entry.departed && state != MemberState::Superseded,
            attributes_age_secs: entry.attributes.as_ref().map(|_| secs_since(entry.published_at)),
            zone: attributes.zone,
            version: attributes.version,
            // The lower half of the digest is enough for people to compare.
            settings_digest: format!("{:08x}", attributes.settings_digest as u32),
            settings_epoch: attributes.settings_epoch,
            list_version: attributes.list_version,
            started: attributes.started,
            side: self.reported_side(entry),
        }
    }

    fn member_state(&self, entry: &MemberEntry, suspects: &BTreeSet<&Member>) -> MemberState {
        if entry.left_gracefully() {
            return MemberState::Left;
        }
        if entry.departed {
            return MemberState::Dead;
        }
        if self.table.present().any(|other| supersedes_by_name(other, entry)) {
            return MemberState::Superseded;
        }
        if suspects.contains(&entry.member) {
            return MemberState::Suspect;
        }
        if entry.attributes.as_ref().is_some_and(|a| a.draining) {
            return MemberState::Draining;
        }
        let is_local = entry.member.address == self.local_member().address;
        if !is_local && entry.last_contact.is_none() {
            return MemberState::Joining;
        }
        MemberState::Alive
    }

    fn reported_side(&self, entry: &MemberEntry) -> PartitionSide {
        if entry.member == *self.local_member() {
            return self.side;
        }
        match self.peer_reports.get(&entry.member.address) {
            Some(report) => report.header.side,
            None => PartitionSide::Unknown,
        }
    }
}

fn supersedes_by_name(other: &MemberEntry, entry: &MemberEntry) -> bool {
    other.authenticated && other.member.name == entry.member.name && other.member.supersedes(&entry.member)
}
