//! Write-ahead journalling on a disk that may fail. A record that must precede an effect is written, or the effect does not
//! take place. A record of something that has already happened is deferred while the journal cannot be written, and written
//! later, in order, before any other record.
//!
//! | record that cannot be written | what happens | if the process is killed before it is written |
//! | --- | --- | --- |
//! | `Accepted` | the client gets 503 | nothing was accepted |
//! | `AttemptStarted` | the attempt does not start; the decision module gets `NotSent` | the attempt never started |
//! | `AttemptEnded` | deferred | the attempt may have run: an at-most-once message ends as undeliverable |
//! | `Completed` | deferred | the message completes again; an at-most-once message that may have run does not run again |
//! | `CallbackAcknowledged` | deferred | the same callback is sent again |
//!
//! The number of deferred records is bounded: while the journal cannot be written, nothing is accepted and no attempt starts,
//! so each pending message adds at most the end of its attempt, its completion and its acknowledgement.
use super::messages::Output;
use crate::journal::{
    Journal, JournalError, Record, StoredEndpointHealth, StoredEndpointList, StoredListChange,
};
use crate::Nanos;
use std::collections::VecDeque;

/// First pause before a failed disk is retried, in seconds: short, for a transient error.
const FIRST_BACKOFF_S: f64 = 0.02;
/// Longest pause before a failed disk is retried, in seconds: one failing call per second.
const MAX_BACKOFF_S: f64 = 1.0;
/// A disk that fails again within this time after its recovery, in seconds, counts as having the same fault: no second
/// line at level ERROR, and the backoff is not reset.
const SAME_FAULT_WINDOW_S: f64 = 10.0;

/// A record was not written to the journal, so the effect that it announces must not take place. The cause is in the log.
#[derive(Debug, thiserror::Error)]
#[error("record not written to the journal (see the log for the cause): free space on its disk, or wait until messages complete")]
pub(super) struct NotWritten;

/// A record that waits until the journal can be written, and the output to release once it is written.
struct DeferredRecord {
    record: Record,
    then: Option<Output>,
}

