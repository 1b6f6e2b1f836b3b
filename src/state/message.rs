//! A message without a final answer, and its attempt in flight.
use super::pending_index::GroupKey;
use crate::interface::*;

/// Shortest time span in seconds used to compute the decay of a value; it prevents a division by zero.
const MIN_SPAN_SECS: f64 = 1e-3;

/// An attempt in flight.
#[derive(Clone, Copy, Default)]
pub(crate) struct InFlight {
    /// Endpoint that the attempt was sent to.
    pub endpoint: EndpointId,
    /// Class of the message.
    pub class: usize,
    /// Send time.
    pub sent_at: Nanos,
    /// Number of the call that carries the attempt.
    pub call: u64,
    /// Whether the attempt already counts as unanswered because its endpoint was silent for too long.
    pub unanswered: bool,
    /// Whether the attempt was cancelled; its outcome is still to come.
    pub cancelled: bool,
    /// Time in seconds that the connection of the attempt had been idle.
    pub connection_idle_secs: f64,
}

/// The first attempt of a message that may have run.
#[derive(Clone, Copy)]
pub(crate) struct FirstRun {
    /// Send time.
    pub sent_at: Nanos,
    /// Zone of the endpoint that the attempt was sent to.
    pub zone: usize,
}

/// An accepted message. Its record exists until it has its final answer and the outcome of its last attempt
/// is known.
#[derive(Default)]
pub(crate) struct PendingMessage {
    /// Class of the message, an index into the settings' list.
    pub class: usize,
    /// Ordering key, if the class has one.
    pub key: Option<u64>,
    /// Destination of the message.
    pub dest: DestinationId,
    /// Time of acceptance.
    pub arrived: Nanos,
    /// Time at which delivery is given up.
    pub deadline: Nanos,
    /// Number of attempts so far.
    pub attempts: u32,
    /// The first attempt that may have run, if any.
    pub first_run: Option<FirstRun>,
    /// Time at which a round must check whether a retry is still allowed.
    pub retry_check_at: Option<Nanos>,
    /// The attempt in flight.
    pub in_flight: Option<InFlight>,
    /// Whether the final answer has been given. The record then stays until the outcome of the attempt is
    /// known.
    pub answered: bool,
}

impl PendingMessage {
    /// Returns the key shared by all messages that lose value in the same way and that are all safe or all
    /// unsafe to reject.
    pub fn group_key(&self) -> GroupKey {
        GroupKey {
            class: self.class,
            first_run_zone: self.first_run.map(|run| run.zone),
            attempts: self.attempts,
        }
    }

    /// Returns the value of the message, in the settings' points, if it is delivered at this time.
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
