//! The endpoint list: which endpoints accept messages, and what the list says about their rates.
use super::tuning::{FIRST_WATCH_BACKOFF_SECS, MAX_WATCH_BACKOFF_SECS};
use super::Balancer;
use crate::interface::*;

impl Balancer {
    /// Applies an endpoint list. A draining or missing endpoint is unlisted at once, because no further send
    /// may start to it.
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

    /// Applies one entry of the list.
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
        let is_limit = self.listed_rate_is_limit(entry.host);
        self.routes.entry(route).or_default().listed_limit = if is_limit { entry.rate } else { 0.0 };
        let now = self.now;
        let destination = self.destination(entry.dest);
        destination.served_calls.start(now);
        if !destination.endpoints.contains(&entry.host) {
            destination.endpoints.push(entry.host);
        }
    }

    /// Returns whether the listed rate is used as the limit because responses report none. An approximate
    /// rate is used only for batch calls, where a pace that is too low costs little.
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

    /// Schedules another request for the list, after a backoff that grows with each failure.
    pub(super) fn endpoint_list_failed(&mut self) {
        self.watch_at = Some(self.now + self.watch_backoff_secs * self.jitter());
        self.watch_backoff_secs = (self.watch_backoff_secs * 2.0).min(MAX_WATCH_BACKOFF_SECS);
        self.log("endpoint list request failed, retrying after a backoff", None);
    }
}
