//! Expiry of messages, detection of unanswered attempts, and cancellation of attempts that block slots.
use super::tuning::*;
use super::Balancer;
use crate::interface::*;
use crate::state::*;

/// An attempt that may be cancelled to free its slot.
struct CancelCandidate {
    /// The message.
    id: MessageId,
    /// Whether the attempt has run for more than twice its timeout.
    overdue: bool,
}

impl Balancer {
    /// Returns how long before its deadline a pending message gets its final answer.
    pub(super) fn deadline_margin(&self) -> Nanos {
        Nanos(self.settings.tick.0 * DEADLINE_MARGIN_TICKS)
    }

    /// Gives the final answer to messages that can no longer be delivered, and records calls to silent
    /// endpoints as lost. The answer does not wait for the attempt in flight, because an attempt that is
    /// cancelled or limited to the deadline may end too late.
    pub(super) fn expire(&mut self) {
        let mut expired = self.expired_pending();
        expired.extend(self.no_longer_retryable());
        expired.extend(self.expired_in_flight());
        let unanswered = self.newly_unanswered();
        expired.sort_unstable();
        expired.dedup();
        for id in expired {
            self.give_up(id, EXPIRED_RETRY_AFTER_SECS);
        }
        for (id, attempt) in unanswered {
            self.record_lost_call(&attempt, true);
            if let Some(endpoint) = self.endpoints.get_mut(&attempt.endpoint) {
                endpoint.end_trial(id);
                endpoint.record_class_loss(attempt.class);
            }
        }
    }

    /// Returns the pending messages whose deadline, less the margin, is reached.
    fn expired_pending(&self) -> Vec<MessageId> {
        let by = self.now + self.deadline_margin();
        self.deadlines.iter().take_while(|(deadline, _)| *deadline <= by).map(|(_, id)| *id).collect()
    }

    /// Returns the pending messages that may no longer be retried, for example because their idempotency
    /// window is over.
    fn no_longer_retryable(&mut self) -> Vec<MessageId> {
        let mut found = Vec::new();
        while let Some((at, id)) = self.retry_checks.first().copied() {
            if at > self.now {
                break;
            }
            self.retry_checks.pop_first();
            let Some(message) = self.messages.get_mut(&id) else { continue };
            if message.in_flight.is_some() {
                continue;
            }
            let class = &self.settings.classes[message.class];
            if !message.may_retry(class, self.now, None) {
                found.push(id);
            } else if message.retry_check_at.is_some_and(|at| at <= self.now) {
                // Because of rounding, the check may run slightly early. It is repeated one tick later.
                let again = self.now + Nanos(self.settings.tick.0.max(1));
                message.retry_check_at = Some(again);
                self.retry_checks.insert((again, id));
            }
        }
        found
    }

    /// Returns the messages in flight whose deadline is reached.
    fn expired_in_flight(&self) -> Vec<MessageId> {
        let expired = |id: &&MessageId| {
            let message = self.messages.get(id);
            message.is_some_and(|message| message.deadline <= self.now && !message.answered)
        };
        self.in_flight.iter().filter(expired).copied().collect()
    }

    /// Returns the attempts whose endpoint has sent no response for too long. Each attempt is returned once.
    fn newly_unanswered(&mut self) -> Vec<(MessageId, InFlight)> {
        let mut found = Vec::new();
        for id in &self.in_flight {
            let Some(message) = self.messages.get_mut(id) else { continue };
            if message.deadline <= self.now && !message.answered {
                continue;
            }
            let Some(attempt) = message.in_flight.as_mut().filter(|attempt| !attempt.unanswered) else {
                continue;
            };
            let Some(endpoint) = self.endpoints.get(&attempt.endpoint) else { continue };
            let silent = (self.now - attempt.sent_at).secs() > endpoint.response_timeout_secs();
            if silent && endpoint.last_response_at <= attempt.sent_at {
                attempt.unanswered = true;
                found.push((*id, *attempt));
            }
        }
        found
    }

    /// Cancels one attempt if all slots are taken and a pending message needs only a slot. Cancels the
    /// attempt with the least remaining value: of the overdue ones or, if too many attempts are overdue or
    /// past their response timeout, of all of these. Otherwise unanswered calls could occupy all slots,
    /// regardless of the cause. The cost: an attempt at a very slow endpoint may be cancelled although its
    /// response would still have arrived.
    pub(super) fn cancel_to_free_slot(&mut self) {
        let candidates = self.cancel_candidates();
        let too_many =
            candidates.len() as f64 > (self.settings.slots as f64 * UNANSWERED_SLOT_SHARE).max(1.0);
        let eligible = candidates.iter().filter(|candidate| too_many || candidate.overdue);
        let least =
            eligible.min_by(|a, b| self.value(&a.id, self.now).total_cmp(&self.value(&b.id, self.now)));
        let Some(id) = least.map(|candidate| candidate.id) else { return };
        if !self.active_destinations().any(|(_, queue)| self.needs_only_a_slot(queue)) {
            return;
        }
        let Some(message) = self.messages.get_mut(&id) else { return };
        if let Some(attempt) = &mut message.in_flight {
            attempt.cancelled = true;
        }
        let attempt = message.attempts.saturating_sub(1);
        self.actions.push(Action::Cancel { id, attempt });
    }

    /// Returns the unanswered and overdue attempts if all slots are taken.
    fn cancel_candidates(&self) -> Vec<CancelCandidate> {
        let mut found = Vec::new();
        if !self.settings.may_cancel || self.calls.len() < self.settings.slots {
            return found;
        }
        for id in &self.in_flight {
            let Some(message) = self.messages.get(id) else { continue };
            let Some(attempt) = message.in_flight.filter(|attempt| !attempt.cancelled) else { continue };
            let timeout = self.attempt_timeout(attempt.endpoint, &self.settings.classes[message.class]);
            // An attempt past twice its timeout is overdue even if the endpoint responds to other calls in
            // the meantime.
            let overdue = (self.now - attempt.sent_at).0 / 2 > timeout.0;
            if attempt.unanswered || overdue {
                found.push(CancelCandidate { id: *id, overdue });
            }
        }
        found
    }

    /// Returns the timeout of an attempt that may be repeated.
    pub(super) fn attempt_timeout(&self, endpoint: EndpointId, class: &Class) -> Nanos {
        let response_timeout_secs = match self.endpoints.get(&endpoint) {
            Some(endpoint) => endpoint.response_timeout_secs(),
            None => DEFAULT_RESPONSE_TIMEOUT_SECS,
        };
        Nanos::from_secs((2.0 * response_timeout_secs).max(class.latency_objective.secs()))
    }
}
