//! Outcomes of attempts: their consequences for the message, its endpoint and its route.
use super::tuning::*;
use super::Balancer;
use crate::interface::*;
use crate::state::*;

impl Balancer {
    /// Processes the outcome of an attempt. The outcome of an attempt that is not in flight is ignored.
    pub(super) fn attempt_ended(&mut self, ended: &AttemptEnded) {
        let Some(message) = self.messages.get_mut(&ended.id) else { return };
        let Some(attempt) = message.in_flight.take() else { return };
        let (dest, key) = (message.dest, message.key);
        self.in_flight.remove(&ended.id);
        self.record_attempt(ended, &attempt);
        self.release_ordering_key(key, ended.outcome);
        let may_retry = self.may_be_retried(ended.id);
        self.release_call(&attempt, dest);
        self.record_outcome(ended, &attempt);
        self.finish_or_requeue(ended, may_retry);
        self.unblock_next(key);
    }

    /// Records whether the attempt may have run, and takes back the count of an attempt that was not sent.
    fn record_attempt(&mut self, ended: &AttemptEnded, attempt: &InFlight) {
        let Some(message) = self.messages.get_mut(&ended.id) else { return };
        if !ended.outcome.never_ran() && message.first_run.is_none() {
            let zone = self.endpoints.get(&attempt.endpoint).map_or(0, |endpoint| endpoint.zone);
            message.first_run = Some(FirstRun { sent_at: attempt.sent_at, zone });
        }
        if ended.outcome == Outcome::NotSent {
            message.attempts -= 1;
        }
    }

    /// Releases the ordering key. If the attempt may still run, the key pauses, so that the next message
    /// cannot overtake it.
    fn release_ordering_key(&mut self, key: Option<u64>, outcome: Outcome) {
        let Some(ordering_key) = key.and_then(|key| self.ordering_keys.get_mut(&key)) else { return };
        ordering_key.in_flight = ordering_key.in_flight.saturating_sub(1);
        if matches!(outcome, Outcome::Timeout | Outcome::Reset | Outcome::Cancelled) {
            let until = self.now + self.settings.ordering_pause;
            ordering_key.paused_until = ordering_key.paused_until.max(until);
        }
    }

    /// Returns whether another attempt is left and allowed.
    fn may_be_retried(&self, id: MessageId) -> bool {
        let Some(message) = self.messages.get(&id) else { return false };
        let class = &self.settings.classes[message.class];
        message.attempts < self.settings.max_attempts && message.may_retry(class, self.now, None)
    }

    /// Frees the slot of the call once all messages of the call have their outcomes.
    fn release_call(&mut self, attempt: &InFlight, dest: DestinationId) {
        let left = self.calls.entry(attempt.call).or_insert(1);
        *left -= 1;
        if *left > 0 {
            return;
        }
        self.calls.remove(&attempt.call);
        self.destination(dest).calls -= 1;
        if let Some(endpoint) = self.endpoints.get_mut(&attempt.endpoint) {
            endpoint.calls -= 1;
            endpoint.used_at = self.now;
            self.idle_checks.insert(attempt.endpoint);
        }
    }

    /// Finishes the message, or adds it to the pending messages again.
    fn finish_or_requeue(&mut self, ended: &AttemptEnded, may_retry: bool) {
        let answered = self.messages.get(&ended.id).is_some_and(|message| message.answered);
        if answered {
            self.messages.remove(&ended.id);
        } else if ended.over || ended.outcome == Outcome::Ok {
            self.finish(ended.id);
        } else {
            self.add_pending(ended.id);
            if !may_retry {
                self.give_up(ended.id, EXPIRED_RETRY_AFTER_SECS);
            }
        }
    }

