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

    /// Records a served call with its latency in seconds. Returns `true` if the call may end an outage, so
    /// that the endpoint may be cold.
    pub(super) fn record_served(&mut self, now: Nanos, sent_at: Nanos, latency: f64) -> bool {
        self.latency.sample(latency);
        self.consecutive_unanswered = 0;
        self.failure_share *= 1.0 - FAILURE_GAIN;
        let last_served_at = self.last_served_at.replace(now);
        let is_open = matches!(self.breaker, CircuitBreaker::Open { .. });
        let was_suspected = std::mem::take(&mut self.suspected);
        let may_be_cold = (was_suspected || is_open) && self.may_be_cold(now, sent_at, last_served_at);
        self.failed_calls = 0;
        if is_open && !may_be_cold {
            self.breaker = CircuitBreaker::Closed;
        }
        may_be_cold
    }

    /// Returns whether a call that is served at `now` may have ended an outage. `last_served_at` is the time
    /// of the last served call before the suspicion.
    fn may_be_cold(&self, now: Nanos, sent_at: Nanos, last_served_at: Option<Nanos>) -> bool {
        // A limit rejects calls too; the reduced pace is the slow start after it.
        if self.only_rejected {
            return false;
        }
        if (now - self.suspected_since).secs() >= MIN_OUTAGE_SECS {
            return true;
        }
        // An outage needs time between two served calls.
        let had_time = last_served_at.is_none_or(|at| (now - at).secs() >= MIN_OUTAGE_SECS);
        // The endpoint was slow rather than silent if it serves a call that was sent before the suspicion.
        let was_slow = sent_at < self.suspected_since;
        let is_isolated = self.failed_calls <= 1 && sent_at < self.suspected_since + ISOLATED_FAILURE_SECS;
        had_time && !was_slow && !is_isolated
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
        let is_open = matches!(endpoint.breaker, CircuitBreaker::Open { .. });
        let rejected = !failure.unanswered && !failure.may_lose_calls;
        endpoint.only_rejected = rejected && (endpoint.failed_calls == 0 || endpoint.only_rejected);
        endpoint.failed_calls += 1;
        if !endpoint.suspected && !is_open {
            let served_before = endpoint.latency.mean > 0.0;
            let was_closed = endpoint.breaker == CircuitBreaker::Closed;
            self.suspect(id, HealthReason::CallFailed);
            self.endpoints.entry(id).or_default().limit_bucket =
                TokenBucket { level: draw, refilled_at: now };
            if served_before && !rejected && was_closed {
                self.endpoints.entry(id).or_default().permits.grant(now + ISOLATED_FAILURE_SECS);
            }
        }
        let Some(endpoint) = self.endpoints.get_mut(&id) else { return };
        if failure.unanswered {
            endpoint.consecutive_unanswered += 1;
        }
        if endpoint.consecutive_unanswered > 0 && failure.may_lose_calls {
            self.suspect_route_endpoints(id);
        }
        self.update_breaker(id, failure, now + first_trial);
    }

    /// Marks the route's other endpoints that have not responded lately as suspected, because an outage
    /// usually affects all endpoints of a route and a returning destination must not be overloaded. The cost:
    /// if only one of several endpoints is down, the first call to another may be delayed.
    fn suspect_route_endpoints(&mut self, id: EndpointId) {
        let Some(endpoint) = self.endpoints.get(&id) else { return };
        let route = endpoint.route;
        let Some(destination) = self.destinations.get(&endpoint.dest) else { return };
        let mut suspected = Vec::new();
        for other_id in &destination.endpoints {
            let Some(other) = self.endpoints.get_mut(other_id) else { continue };
            let no_recent_response = (self.now - other.last_response_at).secs() > MIN_OUTAGE_SECS;
            let is_healthy = !other.suspected && other.breaker == CircuitBreaker::Closed;
            if other.route == route && is_healthy && no_recent_response {
                other.consecutive_unanswered = 1;
                suspected.push(*other_id);
            }
        }
        for other in suspected {
            self.suspect(other, HealthReason::RouteFailed);
        }
    }

    /// Marks an endpoint as suspected: its calls need permits until one is served.
    pub(super) fn suspect(&mut self, id: EndpointId, reason: HealthReason) {
        let Some(endpoint) = self.endpoints.get_mut(&id) else { return };
        endpoint.suspected = true;
        endpoint.suspected_since = self.now;
        endpoint.permits.restart(self.now, &mut self.permit_random);
        self.report_health(id, reason);
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
