//! Messages: answers, retries and the check before a send.
use crate::common::*;
use crate::{one_endpoint, serve_some};
use micaladder::*;

#[test]
fn a_message_is_sent_and_served() {
    let mut r = one_endpoint();
    let m = r.message(1, IDEMPOTENT, 10);
    assert_eq!(sends(&r.step(0, &[m])), [(1, 1)]);
    let end = r.step(100, &[ended(1, 0, Outcome::Ok, 100)]);
    assert!(!rejected(&end, 1) && !failed(&end, 1) && sends(&end).is_empty());
}

#[test]
fn a_message_that_cannot_be_sent_is_answered_before_its_deadline() {
    let mut r = one_endpoint();
    let m = r.message(1, AT_MOST_ONCE, 99);
    let wake = r.step(0, &[m]).into_iter().any(|a| matches!(a, Action::WakeAt(_)));
    assert!(wake);
    assert!(!rejected(&r.step(19_900, &[Event::Due]), 1));
    assert!(rejected(&r.step(95, &[Event::Due]), 1));
}

/// Found on a recorded day: a cancelled attempt ended after the deadline, and the answer came with it.
#[test]
fn the_answer_is_given_at_the_deadline_even_while_an_attempt_is_in_flight() {
    let mut r = one_endpoint();
    let m = r.message(1, AT_MOST_ONCE, 10);
    assert_eq!(sends(&r.step(0, &[m])).len(), 1);
    assert!(failed(&r.step(20_000, &[Event::Due]), 1));
    let late = r.step(50, &[ended(1, 0, Outcome::Timeout, 20_000)]);
    assert!(!failed(&late, 1) && !rejected(&late, 1) && sends(&late).is_empty());
}

#[test]
fn a_message_that_may_have_run_is_retried_only_as_its_class_allows() {
    use Outcome::*;
    let may_have_run = [Error, Reset, Cancelled];
    for outcome in [Error, Reset, Cancelled, Rejected(None), ConnectFailed, Skipped] {
        for class in [IDEMPOTENT, KEYED, AT_MOST_ONCE] {
            let mut r = one_endpoint();
            let m = r.message(1, class, 10);
            r.step(0, &[m]);
            let mut seen = r.step(50, &[ended(1, 0, outcome, 50)]);
            for _ in 0..100 {
                seen.extend(r.step(50, &[Event::Due]));
            }
            let barred = class == AT_MOST_ONCE && may_have_run.contains(&outcome);
            assert_eq!(sends(&seen).is_empty(), barred, "{outcome:?} class {class}");
            assert_eq!(failed(&seen, 1), barred, "{outcome:?} class {class}");
        }
    }
}

#[test]
fn a_message_with_an_idempotency_key_is_retried_only_in_its_scope_and_window() {
    let mut r = Forwarder::new(settings(), vec![list_entry(1, 10, 0, 0), list_entry(2, 10, 0, 1)]);
    let m = r.message(1, KEYED_IN_ZONE, 10);
    let first = sends(&r.step(0, &[m]))[0].1;
    r.step(50, &[ended(1, 0, Outcome::Error, 50)]);
    let again = sends(&r.step(2000, &[Event::Due]));
    assert_eq!(again, [(1, first)], "only the zone of the first attempt drops the repeat");
    let late = r.step(6500, &[ended(1, 1, Outcome::Error, 6500)]);
    assert!(failed(&late, 1), "past its window it can neither be sent nor rejected: {late:?}");
}

#[test]
fn attempts_are_counted_and_at_most_one_is_in_flight() {
    let mut r = one_endpoint();
    let m = r.message(1, IDEMPOTENT, 10);
    assert_eq!(sends(&r.step(0, &[m])).len(), 1);
    assert!(sends(&r.step(300, &[Event::Due])).is_empty());
    let mut attempts = 1;
    for attempt in 0..5 {
        let mut got = r.step(10, &[ended(1, attempt, Outcome::Skipped, 10)]);
        got.extend(r.step(10, &[Event::Due]));
        attempts += sends(&got).len();
        assert_eq!(rejected(&got, 1), attempt == 4);
    }
    assert_eq!(attempts, 5);
}

