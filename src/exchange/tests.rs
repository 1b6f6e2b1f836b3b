//! Tests of the phases of a graceful shutdown.
use super::shutdown::{next_check, ShutdownPhase, SHUTDOWN_TIMEOUT};
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
