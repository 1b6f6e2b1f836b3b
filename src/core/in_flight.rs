//! One attempt that has not ended, and how many there are, in all and at each endpoint.
use crate::interface::{EndpointId, Nanos};
use std::collections::BTreeMap;

/// How far an attempt has come.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Stage {
    /// Waits for the end of the step, or for the callback of an earlier message with its ordering key; it has not been
    /// handed to the transport.
    Deferred,
    /// Waits for its connection: no byte has been sent, and the journal does not have it.
    Connecting,
    /// Its first byte may have been sent.
    Sent,
}

/// An attempt that has not ended.
pub(super) struct InFlight {
    /// The attempt's number within its message, from zero.
    pub(super) attempt: u32,
    /// When it was decided on, and from `Connecting` on when it was handed to the transport.
    pub(super) started: Nanos,
    /// Zone of its endpoint, as an index in the settings.
    pub(super) zone: usize,
    pub(super) stage: Stage,
    pub(super) host: EndpointId,
    pub(super) timeout: Nanos,
}

/// How many attempts are in flight, so that no event has to walk over the pending messages.
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
