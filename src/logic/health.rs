//! Endpoint health: latency, failures and the circuit breaker.
use super::outcomes::Failure;
use super::tuning::*;
use super::Balancer;
use crate::interface::*;
use crate::state::*;

impl Latency {
    /// Takes in a sample, in seconds.
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
    /// Seconds without any answer after which a call counts as unanswered.
    pub(super) fn answer_timeout_secs(&self) -> f64 {
        let expected = self.latency.mean + ANSWER_TIMEOUT_DEVIATIONS * self.latency.deviation;
        if expected > 0.0 {
            expected.max(MIN_ANSWER_TIMEOUT_SECS)
        } else {
            DEFAULT_ANSWER_TIMEOUT_SECS
        }
    }

    /// Guards against endpoints that fail one class and serve the others, which keeps the breaker closed: the
    /// class goes elsewhere while another endpoint takes it. The share decays, or the class would never be
    /// tried again.
    pub(super) fn record_class_loss(&mut self, class: usize) {
        let share = self.class_loss.entry(class).or_default();
        *share += FAILURE_GAIN * (1.0 - *share);
    }

    /// Takes in a served call, its latency in seconds; true if it ends an outage.
    pub(super) fn record_served(&mut self, now: Nanos, sent_at: Nanos, latency: f64) -> bool {
        self.latency.sample(latency);
        self.consecutive_unanswered = 0;
        self.failure_share *= 1.0 - FAILURE_GAIN;
        self.suspected = false;
        let CircuitBreaker::Open { since, may_lose_calls, .. } = self.breaker else { return false };
        // A call sent before the outage, or one that found a connection again: the endpoint was slow, not
        // silent.
        let was_no_outage = (sent_at < since || !may_lose_calls) && (now - since).secs() < MIN_OUTAGE_SECS;
        if was_no_outage {
            self.breaker = CircuitBreaker::Closed;
        }
        !was_no_outage
    }

    /// Suspects it, with so many tokens for its next calls.
    fn suspect(&mut self, now: Nanos, tokens: f64) {
        self.suspected = true;
        self.bucket = TokenBucket { level: tokens, refilled_at: now };
    }

    /// It is slow, failing or in an outage.
    pub(super) fn is_unhealthy(&self) -> bool {
        let slow = self.latency.mean > SLOW_FACTOR * self.latency.lowest_mean;
        self.listed && (self.breaker != CircuitBreaker::Closed || slow)
    }
}

impl Balancer {
    /// Guards against a lossy path: one lost call is no outage. Where the endpoint served before and did not
    /// reject now, one more call may go at once and the others at the rate of a suspected endpoint; a second
    /// unanswered one opens the breaker.
    pub(super) fn record_failure(&mut self, id: EndpointId, failure: Failure) {
        // Both are drawn before any return, so that the sequence of random numbers does not depend on what is
        // known.
        let draw = self.random.next();
        let first_trial = MIN_TRIAL_GAP_SECS * self.jitter();
        let now = self.now;
        let Some(endpoint) = self.endpoints.get_mut(&id) else { return };
        if !endpoint.suspected && endpoint.breaker == CircuitBreaker::Closed {
            let served_before = endpoint.latency.mean > 0.0;
            let rejected = !failure.unanswered && !failure.may_lose_calls;
            let extra = if served_before && !rejected { 1.0 } else { 0.0 };
            endpoint.suspect(now, draw + extra);
        }
        if failure.unanswered {
            endpoint.consecutive_unanswered += 1;
        }
        if endpoint.consecutive_unanswered > 0 && failure.may_lose_calls {
            self.suspect_route_endpoints(id, draw);
        }
        self.update_breaker(id, failure, now + first_trial);
    }

    /// Guards against overloading a returning destination: an outage mostly takes all endpoints of a route,
    /// so those that have not answered lately are suspected too. May hurt where one of several is down: the
    /// first call to another may wait.
    fn suspect_route_endpoints(&mut self, id: EndpointId, draw: f64) {
        let Some(endpoint) = self.endpoints.get(&id) else { return };
        let route = endpoint.route;
        let Some(destination) = self.destinations.get(&endpoint.dest) else { return };
        for other in &destination.endpoints {
            let Some(other) = self.endpoints.get_mut(other) else { continue };
            let no_recent_answer = (self.now - other.last_answer_at).secs() > MIN_OUTAGE_SECS;
            let is_healthy = !other.suspected && other.breaker == CircuitBreaker::Closed;
            if other.route == route && is_healthy && no_recent_answer {
                other.suspect(self.now, MAX_SUSPECTED_ROUTE_TOKENS * draw);
                other.consecutive_unanswered = 1;
            }
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
            self.log("breaker opened", Some(id));
        }
    }

    /// Takes in a call that may have run and failed. Guards against idle connections that are dropped unseen:
    /// where the call took one, the endpoint is only suspected, and the next call goes on a new connection;
    /// that one's loss counts.
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
