//! Messages: answers, retries and the check before a send starts.
use crate::common::*;
use crate::{one_endpoint, serve_messages};
use micaladder::*;

#[test]
fn a_message_is_sent_and_served() {
    let mut forwarder = one_endpoint();
    let m = forwarder.message(1, IDEMPOTENT, 10);
    assert_eq!(sends(&forwarder.step(0, &[m])), [(1, 1)]);
    let end = forwarder.step(100, &[attempt_ended(1, 0, Outcome::Ok, 100)]);
    assert!(!is_rejected(&end, 1) && !is_failed(&end, 1) && sends(&end).is_empty());
}

#[test]
fn a_message_that_cannot_be_sent_is_answered_before_its_deadline() {
    let mut forwarder = one_endpoint();
    let m = forwarder.message(1, AT_MOST_ONCE, 99);
    let has_timer = forwarder.step(0, &[m]).into_iter().any(|a| matches!(a, Action::WakeAt(_)));
    assert!(has_timer);
    assert!(!is_rejected(&forwarder.step(19_900, &[Event::Due]), 1));
    assert!(is_rejected(&forwarder.step(95, &[Event::Due]), 1));
}

/// Found on a recorded day: a cancelled attempt ended after the deadline, and the message was answered only then.
#[test]
fn the_answer_is_given_at_the_deadline_even_while_an_attempt_is_in_flight() {
    let mut forwarder = one_endpoint();
    let m = forwarder.message(1, AT_MOST_ONCE, 10);
    assert_eq!(sends(&forwarder.step(0, &[m])).len(), 1);
    assert!(is_failed(&forwarder.step(20_000, &[Event::Due]), 1));
    let late = forwarder.step(50, &[attempt_ended(1, 0, Outcome::Timeout, 20_000)]);
    assert!(!is_failed(&late, 1) && !is_rejected(&late, 1) && sends(&late).is_empty());
}

#[test]
fn a_message_that_may_have_run_is_retried_only_as_its_class_allows() {
    use Outcome::*;
    let may_have_run = [Error, Reset, Cancelled];
    for outcome in [Error, Reset, Cancelled, Rejected(None), ConnectFailed, Skipped] {
        for class in [IDEMPOTENT, IDEMPOTENT_BY_KEY, AT_MOST_ONCE] {
            let mut forwarder = one_endpoint();
            let m = forwarder.message(1, class, 10);
            forwarder.step(0, &[m]);
            let mut actions = forwarder.step(50, &[attempt_ended(1, 0, outcome, 50)]);
            for _ in 0..100 {
                actions.extend(forwarder.step(50, &[Event::Due]));
            }
            let must_not_repeat = class == AT_MOST_ONCE && may_have_run.contains(&outcome);
            assert_eq!(sends(&actions).is_empty(), must_not_repeat, "{outcome:?} class {class}");
            assert_eq!(is_failed(&actions, 1), must_not_repeat, "{outcome:?} class {class}");
        }
    }
}

#[test]
fn a_message_with_an_idempotency_key_is_retried_only_in_its_scope_and_window() {
    let mut forwarder = Forwarder::new(settings(), vec![list_entry(1, 10, 0, 0), list_entry(2, 10, 0, 1)]);
    let m = forwarder.message(1, IDEMPOTENT_BY_KEY_IN_ZONE, 10);
    let first = sends(&forwarder.step(0, &[m]))[0].1;
    forwarder.step(50, &[attempt_ended(1, 0, Outcome::Error, 50)]);
    // A permit is valid for a tenth of a second, so the steps are shorter.
    let again: Vec<(u64, u32)> = (0..40).flat_map(|_| sends(&forwarder.step(50, &[Event::Due]))).collect();
    assert_eq!(again, [(1, first)], "only the zone of the first attempt drops the repeat");
    let late = forwarder.step(6500, &[attempt_ended(1, 1, Outcome::Error, 6500)]);
    assert!(is_failed(&late, 1), "after its window the message can neither be sent nor rejected: {late:?}");
}

#[test]
fn attempts_are_counted_and_at_most_one_is_in_flight() {
    let mut forwarder = one_endpoint();
    let m = forwarder.message(1, IDEMPOTENT, 10);
    assert_eq!(sends(&forwarder.step(0, &[m])).len(), 1);
    assert!(sends(&forwarder.step(300, &[Event::Due])).is_empty());
    let mut attempts = 1;
    for attempt in 0..5 {
        let mut actions = forwarder.step(10, &[attempt_ended(1, attempt, Outcome::Skipped, 10)]);
        actions.extend(forwarder.step(10, &[Event::Due]));
        attempts += sends(&actions).len();
        assert_eq!(is_rejected(&actions, 1), attempt == 4);
    }
    assert_eq!(attempts, 5);
}

