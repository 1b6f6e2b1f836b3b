//! Tests of the endpoint list across processes, in virtual time on an in-memory disk.
use super::*;
use crate::core::test_forwarder::{
    configured, endpoint, moved, request, revision, Forwarder, DEST, SOURCE, STARTED,
};
use crate::core::tests::deployment;
use crate::core::{Answer, Input, Output};
use crate::request::RequestContext;
use rstest::rstest;

const OTHER_SOURCE: &str = "discovery:2";
/// The destination that [`moved`] brings.
const OTHER_DEST: u64 = DEST + 1;

/// Guards against calls to an address that has passed to another destination: the restarted process sent by its configuration.
#[test]
fn a_restarted_process_sends_by_the_list_that_the_last_one_received() {
    let mut forwarder = Forwarder::start(ListDelivery::Delayed);
    forwarder.step(vec![moved(SOURCE, 2)]);
    forwarder.restart(configured(1), ListDelivery::Delayed);
    let message = forwarder.message("m1");
    assert_eq!(forwarder.called_addresses(vec![message]), ["b"]);
    assert_eq!(forwarder.core.list_revision(), &revision(SOURCE, 2));
}

#[test]
fn the_stored_list_follows_changes_and_removals() {
    let mut forwarder = Forwarder::start(ListDelivery::Delayed);
    forwarder.step(vec![moved(SOURCE, 2)]);
    let removed = Endpoint { state: EndpointState::Removed, ..endpoint("s-2", "b", DEST) };
    let endpoints = vec![removed, endpoint("s-4", "c", DEST)];
    forwarder.step(vec![Input::Endpoints { revision: revision(SOURCE, 3), complete: false, endpoints }]);
    forwarder.restart(configured(1), ListDelivery::Delayed);
    let message = forwarder.message("m1");
    assert_eq!(forwarder.called_addresses(vec![message]), ["c"]);
}

/// Guards against messages that are refused for good: a restart falls between the removal of a destination's only endpoint and the
/// arrival of the next one, and the destination counted as one that never had an endpoint.
#[rstest]
#[case::in_the_configuration(DEST)]
#[case::learnt_from_discovery(OTHER_DEST)]
fn a_destination_that_has_lost_its_endpoint_stays_known_after_a_restart(#[case] dest: u64) {
    let mut forwarder = Forwarder::start(ListDelivery::Delayed);
    forwarder.step(vec![moved(SOURCE, 2)]);
    let removed = ["s-2", "s-3"].map(|uid| {
        let dest = if uid == "s-2" { DEST } else { OTHER_DEST };
        Endpoint { state: EndpointState::Removed, ..endpoint(uid, "b", dest) }
    });
    let endpoints = removed.into_iter().filter(|e| e.dest == dest).collect();
    forwarder.step(vec![Input::Endpoints { revision: revision(SOURCE, 3), complete: false, endpoints }]);
    forwarder.restart(configured(1), ListDelivery::Delayed);
    let context = RequestContext { dest, ..request("m1", forwarder.now) };
    let id = forwarder.core.next_id();
    let outputs = forwarder.step(vec![Input::Submitted { id, context }]);
    let is_accepted = |output: &Output| matches!(output, Output::Answer { answer: Answer::Accepted, .. });
    assert!(outputs.iter().any(is_accepted), "{outputs:?}");
    assert!(!outputs.iter().any(|output| matches!(output, Output::Call(_))), "{outputs:?}");
    let endpoints = vec![endpoint("s-9", "z", dest)];
    let arrived = Input::Endpoints { revision: revision(SOURCE, 4), complete: false, endpoints };
    assert_eq!(forwarder.called_addresses(vec![arrived]), ["z"]);
}

