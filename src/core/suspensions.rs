//! Endpoints that operators suspend and resume, and the metrics of the endpoint list.
use super::Core;
use crate::interface::{EndpointState, Event, Finding, Nanos, Observation};
use crate::journal::Record;
use crate::metrics::Metrics;
use std::sync::Arc;

/// Endpoints that are suspended at once. Bounds what the journal keeps of them.
const SUSPENDED_MAX: usize = 256;
/// Avoided endpoints are counted this often, in seconds: metrics may be half a second old.
const COUNT_INTERVAL_S: f64 = 0.1;

/// What came of an operator's request to suspend or resume an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SuspensionResult {
    /// It is in force, and the journal has it.
    Applied,
    /// No such endpoint was ever listed here.
    UnknownEndpoint,
    /// As many endpoints are suspended as may be: resume one first.
    LimitReached,
    /// The journal could not be written: what was in force stays. See the log, and ask again.
    NotPersisted,
}

impl Core {
    /// Suspends an endpoint by its name in discovery's list, or resumes it. A suspended endpoint gets no new attempt, and
    /// stays suspended across restarts.
    pub fn set_suspended(&mut self, now: Nanos, uid: String, suspended: bool) -> SuspensionResult {
        if !self.endpoints.is_known(&uid) {
            return SuspensionResult::UnknownEndpoint;
        }
        if self.endpoints.is_suspended(&uid) == suspended {
            return SuspensionResult::Applied;
        }
        if suspended && self.endpoints.suspended().len() >= SUSPENDED_MAX {
            return SuspensionResult::LimitReached;
        }
        let record = Record::Suspended { uid: uid.clone(), suspended };
        if self.journal.append(now, &record).is_err() {
            return SuspensionResult::NotPersisted;
        }
        log::warn!(host = uid, suspended; "suspension changed by an operator");
        self.endpoints.set_suspended(uid.clone(), suspended);
        self.suspension_changed(now, &uid, suspended);
        SuspensionResult::Applied
    }

    /// Tells the module of a suspension that changed; nothing where the endpoint is not listed.
    fn suspension_changed(&mut self, now: Nanos, uid: &str, suspended: bool) {
        let Some(host) = self.endpoints.id(uid) else { return };
        let Some(endpoint) = self.endpoints.get(host) else { return };
        let entries = vec![self.endpoints.entry(host, endpoint)];
        self.events.push(Event::EndpointList { complete: false, entries });
        if !suspended {
            // Guards an endpoint that was restarted meanwhile: it returns through slow start, as after an outage.
            let finding = Finding::Recovering { since: Nanos(0) };
            self.events.push(Event::PeerObservation(Observation { host, finding, age: Nanos(0) }));
        }
        // At once: an attempt that waits for its connection is checked again, against what the module knows by then.
        self.wake_at = Some(now);
    }

    /// Returns the metrics, and keeps those of the present state up to date from now on.
    pub fn enable_metrics(&mut self, now: Nanos) -> Arc<Metrics> {
        self.endpoint_count_at = Some(now);
        self.wake_at = Some(now);
        self.metrics.clone()
    }

    /// Updates the metrics of the present state, once somebody is shown them.
    pub(super) fn update_metrics(&mut self) {
        let Some(at) = self.endpoint_count_at else { return };
        self.metrics.set_open_requests(self.pending.open());
        if self.now < at {
            return;
        }
        self.endpoint_count_at = Some(self.now + COUNT_INTERVAL_S);
        let (mut listed, mut avoided) = (0, 0);
        for entry in self.endpoints.listed() {
            listed += 1;
            if entry.state != EndpointState::Running || self.balancer.is_avoided(entry.host) {
                avoided += 1;
            }
        }
        self.metrics.set_endpoints(listed, avoided);
    }
}
