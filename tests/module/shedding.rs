//! Load shedding.
use crate::common::*;
use micaladder::*;

#[test]
fn the_least_valuable_messages_are_shed_at_once_with_a_retry_after() {
    let settings = Settings { slots: 1, max_pending: 10, ..settings() };
    let mut forwarder = Forwarder::new(settings, vec![list_entry(1, 10, 0, 0)]);
    let mut events: Vec<Event> = (1..=6).map(|id| forwarder.message(id, AT_MOST_ONCE, 10)).collect();
    events.extend((7..=12).map(|id| forwarder.message(id, IDEMPOTENT, 10)));
    let actions = forwarder.step(0, &events);
    let shed: Vec<u64> = (1..=12).filter(|id| is_rejected(&actions, *id)).collect();
    assert_eq!(shed.len(), 3, "{shed:?}");
    assert!(shed.iter().all(|id| *id > 6));
    assert!(actions.iter().all(|a| !matches!(a, Action::Reject { after: None, .. })));
}

/// Before seven tenths of its time have passed, rejecting an accepted message that was not attempted has a cost; rejecting a new
/// message has none.
#[test]
fn a_new_message_is_shed_before_accepted_ones_until_most_of_their_time_has_passed() {
    let shed_at_age = |age| {
        let mut forwarder = Forwarder::new(Settings { max_pending: 10, ..settings() }, vec![]);
        let pending: Vec<Event> = (1..=9).map(|id| forwarder.message(id, IDEMPOTENT, 10)).collect();
        assert!((1..=9).all(|id| !is_rejected(&forwarder.step(0, &pending), id)));
        let m = forwarder.message(10, IDEMPOTENT, 10);
        let actions = forwarder.step(age, &[m]);
        (1..=10).filter(|id| is_rejected(&actions, *id)).collect::<Vec<u64>>()
    };
    // Ages in ms, of a deadline of 20 s.
    assert_eq!(shed_at_age(100), [10]);
    assert_eq!(shed_at_age(13_900), [10]);
    assert_eq!(
        shed_at_age(14_100),
        [1],
        "most of the time of message 1 has passed, so it is worth less than a new one"
    );
    // A new message that is worth more than that cost is still accepted.
    let mut forwarder = Forwarder::new(Settings { max_pending: 10, ..settings() }, vec![]);
    let pending: Vec<Event> = (1..=9).map(|id| forwarder.message(id, IDEMPOTENT, 10)).collect();
    forwarder.step(0, &pending);
    let m = forwarder.message(10, AT_MOST_ONCE, 10);
    let actions = forwarder.step(100, &[m]);
    assert!(!is_rejected(&actions, 10) && (1..=9).any(|id| is_rejected(&actions, id)), "{actions:?}");
}
