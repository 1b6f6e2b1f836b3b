//! Whether this member is on a side of a cut. Pure.
//!
//! The *base* is who is counted: all that were there, until they said themselves that they leave. Silence takes nobody
//! out of it: whether a member has ended or is cut off cannot be told from here. A side may call itself the majority if
//! more than half of the base are there, and more than half of the fleet as it was last *agreed*: so a joiner that only
//! one side has met gives it no majority over those who have not. `docs/design/fleet-view.md` has the proof and its limit.
use super::fault_injection::broken;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::time::Duration;

/// A view that all share for so long is agreed.
pub const AGREEMENT_DELAY: Duration = Duration::from_secs(1);
/// A majority gives up whom it has not heard for so long; others give up nobody.
pub const FORGET: Duration = Duration::from_secs(86_400);
/// Names in the base.
const BASE_MOST: usize = 2 * super::member::MAX_MEMBERS;

/// What a member says of the side that it is on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum PartitionSide {
    /// It has never agreed with anybody on a fleet.
    #[default]
    Unknown,
    /// It is not the majority, or may not be.
    Minority,
    /// It is the majority of the last agreed fleet.
    Majority,
}

/// Names, as this member counts them. Times are of one clock.
pub struct PartitionDetector {
    agreed: BTreeSet<String>,
    base: BTreeSet<String>,
    /// Who is there now.
    there: BTreeSet<String>,
    /// Since when all views heard are the same.
    same: Option<Duration>,
    standing: PartitionStatus,
}

/// How things stand.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PartitionStatus {
    /// Membership there that count, this one included.
    pub counted: usize,
    /// Membership counted in all: this one, those there, and those out of reach.
    pub base: usize,
    /// Of these, those that have gone without a word: ended or cut off.
    pub out_of_reach: usize,
    /// How many were in the fleet when it was last agreed, none if it never was.
    pub agreed: usize,
    /// More than half of both are here.
    pub majority: bool,
}

impl PartitionDetector {
    /// `last` is the fleet as an earlier life of this member has agreed to it.
    pub fn new(last: BTreeSet<String>) -> PartitionDetector {
        let there = BTreeSet::new();
        PartitionDetector {
            base: last.clone(),
            agreed: last,
            there,
            same: None,
            standing: PartitionStatus::default(),
        }
    }

    /// Takes in who is there now, this one included.
    pub fn there(&mut self, there: BTreeSet<String>) {
        for name in &there {
            if self.base.len() < BASE_MOST && !self.base.contains(name) {
                self.base.insert(name.clone());
            }
        }
        if broken("silence shrinks the base") {
            self.base.clone_from(&there);
        }
        self.there = there;
        self.reckon();
    }

    /// Takes in what the others say of their sides, and whether all views that were heard are the same; says whether the
    /// agreed fleet has changed.
    pub fn look(&mut self, now: Duration, others: PartitionSide, same: bool) -> bool {
        if !same {
            self.same = None;
            return false;
        }
        let since = *self.same.get_or_insert(now);
        if now - since < AGREEMENT_DELAY || self.agreed == self.base {
            return false;
        }
        let may = match self.agreed.is_empty() {
            // Who has just come knows no fleet: it takes the word of one that does. Where nobody does, it is a new one.
            true => others != PartitionSide::Minority || broken("joiner founds a fleet"),
            false => self.standing().majority,
        };
        if !may {
            return false;
        }
        self.agreed.clone_from(&self.base);
        self.reckon();
        true
    }

    /// A member has said that it leaves.
    pub fn left(&mut self, name: &str) {
        if self.base.remove(name) | self.agreed.remove(name) {
            self.reckon();
        }
    }

    /// A member has been silent for `FORGET`.
    pub fn forget(&mut self, name: &str) {
        if self.standing().majority {
            self.left(name);
        }
    }

    /// How things stand.
    pub fn standing(&self) -> PartitionStatus {
        self.standing
    }

    fn reckon(&mut self) {
        let most =
            |of: &BTreeSet<String>| 2 * of.iter().filter(|n| self.there.contains(*n)).count() > of.len();
        self.standing = PartitionStatus {
            base: self.base.len(),
            out_of_reach: self.base.iter().filter(|n| !self.there.contains(*n)).count(),
            counted: self.there.len(),
            agreed: self.agreed.len(),
            majority: most(&self.base) && most(&self.agreed),
        };
    }

    /// What is to be said of it to others.
    pub fn side(&self) -> PartitionSide {
        match (self.agreed.is_empty(), self.standing().majority) {
            (true, _) => PartitionSide::Unknown,
            (_, false) => PartitionSide::Minority,
            (_, true) => PartitionSide::Majority,
        }
    }

    /// The fleet as it was last agreed.
    pub fn agreed(&self) -> &BTreeSet<String> {
        &self.agreed
    }
}

#[cfg(test)]
mod tests;
