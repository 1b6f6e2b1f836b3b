//! Tests of `authentication`.
use super::*;
use crate::fleet::member::tests::member;

#[test]
fn all_members_are_visited_a_few_at_a_time_and_none_twice_at_once() {
    let mut schedule = VisitSchedule::new(3);
    let mut unauthenticated: Vec<Member> = (1..30).map(|n| member(n, 1)).collect();
    for round in 0..8 {
        let selected = schedule.select(f64::from(round), &unauthenticated);
        assert!(selected.len() <= MAX_VISITS);
        assert!(schedule.select(f64::from(round), &unauthenticated).is_empty(), "all visits are in progress");
        for visited in selected {
            unauthenticated.retain(|m| *m != visited);
            schedule.release(f64::from(round), visited.address, RECONNECT_BACKOFF_SECS);
        }
    }
    assert!(unauthenticated.is_empty());
}

#[test]
fn a_rejected_member_is_not_visited_again_during_its_backoff() {
    let mut schedule = VisitSchedule::new(3);
    let one = [member(1, 1)];
    assert_eq!(schedule.select(0.0, &one), one);
    schedule.release(0.0, one[0].address, REJECTED_BACKOFF_SECS);
    assert!(schedule.select(REJECTED_BACKOFF_SECS - 1.0, &one).is_empty());
    assert_eq!(schedule.select(REJECTED_BACKOFF_SECS + 1.0, &one), one);
}
