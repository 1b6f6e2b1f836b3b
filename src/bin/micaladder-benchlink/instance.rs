//! One simulated forwarder: its decision module and the endpoints that it knows.
use crate::settings;
use micaladder::{Action, Balancer, EndpointId, Event, LoadReport, Nanos};
use serde_json::Value;
use std::any::Any;
use std::collections::BTreeMap;
use std::panic::{catch_unwind, AssertUnwindSafe};

/// Where a load report holds the values that the module uses.
struct ReportFields {
    /// Index of the share of the limit that is left.
    left: Option<usize>,
    /// Index of the limit.
    limit: Option<usize>,
}

/// One simulated forwarder.
pub(crate) struct Instance {
    /// The decision module.
    balancer: Balancer,
    /// Ids of the endpoints by their names, numbered as they were first named.
    endpoint_ids: BTreeMap<String, EndpointId>,
    /// Names of the endpoints, by their ids.
    pub endpoint_names: Vec<String>,
    /// Events of the batch that is being read.
    pub events: Vec<Event>,
    /// How to read load reports.
    report_fields: ReportFields,
}

impl Instance {
    /// A new instance. `conf` holds the settings in the wire's words.
    pub fn new(conf: &Value, seed: u64) -> Self {
        let place =
            |name: &str| conf["reporting"]["names"].as_array()?.iter().position(|field| field == name);
        Instance {
            balancer: Balancer::new(settings::read(conf), seed),
            endpoint_ids: BTreeMap::new(),
            endpoint_names: Vec::new(),
            events: Vec::new(),
            report_fields: ReportFields { left: place("x0"), limit: place("x1") },
        }
    }

    /// The id of an endpoint; a new one for a name that is not known yet.
    pub fn endpoint_id(&mut self, name: &str) -> EndpointId {
        if let Some(id) = self.endpoint_ids.get(name) {
            return *id;
        }
        let id = EndpointId(self.endpoint_names.len() as u32);
        self.endpoint_names.push(name.to_string());
        self.endpoint_ids.insert(name.to_string(), id);
        id
    }

    /// Reads a load report; none if it lacks one of the values.
    pub fn load_report(&self, row: &Value) -> Option<LoadReport> {
        let row = row.as_array()?;
        let value = |index: Option<usize>| row.get(index?)?.as_f64();
        let left = value(self.report_fields.left)?;
        let limit = value(self.report_fields.limit)?;
        Some(LoadReport { left, limit })
    }

    /// Lets the module decide on the events of the batch.
    ///
    /// # Errors
    /// The text of a panic of the module.
    pub fn decide(&mut self, now: Nanos) -> Result<Vec<Action>, String> {
        let events = std::mem::take(&mut self.events);
        let mut actions = Vec::new();
        let balancer = &mut self.balancer;
        let done = catch_unwind(AssertUnwindSafe(|| balancer.handle(now, &events, &mut actions)));
        match done {
            Ok(()) => Ok(actions),
            Err(panic) => Err(panic_text(panic.as_ref())),
        }
    }
}

/// The message of a panic.
fn panic_text(panic: &(dyn Any + Send)) -> String {
    if let Some(text) = panic.downcast_ref::<String>() {
        return text.clone();
    }
    match panic.downcast_ref::<&str>() {
        Some(text) => text.to_string(),
        None => "the decision code panicked".to_string(),
    }
}
