//! Messages whose time is up, attempts whose endpoint stays silent, and slots that such attempts hold.
use super::tuning::*;
use super::Balancer;
use crate::interface::*;
use crate::state::*;

/// An attempt that may be cancelled to free its slot.
struct CancelCandidate {
    /// The message.
    id: MessageId,
    /// It has had its time-out twice.
    overdue: bool,
}

impl Balancer {
    /// Time by which a deadline is met early.
    pub(super) fn deadline_margin(&self) -> Nanos {
        Nanos(self.settings.tick.0 * DEADLINE_MARGIN_TICKS)
    }

    /// Answers messages that can no longer be delivered, so that none is lost, and notes silent endpoints. An
    /// attempt that is cancelled or cut to the deadline may end too late, so the answer does not wait for it.
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

    /// Pending messages whose time is up.
    fn expired_pending(&self) -> Vec<MessageId> {
        let by = self.now + self.deadline_margin();
        self.deadlines.iter().take_while(|(deadline, _)| *deadline <= by).map(|(_, id)| *id).collect()
    }

    /// Messages whose idempotency window is over.
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
                // By rounding it may be a moment early: checked again one tick later.
                let again = self.now + Nanos(self.settings.tick.0.max(1));
                message.retry_check_at = Some(again);
                self.retry_checks.insert((again, id));
            }
        }
        found
    }

    /// Messages in flight whose time is up.
    fn expired_in_flight(&self) -> Vec<MessageId> {
        let expired = |id: &&MessageId| {
            let message = self.messages.get(id);
            message.is_some_and(|message| message.deadline <= self.now && !message.answered)
        };
        self.in_flight.iter().filter(expired).copied().collect()
    }

    /// Attempts whose endpoint has given no sign of life for too long; each is found once.
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
            let silent = (self.now - attempt.sent_at).secs() > endpoint.answer_timeout_secs();
            if silent && endpoint.last_answer_at <= attempt.sent_at {
                attempt.unanswered = true;
                found.push((*id, *attempt));
            }
        }
        found
    }

    /// Guards the slots against calls that nobody answers, whatever the cause: where all slots are taken and
    /// too many of the calls are past their answer time-out, the one with the least value left is cancelled.
    /// May hurt where very slow endpoints would have answered yet.
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

    /// Unanswered or overdue attempts, once all slots are taken.
    fn cancel_candidates(&self) -> Vec<CancelCandidate> {
        let mut found = Vec::new();
        if !self.settings.may_cancel || self.calls.len() < self.settings.slots {
            return found;
        }
        for id in &self.in_flight {
            let Some(message) = self.messages.get(id) else { continue };
            let Some(attempt) = message.in_flight.filter(|attempt| !attempt.cancelled) else { continue };
            let timeout = self.attempt_timeout(attempt.endpoint, &self.settings.classes[message.class]);
            // Twice its time-out is too long also where the endpoint answers other calls all the while.
            let overdue = (self.now - attempt.sent_at).0 / 2 > timeout.0;
            if attempt.unanswered || overdue {
                found.push(CancelCandidate { id: *id, overdue });
            }
        }
        found
    }

    /// Time-out of an attempt that may be repeated.
    pub(super) fn attempt_timeout(&self, endpoint: EndpointId, class: &Class) -> Nanos {
        let answer_timeout_secs = match self.endpoints.get(&endpoint) {
            Some(endpoint) => endpoint.answer_timeout_secs(),
            None => DEFAULT_ANSWER_TIMEOUT_SECS,
        };
        Nanos::from_secs((2.0 * answer_timeout_secs).max(class.latency_objective.secs()))
    }
}
