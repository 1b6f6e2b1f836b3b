//! Tests of `partition`.
use super::*;
use proptest::prelude::*;

fn names(members: &[u8]) -> BTreeSet<String> {
    members.iter().map(|n| format!("n{n}")).collect()
}

/// Makes two observations that are `AGREEMENT_DELAY` apart.
fn observe(
    detector: &mut PartitionDetector, at_secs: u64, present: &BTreeSet<String>, others_side: PartitionSide,
) -> PartitionStatus {
    let now = Duration::from_secs(at_secs);
    detector.set_present(present.clone());
    detector.observe(now, others_side, true);
    detector.observe(now + AGREEMENT_DELAY, others_side, true);
    detector.status()
}

fn agreed_on(members: &[u8]) -> PartitionDetector {
    let mut detector = PartitionDetector::new(BTreeSet::new());
    observe(&mut detector, 0, &names(members), PartitionSide::Unknown);
    assert_eq!(detector.agreed_fleet().len(), members.len());
    detector
}

#[test]
fn more_than_half_is_a_majority_and_exactly_half_is_not() {
    for (members, present, is_majority) in
        [(5, 3, true), (5, 2, false), (4, 2, false), (2, 1, false), (1, 1, true)]
    {
        let mut detector = agreed_on(&(0..members).collect::<Vec<_>>());
        let present_names = names(&(0..present).collect::<Vec<_>>());
        let status = observe(&mut detector, 10, &present_names, PartitionSide::Unknown);
        assert_eq!(status.is_majority, is_majority, "{present} of {members}");
        assert_eq!(status.unreachable, usize::from(members - present));
    }
}

#[test]
fn a_member_that_never_agreed_reports_no_majority() {
    let mut detector = PartitionDetector::new(BTreeSet::new());
    detector.set_present(names(&[0, 1, 2]));
    assert!(!detector.status().is_majority);
    assert_eq!(detector.side(), PartitionSide::Unknown);
}

/// A member that left and returned within a minority must not agree on a new fleet there.
#[test]
fn a_joining_member_agrees_on_no_fleet_within_a_minority() {
    for (others, agreed) in
        [(PartitionSide::Minority, 0), (PartitionSide::Majority, 3), (PartitionSide::Unknown, 3)]
    {
        let mut joiner = PartitionDetector::new(BTreeSet::new());
        observe(&mut joiner, 0, &names(&[0, 1, 2]), others);
        assert_eq!(joiner.agreed_fleet().len(), agreed, "{others:?}");
    }
}

#[test]
fn a_silent_member_stays_in_the_quorum_base_and_a_leaving_one_is_removed() {
    let mut detector = agreed_on(&[0, 1, 2, 3]);
    let present = names(&[0, 1]);
    for n in 0..100 {
        observe(&mut detector, 10 + n, &present, PartitionSide::Unknown);
    }
    let status = detector.status();
    assert_eq!((status.quorum_base, status.unreachable, status.is_majority), (4, 2, false));
    detector.remove_silent("n3");
    assert_eq!(detector.status().quorum_base, 4, "a minority keeps silent members");
    detector.remove_departed("n3");
    let status = detector.status();
    assert_eq!((status.quorum_base, status.unreachable, status.is_majority), (3, 1, true));
    detector.remove_silent("n2");
    assert_eq!(detector.status().quorum_base, 2, "a majority removes silent members");
}

/// Members that joined on one side of a partition must not make that side the majority.
#[test]
fn members_that_joined_on_one_side_do_not_outvote_the_agreed_fleet() {
    let mut detector = agreed_on(&[0, 1, 2, 3, 4]);
    let status = observe(&mut detector, 10, &names(&[0, 1, 10, 11, 12, 13]), PartitionSide::Unknown);
    assert!(!status.is_majority);
    assert_eq!(detector.agreed_fleet().len(), 5, "not a majority of the agreed five");
}

proptest! {
    /// After any sequence of partitions, with members that leave on their side, at most one side is the majority.
    #[test]
    fn two_sides_are_never_both_the_majority(
        count in 1..12u8, steps in prop::collection::vec((any::<u16>(), any::<u16>()), 1..8),
    ) {
        let all: Vec<u8> = (0..count).collect();
        let mut detectors: Vec<PartitionDetector> = all.iter().map(|_| agreed_on(&all)).collect();
        let mut running: BTreeSet<u8> = all.iter().copied().collect();
        for (step, (partition, leave)) in steps.into_iter().enumerate() {
            let side = |n: u8| partition >> n & 1;
            let leaves = |n: &u8| leave >> n & 1 == 1 && leave % 3 == 0;
            let leaving: Vec<u8> = running.iter().copied().filter(leaves).collect();
            running.retain(|n| !leaving.contains(n));
            let mut claims = BTreeSet::new();
            for n in &running {
                let detector = &mut detectors[usize::from(*n)];
                // A leave message reaches only the members on the same side.
                for left in leaving.iter().filter(|left| side(**left) == side(*n)) {
                    detector.remove_departed(&format!("n{left}"));
                }
                let present: Vec<u8> = running.iter().copied().filter(|m| side(*m) == side(*n)).collect();
                if observe(detector, 10 + 5 * step as u64, &names(&present), PartitionSide::Unknown).is_majority {
                    claims.insert(side(*n));
                }
            }
            prop_assert!(claims.len() < 2, "{claims:?}");
        }
    }
}