/// Guards against calls by an outdated list: the address passed to another destination while no process ran, and the restarted
/// process sent before it had read the answer of discovery.
#[test]
fn attempts_wait_for_the_first_answer_of_discovery() {
    let mut forwarder = Forwarder::start(ListDelivery::Delayed);
    let accepted = forwarder.message("m1");
    // The process is killed before its first attempt has a connection.
    assert_eq!(forwarder.called_addresses(vec![accepted]), ["a"]);
    forwarder.restart(configured(1), ListDelivery::Immediate);
    assert_eq!(forwarder.called_addresses(Vec::new()), Vec::<String>::new(), "before the answer");
    let submitted = forwarder.message("m2");
    assert_eq!(forwarder.called_addresses(vec![submitted]), Vec::<String>::new(), "before the answer");
    assert_eq!(forwarder.called_addresses(vec![moved(SOURCE, 2)]), ["b", "b"], "with the answer");
}

#[test]
fn attempts_start_by_the_last_known_list_if_discovery_stays_silent() {
    let mut forwarder = Forwarder::start(ListDelivery::Immediate);
    let message = forwarder.message("m1");
    assert_eq!(forwarder.called_addresses(vec![message]), Vec::<String>::new());
    let wake = forwarder.core.next_wake().expect("a wake-up");
    assert!(wake <= STARTED + CONFIRMATION_TIMEOUT_S, "{wake:?}");
    forwarder.now = STARTED + CONFIRMATION_TIMEOUT_S;
    assert_eq!(forwarder.called_addresses(Vec::new()), ["a"]);
}

/// A failed disk must not end the wait for the list, nor the list the wait for the disk.
#[test]
fn attempts_wait_for_both_the_list_and_the_disk() {
    let mut forwarder = Forwarder::start(ListDelivery::Immediate);
    let message = forwarder.message("m1");
    forwarder.step(vec![message]);
    forwarder.disk.fail_all();
    let rejected = forwarder.message("m2");
    forwarder.step(vec![rejected]);
    assert_eq!(forwarder.called_addresses(vec![moved(SOURCE, 2)]), Vec::<String>::new(), "the disk fails");
    forwarder.disk.recover();
    forwarder.now = forwarder.now + 1.5;
    assert_eq!(forwarder.called_addresses(Vec::new()), ["b"]);
    forwarder.restart(configured(1), ListDelivery::Delayed);
    assert_eq!(forwarder.core.list_revision(), &revision(SOURCE, 2), "stored once the disk had recovered");
}

/// Guards against a list without a change that could not be stored: no later change may be appended in its place.
#[test]
fn a_change_that_could_not_be_stored_is_stored_once_the_disk_recovers() {
    let change = |number: u64, uid: &str, address: &str| Input::Endpoints {
        revision: revision(SOURCE, number),
        complete: false,
        endpoints: vec![endpoint(uid, address, DEST)],
    };
    for is_followed_by_another in [false, true] {
        let mut forwarder = Forwarder::start(ListDelivery::Delayed);
        forwarder.step(vec![moved(SOURCE, 2)]);
        forwarder.disk.fail_all();
        forwarder.step(vec![change(3, "s-2", "c")]);
        forwarder.disk.recover();
        if is_followed_by_another {
            forwarder.step(vec![change(4, "s-3", "d")]);
        } else {
            forwarder.now = forwarder.core.next_wake().expect("a retry");
            forwarder.step(Vec::new());
        }
        forwarder.restart(configured(1), ListDelivery::Delayed);
        let host = forwarder.core.endpoints.id("s-2").expect("a listed endpoint");
        assert_eq!(forwarder.core.endpoints.get(host).expect("listed").address, "c");
    }
}

/// Guards against calls within a `Retry-After` that the predecessor received: the successor dropped what it was told of endpoints
/// that are not in its configuration.
#[test]
fn a_wait_that_the_predecessor_received_holds_at_an_endpoint_outside_the_configuration() {
    let mut forwarder = Forwarder::start(ListDelivery::Delayed);
    forwarder.step(vec![moved(SOURCE, 2)]);
    let host = forwarder.core.endpoints.id("s-2").expect("a listed endpoint");
    let wait = Nanos::from_secs(1.5);
    forwarder.core.release_journal(forwarder.now);
    let record = forwarder.core.late_retry_after(forwarder.now, host, wait).expect("a record");
    forwarder.restart(configured(1), ListDelivery::Delayed);
    let message = forwarder.message("m1");
    let calls = forwarder.called_addresses(vec![Input::PredecessorRecords(vec![record]), message]);
    assert_eq!(calls, Vec::<String>::new(), "within the wait");
    forwarder.now = forwarder.now + 1.0;
    assert_eq!(forwarder.called_addresses(Vec::new()), ["b"], "after the wait");
}

