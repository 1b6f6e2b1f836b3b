//! Load shedding.
use crate::common::*;
use micaladder::*;

#[test]
fn the_least_valuable_messages_are_shed_at_once_with_a_retry_after() {
    let set = Settings { slots: 1, max_pending: 10, ..settings() };
    let mut r = Forwarder::new(set, vec![list_entry(1, 10, 0, 0)]);
    let mut events: Vec<Event> = (1..=6).map(|id| r.message(id, AT_MOST_ONCE, 10)).collect();
    events.extend((7..=12).map(|id| r.message(id, IDEMPOTENT, 10)));
    let got = r.step(0, &events);
    let out: Vec<u64> = (1..=12).filter(|id| rejected(&got, *id)).collect();
    assert_eq!(out.len(), 3, "{out:?}");
    assert!(out.iter().all(|id| *id > 6));
    assert!(got.iter().all(|a| !matches!(a, Action::Reject { after: None, .. })));
}

/// Rejecting an accepted message untried before seven tenths of its time has a price; rejecting a new one has
/// none.
#[test]
fn a_new_message_is_shed_before_accepted_ones_until_most_of_their_time_has_passed() {
    let full = |age| {
        let mut r = Forwarder::new(Settings { max_pending: 10, ..settings() }, vec![]);
        let pending: Vec<Event> = (1..=9).map(|id| r.message(id, IDEMPOTENT, 10)).collect();
        assert!((1..=9).all(|id| !rejected(&r.step(0, &pending), id)));
        let m = r.message(10, IDEMPOTENT, 10);
        let got = r.step(age, &[m]);
        (1..=10).filter(|id| rejected(&got, *id)).collect::<Vec<u64>>()
    };
    // Of 20 s.
    assert_eq!(full(100), [10]);
    assert_eq!(full(13_900), [10]);
    assert_eq!(full(14_100), [1], "most of its time has passed, and it is worth less");
    // A new message that is worth more than that price is still accepted.
    let mut r = Forwarder::new(Settings { max_pending: 10, ..settings() }, vec![]);
    let pending: Vec<Event> = (1..=9).map(|id| r.message(id, IDEMPOTENT, 10)).collect();
    r.step(0, &pending);
    let m = r.message(10, AT_MOST_ONCE, 10);
    let got = r.step(100, &[m]);
    assert!(!rejected(&got, 10) && (1..=9).any(|id| rejected(&got, id)), "{got:?}");
}
