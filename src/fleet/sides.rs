//! Whether this member is on a side of a cut. Pure.
//!
//! The *base* is who is counted: all that were there, until they said themselves that they leave. Silence takes nobody
//! out of it: whether a member has ended or is cut off cannot be told from here. A side may call itself the majority if
//! more than half of the base are there, and more than half of the fleet as it was last *agreed*: so a joiner that only
//! one side has met gives it no majority over those who have not. `docs/design/fleet-view.md` has the proof and its limit.
use super::seeded::broken;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::time::Duration;

/// A view that all share for so long is agreed.
pub const AGREED_AFTER: Duration = Duration::from_secs(1);
/// A majority gives up whom it has not heard for so long; others give up nobody.
pub const FORGET: Duration = Duration::from_secs(86_400);
/// Names in the base.
const BASE_MOST: usize = 2 * super::members::MEMBERS_MOST;

/// What a member says of the side that it is on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Side {
    /// It has never agreed with anybody on a fleet.
    #[default]
    Unknown,
    /// It is not the majority, or may not be.
    Minority,
    /// It is the majority of the last agreed fleet.
    Majority,
}

/// Names, as this member counts them. Times are of one clock.
pub struct Sides {
    agreed: BTreeSet<String>,
    base: BTreeSet<String>,
    /// Who is there now.
    there: BTreeSet<String>,
    /// Since when all views heard are the same.
    same: Option<Duration>,
    standing: Standing,
}

/// How things stand.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Standing {
    /// Members there that count, this one included.
    pub counted: usize,
    /// Members counted in all: this one, those there, and those out of reach.
    pub base: usize,
    /// Of these, those that have gone without a word: ended or cut off.
    pub out_of_reach: usize,
    /// How many were in the fleet when it was last agreed, none if it never was.
    pub agreed: usize,
    /// More than half of both are here.
    pub majority: bool,
}