    /// Updates the endpoint and the route according to the outcome.
    fn record_outcome(&mut self, ended: &AttemptEnded, attempt: &InFlight) {
        // Drawn for every outcome, so that the sequence of random numbers does not depend on the known
        // endpoints.
        let draw = self.random.next();
        let Some(endpoint) = self.endpoints.get_mut(&attempt.endpoint) else { return };
        endpoint.record_local_outcome(self.now, ended.outcome);
        endpoint.end_trial(ended.id);
        if ended.outcome.answered() {
            endpoint.last_response_at = self.now;
        }
        let route = self.routes.entry(endpoint.route).or_default();
        if let Some(report) = ended.report {
            route.reported_limit = report.limit;
        }
        match ended.outcome {
            Outcome::Ok => self.record_served_call(ended, attempt),
            Outcome::Rejected(wait) => self.record_rejected_call(ended, attempt, wait, draw),
            Outcome::ConnectionLimit => self.record_connection_limit(attempt.endpoint, draw),
            Outcome::ConnectFailed => self.record_connect_failure(ended, attempt.endpoint),
            Outcome::Timeout | Outcome::Error | Outcome::Reset => self.record_failed_call(ended, attempt),
            // A response that cannot be parsed is the same from every endpoint of the destination, so it is
            // no reason to open a breaker.
            Outcome::Cancelled | Outcome::UnreadableAnswer | Outcome::Skipped | Outcome::NotSent => {}
        }
    }

    /// Records a served call: it ends an outage and raises the pace and the capacity.
    fn record_served_call(&mut self, ended: &AttemptEnded, attempt: &InFlight) {
        self.update_idle_limit(attempt);
        let Some(endpoint) = self.endpoints.get_mut(&attempt.endpoint) else { return };
        let dest = endpoint.dest;
        if let Some(share) = endpoint.class_loss.get_mut(&attempt.class) {
            *share *= 1.0 - FAILURE_GAIN;
        }
        self.routes.entry(endpoint.route).or_default().record_served(self.now);
        endpoint.raise_capacity(self.settings.slots);
        let health_before = endpoint.health();
        let was_rejected = endpoint.is_suspected_after_rejections();
        let may_be_cold = endpoint.record_served(self.now, attempt.sent_at, ended.took.secs());
        let is_suspected = endpoint.suspicion.is_some();
        if was_rejected && !is_suspected {
            self.end_rejections(attempt.endpoint, may_be_cold);
        }
        let Some(endpoint) = self.endpoints.get_mut(&attempt.endpoint) else { return };
        if may_be_cold {
            self.log("served again after an outage, slow start begins", Some(attempt.endpoint));
            self.start_slow_start(attempt.endpoint);
        } else if endpoint.health() != health_before {
            let was_outage = health_before == EndpointHealth::Outage;
            let reason = if was_outage { HealthReason::FalseAlarm } else { HealthReason::Served };
            self.report_health(attempt.endpoint, reason);
        }
        // A call with several messages counts once, with its last message.
        let call_has_ended = !self.calls.contains_key(&attempt.call);
        let now = self.now;
        let destination = self.destination(dest);
        destination.served_since_review += 1;
        if call_has_ended {
            destination.served_calls.record(now);
        }
    }

    /// Records a rejected call: it reduces the pace. It counts as an outage if its Retry-After is long or if
    /// the limit was not reached.
    fn record_rejected_call(
        &mut self, ended: &AttemptEnded, attempt: &InFlight, wait: Option<Nanos>, draw: f64,
    ) {
        let Some(endpoint) = self.endpoints.get(&attempt.endpoint) else { return };
        let key = endpoint.route;
        let demand = self.destinations.get(&endpoint.dest).map_or(0.0, |destination| destination.demand);
        let route = self.routes.entry(key).or_default();
        let rejection = super::pacing::Rejection { sent_at: attempt.sent_at, wait, demand, draw };
        let pace_reduced = route.record_rejected(&self.settings, self.now, &rejection);
        let is_first = route.rejections <= 1;
        let pace = route.pace.unwrap_or_default();
        let blocked_for = route.blocked_until() - self.now;
        if pace_reduced {
            let host = attempt.endpoint;
            let reduction = PaceReduction { host, retry_after: wait, pace, blocked_for };
            self.actions.push(Action::PaceReduced(reduction));
        }
        if wait.is_some_and(|wait| wait.secs() >= MIN_OUTAGE_SECS) {
            return self.suspect_route(key, SuspicionCause::Outage, HealthReason::LongRetryAfter);
        }
        // A call that was rejected below the limit met a full queue or an endpoint in an outage, which may
        // return with reduced capacity.
        let below_limit =
            ended.report.is_none_or(|report| report.limit <= 0.0 || report.left > LIMIT_NOT_REACHED_SHARE);
        // A used-up limit explains one rejection; a further one may as well be an outage.
        if below_limit || !is_first {
            self.record_unexplained_rejection(attempt.endpoint);
        }
    }

