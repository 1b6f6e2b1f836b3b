//! Whose turn it is: what one process does about the folder that it shares with another, from what it sees. Sans I/O:
//! the daemon drives it with locks of the kernel's, the model (`crates/lab/tests/handover.rs`) with all interleavings of
//! two processes.
use crate::interface::Nanos;
use std::time::Duration;

/// How long client connections may take to end before the journal is let go; what comes on those that are left is
/// refused then. With the times between two looks at the locks it stays under the 400 ms that a client waits for its
/// answer, which is how long one may stand in the queue of the process that does not own the journal yet.
pub const CLOSE_FOR: Nanos = Nanos(150_000_000);
/// The time between two looks at the locks, of a process that waits for something; and of one that serves,
/// which looks all its life and mostly in vain.
pub const LOOK_EACH: Duration = Duration::from_millis(20);
pub const LOOK_SERVING: Duration = Duration::from_millis(50);
const _: () = assert!(
    LOOK_SERVING.as_nanos() + 2 * LOOK_EACH.as_nanos() + (CLOSE_FOR.0 as u128) < 300_000_000,
    "a client waits 0.4 s"
);

/// Where a process stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Stage {
    /// It does not own the journal, and waits for it.
    Waiting,
    /// It owns the journal and takes clients.
    Serving,
    /// It owns the journal, takes on what still comes on connections that it has, and takes no new ones.
    Closing {
        /// Since when.
        since: Nanos,
    },
    /// It has let the journal go, and waits for the ends of its calls.
    Left,
}

/// What it sees.
#[derive(Clone, Copy, Debug, Default)]
pub struct Seen {
    /// The owner's lock was free, and is now its own. Looked at in `Waiting` alone.
    pub owns: bool,
    /// Another process asks for the folder.
    pub asked: bool,
    /// Client connections are open.
    pub clients: bool,
    /// It has calls out.
    pub calls: bool,
    /// What it owes cannot be handed on now: the journal cannot be written, or an earlier process's calls are still out.
    pub bound: bool,
}

/// What it is to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Do {
    /// Read the journal, take clients.
    Serve,
    /// Take no new client connections, and end those that are between requests.
    Close,
    /// Take clients again.
    Open,
    /// Write what it knows into `late` and hold it; then take nothing on any more, start no attempt, let the owner's lock go.
    LetGo,
    /// Let `late` go, and forget all: the journal is another's.
    Forget,
}

/// One process's turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Turn {
    /// Where it stands.
    pub stage: Stage,
}

impl Turn {
    /// A process that has just started, or has been forgotten.
    pub fn new() -> Turn {
        Turn { stage: Stage::Waiting }
    }

    /// How long until the next look.
    pub fn pause(&self) -> Duration {
        match self.stage {
            Stage::Serving => LOOK_SERVING,
            Stage::Waiting | Stage::Closing { .. } | Stage::Left => LOOK_EACH,
        }
    }

    /// Looks, and says what is to be done now; nothing changes by itself in between.
    pub fn look(&mut self, now: Nanos, seen: Seen) -> Option<Do> {
        let (stage, what) = match self.stage {
            Stage::Waiting if seen.owns => (Stage::Serving, Do::Serve),
            // Guards what is owed: a journal that cannot be written is not handed on.
            Stage::Serving if seen.asked && !seen.bound => (Stage::Closing { since: now }, Do::Close),
            // A new one that does not come up, or a disk that fails, leaves this one serving.
            Stage::Closing { .. } if !seen.asked || seen.bound => (Stage::Serving, Do::Open),
            Stage::Closing { since } if !seen.clients || now - since >= CLOSE_FOR => (Stage::Left, Do::LetGo),
            Stage::Left if !seen.calls => (Stage::Waiting, Do::Forget),
            Stage::Waiting | Stage::Serving | Stage::Closing { .. } | Stage::Left => return None,
        };
        self.stage = stage;
        Some(what)
    }
}

impl Default for Turn {
    fn default() -> Turn {
        Turn::new()
    }
}
