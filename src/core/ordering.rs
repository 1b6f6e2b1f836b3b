//! Ordering keys: an attempt whose key has an unacknowledged callback waits until that callback is acknowledged.
//!
//! An attempt is in one place: deferred until the end of the step, parked behind its key, or with the transport.
use crate::interface::MessageId;
use std::collections::hash_map::Entry;
use std::collections::{BTreeSet, HashMap};

#[derive(Default)]
pub(super) struct OrderingKeys {
    /// For each key, how many of its messages are complete with a callback that is not acknowledged; never zero.
    unacknowledged: HashMap<u64, usize>,
    /// Messages whose attempt is handed to the transport at the end of this step, unless their key is blocked.
    deferred: BTreeSet<MessageId>,
    /// Messages whose attempt waits for its key to be free; looked at when that happens, and not before.
    parked: HashMap<u64, Vec<MessageId>>,
}

impl OrderingKeys {
    /// Defers the attempt of this message to the end of the step.
    pub(super) fn defer(&mut self, id: MessageId) {
        self.deferred.insert(id);
    }

    /// The messages with a deferred attempt, in the order of their ids.
    pub(super) fn take_deferred(&mut self) -> BTreeSet<MessageId> {
        std::mem::take(&mut self.deferred)
    }

    /// Whether a message of this key has an unacknowledged callback.
    pub(super) fn is_blocked(&self, key: u64) -> bool {
        self.unacknowledged.contains_key(&key)
    }

    /// Parks the attempt of this message until its key is free.
    pub(super) fn park(&mut self, key: u64, id: MessageId) {
        self.parked.entry(key).or_default().push(id);
    }

    /// A message of this key is complete, and its callback is not acknowledged.
    pub(super) fn block(&mut self, key: u64) {
        *self.unacknowledged.entry(key).or_default() += 1;
    }

    /// One of the key's callbacks is acknowledged. With the last one, attempts that are parked behind the key are deferred
    /// to the end of the step.
    pub(super) fn unblock(&mut self, key: u64) {
        let Entry::Occupied(mut count) = self.unacknowledged.entry(key) else { return };
        *count.get_mut() -= 1;
        if *count.get() > 0 {
            return;
        }
        count.remove();
        if let Some(parked) = self.parked.remove(&key) {
            self.deferred.extend(parked);
        }
    }

    #[cfg(test)]
    pub(super) fn is_parked(&self, key: u64, id: MessageId) -> bool {
        self.parked.get(&key).is_some_and(|ids| ids.contains(&id))
    }
}
