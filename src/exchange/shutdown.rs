//! The phases of a graceful shutdown, without I/O: what the process still does how long after the shutdown was requested.
use std::time::Duration;

/// How long client connections stay open at least: new ones still arrive for 0.4 s after SIGTERM.
const CONNECTION_GRACE_PERIOD: Duration = Duration::from_millis(500);
/// How long new attempts still start.
const ATTEMPT_GRACE_PERIOD: Duration = Duration::from_millis(1500);
/// How long the process waits for attempts in flight. With the last answers (`client::FINAL_RESPONSE_TIMEOUT`) and the time that
/// the process outlives them (`client::CLOSE_LINGER`) it must have exited before a SIGKILL that comes after 3.7 s.
pub const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(3300);
/// Pause between two checks of the phase once all its deadlines have passed.
const RECHECK_INTERVAL: Duration = Duration::from_millis(50);

const _: () = assert!(CONNECTION_GRACE_PERIOD.as_millis() <= ATTEMPT_GRACE_PERIOD.as_millis());
const _: () = assert!(ATTEMPT_GRACE_PERIOD.as_millis() < SHUTDOWN_TIMEOUT.as_millis());

/// How far a shutdown has progressed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum ShutdownPhase {
    /// Requests are accepted and attempts start as usual.
    Serving,
    /// Requests are accepted for the next process; attempts in flight may end, and no new one starts.
    Draining,
    /// Client connections are closed; the process may exit.
    Closing,
}

impl ShutdownPhase {
    /// The phase so long after the shutdown was requested. A phase that was reached is never left for an earlier one.
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

/// How long after the request for the shutdown its phase is to be checked next.
pub(super) fn next_check(elapsed: Duration) -> Duration {
    let deadlines = [ATTEMPT_GRACE_PERIOD, SHUTDOWN_TIMEOUT];
    deadlines.into_iter().find(|deadline| *deadline > elapsed).unwrap_or(elapsed + RECHECK_INTERVAL)
}