    /// Records a rejection that no limit explains.
    fn record_unexplained_rejection(&mut self, id: EndpointId) {
        self.record_failure(id, Failure { unanswered: false, may_lose_calls: false });
        let Some(endpoint) = self.endpoints.get(&id) else { return };
        self.suspect_route(endpoint.route, SuspicionCause::Rejection, HealthReason::RouteRejected);
    }

    /// Records that the endpoint's connection table is full. The forwarder then sends only as many
    /// concurrent calls as the endpoint accepts, so that a full table does not reduce the pace, and waits
    /// before it tries again, so that forwarders do not keep retrying for a place. The cost: if another
    /// forwarder closes its connections, the estimated capacity rises only gradually.
    fn record_connection_limit(&mut self, id: EndpointId, draw: f64) {
        let Some(endpoint) = self.endpoints.get_mut(&id) else { return };
        endpoint.capacity = Some(f64::from(endpoint.calls.max(1)));
        self.connection_limited.insert(endpoint.kind);
        if endpoint.calls == 0 {
            let doublings = endpoint.consecutive_full_rejections.min(MAX_BACKOFF_DOUBLINGS) as i32;
            let pause = (FIRST_CAPACITY_WAIT_SECS * 2f64.powi(doublings))
                .min(self.settings.shortest_objective_secs());
            endpoint.full_until = self.now + pause * (JITTER + draw);
            endpoint.consecutive_full_rejections += 1;
            self.log("endpoint accepts no connection, paused", Some(id));
        }
        // An endpoint that is shut answers in the same way.
        self.record_unexplained_rejection(id);
    }

    /// Records a failed connection attempt: the endpoint's connection table is full, or the endpoint does not
    /// respond.
    fn record_connect_failure(&mut self, ended: &AttemptEnded, id: EndpointId) {
        let Some(endpoint) = self.endpoints.get(&id) else { return };
        self.connection_limited.insert(endpoint.kind);
        // An immediate refusal can come from a full connection table. A slow failure means that the endpoint
        // is silent, and calls may be lost there.
        let may_lose_calls = ended.took.secs() > MIN_RESPONSE_TIMEOUT_SECS;
        self.record_failure(id, Failure { unanswered: true, may_lose_calls });
    }

    /// Records a call that may have run and failed.
    fn record_failed_call(&mut self, ended: &AttemptEnded, attempt: &InFlight) {
        let Some(endpoint) = self.endpoints.get_mut(&attempt.endpoint) else { return };
        endpoint.failure_share += FAILURE_GAIN * (1.0 - endpoint.failure_share);
        if !attempt.unanswered {
            endpoint.record_class_loss(attempt.class);
        }
        if ended.outcome == Outcome::Timeout {
            endpoint.latency.sample(ended.took.secs());
        }
        let unanswered = ended.outcome != Outcome::Error && endpoint.last_response_at <= attempt.sent_at;
        if !attempt.unanswered {
            self.record_lost_call(attempt, unanswered);
        }
    }
}

/// The properties of a failed call that matter to the circuit breaker.
#[derive(Clone, Copy)]
pub(super) struct Failure {
    /// No response was received.
    pub unanswered: bool,
    /// Calls may disappear or be processed in part rather than be rejected.
    pub may_lose_calls: bool,
}
