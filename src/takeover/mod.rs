//! Takeover (hot restart): two processes share one state folder, and one of them at a time owns the journal. The successor
//! requests the folder, the predecessor releases the journal and finishes its calls in flight, and the successor reads their
//! outcomes. `state` makes the decisions; `lock` and `late_outcomes` manage the files. Each file is locked through the kernel
//! by one process, so the lock is released even if that process is killed. Design: `docs/design/takeover.md`.
//!
//! | file | process that holds its lock |
//! | --- | --- |
//! | `owner` | the owner of the journal; no other process writes the journal |
//! | `next` | a successor that requests the folder, until it serves |
//! | `standby` | a predecessor that listens behind its successor |
//! | `late` | a predecessor with calls in flight; the file contains their outcomes |
#![warn(missing_docs)]
mod late_outcomes;
mod lock;
pub mod state;

pub use late_outcomes::{LateOutcomeReader, LateOutcomeWriter};
pub use lock::{FolderLock, LockName, SharedFolder};

use std::io;
use std::path::PathBuf;

/// An error on a file or folder that the processes of a takeover share.
#[derive(Debug, thiserror::Error)]
#[error("{path}: {problem}: {source}; check that this process may write to the state folder and that the disk has space")]
pub struct TakeoverError {
    path: PathBuf,
    problem: &'static str,
    source: io::Error,
}

impl TakeoverError {
    /// Returns the error of the system.
    pub fn source(&self) -> &io::Error {
        &self.source
    }
}

#[cfg(test)]
mod tests;
