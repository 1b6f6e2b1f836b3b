//! The file `late`: outcomes of the calls that a process had in flight when it released the journal, and its observations of
//! endpoints, in the journal's encoding. The predecessor writes the file and holds its lock; the successor reads the file as it
//! grows.
use super::lock::{is_acquired, SharedFolder};
use super::TakeoverError;
use crate::journal::{self, Record};
use std::fs::{File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::PathBuf;

const FILE_NAME: &str = "late";
/// The most bytes per read. Late outcomes are short; this program does not write a larger file.
const READ_LIMIT: u64 = 8 << 20;

impl SharedFolder {
    /// Creates the file for late outcomes, and locks it until the writer is dropped.
    ///
    /// # Errors
    ///
    /// The file cannot be created, or an earlier process still holds its lock.
    pub fn create_late_outcomes(&self) -> Result<LateOutcomeWriter, TakeoverError> {
        let file = self.open_file(FILE_NAME)?;
        let error = |source| TakeoverError {
            path: self.path_of(FILE_NAME),
            problem: "cannot be locked and emptied",
            source,
        };
        if !is_acquired(file.try_lock()).map_err(error)? {
            return Err(error(io::Error::other("an earlier process still has calls in flight")));
        }
        file.set_len(0).map_err(error)?;
        Ok(LateOutcomeWriter { file })
    }

    /// Opens the late outcomes of the predecessor; returns `None` if there are none.
    pub fn open_late_outcomes(&self) -> Option<LateOutcomeReader> {
        let path = self.path_of(FILE_NAME);
        let file = OpenOptions::new().read(true).open(&path).ok()?;
        Some(LateOutcomeReader { file, position: 0, path })
    }
}

/// A writer for the late outcomes of a process that has released the journal.
pub struct LateOutcomeWriter {
    pub(super) file: File,
}

impl LateOutcomeWriter {
    /// Appends a record. If it cannot be written, the successor assumes that the call may have run, as after a kill.
    pub fn append(&mut self, record: &Record) {
        if let Err(error) = self.file.write_all(&journal::encode(record)) {
            log::error!(
                "file {FILE_NAME}: a record cannot be written: {error}; without the outcome of a call the successor \
                 assumes that the call may have run"
            );
        }
    }
}

/// A reader of a predecessor's late outcomes.
pub struct LateOutcomeReader {
    file: File,
    /// Length of the complete records read so far, in bytes.
    position: u64,
    path: PathBuf,
}

impl LateOutcomeReader {
    /// Returns the new records, and whether they are the last: the predecessor has exited or has no call in flight.
    pub fn read(&mut self) -> (Vec<Record>, bool) {
        // Checked before the read, so that all records written before the lock was released are in the file.
        let is_complete = matches!(is_acquired(self.file.try_lock_shared()), Ok(true));
        let bytes = match self.read_new_bytes() {
            Ok(bytes) => bytes,
            Err(error) => {
                log::warn!(
                    "{}: cannot be read: {error}; the predecessor's calls count as ones that may have run",
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

    /// Removes the file. Call this once all its records are in the journal.
    pub fn remove(self) {
        if let Err(error) = std::fs::remove_file(&self.path) {
            log::warn!("{}: cannot be removed: {error}; the file is no longer needed", self.path.display());
        }
    }
}
