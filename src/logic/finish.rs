//! The end of a message: its final answer, once.
use super::Balancer;
use crate::interface::*;

impl Balancer {
    /// Gives the final answer for a message that is given up: a rejection where that is safe, else a failure.
    /// `retry_after` is the advice that goes with a rejection, in seconds.
    pub(super) fn give_up(&mut self, id: MessageId, retry_after: f64) {
        let Some(message) = self.messages.get(&id) else { return };
        let action = if message.may_reject(&self.settings.classes[message.class]) {
            let after = self.settings.retry_after.map(|longest| Nanos::from_secs(retry_after).min(longest));
            Action::Reject { id, after }
        } else {
            Action::Fail(id)
        };
        self.actions.push(action);
        self.finish(id);
    }

    /// Ends a message; the record of one in flight stays until its attempt's outcome is known.
    pub(super) fn finish(&mut self, id: MessageId) {
        let Some(message) = self.messages.get_mut(&id).filter(|message| !message.answered) else { return };
        message.answered = true;
        self.open_messages -= 1;
        let key = message.key;
        if let Some(ordering_key) = key.and_then(|key| self.ordering_keys.get_mut(&key)) {
            ordering_key.remove(id);
        }
        if message.in_flight.is_none() {
            self.remove_pending(id);
            self.messages.remove(&id);
        }
        self.unblock_next(key);
    }
}
