//! The open journal: replay at startup, appending, and compaction.
//!
//! A crash may leave an incomplete record at the end of the log, and a half-written compacted log beside it. The journal
//! truncates the incomplete record before it appends anything, and removes the compacted log: the old log stays in use.
use super::codec::{encode, replay};
use super::disk::{open_disk, Disk, FileWriter};
use super::endpoint_health::{self, StoredEndpointHealth};
use super::endpoint_list::{self, StoredEndpointList, StoredListChange};
use super::limits::{self, Limits};
use super::record::Record;
use super::state_file::{self, StateFile};
use std::io;
use std::path::Path;

/// Name of the log in use.
const LOG_FILE: &str = "journal";
/// Name of a compacted log while it is written.
const COMPACTED_LOG_FILE: &str = "journal.new";
/// Size of the write buffer of a compaction: a few hundred records per system call at little memory.
const COMPACTION_BUFFER_BYTES: usize = 64 * 1024;

/// Why a record is not in the journal.
#[derive(Debug, thiserror::Error)]
pub enum JournalError {
    /// The journal has reached its share of the state folder. Compactions free space as messages complete; a larger
    /// `limits.disk_mb` raises the share.
    #[error("the journal's share of the state folder is used up: wait until messages complete, or raise limits.disk_mb")]
    CapacityExceeded,
    /// The endpoint list exceeds its share of the state folder; a larger `limits.disk_mb` raises the share.
    #[error("the endpoint list exceeds its share of the state folder: raise limits.disk_mb")]
    EndpointListTooLong,
    /// The health of endpoints exceeds its share of the state folder; a larger `limits.disk_mb` raises the share.
    #[error("the health of endpoints exceeds its share of the state folder: raise limits.disk_mb")]
    EndpointHealthTooLong,
    /// The state folder cannot be written: check its permissions and the free space of its file system.
    #[error(transparent)]
    Disk(#[from] io::Error),
}

/// The open journal.
pub struct Journal {
    disk: Box<dyn Disk>,
    writer: Box<dyn FileWriter>,
    /// Length of the complete records, in bytes.
    length: u64,
    /// Whether bytes of an incomplete record may follow the complete ones.
    has_partial_record: bool,
    limits: Limits,
    /// The endpoint list that this process has written; `None` before that and after a failure.
    endpoint_list: Option<WrittenFile>,
    /// The health of endpoints that this process has written; `None` before that and after a failure.
    endpoint_health: Option<WrittenFile>,
}

/// The size of a state file.
#[derive(Clone, Copy)]
struct WrittenFile {
    /// Length of the file, in bytes.
    length: u64,
    /// Length up to which changes are appended, in bytes.
    limit: u64,
}

impl Journal {
    /// Opens the journal in a folder with a capacity of `capacity` bytes, and reads its records up to the first incomplete
    /// one.
    ///
    /// # Errors
    ///
    /// The folder cannot be created, or the journal in it cannot be read or opened for writing.
    pub fn open(folder: &Path, capacity: u64) -> io::Result<(Journal, Vec<Record>)> {
        Journal::open_on(open_disk(folder)?, capacity)
    }

    /// Opens the journal like [`Journal::open`], on any [`Disk`].
    ///
    /// # Errors
    ///
    /// The journal cannot be read or opened for writing.
    pub fn open_on(disk: Box<dyn Disk>, capacity: u64) -> io::Result<(Journal, Vec<Record>)> {
        // The process may have been killed during a compaction; the old log is still in use.
        let _ = disk.remove(COMPACTED_LOG_FILE);
        endpoint_list::FILE.remove_unfinished(&*disk);
        endpoint_health::FILE.remove_unfinished(&*disk);
        let bytes = disk.read(LOG_FILE)?.unwrap_or_default();
        let replayed = replay(&bytes);
        let has_partial_record = replayed.length < bytes.len();
        if has_partial_record {
            log::warn!("journal: ignored a torn tail of {} bytes", bytes.len() - replayed.length);
        }
        let writer = disk.open_append(LOG_FILE)?;
        let length = replayed.length as u64;
        let limits = Limits::new(capacity);
        let (endpoint_list, endpoint_health) = (None, None);
        let mut journal =
            Journal { disk, writer, length, has_partial_record, limits, endpoint_list, endpoint_health };
        if let Err(error) = journal.truncate_partial_record() {
            log::error!("journal: cannot truncate its torn tail: {error}");
        }
        Ok((journal, replayed.records))
    }

