//! The phases of a graceful shutdown as a function of the time since the shutdown was requested. Performs no I/O.
use std::time::Duration;

/// The minimum time that client connections stay open. New connections still arrive for 0.4 s after SIGTERM.
const CONNECTION_GRACE_PERIOD: Duration = Duration::from_millis(500);
/// How long after the shutdown request new attempts still start.
const ATTEMPT_GRACE_PERIOD: Duration = Duration::from_millis(1500);
/// How long after the shutdown request the process waits for attempts in flight. The time for the last answers
/// (`client::FINAL_RESPONSE_TIMEOUT`) and the linger time after them (`client::CLOSE_LINGER`) follow, and then the process must
/// have exited before the SIGKILL 3.7 s after SIGTERM.
pub const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(3300);
/// Interval between two checks of the phase after the last deadline.
const RECHECK_INTERVAL: Duration = Duration::from_millis(50);

const _: () = assert!(CONNECTION_GRACE_PERIOD.as_millis() <= ATTEMPT_GRACE_PERIOD.as_millis());
const _: () = assert!(ATTEMPT_GRACE_PERIOD.as_millis() < SHUTDOWN_TIMEOUT.as_millis());

/// The phase of a shutdown, in the order of progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum ShutdownPhase {
    /// Requests are accepted and attempts start as usual.
    Serving,
    /// Requests are accepted for the next process, attempts in flight may end, and no new attempt starts.
    Draining,
    /// Client connections are closed and the process may exit.
    Closing,
}

impl ShutdownPhase {
    /// Returns the phase at `elapsed` after the shutdown request. Never returns a phase earlier than the current one.
    pub(super) fn after(self, elapsed: Duration, attempts_in_flight: usize) -> ShutdownPhase {
        self.max(ShutdownPhase::reached(elapsed, attempts_in_flight))
    }

    fn reached(elapsed: Duration, attempts_in_flight: usize) -> ShutdownPhase {
        if elapsed >= SHUTDOWN_TIMEOUT {
            return ShutdownPhase::Closing;
        }
        if elapsed < ATTEMPT_GRACE_PERIOD {
            return ShutdownPhase::Serving;
        }
        match attempts_in_flight {
            0 => ShutdownPhase::Closing,
            _ => ShutdownPhase::Draining,
        }
    }
}

/// Returns the time of the next check of the phase. Both times are relative to the shutdown request.
pub(super) fn next_check(elapsed: Duration) -> Duration {
    let deadlines = [ATTEMPT_GRACE_PERIOD, SHUTDOWN_TIMEOUT];
    deadlines.into_iter().find(|deadline| *deadline > elapsed).unwrap_or(elapsed + RECHECK_INTERVAL)
}
