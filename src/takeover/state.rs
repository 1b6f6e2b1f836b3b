//! The state machine of a takeover: decides from its observations what one process does about the folder that it shares with
//! another. It does no I/O: the daemon drives it with the kernel's file locks, and the model in `crates/lab/tests/takeover/`
//! with all interleavings of two processes.
use crate::interface::Nanos;
use std::time::Duration;

/// How long client connections may take to drain before the journal is released. Requests that arrive later on connections
/// that are still open are rejected.
pub const DRAIN_TIMEOUT: Nanos = Nanos(150_000_000);
/// Interval at which a process that waits for a change of the locks polls them.
pub const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Interval at which a serving process polls the locks. It is longer because most of these polls find no change.
pub const SERVING_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// How long a released journal is reserved for the successor that requested it. A successor that has not acquired it by then
/// is suspended or hangs, and the predecessor serves again.
pub const REQUEST_LEASE: Nanos = Nanos(1_000_000_000);

/// The state of a process in the takeover.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum State {
    /// The process waits for the owner's lock.
    WaitingForLock,
    /// The process owns the journal and accepts clients.
    Serving,
    /// The process owns the journal and serves, and closes client connections between requests.
    Draining {
        /// When draining started.
        since: Nanos,
    },
    /// The process has released the journal and rejects requests. It waits until its calls in flight have ended and its
    /// client connections are closed, or until its successor is gone.
    Released,
}

/// A unique id of a request for the folder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RequestId(pub u64);

/// What a process observes of the locks and of its own work.
#[derive(Clone, Copy, Debug, Default)]
pub struct Observed {
    /// This process has just acquired the owner's lock. Only meaningful in [`State::WaitingForLock`].
    pub lock_acquired: bool,
    /// Another process holds the owner's lock.
    pub owned_by_other: bool,
    /// The request of another process that is to take over and does not serve yet.
    pub request: Option<RequestId>,
    /// Client connections are open.
    pub clients_connected: bool,
    /// Calls to endpoints are in flight.
    pub calls_in_flight: bool,
    /// The journal must not be released now: it cannot be written, or a predecessor still has calls in flight or still
    /// listens.
    pub release_blocked: bool,
}

/// An action that the process must take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Read the journal and accept clients.
    StartServing,
    /// Close client connections between requests. New ones are still accepted, because no other process listens yet.
    Drain,
    /// Keep client connections open again.
    Resume,
    /// Lock `late` and write the observations of endpoints to it; then reject requests, start no attempt, and release the
    /// owner's lock.
    Release,
    /// Drop all state, because the journal belongs to another process or may be taken again. Calls still in flight continue,
    /// and `late` stays locked until they end.
    Reset,
}

/// The takeover from the point of view of one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct StateMachine {
    /// The current state.
    pub state: State,
    /// When this process released the journal; `None` once another process is known to have taken it.
    released_at: Option<Nanos>,
    /// The request for which this process released the journal.
    released_for: Option<RequestId>,
    /// Whether another process has taken the journal that this one released, and serves.
    successor_serves: bool,
    /// A request that was not used within its lease and is ignored from then on.
    expired_request: Option<RequestId>,
}

impl StateMachine {
    /// Creates the state machine of a process that has just started.
    pub fn new() -> StateMachine {
        StateMachine {
            state: State::WaitingForLock,
            released_at: None,
            released_for: None,
            successor_serves: false,
            expired_request: None,
        }
    }

    /// Returns the time until the next step.
    pub fn poll_interval(&self) -> Duration {
        match self.state {
            State::Serving => SERVING_POLL_INTERVAL,
            State::WaitingForLock | State::Draining { .. } | State::Released => POLL_INTERVAL,
        }
    }

    /// Returns whether this process may try to acquire the owner's lock; `request` is the one in [`Observed`]. A successor
    /// holds its request until it serves, so the released journal is left to it. Otherwise the predecessor, which is the
    /// first to find the lock free, would repeatedly take the journal back from the successor that requested it (issue 48).
    pub fn may_acquire(&self, now: Nanos, request: Option<RequestId>) -> bool {
        self.state == State::WaitingForLock && (request.is_none() || self.is_lease_expired(now))
    }

    /// Returns whether a third process requests the folder from this process's successor, which ends this one's role.
    pub fn is_superseded(&self, observed: Observed) -> bool {
        let is_new_request = observed.request.is_some() && observed.request != self.released_for;
        self.successor_serves && observed.owned_by_other && is_new_request
    }

    /// Returns whether this process may exit after SIGTERM: its calls have ended, and no successor is about to serve.
    pub fn may_exit(&self, observed: Observed) -> bool {
        !observed.calls_in_flight && (self.successor_serves || observed.request.is_none())
    }

    /// Processes an observation and returns the action to take, if any. The state changes only here and when a release fails.
    pub fn step(&mut self, now: Nanos, observed: Observed) -> Option<Action> {
        // A successor holds its request until it serves, so it serves if there is no request or one from a third process.
        let is_request_served = observed.request.is_none() || observed.request != self.released_for;
        if observed.owned_by_other && (is_request_served || self.is_lease_expired(now)) {
            self.released_at = None;
            self.successor_serves = true;
        }
        let (next, action) = self.transition(now, observed)?;
        self.state = next;
        match action {
            Action::Release => {
                self.released_at = Some(now);
                self.released_for = observed.request;
            }
            Action::StartServing => {
                self.released_at = None;
                self.successor_serves = false;
                self.released_for = None;
                self.expired_request = observed.request;
            }
            Action::Drain | Action::Resume | Action::Reset => {}
        }
        Some(action)
    }

    fn is_lease_expired(&self, now: Nanos) -> bool {
        self.released_at.is_some_and(|at| now - at >= REQUEST_LEASE)
    }

    fn transition(&self, now: Nanos, observed: Observed) -> Option<(State, Action)> {
        let is_requested = observed.request.is_some() && observed.request != self.expired_request;
        // A blocked release does not start: if the journal cannot be written, for instance, its pending records would be
        // lost.
        let may_release = is_requested && !observed.release_blocked;
        match self.state {
            State::WaitingForLock => observed.lock_acquired.then_some((State::Serving, Action::StartServing)),
            State::Serving => may_release.then_some((State::Draining { since: now }, Action::Drain)),
            // If the successor does not start or the disk fails, this process continues to serve.
            State::Draining { .. } if !may_release => Some((State::Serving, Action::Resume)),
            State::Draining { since } => {
                let is_drained = !observed.clients_connected || now - since >= DRAIN_TIMEOUT;
                is_drained.then_some((State::Released, Action::Release))
            }
            State::Released => {
                self.may_reset(now, observed).then_some((State::WaitingForLock, Action::Reset))
            }
        }
    }

    /// Returns whether the released state may end: no call or client connection is left, or no other process serves. In the
    /// latter case calls in flight may continue while this process owns the journal again.
    fn may_reset(&self, now: Nanos, observed: Observed) -> bool {
        match observed.owned_by_other {
            true => !observed.calls_in_flight && !observed.clients_connected,
            false => observed.request.is_none() || self.is_lease_expired(now),
        }
    }

    /// Returns to draining after a failed release; the process remains the owner and tries again after the drain.
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
