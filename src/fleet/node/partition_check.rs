//! The periodic check: whether the views agree, on which side of a partition this member is, and whether another member has
//! the same name.
use super::{Node, PeerReport};
use crate::fleet::fault_injection::{is_injected, Defect};
use crate::fleet::member::Member;
use crate::fleet::partition::{PartitionSide, SILENT_MEMBER_TTL};
use crate::fleet::view::serialized_name;
use std::collections::BTreeSet;
use std::time::Duration;

/// How long a peer's report of its view is valid.
const PEER_REPORT_TTL: Duration = Duration::from_secs(5);
/// How long a report with another digest counts as a disagreement. An older one may be outdated, as the peer may not have
/// sent another datagram since.
const DISAGREEMENT_TTL: Duration = Duration::from_secs(1);
/// Number of other members that must report an equal view. If there are fewer members, all of them must.
const MAX_REQUIRED_REPORTS: usize = 8;

impl Node {
    /// Returns whether all recently reported views are equal to this one, enough of them were reported, and no member is
    /// suspected.
    pub fn views_agree(&self) -> bool {
        let needed = self.membership.active_count().min(MAX_REQUIRED_REPORTS);
        let mut agreeing = 0;
        for report in self.peer_reports.values() {
            // Reports from before the last change of this view are outdated.
            let is_current = report.received_at >= self.digest_since;
            if !is_current || !self.is_fresh(report, PEER_REPORT_TTL) {
                continue;
            }
            if report.header.digest == self.digest {
                agreeing += 1;
            } else if self.is_fresh(report, DISAGREEMENT_TTL) {
                return false;
            }
        }
        agreeing >= needed && self.suspicions.is_empty()
    }

    fn is_fresh(&self, report: &PeerReport, ttl: Duration) -> bool {
        self.clock.now().saturating_sub(report.received_at) < ttl
    }

    pub(super) fn check(&mut self) {
        self.drop_refuted_suspicions();
        if self.checked_change_count != self.table.change_count() {
            self.checked_change_count = self.table.change_count();
            self.update_counted_members();
            self.check_name_conflict();
        }
        self.remove_silent_members();
        self.update_side();
    }

    fn drop_refuted_suspicions(&mut self) {
        let suspects: BTreeSet<(&Member, u16)> = self.membership.suspects().collect();
        self.suspicions.retain(|member, swim_incarnation| suspects.contains(&(member, swim_incarnation)));
    }

    fn update_counted_members(&mut self) {
        let counted = self
            .table
            .present()
            .filter(|entry| entry.authenticated || is_injected(Defect::UnauthenticatedCount))
            .map(|entry| entry.member.name.clone())
            .collect();
        self.partition.set_present(counted);
    }

    /// Withdraws this member if an authenticated member of the same name supersedes it.
    fn check_name_conflict(&mut self) {
        if self.has_withdrawn || is_injected(Defect::BothKeepName) {
            return;
        }
        let local = self.local_member();
        let superseding = self.table.present().find(|entry| {
            entry.authenticated
                && entry.member.address != local.address
                && entry.member.name == local.name
                && entry.member.supersedes(local)
        });
        let Some(superseding) = superseding else { return };
        log::error!(
            name = local.name, other = superseding.member.address.to_string();
            "another forwarder of this name started later: withdrawing from the fleet; give each forwarder its own name"
        );
        self.has_withdrawn = true;
    }

    fn remove_silent_members(&mut self) {
        let now = self.clock.now();
        let silent: Vec<Member> = self
            .table
            .departed()
            .filter(|entry| now.saturating_sub(entry.state_since) >= SILENT_MEMBER_TTL)
            .map(|entry| entry.member.clone())
            .collect();
        for member in silent {
            self.partition.remove_silent(&member.name);
            self.table.remove(member.address);
        }
    }

    fn update_side(&mut self) {
        let views_agree = self.views_agree();
        let others_side = self.best_reported_side();
        if self.partition.observe(self.clock.now(), others_side, views_agree) {
            let members = self.partition.agreed_fleet().len();
            log::info!(members, digest = format!("{:016x}", self.digest); "agreed on the members of the fleet");
        }
        let side = self.partition.side();
        if side != self.side {
            let status = self.partition.status();
            log::info!(
                side = serialized_name(&side), counted = status.counted, base = status.quorum_base,
                out_of_reach = status.unreachable, last_agreed = status.agreed; "partition side changed"
            );
            self.side = side;
        }
    }

    /// Returns the highest side that authenticated members report.
    fn best_reported_side(&self) -> PartitionSide {
        let mut best = PartitionSide::default();
        for (address, report) in &self.peer_reports {
            let is_counted = self.table.get_present(*address).is_some_and(|entry| entry.authenticated);
            if is_counted && self.is_fresh(report, PEER_REPORT_TTL) {
                best = best.max(report.header.side);
            }
        }
        best
    }
}
