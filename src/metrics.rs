//! Metrics shown to operators: counts since the start of the process. Each event is counted with an atomic at the one
//! place where it happens, so that showing the metrics costs the request path nothing and never walks over the pending
//! messages. Decides nothing.
#![warn(missing_docs)]
use miniserde::Serialize;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

/// How a message ended, as operators count it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageResult {
    /// Delivered.
    Fulfilled,
    /// Rejected at admission, or accepted and handed back later: a retry by the client is harmless.
    Throttled,
    /// Failed.
    Faulted,
}

/// Counters of one class.
#[derive(Default)]
struct ClassCounters {
    fulfilled: AtomicU64,
    throttled: AtomicU64,
    faulted: AtomicU64,
    relayed: AtomicU64,
}

/// All counters and gauges of a process.
pub struct Metrics {
    /// By the class's index in the settings, with its name.
    classes: Vec<(String, ClassCounters)>,
    open_requests: AtomicU64,
    listed_endpoints: AtomicU64,
    avoided_endpoints: AtomicU64,
}

/// The metrics at one moment. Field names are keys of the JSON document that operators read, and stay as they are.
#[derive(Serialize, Debug)]
pub struct MetricsSnapshot {
    /// Messages that ended, and calls, by the name of the class.
    pub operations: BTreeMap<String, ClassMetrics>,
    /// Messages that are accepted and not complete.
    pub open_requests: u64,
    /// Endpoints in the endpoint list.
    pub registry_entries: u64,
    /// Those of them that nothing new is sent to, because they are suspended, draining or avoided.
    pub out_of_rotation: u64,
}

/// One class's counts. Field names are keys of the JSON document that operators read, and stay as they are.
#[derive(Serialize, Debug, PartialEq, Eq)]
pub struct ClassMetrics {
    /// Messages delivered.
    pub fulfilled: u64,
    /// Messages rejected or handed back.
    pub throttled: u64,
    /// Messages failed.
    pub faulted: u64,
    /// Messages written to endpoints; each attempt counts.
    pub relayed: u64,
}

impl ClassCounters {
    fn snapshot(&self) -> ClassMetrics {
        ClassMetrics {
            fulfilled: self.fulfilled.load(Relaxed),
            throttled: self.throttled.load(Relaxed),
            faulted: self.faulted.load(Relaxed),
            relayed: self.relayed.load(Relaxed),
        }
    }
}

impl Metrics {
    /// Metrics for classes of these names, in the order of the settings, all at zero.
    pub fn new(classes: &[String]) -> Metrics {
        Metrics {
            classes: classes.iter().map(|name| (name.clone(), ClassCounters::default())).collect(),
            open_requests: AtomicU64::new(0),
            listed_endpoints: AtomicU64::new(0),
            avoided_endpoints: AtomicU64::new(0),
        }
    }

    /// Counts a message of this class that has ended. A class that the settings do not have is not counted.
    pub fn record_result(&self, class: usize, result: MessageResult) {
        let Some((_, counters)) = self.classes.get(class) else { return };
        let counter = match result {
            MessageResult::Fulfilled => &counters.fulfilled,
            MessageResult::Throttled => &counters.throttled,
            MessageResult::Faulted => &counters.faulted,
        };
        counter.fetch_add(1, Relaxed);
    }

    /// Counts a message of this class that is being written to an endpoint.
    pub fn record_relayed(&self, class: usize) {
        if let Some((_, counters)) = self.classes.get(class) {
            counters.relayed.fetch_add(1, Relaxed);
        }
    }

    /// Sets how many messages are accepted and not complete.
    pub fn set_open_requests(&self, open: usize) {
        self.open_requests.store(open as u64, Relaxed);
    }

    /// Sets how many endpoints are listed, and how many of them are avoided.
    pub fn set_endpoints(&self, listed: usize, avoided: usize) {
        self.listed_endpoints.store(listed as u64, Relaxed);
        self.avoided_endpoints.store(avoided as u64, Relaxed);
    }

    /// The metrics at this moment.
    pub fn snapshot(&self) -> MetricsSnapshot {
        let operations = self.classes.iter().map(|(name, counters)| (name.clone(), counters.snapshot()));
        MetricsSnapshot {
            operations: operations.collect(),
            open_requests: self.open_requests.load(Relaxed),
            registry_entries: self.listed_endpoints.load(Relaxed),
            out_of_rotation: self.avoided_endpoints.load(Relaxed),
        }
    }
}
