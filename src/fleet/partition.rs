//! Partition detection: decides on which side of a network partition this member is. Does no I/O.
//!
//! The *quorum base* is the set of members of which a majority is required. It contains every member that was ever present,
//! until the member announces that it leaves. Silence alone does not remove a member, as a stopped member cannot be
//! distinguished from an unreachable one. Only a majority removes silent members, after `SILENT_MEMBER_TTL`.
//!
//! A side is the majority if more than half of the quorum base is present, and also more than half of the fleet last
//! *agreed* on. The second condition prevents members that joined on one side only from outvoting the members on the other
//! side. `docs/design/fleet-view.md` has the proof and its limits.
use super::fault_injection::{is_injected, Defect};
use super::member::MAX_MEMBERS;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::time::Duration;

/// Time for which all views must be equal before the fleet is agreed on.
pub const AGREEMENT_DELAY: Duration = Duration::from_secs(1);
/// Time after which a majority removes a silent member from the quorum base. A minority never removes silent members.
pub const SILENT_MEMBER_TTL: Duration = Duration::from_secs(86_400);
/// Maximum size of the quorum base.
const MAX_QUORUM_BASE: usize = 2 * MAX_MEMBERS;

/// The side of a network partition on which a member is, as far as it can determine. Ordered by how much the member knows
/// of the fleet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum PartitionSide {
    /// The member has never agreed on a fleet with other members.
    #[default]
    Unknown,
    /// The member is not on the side of the majority, or cannot determine that it is.
    Minority,
    /// The member is on the side of the majority of the fleet last agreed on.
    Majority,
}

/// The counts that determine the side of a partition.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PartitionStatus {
    /// Number of present members that count for a majority, including this one.
    pub counted: usize,
    /// Size of the quorum base.
    pub quorum_base: usize,
    /// Number of members of the quorum base that are not present: stopped or unreachable.
    pub unreachable: usize,
    /// Size of the fleet last agreed on; 0 if there was no agreement.
    pub agreed: usize,
    /// Whether more than half of the quorum base and more than half of the agreed fleet are present.
    pub is_majority: bool,
}

/// Detects the side of a partition from the names of the members. All times must come from the same clock.
pub struct PartitionDetector {
    agreed_fleet: BTreeSet<String>,
    quorum_base: BTreeSet<String>,
    present: BTreeSet<String>,
    /// Since when all received views are equal.
    views_agree_since: Option<Duration>,
    status: PartitionStatus,
}

impl PartitionDetector {
    /// Creates a detector with the fleet that an earlier incarnation of this member last agreed on.
    pub fn new(agreed_fleet: BTreeSet<String>) -> PartitionDetector {
        PartitionDetector {
            quorum_base: agreed_fleet.clone(),
            agreed_fleet,
            present: BTreeSet::new(),
            views_agree_since: None,
            status: PartitionStatus::default(),
        }
    }

    /// Sets the present members that count for a majority, including this one.
    pub fn set_present(&mut self, present: BTreeSet<String>) {
        for name in &present {
            if self.quorum_base.len() < MAX_QUORUM_BASE && !self.quorum_base.contains(name) {
                self.quorum_base.insert(name.clone());
            }
        }
        if is_injected(Defect::SilenceShrinksQuorumBase) {
            self.quorum_base.clone_from(&present);
        }
        self.present = present;
        self.update_status();
    }

    /// Processes the best side that other members report, and whether all received views are equal. Returns whether a new
    /// fleet was agreed on.
    pub fn observe(&mut self, now: Duration, best_reported_side: PartitionSide, views_agree: bool) -> bool {
        if !views_agree {
            self.views_agree_since = None;
            return false;
        }
        let since = *self.views_agree_since.get_or_insert(now);
        if now - since < AGREEMENT_DELAY || self.agreed_fleet == self.quorum_base {
            return false;
        }
        if !self.may_agree(best_reported_side) {
            return false;
        }
        self.agreed_fleet.clone_from(&self.quorum_base);
        self.update_status();
        true
    }

    fn may_agree(&self, best_reported_side: PartitionSide) -> bool {
        if self.agreed_fleet.is_empty() {
            // A joining member knows no agreed fleet and relies on the members that do. If there are none, the fleet is a
            // new one. Within a minority, a joining member must not agree on a new fleet.
            return best_reported_side != PartitionSide::Minority
                || is_injected(Defect::JoinerAgreesWithinMinority);
        }
        self.status.is_majority
    }

    /// Removes a member that has announced that it leaves.
    pub fn remove_departed(&mut self, name: &str) {
        let was_in_base = self.quorum_base.remove(name);
        let was_agreed = self.agreed_fleet.remove(name);
        if was_in_base || was_agreed {
            self.update_status();
        }
    }

    /// Removes a member that was silent for `SILENT_MEMBER_TTL`, unless this member is in a minority.
    pub fn remove_silent(&mut self, name: &str) {
        if self.status.is_majority {
            self.remove_departed(name);
        }
    }

    /// Returns the counts that determine the side.
    pub fn status(&self) -> PartitionStatus {
        self.status
    }

    fn update_status(&mut self) {
        let present_in_base = self.count_present(&self.quorum_base);
        self.status = PartitionStatus {
            counted: self.present.len(),
            quorum_base: self.quorum_base.len(),
            unreachable: self.quorum_base.len() - present_in_base,
            agreed: self.agreed_fleet.len(),
            is_majority: self.has_majority_of(&self.quorum_base) && self.has_majority_of(&self.agreed_fleet),
        };
    }

    fn count_present(&self, names: &BTreeSet<String>) -> usize {
        names.iter().filter(|name| self.present.contains(*name)).count()
    }

    fn has_majority_of(&self, names: &BTreeSet<String>) -> bool {
        2 * self.count_present(names) > names.len()
    }

    /// Returns the side that this member reports to other members.
    pub fn side(&self) -> PartitionSide {
        if self.agreed_fleet.is_empty() {
            return PartitionSide::Unknown;
        }
        match self.status.is_majority {
            true => PartitionSide::Majority,
            false => PartitionSide::Minority,
        }
    }

    /// Returns the names of the members of the fleet last agreed on.
    pub fn agreed_fleet(&self) -> &BTreeSet<String> {
        &self.agreed_fleet
    }
}

#[cfg(test)]
mod tests;
