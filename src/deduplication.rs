//! Deduplication cache: the results of complete messages, so that repeated requests receive the same answer. Entries are
//! found by name and by idempotency key, and expire, so that the cost of a request does not grow with the number of past
//! messages.
#![warn(missing_docs)]
use crate::journal::{Journal, Record};
use crate::request::has_lasting_name;
use crate::Nanos;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Memory of an entry beside its texts, in bytes.
const ENTRY_OVERHEAD_BYTES: u64 = 448;

/// Result of a complete message whose request is repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PriorResult {
    /// The message was delivered.
    Delivered,
    /// The message failed permanently.
    Failed,
}

/// A complete message.
struct CompleteMessage {
    name: String,
    idempotency_key: String,
    delivered: bool,
}

/// Expiry time of an entry and a unique number, since several entries may expire at the same time.
type Expiry = (Nanos, u64);

/// Returns the memory of entries for which the journal reserves this many bytes: each stands in three tables, with its texts twice.
fn memory_bytes(journal_bytes: u64, entries: usize) -> u64 {
    2 * journal_bytes + entries as u64 * ENTRY_OVERHEAD_BYTES
}

/// Cache of complete messages. Each entry is kept until repeated requests for its message need no longer be recognized.
#[derive(Default)]
pub struct DeduplicationCache {
    by_expiry: BTreeMap<Expiry, CompleteMessage>,
    by_name: HashMap<String, Expiry>,
    /// Delivered messages by idempotency key.
    by_idempotency_key: HashMap<String, Expiry>,
    /// Messages with a lasting name, which are kept for long and can be evicted before they expire.
    lasting: BTreeSet<Expiry>,
    /// Share of the journal's reservation that belongs to them, in bytes.
    lasting_journal_bytes: u64,
    last_number: u64,
    journal_bytes: u64,
}

impl DeduplicationCache {
    /// Adds a message that expires at the Unix time `until`. `idempotency_key` is empty if the message has none.
    pub fn insert(&mut self, name: String, idempotency_key: String, until: Nanos, delivered: bool) {
        self.last_number += 1;
        let expiry = (until, self.last_number);
        self.by_name.insert(name.clone(), expiry);
        if delivered && !idempotency_key.is_empty() {
            self.by_idempotency_key.insert(idempotency_key.clone(), expiry);
        }
        let bytes = Journal::deduplicated_bytes(&name, &idempotency_key);
        self.journal_bytes += bytes;
        if has_lasting_name(&name) {
            self.lasting.insert(expiry);
            self.lasting_journal_bytes += bytes;
        }
        self.by_expiry.insert(expiry, CompleteMessage { name, idempotency_key, delivered });
    }

    /// Returns the result of the message with this name or, if the cache has none, of the delivered message with this
    /// idempotency key. Returns `None` if the cache has neither.
    pub fn get(&self, name: &str, idempotency_key: &str) -> Option<PriorResult> {
        let expiry = self.by_name.get(name).or_else(|| self.by_idempotency_key.get(idempotency_key))?;
        let message = self.by_expiry.get(expiry)?;
        Some(if message.delivered { PriorResult::Delivered } else { PriorResult::Failed })
    }

    /// Removes the messages whose expiry time is `now` or earlier.
    pub fn expire(&mut self, now: Nanos) {
        while let Some(expiry) = self.by_expiry.keys().next().copied().filter(|expiry| expiry.0 <= now) {
            self.remove(expiry);
        }
    }

    /// Removes the oldest messages with a lasting name until the journal reserves at most `max_journal_bytes` for them and they take
    /// at most `max_memory_bytes`. Returns the number of removed messages.
    pub fn evict_lasting(&mut self, max_journal_bytes: u64, max_memory_bytes: u64) -> usize {
        let mut evicted = 0;
        while self.lasting_journal_bytes > max_journal_bytes || self.lasting_memory_bytes() > max_memory_bytes
        {
            let Some(oldest) = self.lasting.first().copied() else { break };
            self.remove(oldest);
            evicted += 1;
        }
        evicted
    }

    fn lasting_memory_bytes(&self) -> u64 {
        memory_bytes(self.lasting_journal_bytes, self.lasting.len())
    }

    fn remove(&mut self, expiry: Expiry) {
        let Some(message) = self.by_expiry.remove(&expiry) else { return };
        let bytes = Journal::deduplicated_bytes(&message.name, &message.idempotency_key);
        self.journal_bytes -= bytes;
        if self.lasting.remove(&expiry) {
            self.lasting_journal_bytes -= bytes;
        }
        // Keep the index entries of a later message with the same name or key.
        if self.by_name.get(&message.name) == Some(&expiry) {
            self.by_name.remove(&message.name);
        }
        if self.by_idempotency_key.get(&message.idempotency_key) == Some(&expiry) {
            self.by_idempotency_key.remove(&message.idempotency_key);
        }
    }

    /// Returns the memory of the cache, in bytes.
    pub fn memory_bytes(&self) -> u64 {
        memory_bytes(self.journal_bytes, self.by_expiry.len())
    }

    /// Returns the number of bytes that the journal reserves for the cache.
    pub fn journal_bytes(&self) -> u64 {
        self.journal_bytes
    }

    /// Returns the journal records that restore the cache after a restart, ordered by expiry time.
    pub fn records(&self) -> impl Iterator<Item = Record> + '_ {
        self.by_expiry.iter().map(|((until, _), message)| Record::Deduplicated {
            name: message.name.clone(),
            idempotency_key: message.idempotency_key.clone(),
            until: until.0,
            delivered: message.delivered,
        })
    }
}

#[cfg(test)]
mod tests;
