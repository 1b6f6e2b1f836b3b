//! A message that is owed an answer, and its attempt in flight.
use super::pending_index::GroupKey;
use crate::interface::*;

/// Least time in seconds that the decay of a message's value is computed with.
const MIN_SPAN_SECS: f64 = 1e-3;

/// An attempt in flight.
#[derive(Clone, Copy, Default)]
pub(crate) struct InFlight {
    /// Where it was sent.
    pub endpoint: EndpointId,
    /// Class of its message.
    pub class: usize,
    /// When it was sent.
    pub sent_at: Nanos,
    /// The call that carries it.
    pub call: u64,
    /// Its endpoint was silent for too long: it is counted as unanswered already.
    pub unanswered: bool,
    /// It was cancelled; its outcome is still to come.
    pub cancelled: bool,
    /// For how long its connection had been idle, in seconds.
    pub connection_idle_secs: f64,
}

/// The first attempt of a message that may have run.
#[derive(Clone, Copy)]
pub(crate) struct FirstRun {
    /// When it was sent.
    pub sent_at: Nanos,
    /// Zone of the endpoint that it was sent to.
    pub zone: usize,
}

/// A message that was accepted and whose last outcome is not known yet.
#[derive(Default)]
pub(crate) struct PendingMessage {
    /// Its class, an index into the settings' list.
    pub class: usize,
    /// Its ordering key.
    pub key: Option<u64>,
    /// Its destination.
    pub dest: DestinationId,
    /// When it was accepted.
    pub arrived: Nanos,
    /// It is given up at this time.
    pub deadline: Nanos,
    /// Attempts so far.
    pub attempts: u32,
    /// The first attempt that may have run, if there was one.
    pub first_run: Option<FirstRun>,
    /// When a round must check whether it may still be retried.
    pub retry_check_at: Option<Nanos>,
    /// Its attempt in flight.
    pub in_flight: Option<InFlight>,
    /// Its final answer is given; the record stays until its attempt's outcome is known.
    pub answered: bool,
}

impl PendingMessage {
    /// What it has in common with messages that lose value alike and may be rejected alike.
    pub fn group_key(&self) -> GroupKey {
        GroupKey {
            class: self.class,
            first_run_zone: self.first_run.map(|run| run.zone),
            attempts: self.attempts,
        }
    }

    /// Its value if delivered at this time, in the settings' points.
    pub fn value(&self, class: &Class, value_decay: ValueDecay, at: Nanos) -> f64 {
        if at >= self.deadline {
            return 0.0;
        }
        let late = class.deadline.secs() - (self.deadline - at).secs() - class.latency_objective.secs();
        if late <= 0.0 {
            return class.priority_weight;
        }
        let span = (class.deadline - class.latency_objective).secs().max(MIN_SPAN_SECS);
        let share = match value_decay {
            ValueDecay::Linear => 1.0 - (1.0 - class.late_weight_share) * late / span,
            ValueDecay::Halving => 0.5f64.powf(late / class.latency_objective.secs().max(MIN_SPAN_SECS)),
        };
        class.priority_weight * share.max(class.late_weight_share)
    }
}
