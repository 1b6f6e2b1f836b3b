//! Tests of `sides`.
use super::*;
use proptest::prelude::*;

fn names(of: &[u8]) -> BTreeSet<String> {
    of.iter().map(|n| format!("n{n}")).collect()
}

/// Two looks, as far apart as it takes to agree.
fn look(
    sides: &mut PartitionDetector, at: u64, there: &BTreeSet<String>, others: PartitionSide,
) -> PartitionStatus {
    let now = Duration::from_secs(at);
    sides.there(there.clone());
    sides.look(now, others, true);
    sides.look(now + AGREEMENT_DELAY, others, true);
    sides.standing()
}

fn settled(of: &[u8]) -> PartitionDetector {
    let mut sides = PartitionDetector::new(BTreeSet::new());
    look(&mut sides, 0, &names(of), PartitionSide::Unknown);
    assert_eq!(sides.agreed().len(), of.len());
    sides
}

#[test]
fn of_a_cut_fleet_one_side_is_the_majority_and_half_is_none() {
    for (of, here, majority) in [(5, 3, true), (5, 2, false), (4, 2, false), (2, 1, false), (1, 1, true)] {
        let mut sides = settled(&(0..of).collect::<Vec<_>>());
        let here_now = names(&(0..here).collect::<Vec<_>>());
        let standing = look(&mut sides, 10, &here_now, PartitionSide::Unknown);
        assert_eq!(standing.majority, majority, "{here} of {of}");
        assert_eq!(standing.out_of_reach, usize::from(of - here));
    }
}

#[test]
fn one_that_never_agreed_with_anybody_is_no_majority() {
    let mut sides = PartitionDetector::new(BTreeSet::new());
    sides.there(names(&[0, 1, 2]));
    assert!(!sides.standing().majority);
    assert_eq!(sides.side(), PartitionSide::Unknown);
}

/// One that left and came back, on the smaller side of a cut: it does not found a fleet of its own there.
#[test]
fn a_joiner_takes_the_word_of_those_who_know_the_fleet() {
    for (others, agreed) in
        [(PartitionSide::Minority, 0), (PartitionSide::Majority, 3), (PartitionSide::Unknown, 3)]
    {
        let mut joiner = PartitionDetector::new(BTreeSet::new());
        look(&mut joiner, 0, &names(&[0, 1, 2]), others);
        assert_eq!(joiner.agreed().len(), agreed, "{others:?}");
    }
}

#[test]
fn silence_takes_nobody_out_and_a_word_does() {
    let mut sides = settled(&[0, 1, 2, 3]);
    let here = names(&[0, 1]);
    for n in 0..100 {
        look(&mut sides, 10 + n, &here, PartitionSide::Unknown);
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
    let standing = look(&mut sides, 10, &names(&[0, 1, 10, 11, 12, 13]), PartitionSide::Unknown);
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
        let mut sides: Vec<PartitionDetector> = all.iter().map(|_| settled(&all)).collect();
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
                if look(own, 10 + 5 * step as u64, &names(&there), PartitionSide::Unknown).majority {
                    claims.insert(side(*n));
                }
            }
            prop_assert!(claims.len() < 2, "{claims:?}");
        }
    }
}
