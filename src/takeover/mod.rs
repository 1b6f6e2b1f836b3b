//! Two processes with one lasting folder, of which one at a time owns the journal: the new one asks, the old one lets go
//! and ends the calls that it has out, and the new one hears what came of them. What is decided is `turn`; here are the
//! files: each is held by a lock of the kernel's, which a kill frees. Design: `docs/design/takeover.md`.
//!
//! | file | who holds it |
//! | --- | --- |
//! | `owner` | whoever owns the journal: no other process writes it |
//! | `next` | a process that serves as soon as it may, and asks for the folder |
//! | `late` | one that has let go and still has calls out; what came of them is in it |
pub mod state;

use crate::journal::{self, Record};
use std::fs::{File, OpenOptions, TryLockError};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

/// What went wrong with a file of the hand-over.
#[derive(Debug, thiserror::Error)]
#[error("{path}: {what}: {why}; see that this process may write the folder and that it has room")]
pub struct TakeoverError {
    path: PathBuf,
    what: &'static str,
    why: io::Error,
}

/// The lasting folder, as far as it is handed over.
#[derive(Clone)]
pub struct SharedFolder(PathBuf);

/// A file that this process holds until this is dropped, or the process ends in whatever way.
pub struct FolderLock(#[allow(dead_code, reason = "its lock lives as long as the open file")] File);

/// Which hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LockName {
    /// The journal's owner.
    Owner,
    /// Who asks for it.
    Next,
}

impl LockName {
    fn file(self) -> &'static str {
        match self {
            LockName::Owner => "owner",
            LockName::Next => "next",
        }
    }
}

const LATE: &str = "late";
/// What came of calls is short; a file beyond this is not ours. Bounds what is read at once.
const LATE_MOST: u64 = 8 << 20;

fn locked(done: Result<(), TryLockError>) -> io::Result<bool> {
    match done {
        Ok(()) => Ok(true),
        Err(TryLockError::WouldBlock) => Ok(false),
        Err(TryLockError::Error(e)) => Err(e),
    }
}

impl SharedFolder {
    /// The folder at this path; made where it is not there.
    ///
    /// # Errors
    ///
    /// It cannot be made.
    pub fn open(path: &Path) -> Result<SharedFolder, TakeoverError> {
        let fault = |why| TakeoverError { path: path.to_path_buf(), what: "no folder", why };
        std::fs::create_dir_all(path).map_err(fault)?;
        Ok(SharedFolder(path.to_path_buf()))
    }

    fn file(&self, name: &str, what: &'static str) -> Result<File, TakeoverError> {
        let path = self.0.join(name);
        let opened = OpenOptions::new().create(true).read(true).append(true).open(&path);
        opened.map_err(|why| TakeoverError { path, what, why })
    }

    /// Takes a hold; none while another process has it.
    ///
    /// # Errors
    ///
    /// The file cannot be opened or locked.
    pub fn try_lock(&self, name: LockName) -> Result<Option<FolderLock>, TakeoverError> {
        let file = self.file(name.file(), "cannot be opened")?;
        let got = locked(file.try_lock());
        let fault = |why| TakeoverError { path: self.0.join(name.file()), what: "cannot be locked", why };
        Ok(got.map_err(fault)?.then_some(FolderLock(file)))
    }

    /// Whether another process holds it. A file that is not there, or cannot be asked, is held by nobody.
    pub fn is_locked(&self, name: LockName) -> bool {
        let Ok(file) = File::open(self.0.join(name.file())) else { return false };
        matches!(locked(file.try_lock_shared()), Ok(false))
    }

    /// Begins to write what comes of the calls that are still out; held until this is dropped.
    ///
    /// # Errors
    ///
    /// The file cannot be made, or an earlier process still holds it.
    pub fn create_late_outcomes(&self) -> Result<LateOutcomeWriter, TakeoverError> {
        let file = self.file(LATE, "cannot be opened")?;
        let fault = |why| TakeoverError { path: self.0.join(LATE), what: "cannot be held", why };
        match locked(file.try_lock()).map_err(fault)? {
            true => file.set_len(0).map_err(fault)?,
            false => return Err(fault(io::Error::other("an earlier process still has calls out"))),
        }
        Ok(LateOutcomeWriter { file })
    }

    /// What an earlier process leaves behind, where it does.
    pub fn open_late_outcomes(&self) -> Option<LateOutcomeReader> {
        let file = OpenOptions::new().read(true).open(self.0.join(LATE)).ok()?;
        Some(LateOutcomeReader { file, read: 0, path: self.0.join(LATE) })
    }
}

/// What comes of the calls of a process that has let go, in the journal's own form.
pub struct LateOutcomeWriter {
    file: File,
}

impl LateOutcomeWriter {
    /// Adds a record. One that cannot be written is passed over: then that call may have run, as after a kill.
    pub fn append(&mut self, record: &Record) {
        if let Err(e) = self.file.write_all(&journal::encode(record)) {
            log::error!("what came of a call cannot be handed on: {e}; it counts as one that may have run");
        }
    }
}

/// The same, as the new process reads it.
pub struct LateOutcomeReader {
    file: File,
    read: u64,
    path: PathBuf,
}

impl LateOutcomeReader {
    /// What is new, and whether nothing more will come: the process that wrote it has ended or has no call out.
    pub fn read(&mut self) -> (Vec<Record>, bool) {
        // Before the reading: what was written before the lock fell is then all there.
        let over = matches!(locked(self.file.try_lock_shared()), Ok(true));
        let mut text = Vec::new();
        let came = self.file.seek(SeekFrom::Start(self.read));
        let came = came.and_then(|_| (&self.file).take(LATE_MOST).read_to_end(&mut text));
        if let Err(e) = came {
            log::warn!("{}: {e}; what it says is not known, and counts as may have run", self.path.display());
            return (Vec::new(), true);
        }
        let (records, size) = journal::replay(&text);
        self.read += size as u64;
        (records, over)
    }

    /// All of it is in the journal now.
    pub fn remove(self) {
        if let Err(e) = std::fs::remove_file(&self.path) {
            log::warn!("{}: {e}; it does no harm there", self.path.display());
        }
    }
}

#[cfg(test)]
mod tests;
