//! Whose turn it is: what one process does about the folder that it shares with another, from what it sees. Sans I/O:
//! the daemon drives it with locks of the kernel's, the model (`crates/lab/tests/handover.rs`) with all interleavings of
//! two processes.
use crate::interface::Nanos;
use std::time::Duration;

/// How long client connections may take to end before the journal is let go; what comes on those that are left is
/// refused then. With the times between two looks at the locks it stays under the 400 ms that a client waits for its
/// answer, which is how long one may stand in the queue of the process that does not own the journal yet.
pub const DRAIN_TIMEOUT: Nanos = Nanos(150_000_000);
/// The time between two looks at the locks, of a process that waits for something; and of one that serves,
/// which looks all its life and mostly in vain.
pub const POLL_INTERVAL: Duration = Duration::from_millis(20);
pub const SERVING_POLL_INTERVAL: Duration = Duration::from_millis(50);
const _: () = assert!(
    SERVING_POLL_INTERVAL.as_nanos() + 2 * POLL_INTERVAL.as_nanos() + (DRAIN_TIMEOUT.0 as u128) < 300_000_000,
    "a client waits 0.4 s"
);

/// Where a process stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum State {
    /// It does not own the journal, and waits for it.
    WaitingForLock,
    /// It owns the journal and takes clients.
    Serving,
    /// It owns the journal, takes on what still comes on connections that it has, and takes no new ones.
    Draining {
        /// Since when.
        since: Nanos,
    },
    /// It has let the journal go, and waits for the ends of its calls.
    Released,
}

/// What it sees.
#[derive(Clone, Copy, Debug, Default)]
pub struct Observed {
    /// The owner's lock was free, and is now its own. Looked at in `Waiting` alone.
    pub lock_acquired: bool,
    /// Another process asks for the folder.
    pub takeover_requested: bool,
    /// Client connections are open.
    pub clients_connected: bool,
    /// It has calls out.
    pub calls_in_flight: bool,
    /// What it owes cannot be handed on now: the journal cannot be written, or an earlier process's calls are still out.
    pub release_blocked: bool,
}

/// What it is to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Read the journal, take clients.
    StartServing,
    /// Take no new client connections, and end those that are between requests.
    StopAccepting,
    /// Take clients again.
    ResumeAccepting,
    /// Write what it knows into `late` and hold it; then take nothing on any more, start no attempt, let the owner's lock go.
    Release,
    /// Let `late` go, and forget all: the journal is another's.
    Reset,
}

/// One process's turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct StateMachine {
    /// Where it stands.
    pub state: State,
}

impl StateMachine {
    /// A process that has just started, or has been forgotten.
    pub fn new() -> StateMachine {
        StateMachine { state: State::WaitingForLock }
    }

    /// How long until the next look.
    pub fn poll_interval(&self) -> Duration {
        match self.state {
            State::Serving => SERVING_POLL_INTERVAL,
            State::WaitingForLock | State::Draining { .. } | State::Released => POLL_INTERVAL,
        }
    }

    /// Looks, and says what is to be done now; nothing changes by itself in between.
    pub fn step(&mut self, now: Nanos, observed: Observed) -> Option<Action> {
        let (stage, what) = match self.state {
            State::WaitingForLock if observed.lock_acquired => (State::Serving, Action::StartServing),
            // Guards what is owed: a journal that cannot be written is not handed on.
            State::Serving if observed.takeover_requested && !observed.release_blocked => {
                (State::Draining { since: now }, Action::StopAccepting)
            }
            // A new one that does not come up, or a disk that fails, leaves this one serving.
            State::Draining { .. } if !observed.takeover_requested || observed.release_blocked => {
                (State::Serving, Action::ResumeAccepting)
            }
            State::Draining { since } if !observed.clients_connected || now - since >= DRAIN_TIMEOUT => {
                (State::Released, Action::Release)
            }
            State::Released if !observed.calls_in_flight => (State::WaitingForLock, Action::Reset),
            State::WaitingForLock | State::Serving | State::Draining { .. } | State::Released => return None,
        };
        self.state = stage;
        Some(what)
    }
}

impl Default for StateMachine {
    fn default() -> StateMachine {
        StateMachine::new()
    }
}