/// The process that has released the folder must not write there: its successor owns the list.
#[test]
fn a_process_that_has_released_the_journal_stores_no_list() {
    let mut forwarder = Forwarder::start(ListDelivery::Delayed);
    forwarder.step(vec![moved(SOURCE, 2)]);
    forwarder.core.release_journal(forwarder.now);
    forwarder.step(vec![moved(SOURCE, 3)]);
    forwarder.restart(configured(1), ListDelivery::Delayed);
    assert_eq!(forwarder.core.list_revision(), &revision(SOURCE, 2));
}

/// The process starts from revision 5 and stores revision 9 of `stored_source`; the next configuration has `next`.
#[rstest]
#[case::unchanged(SOURCE, 5, true)]
#[case::refreshed_but_older(SOURCE, 8, true)]
#[case::refreshed_and_equal(SOURCE, 9, true)]
#[case::refreshed_and_later(SOURCE, 12, false)]
#[case::numbered_by_another_server(OTHER_SOURCE, 12, true)]
fn the_later_list_is_used(#[case] stored_source: &str, #[case] next: u64, #[case] is_stored_used: bool) {
    let mut forwarder = Forwarder::start(ListDelivery::Delayed);
    forwarder.restart(configured(5), ListDelivery::Delayed);
    forwarder.step(vec![moved(stored_source, 9)]);
    forwarder.restart(configured(next), ListDelivery::Delayed);
    let message = forwarder.message("m1");
    assert_eq!(forwarder.called_addresses(vec![message]), [if is_stored_used { "b" } else { "a" }]);
}

/// A discovery server that has lost its data starts its numbers again: they are lower than that in the configuration.
#[test]
fn a_list_with_a_lower_number_than_the_unchanged_configuration_is_used() {
    let mut forwarder = Forwarder::start(ListDelivery::Delayed);
    forwarder.restart(configured(5), ListDelivery::Delayed);
    forwarder.step(vec![moved(SOURCE, 2)]);
    forwarder.restart(configured(5), ListDelivery::Delayed);
    let message = forwarder.message("m1");
    assert_eq!(forwarder.called_addresses(vec![message]), ["b"]);
}

/// Guards against zones and kinds that are stored by their place in the settings, which another version may order differently.
#[test]
fn zones_and_kinds_are_stored_by_name() {
    let settings = |zones: [&str; 2], kinds: [&str; 2]| DeploymentSettings {
        module: deployment().module.clone(),
        classes: Vec::new(),
        tenants: Vec::new(),
        zones: zones.map(String::from).to_vec(),
        kinds: kinds.map(String::from).to_vec(),
        connect_timeout: Nanos::from_secs(1.0),
    };
    let endpoint = Endpoint { zone: 1, kind: 0, ..endpoint("s-1", "a", DEST) };
    let stored = to_stored(&settings(["x", "y"], ["k", "l"]), &endpoint);
    let restored = to_endpoint(&settings(["y", "x"], ["l", "k"]), stored);
    assert_eq!((restored.zone, restored.kind), (0, 1));
}

/// Endpoints from the settings come from the settings again, so a partner that was taken out of them is not brought back.
#[test]
fn endpoints_from_the_settings_are_not_stored() {
    let mut registry = crate::core::endpoints::EndpointRegistry::new(vec![endpoint("as2:p", "p", 9)], 10);
    registry.update(true, vec![endpoint("s-1", "a", DEST)]);
    let stored: Vec<&str> = registry.listed_by_discovery().map(|e| e.uid.as_str()).collect();
    assert_eq!(stored, ["s-1"]);
}
