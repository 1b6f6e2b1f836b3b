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

/// A served call to an endpoint that may return from an outage.
struct ServedCall {
    /// Time at which it was served.
    now: Nanos,
    /// Time at which it was sent.
    sent_at: Nanos,
    /// Time at which a call was last served before it.
    last_served_at: Option<Nanos>,
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
        if let Some(suspicion) = self.suspicion.as_mut().filter(|suspicion| suspicion.outlasts(sent_at)) {
            suspicion.record_earlier_call(now);
            return false;
        }
        let may_be_cold = match self.suspicion.take() {
            Some(suspicion) => self.may_be_cold(&suspicion, &ServedCall { now, sent_at, last_served_at }),
            // A peer has reported the outage.
            None => is_open,
        };
        self.failed_calls = 0;
        if is_open && !may_be_cold {
            self.breaker = CircuitBreaker::Closed;
        }
        may_be_cold
    }

    /// Returns whether a served call may have ended an outage.
    fn may_be_cold(&self, suspicion: &Suspicion, call: &ServedCall) -> bool {
        let age = call.now - suspicion.since;
        if suspicion.cause == SuspicionCause::Outage || age.secs() >= MIN_OUTAGE_SECS {
            return true;
        }
        // An outage needs time between two served calls.
        let had_time = call.last_served_at.is_none_or(|at| (call.now - at).secs() >= MIN_OUTAGE_SECS);
        // The endpoint was slow rather than silent if it serves a call that was sent before the suspicion.
        let was_slow = call.sent_at < suspicion.since;
        let is_isolated = suspicion.cause == SuspicionCause::Failure
            && self.failed_calls <= 1
            && call.sent_at <= suspicion.second_call_until();
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
        // Drawn before any return, so that the sequence of random numbers does not depend on the known
        // endpoints.
        let first_trial = MIN_TRIAL_GAP_SECS * self.jitter();
        let now = self.now;
        let Some(endpoint) = self.endpoints.get_mut(&id) else { return };
        let is_open = matches!(endpoint.breaker, CircuitBreaker::Open { .. });
        let rejected = !failure.unanswered && !failure.may_lose_calls;
        endpoint.failed_calls += 1;
        if let Some(suspicion) = endpoint.suspicion.as_mut().filter(|_| !rejected) {
            suspicion.record_failure();
        }
        if endpoint.suspicion.is_none() && !is_open {
            let served_before = endpoint.latency.mean > 0.0;
            let was_closed = endpoint.breaker == CircuitBreaker::Closed;
            let cause = if rejected { SuspicionCause::Rejection } else { SuspicionCause::Failure };
            self.suspect(id, cause, HealthReason::CallFailed);
            if served_before && !rejected && was_closed {
                self.grant_second_call(id);
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

    /// Allows one call at once to an endpoint at which a call has failed.
    fn grant_second_call(&mut self, id: EndpointId) {
        let Some(endpoint) = self.endpoints.get_mut(&id) else { return };
        if let Some(suspicion) = endpoint.suspicion {
            endpoint.permits.grant(suspicion.second_call_until());
        }
    }

    /// Marks the route's other endpoints that have not responded lately as suspected, because an outage
    /// usually affects all endpoints of a route and a returning destination must not be overloaded. The cost:
    /// if only one of several endpoints is down, the first call to another may be delayed.
    fn suspect_route_endpoints(&mut self, id: EndpointId) {
        let Some(endpoint) = self.endpoints.get(&id) else { return };
        for other_id in self.route_endpoints(endpoint.route) {
            let Some(other) = self.endpoints.get_mut(&other_id) else { continue };
            let no_recent_response = (self.now - other.last_response_at).secs() > MIN_OUTAGE_SECS;
            if other.health() == EndpointHealth::Healthy && no_recent_response {
                other.consecutive_unanswered = 1;
                self.suspect(other_id, SuspicionCause::Failure, HealthReason::RouteFailed);
            }
        }
    }

    /// Marks the endpoints of a route as suspected, unless they are unhealthy already, because a limit or an
    /// outage that rejects calls concerns the whole route. An outage replaces an earlier suspicion.
    pub(super) fn suspect_route(&mut self, route: RouteKey, cause: SuspicionCause, reason: HealthReason) {
        for id in self.route_endpoints(route) {
            let Some(endpoint) = self.endpoints.get(&id) else { continue };
            if cause == SuspicionCause::Outage || endpoint.health() == EndpointHealth::Healthy {
                self.suspect(id, cause, reason);
            }
        }
    }

    /// Ends the suspicion after rejections at the other endpoints of the route of an endpoint that has served
    /// a call. `may_be_cold` tells whether the call may have ended an outage.
    pub(super) fn end_rejections(&mut self, served_by: EndpointId, may_be_cold: bool) {
        let Some(endpoint) = self.endpoints.get(&served_by) else { return };
        for id in self.route_endpoints(endpoint.route) {
            let Some(other) = self.endpoints.get_mut(&id) else { continue };
            if id == served_by || !other.is_suspected_after_rejections() {
                continue;
            }
            if may_be_cold {
                self.start_slow_start(id);
            } else {
                other.suspicion = None;
                self.report_health(id, HealthReason::Served);
            }
        }
    }

    /// Returns the endpoints of a route.
    fn route_endpoints(&self, route: RouteKey) -> Vec<EndpointId> {
        let Some(destination) = self.destinations.get(&route.0) else { return Vec::new() };
        let is_on_route =
            |id: &EndpointId| self.endpoints.get(id).is_some_and(|endpoint| endpoint.route == route);
        destination.endpoints.iter().copied().filter(is_on_route).collect()
    }

    /// Returns the time at which an endpoint of the route last served a call.
    fn last_served_on_route(&self, route: RouteKey) -> Option<Nanos> {
        let endpoints = self.route_endpoints(route).into_iter();
        endpoints.filter_map(|id| self.endpoints.get(&id)?.last_served_at).max()
    }

    /// Marks an endpoint as suspected: its calls need permits until one is served.
    pub(super) fn suspect(&mut self, id: EndpointId, cause: SuspicionCause, reason: HealthReason) {
        let Some(endpoint) = self.endpoints.get(&id) else { return };
        let last_served_at = match cause {
            SuspicionCause::Rejection => self.last_served_on_route(endpoint.route),
            SuspicionCause::Failure | SuspicionCause::Outage => endpoint.last_served_at,
        };
        let Some(endpoint) = self.endpoints.get_mut(&id) else { return };
        endpoint.suspicion = Some(Suspicion::new(self.now, cause, last_served_at));
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
            endpoint.permits.restart(self.now, &mut self.permit_random);
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
