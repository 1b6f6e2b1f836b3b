//! Takeover (hot restart): two processes share one lasting folder, and one at a time owns the journal. The successor asks
//! for the folder, the predecessor releases the journal and finishes its calls in flight, and the successor reads how they
//! ended. `state` decides; `lock` and `late_outcomes` are the files. Each file is locked by the kernel for one process, and
//! a kill releases the lock. Design: `docs/design/takeover.md`.
//!
//! | file | which process has its lock |
//! | --- | --- |
//! | `owner` | the owner of the journal: no other process writes it |
//! | `next` | a successor that asks for the folder, until it serves |
//! | `standby` | a predecessor that listens behind its successor |
//! | `late` | a predecessor with calls in flight; the file has their outcomes |
#![warn(missing_docs)]
mod late_outcomes;
mod lock;
pub mod state;

pub use late_outcomes::{LateOutcomeReader, LateOutcomeWriter};
pub use lock::{FolderLock, LockName, SharedFolder};

use std::io;
use std::path::PathBuf;

/// A file of the takeover could not be used.
#[derive(Debug, thiserror::Error)]
#[error("{path}: {problem}: {source}; see that this process may write the folder and that it has room")]
pub struct TakeoverError {
    path: PathBuf,
    problem: &'static str,
    source: io::Error,
}

#[cfg(test)]
mod tests;
