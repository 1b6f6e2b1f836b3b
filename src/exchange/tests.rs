//! Tests of the exchange task, and of the phases of a graceful shutdown.
use super::shutdown::{next_check, ShutdownPhase, SHUTDOWN_TIMEOUT};
use super::{AttemptId, Exchange, UpstreamCommand};
use crate::clock;
use crate::core::test_forwarder::{request, Forwarder};
use crate::core::{Answer, ListDelivery};
use rstest::rstest;
use std::time::Duration;

#[rstest]
#[case::just_requested(0, 0, ShutdownPhase::Serving)]
#[case::idle_but_connections_still_arrive(1499, 0, ShutdownPhase::Serving)]
#[case::idle(1500, 0, ShutdownPhase::Closing)]
#[case::attempts_in_flight(1500, 3, ShutdownPhase::Draining)]
#[case::an_attempt_hangs(3299, 1, ShutdownPhase::Draining)]
#[case::timed_out(3300, 1, ShutdownPhase::Closing)]
fn a_shutdown_phase_follows_from_the_time_and_the_attempts_in_flight(
    #[case] ms: u64, #[case] attempts_in_flight: usize, #[case] expected: ShutdownPhase,
) {
    let phase = ShutdownPhase::Serving.after(Duration::from_millis(ms), attempts_in_flight);
    assert_eq!(phase, expected);
}

#[test]
fn a_shutdown_phase_never_goes_back() {
    let early = Duration::from_millis(10);
    assert_eq!(ShutdownPhase::Draining.after(early, 0), ShutdownPhase::Draining);
    assert_eq!(ShutdownPhase::Closing.after(early, 5), ShutdownPhase::Closing);
}

/// The phase is checked at each deadline and otherwise at intervals of at least 50 ms.
#[test]
fn phase_checks_never_form_a_busy_loop() {
    let mut elapsed = Duration::ZERO;
    for _ in 0..10 {
        let next = next_check(elapsed);
        let is_paused = next >= elapsed + Duration::from_millis(50);
        assert!(is_paused || next == SHUTDOWN_TIMEOUT, "{elapsed:?} to {next:?}");
        elapsed = next;
    }
    assert!(elapsed > SHUTDOWN_TIMEOUT);
}

/// Guards against lost messages (issue 57): the connection of a request ended, and the same request came again on another one before
/// the first was answered. The second one was answered with 202, and the message was withdrawn with the first.
#[tokio::test]
async fn a_message_outlives_its_first_client_if_the_request_came_again() {
    let (exchange, mut outputs) = Exchange::new(Forwarder::start(ListDelivery::Delayed).core);
    // Polled once, so that the request is submitted, and dropped as when its client disconnects.
    tokio::select! {
        biased;
        answer = exchange.submit(request("m1", clock::now())) => panic!("answered before a step: {answer:?}"),
        () = std::future::ready(()) => {}
    }
    assert_eq!(exchange.submit(request("m1", clock::now())).await, Answer::Accepted);
    let attempt = loop {
        match outputs.upstream_commands.recv().await {
            Some(UpstreamCommand::Call(attempts)) => break AttemptId::from(&attempts[0]),
            Some(_) => {}
            None => panic!("the exchange task has ended"),
        }
    };
    assert!(exchange.may_send(attempt), "the accepted message is still to be delivered");
}
