//! Ordering of messages that share an ordering key.
use crate::interface::{MessageId, Nanos};
use std::collections::VecDeque;

/// The state of an ordering key: its messages without a final answer, in the order of their arrival.
#[derive(Default)]
pub(crate) struct OrderingKey {
    /// Messages of the key without a final answer, in the order in which they are sent.
    pub queue: VecDeque<MessageId>,
    /// Number of attempts in flight.
    pub in_flight: usize,
    /// End of the key's pause. A key pauses while an earlier attempt may still run.
    pub paused_until: Nanos,
}

impl OrderingKey {
    /// Returns whether the message is first in the queue and no attempt of the key is in flight.
    pub fn is_next(&self, id: MessageId) -> bool {
        self.in_flight == 0 && self.queue.front() == Some(&id)
    }

    /// Returns the message that may be sent next, or `None` while an attempt is in flight.
    pub fn next(&self) -> Option<MessageId> {
        if self.in_flight > 0 {
            return None;
        }
        self.queue.front().copied()
    }

    /// Removes a message that has its final answer.
    pub fn remove(&mut self, id: MessageId) {
        // Most messages finish while they are first in the queue, so a search of the rest is rarely needed.
        if self.queue.front() == Some(&id) {
            self.queue.pop_front();
        } else {
            self.queue.retain(|queued| *queued != id);
        }
    }
}
