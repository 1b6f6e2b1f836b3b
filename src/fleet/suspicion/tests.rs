//! Tests of `suspicion`.
use super::*;
use crate::fleet::member::tests::{address, member};

fn timer(n: u16) -> foca::Timer<Member> {
    foca::Timer::RemoveDown(member(n, 1))
}

fn expired(n: u16, timer: Option<foca::Timer<Member>>) -> ExpiredSuspicion {
    ExpiredSuspicion { suspect: member(n, 1), swim_incarnation: 0, timer }
}

#[test]
fn the_timeout_shrinks_with_confirmations_down_to_the_minimum() {
    let fully_confirmed = [(0, 0), (2, 9), (7, 9), (1, 1)];
    for (confirmations, possible) in fully_confirmed {
        assert_eq!(suspicion_timeout(confirmations, possible), MIN_TIMEOUT, "{confirmations} of {possible}");
    }
    assert_eq!((suspicion_timeout(0, 9), suspicion_timeout(0, 1)), (MAX_TIMEOUT, MAX_TIMEOUT));
    assert!(suspicion_timeout(1, 9) > MIN_TIMEOUT && suspicion_timeout(1, 9) < MAX_TIMEOUT);
}

#[test]
fn each_member_confirms_a_suspicion_once_and_not_the_next_one() {
    let mut tracker = SuspicionTracker::default();
    tracker.suspect(Duration::ZERO, &member(1, 1), 0, timer(1));
    for _ in 0..9 {
        tracker.confirm(Duration::ZERO, &member(1, 1), 0, address(9));
    }
    assert_eq!(tracker.next_expiry(9), Some(suspicion_timeout(1, 8)));
    tracker.confirm(Duration::ZERO, &member(1, 1), 0, address(8));
    assert_eq!(tracker.next_expiry(9), Some(MIN_TIMEOUT));
    // A repeated report does not restart the timeout.
    tracker.suspect(Duration::from_secs(1), &member(1, 1), 0, timer(1));
    assert!(tracker.remove_expired(MIN_TIMEOUT - Duration::from_millis(1), 9).is_empty());
    assert_eq!(tracker.remove_expired(MIN_TIMEOUT, 9), [expired(1, Some(timer(1)))]);
    assert!(tracker.is_empty());
    // A suspicion after a refutation starts without confirmations.
    tracker.confirm(MIN_TIMEOUT, &member(2, 1), 0, address(9));
    tracker.confirm(MIN_TIMEOUT, &member(2, 1), 0, address(8));
    tracker.confirm(MIN_TIMEOUT, &member(2, 1), 1, address(7));
    assert_eq!(tracker.next_expiry(9), Some(MIN_TIMEOUT + MAX_TIMEOUT));
}

/// Three members report failed probes of a suspect that this member has not probed. The suspicion then expires here after
/// the same timeout as on those members.
#[test]
fn reports_of_other_members_suffice_for_a_confirmed_suspicion() {
    let mut tracker = SuspicionTracker::default();
    for n in 5..8 {
        tracker.confirm(Duration::ZERO, &member(1, 1), 0, address(n));
    }
    assert_eq!(tracker.remove_expired(MIN_TIMEOUT, 9), [expired(1, None)]);
}

#[test]
fn failed_probes_slow_down_probing_until_probes_succeed_again() {
    let mut tracker = SuspicionTracker::default();
    for _ in 0..9 {
        tracker.note_probe_failure(&member(1, 1));
        tracker.begin_probe_round();
    }
    assert_eq!(tracker.probe_multiplier(), MAX_PROBE_MULTIPLIER);
    for _ in 0..9 {
        tracker.begin_probe_round();
    }
    assert_eq!(tracker.probe_multiplier(), 1);
    tracker.suspect(Duration::ZERO, &member(1, 1), 0, timer(1));
    tracker.note_probe_failure(&member(1, 1));
    assert_eq!(tracker.probe_multiplier(), 1, "the member is suspected already");
}