/// The journal, and the records that could not be written to it yet.
pub(super) struct JournalWriter {
    journal: Journal,
    deferred: VecDeque<DeferredRecord>,
    /// Time of the next retry; set while the journal cannot be written.
    retry_at: Option<Nanos>,
    /// Earliest time of the next rewrite; set after a rewrite failed, until one succeeds.
    rewrite_retry_at: Option<Nanos>,
    /// Next pause before a retry, in seconds.
    backoff_s: f64,
    recovered_at: Option<Nanos>,
    /// Time at which the endpoint list is stored again; set after that failed.
    endpoint_list_retry_at: Option<Nanos>,
    /// Time at which the health of endpoints is stored again; set after that failed.
    endpoint_health_retry_at: Option<Nanos>,
    /// Whether the journal has been released to another process.
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
            endpoint_list_retry_at: None,
            endpoint_health_retry_at: None,
            released: false,
        }
    }

    /// Returns whether a write has failed and the journal has not recovered since.
    pub(super) fn is_unavailable(&self) -> bool {
        self.retry_at.is_some()
    }

    /// Releases the journal to another process: this one writes nothing from now on.
    pub(super) fn release(&mut self) {
        self.released = true;
        self.endpoint_list_retry_at = None;
        self.endpoint_health_retry_at = None;
    }

    /// Returns the time of the next retry of a write; `None` if none has failed.
    pub(super) fn next_wake(&self) -> Option<Nanos> {
        let state_files = self.endpoint_list_retry_at.into_iter().chain(self.endpoint_health_retry_at);
        self.retry_at.into_iter().chain(state_files).min()
    }

    /// Reads the endpoint list that the folder's last process stored; `None` if there is none.
    pub(super) fn read_endpoint_list(&mut self) -> Option<StoredEndpointList> {
        self.journal.read_endpoint_list()
    }

    /// Stores the endpoint list for the next process. On a failure the previous list stays in use, and
    /// [`endpoint_list_retry_due`](Self::endpoint_list_retry_due) returns `true` after a pause.
    pub(super) fn store_endpoint_list(&mut self, now: Nanos, list: &StoredEndpointList) {
        if self.released {
            return;
        }
        let failed_before = self.endpoint_list_retry_at.is_some();
        let result = self.journal.write_endpoint_list(list);
        self.endpoint_list_retry_at = result.as_ref().err().map(|_| now + MAX_BACKOFF_S);
        if let Err(error) = result {
            if !failed_before {
                log::warn!(
                    "endpoint list not stored, a restarted process may start with an older one: {error}"
                );
            }
        }
    }

    /// Stores changes of the endpoint list for the next process. Returns `false` if the whole list must be stored instead.
    pub(super) fn store_endpoint_list_change(&mut self, change: &StoredListChange) -> bool {
        // After a failure the whole list is stored, which also reports a further failure.
        self.released || self.journal.append_endpoint_list_change(change).unwrap_or(false)
    }

    /// Returns whether it is time to store the endpoint list again after a failure.
    pub(super) fn endpoint_list_retry_due(&self, now: Nanos) -> bool {
        !self.released && self.endpoint_list_retry_at.is_some_and(|at| at <= now)
    }

    /// Reads the endpoints that were not healthy when the folder's last process ended.
    pub(super) fn read_endpoint_health(&mut self) -> Vec<StoredEndpointHealth> {
        self.journal.read_endpoint_health()
    }

    /// Stores a change of an endpoint's health. Returns `false` if all entries must be stored instead.
    pub(super) fn store_endpoint_health_change(&mut self, change: &StoredEndpointHealth) -> bool {
        self.released || self.journal.append_endpoint_health(change).unwrap_or(false)
    }

    /// Stores the endpoints that are not healthy for the next process. After a failure,
    /// [`endpoint_health_retry_due`](Self::endpoint_health_retry_due) returns `true` after a pause.
    pub(super) fn store_endpoint_health(&mut self, now: Nanos, health: &[StoredEndpointHealth]) {
        if self.released {
            return;
        }
        let failed_before = self.endpoint_health_retry_at.is_some();
        let result = self.journal.write_endpoint_health(health);
        self.endpoint_health_retry_at = result.as_ref().err().map(|_| now + MAX_BACKOFF_S);
        if let Err(error) = result {
            if !failed_before {
                log::warn!(
                    "endpoint health not stored, a restarted process may overload returning endpoints: {error}"
                );
            }
        }
    }

    /// Returns whether it is time to store the health of endpoints again after a failure.
    pub(super) fn endpoint_health_retry_due(&self, now: Nanos) -> bool {
        !self.released && self.endpoint_health_retry_at.is_some_and(|at| at <= now)
    }

    /// Returns the capacity for pending messages and the deduplication cache, in bytes.
    pub(super) fn capacity(&self) -> u64 {
        self.journal.pending_capacity()
    }

    /// Returns whether the journal should be rewritten before `additional` bytes are accepted.
    pub(super) fn needs_rewrite(&self, now: Nanos, additional: u64) -> bool {
        !self.is_unavailable()
            && !self.released
            && self.rewrite_retry_at.is_none_or(|at| now >= at)
            && self.journal.needs_compaction(additional)
    }

    /// Writes a record that must be in the journal before the effect that it announces.
    ///
    /// # Errors
    ///
    /// The journal cannot be written, has no room for another message, or has been released to another process.
    pub(super) fn append(&mut self, now: Nanos, record: &Record) -> Result<(), NotWritten> {
        if self.is_unavailable() || self.released {
            return Err(NotWritten);
        }
        match self.journal.append(record) {
            Ok(()) => Ok(()),
            // A full journal is no disk fault: later records of accepted messages still fit into its reserve.
            Err(JournalError::CapacityExceeded) if matches!(record, Record::Accepted(_)) => {
                log::warn!("request rejected: no capacity left in the journal");
                Err(NotWritten)
            }
            Err(error) => {
                self.handle_failure(now, &error);
                Err(NotWritten)
            }
        }
    }

    /// Writes a record of something that has already happened. Returns `then` if the record is written at once; otherwise
    /// defers both, and `retry` returns `then` once the record is written.
    pub(super) fn append_or_defer(
        &mut self, now: Nanos, record: Record, then: Option<Output>,
    ) -> Option<Output> {
        if self.append(now, &record).is_ok() {
            return then;
        }
        self.deferred.push_back(DeferredRecord { record, then });
        None
    }

    fn handle_failure(&mut self, now: Nanos, error: &JournalError) {
        let is_same_fault = self.recovered_at.is_some_and(|at| (now - at).secs() < SAME_FAULT_WINDOW_S);
        if !is_same_fault {
            self.backoff_s = FIRST_BACKOFF_S;
            log::error!(
                "journal cannot be written: {error}; no message is accepted or sent until the disk recovers"
            );
        }
        self.back_off(now);
    }

    fn back_off(&mut self, now: Nanos) {
        self.retry_at = Some(now + self.backoff_s);
        self.backoff_s = (self.backoff_s * 2.0).min(MAX_BACKOFF_S);
    }

    /// Retries an unavailable journal when its backoff is over. `all_records` returns the records for a rewrite. Returns the
    /// outputs of the deferred records that are now written; `None` if no retry was due.
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
            // A rewrite helps if the file is at its limit or its incomplete record cannot be truncated. The new file includes
            // the effect of all deferred records.
            Err(JournalError::CapacityExceeded) => self.replace(all_records(), outputs),
            Err(_) if self.journal.has_partial_record() => self.replace(all_records(), outputs),
            Err(error) => Err(error),
        }
    }

    fn append_deferred(&mut self, outputs: &mut Vec<Output>) -> Result<(), JournalError> {
        // Tests the disk with a record that has no effect, before writing one that a message depends on.
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

    /// Rewrites the journal. On failure the old journal stays in use, and the next rewrite is tried after a pause.
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
                    log::error!("journal not rewritten, the old one stays in use: {error}");
                }
            }
        }
    }
}
