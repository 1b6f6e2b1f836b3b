//! Keeps the journal a step ahead of what the core does, also on a disk that fails. What must be in the journal
//! before something happens is written or the thing does not happen; what has happened already is deferred and written
//! later, in order, before anything else. What a record means is the core's.
//!
//! | record that is not written | what happens | a kill before it is |
//! | --- | --- | --- |
//! | `Accepted` | the client gets 503 | nothing was accepted |
//! | `AttemptStarted` | the attempt does not start; the module gets `NotSent` | it never started |
//! | `AttemptEnded` | deferred | the attempt may have run: an at-most-once message ends as undeliverable |
//! | `Completed` | deferred | the message completes once more; what may have run does not run again |
//! | `CallbackAcknowledged` | deferred | the same callback is sent once more |
//!
//! The deferred records are bounded: while the journal cannot be written nothing is accepted and no attempt starts, so
//! each pending message adds its outcome, its completion and its acknowledgement at the most.
use super::messages::Output;
use crate::journal::{Journal, JournalError, Record};
use crate::Nanos;
use std::collections::VecDeque;

/// The first and the longest pause before a disk that failed is tried again, in seconds. The first is that of a
/// passing error; the longest costs one failing call a second.
const FIRST_BACKOFF_S: f64 = 0.02;
const MAX_BACKOFF_S: f64 = 1.0;
/// For so long after it recovered, in seconds, a disk that fails again has the same fault: no second line at ERROR, and
/// the backoff goes on from where it was.
const SAME_FAULT_S: f64 = 10.0;

/// The journal did not take a record, so what the record announces must not happen. The cause is in the log.
#[derive(Debug, thiserror::Error)]
#[error("not written to the journal; the cause is in the log: make room on its disk, or wait for messages to complete")]
pub(super) struct NotWritten;

/// A record that waits for the journal, and what is to be done once it is written.
struct DeferredRecord {
    record: Record,
    then: Option<Output>,
}

/// The journal, with the records that it could not take.
pub(super) struct JournalWriter {
    journal: Journal,
    deferred: VecDeque<DeferredRecord>,
    /// When the journal is tried again; set while it cannot be written.
    retry_at: Option<Nanos>,
    /// When a rewrite may be tried again; set while the last one failed.
    rewrite_retry_at: Option<Nanos>,
    /// The next pause, in seconds.
    backoff_s: f64,
    recovered_at: Option<Nanos>,
    /// The journal is another process's.
    released: bool,
}

impl JournalWriter {
    pub(super) fn new(journal: Journal) -> JournalWriter {
        JournalWriter {
            journal,
            deferred: VecDeque::new(),
            retry_at: None,
            rewrite_retry_at: None,
            backoff_s: FIRST_BACKOFF_S,
            recovered_at: None,
            released: false,
        }
    }

    /// Whether the journal cannot be written at present.
    pub(super) fn is_unavailable(&self) -> bool {
        self.retry_at.is_some()
    }

    /// The journal is another process's from now on: nothing is written any more.
    pub(super) fn release(&mut self) {
        self.released = true;
    }

    /// When `retry` is to be called.
    pub(super) fn next_wake(&self) -> Option<Nanos> {
        self.retry_at
    }

    /// Bytes that all that must be kept may take.
    pub(super) fn capacity(&self) -> u64 {
        self.journal.pending_capacity()
    }

    /// Whether the journal should be rewritten before a record of so many bytes is added.
    pub(super) fn needs_rewrite(&self, now: Nanos, more: u64) -> bool {
        !self.is_unavailable()
            && !self.released
            && self.rewrite_retry_at.is_none_or(|at| now >= at)
            && self.journal.needs_compaction(more)
    }

    /// Writes what must be in the journal before it happens.
    ///
    /// # Errors
    ///
    /// The journal cannot be written, has no room for another message, or is another process's.
    pub(super) fn append(&mut self, now: Nanos, record: &Record) -> Result<(), NotWritten> {
        if self.is_unavailable() || self.released {
            return Err(NotWritten);
        }
        match self.journal.append(record) {
            Ok(()) => Ok(()),
            // The journal's own limit says nothing of the disk. What has been accepted has its reserve behind it.
            Err(JournalError::CapacityExceeded) if matches!(record, Record::Accepted(_)) => {
                log::warn!("rejected: no capacity left in the journal");
                Err(NotWritten)
            }
            Err(error) => {
                self.failed(now, &error);
                Err(NotWritten)
            }
        }
    }