    /// Returns the bytes to reserve for a pending message with a body of `body` bytes: at least the size of its records in a
    /// compacted journal.
    pub fn reserved_bytes(name: &str, origin: &str, idempotency_key: &str, body: usize) -> u64 {
        limits::reserved_bytes(name, origin, idempotency_key, body)
    }

    /// Returns the bytes to reserve for a completed message in the deduplication cache.
    pub fn deduplicated_bytes(name: &str, idempotency_key: &str) -> u64 {
        limits::deduplicated_bytes(name, idempotency_key)
    }

    /// Returns the limit on the sum of all reservations, in bytes.
    pub fn pending_capacity(&self) -> u64 {
        self.limits.pending()
    }

    /// Returns whether the journal should be compacted before it accepts a message whose record takes `additional` bytes.
    pub fn needs_compaction(&self, additional: u64) -> bool {
        self.length + additional > self.limits.accepting()
    }

    /// Returns whether the log may end with an incomplete record that could not be truncated.
    pub fn has_partial_record(&self) -> bool {
        self.has_partial_record
    }

    /// Appends a record. Once this returns, the record survives a kill of the process.
    ///
    /// # Errors
    ///
    /// The journal is full, or the disk fails. Earlier records are unaffected.
    pub fn append(&mut self, record: &Record) -> Result<(), JournalError> {
        let bytes = encode(record);
        let limit = match record {
            Record::Accepted(_) => self.limits.accepting(),
            _ => self.limits.usable(),
        };
        if self.length + bytes.len() as u64 > limit {
            return Err(JournalError::CapacityExceeded);
        }
        self.truncate_partial_record()?;
        if let Err(error) = self.writer.append(&bytes) {
            self.has_partial_record = true;
            // If this fails too, the truncation is retried before the next append.
            let _ = self.truncate_partial_record();
            return Err(error.into());
        }
        self.length += bytes.len() as u64;
        Ok(())
    }

    /// Truncates an incomplete record at the end of the log: a replay stops there and would not reach records behind it.
    fn truncate_partial_record(&mut self) -> io::Result<()> {
        if self.has_partial_record {
            self.writer.truncate(self.length)?;
            self.has_partial_record = false;
        }
        Ok(())
    }

    /// Replaces the log with one that contains only these records.
    ///
    /// # Errors
    ///
    /// The records exceed the journal's share of the folder, or the disk fails. The old log stays in use.
    pub fn compact(&mut self, records: impl Iterator<Item = Record>) -> Result<(), JournalError> {
        let result = self.write_compacted(records);
        if result.is_err() {
            // A half-written log takes up space. If this fails too, the next compaction removes the file first.
            let _ = self.disk.remove(COMPACTED_LOG_FILE);
        }
        result
    }

    /// Reads the endpoint list that the folder's last process stored, and reserves its space. Logs a list that cannot be read
    /// and returns `None`, as if there were none.
    pub fn read_endpoint_list(&mut self) -> Option<StoredEndpointList> {
        match endpoint_list::read(&*self.disk) {
            Ok(stored) => {
                let (list, size) = stored?;
                self.limits.reserve_endpoint_list(size);
                Some(list)
            }
            Err(error) => {
                log::warn!("stored endpoint list ignored, the list in the configuration is used: {error}");
                None
            }
        }
    }

    /// Replaces the stored endpoint list. Once this returns, the list survives a kill of the process.
    ///
    /// # Errors
    ///
    /// The disk fails, and the old list stays in use; or the list exceeds its share of the folder, and no list is stored.
    pub fn write_endpoint_list(&mut self, list: &StoredEndpointList) -> Result<(), JournalError> {
        self.endpoint_list = None;
        let bytes = state_file::encode(list)?;
        let length = bytes.len() as u64;
        if !self.limits.reserve_endpoint_list(length) {
            // A list without the latest changes would mislead the next process.
            endpoint_list::FILE.remove(&*self.disk);
            return Err(JournalError::EndpointListTooLong);
        }
        endpoint_list::FILE.replace(&*self.disk, &bytes)?;
        self.endpoint_list = Some(WrittenFile { length, limit: limits::state_file_limit(length) });
        Ok(())
    }

