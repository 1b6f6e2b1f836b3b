//! Load shedding: selects the pending messages to reject when there are too many.
use super::tuning::PENDING_RESERVE;
use super::Balancer;
use crate::interface::*;
use crate::state::*;
use std::collections::BTreeMap;

/// A message that may be shed.
#[derive(Clone, Copy)]
struct Candidate {
    /// The message.
    id: MessageId,
    /// Cost of its rejection, in points.
    cost: f64,
    /// Time in seconds until the message would be sent; used as the Retry-After of the rejection.
    wait: f64,
}

impl Balancer {
    /// Rejects messages before the pending limit is reached, beginning with those that would have the least
    /// value when they could be sent.
    pub(super) fn shed_load(&mut self) {
        let limit = self.settings.max_pending;
        let reserve = ((limit as f64 * PENDING_RESERVE) as usize).max(1);
        let target = limit.saturating_sub(reserve).max(1);
        // Kept across iterations, because only the destination of the shed message changes.
        let mut candidates: BTreeMap<DestinationId, Option<Candidate>> = BTreeMap::new();
        while self.open_messages > target {
            if candidates.is_empty() {
                candidates = self.shed_candidates();
            }
            let known = candidates.iter().filter_map(|(dest, candidate)| Some((*dest, (*candidate)?)));
            let cheapest = known.min_by(|a, b| a.1.cost.total_cmp(&b.1.cost));
            let Some((dest, candidate)) = cheapest else { return };
            self.give_up(candidate.id, candidate.wait);
            self.log("load shedding: message rejected, too many messages pending", None);
            let next = self.destinations.get(&dest).and_then(|queue| self.shed_candidate(queue));
            candidates.insert(dest, next);
        }
    }

    /// Returns the cheapest message to reject of each active destination.
    fn shed_candidates(&self) -> BTreeMap<DestinationId, Option<Candidate>> {
        self.active_destinations().map(|(dest, queue)| (*dest, self.shed_candidate(queue))).collect()
    }

    /// Returns the message of a destination with the lowest cost of rejection. In a group, the message with
    /// the least time left is the cheapest, and either all or none may be rejected, so the extremes of each
    /// group suffice.
    fn shed_candidate(&self, queue: &DestinationQueue) -> Option<Candidate> {
        let wait = queue.backlog_secs();
        let at = self.now + wait;
        let mut cheapest: Option<(f64, u64, MessageId)> = None;
        for position in queue.pending.extremes() {
            let id = position.id;
            if !self.messages[&id].may_reject(self.class_of(&id)) {
                continue;
            }
            let cost = self.value(&id, at) + self.early_reject_cost(&id);
            let cheaper = cheapest.is_none_or(|(least, arrival, _)| {
                cost.total_cmp(&least).then(position.arrival.cmp(&arrival)).is_lt()
            });
            if cheaper {
                cheapest = Some((cost, position.arrival, id));
            }
        }
        cheapest.map(|(cost, _, id)| Candidate { id, cost, wait })
    }
}
