//! The wire's state: the instances, the numbered endpoint lists and the batch that is being read.
use crate::actions;
use crate::error::LineError;
use crate::events;
use crate::instance::Instance;
use micaladder::Nanos;
use serde::Deserialize;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::io::{self, Write};

/// An entry of an endpoint list, as the wire names its fields.
#[derive(Deserialize, Clone)]
pub(crate) struct WireEntry {
    /// Address of the endpoint.
    pub host: String,
    /// Its zone.
    #[serde(rename = "hall", default)]
    pub zone: usize,
    /// Its kind.
    #[serde(rename = "classOfHost", default)]
    pub kind: usize,
    /// Its destination.
    #[serde(rename = "cell", default)]
    pub dest: u64,
    /// Its state.
    pub lifecycle: String,
    /// Its listed rate in calls a second.
    #[serde(rename = "nominal", default)]
    pub rate: Option<f64>,
}

/// The text of a field.
pub(crate) fn text<'a>(value: &'a Value, field: &'static str) -> Result<&'a str, LineError> {
    value[field].as_str().ok_or(LineError::NotText(field))
}

/// The whole number of a field.
pub(crate) fn whole_number(value: &Value, field: &'static str) -> Result<u64, LineError> {
    value[field].as_u64().ok_or(LineError::NotWholeNumber(field))
}

/// What the adapter knows between two lines.
#[derive(Default)]
pub(crate) struct Wire {
    /// Clock time of the batch in nanoseconds.
    now: u64,
    /// Running instances by their names.
    instances: BTreeMap<String, Instance>,
    /// Endpoint lists by their numbers.
    lists: BTreeMap<u64, Vec<WireEntry>>,
    /// Instances with an event in this batch, in the order of their first one.
    touched: Vec<String>,
}

impl Wire {
    /// Takes in a line of a batch.
    pub fn take(&mut self, value: &Value) -> Result<(), LineError> {
        match text(value, "what")? {
            "clock" => self.now = whole_number(value, "momentNs")?,
            "manifest" => self.define_list(value)?,
            "powerOn" => self.start(value)?,
            "halt" => self.stop(text(value, "relayId")?),
            kind => self.event(kind, value)?,
        }
        Ok(())
    }

    /// Defines a numbered endpoint list; a new one replaces the old one of its number.
    fn define_list(&mut self, value: &Value) -> Result<(), LineError> {
        let entries = serde_json::from_value(value["membersList"].clone());
        let number = whole_number(value, "setId")?;
        self.lists.insert(number, entries.map_err(LineError::Entries)?);
        Ok(())
    }

    /// Starts an instance, or starts it again with nothing known.
    fn start(&mut self, value: &Value) -> Result<(), LineError> {
        let name = text(value, "relayId")?.to_string();
        let settings = &value["conf"];
        if !settings.is_object() {
            return Err(LineError::NoSettings);
        }
        let instance = Instance::new(settings, whole_number(value, "randomSeed")?);
        self.instances.insert(name.clone(), instance);
        self.touched.retain(|touched| *touched != name);
        self.touched.push(name);
        Ok(())
    }

    /// Stops an instance and drops all that it knew.
    fn stop(&mut self, name: &str) {
        self.instances.remove(name);
        self.touched.retain(|touched| touched != name);
    }

    /// Events for an unknown instance are ignored: it may have been stopped.
    fn event(&mut self, kind: &str, value: &Value) -> Result<(), LineError> {
        let name = text(value, "relayId")?;
        let Some(instance) = self.instances.get_mut(name) else { return Ok(()) };
        if !self.touched.iter().any(|touched| touched == name) {
            self.touched.push(name.to_string());
        }
        let event = events::read(kind, value, instance, &self.lists)?;
        instance.events.extend(event);
        Ok(())
    }

    /// Lets the instances of the batch decide, and writes their actions.
    pub fn reply(&mut self, out: &mut impl Write) -> io::Result<()> {
        for name in std::mem::take(&mut self.touched) {
            let Some(instance) = self.instances.get_mut(&name) else { continue };
            match instance.decide(Nanos(self.now)) {
                Ok(decided) => {
                    for action in &decided {
                        writeln!(out, "{}", actions::write(&name, action, &instance.endpoint_names))?;
                    }
                }
                Err(text) => writeln!(out, "{}", json!({"what": "die", "relayId": name, "text": text}))?,
            }
        }
        writeln!(out, "{}", json!({"what": "end"}))?;
        out.flush()
    }
}
