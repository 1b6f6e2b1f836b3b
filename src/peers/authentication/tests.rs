//! Tests of `authentication`.
use super::*;
use crate::fleet::member::tests::member;

#[test]
fn connects_to_all_members_within_the_limit_and_to_none_twice_at_once() {
    let mut schedule = AuthenticationSchedule::new(3);
    let mut unauthenticated: Vec<Member> = (1..30).map(|n| member(n, 1)).collect();
    for round in 0..8 {
        let selected = schedule.select(f64::from(round), &unauthenticated);
        assert!(selected.len() <= MAX_CONNECTIONS);
        assert!(schedule.select(f64::from(round), &unauthenticated).is_empty(), "all connections are in use");
        for authenticated in selected {
            unauthenticated.retain(|m| *m != authenticated);
            schedule.release(f64::from(round), authenticated.address, RECONNECT_BACKOFF_SECS);
        }
    }
    assert!(unauthenticated.is_empty());
}

#[test]
fn does_not_reconnect_to_a_rejected_member_during_its_backoff() {
    let mut schedule = AuthenticationSchedule::new(3);
    let rejected = [member(1, 1)];
    assert_eq!(schedule.select(0.0, &rejected), rejected);
    schedule.release(0.0, rejected[0].address, REJECTED_BACKOFF_SECS);
    assert!(schedule.select(REJECTED_BACKOFF_SECS - 1.0, &rejected).is_empty());
    assert_eq!(schedule.select(REJECTED_BACKOFF_SECS + 1.0, &rejected), rejected);
}
