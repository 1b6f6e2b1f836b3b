//! Tests of the health of endpoints across processes, in virtual time on an in-memory disk.
use crate::core::test_forwarder::{configured, endpoint, revision, Forwarder, DEST, SOURCE};
use crate::core::{Input, ListDelivery, Output};
use crate::interface::Outcome;

/// Time between two steps, in seconds.
const STEP_S: f64 = 0.01;

/// Submits a message and ends the call that follows with this outcome.
fn call(forwarder: &mut Forwarder, name: &str, outcome: Outcome) {
    let message = forwarder.message(name);
    let outputs = forwarder.step(vec![message]);
    let calls = outputs.into_iter().filter_map(|output| match output {
        Output::Call(attempts) => Some(attempts),
        _ => None,
    });
    let attempts: Vec<_> = calls.flatten().collect();
    assert_eq!(attempts.len(), 1, "{name} is called at once");
    for attempt in attempts {
        assert!(forwarder.core.may_send(forwarder.now, attempt.id, attempt.attempt));
        forwarder.now = forwarder.now + STEP_S;
        let (id, attempt, over) = (attempt.id, attempt.attempt, true);
        forwarder.step(vec![Input::AttemptEnded { id, attempt, outcome, over, report: None }]);
    }
}

/// Returns whether a new message is called in the step in which it is submitted.
fn is_called_at_once(forwarder: &mut Forwarder, name: &str) -> bool {
    let message = forwarder.message(name);
    !forwarder.called_addresses(vec![message]).is_empty()
}

/// Guards against issue 60: processes that were killed in an outage or a warm-up sent to the returning endpoint without a limit.
#[test]
fn a_restarted_process_does_not_send_at_full_rate_to_an_endpoint_that_was_failing() {
    let mut forwarder = Forwarder::start(ListDelivery::Delayed);
    call(&mut forwarder, "m1", Outcome::Ok);
    call(&mut forwarder, "m2", Outcome::Error);
    forwarder.restart(configured(1), ListDelivery::Delayed);
    assert!(!is_called_at_once(&mut forwarder, "m3"));
}

#[test]
fn a_restarted_process_sends_at_once_to_endpoints_that_were_healthy() {
    let mut forwarder = Forwarder::start(ListDelivery::Delayed);
    call(&mut forwarder, "m1", Outcome::Error);
    // The second call is served within a second of the first one, which was thus an isolated failure.
    let mut is_served = false;
    let message = forwarder.message("m2");
    let mut outputs = forwarder.step(vec![message]);
    for _ in 0..1000 {
        for output in std::mem::take(&mut outputs) {
            let Output::Call(attempts) = output else { continue };
            for attempt in attempts {
                assert!(forwarder.core.may_send(forwarder.now, attempt.id, attempt.attempt));
                let (id, attempt, outcome) = (attempt.id, attempt.attempt, Outcome::Ok);
                let ended = Input::AttemptEnded { id, attempt, outcome, over: true, report: None };
                outputs.extend(forwarder.step(vec![ended]));
                is_served = true;
            }
        }
        forwarder.now = forwarder.now + STEP_S;
        outputs.extend(forwarder.step(Vec::new()));
    }
    assert!(is_served);
    // Runs until the slow start that may have begun is over, so that the endpoint is healthy.
    for _ in 0..1000 {
        forwarder.now = forwarder.now + STEP_S;
        forwarder.step(Vec::new());
    }
    forwarder.restart(configured(1), ListDelivery::Delayed);
    assert!(is_called_at_once(&mut forwarder, "m3"));
}

/// The endpoint is missing from the list with which the process starts.
#[test]
fn the_health_of_an_endpoint_is_restored_once_it_is_listed() {
    let mut forwarder = Forwarder::start(ListDelivery::Delayed);
    call(&mut forwarder, "m1", Outcome::Error);
    forwarder.disk.folder.state().contents.remove("endpoints");
    let mut without_endpoint = configured(1);
    without_endpoint.endpoints = vec![endpoint("s-9", "z", DEST + 1)];
    forwarder.restart(without_endpoint, ListDelivery::Delayed);
    forwarder.step(Vec::new());
    let endpoints = vec![endpoint("s-1", "a", DEST)];
    forwarder.step(vec![Input::Endpoints { revision: revision(SOURCE, 2), complete: false, endpoints }]);
    assert!(!is_called_at_once(&mut forwarder, "m2"));
}

/// Guards against a process that loses what it knew: the folder cannot be written while the endpoint fails.
#[test]
fn the_health_of_an_endpoint_is_stored_once_the_disk_recovers() {
    let mut forwarder = Forwarder::start(ListDelivery::Delayed);
    call(&mut forwarder, "m1", Outcome::Ok);
    // Only new files fail, so the journal can be written.
    forwarder.disk.inject_faults(&["create"], 0, u64::MAX, 0);
    call(&mut forwarder, "m2", Outcome::Error);
    forwarder.disk.recover();
    for _ in 0..150 {
        forwarder.now = forwarder.now + STEP_S;
        forwarder.step(Vec::new());
    }
    forwarder.restart(configured(1), ListDelivery::Delayed);
    assert!(!is_called_at_once(&mut forwarder, "m3"));
}

/// Guards against a kill in a second outage: the process that was restored from a failing endpoint stored it as in slow start.
#[test]
fn an_endpoint_that_was_failing_stays_limited_after_two_restarts_without_a_call() {
    let mut forwarder = Forwarder::start(ListDelivery::Delayed);
    call(&mut forwarder, "m1", Outcome::Ok);
    call(&mut forwarder, "m2", Outcome::Error);
    for _ in 0..2 {
        forwarder.restart(configured(1), ListDelivery::Delayed);
        forwarder.step(Vec::new());
    }
    // Longer than a warm-up.
    for _ in 0..500 {
        forwarder.now = forwarder.now + STEP_S;
        forwarder.step(Vec::new());
    }
    assert!(!is_called_at_once(&mut forwarder, "m3"));
}
