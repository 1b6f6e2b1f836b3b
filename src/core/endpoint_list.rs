//! The endpoint list across processes: the list with which a process starts, the time from which attempts may start by it, and
//! its copy for the next process.
//!
//! A process starts with what this forwarder heard last: the list that its last process stored, unless the configuration has a
//! later one. Endpoints may have changed since, and an address may have passed to another destination. Where discovery
//! answers at once, no attempt starts before its first answer, or before [`CONFIRMATION_TIMEOUT_S`] has passed without one.
use super::messages::Endpoint;
use super::Core;
use crate::interface::{EndpointState, Event, Nanos};
use crate::journal::{StoredEndpoint, StoredEndpointList, StoredEndpointState, StoredListChange};
use crate::settings::DeploymentSettings;

/// How long a process waits for the first answer of discovery before its first attempt, in seconds. As long as a process may
/// still send to an endpoint after discovery has removed it.
const CONFIRMATION_TIMEOUT_S: f64 = 0.25;

/// A revision of the endpoint list. Numbers of different sources cannot be compared.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ListRevision {
    /// Address of the discovery server.
    pub source: String,
    /// The server's number of the revision.
    pub number: u64,
}

/// A complete endpoint list.
#[derive(Clone, Debug, Default)]
pub struct EndpointList {
    /// The revision.
    pub revision: ListRevision,
    /// The endpoints.
    pub endpoints: Vec<Endpoint>,
}

/// How the endpoint list reaches a new process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListDelivery {
    /// Discovery answers this forwarder at once.
    Immediate,
    /// Many forwarders poll one server, so the first poll may be delayed by seconds.
    Delayed,
}

/// Which list is in use, and whether discovery has confirmed it since the start.
pub(super) struct ListState {
    revision: ListRevision,
    /// Number of the revision in the configuration from which this process started.
    configured_number: u64,
    /// Until this time no attempt starts, unless discovery answers before; `None` once that is over.
    awaited_until: Option<Nanos>,
}

impl ListState {
    pub(super) fn new(configured: &ListRevision, delivery: ListDelivery, now: Nanos) -> ListState {
        let awaited_until = match delivery {
            ListDelivery::Immediate => Some(now + CONFIRMATION_TIMEOUT_S),
            ListDelivery::Delayed => None,
        };
        ListState { revision: configured.clone(), configured_number: configured.number, awaited_until }
    }

    /// Returns the time until which no attempt starts; `None` if attempts may start.
    pub(super) fn awaited_until(&self) -> Option<Nanos> {
        self.awaited_until
    }
}

/// Returns whether the configuration has a later list than the one that the folder's last process stored. The configuration
/// from which that process started was its starting point, so the same revision in it is never later.
fn is_configured_later(configured: &ListRevision, stored: &StoredEndpointList) -> bool {
    configured.number != stored.configured_revision
        && configured.source == stored.source
        && configured.number > stored.revision
}

fn to_endpoint(deployment: &DeploymentSettings, stored: StoredEndpoint) -> Endpoint {
    Endpoint {
        zone: deployment.zone_index(Some(&stored.zone)),
        kind: deployment.kind_index(Some(&stored.kind)),
        uid: stored.uid,
        address: stored.address,
        dest: stored.dest,
        state: match stored.state {
            StoredEndpointState::Running => EndpointState::Running,
            StoredEndpointState::Draining => EndpointState::Draining,
            StoredEndpointState::Removed => EndpointState::Removed,
        },
        rate: stored.rate,
    }
}

fn to_stored(deployment: &DeploymentSettings, endpoint: &Endpoint) -> StoredEndpoint {
    // Stored by name: the order of the settings may change between two processes.
    let name_of = |names: &[String], index: usize| names.get(index).cloned().unwrap_or_default();
    StoredEndpoint {
        uid: endpoint.uid.clone(),
        address: endpoint.address.clone(),
        zone: name_of(&deployment.zones, endpoint.zone),
        kind: name_of(&deployment.kinds, endpoint.kind),
        dest: endpoint.dest,
        state: match endpoint.state {
            EndpointState::Running => StoredEndpointState::Running,
            EndpointState::Draining => StoredEndpointState::Draining,
            EndpointState::Removed => StoredEndpointState::Removed,
        },
        rate: endpoint.rate,
    }
}

