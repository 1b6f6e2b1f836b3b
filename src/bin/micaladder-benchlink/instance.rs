//! A simulated forwarder: its decision module and its known endpoints.
use crate::settings;
use micaladder::{Action, Balancer, EndpointId, Event, LoadReport, Nanos};
use serde_json::Value;
use std::any::Any;
use std::collections::BTreeMap;
use std::panic::{catch_unwind, AssertUnwindSafe};

/// Positions of the values that the module uses in a load report.
struct ReportFields {
    /// Index of the remaining share of the limit.
    left: Option<usize>,
    /// Index of the limit.
    limit: Option<usize>,
}

/// A simulated forwarder.
pub(crate) struct Instance {
    /// Decision module.
    balancer: Balancer,
    /// Endpoint ids by endpoint name, numbered in the order in which the names first occurred.
    endpoint_ids: BTreeMap<String, EndpointId>,
    /// Endpoint names by id.
    pub endpoint_names: Vec<String>,
    /// Events of the current batch.
    pub events: Vec<Event>,
    /// Layout of the load reports.
    report_fields: ReportFields,
}

impl Instance {
    /// Creates an instance. `conf` holds the settings in the simulator's JSON format.
    pub fn new(conf: &Value, seed: u64) -> Self {
        let position =
            |name: &str| conf["reporting"]["names"].as_array()?.iter().position(|field| field == name);
        Instance {
            balancer: Balancer::new(settings::parse(conf), seed),
            endpoint_ids: BTreeMap::new(),
            endpoint_names: Vec::new(),
            events: Vec::new(),
            report_fields: ReportFields { left: position("x0"), limit: position("x1") },
        }
    }

    /// Returns the id of an endpoint, and assigns a new id to a new name.
    pub fn endpoint_id(&mut self, name: &str) -> EndpointId {
        if let Some(id) = self.endpoint_ids.get(name) {
            return *id;
        }
        let id = EndpointId(self.endpoint_names.len() as u32);
        self.endpoint_names.push(name.to_string());
        self.endpoint_ids.insert(name.to_string(), id);
        id
    }

    /// Parses a load report. Returns `None` if one of the values is missing.
    pub fn load_report(&self, report: &Value) -> Option<LoadReport> {
        let values = report.as_array()?;
        let value = |index: Option<usize>| values.get(index?)?.as_f64();
        let left = value(self.report_fields.left)?;
        let limit = value(self.report_fields.limit)?;
        Some(LoadReport { left, limit })
    }

    /// Passes the events of the batch to the module and returns the module's actions.
    ///
    /// # Errors
    /// The module panicked; the error is the panic message.
    pub fn decide(&mut self, now: Nanos) -> Result<Vec<Action>, String> {
        let events = std::mem::take(&mut self.events);
        let mut actions = Vec::new();
        let balancer = &mut self.balancer;
        let result = catch_unwind(AssertUnwindSafe(|| balancer.handle(now, &events, &mut actions)));
        match result {
            Ok(()) => Ok(actions),
            Err(panic) => Err(panic_message(panic.as_ref())),
        }
    }
}

/// Returns the message of a panic.
fn panic_message(panic: &(dyn Any + Send)) -> String {
    if let Some(text) = panic.downcast_ref::<String>() {
        return text.clone();
    }
    match panic.downcast_ref::<&str>() {
        Some(text) => text.to_string(),
        None => "the decision code panicked".to_string(),
    }
}
