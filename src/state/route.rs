//! The unit that a rate limit applies to, with its waits, its pace and its recent calls.
use super::TokenBucket;
use crate::interface::*;
use std::collections::VecDeque;

/// Identifies a route: a destination, or one endpoint of it where the endpoints are separate routes.
pub(crate) type RouteKey = (DestinationId, Option<EndpointId>);

/// Limit, waits and pace of a route. Rates are in calls per second.
#[derive(Default)]
pub(crate) struct Route {
    /// No call may start before this time: the latest end of any Retry-After received from the route's
    /// endpoints or reported by peers.
    pub retry_after_until: Nanos,
    /// No call may start before this time: backoff after consecutive rejections.
    pub backoff_until: Nanos,
    /// Pace of this forwarder; `None` while the route is not paced.
    pub pace: Option<f64>,
    /// Tokens for calls at the pace.
    pub bucket: TokenBucket,
    /// Times at which the calls of the last second were served.
    pub served: VecDeque<Nanos>,
    /// Time at which the pace was last reduced because of a local rejection.
    pub reduced_at: Nanos,
    /// Pace right after the last reduction.
    pub reduced_pace: f64,
    /// Time at which `reduced_pace` was set, by a local rejection or a peer's observation.
    pub reduced_pace_at: Nanos,
    /// Estimated rate at which calls were rejected.
    pub rejected_rate: f64,
    /// Limit reported in responses; zero if none.
    pub reported_limit: f64,
    /// Limit given by the endpoint list; zero if none.
    pub listed_limit: f64,
    /// Number of consecutive rejections.
    pub rejections: u32,
    /// End of the Retry-After that this forwarder itself received.
    pub local_retry_after_until: Nanos,
    /// Whether the pace comes from a peer's observation.
    pub pace_from_peer: bool,
}

impl Route {
    /// Returns the rate that applies: the pace, but at most the reported limit.
    pub fn rate(&self) -> Option<f64> {
        let limit = Some(self.reported_limit).filter(|limit| *limit > 0.0);
        match (self.pace, limit) {
            (Some(pace), Some(limit)) => Some(pace.min(limit)),
            (Some(pace), None) => Some(pace),
            (None, limit) => limit,
        }
    }

    /// Records a Retry-After that this forwarder received. The one that ends last applies.
    pub fn record_retry_after(&mut self, now: Nanos, wait: Nanos) {
        self.record_peer_retry_after(now, wait);
        self.local_retry_after_until = self.local_retry_after_until.max(now + wait);
    }

    /// Records a Retry-After that a peer received. It applies here too and ends at the same time.
    pub fn record_peer_retry_after(&mut self, now: Nanos, wait: Nanos) {
        self.retry_after_until = self.retry_after_until.max(now + wait);
    }

    /// Returns the time until which no call may start.
    pub fn blocked_until(&self) -> Nanos {
        self.retry_after_until.max(self.backoff_until)
    }

    /// Returns the earliest time at which the next call may start.
    pub fn next_call(&self, now: Nanos) -> Nanos {
        let token = match self.rate() {
            Some(rate) => self.bucket.next_token(now, rate),
            None => now,
        };
        self.blocked_until().max(token)
    }
}
