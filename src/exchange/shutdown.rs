//! The phases of a graceful shutdown, without I/O: what is still done at which time after it was asked for.
use std::time::Duration;

/// New connections still come for 0.4 s after SIGTERM, so none is closed before this.
const CONNECTIONS_FOR: Duration = Duration::from_millis(500);
/// For how long new attempts still start.
const ATTEMPTS_FOR: Duration = Duration::from_millis(1500);
/// When the last attempt is waited for no longer. With the last answers (`client::FINAL_RESPONSES`) and the time that the
/// process outlives them (`client::CLOSE_LINGER`) it must be gone before a SIGKILL that comes after 3.7 s.
pub const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(3300);
/// How soon the phase is looked at again once all its times have passed.
const LOOK_AGAIN: Duration = Duration::from_millis(50);

const _: () = assert!(CONNECTIONS_FOR.as_millis() <= ATTEMPTS_FOR.as_millis());
const _: () = assert!(ATTEMPTS_FOR.as_millis() < SHUTDOWN_TIMEOUT.as_millis());

/// How far a shutdown has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Phase {
    /// Requests are taken on and attempts start as ever.
    Serving,
    /// Requests are taken on for the next process; attempts that are out may end, and no new one starts.
    Draining,
    /// Client connections are closed; the process may end.
    Closing,
}

impl Phase {
    /// The phase so long after the shutdown was asked for.
    pub(super) fn after(self, elapsed: Duration, attempts_out: usize) -> Phase {
        let draining = elapsed >= ATTEMPTS_FOR;
        let drained = draining && attempts_out == 0;
        let reached = match (draining, drained || elapsed >= SHUTDOWN_TIMEOUT) {
            (_, true) => Phase::Closing,
            (true, false) => Phase::Draining,
            (false, false) => Phase::Serving,
        };
        self.max(reached)
    }
}

/// How long after the shutdown was asked for the phase is to be looked at next.
pub(super) fn next_look(elapsed: Duration) -> Duration {
    let steps = [ATTEMPTS_FOR, SHUTDOWN_TIMEOUT];
    steps.into_iter().find(|step| *step > elapsed).unwrap_or(elapsed + LOOK_AGAIN)
}
