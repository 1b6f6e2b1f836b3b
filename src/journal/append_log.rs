//! The open journal: replay at the start, appending, and compaction.
//!
//! A crash may leave an incomplete record at the end of the log, and a half-written compacted log beside it. The first is
//! cut off before anything is appended, the second removed: the log that was in force stays in force.
use super::codec::{encode, replay};
use super::disk::{open_disk, Disk, FileWriter};
use super::limits::{self, Limits};
use super::record::Record;
use std::io;
use std::path::Path;

/// The log in force.
const LOG: &str = "journal";
/// A compacted log while it is written.
const COMPACTED_LOG: &str = "journal.new";
/// Bytes that a compaction writes at once: some hundred records a system call, and little memory.
const COMPACTION_BUFFER: usize = 64 * 1024;

/// Why a record is not in the journal.
#[derive(Debug, thiserror::Error)]
pub enum JournalError {
    /// The journal has reached its share of the lasting folder. It frees itself as messages complete; a larger
    /// `limits.disk_mb` gives it more.
    #[error("its share of the folder is used up")]
    CapacityExceeded,
    /// The lasting folder cannot be written: see that it is writable and that its file system has space.
    #[error(transparent)]
    Disk(#[from] io::Error),
}

/// The open journal.
pub struct Journal {
    disk: Box<dyn Disk>,
    writer: Box<dyn FileWriter>,
    /// Bytes of the complete records.
    length: u64,
    /// Bytes of an incomplete record may lie behind the complete ones.
    has_partial_record: bool,
    limits: Limits,
}

impl Journal {
    /// Opens the journal of a folder that may hold `capacity` bytes, and reads it up to the first incomplete record.
    ///
    /// # Errors
    ///
    /// The folder cannot be made, or the journal in it cannot be read or opened for writing.
    pub fn open(folder: &Path, capacity: u64) -> io::Result<(Journal, Vec<Record>)> {
        Journal::open_on(open_disk(folder)?, capacity)
    }

    /// Like [`Journal::open`], on any disk.
    ///
    /// # Errors
    ///
    /// The journal cannot be read or opened for writing.
    pub fn open_on(disk: Box<dyn Disk>, capacity: u64) -> io::Result<(Journal, Vec<Record>)> {
        // A kill may have cut a compaction short; the log in force is still the old one.
        let _ = disk.remove(COMPACTED_LOG);
        let bytes = disk.read(LOG)?.unwrap_or_default();
        let replayed = replay(&bytes);
        let has_partial_record = replayed.length < bytes.len();
        if has_partial_record {
            log::warn!("journal: torn tail of {} bytes passed over", bytes.len() - replayed.length);
        }
        let writer = disk.open_append(LOG)?;
        let length = replayed.length as u64;
        let limits = Limits::new(capacity);
        let mut journal = Journal { disk, writer, length, has_partial_record, limits };
        if let Err(error) = journal.truncate_partial_record() {
            log::error!("journal: its torn tail cannot be cut off: {error}");
        }
        Ok((journal, replayed.records))
    }

    /// Bytes to reserve for a pending message with a body of `body` bytes: no less than its records take in a compacted
    /// journal.
    pub fn reserved_bytes(name: &str, origin: &str, idempotency_key: &str, body: usize) -> u64 {
        limits::reserved_bytes(name, origin, idempotency_key, body)
    }

    /// Bytes to reserve for a completed message in the deduplication cache.
    pub fn deduplicated_bytes(name: &str, idempotency_key: &str) -> u64 {
        limits::deduplicated_bytes(name, idempotency_key)
    }

    /// Bytes that the reservations of all messages may add up to.
    pub fn pending_capacity(&self) -> u64 {
        self.limits.pending()
    }

    /// Whether the journal should be compacted before it accepts a message whose record takes `additional` bytes.
    pub fn needs_compaction(&self, additional: u64) -> bool {
        self.length + additional > self.limits.accepting()
    }

    /// Whether bytes of an incomplete record lie at the end of the log that could not be cut off.
    pub fn has_partial_record(&self) -> bool {
        self.has_partial_record
    }

    /// Appends a record; it outlives the process once this returns.
    ///
    /// # Errors
    ///
    /// The journal is full, or the disk fails. The records before stay as they were.
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
            // What cannot be cut off now is cut off before the next record.
            let _ = self.truncate_partial_record();
            return Err(error.into());
        }
        self.length += bytes.len() as u64;
        Ok(())
    }

    /// Guards against complete records behind an incomplete one, which no replay would reach.
    fn truncate_partial_record(&mut self) -> io::Result<()> {
        if self.has_partial_record {
            self.writer.truncate(self.length)?;
            self.has_partial_record = false;
        }
        Ok(())
    }

    /// Replaces the log by one that holds these records alone.
    ///
    /// # Errors
    ///
    /// The records take more than the journal's share of the folder, or the disk fails. The old log stays in force.
    pub fn compact(&mut self, records: impl Iterator<Item = Record>) -> Result<(), JournalError> {
        let result = self.write_compacted(records);
        if result.is_err() {
            // A half-written log takes space. Where even this fails, the next compaction starts with it.
            let _ = self.disk.remove(COMPACTED_LOG);
        }
        result
    }

    fn write_compacted(&mut self, records: impl Iterator<Item = Record>) -> Result<(), JournalError> {
        let mut compacted = CompactedLog {
            writer: self.disk.create(COMPACTED_LOG)?,
            buffer: Vec::with_capacity(COMPACTION_BUFFER),
            length: 0,
            limit: self.limits.accepting(),
        };
        for record in records {
            compacted.push(&record)?;
        }
        compacted.flush()?;
        self.disk.rename(COMPACTED_LOG, LOG)?;
        // The writer follows its file through the rename: nothing is opened here that could fail.
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
    /// Bytes written, without those in the buffer.
    length: u64,
    /// Bytes that it may take.
    limit: u64,
}

impl CompactedLog {
    fn push(&mut self, record: &Record) -> Result<(), JournalError> {
        self.buffer.extend(encode(record));
        if self.buffer.len() < COMPACTION_BUFFER {
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
