//! Final answers: each message gets exactly one.
use super::Balancer;
use crate::interface::*;

impl Balancer {
    /// Gives up a message: its final answer is a rejection if that is safe, otherwise a failure. A rejection
    /// carries a Retry-After of `retry_after_secs`, limited by the settings.
    pub(super) fn give_up(&mut self, id: MessageId, retry_after_secs: f64) {
        let Some(message) = self.messages.get(&id) else { return };
        let action = if message.may_reject(&self.settings.classes[message.class]) {
            let after =
                self.settings.retry_after.map(|longest| Nanos::from_secs(retry_after_secs).min(longest));
            Action::Reject { id, after }
        } else {
            Action::Fail(id)
        };
        self.actions.push(action);
        self.finish(id);
    }

    /// Marks a message as answered. Its record stays while an attempt is in flight, until the outcome of the
    /// attempt is known.
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