    /// Writes what has happened. Where it cannot be written it is deferred, and `retry` returns `then` once it is; the
    /// caller gets `then` back where the record is written at once.
    pub(super) fn append_or_defer(
        &mut self, now: Nanos, record: Record, then: Option<Output>,
    ) -> Option<Output> {
        if self.append(now, &record).is_ok() {
            return then;
        }
        self.deferred.push_back(DeferredRecord { record, then });
        None
    }

    fn failed(&mut self, now: Nanos, error: &JournalError) {
        let is_same_fault = self.recovered_at.is_some_and(|at| (now - at).secs() < SAME_FAULT_S);
        if !is_same_fault {
            self.backoff_s = FIRST_BACKOFF_S;
            log::error!("journal cannot be written: {error}; nothing is accepted or sent until it can");
        }
        self.back_off(now);
    }

    fn back_off(&mut self, now: Nanos) {
        self.retry_at = Some(now + self.backoff_s);
        self.backoff_s = (self.backoff_s * 2.0).min(MAX_BACKOFF_S);
    }

    /// Tries a journal that could not be written again, when its time has come. `all_records` gives all that the journal
    /// must hold. Returns what was to be done once its record was written; none where nothing was tried.
    pub(super) fn retry<I: Iterator<Item = Record>>(
        &mut self, now: Nanos, all_records: impl FnOnce() -> I,
    ) -> Option<Vec<Output>> {
        if self.retry_at.is_none_or(|at| now < at) {
            return None;
        }
        let mut outputs = Vec::new();
        match self.write_deferred(all_records, &mut outputs) {
            Ok(()) => {
                log::info!("journal can be written again");
                self.retry_at = None;
                self.recovered_at = Some(now);
            }
            Err(error) => {
                log::debug!("journal still cannot be written: {error}");
                self.back_off(now);
            }
        }
        Some(outputs)
    }

    fn write_deferred<I: Iterator<Item = Record>>(
        &mut self, all_records: impl FnOnce() -> I, outputs: &mut Vec<Output>,
    ) -> Result<(), JournalError> {
        match self.append_deferred(outputs) {
            Ok(()) => Ok(()),
            // Another file helps where this one is at its limit or cannot be repaired; it holds all that was deferred.
            Err(JournalError::CapacityExceeded) => self.replace(all_records(), outputs),
            Err(_) if self.journal.has_partial_record() => self.replace(all_records(), outputs),
            Err(error) => Err(error),
        }
    }

    fn append_deferred(&mut self, outputs: &mut Vec<Output>) -> Result<(), JournalError> {
        // A record without a meaning: whether the disk takes anything is seen before a message depends on it.
        self.journal.append(&Record::CallbackAcknowledged { id: 0 })?;
        while let Some(next) = self.deferred.front() {
            self.journal.append(&next.record)?;
            outputs.extend(self.deferred.pop_front().and_then(|written| written.then));
        }
        Ok(())
    }

    fn replace(
        &mut self, all_records: impl Iterator<Item = Record>, outputs: &mut Vec<Output>,
    ) -> Result<(), JournalError> {
        self.journal.compact(all_records)?;
        self.rewrite_retry_at = None;
        outputs.extend(self.deferred.drain(..).filter_map(|written| written.then));
        Ok(())
    }

    /// Rewrites the journal. Where this fails, the old one goes on, and this is not tried again at once.
    pub(super) fn rewrite(&mut self, now: Nanos, all_records: impl Iterator<Item = Record>) {
        match self.journal.compact(all_records) {
            Ok(()) => {
                log::debug!("journal rewritten");
                self.rewrite_retry_at = None;
            }
            Err(error) => {
                let failed_before = self.rewrite_retry_at.is_some();
                self.rewrite_retry_at = Some(now + MAX_BACKOFF_S);
                if !failed_before {
                    log::error!("journal not rewritten, the old one goes on: {error}");
                }
            }
        }
    }
}
