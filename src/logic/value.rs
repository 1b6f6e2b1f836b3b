//! The value of delivering a message and the cost of rejecting it.
use super::tuning::*;
use super::Balancer;
use crate::interface::*;
use crate::state::*;

impl Settings {
    /// Returns the shortest latency objective of all classes, in seconds.
    pub(super) fn shortest_objective_secs(&self) -> f64 {
        self.classes.iter().map(|class| class.latency_objective.secs()).fold(f64::INFINITY, f64::min)
    }
}

impl DestinationQueue {
    /// Returns the time in seconds that the pending messages take at the recent rate of served messages.
    pub(super) fn backlog_secs(&self) -> f64 {
        (self.pending.len() as f64 / self.served_rate.max(MIN_PACE)).clamp(1.0, MAX_BACKLOG_SECS)
    }
}

impl Balancer {
    /// Returns the value of a message if it is delivered at this time.
    pub(super) fn value(&self, id: &MessageId, at: Nanos) -> f64 {
        self.messages[id].value(self.class_of(id), self.settings.value_decay, at)
    }

    /// Returns the cost of rejecting a message now, in addition to its lost value.
    pub(super) fn early_reject_cost(&self, id: &MessageId) -> f64 {
        let message = &self.messages[id];
        let class = self.class_of(id);
        let early = (message.deadline - self.now).secs() > class.deadline.secs() * (1.0 - EARLY_REJECT_UNTIL);
        let accepted_before = message.arrived < self.now;
        if early && accepted_before && message.first_run.is_none() {
            class.priority_weight * EARLY_REJECT_COST
        } else {
            0.0
        }
    }
}
