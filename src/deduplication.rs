//! Deduplication cache: the results of complete messages, so that repeated requests receive the same answer. Entries are
//! found by name and by idempotency key, and expire, so that the cost of a request does not grow with the number of past
//! messages.
#![warn(missing_docs)]
use crate::journal::{Journal, Record};
use crate::Nanos;
use std::collections::{BTreeMap, HashMap};

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

/// Cache of complete messages. Each entry is kept until repeated requests for its message need no longer be recognized.
#[derive(Default)]
pub struct DeduplicationCache {
    by_expiry: BTreeMap<Expiry, CompleteMessage>,
    by_name: HashMap<String, Expiry>,
    /// Delivered messages by idempotency key.
    by_idempotency_key: HashMap<String, Expiry>,
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
        self.journal_bytes += Journal::deduplicated_bytes(&name, &idempotency_key);
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
        while let Some(entry) = self.by_expiry.first_entry().filter(|e| e.key().0 <= now) {
            let (expiry, message) = entry.remove_entry();
            self.journal_bytes -= Journal::deduplicated_bytes(&message.name, &message.idempotency_key);
            // Keep the index entries of a later message with the same name or key.
            if self.by_name.get(&message.name) == Some(&expiry) {
                self.by_name.remove(&message.name);
            }
            if self.by_idempotency_key.get(&message.idempotency_key) == Some(&expiry) {
                self.by_idempotency_key.remove(&message.idempotency_key);
            }
        }
    }

    /// Returns the memory of the cache, in bytes: each entry stands in three tables, with its texts twice.
    pub fn memory_bytes(&self) -> u64 {
        2 * self.journal_bytes + self.by_expiry.len() as u64 * ENTRY_OVERHEAD_BYTES
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