/// Found on split+mass: while a connect hung, a Retry-After arrived, and the message was sent 0.5 s before its end.
#[test]
fn a_send_is_checked_again_once_its_connection_is_open() {
    // The connect for message 2 hangs, while 1 is in flight at the same destination and 3 at another one.
    let with_hanging_connect = |class| {
        let mut forwarder =
            Forwarder::new(settings(), vec![list_entry(1, 10, 0, 0), list_entry(2, 20, 0, 0)]);
        let all = [
            forwarder.message(1, IDEMPOTENT, 10),
            forwarder.message(2, class, 10),
            forwarder.message(3, IDEMPOTENT, 20),
        ];
        assert_eq!(sends(&forwarder.step(0, &all)).len(), 3);
        assert!(forwarder.module.may_still_send(forwarder.now, MessageId(2)), "nothing has changed");
        forwarder
    };
    let mut forwarder = with_hanging_connect(IDEMPOTENT);
    forwarder.step(50, &[attempt_ended(3, 0, Outcome::Rejected(Some(ms(1500))), 50)]);
    assert!(
        forwarder.module.may_still_send(forwarder.now, MessageId(2)),
        "the Retry-After is for another destination"
    );
    forwarder.step(50, &[attempt_ended(1, 0, Outcome::Rejected(Some(ms(1500))), 50)]);
    assert!(!forwarder.module.may_still_send(forwarder.now, MessageId(2)), "the Retry-After has not passed");
    let again = forwarder.step(1, &[attempt_ended(2, 0, Outcome::NotSent, 100)]);
    assert!(sends(&again).is_empty() && !is_rejected(&again, 2), "the message stays pending");

    for state in [EndpointState::Draining, EndpointState::Removed] {
        let mut forwarder = with_hanging_connect(IDEMPOTENT);
        forwarder.step(
            50,
            &[Event::EndpointList {
                complete: false,
                entries: vec![EndpointEntry { state, ..list_entry(1, 10, 0, 0) }],
            }],
        );
        assert!(!forwarder.module.may_still_send(forwarder.now, MessageId(2)), "{state:?}");
    }
    let mut forwarder = with_hanging_connect(IDEMPOTENT);
    forwarder.step(50, &[Event::Withdrawn(MessageId(2))]);
    assert!(!forwarder.module.may_still_send(forwarder.now, MessageId(2)), "the client withdrew the message");
    let mut forwarder = with_hanging_connect(AT_MOST_ONCE);
    forwarder.step(20_000, &[Event::Due]);
    assert!(!forwarder.module.may_still_send(forwarder.now, MessageId(2)), "the deadline has passed");
}

/// During an outage an endpoint gets one trial at a time. Neither a send that was decided before the outage and still hangs in
/// its connect, nor a trial whose time is up, may start beside the current trial, or later in addition to the slow start.
#[test]
fn a_send_whose_connect_hung_through_an_outage_does_not_start() {
    let mut forwarder = one_endpoint();
    serve_messages(&mut forwarder, 100, 10, 3);
    let all: Vec<Event> = (1..=4).map(|id| forwarder.message(id, IDEMPOTENT, 10)).collect();
    assert_eq!(sends(&forwarder.step(10, &all)).len(), 4);
    for id in 1..=2 {
        forwarder.step(10, &[attempt_ended(id, 0, Outcome::Reset, 20)]);
    }
    assert!(!forwarder.module.may_still_send(forwarder.now, MessageId(3)), "the breaker is open");
    let mut actions = forwarder.step(0, &[attempt_ended(3, 0, Outcome::NotSent, 20)]);
    while sends(&actions).is_empty() {
        actions = forwarder.step(50, &[Event::Due]);
    }
    let trial = sends(&actions)[0].0;
    assert!(forwarder.module.may_still_send(forwarder.now, MessageId(trial)), "the trial may be sent");
    assert!(
        !forwarder.module.may_still_send(forwarder.now, MessageId(4)),
        "a send from before the outage is no second trial"
    );
    forwarder.step(3000, &[attempt_ended(trial, 1, Outcome::Ok, 60)]);
    assert!(
        !forwarder.module.may_still_send(forwarder.now, MessageId(4)),
        "a send from before the outage is no part of the slow start"
    );
}

/// A send that did not start also opens no breaker and reduces no pace, even if it happens repeatedly.
#[test]
fn a_send_that_did_not_start_counts_as_no_attempt() {
    let mut forwarder = one_endpoint();
    let m = forwarder.message(1, AT_MOST_ONCE, 10);
    let mut actions = forwarder.step(0, &[m]);
    for round in 0..20 {
        assert_eq!(sends(&actions), [(1, 1)], "round {round}");
        actions = forwarder.step(10, &[attempt_ended(1, 0, Outcome::NotSent, 10)]);
    }
}

