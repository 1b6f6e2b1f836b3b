//! Decides on which side of a network partition this member is. Pure.
//!
//! The *quorum base* is the set of members that a majority is taken of: all that were ever present, until they announce
//! that they leave. Silence removes nobody: from here a member that ended and one that is cut off look the same. A side
//! may call itself the majority if more than half of the quorum base is present, and more than half of the fleet as it
//! was last *agreed*: so members that joined on one side only do not help it outvote the members on the other.
//! `docs/design/fleet-view.md` has the proof and its limit.
use super::fault_injection::{is_injected, Defect};
use super::member::MAX_MEMBERS;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::time::Duration;

/// The fleet is agreed once all views have been the same for this long.
pub const AGREEMENT_DELAY: Duration = Duration::from_secs(1);
/// A majority removes members that were silent for this long from the quorum base; a minority removes nobody.
pub const SILENT_MEMBER_TTL: Duration = Duration::from_secs(86_400);
/// Bound of the quorum base.
const MAX_QUORUM_BASE: usize = 2 * MAX_MEMBERS;

/// The side of a partition that a member takes itself to be on. Ordered by how much it knows of the fleet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum PartitionSide {
    /// It has never agreed with anybody on a fleet.
    #[default]
    Unknown,
    /// It is not on the majority's side, or cannot know that it is.
    Minority,
    /// It is on the side of the majority of the fleet last agreed.
    Majority,
}

/// Counts behind the side.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PartitionStatus {
    /// Members that are present and count, this one included.
    pub counted: usize,
    /// Size of the quorum base.
    pub quorum_base: usize,
    /// Members of the quorum base that fell silent: ended or cut off.
    pub unreachable: usize,
    /// Size of the fleet when it was last agreed, 0 if it never was.
    pub agreed: usize,
    /// More than half of the quorum base and of the agreed fleet is present.
    pub is_majority: bool,
}

/// Members by name, as this member counts them. Times are of any one clock.
pub struct PartitionDetector {
    agreed_fleet: BTreeSet<String>,
    quorum_base: BTreeSet<String>,
    present: BTreeSet<String>,
    /// Since when all views received are the same.
    views_agree_since: Option<Duration>,
    status: PartitionStatus,
}

impl PartitionDetector {
    /// Begins with the fleet as an earlier incarnation of this member last agreed on it.
    pub fn new(agreed_fleet: BTreeSet<String>) -> PartitionDetector {
        PartitionDetector {
            quorum_base: agreed_fleet.clone(),
            agreed_fleet,
            present: BTreeSet::new(),
            views_agree_since: None,
            status: PartitionStatus::default(),
        }
    }

    /// Sets who is present and counts, this member included.
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

    /// Takes in the best side that others report, and whether all views received are the same. Returns whether a new
    /// fleet was agreed by that.
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
            // A member that joins knows no fleet and relies on those that do. If nobody does, the fleet is a new one. It
            // must not found one within a minority.
            return best_reported_side != PartitionSide::Minority || is_injected(Defect::JoinerFoundsFleet);
        }
        self.status.is_majority
    }

    /// A member has announced that it leaves.
    pub fn remove_departed(&mut self, name: &str) {
        let was_in_base = self.quorum_base.remove(name);
        let was_agreed = self.agreed_fleet.remove(name);
        if was_in_base || was_agreed {
            self.update_status();
        }
    }

    /// A member has been silent for `SILENT_MEMBER_TTL`. A minority keeps it in the quorum base.
    pub fn remove_silent(&mut self, name: &str) {
        if self.status.is_majority {
            self.remove_departed(name);
        }
    }

    /// The counts behind the side.
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

    /// The side that this member reports to others.
    pub fn side(&self) -> PartitionSide {
        if self.agreed_fleet.is_empty() {
            return PartitionSide::Unknown;
        }
        match self.status.is_majority {
            true => PartitionSide::Majority,
            false => PartitionSide::Minority,
        }
    }

    /// The fleet as it was last agreed.
    pub fn agreed_fleet(&self) -> &BTreeSet<String> {
        &self.agreed_fleet
    }
}

#[cfg(test)]
mod tests;
