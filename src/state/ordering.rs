//! Order of messages that share an ordering key.
use crate::interface::{MessageId, Nanos};
use std::collections::VecDeque;

/// An ordering key: its open messages in the order of their arrival.
#[derive(Default)]
pub(crate) struct OrderingKey {
    /// Open messages of the key; the first one is next.
    pub queue: VecDeque<MessageId>,
    /// Attempts in flight.
    pub in_flight: usize,
    /// Until when the key pauses, since an earlier attempt may still run.
    pub paused_until: Nanos,
}

impl OrderingKey {
    /// Whether neither an earlier message nor an attempt in flight holds this message up.
    pub fn is_next(&self, id: MessageId) -> bool {
        self.in_flight == 0 && self.queue.front() == Some(&id)
    }

    /// The message that may go next; none while an attempt is in flight.
    pub fn next(&self) -> Option<MessageId> {
        if self.in_flight > 0 {
            return None;
        }
        self.queue.front().copied()
    }

    /// Removes a message that ended.
    pub fn remove(&mut self, id: MessageId) {
        // Most messages end while first in the queue: no need to search the rest then.
        if self.queue.front() == Some(&id) {
            self.queue.pop_front();
        } else {
            self.queue.retain(|queued| *queued != id);
        }
    }
}
