//! The pace of a route: reduced by rejections and raised while calls succeed. Also records Retry-After waits.
use super::tuning::*;
use super::Balancer;
use crate::interface::*;
use crate::state::*;

/// A rejected call.
pub(super) struct Rejection {
    /// Send time of the call.
    pub sent_at: Nanos,
    /// Retry-After of the rejection, if any.
    pub wait: Option<Nanos>,
    /// Demand for the destination, in messages per second.
    pub demand: f64,
    /// Random number from 0 to 1.
    pub draw: f64,
}

/// An equal share of a route's limit for each forwarder, and the bounds derived from it.
struct EqualShare {
    /// Calls per second; zero if no limit is known.
    rate: f64,
}

impl EqualShare {
    /// Returns the lowest pace, in calls per second.
    fn lowest_pace(&self) -> f64 {
        if self.rate > 0.0 {
            (self.rate * MIN_PACE_SHARE).max(1.0 / MAX_CALL_GAP_SECS)
        } else {
            MIN_PACE
        }
    }

    /// Returns the first backoff, in seconds.
    fn first_backoff(&self, settings: &Settings) -> f64 {
        let call_gap = if settings.limits_reported && self.rate <= 0.0 { 0.0 } else { 1.0 / self.rate };
        let objective_share = if self.rate > 0.0 { 1.0 } else { OBJECTIVE_WAIT_SHARE };
        let longest = settings.shortest_objective_secs() * objective_share;
        (call_gap / PACE_REDUCTION_FACTOR).min(longest).max(MIN_FIRST_BACKOFF_SECS)
    }
}

impl Route {
    /// Drops served calls that are older than a second, and refills the tokens.
    pub(super) fn refill(&mut self, now: Nanos) {
        while self.served.front().is_some_and(|served_at| (now - *served_at).secs() > 1.0) {
            self.served.pop_front();
        }
        if let Some(rate) = self.rate() {
            self.bucket.refill(now, rate, (rate * BURST_SECS).max(1.0));
        }
    }

    /// Returns this forwarder's equal share of the reported limit, or of the listed limit if none is
    /// reported.
    fn equal_share(&self, settings: &Settings) -> EqualShare {
        let limit = if self.reported_limit > 0.0 { self.reported_limit } else { self.listed_limit };
        EqualShare { rate: limit / settings.forwarders.max(1) as f64 }
    }

    /// Records a rejection. Returns `true` if the pace was reduced; the rejection of a call that was sent
    /// before the last reduction does not reduce it again. Rejected calls may use up the limit too, so an
    /// unchanged pace could sustain the overload. Each further rejection therefore halves the pace, until the
    /// demand of all forwarders together is only a part of the limit.
    pub(super) fn record_rejected(&mut self, settings: &Settings, now: Nanos, rejection: &Rejection) -> bool {
        self.record_retry_after(now, rejection.wait.unwrap_or_default());
        if rejection.sent_at < self.reduced_at {
            return false;
        }
        let equal_share = self.equal_share(settings);
        let lowest = equal_share.lowest_pace();
        let rate = self.rate_at_rejection(&equal_share, rejection.demand);
        // Only the first of several consecutive rejections shows at which rate calls are rejected.
        if self.rejections == 0 {
            self.rejected_rate = if rate < self.rejected_rate * LOWER_REJECTION_FACTOR {
                rate * LOWER_REJECTION_FACTOR
            } else {
                rate
            };
            self.rejected_rate = self.rejected_rate.max(lowest);
        }
        self.rejections += 1;
        self.refill(now);
        let pace = (rate * PACE_REDUCTION_FACTOR).max(lowest);
        self.back_off(equal_share.first_backoff(settings), pace, rejection.draw);
        self.reduce_pace(now, pace);
        true
    }

    /// Returns the rate that was too high: the lower of the pace and the expected rate, but no less than the
    /// number of calls served in the last second minus its statistical error. The expected rate is the larger
    /// of the equal share and the demand, or the served rate if no limit is known.
    fn rate_at_rejection(&self, equal_share: &EqualShare, demand: f64) -> f64 {
        let served = self.served.len() as f64;
        let expected = if equal_share.rate > 0.0 { equal_share.rate.max(demand) } else { served };
        self.pace.unwrap_or(f64::INFINITY).min(expected).max(served - served.sqrt())
    }

    /// Sets the backoff after a rejection. All forwarders that received a Retry-After receive the same end
    /// time, and the random part keeps them from returning at the same moment.
    fn back_off(&mut self, first: f64, pace: f64, draw: f64) {
        let doublings = self.rejections.min(MAX_BACKOFF_DOUBLINGS) as i32 - 1;
        let backoff = (first * 2f64.powi(doublings)).min(MAX_TRIAL_GAP_SECS.max(1.0 / pace));
        self.backoff_until = self.retry_after_until + backoff * (JITTER + draw);
    }

    /// Sets a lower pace, and leaves tokens for at most one call.
    fn reduce_pace(&mut self, now: Nanos, pace: f64) {
        self.pace = Some(pace);
        self.reduced_pace = pace;
        self.reduced_pace_at = now;
        self.bucket.level = self.bucket.level.min(1.0);
        self.reduced_at = now;
        self.pace_from_peer = false;
    }

    /// Records a served call. The pace follows a cubic curve: it returns quickly to near the rejected rate,
    /// rises slowly around it and fast far above it, because a lowered limit is usually temporary.
    pub(super) fn record_served(&mut self, now: Nanos) {
        self.refill(now);
        self.served.push_back(now);
        self.rejections = 0;
        let x = (now - self.reduced_pace_at).secs() / PACE_RECOVERY_SECS - 1.0;
        let height = if x < 0.0 {
            self.rejected_rate - self.reduced_pace
        } else {
            self.rejected_rate * (1.0 - PACE_REDUCTION_FACTOR)
        };
        if let Some(pace) = self.pace {
            self.pace = Some(pace.max(self.rejected_rate + height.max(0.0) * x.powi(3)));
        }
    }
}

impl Balancer {
    /// Records a Retry-After that was received independently of an attempt's outcome.
    pub(super) fn record_retry_after(&mut self, endpoint: EndpointId, dest: DestinationId, wait: Nanos) {
        let route = self.endpoints.get(&endpoint).map_or((dest, None), |endpoint| endpoint.route);
        self.routes.entry(route).or_default().record_retry_after(self.now, wait);
    }
}
