//! A destination: its pending messages, its share of promotions (LexAS) and of slots (ARR).
use super::pending_index::PendingIndex;
use crate::interface::*;

/// A flow of the design: the pending messages of a destination and the counts that decide its turn.
#[derive(Default)]
pub(crate) struct DestinationQueue {
    /// Messages that are not in flight.
    pub pending: PendingIndex,
    /// Its endpoints.
    pub endpoints: Vec<EndpointId>,
    /// Places in the ready queue. Which message takes one is decided when a slot is free.
    pub ready: usize,
    /// Messages accepted a second, moving mean.
    pub demand: f64,
    /// B of the design: messages promoted.
    pub promoted: f64,
    /// a of the design: slots filled since the last reset.
    pub dispatched: f64,
    /// g - κ of the design: gain above the initial one.
    pub extra_gain: f64,
    /// Calls in flight.
    pub calls: usize,
    /// Since when a message could be sent: waiting before that is not this forwarder's to help.
    pub sendable_since: Nanos,
    /// A message could be sent in the last round.
    pub sendable: bool,
    /// Sum of the time that sent messages waited while they could be sent, in seconds, since the last review.
    pub total_wait_secs: f64,
    /// Messages sent since the last review.
    pub sent_since_review: u32,
    /// Messages served since the last review.
    pub served_since_review: u32,
    /// Messages served a second, moving mean.
    pub served_rate: f64,
    /// When a message was last sent.
    pub last_sent_at: Nanos,
}

impl DestinationQueue {
    /// Counts a message that is sent.
    pub fn record_send(&mut self, id: MessageId, arrived: Nanos, now: Nanos) {
        self.pending.remove(id);
        if self.ready == 0 {
            // It was not promoted before: it rides along in a call that has space left.
            self.promoted += 1.0;
        }
        self.ready = self.ready.saturating_sub(1);
        self.dispatched += 1.0;
        self.total_wait_secs += (now - arrived.max(self.sendable_since)).secs();
        self.sent_since_review += 1;
        self.last_sent_at = now;
    }
}
