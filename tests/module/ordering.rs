//! Order of messages that share a key.
use crate::common::*;
use crate::one_endpoint;
use micaladder::*;

#[test]
fn messages_of_a_key_are_sent_one_at_a_time_and_pause_after_an_attempt_that_may_still_run() {
    let mut r = one_endpoint();
    let (a, b) = (r.keyed(1, 77, 10), r.keyed(2, 77, 10));
    let other = r.keyed(3, 78, 10);
    let got = sends(&r.step(0, &[a, b, other]));
    assert_eq!(got.len(), 2);
    assert!(got.contains(&(1, 1)) && got.contains(&(3, 1)));
    r.step(50, &[ended(3, 0, Outcome::Ok, 50)]);
    // Withdrawn while in flight: the key stays blocked until the outcome, and then pauses.
    assert!(sends(&r.step(50, &[Event::Withdrawn(MessageId(1))])).is_empty());
    r.step(50, &[ended(1, 0, Outcome::Cancelled, 150)]);
    assert!(sends(&r.step(600, &[Event::Due])).is_empty());
    assert_eq!(sends(&r.step(150, &[Event::Due])), [(2, 1)]);
}

/// In calls of several messages, and when the first message ends without a send.
#[test]
fn the_order_of_a_key_holds_in_one_call_and_after_its_first_message_ends() {
    let mut r = Forwarder::new(settings(), vec![list_entry(1, 10, 1, 0)]);
    let burst = [r.keyed(1, 5, 10), r.keyed(2, 5, 10), r.keyed(3, 6, 10)];
    assert_eq!(sends(&r.step(0, &burst)), [(1, 1), (3, 1)], "one of each key in a call");
    let done = [ended(1, 0, Outcome::Ok, 50), ended(3, 0, Outcome::Ok, 50)];
    assert_eq!(sends(&r.step(50, &done)), [(2, 1)]);
    // The head is withdrawn while in flight: the next waits for the outcome, and then pauses.
    let m = r.keyed(4, 5, 10);
    assert!(sends(&r.step(10, &[Event::Withdrawn(MessageId(2)), m])).is_empty());
    assert!(sends(&r.step(500, &[Event::Due])).is_empty(), "an attempt is still in flight");
    assert!(sends(&r.step(10, &[ended(2, 0, Outcome::Cancelled, 520)])).is_empty(), "the key pauses");
    assert!(sends(&r.step(690, &[Event::Due])).is_empty());
    assert_eq!(sends(&r.step(20, &[Event::Due])), [(4, 1)]);
}

/// A message of an ordered class without a key, and a key in a class without order, are free; without a pause
/// in the settings a key is free with the outcome.
#[test]
fn without_a_key_an_ordered_class_or_a_pause_nothing_is_held_back() {
    let mut r = one_endpoint();
    let free = [r.message(1, ORDERED, 10), r.message(2, ORDERED, 10)];
    assert_eq!(sends(&r.step(0, &free)).len(), 2, "no key");
    let mut r = one_endpoint();
    let keyed = |r: &Forwarder, id| {
        let Event::Message(m) = r.message(id, IDEMPOTENT, 10) else { unreachable!() };
        Event::Message(Message { key: Some(9), ..m })
    };
    let free = [keyed(&r, 1), keyed(&r, 2)];
    assert_eq!(sends(&r.step(0, &free)).len(), 2, "no order asked for");
    let mut r =
        Forwarder::new(Settings { ordering_pause: Nanos(0), ..settings() }, vec![list_entry(1, 10, 0, 0)]);
    let two = [r.keyed(1, 5, 10), r.keyed(2, 5, 10)];
    assert_eq!(sends(&r.step(0, &two)), [(1, 1)]);
    let got = r.step(50, &[Event::Withdrawn(MessageId(1)), ended(1, 0, Outcome::Cancelled, 50)]);
    assert_eq!(sends(&got), [(2, 1)], "no pause");
}
