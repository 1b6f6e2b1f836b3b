//! The deduplication cache: what is remembered of complete messages, so that repeats have the same answer. Found by name
//! and by idempotency key, and expired in time: the cost of a request does not grow with the past.
#![warn(missing_docs)]
use crate::journal::{Journal, Record};
use crate::Nanos;
use std::collections::{BTreeMap, HashMap};

/// How a message ended that is asked for again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PriorResult {
    /// It was delivered.
    Delivered,
    /// It failed for good.
    Failed,
}

/// A complete message.
struct CompleteMessage {
    name: String,
    idempotency_key: String,
    delivered: bool,
}

/// Until when a message is remembered, and a number that no other has: several may expire at one time.
type Expiry = (Nanos, u64);

/// Complete messages, until their repeats need not be known any more.
#[derive(Default)]
pub struct DeduplicationCache {
    by_expiry: BTreeMap<Expiry, CompleteMessage>,
    by_name: HashMap<String, Expiry>,
    /// Delivered messages, by their idempotency key.
    by_idempotency_key: HashMap<String, Expiry>,
    last_number: u64,
    journal_bytes: u64,
}

impl DeduplicationCache {
    /// Remembers a message until this Unix time. `idempotency_key` is empty where the message has none.
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

    /// How the message of this name ended, or else the delivered one of this key; none if neither is remembered.
    pub fn get(&self, name: &str, idempotency_key: &str) -> Option<PriorResult> {
        let expiry = self.by_name.get(name).or_else(|| self.by_idempotency_key.get(idempotency_key))?;
        let message = self.by_expiry.get(expiry)?;
        Some(if message.delivered { PriorResult::Delivered } else { PriorResult::Failed })
    }

    /// Forgets the messages that are remembered until `now` or an earlier Unix time.
    pub fn expire(&mut self, now: Nanos) {
        while let Some(entry) = self.by_expiry.first_entry().filter(|e| e.key().0 <= now) {
            let (expiry, message) = entry.remove_entry();
            self.journal_bytes -= Journal::deduplicated_bytes(&message.name, &message.idempotency_key);
            // A later message of the same name or key remains.
            if self.by_name.get(&message.name) == Some(&expiry) {
                self.by_name.remove(&message.name);
            }
            if self.by_idempotency_key.get(&message.idempotency_key) == Some(&expiry) {
                self.by_idempotency_key.remove(&message.idempotency_key);
            }
        }
    }

    /// Bytes that the journal reserves for the cache.
    pub fn journal_bytes(&self) -> u64 {
        self.journal_bytes
    }

    /// The records from which a restart fills the cache again, by the time of expiry.
    pub fn records(&self) -> impl Iterator<Item = Record> + '_ {
        self.by_expiry.iter().map(|((until, _), message)| Record::Deduplicated {
            name: message.name.clone(),
            idempotency_key: message.idempotency_key.clone(),
            until: until.0,
            delivered: message.delivered,
        })
    }
}
