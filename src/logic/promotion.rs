//! Promotion of messages into the ready queue (LexAS of the paper).
use super::tuning::*;
use super::Balancer;
use crate::interface::*;
use crate::state::*;

/// The share of an active destination in a round of promotion.
struct Share {
    /// The destination.
    dest: DestinationId,
    /// w of the design: weight of the destination, its fraction of the listed rates of all active
    /// destinations.
    weight: f64,
    /// Number of messages that the destination could send now.
    sendable: usize,
}

impl Balancer {
    /// Promotes messages until the ready queue is full, from the least promoted destinations first.
    pub(super) fn promote(&mut self) {
        let destinations = &self.destinations;
        self.active.retain(|dest| destinations.get(dest).is_some_and(DestinationQueue::is_active));
        self.refill_tokens();
        let mut shares = self.shares();
        // L of the design: the ready queue holds one message per slot, so a newly active flow waits for at
        // most one round of all slots.
        let length = self.settings.slots.max(1) as f64;
        let unit = length * shares.len() as f64;
        self.raise_lagging(&shares, LEXAS_MIN * unit);
        let ready = self.demote(&shares);
        shares.retain(|share| share.sendable > 0);
        self.fill_ready_queue(&shares, ready, length, LEXAS_MAX * unit);
    }

    /// Returns the active destinations with their weights and the number of messages that each could send.
    fn shares(&self) -> Vec<Share> {
        let share = |(dest, queue): (&DestinationId, &DestinationQueue)| Share {
            dest: *dest,
            weight: self.listed_rate(queue),
            sendable: self.sendable(queue),
        };
        let mut shares: Vec<Share> = self.active_destinations().map(share).collect();
        let total: f64 = shares.iter().map(|share| share.weight).sum();
        for share in &mut shares {
            share.weight /= total;
        }
        shares
    }

    /// T of the design: returns the listed agreed rate of a destination, or 1 for each destination without
    /// listed rates.
    fn listed_rate(&self, destination: &DestinationQueue) -> f64 {
        if self.settings.listed_rates == ListedRates::Absent {
            return 1.0;
        }
        let mut rate: f64 = 0.0;
        for id in &destination.endpoints {
            let Some(endpoint) = self.endpoints.get(id).filter(|endpoint| endpoint.listed) else { continue };
            let separate_route = endpoint.route.1.is_some();
            rate = if separate_route { rate + endpoint.listed_rate } else { rate.max(endpoint.listed_rate) };
        }
        if rate > 0.0 {
            rate
        } else {
            1.0
        }
    }

    /// Returns the number of messages of a destination that could be sent now.
    fn sendable(&self, destination: &DestinationQueue) -> usize {
        let endpoints = self.open_endpoints(destination);
        if endpoints.is_empty() {
            return 0;
        }
        let max_batch = endpoints.iter().map(|id| self.max_batch(*id)).max().unwrap_or(1);
        let calls = self.slot_cap(destination).saturating_sub(destination.calls);
        let allowed = |id: &MessageId| endpoints.iter().any(|endpoint| self.message_allows(*id, *endpoint));
        destination.pending.unblocked().filter(allowed).take(calls * max_batch).count()
    }

    /// Returns η of the design (promoted messages divided by weight) for each destination.
    fn etas(&self, shares: &[Share]) -> Vec<f64> {
        shares.iter().map(|share| self.destinations[&share.dest].promoted / share.weight).collect()
    }

    /// Tmin of the design: raises the counters of lagging active flows, so that a flow that did not use its
    /// share earlier does not starve the others.
    fn raise_lagging(&mut self, shares: &[Share], lexas_min: f64) {
        let etas = self.etas(shares);
        let highest = etas.iter().copied().fold(0.0, f64::max);
        let deficit = |t: f64| etas.iter().map(|eta| highest - eta.max(t)).sum::<f64>();
        let t_min = bisect(0.0, highest, |t| deficit(t) > lexas_min);
        for share in shares {
            let destination = self.destination(share.dest);
            destination.promoted = destination.promoted.max(t_min * share.weight);
        }
    }

    /// Withdraws places in the ready queue beyond what a destination can send now. Returns the length of the
    /// ready queue.
    fn demote(&mut self, shares: &[Share]) -> usize {
        let now = self.now;
        let mut ready = 0;
        for share in shares {
            let destination = self.destination(share.dest);
            let sendable = share.sendable > 0;
            if sendable && !destination.sendable {
                destination.sendable_since = now;
            }
            destination.sendable = sendable;
            destination.promoted -= destination.ready.saturating_sub(share.sendable) as f64;
            destination.ready = destination.ready.min(share.sendable);
            ready += destination.ready;
        }
        ready
    }

    /// Promotes one message at a time until the ready queue is full.
    fn fill_ready_queue(&mut self, shares: &[Share], ready: usize, length: f64, lexas_max: f64) {
        let mut ready = ready;
        while (ready as f64) < length {
            let cap_waived = (ready as f64) < length * ARR_MIN_SHARE;
            let Some(dest) = self.next_promotion(shares, cap_waived, lexas_max) else { break };
            let destination = self.destination(dest);
            destination.ready += 1;
            destination.promoted += 1.0;
            ready += 1;
        }
    }

    /// Returns the destination with the smallest η that has a further message to send and, unless the cap is
    /// waived, whose η is at most Tmax: the largest T that keeps the sum of (T - η) over the flows with η ≤ T
    /// under LexASmax.
    fn next_promotion(&self, shares: &[Share], cap_waived: bool, lexas_max: f64) -> Option<DestinationId> {
        let etas = self.etas(shares);
        let deficit = |t: f64| etas.iter().map(|eta| (t - eta).max(0.0)).sum::<f64>();
        let highest = etas.iter().copied().fold(0.0, f64::max);
        let t_max = bisect(0.0, highest + lexas_max, |t| deficit(t) < lexas_max);
        let candidates = shares.iter().zip(&etas).filter(|(share, eta)| {
            let more_to_send = self.destinations[&share.dest].ready < share.sendable;
            more_to_send && (cap_waived || **eta <= t_max)
        });
        let least = candidates.min_by(|a, b| a.1.total_cmp(b.1));
        least.map(|(share, _)| share.dest)
    }
}

impl DestinationQueue {
    /// Returns whether the destination has a message pending or in flight.
    fn is_active(&self) -> bool {
        !self.pending.is_empty() || self.calls > 0
    }
}
