//! The file `late`: how the calls ended that a process had in flight when it released the journal, in the journal's own
//! encoding. The predecessor writes it and holds its lock; the successor reads it as it grows.
use super::lock::{acquired, SharedFolder};
use super::TakeoverError;
use crate::journal::{self, Record};
use std::fs::{File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::PathBuf;

const FILE_NAME: &str = "late";
/// Bytes that are read at once. Late outcomes are short; a file beyond this was not written by this program.
const READ_LIMIT: u64 = 8 << 20;

impl SharedFolder {
    /// Starts to write late outcomes, and locks their file until the writer is dropped.
    ///
    /// # Errors
    ///
    /// The file cannot be created, or an earlier process still holds its lock.
    pub fn create_late_outcomes(&self) -> Result<LateOutcomeWriter, TakeoverError> {
        let file = self.open_file(FILE_NAME)?;
        let error =
            |source| TakeoverError { path: self.path_of(FILE_NAME), problem: "cannot be held", source };
        if !acquired(file.try_lock()).map_err(error)? {
            return Err(error(io::Error::other("an earlier process still has calls out")));
        }
        file.set_len(0).map_err(error)?;
        Ok(LateOutcomeWriter { file })
    }

    /// Opens the late outcomes of the predecessor; `None` where it left none.
    pub fn open_late_outcomes(&self) -> Option<LateOutcomeReader> {
        let path = self.path_of(FILE_NAME);
        let file = OpenOptions::new().read(true).open(&path).ok()?;
        Some(LateOutcomeReader { file, position: 0, path })
    }
}

/// Writes the late outcomes of a process that has released the journal.
pub struct LateOutcomeWriter {
    pub(super) file: File,
}

impl LateOutcomeWriter {
    /// Appends a record. One that cannot be written is left out: the successor then assumes that the call may have run, as
    /// after a kill.
    pub fn append(&mut self, record: &Record) {
        if let Err(error) = self.file.write_all(&journal::encode(record)) {
            log::error!(
                "what came of a call cannot be handed on: {error}; it counts as one that may have run"
            );
        }
    }
}

/// Reads the late outcomes of a predecessor.
pub struct LateOutcomeReader {
    file: File,
    /// Bytes read so far, up to the last complete record.
    position: u64,
    path: PathBuf,
}

impl LateOutcomeReader {
    /// Reads the records that are new, and whether no more will come: the predecessor has ended, or has no call in flight.
    pub fn read(&mut self) -> (Vec<Record>, bool) {
        // Checked before the read: all that was written before the lock was released is then in the file.
        let is_complete = matches!(acquired(self.file.try_lock_shared()), Ok(true));
        let bytes = match self.read_new_bytes() {
            Ok(bytes) => bytes,
            Err(error) => {
                log::warn!(
                    "{}: {error}; what it says is not known, and counts as may have run",
                    self.path.display()
                );
                return (Vec::new(), true);
            }
        };
        let replayed = journal::replay(&bytes);
        self.position += replayed.length as u64;
        (replayed.records, is_complete)
    }

    fn read_new_bytes(&mut self) -> io::Result<Vec<u8>> {
        let mut bytes = Vec::new();
        self.file.seek(SeekFrom::Start(self.position))?;
        (&self.file).take(READ_LIMIT).read_to_end(&mut bytes)?;
        Ok(bytes)
    }

    /// Removes the file, once all of it is in the journal.
    pub fn remove(self) {
        if let Err(error) = std::fs::remove_file(&self.path) {
            log::warn!("{}: {error}; it does no harm there", self.path.display());
        }
    }
}
