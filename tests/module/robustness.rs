//! Timers, determinism, and events and settings that make no sense.
use crate::common::*;
use crate::one_endpoint;
use micaladder::*;

#[test]
fn unexpected_events_and_impossible_settings_do_no_harm() {
    let mut r = one_endpoint();
    let odd =
        [ended(5, 3, Outcome::Ok, 1), Event::Withdrawn(MessageId(9)), Event::Due, Event::EndpointListFailed];
    assert!(sends(&r.step(0, &odd)).is_empty());
    let mut none = Balancer::new(Settings::default(), 0);
    let mut out = Vec::new();
    none.handle(ms(5), &[r.message(1, IDEMPOTENT, 10)], &mut out);
    assert_eq!(out, [Action::Reject { id: MessageId(1), after: None }]);
    let mut no_slots = Forwarder::new(Settings { slots: 0, ..settings() }, vec![list_entry(1, 10, 0, 0)]);
    let m = no_slots.message(1, IDEMPOTENT, 10);
    assert!(sends(&no_slots.step(0, &[m])).is_empty());
    assert!(rejected(&no_slots.step(19_995, &[Event::Due]), 1));
}

#[test]
fn equal_events_give_equal_actions() {
    let play = || {
        let mut r =
            Forwarder::new(settings(), (1..=6).map(|h| list_entry(h, u64::from(h % 3), 0, 0)).collect());
        let mut all = Vec::new();
        for id in 1..200u64 {
            let m = r.message(id, id as usize % 4, id % 3);
            let got = r.step(20, &[m]);
            let out = [Outcome::Ok, Outcome::Rejected(None), Outcome::Ok, Outcome::Reset][id as usize % 4];
            let back: Vec<Event> = sends(&got).iter().map(|(i, _)| ended(*i, 0, out, 20)).collect();
            all.extend(got);
            all.extend(r.step(20, &back));
        }
        all
    };
    assert_eq!(play(), play());
}

#[test]
fn one_timer_is_pending_for_all_messages() {
    let mut r = one_endpoint();
    let mut timers = 0;
    for id in 1..=50 {
        let m = r.message(id, IDEMPOTENT, 99);
        timers += r.step(1, &[m]).iter().filter(|a| matches!(a, Action::WakeAt(_))).count();
    }
    assert!(timers <= 2, "{timers}");
}

/// Found on head-office-rela-later big-2: a timer fired some nanoseconds early and was then waited for in
/// vain.
#[test]
fn a_timer_that_fires_early_is_set_again() {
    let mut r = one_endpoint();
    let m = r.message(1, IDEMPOTENT, 99);
    let wakes = |got: &[Action]| got.iter().any(|a| matches!(a, Action::WakeAt(_)));
    assert!(wakes(&r.step(0, &[m])));
    assert!(!wakes(&r.step(10, &[])), "one is pending");
    assert!(wakes(&r.step(10, &[Event::Due])), "it has fired, whatever the clock says");
}

/// While no send can start, attempts in flight and timers go on, and no attempt is used up.
#[test]
fn while_paused_nothing_is_sent_and_all_else_goes_on() {
    let mut r = one_endpoint();
    let message = r.message(1, IDEMPOTENT, 10);
    assert_eq!(sends(&r.step(0, &[message])).len(), 1);
    let message = r.message(2, IDEMPOTENT, 10);
    assert!(sends(&r.step(5, &[Event::Paused(true), message])).is_empty());
    assert!(sends(&r.step(5, &[ended(1, 0, Outcome::Ok, 10)])).is_empty());
    assert!(rejected(&r.step(20_000, &[Event::Due]), 2), "it ends in time");
    let message = r.message(3, IDEMPOTENT, 10);
    assert_eq!(sends(&r.step(5, &[Event::Paused(false), message])), [(3, 1)]);
}
