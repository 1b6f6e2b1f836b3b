//! Tests of `meet`.
use super::*;
use crate::fleet::member::tests::member;

#[test]
fn all_are_met_some_at_a_time_and_none_twice_at_once() {
    let mut visits = Visits::new(3);
    let mut unshown: Vec<Member> = (1..30).map(|n| member(n, 1)).collect();
    for round in 0..8 {
        let chosen = visits.choose(f64::from(round), &unshown);
        assert!(chosen.len() <= AT_ONCE);
        assert!(visits.choose(f64::from(round), &unshown).is_empty(), "all are on their way");
        for who in chosen {
            unshown.retain(|m| *m != who);
            visits.ended(f64::from(round), who.address, AGAIN);
        }
    }
    assert!(unshown.is_empty());
}

#[test]
fn one_that_failed_is_left_alone_for_a_while() {
    let mut visits = Visits::new(3);
    let one = [member(1, 1)];
    assert_eq!(visits.choose(0.0, &one), one);
    visits.ended(0.0, one[0].address, SHUNNED);
    assert!(visits.choose(SHUNNED - 1.0, &one).is_empty());
    assert_eq!(visits.choose(SHUNNED + 1.0, &one), one);
}
