//! Metrics for operators: counters since the start of the process, and gauges. Each event increments an atomic counter
//! where it happens, so that reading the metrics costs the request path nothing and never iterates over the pending
//! messages. No decision depends on the metrics.
#![warn(missing_docs)]
use miniserde::Serialize;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

/// Result of a message as the metrics classify it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageResult {
    /// The message was delivered.
    Fulfilled,
    /// The message was rejected at admission, or accepted and deferred later; the client can safely retry it.
    Throttled,
    /// The message failed.
    Faulted,
}

/// Counters of a class.
#[derive(Default)]
struct ClassCounters {
    fulfilled: AtomicU64,
    throttled: AtomicU64,
    faulted: AtomicU64,
    relayed: AtomicU64,
}

/// All counters and gauges of a process.
pub struct Metrics {
    /// Name and counters of each class, by its index in the settings.
    classes: Vec<(String, ClassCounters)>,
    open_requests: AtomicU64,
    listed_endpoints: AtomicU64,
    avoided_endpoints: AtomicU64,
}

/// Snapshot of the metrics. The field names are keys of the JSON document that operators read and must not change.
#[derive(Serialize, Debug)]
pub struct MetricsSnapshot {
    /// Counts of completed messages and of attempts by class name.
    pub operations: BTreeMap<String, ClassMetrics>,
    /// Number of messages that are accepted and not complete.
    pub open_requests: u64,
    /// Number of endpoints in the endpoint list.
    pub registry_entries: u64,
    /// Number of listed endpoints that receive no new messages because they are suspended, draining or avoided.
    pub out_of_rotation: u64,
}

/// Counts of a class. The field names are keys of the JSON document that operators read and must not change.
#[derive(Serialize, Debug, PartialEq, Eq)]
pub struct ClassMetrics {
    /// Number of messages delivered.
    pub fulfilled: u64,
    /// Number of messages rejected or deferred.
    pub throttled: u64,
    /// Number of messages failed.
    pub faulted: u64,
    /// Number of attempts written to endpoints.
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
    /// Creates metrics that are all zero. `classes` holds the class names in the order of the settings.
    pub fn new(classes: &[String]) -> Metrics {
        Metrics {
            classes: classes.iter().map(|name| (name.clone(), ClassCounters::default())).collect(),
            open_requests: AtomicU64::new(0),
            listed_endpoints: AtomicU64::new(0),
            avoided_endpoints: AtomicU64::new(0),
        }
    }

    /// Counts a completed message of this class. Classes that are not in the settings are ignored.
    pub fn record_result(&self, class: usize, result: MessageResult) {
        let Some((_, counters)) = self.classes.get(class) else { return };
        let counter = match result {
            MessageResult::Fulfilled => &counters.fulfilled,
            MessageResult::Throttled => &counters.throttled,
            MessageResult::Faulted => &counters.faulted,
        };
        counter.fetch_add(1, Relaxed);
    }

    /// Counts an attempt at a message of this class that is being written to an endpoint.
    pub fn record_relayed(&self, class: usize) {
        if let Some((_, counters)) = self.classes.get(class) {
            counters.relayed.fetch_add(1, Relaxed);
        }
    }

    /// Sets the number of messages that are accepted and not complete.
    pub fn set_open_requests(&self, open: usize) {
        self.open_requests.store(open as u64, Relaxed);
    }

    /// Sets the number of listed endpoints, and the number of those that receive no new messages.
    pub fn set_endpoints(&self, listed: usize, avoided: usize) {
        self.listed_endpoints.store(listed as u64, Relaxed);
        self.avoided_endpoints.store(avoided as u64, Relaxed);
    }

    /// Returns the current metrics.
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
