//! The health of endpoints across processes: the decision module reports each change, and the folder keeps the endpoints that are
//! not healthy for the next process.
//!
//! A new process sends to each of them at the lowest rate of a slow start until a call is served. It does not know for how long
//! the last process has been gone, and reads no clock to find out, because the wall clock may have been set meanwhile.
use super::Core;
use crate::interface::{EndpointHealth, Event, HealthChange, Nanos, PaceReduction, RestrictedCall};
use crate::journal::{StoredEndpointHealth, StoredHealth};
use std::collections::BTreeMap;

/// The endpoints that are not healthy.
#[derive(Default)]
pub(super) struct EndpointHealthStore {
    /// Entries of the file, by the endpoint's name in discovery, without healthy endpoints.
    entries: BTreeMap<String, StoredEndpointHealth>,
    /// Entries of the last process for endpoints that are not listed yet.
    unlisted: BTreeMap<String, StoredEndpointHealth>,
}

impl Core {
    /// Reads the endpoints that were not healthy when the last process ended. Listed ones are passed to the decision module.
    pub(super) fn restore_endpoint_health(&mut self) {
        let stored = self.journal.read_endpoint_health();
        if !stored.is_empty() {
            log::info!(endpoints = stored.len(); "health of endpoints restored: slow start instead of full rate");
        }
        let by_uid = |entry: StoredEndpointHealth| (entry.uid.clone(), entry);
        self.health.unlisted = stored.into_iter().map(by_uid).collect();
        self.restore_listed_endpoints();
    }

    /// Passes the stored health of endpoints that are listed by now to the decision module.
    pub(super) fn restore_listed_endpoints(&mut self) {
        let endpoints = &self.endpoints;
        let listed: Vec<(String, StoredEndpointHealth)> =
            self.health.unlisted.extract_if(.., |uid, _| endpoints.id(uid).is_some()).collect();
        for (uid, entry) in listed {
            let Some(host) = self.endpoints.id(&uid) else { continue };
            self.events.push(Event::HealthRestored { host, served_rate: entry.served_rate });
            self.health.entries.insert(uid, entry);
        }
    }

    /// Logs a change of an endpoint's health, with the figures that explain the calls sent to it, and stores it for the next
    /// process.
    pub(super) fn health_changed(&mut self, change: &HealthChange) {
        let Some(endpoint) = self.endpoints.get(change.host) else { return };
        let HealthChange { health, reason, rate, last_response_age, served_rate, .. } = *change;
        let HealthChange { listed_rate, failed_calls, .. } = *change;
        log::info!(
            host = endpoint.uid, dest = endpoint.dest, health:?, reason:?, calls_per_s:? = rate,
            last_response_s:? = last_response_age.map(Nanos::secs), served_per_s = served_rate,
            listed_per_s = listed_rate, failed_calls;
            "endpoint health changed"
        );
        let stored = match health {
            EndpointHealth::Healthy => StoredHealth::Healthy,
            EndpointHealth::Suspected | EndpointHealth::Outage => StoredHealth::Failing,
            EndpointHealth::SlowStart => StoredHealth::SlowStart,
        };
        let entry = StoredEndpointHealth { uid: endpoint.uid.clone(), health: stored, served_rate };
        let earlier = match stored {
            StoredHealth::Healthy => self.health.entries.remove(&entry.uid),
            _ => self.health.entries.insert(entry.uid.clone(), entry.clone()),
        };
        if earlier.as_ref() != Some(&entry) {
            self.store_endpoint_health(&entry);
        }
    }

    /// Logs a call to an endpoint that is not healthy. Their number is limited by the rates that apply there.
    pub(super) fn log_restricted_call(&self, call: &RestrictedCall) {
        let Some(endpoint) = self.endpoints.get(call.host) else { return };
        log::info!(
            host = endpoint.uid, dest = endpoint.dest, health:? = call.health, allowance:? = call.allowance,
            calls_per_s = call.rate;
            "call to an endpoint that is not healthy"
        );
    }

    pub(super) fn log_pace_reduction(&self, reduction: &PaceReduction) {
        let Some(endpoint) = self.endpoints.get(reduction.host) else { return };
        log::info!(
            host = endpoint.uid, dest = endpoint.dest, retry_after_s:? = reduction.retry_after.map(Nanos::secs),
            calls_per_s = reduction.pace, blocked_s = reduction.blocked_for.secs();
            "pace reduced after a rejection"
        );
    }

    /// Stores a change. After a failure, the next attempt stores all entries.
    fn store_endpoint_health(&mut self, change: &StoredEndpointHealth) {
        if !self.journal.store_endpoint_health_change(change) {
            self.store_all_endpoint_health();
        }
    }

    fn store_all_endpoint_health(&mut self) {
        let entries: Vec<StoredEndpointHealth> =
            self.health.entries.values().chain(self.health.unlisted.values()).cloned().collect();
        self.journal.store_endpoint_health(self.now, &entries);
    }

    /// Stores the health of endpoints again if that has failed and the pause is over.
    pub(super) fn retry_endpoint_health(&mut self) {
        if self.journal.endpoint_health_retry_due(self.now) {
            self.store_all_endpoint_health();
        }
    }

    /// Drops the health of an endpoint that is no longer listed. It counts as new if it is listed again.
    pub(super) fn forget_endpoint_health(&mut self, uid: &str) {
        self.health.entries.remove(uid);
    }
}

#[cfg(test)]
mod tests;
