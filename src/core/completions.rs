//! Ends: told once, kept until they are heard of, remembered for repeats.
use super::messages::Output;
use super::pending::{owes_word, Stage};
use super::suspensions::ending;
use super::Core;
use crate::interface::{Effect, MessageId, Nanos};
use crate::journal::{Completion, Record};
use crate::request::RequestContext;
use std::collections::hash_map::Entry::Occupied;

/// How long beyond its time a message that is over is remembered, in seconds.
const REMEMBER: f64 = 2.0;

/// So shortly before its time, in seconds, a message is out of it: one that is handed back does not run after a restart
/// either, and one that is answered may have been written off already.
pub(super) const TIME_UP: f64 = 0.05;

impl Core {
    /// The message is over for its client.
    pub(super) fn end(&mut self, id: MessageId, end: Completion) {
        let now = self.now;
        let Some(h) = self.held.get_mut(&id).filter(|h| h.end.is_none()) else { return };
        let context = h.context.clone();
        // One that is held back never went out; the module still waits to hear of it.
        if let Some(attempt) = h.out.as_ref().filter(|o| o.stage == Stage::HeldBack).map(|o| o.attempt) {
            self.take_out(id);
            self.not_sent(id, attempt, true);
        }
        let left_s = (context.deadline - now).secs();
        log::debug!(message = context.name, end:?, left_s; "over");
        let record = |end| Record::Completed { id: id.0, at: now.0, completion: end };
        let written = self.ledger.first(now, &record(end));
        let end = if written { end } else { self.end_unwritten(&context, end) };
        self.close(id, end);
        if let Some(ending) = ending(end) {
            self.metrics.record_result(context.class, ending);
        }
        let Some(h) = self.held.get_mut(&id) else { return };
        let word = owes_word(&context, end).then(|| Output::Callback(h.notice(id, end)));
        if written {
            self.orders.extend(word);
        } else {
            // What is given up has its answer at once. That it was delivered can wait: after a kill, the word
            // would be another one.
            let (now_told, later) = if end == Completion::Delivered { (None, word) } else { (word, None) };
            self.orders.extend(now_told);
            self.ledger.keep(now, record(end), later);
        }
        self.remember(&context, now, end);
        self.drop_if_done(id);
    }

    /// What a client is told where the journal cannot know of it yet. Guards "no double effect": a process that is
    /// killed now takes the message up again, so its client must not be told that coming again is harmless.
    pub(super) fn end_unwritten(&self, context: &RequestContext, end: Completion) -> Completion {
        let effect = self.settings.classes.get(context.class).map(|c| c.effect);
        let runs_again = (context.deadline - self.now).secs() > TIME_UP;
        match end {
            Completion::Deferred(_) if effect == Some(Effect::AtMostOnce) && runs_again => {
                Completion::Undeliverable
            }
            _ => end,
        }
    }

    pub(super) fn close(&mut self, id: MessageId, end: Completion) {
        let Some(h) = self.held.get_mut(&id) else { return };
        h.end = Some(end);
        self.open -= 1;
        if let Some(key) = h.context.ordering_key {
            *self.unheard.entry(key).or_default() += 1;
        }
    }

    pub(super) fn heard(&mut self, id: MessageId) {
        let Some(h) = self.held.get_mut(&id).filter(|h| h.end.is_some() && !h.heard) else { return };
        h.heard = true;
        let key = h.context.ordering_key;
        self.free(key);
        self.drop_if_done(id);
    }

    /// One message fewer of this key is over and not heard of.
    pub(super) fn free(&mut self, key: Option<u64>) {
        let Some(key) = key else { return };
        if let Occupied(mut left) = self.unheard.entry(key) {
            *left.get_mut() -= 1;
            if *left.get() == 0 {
                left.remove();
                self.held_back.extend(self.parked.remove(&key).unwrap_or_default());
            }
        }
    }

    /// One that was handed back or withdrawn may come again as if new.
    pub(super) fn remember(&mut self, context: &RequestContext, at: Nanos, end: Completion) {
        if !matches!(end, Completion::Delivered | Completion::Undeliverable) {
            return;
        }
        let class = self.settings.classes.get(context.class);
        let window = match class.map(|c| c.effect) {
            Some(Effect::IdempotentByKey { window, .. }) => window,
            _ => Nanos(0),
        };
        let until = context.deadline.max(at + window) + REMEMBER;
        let (name, repeat_key) = (context.name.clone(), context.idempotency_key.clone());
        self.ended.forget(self.now);
        self.ended.add(name, repeat_key, until, end == Completion::Delivered);
    }

    pub(super) fn drop_if_done(&mut self, id: MessageId) {
        let Some(h) = self.held.get(&id) else { return };
        let told = h.end.is_some_and(|end| h.heard || !owes_word(&h.context, end));
        if told && h.out.is_none() {
            self.forget(id);
        }
    }

    pub(super) fn forget(&mut self, id: MessageId) {
        self.take_out(id);
        if let Some(h) = self.held.remove(&id) {
            self.weight -= h.weight;
            match h.end {
                None => self.open -= 1,
                Some(_) if !h.heard => self.free(h.context.ordering_key),
                Some(_) => {}
            }
            if self.names.get(&h.context.name) == Some(&id) {
                self.names.remove(&h.context.name);
            }
        }
    }
}
