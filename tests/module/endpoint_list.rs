//! The endpoint list.
use crate::common::*;
use micaladder::*;

#[test]
fn a_draining_endpoint_gets_no_new_send_and_a_complete_list_removes_missing_ones() {
    let mut r = Forwarder::new(settings(), vec![list_entry(1, 10, 0, 0), list_entry(2, 10, 0, 0)]);
    let stopping = EndpointEntry { state: EndpointState::Draining, ..list_entry(1, 10, 0, 0) };
    let m = r.message(1, IDEMPOTENT, 10);
    assert_eq!(
        sends(&r.step(0, &[m, Event::EndpointList { complete: false, entries: vec![stopping] }])),
        [(1, 2)]
    );
    let m = r.message(2, IDEMPOTENT, 10);
    let whole = Event::EndpointList { complete: true, entries: vec![list_entry(3, 10, 0, 0)] };
    assert_eq!(sends(&r.step(10, &[whole, m])), [(2, 3)]);
}

#[test]
fn the_list_is_requested_with_backoff_where_it_must_be() {
    let mut r = Forwarder::new(Settings { poll_interval: Some(ms(10_000)), ..settings() }, vec![]);
    let mut asked = 0;
    for _ in 0..100 {
        let got = r.step(100, &[Event::EndpointListFailed]);
        asked += got.iter().filter(|a| **a == Action::WatchEndpointList).count();
    }
    assert!(asked <= 10, "no storm: {asked} in 10 s");
    let mut fresh = Balancer::new(Settings { poll_interval: Some(ms(10_000)), ..settings() }, 1);
    let mut out = Vec::new();
    fresh.handle(ms(1), &[], &mut out);
    assert_eq!(out, [Action::WatchEndpointList]);
}
