//! The phases of a shutdown.
use super::shutdown::{next_look, Phase, SHUTDOWN_TIMEOUT};
use rstest::rstest;
use std::time::Duration;

#[rstest]
#[case::just_asked(0, 0, Phase::Serving)]
#[case::quiet_but_connections_still_come(1499, 0, Phase::Serving)]
#[case::quiet(1500, 0, Phase::Closing)]
#[case::attempts_are_out(1500, 3, Phase::Draining)]
#[case::they_hang(3299, 1, Phase::Draining)]
#[case::no_time_left(3300, 1, Phase::Closing)]
fn a_shutdown_serves_drains_and_closes(
    #[case] ms: u64, #[case] attempts_out: usize, #[case] expected: Phase,
) {
    assert_eq!(Phase::Serving.after(Duration::from_millis(ms), attempts_out), expected);
}

#[test]
fn a_phase_that_was_reached_is_not_left_again() {
    let early = Duration::from_millis(10);
    assert_eq!(Phase::Draining.after(early, 0), Phase::Draining);
    assert_eq!(Phase::Closing.after(early, 5), Phase::Closing);
}

/// The phase is looked at when it may change, and never in a loop without a pause.
#[test]
fn the_next_look_is_ahead() {
    let mut elapsed = Duration::ZERO;
    for _ in 0..10 {
        let next = next_look(elapsed);
        assert!(
            next >= elapsed + Duration::from_millis(50) || next == SHUTDOWN_TIMEOUT,
            "{elapsed:?} to {next:?}"
        );
        elapsed = next;
    }
    assert!(elapsed > SHUTDOWN_TIMEOUT);
}
