//! The endpoint list.
use crate::common::*;
use micaladder::*;

#[test]
fn a_draining_endpoint_gets_no_new_send_and_a_complete_list_removes_missing_ones() {
    let mut forwarder = Forwarder::new(settings(), vec![list_entry(1, 10, 0, 0), list_entry(2, 10, 0, 0)]);
    let draining = EndpointEntry { state: EndpointState::Draining, ..list_entry(1, 10, 0, 0) };
    let m = forwarder.message(1, IDEMPOTENT, 10);
    assert_eq!(
        sends(&forwarder.step(0, &[m, Event::EndpointList { complete: false, entries: vec![draining] }])),
        [(1, 2)]
    );
    let m = forwarder.message(2, IDEMPOTENT, 10);
    let complete_list = Event::EndpointList { complete: true, entries: vec![list_entry(3, 10, 0, 0)] };
    assert_eq!(sends(&forwarder.step(10, &[complete_list, m])), [(2, 3)]);
}

#[test]
fn the_list_is_polled_with_backoff_where_a_poll_interval_is_set() {
    let mut forwarder = Forwarder::new(Settings { poll_interval: Some(ms(10_000)), ..settings() }, vec![]);
    let mut polls = 0;
    for _ in 0..100 {
        let actions = forwarder.step(100, &[Event::EndpointListFailed]);
        polls += actions.iter().filter(|a| **a == Action::WatchEndpointList).count();
    }
    assert!(polls <= 10, "{polls} polls in 10 s");
    let mut fresh = Balancer::new(Settings { poll_interval: Some(ms(10_000)), ..settings() }, 1);
    let mut actions = Vec::new();
    fresh.handle(ms(1), &[], &mut actions);
    assert_eq!(actions, [Action::WatchEndpointList]);
}
