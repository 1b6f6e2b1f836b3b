//! The endpoint list: which endpoints may be sent to, and what it says of their rates.
use super::tuning::{FIRST_WATCH_BACKOFF_SECS, MAX_WATCH_BACKOFF_SECS};
use super::Balancer;
use crate::interface::*;

impl Balancer {
    /// Takes in the list. A draining or missing endpoint is unlisted at once: no send may follow.
    pub(super) fn apply_endpoint_list(&mut self, complete: bool, entries: &[EndpointEntry]) {
        if complete {
            for endpoint in self.endpoints.values_mut() {
                endpoint.listed = false;
                endpoint.removed = true;
            }
        }
        for entry in entries {
            self.apply_list_entry(entry);
        }
        self.watch_backoff_secs = FIRST_WATCH_BACKOFF_SECS;
    }

    /// Takes in one entry.
    fn apply_list_entry(&mut self, entry: &EndpointEntry) {
        let separate = self.settings.kinds.get(entry.kind).is_some_and(|kind| kind.separate_routes);
        let route = (entry.dest, separate.then_some(entry.host));
        let endpoint = self.endpoints.entry(entry.host).or_default();
        endpoint.dest = entry.dest;
        endpoint.zone = entry.zone;
        endpoint.kind = entry.kind;
        endpoint.route = route;
        endpoint.listed = entry.state == EndpointState::Running;
        endpoint.removed = entry.state == EndpointState::Removed;
        endpoint.listed_rate = entry.rate;
        let counts = self.listed_rate_is_limit(entry.host);
        self.routes.entry(route).or_default().listed_limit = if counts { entry.rate } else { 0.0 };
        let destination = self.destination(entry.dest);
        if !destination.endpoints.contains(&entry.host) {
            destination.endpoints.push(entry.host);
        }
    }

    /// Whether a listed rate stands in for a limit that answers do not report. An approximate one does so
    /// only where a call carries several messages, since too low a pace costs little there.
    fn listed_rate_is_limit(&self, endpoint: EndpointId) -> bool {
        if self.settings.limits_reported {
            return false;
        }
        match self.settings.listed_rates {
            ListedRates::Absent => false,
            ListedRates::Nominal => true,
            ListedRates::Approximate => self.max_batch(endpoint) > 1,
        }
    }

    /// Asks for the list again after a growing pause.
    pub(super) fn endpoint_list_failed(&mut self) {
        self.watch_at = Some(self.now + self.watch_backoff_secs * self.jitter());
        self.watch_backoff_secs = (self.watch_backoff_secs * 2.0).min(MAX_WATCH_BACKOFF_SECS);
        self.log("list not to be had: asking again", None);
    }
}
