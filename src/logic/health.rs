//! Endpoint health: latency, failures and the circuit breaker.
use super::outcomes::Failure;
use super::tuning::*;
use super::Balancer;
use crate::interface::*;
use crate::state::*;

impl Latency {
    /// Updates the estimate with a sample, in seconds.
    pub(super) fn sample(&mut self, latency: f64) {
        if self.mean == 0.0 {
            self.mean = latency;
            self.deviation = latency / 2.0;
            self.lowest_mean = latency;
        }
        self.deviation += LATENCY_GAIN * ((latency - self.mean).abs() - self.deviation);
        self.mean += LATENCY_GAIN * (latency - self.mean);
        self.lowest_mean = self.lowest_mean.min(self.mean);
    }
}

impl EndpointRecord {
    /// Returns the time in seconds without any response after which a call counts as unanswered.
    pub(super) fn response_timeout_secs(&self) -> f64 {
        let expected = self.latency.mean + RESPONSE_TIMEOUT_DEVIATIONS * self.latency.deviation;
        if expected > 0.0 {
            expected.max(MIN_RESPONSE_TIMEOUT_SECS)
        } else {
            DEFAULT_RESPONSE_TIMEOUT_SECS
        }
    }

    /// Records a lost call of this class. An endpoint that fails one class but serves the others keeps its
    /// breaker closed; the loss share moves the class to another endpoint if one accepts it. The share
    /// decays, because otherwise the class would never be tried here again.
    pub(super) fn record_class_loss(&mut self, class: usize) {
        let share = self.class_loss.entry(class).or_default();
        *share += FAILURE_GAIN * (1.0 - *share);
    }

    /// Records a served call with its latency in seconds. Returns `true` if the call ends an outage.
    pub(super) fn record_served(&mut self, now: Nanos, sent_at: Nanos, latency: f64) -> bool {
        self.latency.sample(latency);
        self.consecutive_unanswered = 0;
        self.failure_share *= 1.0 - FAILURE_GAIN;
        self.suspected = false;
        let CircuitBreaker::Open { since, may_lose_calls, .. } = self.breaker else { return false };
        // The outage was a false alarm if it was short and either the served call was sent before it began or
        // no call was lost in it, only rejected or refused. The endpoint was slow rather than silent.
        let was_no_outage = (sent_at < since || !may_lose_calls) && (now - since).secs() < MIN_OUTAGE_SECS;
        if was_no_outage {
            self.breaker = CircuitBreaker::Closed;
        }
        !was_no_outage
    }

    /// Marks the endpoint as suspected, with this number of tokens for its next calls.
    fn suspect(&mut self, now: Nanos, tokens: f64) {
        self.suspected = true;
        self.bucket = TokenBucket { level: tokens, refilled_at: now };
    }

    /// Returns whether the endpoint is slow, failing or in an outage.
    pub(super) fn is_unhealthy(&self) -> bool {
        let slow = self.latency.mean > SLOW_FACTOR * self.latency.lowest_mean;
        self.listed && (self.breaker != CircuitBreaker::Closed || slow)
    }
}

impl Balancer {
    /// Records a failed call. A single lost call on a lossy path is not an outage: if the endpoint served
    /// calls before and did not reject this one, one more call may start at once and further calls at the
    /// rate of a suspected endpoint. A second unanswered call opens the breaker.
    pub(super) fn record_failure(&mut self, id: EndpointId, failure: Failure) {
        // Both numbers are drawn before any return, so that the sequence of random numbers does not depend on
        // the known endpoints.
        let draw = self.random.next();
        let first_trial = MIN_TRIAL_GAP_SECS * self.jitter();
        let now = self.now;
        let Some(endpoint) = self.endpoints.get_mut(&id) else { return };
        if !endpoint.suspected && endpoint.breaker == CircuitBreaker::Closed {
            let served_before = endpoint.latency.mean > 0.0;
            let rejected = !failure.unanswered && !failure.may_lose_calls;
            let extra = if served_before && !rejected { 1.0 } else { 0.0 };
            endpoint.suspect(now, draw + extra);
            self.report_health(id, HealthReason::CallFailed);
        }
        let Some(endpoint) = self.endpoints.get_mut(&id) else { return };
        if failure.unanswered {
            endpoint.consecutive_unanswered += 1;
        }
        if endpoint.consecutive_unanswered > 0 && failure.may_lose_calls {
            self.suspect_route_endpoints(id, draw);
        }
        self.update_breaker(id, failure, now + first_trial);
    }