impl Core {
    /// Applies the list with which this process starts.
    pub(super) fn start_with_endpoint_list(&mut self, configured: EndpointList) {
        let stored = self.journal.read_endpoint_list();
        let stored = stored.filter(|stored| !is_configured_later(&configured.revision, stored));
        let is_stored = stored.is_some();
        // A destination may be without an endpoint for a while; its messages are accepted and wait.
        self.endpoints.add_destinations(configured.endpoints.iter().map(|endpoint| endpoint.dest));
        let list = match stored {
            Some(stored) => {
                self.endpoints.add_destinations(stored.destinations);
                let endpoints = stored.endpoints.into_iter().map(|e| to_endpoint(&self.deployment, e));
                EndpointList {
                    revision: ListRevision { source: stored.source, number: stored.revision },
                    endpoints: endpoints.collect(),
                }
            }
            None => configured,
        };
        log::info!(revision = list.revision.number, stored = is_stored; "endpoint list at the start");
        self.list.revision = list.revision;
        self.apply_endpoints(true, list.endpoints);
        self.wake_by(self.now);
    }

    /// Applies the complete endpoint list or changes to it, as discovery sent them. The list is stored before it takes effect.
    pub(super) fn update_endpoints(
        &mut self, revision: ListRevision, complete: bool, endpoints: Vec<Endpoint>,
    ) {
        self.list.awaited_until = None;
        let is_change = !endpoints.is_empty() || revision != self.list.revision;
        let is_increment = !complete && revision.source == self.list.revision.source;
        let change = StoredListChange {
            revision: revision.number,
            endpoints: endpoints.iter().map(|endpoint| to_stored(&self.deployment, endpoint)).collect(),
        };
        self.list.revision = revision;
        self.apply_endpoints(complete, endpoints);
        if !is_change || is_increment && self.journal.store_endpoint_list_change(&change) {
            return;
        }
        self.store_endpoint_list();
    }

    fn apply_endpoints(&mut self, complete: bool, endpoints: Vec<Endpoint>) {
        let entries = self.endpoints.update(complete, endpoints);
        self.events.push(Event::EndpointList { complete, entries });
        self.restore_listed_endpoints();
    }

    fn store_endpoint_list(&mut self) {
        let listed = self.endpoints.listed_by_discovery();
        let list = StoredEndpointList {
            source: self.list.revision.source.clone(),
            revision: self.list.revision.number,
            configured_revision: self.list.configured_number,
            endpoints: listed.map(|endpoint| to_stored(&self.deployment, endpoint)).collect(),
            destinations: self.endpoints.destinations().collect(),
        };
        self.journal.store_endpoint_list(self.now, &list);
    }

    /// Stores the list again if that has failed and the pause is over.
    pub(super) fn retry_endpoint_list(&mut self) {
        if self.journal.endpoint_list_retry_due(self.now) {
            self.store_endpoint_list();
        }
    }

    /// Ends the wait for the first answer of discovery if it has lasted long enough.
    pub(super) fn expire_list_wait(&mut self) {
        if self.list.awaited_until.is_some_and(|until| until <= self.now) {
            log::warn!(
                revision = self.list.revision.number;
                "no endpoint list from discovery since the start: sending by the last known one"
            );
            self.list.awaited_until = None;
        }
    }

    /// Returns the revision of the list in use.
    pub fn list_revision(&self) -> &ListRevision {
        &self.list.revision
    }

    /// Returns whether the list in use has an endpoint, not counting endpoints from the settings.
    pub fn has_listed_endpoints(&self) -> bool {
        self.endpoints.listed_by_discovery().next().is_some()
    }
}

#[cfg(test)]
mod tests;
