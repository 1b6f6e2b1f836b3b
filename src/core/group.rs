//! What discovery lists: the members of the upstream group, from their first line to their last try.
use super::orders::{Member, Order, Sighting};
use super::Core;
use crate::interface::{Event, Hint, HostId, Listed, Nanos};
use std::collections::BTreeSet;

impl Core {
    /// What this forwarder has seen itself of the members.
    pub fn known(&self, now: Nanos) -> Vec<Sighting> {
        let sighting = |Hint { host, news, age }| {
            let uid = self.hosts.get(&host)?.uid.clone();
            Some(Sighting { uid, news, age })
        };
        self.balancer.known(now).into_iter().filter_map(sighting).collect()
    }

    /// Hands on what neighbours saw of members that are listed here; of others nothing is kept.
    pub(super) fn hearsay(&mut self, sightings: Vec<Sighting>) {
        for Sighting { uid, news, age } in sightings {
            if let Some(host) = self.uids.get(&uid) {
                log::debug!(host = uid, news:?, age_s = age.secs(); "neighbours saw");
                self.events.push(Event::Hint(Hint { host: *host, news, age }));
            }
        }
    }

    pub(super) fn group(&mut self, whole: bool, members: Vec<Member>) {
        let mut entries = Vec::new();
        let standing = if whole { self.standing.clone() } else { Vec::new() };
        for m in members.into_iter().chain(standing) {
            let host = *self.uids.entry(m.uid.clone()).or_insert_with(|| {
                self.next_host += 1;
                HostId(self.next_host)
            });
            self.dests.insert(m.dest);
            entries.push(self.entry(host, &m));
            self.hosts.insert(host, m);
        }
        let named: BTreeSet<HostId> = entries.iter().map(|e| e.host).collect();
        for (host, m) in &mut self.hosts {
            if whole && !named.contains(host) {
                m.state = Listed::Gone;
            }
            match m.state {
                Listed::Gone => self.leaving.insert(*host),
                _ => self.leaving.remove(host),
            };
        }
        self.events.push(Event::List { whole, entries });
    }

    /// Guards against days on which endpoints come and go: what is kept of one ends with its last try. Should
    /// it be listed again, it is a new one, and no connection of the old one serves it.
    pub(super) fn retire(&mut self) {
        if self.leaving.is_empty() {
            return;
        }
        let idle: Vec<HostId> = self.leaving.extract_if(.., |h| !self.busy.at(*h)).collect();
        for host in idle {
            if let Some(m) = self.hosts.remove(&host) {
                log::debug!(host = m.uid, dest = m.dest; "retired");
                self.uids.remove(&m.uid);
                self.forget_listed(&m.uid);
                self.orders.push(Order::Release(host));
            }
        }
    }
}