    /// Appends changes to the endpoint list that this process has written. Returns `false` if the whole list must be written
    /// instead: this process has not written it, the last write failed, or the file has grown to its limit.
    ///
    /// # Errors
    ///
    /// The disk fails. The changes may be incomplete in the file.
    pub fn append_endpoint_list_change(&mut self, change: &StoredListChange) -> Result<bool, JournalError> {
        let file = self.endpoint_list.take();
        self.endpoint_list = self.append_part(&endpoint_list::FILE, file, state_file::encode(change)?)?;
        Ok(self.endpoint_list.is_some())
    }

    /// Appends a part to a file that this process has written. Returns `None` if the whole file must be written instead.
    fn append_part(
        &self, file: &StateFile, written: Option<WrittenFile>, bytes: Vec<u8>,
    ) -> Result<Option<WrittenFile>, JournalError> {
        let Some(WrittenFile { length, limit }) = written else { return Ok(None) };
        let length = length + bytes.len() as u64;
        if length > limit {
            return Ok(None);
        }
        file.append(&*self.disk, &bytes)?;
        Ok(Some(WrittenFile { length, limit }))
    }

    /// Reads the endpoints that were not healthy when the folder's last process ended, and reserves the space of their file.
    /// Logs a file that cannot be read.
    pub fn read_endpoint_health(&mut self) -> Vec<StoredEndpointHealth> {
        match endpoint_health::read(&*self.disk) {
            Ok((health, size)) => {
                if size > 0 {
                    self.limits.reserve_endpoint_health(size);
                }
                health
            }
            Err(error) => {
                log::warn!("stored endpoint health ignored, all endpoints count as healthy: {error}");
                Vec::new()
            }
        }
    }

    /// Replaces the stored health of endpoints by these entries. Once this returns, they survive a kill of the process.
    ///
    /// # Errors
    ///
    /// The disk fails, or the entries exceed their share of the folder. The earlier ones stay in use.
    pub fn write_endpoint_health(&mut self, health: &[StoredEndpointHealth]) -> Result<(), JournalError> {
        self.endpoint_health = None;
        let bytes = state_file::encode(&health)?;
        let length = bytes.len() as u64;
        if !self.limits.reserve_endpoint_health(length) {
            return Err(JournalError::EndpointHealthTooLong);
        }
        endpoint_health::FILE.replace(&*self.disk, &bytes)?;
        self.endpoint_health = Some(WrittenFile { length, limit: limits::state_file_limit(length) });
        Ok(())
    }

    /// Appends a change of an endpoint's health. Returns `false` if all entries must be written instead, as
    /// [`append_endpoint_list_change`](Self::append_endpoint_list_change) does.
    ///
    /// # Errors
    ///
    /// The disk fails. The change may be incomplete in the file.
    pub fn append_endpoint_health(&mut self, change: &StoredEndpointHealth) -> Result<bool, JournalError> {
        let file = self.endpoint_health.take();
        let bytes = state_file::encode(&[change].as_slice())?;
        self.endpoint_health = self.append_part(&endpoint_health::FILE, file, bytes)?;
        Ok(self.endpoint_health.is_some())
    }

    fn write_compacted(&mut self, records: impl Iterator<Item = Record>) -> Result<(), JournalError> {
        let mut compacted = CompactedLog {
            writer: self.disk.create(COMPACTED_LOG_FILE)?,
            buffer: Vec::with_capacity(COMPACTION_BUFFER_BYTES),
            length: 0,
            limit: self.limits.accepting(),
        };
        for record in records {
            compacted.push(&record)?;
        }
        compacted.flush()?;
        self.disk.rename(COMPACTED_LOG_FILE, LOG_FILE)?;
        // The writer stays valid after the rename, so there is no reopening that could fail.
        self.writer = compacted.writer;
        self.length = compacted.length;
        self.has_partial_record = false;
        Ok(())
    }
}

/// A compacted log while it is written.
struct CompactedLog {
    writer: Box<dyn FileWriter>,
    buffer: Vec<u8>,
    /// Length of the written part in bytes, without the buffer.
    length: u64,
    /// Maximum length, in bytes.
    limit: u64,
}

impl CompactedLog {
    fn push(&mut self, record: &Record) -> Result<(), JournalError> {
        self.buffer.extend(encode(record));
        if self.buffer.len() < COMPACTION_BUFFER_BYTES {
            return Ok(());
        }
        self.flush()
    }

    fn flush(&mut self) -> Result<(), JournalError> {
        self.length += self.buffer.len() as u64;
        if self.length > self.limit {
            return Err(JournalError::CapacityExceeded);
        }
        self.writer.append(&self.buffer)?;
        self.buffer.clear();
        Ok(())
    }
}
