//! Load shedding: which pending messages are rejected when there are too many.
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
    /// What rejecting it costs, in points.
    cost: f64,
    /// Seconds until its turn would come: the advice that goes with the rejection.
    wait: f64,
}

impl Balancer {
    /// Rejects the messages that are worth least when their turn would come, before the pending limit is
    /// reached.
    pub(super) fn shed_load(&mut self) {
        let limit = self.settings.max_pending;
        let reserve = ((limit as f64 * PENDING_RESERVE) as usize).max(1);
        let target = limit.saturating_sub(reserve).max(1);
        // Kept over the loop, since only the destination that gave one up changes.
        let mut candidates: BTreeMap<DestinationId, Option<Candidate>> = BTreeMap::new();
        while self.open_messages > target {
            if candidates.is_empty() {
                candidates = self.shed_candidates();
            }
            let known = candidates.iter().filter_map(|(dest, candidate)| Some((*dest, (*candidate)?)));
            let cheapest = known.min_by(|a, b| a.1.cost.total_cmp(&b.1.cost));
            let Some((dest, candidate)) = cheapest else { return };
            self.give_up(candidate.id, candidate.wait);
            self.log("shedding: hold is full", None);
            let next = self.destinations.get(&dest).and_then(|queue| self.shed_candidate(queue));
            candidates.insert(dest, next);
        }
    }

    /// The cheapest message of each active destination.
    fn shed_candidates(&self) -> BTreeMap<DestinationId, Option<Candidate>> {
        self.active_destinations().map(|(dest, queue)| (*dest, self.shed_candidate(queue))).collect()
    }

    /// The message of a destination that costs least to reject. Within a group it is the one with the least
    /// time left, and all or none of them may be rejected, so the extremes of the groups suffice.
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
