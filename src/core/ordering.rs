//! Ordering keys: an attempt waits while another message of its key has an unacknowledged callback.
//!
//! Each attempt is in one of three states: deferred to the end of the step, parked behind its key, or handed to the transport.
use crate::interface::MessageId;
use std::collections::hash_map::Entry;
use std::collections::{BTreeSet, HashMap};

#[derive(Default)]
pub(super) struct OrderingKeys {
    /// By key, the number of its complete messages with an unacknowledged callback; never zero.
    unacknowledged: HashMap<u64, usize>,
    /// Messages whose attempt is handed to the transport at the end of the step, unless their key is blocked.
    deferred: BTreeSet<MessageId>,
    /// By key, messages whose attempt waits until the key is unblocked. They are not examined before.
    parked: HashMap<u64, Vec<MessageId>>,
}

impl OrderingKeys {
    /// Defers the attempt of this message to the end of the step.
    pub(super) fn defer(&mut self, id: MessageId) {
        self.deferred.insert(id);
    }

    /// Removes and returns the messages with a deferred attempt, ordered by id.
    pub(super) fn take_deferred(&mut self) -> BTreeSet<MessageId> {
        std::mem::take(&mut self.deferred)
    }

    /// Returns whether a message of this key has an unacknowledged callback.
    pub(super) fn is_blocked(&self, key: u64) -> bool {
        self.unacknowledged.contains_key(&key)
    }

    /// Parks the attempt of this message until its key is unblocked.
    pub(super) fn park(&mut self, key: u64, id: MessageId) {
        self.parked.entry(key).or_default().push(id);
    }

    /// Blocks the key for a complete message with an unacknowledged callback.
    pub(super) fn block(&mut self, key: u64) {
        *self.unacknowledged.entry(key).or_default() += 1;
    }

    /// Releases one of the key's blocks, for an acknowledged callback. With the last one, defers the parked attempts of the
    /// key to the end of the step.
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
