//! The endpoint registry: endpoints listed by discovery and the settings, removed endpoints that still have attempts in
//! flight, and endpoints suspended by operators.
use super::in_flight::InFlightCounts;
use super::messages::{Endpoint, EndpointObservation, Output};
use super::Core;
use crate::interface::{DestinationId, EndpointEntry, EndpointId, EndpointState, Event, Nanos, Observation};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

/// Maximum number of remembered names of retired endpoints; bounds memory while endpoints come and go.
const RETIRED_MAX: usize = 1024;

/// Maximum number of remembered destinations. Each takes room in the stored list, too.
const MAX_DESTINATIONS: usize = 16_384;
/// Maximum length of the name or the address of an endpoint, in bytes.
const MAX_TEXT_BYTES: usize = 256;

/// Listed endpoints, and removed endpoints that still have an attempt in flight.
#[derive(Default)]
pub(super) struct EndpointRegistry {
    by_id: BTreeMap<EndpointId, Endpoint>,
    /// Ids of the endpoints in `by_id`, by their name in discovery.
    ids: HashMap<String, EndpointId>,
    last_id: u32,
    /// Endpoints that are no longer listed and not yet retired.
    removed: BTreeSet<EndpointId>,
    /// Endpoints from the settings, added to each complete list.
    static_endpoints: Vec<Endpoint>,
    max_endpoints: usize,
    /// Destinations of all endpoints that were ever listed.
    destinations: BTreeSet<u64>,
    /// Names of endpoints that operators have suspended.
    suspended: BTreeSet<String>,
    /// Names of retired endpoints, oldest first: a suspension of one of these is accepted, as its name is not a mistake.
    retired: VecDeque<String>,
}

impl EndpointRegistry {
    pub(super) fn new(static_endpoints: Vec<Endpoint>, max_endpoints: usize) -> EndpointRegistry {
        EndpointRegistry { static_endpoints, max_endpoints, ..EndpointRegistry::default() }
    }

    /// Drops the new endpoints of an update that exceed the limit or have a name or address of implausible length. Updates of known
    /// endpoints always count.
    fn retain_acceptable(&self, complete: bool, endpoints: &mut Vec<Endpoint>) {
        let received = endpoints.len();
        let mut new_endpoints = 0;
        let room = self.max_endpoints.saturating_sub(if complete { 0 } else { self.by_id.len() });
        endpoints.retain(|endpoint| {
            if self.ids.contains_key(&endpoint.uid) {
                return true;
            }
            let has_plausible_texts = endpoint.uid.len().max(endpoint.address.len()) <= MAX_TEXT_BYTES;
            new_endpoints += 1;
            has_plausible_texts && new_endpoints <= room
        });
        let ignored = received - endpoints.len();
        if ignored > 0 {
            log::error!(
                ignored, max_endpoints = self.max_endpoints;
                "endpoints of the list ignored: too many for limits.memory_mb, or with too long a name"
            );
        }
    }

    /// Forgets destinations without an endpoint once there are too many.
    fn limit_destinations(&mut self) {
        if self.destinations.len() > MAX_DESTINATIONS {
            log::warn!(
                "destinations without an endpoint forgotten: more than {MAX_DESTINATIONS} were listed"
            );
            self.destinations = self.by_id.values().map(|endpoint| endpoint.dest).collect();
        }
    }

    pub(super) fn get(&self, host: EndpointId) -> Option<&Endpoint> {
        self.by_id.get(&host)
    }

    pub(super) fn len(&self) -> usize {
        self.by_id.len()
    }

    pub(super) fn id(&self, uid: &str) -> Option<EndpointId> {
        self.ids.get(uid).copied()
    }

    pub(super) fn has_no_destinations(&self) -> bool {
        self.destinations.is_empty()
    }

    pub(super) fn has_destination(&self, dest: u64) -> bool {
        self.destinations.contains(&dest)
    }

