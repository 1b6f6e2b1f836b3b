//! The state machine of a takeover: what one process does about the folder that it shares with another, from what it
//! observes. Sans I/O: the daemon drives it with file locks of the kernel, the model (`crates/lab/tests/takeover.rs`) with
//! all interleavings of two processes.
use crate::interface::Nanos;
use std::time::Duration;

/// How long client connections may take to drain before the journal is released; what comes on those that are left is
/// rejected then. With the times between two polls of the locks it stays under the 400 ms that a client waits for its
/// answer, which is how long one may wait in the accept queue of the process that does not own the journal yet.
pub const DRAIN_TIMEOUT: Nanos = Nanos(150_000_000);
/// The time between two polls of the locks, in a process that waits for a change of them.
pub const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The same in a successor that asks: until it owns the journal, clients are rejected.
pub const SUCCESSOR_POLL_INTERVAL: Duration = Duration::from_millis(2);
/// How long a released journal is kept for the successor that asked for it. One that polls so much later is stopped, and
/// the predecessor serves again.
pub const REQUEST_LEASE: Nanos = Nanos(1_000_000_000);
/// The same in a process that serves: it polls for as long as it runs, mostly in vain.
pub const SERVING_POLL_INTERVAL: Duration = Duration::from_millis(50);
const _: () = assert!(
    SERVING_POLL_INTERVAL.as_nanos() + 2 * POLL_INTERVAL.as_nanos() + (DRAIN_TIMEOUT.0 as u128) < 300_000_000,
    "a client waits 0.4 s"
);

/// Where a process stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum State {
    /// It waits for the owner's lock.
    WaitingForLock,
    /// It owns the journal and accepts clients.
    Serving,
    /// It owns the journal, serves the connections that it has, and accepts no new ones.
    Draining {
        /// Since when.
        since: Nanos,
    },
    /// It has released the journal, and waits for its calls in flight to end.
    Released,
}

/// What a process observes of the locks and of itself.
#[derive(Clone, Copy, Debug, Default)]
pub struct Observed {
    /// The owner's lock was free, and this process holds it now. Only meaningful in [`State::WaitingForLock`].
    pub lock_acquired: bool,
    /// Another process asks to take the folder over, and does not serve yet.
    pub takeover_requested: bool,
    /// Client connections are open.
    pub clients_connected: bool,
    /// Calls to endpoints are in flight.
    pub calls_in_flight: bool,
    /// The journal must not be released now: it cannot be written, or calls of the predecessor are still in flight.
    pub release_blocked: bool,
}

/// What a process is to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Read the journal and accept clients.
    StartServing,
    /// Accept no new client connections, and close those that are between requests.
    StopAccepting,
    /// Accept clients again.
    ResumeAccepting,
    /// Write what is known into `late` and keep its lock; then accept nothing, start no attempt, and release the owner's
    /// lock.
    Release,
    /// Release `late` and drop all state: the journal belongs to another process.
    Reset,
}

/// The takeover as one process sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct StateMachine {
    /// Where the process stands.
    pub state: State,
    /// When it released the journal, until another process is known to have taken it.
    released_at: Option<Nanos>,
    /// The request that is pending expired before: it is passed over until it is withdrawn.
    is_request_expired: bool,
}

impl StateMachine {
    /// For a process that has just started.
    pub fn new() -> StateMachine {
        StateMachine { state: State::WaitingForLock, released_at: None, is_request_expired: false }
    }

    /// The time until the next step.
    pub fn poll_interval(&self) -> Duration {
        match self.state {
            State::Serving => SERVING_POLL_INTERVAL,
            State::WaitingForLock | State::Draining { .. } | State::Released => POLL_INTERVAL,
        }
    }

    /// Whether this process may try for the owner's lock; `takeover_requested` as in [`Observed`]. A process that asks holds
    /// its request until it serves, so a journal that was released is left to the process that it was released for.
    /// Without this a predecessor, which is the first to find the lock free, takes the journal back from the successor
    /// that asked for it, again and again (issue 48).
    pub fn may_acquire(&self, now: Nanos, takeover_requested: bool) -> bool {
        let is_expired = self.released_at.is_some_and(|at| now - at >= REQUEST_LEASE);
        self.state == State::WaitingForLock && (!takeover_requested || is_expired)
    }

    /// The owner's lock was tried and is another process's: the successor has taken the journal.
    pub fn lock_refused(&mut self) {
        self.released_at = None;
    }

    /// Takes what is observed, and returns what is to be done now. Nothing changes between two steps.
    pub fn step(&mut self, now: Nanos, observed: Observed) -> Option<Action> {
        self.is_request_expired &= observed.takeover_requested;
        let (next, action) = self.transition(now, observed)?;
        self.state = next;
        match action {
            Action::Release => self.released_at = Some(now),
            Action::StartServing => {
                self.released_at = None;
                self.is_request_expired = observed.takeover_requested;
            }
            Action::StopAccepting | Action::ResumeAccepting | Action::Reset => {}
        }
        Some(action)
    }

    fn transition(&self, now: Nanos, observed: Observed) -> Option<(State, Action)> {
        let is_requested = observed.takeover_requested && !self.is_request_expired;
        // Guards what is owed: a journal that cannot be written is not handed to another process.
        let may_release = is_requested && !observed.release_blocked;
        match self.state {
            State::WaitingForLock => observed.lock_acquired.then_some((State::Serving, Action::StartServing)),
            State::Serving => may_release.then_some((State::Draining { since: now }, Action::StopAccepting)),
            // A successor that does not start, or a disk that fails, leaves this process serving.
            State::Draining { .. } if !may_release => Some((State::Serving, Action::ResumeAccepting)),
            State::Draining { since } => {
                let drained = !observed.clients_connected || now - since >= DRAIN_TIMEOUT;
                drained.then_some((State::Released, Action::Release))
            }
            State::Released => (!observed.calls_in_flight).then_some((State::WaitingForLock, Action::Reset)),
        }
    }

    /// The release failed; the process goes on as the owner, and drains anew.
    pub fn release_failed(&mut self, now: Nanos) {
        self.state = State::Draining { since: now };
        self.released_at = None;
    }
}

impl Default for StateMachine {
    fn default() -> StateMachine {
        StateMachine::new()
    }
}
