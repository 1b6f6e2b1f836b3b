//! The state machine of a takeover: what one process does about the folder that it shares with another, from what it
//! observes. Sans I/O: the daemon drives it with file locks of the kernel, the model (`crates/lab/tests/takeover.rs`) with
//! all interleavings of two processes.
use crate::interface::Nanos;
use std::time::Duration;

/// How long client connections may take to drain before the journal is released; what comes on those that are left is
/// rejected then.
pub const DRAIN_TIMEOUT: Nanos = Nanos(150_000_000);
/// The time between two polls of the locks, in a process that waits for a change of them.
pub const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The same in a process that serves: it polls for as long as it runs, mostly in vain.
pub const SERVING_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// How long a released journal is kept for the successor that asked for it. One that has not taken it by then is stopped or
/// hangs, and the predecessor serves again.
pub const REQUEST_LEASE: Nanos = Nanos(1_000_000_000);

/// Where a process stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum State {
    /// It waits for the owner's lock.
    WaitingForLock,
    /// It owns the journal and accepts clients.
    Serving,
    /// It owns the journal and serves, and closes client connections between requests.
    Draining {
        /// Since when.
        since: Nanos,
    },
    /// It has released the journal, and rejects requests. It waits for its calls in flight to end and for its client
    /// connections to be closed, or for its successor to be gone.
    Released,
}

/// Which request for the folder: no two have the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RequestId(pub u64);

/// What a process observes of the locks and of itself.
#[derive(Clone, Copy, Debug, Default)]
pub struct Observed {
    /// The owner's lock was free, and this process holds it now. Only meaningful in [`State::WaitingForLock`].
    pub lock_acquired: bool,
    /// Another process holds the owner's lock.
    pub owned_by_other: bool,
    /// The request of another process that asks to take the folder over, and does not serve yet.
    pub request: Option<RequestId>,
    /// Client connections are open.
    pub clients_connected: bool,
    /// Calls to endpoints are in flight.
    pub calls_in_flight: bool,
    /// The journal must not be released now: it cannot be written, calls of the predecessor are still in flight, or it
    /// still listens.
    pub release_blocked: bool,
}

/// What a process is to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Read the journal and accept clients.
    StartServing,
    /// Close client connections between requests. New ones are accepted still: nobody else listens yet.
    Drain,
    /// Keep client connections open again.
    Resume,
    /// Write what is known into `late` and keep its lock; then reject requests, start no attempt, and release the owner's
    /// lock.
    Release,
    /// Drop all state: the journal belongs to another process, or may be taken again. Calls that are in flight still go on,
    /// and `late` stays locked for as long.
    Reset,
}

/// The takeover as one process sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct StateMachine {
    /// Where the process stands.
    pub state: State,
    /// When it released the journal, until another process is known to have taken it.
    released_at: Option<Nanos>,
    /// The request that it released the journal for.
    released_for: Option<RequestId>,
    /// Another process has taken the journal that this one released, and serves.
    successor_serves: bool,
    /// A request that was not used in time: it is passed over.
    expired_request: Option<RequestId>,
}

impl StateMachine {
    /// For a process that has just started.
    pub fn new() -> StateMachine {
        StateMachine {
            state: State::WaitingForLock,
            released_at: None,
            released_for: None,
            successor_serves: false,
            expired_request: None,
        }
    }

    /// The time until the next step.
    pub fn poll_interval(&self) -> Duration {
        match self.state {
            State::Serving => SERVING_POLL_INTERVAL,
            State::WaitingForLock | State::Draining { .. } | State::Released => POLL_INTERVAL,
        }
    }

    /// Whether this process may try for the owner's lock; `request` as in [`Observed`]. A process that asks holds
    /// its request until it serves, so a journal that was released is left to the process that it was released for.
    /// Without this a predecessor, which is the first to find the lock free, takes the journal back from the successor
    /// that asked for it, again and again (issue 48).
    pub fn may_acquire(&self, now: Nanos, request: Option<RequestId>) -> bool {
        self.state == State::WaitingForLock && (request.is_none() || self.is_lease_over(now))
    }

    /// Whether a further process asks the successor of this one for the folder. This one has no part in it any more.
    pub fn is_superseded(&self, observed: Observed) -> bool {
        let is_of_another = observed.request.is_some() && observed.request != self.released_for;
        self.successor_serves && observed.owned_by_other && is_of_another
    }

    /// Whether this process, told to end, may do so: its calls have ended, and no successor is about to serve.
    pub fn may_exit(&self, observed: Observed) -> bool {
        !observed.calls_in_flight && (self.successor_serves || observed.request.is_none())
    }

    /// Takes what is observed, and returns what is to be done now. Nothing changes between two steps.
    pub fn step(&mut self, now: Nanos, observed: Observed) -> Option<Action> {
        // A successor holds its request until it serves: none, or that of another process, shows that it does.
        let is_used = observed.request.is_none() || observed.request != self.released_for;
        if observed.owned_by_other && (is_used || self.is_lease_over(now)) {
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

    fn is_lease_over(&self, now: Nanos) -> bool {
        self.released_at.is_some_and(|at| now - at >= REQUEST_LEASE)
    }

    fn transition(&self, now: Nanos, observed: Observed) -> Option<(State, Action)> {
        let is_requested = observed.request.is_some() && observed.request != self.expired_request;
        // Guards what is owed: a journal that cannot be written is not handed to another process.
        let may_release = is_requested && !observed.release_blocked;
        match self.state {
            State::WaitingForLock => observed.lock_acquired.then_some((State::Serving, Action::StartServing)),
            State::Serving => may_release.then_some((State::Draining { since: now }, Action::Drain)),
            // A successor that does not start, or a disk that fails, leaves this process serving.
            State::Draining { .. } if !may_release => Some((State::Serving, Action::Resume)),
            State::Draining { since } => {
                let drained = !observed.clients_connected || now - since >= DRAIN_TIMEOUT;
                drained.then_some((State::Released, Action::Release))
            }
            State::Released => self.is_over(now, observed).then_some((State::WaitingForLock, Action::Reset)),
        }
    }

    /// Whether the time as the owner is over: nothing is left of it, or nobody else serves, and its calls in flight may go
    /// on beside the next time.
    fn is_over(&self, now: Nanos, observed: Observed) -> bool {
        match observed.owned_by_other {
            true => !observed.calls_in_flight && !observed.clients_connected,
            false => observed.request.is_none() || self.is_lease_over(now),
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