    /// Returns the destinations of all endpoints that were ever listed, in ascending order.
    pub(super) fn destinations(&self) -> impl Iterator<Item = u64> + '_ {
        self.destinations.iter().copied()
    }

    /// Adds destinations of endpoints that were listed before this process started.
    pub(super) fn add_destinations(&mut self, destinations: impl IntoIterator<Item = u64>) {
        self.destinations.extend(destinations);
    }

    /// Returns whether an endpoint of this name is listed, suspended or among the remembered retired ones.
    pub(super) fn is_known(&self, uid: &str) -> bool {
        self.ids.contains_key(uid)
            || self.suspended.contains(uid)
            || self.retired.iter().any(|retired| retired == uid)
    }

    pub(super) fn is_suspended(&self, uid: &str) -> bool {
        self.suspended.contains(uid)
    }

    /// Returns the names of suspended endpoints, in alphabetical order.
    pub(super) fn suspended(&self) -> &BTreeSet<String> {
        &self.suspended
    }

    /// Sets or clears the suspension of an endpoint.
    pub(super) fn set_suspended(&mut self, uid: String, suspended: bool) {
        if suspended {
            self.suspended.insert(uid);
        } else {
            self.suspended.remove(&uid);
        }
    }

    /// Applies a complete endpoint list or changes to it. Returns the entries for the decision module.
    pub(super) fn update(&mut self, complete: bool, mut endpoints: Vec<Endpoint>) -> Vec<EndpointEntry> {
        self.retain_acceptable(complete, &mut endpoints);
        let static_endpoints = if complete { self.static_endpoints.clone() } else { Vec::new() };
        let mut entries = Vec::new();
        for endpoint in endpoints.into_iter().chain(static_endpoints) {
            let host = self.id_or_new(&endpoint.uid);
            self.destinations.insert(endpoint.dest);
            entries.push(self.entry(host, &endpoint));
            self.by_id.insert(host, endpoint);
        }
        self.limit_destinations();
        let listed: BTreeSet<EndpointId> = entries.iter().map(|e| e.host).collect();
        for (host, endpoint) in &mut self.by_id {
            if complete && !listed.contains(host) {
                endpoint.state = EndpointState::Removed;
            }
            if endpoint.state == EndpointState::Removed {
                self.removed.insert(*host);
            } else {
                self.removed.remove(host);
            }
        }
        entries
    }

    fn id_or_new(&mut self, uid: &str) -> EndpointId {
        if let Some(id) = self.id(uid) {
            return id;
        }
        self.last_id += 1;
        let id = EndpointId(self.last_id);
        self.ids.insert(uid.to_string(), id);
        id
    }

    /// Returns the decision module's entry for an endpoint.
    pub(super) fn entry(&self, host: EndpointId, endpoint: &Endpoint) -> EndpointEntry {
        // The decision module treats a suspended endpoint as draining: no new attempts, and those in flight finish.
        let is_drained = endpoint.state == EndpointState::Running && self.suspended.contains(&endpoint.uid);
        let state = if is_drained { EndpointState::Draining } else { endpoint.state };
        EndpointEntry {
            host,
            zone: endpoint.zone,
            kind: endpoint.kind,
            dest: DestinationId(endpoint.dest),
            state,
            rate: endpoint.rate,
        }
    }

    /// Returns the entries of the currently listed endpoints.
    pub(super) fn listed(&self) -> impl Iterator<Item = EndpointEntry> + '_ {
        let listed = self.by_id.iter().filter(|(_, e)| e.state != EndpointState::Removed);
        listed.map(|(host, endpoint)| self.entry(*host, endpoint))
    }

    /// Returns the currently listed endpoints without those from the settings.
    pub(super) fn listed_by_discovery(&self) -> impl Iterator<Item = &Endpoint> + '_ {
        let is_static = |endpoint: &Endpoint| self.static_endpoints.iter().any(|s| s.uid == endpoint.uid);
        self.by_id.values().filter(move |e| e.state != EndpointState::Removed && !is_static(e))
    }

    /// Drops removed endpoints without an attempt in flight, and returns them.
    fn retire_idle(&mut self, in_flight: &InFlightCounts) -> Vec<(EndpointId, Endpoint)> {
        let idle: Vec<EndpointId> =
            self.removed.extract_if(.., |host| !in_flight.has_endpoint(*host)).collect();
        let mut retired = Vec::new();
        for host in idle {
            let Some(endpoint) = self.by_id.remove(&host) else { continue };
            self.ids.remove(&endpoint.uid);
            self.remember_retired(&endpoint.uid);
            retired.push((host, endpoint));
        }
        retired
    }

    fn remember_retired(&mut self, uid: &str) {
        if self.retired.len() >= RETIRED_MAX {
            self.retired.pop_front();
        }
        self.retired.push_back(uid.to_string());
    }

    #[cfg(test)]
    pub(super) fn all(&self) -> impl Iterator<Item = EndpointId> + '_ {
        self.by_id.keys().copied()
    }
}

impl Core {
    /// Returns this forwarder's own observations of the listed endpoints.
    pub fn observations(&self, now: Nanos) -> Vec<EndpointObservation> {
        let with_uid = |observation: Observation| {
            let Observation { host, finding, age } = observation;
            let uid = self.endpoints.get(host)?.uid.clone();
            Some(EndpointObservation { uid, finding, age })
        };
        self.balancer.observations(now).into_iter().filter_map(with_uid).collect()
    }

    /// Passes peers' observations of listed endpoints to the decision module. Drops those of other endpoints.
    pub(super) fn handle_peer_observations(&mut self, observations: Vec<EndpointObservation>) {
        for EndpointObservation { uid, finding, age } in observations {
            let Some(host) = self.endpoints.id(&uid) else { continue };
            log::debug!(host = uid, finding:?, age_s = age.secs(); "peer observation");
            self.events.push(Event::PeerObservation(Observation { host, finding, age }));
        }
    }

    /// Drops removed endpoints after their last attempt, which bounds memory while endpoints come and go, and closes their
    /// connections: an endpoint that is listed again counts as new and must not use a connection of the old one.
    pub(super) fn retire_endpoints(&mut self) {
        for (host, endpoint) in self.endpoints.retire_idle(self.pending.in_flight()) {
            log::debug!(host = endpoint.uid, dest = endpoint.dest; "endpoint retired");
            self.forget_endpoint_health(&endpoint.uid);
            self.outputs.push(Output::CloseIdle(host));
        }
    }
}