    /// Marks the route's other endpoints that have not responded lately as suspected, because an outage
    /// usually affects all endpoints of a route and a returning destination must not be overloaded. The cost:
    /// if only one of several endpoints is down, the first call to another may be delayed.
    fn suspect_route_endpoints(&mut self, id: EndpointId, draw: f64) {
        let Some(endpoint) = self.endpoints.get(&id) else { return };
        let route = endpoint.route;
        let Some(destination) = self.destinations.get(&endpoint.dest) else { return };
        let mut suspected = Vec::new();
        for other_id in &destination.endpoints {
            let Some(other) = self.endpoints.get_mut(other_id) else { continue };
            let no_recent_response = (self.now - other.last_response_at).secs() > MIN_OUTAGE_SECS;
            let is_healthy = !other.suspected && other.breaker == CircuitBreaker::Closed;
            if other.route == route && is_healthy && no_recent_response {
                other.suspect(self.now, MAX_SUSPECTED_ROUTE_TOKENS * draw);
                other.consecutive_unanswered = 1;
                suspected.push(*other_id);
            }
        }
        for other in suspected {
            self.report_health(other, HealthReason::RouteFailed);
        }
    }

    /// Opens the circuit breaker after consecutive unanswered calls or a high share of failures.
    fn update_breaker(&mut self, id: EndpointId, failure: Failure, first_trial: Nanos) {
        let Some(endpoint) = self.endpoints.get_mut(&id) else { return };
        if let CircuitBreaker::Open { may_lose_calls, .. } = &mut endpoint.breaker {
            *may_lose_calls |= failure.may_lose_calls;
        } else if endpoint.consecutive_unanswered >= BREAKER_UNANSWERED_CALLS
            || endpoint.failure_share > BREAKER_FAILURE_SHARE
        {
            endpoint.breaker = CircuitBreaker::Open {
                since: self.now,
                next_trial: first_trial,
                may_lose_calls: failure.may_lose_calls,
            };
            let is_unanswered = endpoint.consecutive_unanswered >= BREAKER_UNANSWERED_CALLS;
            self.log("breaker opened", Some(id));
            let reason = if is_unanswered { HealthReason::Unanswered } else { HealthReason::FailureShare };
            self.report_health(id, reason);
        }
    }

    /// Records a call that may have run and failed. An idle connection may have been dropped without notice,
    /// so if the call used an idle connection, the endpoint is only suspected and the next call uses a new
    /// connection. The loss of a call on a new connection counts as unanswered.
    pub(super) fn record_lost_call(&mut self, attempt: &InFlight, unanswered: bool) {
        let on_idle_connection = unanswered && attempt.connection_idle_secs > IDLE_RISK_SECS;
        let failure = Failure { unanswered: unanswered && !on_idle_connection, may_lose_calls: true };
        self.record_failure(attempt.endpoint, failure);
        let Some(endpoint) = self.endpoints.get_mut(&attempt.endpoint) else { return };
        if on_idle_connection {
            endpoint.idle_loss = Some(IdleLoss { at: self.now, idle_secs: attempt.connection_idle_secs });
            endpoint.connections = endpoint.calls;
            self.actions.push(Action::CloseIdle(attempt.endpoint));
        } else {
            endpoint.idle_loss = None;
        }
    }
}