/// Found on split+mass: a request whose connect had hung was sent 0.5 s before the end of a Retry-After that
/// came meanwhile.
#[test]
fn a_send_is_checked_again_once_its_connection_stands() {
    // Message 2 is decided on, and its connect hangs; 1 is in flight beside it, and 3 at another destination.
    let hung = |class| {
        let mut r = Forwarder::new(settings(), vec![list_entry(1, 10, 0, 0), list_entry(2, 20, 0, 0)]);
        let all = [r.message(1, IDEMPOTENT, 10), r.message(2, class, 10), r.message(3, IDEMPOTENT, 20)];
        assert_eq!(sends(&r.step(0, &all)).len(), 3);
        assert!(r.module.may_still_send(r.now, MessageId(2)), "nothing has changed");
        r
    };
    let mut r = hung(IDEMPOTENT);
    r.step(50, &[ended(3, 0, Outcome::Rejected(Some(ms(1500))), 50)]);
    assert!(r.module.may_still_send(r.now, MessageId(2)), "the Retry-After is another destination's");
    r.step(50, &[ended(1, 0, Outcome::Rejected(Some(ms(1500))), 50)]);
    assert!(!r.module.may_still_send(r.now, MessageId(2)), "a Retry-After");
    let again = r.step(1, &[ended(2, 0, Outcome::NotSent, 100)]);
    assert!(sends(&again).is_empty() && !rejected(&again, 2), "it waits like the others");

    for state in [EndpointState::Draining, EndpointState::Removed] {
        let mut r = hung(IDEMPOTENT);
        r.step(
            50,
            &[Event::EndpointList {
                complete: false,
                entries: vec![EndpointEntry { state, ..list_entry(1, 10, 0, 0) }],
            }],
        );
        assert!(!r.module.may_still_send(r.now, MessageId(2)), "{state:?}");
    }
    let mut r = hung(IDEMPOTENT);
    r.step(50, &[Event::Withdrawn(MessageId(2))]);
    assert!(!r.module.may_still_send(r.now, MessageId(2)), "withdrawn by its client");
    let mut r = hung(AT_MOST_ONCE);
    r.step(20_000, &[Event::Due]);
    assert!(!r.module.may_still_send(r.now, MessageId(2)), "its time is up");
}

/// During an outage one trial at a time goes to an endpoint: neither one that was decided on before the
/// outage beside it, nor a trial whose time is up; and what is left of either does not reach the cold
/// endpoint beside its slow start.
#[test]
fn a_send_that_hung_through_an_outage_is_neither_a_second_trial_nor_part_of_the_slow_start() {
    let mut r = one_endpoint();
    serve_some(&mut r, 100, 10, 3);
    let all: Vec<Event> = (1..=4).map(|id| r.message(id, IDEMPOTENT, 10)).collect();
    assert_eq!(sends(&r.step(10, &all)).len(), 4);
    for id in 1..=2 {
        r.step(10, &[ended(id, 0, Outcome::Reset, 20)]);
    }
    assert!(!r.module.may_still_send(r.now, MessageId(3)), "the breaker is open");
    let mut got = r.step(0, &[ended(3, 0, Outcome::NotSent, 20)]);
    while sends(&got).is_empty() {
        got = r.step(50, &[Event::Due]);
    }
    let trial = sends(&got)[0].0;
    assert!(r.module.may_still_send(r.now, MessageId(trial)), "the trial itself goes");
    assert!(!r.module.may_still_send(r.now, MessageId(4)), "what was decided before goes not beside it");
    r.step(3000, &[ended(trial, 1, Outcome::Ok, 60)]);
    assert!(!r.module.may_still_send(r.now, MessageId(4)), "nor into the slow start");
}

/// Neither does it open a breaker or reduce a pace, however often it happens.
#[test]
fn a_send_that_did_not_start_counts_as_no_attempt() {
    let mut r = one_endpoint();
    let m = r.message(1, AT_MOST_ONCE, 10);
    let mut got = r.step(0, &[m]);
    for round in 0..20 {
        assert_eq!(sends(&got), [(1, 1)], "round {round}");
        got = r.step(10, &[ended(1, 0, Outcome::NotSent, 10)]);
    }
}

