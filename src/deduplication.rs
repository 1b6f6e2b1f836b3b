//! The deduplication cache: what is remembered of messages that are over, so that their repeats are answered alike. Found
//! by name and by idempotency key, and forgotten in time: the cost of a request does not grow with what was.
use crate::journal::{Journal, Record};
use crate::Nanos;
use std::collections::{BTreeMap, HashMap};

/// A message that is over.
struct EndedMessage {
    name: String,
    repeat_key: String,
    delivered: bool,
}

/// Until when one is remembered, and a number of its own.
type Expiry = (Nanos, u64);

/// Messages that are over, until their repeats need not be known any more.
#[derive(Default)]
pub struct DeduplicationCache {
    by_expiry: BTreeMap<Expiry, EndedMessage>,
    by_name: HashMap<String, Expiry>,
    /// Those that were delivered, by the key by which endpoints know them.
    by_key: HashMap<String, Expiry>,
    next: u64,
    weight: u64,
}

impl DeduplicationCache {
    /// Remembers a message until this time.
    pub fn add(&mut self, name: String, repeat_key: String, until: Nanos, delivered: bool) {
        self.next += 1;
        let expiry = (until, self.next);
        self.by_name.insert(name.clone(), expiry);
        if delivered && !repeat_key.is_empty() {
            self.by_key.insert(repeat_key.clone(), expiry);
        }
        self.weight += Journal::deduplicated_bytes(&name, &repeat_key);
        self.by_expiry.insert(expiry, EndedMessage { name, repeat_key, delivered });
    }

    /// Whether the message of this name, or of this key, was delivered; none if it is not known.
    pub fn delivered(&self, name: &str, repeat_key: &str) -> Option<bool> {
        let expiry = self.by_name.get(name).or_else(|| self.by_key.get(repeat_key))?;
        self.by_expiry.get(expiry).map(|g| g.delivered)
    }

    /// Forgets what has had its time.
    pub fn forget(&mut self, now: Nanos) {
        while let Some(entry) = self.by_expiry.first_entry().filter(|e| e.key().0 <= now) {
            let (expiry, gone) = entry.remove_entry();
            self.weight -= Journal::deduplicated_bytes(&gone.name, &gone.repeat_key);
            // A later one of the same name or key stands.
            if self.by_name.get(&gone.name) == Some(&expiry) {
                self.by_name.remove(&gone.name);
            }
            if self.by_key.get(&gone.repeat_key) == Some(&expiry) {
                self.by_key.remove(&gone.repeat_key);
            }
        }
    }

    /// Bytes that the journal must keep for it.
    pub fn weight(&self) -> u64 {
        self.weight
    }

    /// What the journal must say of it.
    pub fn records(&self) -> impl Iterator<Item = Record> + '_ {
        self.by_expiry.iter().map(|(expiry, g)| {
            let (name, repeat_key) = (g.name.clone(), g.repeat_key.clone());
            Record::Deduplicated {
                name,
                idempotency_key: repeat_key,
                until: expiry.0 .0,
                delivered: g.delivered,
            }
        })
    }
}
