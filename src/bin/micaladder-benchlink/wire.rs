//! State of the adapter: the instances, the numbered endpoint lists and the current batch.
use crate::actions;
use crate::error::LineError;
use crate::events;
use crate::instance::Instance;
use micaladder::Nanos;
use serde::Deserialize;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::io::{self, Write};

/// An entry of an endpoint list in the simulator's JSON format.
#[derive(Deserialize, Clone)]
pub(crate) struct WireEntry {
    /// Address of the endpoint.
    pub host: String,
    /// Zone of the endpoint.
    #[serde(rename = "hall", default)]
    pub zone: usize,
    /// Kind of the endpoint.
    #[serde(rename = "classOfHost", default)]
    pub kind: usize,
    /// Destination that the endpoint serves.
    #[serde(rename = "cell", default)]
    pub dest: u64,
    /// State of the endpoint.
    pub lifecycle: String,
    /// Listed rate of the endpoint, in calls per second.
    #[serde(rename = "nominal", default)]
    pub rate: Option<f64>,
}

/// Returns the string in a field.
pub(crate) fn text<'a>(value: &'a Value, field: &'static str) -> Result<&'a str, LineError> {
    value[field].as_str().ok_or(LineError::NotAString(field))
}

/// Returns the non-negative integer in a field.
pub(crate) fn integer(value: &Value, field: &'static str) -> Result<u64, LineError> {
    value[field].as_u64().ok_or(LineError::NotAnInteger(field))
}

/// State of the adapter between two lines.
#[derive(Default)]
pub(crate) struct AdapterState {
    /// Clock time of the batch in nanoseconds.
    now: u64,
    /// Running instances by name.
    instances: BTreeMap<String, Instance>,
    /// Endpoint lists by number.
    lists: BTreeMap<u64, Vec<WireEntry>>,
    /// Names of the instances with an event in the batch, in the order of their first event.
    active: Vec<String>,
}

impl AdapterState {
    /// Handles a line of a batch.
    pub fn handle_line(&mut self, value: &Value) -> Result<(), LineError> {
        match text(value, "what")? {
            "clock" => self.now = integer(value, "momentNs")?,
            "manifest" => self.define_list(value)?,
            "powerOn" => self.start(value)?,
            "halt" => self.stop(text(value, "relayId")?),
            kind => self.event(kind, value)?,
        }
        Ok(())
    }

    /// Defines a numbered endpoint list, which replaces an earlier list with the same number.
    fn define_list(&mut self, value: &Value) -> Result<(), LineError> {
        let entries = serde_json::from_value(value["membersList"].clone());
        let number = integer(value, "setId")?;
        self.lists.insert(number, entries.map_err(LineError::Entries)?);
        Ok(())
    }

    /// Starts an instance. An instance that is already running is restarted without its state.
    fn start(&mut self, value: &Value) -> Result<(), LineError> {
        let name = text(value, "relayId")?.to_string();
        let settings = &value["conf"];
        if !settings.is_object() {
            return Err(LineError::NoSettings);
        }
        let instance = Instance::new(settings, integer(value, "randomSeed")?);
        self.instances.insert(name.clone(), instance);
        self.active.retain(|active| *active != name);
        self.active.push(name);
        Ok(())
    }

    /// Stops an instance and discards its state.
    fn stop(&mut self, name: &str) {
        self.instances.remove(name);
        self.active.retain(|active| active != name);
    }

    /// Adds an event to the batch of its instance. Events for unknown instances are ignored, since the instance may have been
    /// stopped.
    fn event(&mut self, kind: &str, value: &Value) -> Result<(), LineError> {
        let name = text(value, "relayId")?;
        let Some(instance) = self.instances.get_mut(name) else { return Ok(()) };
        if !self.active.iter().any(|active| active == name) {
            self.active.push(name.to_string());
        }
        let event = events::parse(kind, value, instance, &self.lists)?;
        instance.events.extend(event);
        Ok(())
    }

    /// Ends the batch: writes the actions of each instance with an event to `out`.
    pub fn reply(&mut self, out: &mut impl Write) -> io::Result<()> {
        for name in std::mem::take(&mut self.active) {
            let Some(instance) = self.instances.get_mut(&name) else { continue };
            match instance.decide(Nanos(self.now)) {
                Ok(actions) => {
                    for action in &actions {
                        writeln!(out, "{}", actions::to_json(&name, action, &instance.endpoint_names))?;
                    }
                }
                Err(panic_message) => {
                    writeln!(out, "{}", json!({"what": "die", "relayId": name, "text": panic_message}))?
                }
            }
        }
        writeln!(out, "{}", json!({"what": "end"}))?;
        out.flush()
    }
}