impl Sides {
    /// `last` is the fleet as an earlier life of this member has agreed to it.
    pub fn new(last: BTreeSet<String>) -> Sides {
        let there = BTreeSet::new();
        Sides { base: last.clone(), agreed: last, there, same: None, standing: Standing::default() }
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
    pub fn look(&mut self, now: Duration, others: Side, same: bool) -> bool {
        if !same {
            self.same = None;
            return false;
        }
        let since = *self.same.get_or_insert(now);
        if now - since < AGREED_AFTER || self.agreed == self.base {
            return false;
        }
        let may = match self.agreed.is_empty() {
            // Who has just come knows no fleet: it takes the word of one that does. Where nobody does, it is a new one.
            true => others != Side::Minority || broken("joiner founds a fleet"),
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
    pub fn standing(&self) -> Standing {
        self.standing
    }

    fn reckon(&mut self) {
        let most =
            |of: &BTreeSet<String>| 2 * of.iter().filter(|n| self.there.contains(*n)).count() > of.len();
        self.standing = Standing {
            base: self.base.len(),
            out_of_reach: self.base.iter().filter(|n| !self.there.contains(*n)).count(),
            counted: self.there.len(),
            agreed: self.agreed.len(),
            majority: most(&self.base) && most(&self.agreed),
        };
    }

    /// What is to be said of it to others.
    pub fn side(&self) -> Side {
        match (self.agreed.is_empty(), self.standing().majority) {
            (true, _) => Side::Unknown,
            (_, false) => Side::Minority,
            (_, true) => Side::Majority,
        }
    }

    /// The fleet as it was last agreed.
    pub fn agreed(&self) -> &BTreeSet<String> {
        &self.agreed
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn names(of: &[u8]) -> BTreeSet<String> {
        of.iter().map(|n| format!("n{n}")).collect()
    }

    /// Two looks, as far apart as it takes to agree.
    fn look(sides: &mut Sides, at: u64, there: &BTreeSet<String>, others: Side) -> Standing {
        let now = Duration::from_secs(at);
        sides.there(there.clone());
        sides.look(now, others, true);
        sides.look(now + AGREED_AFTER, others, true);
        sides.standing()
    }

    fn settled(of: &[u8]) -> Sides {
        let mut sides = Sides::new(BTreeSet::new());
        look(&mut sides, 0, &names(of), Side::Unknown);
        assert_eq!(sides.agreed().len(), of.len());
        sides
    }

    #[test]
    fn of_a_cut_fleet_one_side_is_the_majority_and_half_is_none() {
        for (of, here, majority) in [(5, 3, true), (5, 2, false), (4, 2, false), (2, 1, false), (1, 1, true)]
        {
            let mut sides = settled(&(0..of).collect::<Vec<_>>());
            let here_now = names(&(0..here).collect::<Vec<_>>());
            let standing = look(&mut sides, 10, &here_now, Side::Unknown);
            assert_eq!(standing.majority, majority, "{here} of {of}");
            assert_eq!(standing.out_of_reach, usize::from(of - here));
        }
    }

    #[test]
    fn one_that_never_agreed_with_anybody_is_no_majority() {
        let mut sides = Sides::new(BTreeSet::new());
        sides.there(names(&[0, 1, 2]));
        assert!(!sides.standing().majority);
        assert_eq!(sides.side(), Side::Unknown);
    }

    /// One that left and came back, on the smaller side of a cut: it does not found a fleet of its own there.
    #[test]
    fn a_joiner_takes_the_word_of_those_who_know_the_fleet() {
        for (others, agreed) in [(Side::Minority, 0), (Side::Majority, 3), (Side::Unknown, 3)] {
            let mut joiner = Sides::new(BTreeSet::new());
            look(&mut joiner, 0, &names(&[0, 1, 2]), others);
            assert_eq!(joiner.agreed().len(), agreed, "{others:?}");
        }
    }

    #[test]
    fn silence_takes_nobody_out_and_a_word_does() {
        let mut sides = settled(&[0, 1, 2, 3]);
        let here = names(&[0, 1]);
        for n in 0..100 {
            look(&mut sides, 10 + n, &here, Side::Unknown);
        }
        let standing = sides.standing();
        assert_eq!((standing.base, standing.out_of_reach, standing.majority), (4, 2, false));
        sides.forget("n3");
        assert_eq!(sides.standing().base, 4, "a minority gives nobody up");
        sides.left("n3");
        let standing = sides.standing();
        assert_eq!((standing.base, standing.out_of_reach, standing.majority), (3, 1, true));
        sides.forget("n2");
        assert_eq!(sides.standing().base, 2, "a majority does, in time");
    }

    /// A joiner that only one side has met gives it no majority.
    #[test]
    fn joiners_of_one_side_do_not_outvote_the_fleet() {
        let mut sides = settled(&[0, 1, 2, 3, 4]);
        let standing = look(&mut sides, 10, &names(&[0, 1, 10, 11, 12, 13]), Side::Unknown);
        assert!(!standing.majority);
        assert_eq!(sides.agreed().len(), 5, "no majority of the agreed five");
    }

    proptest! {
        /// However a fleet is cut, once or again, and whoever says that it leaves on its side: two sides are never both
        /// the majority.
        #[test]
        fn two_sides_are_never_both_the_majority(
            count in 1..12u8, steps in prop::collection::vec((any::<u16>(), any::<u16>()), 1..8),
        ) {
            let all: Vec<u8> = (0..count).collect();
            let mut sides: Vec<Sides> = all.iter().map(|_| settled(&all)).collect();
            let mut here: BTreeSet<u8> = all.iter().copied().collect();
            for (step, (cut, leave)) in steps.into_iter().enumerate() {
                let side = |n: u8| cut >> n & 1;
                let leaves = |n: &u8| leave >> n & 1 == 1 && leave % 3 == 0;
                let gone: Vec<u8> = here.iter().copied().filter(leaves).collect();
                here.retain(|n| !gone.contains(n));
                let mut claims = BTreeSet::new();
                for n in &here {
                    let own = &mut sides[usize::from(*n)];
                    // Only its own side hears a word.
                    gone.iter().filter(|g| side(**g) == side(*n)).for_each(|g| own.left(&format!("n{g}")));
                    let there: Vec<u8> = here.iter().copied().filter(|m| side(*m) == side(*n)).collect();
                    if look(own, 10 + 5 * step as u64, &names(&there), Side::Unknown).majority {
                        claims.insert(side(*n));
                    }
                }
                prop_assert!(claims.len() < 2, "{claims:?}");
            }
        }
    }
}
