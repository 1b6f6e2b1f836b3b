//! Endpoints that operators take out by hand and call back, and the count of those that are listed and avoided.
use super::messages::Endpoint;
use super::Core;
use crate::interface::{
    DestinationId, EndpointEntry, EndpointId, EndpointState, Event, Finding, Nanos, Observation,
};
use crate::journal::{Completion, Record};
use crate::metrics::{MessageResult, Metrics};
use std::sync::Arc;

/// Endpoints that are out by hand at once, and those remembered that are listed no more. Bounds what the journal keeps.
const SUSPENDED_MOST: usize = 256;
const RETIRED_MOST: usize = 1024;
/// Endpoints that are avoided are counted so often, in seconds: the metrics may be half a second old.
const COUNT_EACH: f64 = 0.1;

/// What came of an operator's word on an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SuspensionResult {
    /// It holds, and the journal has it.
    Applied,
    /// No such endpoint was ever listed here.
    UnknownEndpoint,
    /// As many are out by hand as may be: call one back first.
    LimitReached,
    /// The journal could not be written: what was in force stays. See the log, and ask again.
    NotPersisted,
}

/// How a message's end is counted; none where its client ended it.
pub(super) fn ending(end: Completion) -> Option<MessageResult> {
    match end {
        Completion::Delivered => Some(MessageResult::Fulfilled),
        Completion::Undeliverable => Some(MessageResult::Faulted),
        Completion::Deferred(_) => Some(MessageResult::Throttled),
        Completion::Withdrawn => None,
    }
}

impl Core {
    /// An operator takes an endpoint out (`out`) or calls it back. From `Done` on, nothing new goes to one that is out,
    /// whatever discovery says, and a restart knows of it.
    pub fn set_suspended(&mut self, now: Nanos, uid: String, out: bool) -> SuspensionResult {
        if !self.uids.contains_key(&uid) && !self.suspended.contains(&uid) && !self.retired.contains(&uid) {
            return SuspensionResult::UnknownEndpoint;
        }
        if self.suspended.contains(&uid) == out {
            return SuspensionResult::Applied;
        }
        if out && self.suspended.len() >= SUSPENDED_MOST {
            return SuspensionResult::LimitReached;
        }
        if !self.ledger.first(now, &Record::Suspended { uid: uid.clone(), suspended: out }) {
            return SuspensionResult::NotPersisted;
        }
        log::warn!(host = uid, out; "by an operator's hand");
        let host = self.uids.get(&uid).copied();
        self.suspend(uid, out);
        if let Some((host, member)) = host.and_then(|h| Some((h, self.hosts.get(&h)?))) {
            let entries = vec![self.entry(host, member)];
            self.events.push(Event::EndpointList { complete: false, entries });
            if !out {
                // Guards an endpoint that was restarted meanwhile: it returns cold, as after an outage.
                let (finding, age) = (Finding::Recovering { since: Nanos(0) }, Nanos(0));
                self.events.push(Event::PeerObservation(Observation { host, finding, age }));
            }
            // At once: an attempt that waits for its connection is asked anew, and that counts what has been taken in.
            self.wake = Some(now);
        }
        SuspensionResult::Applied
    }

    /// Keeps who is out, as an operator said or the journal says.
    pub(super) fn suspend(&mut self, uid: String, out: bool) {
        if out {
            self.suspended.insert(uid);
        } else {
            self.suspended.remove(&uid);
        }
    }

    /// A member as the module is told of it.
    pub(super) fn entry(&self, host: EndpointId, m: &Endpoint) -> EndpointEntry {
        // Guards "out by hand": to the module it is a drain, which it keeps already.
        let out = m.state == EndpointState::Running && self.suspended.contains(&m.uid);
        let state = if out { EndpointState::Draining } else { m.state };
        EndpointEntry { host, zone: m.zone, kind: m.kind, dest: DestinationId(m.dest), state, rate: m.rate }
    }

    /// It is listed no more.
    pub(super) fn forget_listed(&mut self, uid: &str) {
        if self.retired.len() >= RETIRED_MOST {
            self.retired.pop_front();
        }
        self.retired.push_back(uid.to_string());
    }

    /// The metrics, which are kept up from now on.
    pub fn enable_metrics(&mut self, now: Nanos) -> Arc<Metrics> {
        self.count_at = Some(now);
        self.wake = Some(now);
        self.metrics.clone()
    }

    /// Keeps the metrics up that tell how things stand, where somebody is shown them.
    pub(super) fn count(&mut self) {
        let Some(at) = self.count_at else { return };
        self.metrics.set_open_requests(self.open);
        if self.now >= at {
            self.count_at = Some(self.now + COUNT_EACH);
            let listed = self.hosts.iter().filter(|(_, m)| m.state != EndpointState::Removed);
            let avoided = |(host, m): &(&EndpointId, &Endpoint)| {
                self.entry(**host, m).state != EndpointState::Running || self.balancer.is_avoided(**host)
            };
            let (all, out) = (listed.clone().count(), listed.filter(avoided).count());
            self.metrics.set_endpoints(all, out);
        }
    }
}
