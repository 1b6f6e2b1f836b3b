//! Suspension of endpoints by operators, and the metrics of the endpoint list.
use super::Core;
use crate::interface::{EndpointState, Event, Finding, Nanos, Observation};
use crate::journal::Record;
use crate::metrics::Metrics;
use std::sync::Arc;

/// Maximum number of suspended endpoints; bounds their records in the journal.
const SUSPENDED_MAX: usize = 256;
/// Interval between counts of avoided endpoints, in seconds. The metrics are allowed to be half a second old.
const COUNT_INTERVAL_S: f64 = 0.1;

/// Result of an operator's request to suspend or resume an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SuspensionResult {
    /// The change is in force and in the journal, or was so before.
    Applied,
    /// No endpoint of this name is listed, suspended or among the remembered retired ones.
    UnknownEndpoint,
    /// The maximum number of endpoints is suspended: resume one first.
    LimitReached,
    /// The journal could not be written, so nothing changed. See the log for the cause, and retry.
    NotPersisted,
}

impl Core {
    /// Suspends or resumes the endpoint with this name in the endpoint list. A suspended endpoint gets no new attempts, and
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
        log::warn!(host = uid, suspended; "operator changed the suspension of an endpoint");
        self.endpoints.set_suspended(uid.clone(), suspended);
        self.apply_suspension(now, &uid, suspended);
        SuspensionResult::Applied
    }

    /// Passes a changed suspension to the decision module, if the endpoint is listed.
    fn apply_suspension(&mut self, now: Nanos, uid: &str, suspended: bool) {
        let Some(host) = self.endpoints.id(uid) else { return };
        let Some(endpoint) = self.endpoints.get(host) else { return };
        let entries = vec![self.endpoints.entry(host, endpoint)];
        self.events.push(Event::EndpointList { complete: false, entries });
        if !suspended {
            // The endpoint may have been restarted while suspended: it returns through slow start, as after an outage.
            let finding = Finding::Recovering { since: Nanos(0) };
            self.events.push(Event::PeerObservation(Observation { host, finding, age: Nanos(0) }));
        }
        // Runs the decision module at once, so that an attempt which still waits for its connection is checked against the
        // new state before its first byte.
        self.wake_at = Some(now);
    }

    /// Returns the metrics, and keeps their gauges up to date from now on.
    pub fn enable_metrics(&mut self, now: Nanos) -> Arc<Metrics> {
        self.endpoint_count_at = Some(now);
        self.wake_at = Some(now);
        self.metrics.clone()
    }

    /// Updates the gauges: open requests in each step, endpoints at an interval. Does nothing until metrics are enabled.
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
