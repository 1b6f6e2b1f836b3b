//! Keeps the journal a step ahead of what the core does, also on a disk that fails. What must be in the journal
//! before something happens is written or the thing does not happen; what has happened already is kept and written
//! later, in order, before anything else. What a record means is the core's.
//!
//! | record that is not written | what happens | a kill before it is |
//! | --- | --- | --- |
//! | `Taken` | the client gets 503 | nothing was taken on |
//! | `Started` | the attempt does not start; the module hears `Unsent` | it never started |
//! | `Outcome` | kept for later | the attempt may have run: a payout ends as undeliverable |
//! | `Ended` | kept for later | the message ends once more; what may have run does not run again |
//! | `Heard` | kept for later | the same notice goes out once more |
//!
//! What is kept is bounded: while the journal cannot be written nothing is taken on and no attempt starts, so each
//! message that is held adds its outcome, its end and its notice at the most.
use super::messages::Output;
use crate::journal::{Journal, JournalError, Record};
use crate::Nanos;
use std::collections::VecDeque;

/// The first and the longest pause before a disk that failed is tried again, in seconds. The first is that of a
/// passing fault; the longest costs one failing call a second.
const PAUSE: f64 = 0.02;
const PAUSE_MOST: f64 = 1.0;
/// So long after it came back, a disk that fails anew is in the same trouble: no second line at ERROR, and the
/// pause goes on from where it was. In seconds.
const SAME_TROUBLE: f64 = 10.0;

/// A record that waits, and what is to be done once it is written.
type Late = (Record, Option<Output>);

pub struct Ledger {
    journal: Journal,
    late: VecDeque<Late>,
    /// When the journal is tried again, while it cannot be written.
    again: Option<Nanos>,
    /// When the log may be written anew after that has failed, while it does.
    anew: Option<Nanos>,
    pause: f64,
    back_at: Option<Nanos>,
    gone: bool,
}

impl Ledger {
    pub fn new(journal: Journal) -> Ledger {
        Ledger {
            journal,
            late: VecDeque::new(),
            again: None,
            anew: None,
            pause: PAUSE,
            back_at: None,
            gone: false,
        }
    }

    /// Whether the journal cannot be written.
    pub fn stuck(&self) -> bool {
        self.again.is_some()
    }

    /// The journal is another process's from now on: nothing is written any more.
    pub fn release_journal(&mut self) {
        self.gone = true;
    }

    /// When `retry` is to be called.
    pub fn next_wake(&self) -> Option<Nanos> {
        self.again
    }

    /// Bytes that all that is owed may take.
    pub fn room(&self) -> u64 {
        self.journal.pending_capacity()
    }

    /// Whether the log should be written anew before a record of so many bytes is added.
    pub fn is_full(&self, now: Nanos, more: u64) -> bool {
        !self.stuck()
            && !self.gone
            && self.anew.is_none_or(|at| now >= at)
            && self.journal.needs_compaction(more)
    }

    /// Writes what must be in the journal before it happens. False: it must not happen.
    pub fn first(&mut self, now: Nanos, record: &Record) -> bool {
        if self.stuck() || self.gone {
            return false;
        }
        match self.journal.append(record) {
            Ok(()) => true,
            // The log's own limit says nothing of the disk. What has been taken on has its reserve behind it.
            Err(JournalError::CapacityExceeded) if matches!(record, Record::Accepted(_)) => {
                log::warn!("reject: no room in the journal");
                false
            }
            Err(fault) => {
                self.failed(now, &fault);
                false
            }
        }
    }

    /// Writes what has happened. Where it cannot be, it is kept, and `then` is given back by `retry`.
    pub fn keep(&mut self, now: Nanos, record: Record, then: Option<Output>) -> Option<Output> {
        if self.first(now, &record) {
            return then;
        }
        self.late.push_back((record, then));
        None
    }

    fn failed(&mut self, now: Nanos, fault: &JournalError) {
        let same = self.back_at.is_some_and(|at| (now - at).secs() < SAME_TROUBLE);
        if !same {
            self.pause = PAUSE;
            log::error!("journal cannot be written: {fault}; nothing is taken on or sent until it can");
        }
        self.again = Some(now + self.pause);
        self.pause = (self.pause * 2.0).min(PAUSE_MOST);
    }

    /// Attempts a journal that could not be written, when its time has come. `all` are the records of all that is
    /// known. Gives what was to be done once its record was written; none while the journal is stuck.
    pub fn retry<I: Iterator<Item = Record>>(
        &mut self, now: Nanos, all: impl FnOnce() -> I,
    ) -> Option<Vec<Output>> {
        if self.again.is_none_or(|at| now < at) {
            return None;
        }
        let mut done = Vec::new();
        match self.catch_up(all, &mut done) {
            Ok(()) => {
                log::info!("journal can be written again");
                (self.again, self.back_at) = (None, Some(now));
            }
            Err(fault) => {
                log::debug!("journal still cannot be written: {fault}");
                self.again = Some(now + self.pause);
                self.pause = (self.pause * 2.0).min(PAUSE_MOST);
            }
        }
        Some(done)
    }

    fn catch_up<I: Iterator<Item = Record>>(
        &mut self, all: impl FnOnce() -> I, done: &mut Vec<Output>,
    ) -> Result<(), JournalError> {
        // A mark without a meaning: whether the disk takes anything is seen before a message depends on it.
        let mut fault = self.journal.append(&Record::CallbackAcknowledged { id: 0 }).err();
        while fault.is_none() {
            let Some((record, _)) = self.late.front() else { break };
            fault = self.journal.append(record).err();
            if fault.is_none() {
                done.extend(self.late.pop_front().and_then(|l| l.1));
            }
        }
        match fault {
            None => Ok(()),
            // Another file helps where this one is at its end or cannot be mended; it holds all that waits.
            Some(JournalError::CapacityExceeded) => self.anew(all(), done),
            Some(_) if self.journal.has_partial_record() => self.anew(all(), done),
            Some(fault) => Err(fault),
        }
    }

    fn anew(
        &mut self, all: impl Iterator<Item = Record>, done: &mut Vec<Output>,
    ) -> Result<(), JournalError> {
        self.journal.compact(all)?;
        self.anew = None;
        done.extend(self.late.drain(..).filter_map(|l| l.1));
        Ok(())
    }

    /// Writes the log anew. Where this fails, the old one goes on, and this is not tried again at once.
    pub fn rewrite(&mut self, now: Nanos, all: impl Iterator<Item = Record>) {
        match self.journal.compact(all) {
            Ok(()) => {
                log::debug!("journal written anew");
                self.anew = None;
            }
            Err(fault) => {
                if self.anew.replace(now + PAUSE_MOST).is_none() {
                    log::error!("journal not written anew, the old one goes on: {fault}");
                }
            }
        }
    }
}
