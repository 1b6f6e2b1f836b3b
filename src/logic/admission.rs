//! Admission: accepts new and resumed messages and adds them to the pending messages.
use super::tuning::{DEMAND_GAIN, EXPIRED_RETRY_AFTER_SECS, WINDOW_SHARE};
use super::Balancer;
use crate::interface::*;
use crate::state::*;

impl Balancer {
    /// Accepts a new message. A message of an unknown class is rejected.
    pub(super) fn accept(&mut self, message: &Message) {
        if self.messages.contains_key(&message.id) {
            return;
        }
        let Some(class) = self.settings.classes.get(message.class) else {
            self.actions.push(Action::Reject { id: message.id, after: None });
            return;
        };
        let key = message.key.filter(|_| class.fifo_by_key);
        if let Some(key) = key {
            self.ordering_keys.entry(key).or_default().queue.push_back(message.id);
        }
        let pending = PendingMessage {
            class: message.class,
            key,
            dest: message.dest,
            deadline: message.deadline,
            arrived: self.now,
            ..PendingMessage::default()
        };
        self.messages.insert(message.id, pending);
        self.add_pending(message.id);
        self.destination(message.dest).demand += DEMAND_GAIN;
        if self.active.insert(message.dest) {
            self.restart_permits(message.dest);
        }
        self.open_messages += 1;
    }

    /// Accepts a message of an earlier process. Its prior attempts count as attempts of this process, which
    /// prevents duplicate effects and attempts beyond the maximum. If the message may not be retried,
    /// `expire` gives its final answer.
    pub(super) fn resume(&mut self, message: &Message, prior: &PriorAttempts) {
        self.accept(message);
        let Some(pending) = self.messages.get_mut(&message.id) else { return };
        pending.attempts = prior.attempts;
        pending.first_run = prior.first_possible_run.map(|(sent_at, zone)| FirstRun { sent_at, zone });
        // The message was accepted before this moment, so its rejection must not count as a rejection on
        // arrival.
        pending.arrived = self.now - Nanos(1);
        self.add_pending(message.id);
        if prior.first_possible_run.is_some() {
            self.retry_checks.insert((self.now, message.id));
        }
        if prior.attempts >= self.settings.max_attempts {
            self.give_up(message.id, EXPIRED_RETRY_AFTER_SECS);
        }
    }

    /// Adds a message that is not in flight to the pending messages of its destination, and schedules its
    /// expiry checks.
    pub(super) fn add_pending(&mut self, id: MessageId) {
        self.remove_pending(id);
        let Some(message) = self.messages.get_mut(&id) else { return };
        self.deadlines.insert((message.deadline, id));
        if let (Some(first_run), Effect::IdempotentByKey { window, .. }) =
            (message.first_run, self.settings.classes[message.class].effect)
        {
            message.retry_check_at = Some(first_run.sent_at + window.secs() * WINDOW_SHARE);
        }
        if let Some(at) = message.retry_check_at {
            self.retry_checks.insert((at, id));
        }
        let ordering_key = message.key.and_then(|key| self.ordering_keys.get(&key));
        let unblocked = ordering_key.is_none_or(|key| key.is_next(id));
        let destination = self.destinations.entry(message.dest).or_default();
        destination.pending.insert(id, message.group_key(), message.deadline, unblocked);
    }

    /// Removes a message from the pending messages, because it is sent or has its final answer.
    pub(super) fn remove_pending(&mut self, id: MessageId) {
        let Some(message) = self.messages.get_mut(&id) else { return };
        self.deadlines.remove(&(message.deadline, id));
        if let Some(at) = message.retry_check_at.take() {
            self.retry_checks.remove(&(at, id));
        }
        self.destinations.entry(message.dest).or_default().pending.remove(id);
    }

    /// Unblocks the next message of an ordering key, unless an attempt of the key is in flight.
    pub(super) fn unblock_next(&mut self, key: Option<u64>) {
        let Some(ordering_key) = key.and_then(|key| self.ordering_keys.get(&key)) else { return };
        let Some(id) = ordering_key.next() else { return };
        let Some(message) = self.messages.get(&id) else { return };
        if let Some(destination) = self.destinations.get_mut(&message.dest) {
            destination.pending.unblock(id);
        }
    }
}
