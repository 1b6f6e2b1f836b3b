//! A destination with its pending messages, its share of promotions (LexAS) and its share of slots (ARR).
use super::pending_index::PendingIndex;
use super::ServedRate;
use crate::interface::*;

/// A flow of the design: the pending messages of a destination and the counters that decide when it is
/// served.
#[derive(Default)]
pub(crate) struct DestinationQueue {
    /// Messages that are not in flight.
    pub pending: PendingIndex,
    /// Endpoints of the destination.
    pub endpoints: Vec<EndpointId>,
    /// Number of places in the ready queue. The message for a place is chosen when a slot becomes free.
    pub ready: usize,
    /// Messages accepted per second, as a moving mean.
    pub demand: f64,
    /// B of the design: number of messages promoted.
    pub promoted: f64,
    /// a of the design: number of messages dispatched since the last reset.
    pub dispatched: f64,
    /// g - κ of the design: gain in excess of the initial gain.
    pub extra_gain: f64,
    /// Number of calls in flight.
    pub calls: usize,
    /// Start of the current period in which a message can be sent. Waiting before it is not counted, because
    /// this forwarder could not have avoided it.
    pub sendable_since: Nanos,
    /// Whether a message could be sent in the last round.
    pub sendable: bool,
    /// Total time in seconds that the messages sent since the last review had waited while they could be
    /// sent.
    pub total_wait_secs: f64,
    /// Number of messages sent since the last review.
    pub sent_since_review: u32,
    /// Number of messages served since the last review.
    pub served_since_review: u32,
    /// Messages served per second, as a moving mean.
    pub served_rate: f64,
    /// Calls served per second while the destination was healthy.
    pub served_calls: ServedRate,
    /// Time of the last send.
    pub last_sent_at: Nanos,
}

impl DestinationQueue {
    /// Updates the queue and the counters for a message that is sent.
    pub fn record_send(&mut self, id: MessageId, arrived: Nanos, now: Nanos) {
        self.pending.remove(id);
        if self.ready == 0 {
            // The message was not promoted before: it fills spare space in a batch call.
            self.promoted += 1.0;
        }
        self.ready = self.ready.saturating_sub(1);
        self.dispatched += 1.0;
        self.total_wait_secs += (now - arrived.max(self.sendable_since)).secs();
        self.sent_since_review += 1;
        self.last_sent_at = now;
    }
}
