//! Attempts that have not ended: the state of one, and their counts in total and by endpoint.
use crate::interface::{EndpointId, Nanos};
use std::collections::BTreeMap;

/// Progress of an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Stage {
    /// Waits for the end of the step, or for the acknowledged callback of an earlier message with the same ordering key.
    /// Not yet handed to the transport.
    Deferred,
    /// Waits for its connection. No byte has been sent, and the journal has no record of the attempt.
    Connecting,
    /// In the journal; its first byte may have been sent.
    Sent,
}

/// An attempt that has not ended.
pub(super) struct InFlight {
    /// Number of the attempt within its message, from zero.
    pub(super) attempt: u32,
    /// Time of the decision; from stage `Connecting` on, time of the handover to the transport.
    pub(super) started: Nanos,
    /// Index of the endpoint's zone in the settings.
    pub(super) zone: usize,
    pub(super) stage: Stage,
    pub(super) host: EndpointId,
    pub(super) timeout: Nanos,
}

/// Counts of attempts in flight, kept so that no event has to scan the pending messages.
#[derive(Default)]
pub(super) struct InFlightCounts {
    by_endpoint: BTreeMap<EndpointId, usize>,
    total: usize,
}

impl InFlightCounts {
    pub(super) fn total(&self) -> usize {
        self.total
    }

    pub(super) fn has_endpoint(&self, host: EndpointId) -> bool {
        self.by_endpoint.contains_key(&host)
    }

    pub(super) fn add(&mut self, host: EndpointId) {
        *self.by_endpoint.entry(host).or_default() += 1;
        self.total += 1;
    }

    pub(super) fn remove(&mut self, host: EndpointId) {
        self.total -= 1;
        let Some(count) = self.by_endpoint.get_mut(&host) else { return };
        *count -= 1;
        if *count == 0 {
            self.by_endpoint.remove(&host);
        }
    }
}
