//! What operators are shown: counts of what happened, from the start of the process. Each is counted with an atomic at
//! the one place where it happens, so that showing them costs the path of a request nothing and never looks at what is
//! held. Decides nothing.
use miniserde::Serialize;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

/// How a message ended, as operators count it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// Delivered.
    Fulfilled,
    /// Refused at the door, or taken on and handed back: coming again is harmless.
    Throttled,
    /// Failed.
    Faulted,
}

/// One class's counts.
#[derive(Default)]
struct Counts {
    fulfilled: AtomicU64,
    throttled: AtomicU64,
    faulted: AtomicU64,
    relayed: AtomicU64,
}

/// All counts of a process.
pub struct Metrics {
    classes: Vec<(String, Counts)>,
    open: AtomicU64,
    listed: AtomicU64,
    avoided: AtomicU64,
}

/// The metrics as they are shown; names are the operators'.
#[derive(Serialize, Debug)]
pub struct Shown {
    /// Messages that ended, and calls, by class.
    pub operations: BTreeMap<String, Row>,
    /// Messages taken on and not ended.
    pub open_requests: u64,
    /// Endpoints in the list.
    pub registry_entries: u64,
    /// Those of them that nothing new is sent to, by hand or by choice.
    pub out_of_rotation: u64,
}

/// One class's metrics.
#[derive(Serialize, Debug, PartialEq, Eq)]
pub struct Row {
    /// Messages delivered.
    pub fulfilled: u64,
    /// Messages refused or handed back.
    pub throttled: u64,
    /// Messages failed.
    pub faulted: u64,
    /// Messages written to endpoints, each attempt of its own.
    pub relayed: u64,
}

impl Metrics {
    /// Counts for these classes, by the settings' names, all at zero.
    pub fn new(classes: &[String]) -> Metrics {
        let classes = classes.iter().map(|c| (c.clone(), Counts::default())).collect();
        Metrics { classes, open: AtomicU64::new(0), listed: AtomicU64::new(0), avoided: AtomicU64::new(0) }
    }

    /// A message of this class has ended.
    pub fn ended(&self, class: usize, ending: Ending) {
        let Some((_, counts)) = self.classes.get(class) else { return };
        let count = match ending {
            Ending::Fulfilled => &counts.fulfilled,
            Ending::Throttled => &counts.throttled,
            Ending::Faulted => &counts.faulted,
        };
        count.fetch_add(1, Relaxed);
    }

    /// A message of this class is being written to an endpoint.
    pub fn relayed(&self, class: usize) {
        self.classes.get(class).map(|(_, counts)| counts.relayed.fetch_add(1, Relaxed));
    }

    /// How many messages are taken on and have not ended.
    pub fn set_open(&self, open: usize) {
        self.open.store(open as u64, Relaxed);
    }

    /// How many endpoints are listed, and how many of them are avoided.
    pub fn set_endpoints(&self, listed: usize, avoided: usize) {
        self.listed.store(listed as u64, Relaxed);
        self.avoided.store(avoided as u64, Relaxed);
    }

    /// The metrics of this moment.
    pub fn show(&self) -> Shown {
        let row = |c: &Counts| Row {
            fulfilled: c.fulfilled.load(Relaxed),
            throttled: c.throttled.load(Relaxed),
            faulted: c.faulted.load(Relaxed),
            relayed: c.relayed.load(Relaxed),
        };
        Shown {
            operations: self.classes.iter().map(|(name, counts)| (name.clone(), row(counts))).collect(),
            open_requests: self.open.load(Relaxed),
            registry_entries: self.listed.load(Relaxed),
            out_of_rotation: self.avoided.load(Relaxed),
        }
    }
}