/// The rejection carries a Retry-After if the settings give clients one.
#[test]
fn a_message_that_cannot_be_retried_is_answered_at_once() {
    let rejected_with_wait = |actions: &[Action], id: u64| {
        actions.iter().any(|a| matches!(a, Action::Reject { id: i, after: Some(t) } if i.0 == id && t.0 > 0))
    };
    // The message has no attempt left.
    let mut forwarder =
        Forwarder::new(Settings { max_attempts: 1, ..settings() }, vec![list_entry(1, 10, 0, 0)]);
    let m = forwarder.message(1, IDEMPOTENT, 10);
    forwarder.step(0, &[m]);
    assert!(
        rejected_with_wait(&forwarder.step(50, &[attempt_ended(1, 0, Outcome::Rejected(None), 50)]), 1),
        "no attempt left"
    );
    // The window of its idempotency key ends before a retry could be sent.
    let mut forwarder = one_endpoint();
    let m = forwarder.message(1, IDEMPOTENT_BY_KEY, 10);
    forwarder.step(0, &[m]);
    assert!(
        rejected_with_wait(&forwarder.step(7900, &[attempt_ended(1, 0, Outcome::Timeout, 7900)]), 1),
        "the window is over"
    );
    let m = forwarder.message(2, AT_MOST_ONCE, 10);
    let mut actions = forwarder.step(5000, &[m]);
    // The endpoint is suspected, so the call waits for a permit.
    for _ in 0..100 {
        if !sends(&actions).is_empty() {
            break;
        }
        actions = forwarder.step(100, &[Event::Due]);
    }
    assert_eq!(sends(&actions), [(2, 1)]);
    actions = forwarder.step(50, &[attempt_ended(2, 0, Outcome::Reset, 50)]);
    assert!(is_failed(&actions, 2), "the message may have run, so it fails instead of being rejected");
    // Shedding: the rejection comes in the same step as the message that reaches the limit.
    let mut forwarder = Forwarder::new(Settings { max_pending: 20, ..settings() }, vec![]);
    let burst: Vec<Event> = (1..=20).map(|id| forwarder.message(id, IDEMPOTENT, 10)).collect();
    let actions = forwarder.step(0, &burst);
    assert!((1..=20).any(|id| rejected_with_wait(&actions, id)), "a message is shed");
    // Without a Retry-After in the settings, the rejection has none.
    let mut forwarder = Forwarder::new(
        Settings { max_attempts: 1, retry_after: None, ..settings() },
        vec![list_entry(1, 10, 0, 0)],
    );
    let m = forwarder.message(1, IDEMPOTENT, 10);
    forwarder.step(0, &[m]);
    let actions = forwarder.step(50, &[attempt_ended(1, 0, Outcome::Rejected(None), 50)]);
    assert!(actions.contains(&Action::Reject { id: MessageId(1), after: None }), "{actions:?}");
}

/// No message may take effect twice because of a restart.
#[test]
fn a_resumed_message_keeps_its_prior_attempts() {
    let mut forwarder = Forwarder::new(settings(), vec![list_entry(1, 1, 0, 0)]);
    let resumed = |forwarder: &Forwarder, id, class, attempts, since: Option<u64>| match forwarder
        .message(id, class, 1)
    {
        Event::Message(m) => {
            Event::Resumed(m, PriorAttempts { attempts, first_possible_run: since.map(|s| (ms(s), 0)) })
        }
        other => other,
    };
    let now = forwarder.now.0 / NANOS_PER_MS;
    let (before_window, max_attempts) = (now.saturating_sub(60_000), settings().max_attempts);
    let events = [
        resumed(&forwarder, 1, AT_MOST_ONCE, 1, Some(now)),
        resumed(&forwarder, 2, AT_MOST_ONCE, 1, None),
        resumed(&forwarder, 3, IDEMPOTENT_BY_KEY, 1, Some(before_window)),
        resumed(&forwarder, 4, IDEMPOTENT, max_attempts, Some(now)),
        resumed(&forwarder, 5, IDEMPOTENT, 1, Some(now)),
    ];
    let actions = forwarder.step(0, &events);
    assert!(is_failed(&actions, 1), "message 1 may have run and must not be repeated: {actions:?}");
    assert!(
        actions.iter().any(|a| matches!(a, Action::Reject { id: MessageId(4), .. })),
        "message 4 has no attempt left: {actions:?}"
    );
    let sent: Vec<u64> = sends(&actions).iter().map(|s| s.0).collect();
    assert!(sent.contains(&2) && sent.contains(&5) && !sent.contains(&3), "{actions:?}");
}