/// The rejection carries a Retry-After where clients are given one.
#[test]
fn a_message_that_is_given_up_is_answered_in_the_same_round() {
    let rejected_with_wait = |got: &[Action], id: u64| {
        got.iter().any(|a| matches!(a, Action::Reject { id: i, after: Some(t) } if i.0 == id && t.0 > 0))
    };
    // No attempt is left.
    let mut r = Forwarder::new(Settings { max_attempts: 1, ..settings() }, vec![list_entry(1, 10, 0, 0)]);
    let m = r.message(1, IDEMPOTENT, 10);
    r.step(0, &[m]);
    assert!(
        rejected_with_wait(&r.step(50, &[ended(1, 0, Outcome::Rejected(None), 50)]), 1),
        "no attempt left"
    );
    // Past the window of its key nothing more may be sent.
    let mut r = one_endpoint();
    let m = r.message(1, KEYED, 10);
    r.step(0, &[m]);
    assert!(rejected_with_wait(&r.step(7900, &[ended(1, 0, Outcome::Timeout, 7900)]), 1), "window over");
    let m = r.message(2, AT_MOST_ONCE, 10);
    let mut got = r.step(5000, &[m]);
    assert_eq!(sends(&got), [(2, 1)]);
    got = r.step(50, &[ended(2, 0, Outcome::Reset, 50)]);
    assert!(failed(&got, 2), "may have run: no promise, but at once");
    // Shedding: the answer comes with the message that reaches the limit.
    let mut r = Forwarder::new(Settings { max_pending: 20, ..settings() }, vec![]);
    let burst: Vec<Event> = (1..=20).map(|id| r.message(id, IDEMPOTENT, 10)).collect();
    let got = r.step(0, &burst);
    assert!((1..=20).any(|id| rejected_with_wait(&got, id)), "shed");
    // Where clients are given no Retry-After, the rejection has none.
    let mut r = Forwarder::new(
        Settings { max_attempts: 1, retry_after: None, ..settings() },
        vec![list_entry(1, 10, 0, 0)],
    );
    let m = r.message(1, IDEMPOTENT, 10);
    r.step(0, &[m]);
    let got = r.step(50, &[ended(1, 0, Outcome::Rejected(None), 50)]);
    assert!(got.contains(&Action::Reject { id: MessageId(1), after: None }), "{got:?}");
}

/// Nothing may take effect twice across a restart.
#[test]
fn a_resumed_message_keeps_its_prior_attempts() {
    let mut r = Forwarder::new(settings(), vec![list_entry(1, 1, 0, 0)]);
    let resumed = |r: &Forwarder, id, class, attempts, since: Option<u64>| match r.message(id, class, 1) {
        Event::Message(m) => {
            Event::Resumed(m, PriorAttempts { attempts, first_possible_run: since.map(|s| (ms(s), 0)) })
        }
        other => other,
    };
    let now = r.now.0 / MS;
    let (old, most) = (now.saturating_sub(60_000), settings().max_attempts);
    let events = [
        resumed(&r, 1, AT_MOST_ONCE, 1, Some(now)),
        resumed(&r, 2, AT_MOST_ONCE, 1, None),
        resumed(&r, 3, KEYED, 1, Some(old)),
        resumed(&r, 4, IDEMPOTENT, most, Some(now)),
        resumed(&r, 5, IDEMPOTENT, 1, Some(now)),
    ];
    let got = r.step(0, &events);
    assert!(failed(&got, 1), "may have run, must not again: {got:?}");
    assert!(
        got.iter().any(|a| matches!(a, Action::Reject { id: MessageId(4), .. })),
        "all attempts made: {got:?}"
    );
    let sent: Vec<u64> = sends(&got).iter().map(|s| s.0).collect();
    assert!(sent.contains(&2) && sent.contains(&5) && !sent.contains(&3), "{got:?}");
}
