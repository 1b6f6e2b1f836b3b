//! Tests of `doubts`.
use super::*;
use crate::fleet::member::tests::{address, member};

fn timer(n: u16) -> foca::Timer<Member> {
    foca::Timer::RemoveDown(member(n, 1))
}

#[test]
fn a_suspicion_is_shorter_the_more_share_it_and_never_shorter_than_stated() {
    assert_eq!((lasts(0, 0), lasts(2, 9), lasts(7, 9), lasts(1, 1)), (SHORT, SHORT, SHORT, SHORT));
    assert_eq!((lasts(0, 9), lasts(0, 1)), (LONG, LONG));
    assert!(lasts(1, 9) > SHORT && lasts(1, 9) < LONG);
}

#[test]
fn each_of_the_others_counts_once_and_for_one_suspicion() {
    let mut doubts = SuspicionTracker::default();
    doubts.suspect(Duration::ZERO, &member(1, 1), 0, timer(1));
    for _ in 0..9 {
        doubts.shared(Duration::ZERO, &member(1, 1), 0, address(9));
    }
    assert_eq!(doubts.next(9), Some(lasts(1, 8)));
    doubts.shared(Duration::ZERO, &member(1, 1), 0, address(8));
    assert_eq!(doubts.next(9), Some(SHORT));
    // The same suspicion once more begins nothing anew.
    doubts.suspect(Duration::from_secs(1), &member(1, 1), 0, timer(1));
    assert!(doubts.due(SHORT - Duration::from_millis(1), 9).is_empty());
    assert_eq!(doubts.due(SHORT, 9), [(member(1, 1), 0, Some(timer(1)))]);
    assert!(!doubts.any());
    // Another life, or an answer between, begins one that nobody shares yet.
    doubts.shared(SHORT, &member(2, 1), 0, address(9));
    doubts.shared(SHORT, &member(2, 1), 0, address(8));
    doubts.shared(SHORT, &member(2, 1), 1, address(7));
    assert_eq!(doubts.next(9), Some(SHORT + LONG));
}

/// Of those that have not probed it, one that is told by three takes the member for dead as soon as one that has.
#[test]
fn who_has_not_probed_it_goes_by_what_others_say() {
    let mut doubts = SuspicionTracker::default();
    (5..8).for_each(|n| doubts.shared(Duration::ZERO, &member(1, 1), 0, address(n)));
    assert_eq!(doubts.due(SHORT, 9), [(member(1, 1), 0, None)]);
}

#[test]
fn who_is_not_answered_trusts_itself_less_until_it_is() {
    let mut doubts = SuspicionTracker::default();
    for _ in 0..9 {
        doubts.failed(&member(1, 1));
        doubts.round();
    }
    assert_eq!(doubts.pace(), SLOW_MOST);
    (0..9).for_each(|_| doubts.round());
    assert_eq!(doubts.pace(), 1);
    doubts.suspect(Duration::ZERO, &member(1, 1), 0, timer(1));
    doubts.failed(&member(1, 1));
    assert_eq!(doubts.pace(), 1, "others suspect it too");
}
