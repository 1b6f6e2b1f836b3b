//! The order of messages that share a key.
use crate::common::*;
use crate::one_endpoint;
use micaladder::*;

#[test]
fn messages_of_a_key_are_sent_one_at_a_time_and_pause_after_an_attempt_that_may_still_run() {
    let mut forwarder = one_endpoint();
    let (a, b) = (forwarder.ordered_message(1, 77, 10), forwarder.ordered_message(2, 77, 10));
    let other = forwarder.ordered_message(3, 78, 10);
    let sent = sends(&forwarder.step(0, &[a, b, other]));
    assert_eq!(sent.len(), 2);
    assert!(sent.contains(&(1, 1)) && sent.contains(&(3, 1)));
    forwarder.step(50, &[attempt_ended(3, 0, Outcome::Ok, 50)]);
    // Message 1 is withdrawn while in flight: its key stays blocked until the outcome and then pauses.
    assert!(sends(&forwarder.step(50, &[Event::Withdrawn(MessageId(1))])).is_empty());
    forwarder.step(50, &[attempt_ended(1, 0, Outcome::Cancelled, 150)]);
    assert!(sends(&forwarder.step(600, &[Event::Due])).is_empty());
    assert_eq!(sends(&forwarder.step(150, &[Event::Due])), [(2, 1)]);
}

/// The order holds for calls that carry several messages and when the next message of the key is withdrawn.
#[test]
fn the_order_of_a_key_holds_in_batches_and_after_its_first_message_ends() {
    let mut forwarder = Forwarder::new(settings(), vec![list_entry(1, 10, 1, 0)]);
    let burst = [
        forwarder.ordered_message(1, 5, 10),
        forwarder.ordered_message(2, 5, 10),
        forwarder.ordered_message(3, 6, 10),
    ];
    assert_eq!(sends(&forwarder.step(0, &burst)), [(1, 1), (3, 1)], "a call carries one message of each key");
    let done = [attempt_ended(1, 0, Outcome::Ok, 50), attempt_ended(3, 0, Outcome::Ok, 50)];
    assert_eq!(sends(&forwarder.step(50, &done)), [(2, 1)]);
    // Message 2 is withdrawn while in flight: message 4 waits for its outcome and then for the pause.
    let m = forwarder.ordered_message(4, 5, 10);
    assert!(sends(&forwarder.step(10, &[Event::Withdrawn(MessageId(2)), m])).is_empty());
    assert!(sends(&forwarder.step(500, &[Event::Due])).is_empty(), "an attempt is still in flight");
    assert!(
        sends(&forwarder.step(10, &[attempt_ended(2, 0, Outcome::Cancelled, 520)])).is_empty(),
        "the key pauses"
    );
    assert!(sends(&forwarder.step(690, &[Event::Due])).is_empty());
    assert_eq!(sends(&forwarder.step(20, &[Event::Due])), [(4, 1)]);
}

/// Messages of an ordered class without a key, and messages with a key in a class without order, do not wait for each other.
/// Without an ordering pause in the settings, the next message of a key is sent as soon as the outcome is known.
#[test]
fn messages_wait_for_each_other_only_with_a_key_in_an_ordered_class() {
    let mut forwarder = one_endpoint();
    let messages = [forwarder.message(1, ORDERED, 10), forwarder.message(2, ORDERED, 10)];
    assert_eq!(sends(&forwarder.step(0, &messages)).len(), 2, "no key");
    let mut forwarder = one_endpoint();
    let keyed = |forwarder: &Forwarder, id| {
        let Event::Message(m) = forwarder.message(id, IDEMPOTENT, 10) else { unreachable!() };
        Event::Message(Message { key: Some(9), ..m })
    };
    let messages = [keyed(&forwarder, 1), keyed(&forwarder, 2)];
    assert_eq!(sends(&forwarder.step(0, &messages)).len(), 2, "the class is not ordered");
    let mut forwarder =
        Forwarder::new(Settings { ordering_pause: Nanos(0), ..settings() }, vec![list_entry(1, 10, 0, 0)]);
    let messages = [forwarder.ordered_message(1, 5, 10), forwarder.ordered_message(2, 5, 10)];
    assert_eq!(sends(&forwarder.step(0, &messages)), [(1, 1)]);
    let actions =
        forwarder.step(50, &[Event::Withdrawn(MessageId(1)), attempt_ended(1, 0, Outcome::Cancelled, 50)]);
    assert_eq!(sends(&actions), [(2, 1)], "no pause");
}
