//! The endpoint registry: the endpoints that discovery and the settings list, from their first entry to their last
//! attempt, and those that operators have suspended.
use super::in_flight::InFlightCounts;
use super::messages::{Endpoint, EndpointObservation, Output};
use super::Core;
use crate::interface::{DestinationId, EndpointEntry, EndpointId, EndpointState, Event, Nanos, Observation};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

/// Endpoints that are remembered after they were removed from the list. Bounds the memory of long days.
const RETIRED_MAX: usize = 1024;

/// All endpoints that are listed, or were and still have an attempt in flight.
#[derive(Default)]
pub(super) struct EndpointRegistry {
    by_id: BTreeMap<EndpointId, Endpoint>,
    /// By discovery's name for them; the same endpoints as in `by_id`.
    ids: HashMap<String, EndpointId>,
    last_id: u32,
    /// Not listed any more, and still with an attempt in flight.
    removed: BTreeSet<EndpointId>,
    /// Endpoints that discovery does not list; part of each complete list.
    static_endpoints: Vec<Endpoint>,
    /// Every destination that an endpoint was ever listed for.
    destinations: BTreeSet<u64>,
    /// Endpoints that operators suspended, until they resume them.
    suspended: BTreeSet<String>,
    /// Endpoints that are not listed any more, the oldest first: an operator who names one has made no mistake.
    retired: VecDeque<String>,
}

impl EndpointRegistry {
    pub(super) fn new(static_endpoints: Vec<Endpoint>) -> EndpointRegistry {
        EndpointRegistry { static_endpoints, ..EndpointRegistry::default() }
    }

    pub(super) fn get(&self, host: EndpointId) -> Option<&Endpoint> {
        self.by_id.get(&host)
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

    /// Whether this endpoint was ever listed or suspended, as far as that is remembered.
    pub(super) fn is_known(&self, uid: &str) -> bool {
        self.ids.contains_key(uid)
            || self.suspended.contains(uid)
            || self.retired.iter().any(|retired| retired == uid)
    }

    pub(super) fn is_suspended(&self, uid: &str) -> bool {
        self.suspended.contains(uid)
    }

    /// In the order of their names.
    pub(super) fn suspended(&self) -> &BTreeSet<String> {
        &self.suspended
    }

    /// Suspends or resumes an endpoint, as an operator or the journal says.
    pub(super) fn set_suspended(&mut self, uid: String, suspended: bool) {
        if suspended {
            self.suspended.insert(uid);
        } else {
            self.suspended.remove(&uid);
        }
    }

    /// Takes in a list, or changes to one. Returns the entries for the module.
    fn update(&mut self, complete: bool, endpoints: Vec<Endpoint>) -> Vec<EndpointEntry> {
        let static_endpoints = if complete { self.static_endpoints.clone() } else { Vec::new() };
        let mut entries = Vec::new();
        for endpoint in endpoints.into_iter().chain(static_endpoints) {
            let host = self.id_or_new(&endpoint.uid);
            self.destinations.insert(endpoint.dest);
            entries.push(self.entry(host, &endpoint));
            self.by_id.insert(host, endpoint);
        }
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

    /// An endpoint as the module is shown it.
    pub(super) fn entry(&self, host: EndpointId, endpoint: &Endpoint) -> EndpointEntry {
        // To the module a suspension is a drain: it starts nothing there, and lets attempts in flight finish.
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

    /// The endpoints that are in the list now, as the module is shown them.
    pub(super) fn listed(&self) -> impl Iterator<Item = EndpointEntry> + '_ {
        let listed = self.by_id.iter().filter(|(_, e)| e.state != EndpointState::Removed);
        listed.map(|(host, endpoint)| self.entry(*host, endpoint))
    }

    /// Drops the removed endpoints that have no attempt in flight, and returns them.
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
    /// What this forwarder itself has observed of the listed endpoints.
    pub fn observations(&self, now: Nanos) -> Vec<EndpointObservation> {
        let with_uid = |observation: Observation| {
            let Observation { host, finding, age } = observation;
            let uid = self.endpoints.get(host)?.uid.clone();
            Some(EndpointObservation { uid, finding, age })
        };
        self.balancer.observations(now).into_iter().filter_map(with_uid).collect()
    }

    /// Passes on to the module what peers observed of endpoints that are listed here; nothing is kept of others.
    pub(super) fn peer_observations(&mut self, observations: Vec<EndpointObservation>) {
        for EndpointObservation { uid, finding, age } in observations {
            let Some(host) = self.endpoints.id(&uid) else { continue };
            log::debug!(host = uid, finding:?, age_s = age.secs(); "peer observation");
            self.events.push(Event::PeerObservation(Observation { host, finding, age }));
        }
    }

    pub(super) fn update_endpoints(&mut self, complete: bool, endpoints: Vec<Endpoint>) {
        let entries = self.endpoints.update(complete, endpoints);
        self.events.push(Event::EndpointList { complete, entries });
    }

    /// Guards memory on days when endpoints come and go: what is kept of one ends with its last attempt. If it is listed
    /// again, it is a new endpoint, and no connection of the old one serves it.
    pub(super) fn retire_endpoints(&mut self) {
        for (host, endpoint) in self.endpoints.retire_idle(self.pending.in_flight()) {
            log::debug!(host = endpoint.uid, dest = endpoint.dest; "retired");
            self.outputs.push(Output::CloseIdle(host));
        }
    }
}
