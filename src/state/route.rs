//! What a rate limit applies to: its waits, its pace and its recent calls.
use super::TokenBucket;
use crate::interface::*;
use std::collections::VecDeque;

/// What a limit, a wait and a pace belong to: a destination, or one of its endpoints where routes are
/// separate.
pub(crate) type RouteKey = (DestinationId, Option<EndpointId>);

/// Limit, waits and pace of a route. Rates are in calls a second.
#[derive(Default)]
pub(crate) struct Route {
    /// No call before this time: the longest Retry-After of its endpoints, or of its peers' observations.
    pub retry_after_until: Nanos,
    /// No call before this time: backoff after consecutive rejections.
    pub backoff_until: Nanos,
    /// The pace of this forwarder; none while it is free.
    pub pace: Option<f64>,
    /// Tokens for calls at the pace.
    pub bucket: TokenBucket,
    /// When the calls of the last second were served.
    pub served: VecDeque<Nanos>,
    /// When the pace was last reduced.
    pub reduced_at: Nanos,
    /// The pace right after the last reduction.
    pub reduced_pace: f64,
    /// When that pace was set.
    pub reduced_pace_at: Nanos,
    /// The rate at which calls were rejected.
    pub rejected_rate: f64,
    /// The limit that answers report; zero if none.
    pub reported_limit: f64,
    /// The limit that the endpoint list names; zero if none.
    pub listed_limit: f64,
    /// Consecutive rejections.
    pub rejections: u32,
    /// The end of the Retry-After that this forwarder itself received.
    pub local_retry_after_until: Nanos,
    /// The pace is a peer's observation.
    pub pace_from_peer: bool,
}

impl Route {
    /// The rate that applies: the pace, and never more than the reported limit.
    pub fn rate(&self) -> Option<f64> {
        let limit = Some(self.reported_limit).filter(|limit| *limit > 0.0);
        match (self.pace, limit) {
            (Some(pace), Some(limit)) => Some(pace.min(limit)),
            (Some(pace), None) => Some(pace),
            (None, limit) => limit,
        }
    }

    /// Takes in a Retry-After that this forwarder received. The longest one stands.
    pub fn record_retry_after(&mut self, now: Nanos, wait: Nanos) {
        self.record_peer_retry_after(now, wait);
        self.local_retry_after_until = self.local_retry_after_until.max(now + wait);
    }

    /// Takes in a Retry-After that a peer received: it applies here too, to the same end.
    pub fn record_peer_retry_after(&mut self, now: Nanos, wait: Nanos) {
        self.retry_after_until = self.retry_after_until.max(now + wait);
    }

    /// Until when no call may start.
    pub fn blocked_until(&self) -> Nanos {
        self.retry_after_until.max(self.backoff_until)
    }

    /// When a call may start next.
    pub fn next_call(&self, now: Nanos) -> Nanos {
        let token = match self.rate() {
            Some(rate) => self.bucket.next_token(now, rate),
            None => now,
        };
        self.blocked_until().max(token)
    }
}
