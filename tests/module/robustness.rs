//! Timers, determinism, and invalid events and settings.
use crate::common::*;
use crate::one_endpoint;
use micaladder::*;

#[test]
fn unexpected_events_and_impossible_settings_are_harmless() {
    let mut forwarder = one_endpoint();
    let unexpected = [
        attempt_ended(5, 3, Outcome::Ok, 1),
        Event::Withdrawn(MessageId(9)),
        Event::Due,
        Event::EndpointListFailed,
    ];
    assert!(sends(&forwarder.step(0, &unexpected)).is_empty());
    let mut unconfigured = Balancer::new(Settings::default(), 0);
    let mut actions = Vec::new();
    unconfigured.handle(ms(5), &[forwarder.message(1, IDEMPOTENT, 10)], &mut actions);
    assert_eq!(actions, [Action::Reject { id: MessageId(1), after: None }]);
    let mut no_slots = Forwarder::new(Settings { slots: 0, ..settings() }, vec![list_entry(1, 10, 0, 0)]);
    let m = no_slots.message(1, IDEMPOTENT, 10);
    assert!(sends(&no_slots.step(0, &[m])).is_empty());
    assert!(is_rejected(&no_slots.step(19_995, &[Event::Due]), 1));
}

#[test]
fn equal_events_give_equal_actions() {
    let play = || {
        let mut forwarder =
            Forwarder::new(settings(), (1..=6).map(|h| list_entry(h, u64::from(h % 3), 0, 0)).collect());
        let mut all = Vec::new();
        for id in 1..200u64 {
            let m = forwarder.message(id, id as usize % 4, id % 3);
            let actions = forwarder.step(20, &[m]);
            let outcome =
                [Outcome::Ok, Outcome::Rejected(None), Outcome::Ok, Outcome::Reset][id as usize % 4];
            let outcomes: Vec<Event> =
                sends(&actions).iter().map(|(i, _)| attempt_ended(*i, 0, outcome, 20)).collect();
            all.extend(actions);
            all.extend(forwarder.step(20, &outcomes));
        }
        all
    };
    assert_eq!(play(), play());
}

#[test]
fn one_timer_is_pending_for_all_messages() {
    let mut forwarder = one_endpoint();
    let mut timers = 0;
    for id in 1..=50 {
        let m = forwarder.message(id, IDEMPOTENT, 99);
        timers += forwarder.step(1, &[m]).iter().filter(|a| matches!(a, Action::WakeAt(_))).count();
    }
    assert!(timers <= 2, "{timers}");
}

/// Found on head-office-rela-later big-2: a timer fired some nanoseconds early, and the module then waited for it forever.
#[test]
fn a_timer_that_fires_early_is_set_again() {
    let mut forwarder = one_endpoint();
    let m = forwarder.message(1, IDEMPOTENT, 99);
    let sets_timer = |actions: &[Action]| actions.iter().any(|a| matches!(a, Action::WakeAt(_)));
    assert!(sets_timer(&forwarder.step(0, &[m])));
    assert!(!sets_timer(&forwarder.step(10, &[])), "a timer is pending");
    assert!(
        sets_timer(&forwarder.step(10, &[Event::Due])),
        "the timer has fired, even if the clock is before its time"
    );
}

/// During a pause no send starts, while attempts in flight and deadlines continue and messages lose no attempt.
#[test]
fn while_paused_nothing_is_sent_and_outcomes_and_deadlines_still_apply() {
    let mut forwarder = one_endpoint();
    let message = forwarder.message(1, IDEMPOTENT, 10);
    assert_eq!(sends(&forwarder.step(0, &[message])).len(), 1);
    let message = forwarder.message(2, IDEMPOTENT, 10);
    assert!(sends(&forwarder.step(5, &[Event::Paused(true), message])).is_empty());
    assert!(sends(&forwarder.step(5, &[attempt_ended(1, 0, Outcome::Ok, 10)])).is_empty());
    assert!(is_rejected(&forwarder.step(20_000, &[Event::Due]), 2), "message 2 is rejected at its deadline");
    let message = forwarder.message(3, IDEMPOTENT, 10);
    assert_eq!(sends(&forwarder.step(5, &[Event::Paused(false), message])), [(3, 1)]);
}
