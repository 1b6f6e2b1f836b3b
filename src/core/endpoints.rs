//! What discovery lists: the members of the upstream group, from their first line to their last attempt.
use super::messages::{Endpoint, EndpointObservation, Output};
use super::Core;
use crate::interface::{EndpointId, EndpointState, Event, Nanos, Observation};
use std::collections::BTreeSet;

impl Core {
    /// What this forwarder has seen itself of the members.
    pub fn observations(&self, now: Nanos) -> Vec<EndpointObservation> {
        let sighting = |Observation { host, finding, age }| {
            let uid = self.hosts.get(&host)?.uid.clone();
            Some(EndpointObservation { uid, finding, age })
        };
        self.balancer.observations(now).into_iter().filter_map(sighting).collect()
    }

    /// Hands on what neighbours saw of members that are listed here; of others nothing is kept.
    pub(super) fn hearsay(&mut self, sightings: Vec<EndpointObservation>) {
        for EndpointObservation { uid, finding, age } in sightings {
            if let Some(host) = self.uids.get(&uid) {
                log::debug!(host = uid, finding:?, age_s = age.secs(); "neighbours saw");
                self.events.push(Event::PeerObservation(Observation { host: *host, finding, age }));
            }
        }
    }

    pub(super) fn group(&mut self, complete: bool, members: Vec<Endpoint>) {
        let mut entries = Vec::new();
        let standing = if complete { self.standing.clone() } else { Vec::new() };
        for m in members.into_iter().chain(standing) {
            let host = *self.uids.entry(m.uid.clone()).or_insert_with(|| {
                self.next_host += 1;
                EndpointId(self.next_host)
            });
            self.dests.insert(m.dest);
            entries.push(self.entry(host, &m));
            self.hosts.insert(host, m);
        }
        let named: BTreeSet<EndpointId> = entries.iter().map(|e| e.host).collect();
        for (host, m) in &mut self.hosts {
            if complete && !named.contains(host) {
                m.state = EndpointState::Removed;
            }
            match m.state {
                EndpointState::Removed => self.leaving.insert(*host),
                _ => self.leaving.remove(host),
            };
        }
        self.events.push(Event::EndpointList { complete, entries });
    }

    /// Guards against days on which endpoints come and go: what is kept of one ends with its last attempt. Should
    /// it be listed again, it is a new one, and no connection of the old one serves it.
    pub(super) fn retire(&mut self) {
        if self.leaving.is_empty() {
            return;
        }
        let idle: Vec<EndpointId> = self.leaving.extract_if(.., |h| !self.busy.at(*h)).collect();
        for host in idle {
            if let Some(m) = self.hosts.remove(&host) {
                log::debug!(host = m.uid, dest = m.dest; "retired");
                self.uids.remove(&m.uid);
                self.forget_listed(&m.uid);
                self.orders.push(Output::CloseIdle(host));
            }
        }
    }
}
