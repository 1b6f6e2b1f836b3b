//! Conversion of the simulator's JSON lines to events of the decision module.
use crate::error::LineError;
use crate::instance::Instance;
use crate::settings::nanos;
use crate::wire::{integer, text, WireEntry};
use micaladder::{
    AttemptEnded, DestinationId, EndpointEntry, EndpointState, Event, Message, MessageId, Nanos, Outcome,
};
use serde_json::Value;
use std::collections::BTreeMap;

/// Nanoseconds in a millisecond, the unit of Retry-After in the field `note`.
const NANOS_PER_MILLISECOND: u64 = 1_000_000;
/// Hex digits of a message id.
const ID_DIGITS: usize = 16;

/// Parses an event for an instance. Returns `None` for unknown events and for those that the module does not use.
///
/// # Errors
/// A field is missing or malformed.
pub(crate) fn parse(
    kind: &str, value: &Value, instance: &mut Instance, lists: &BTreeMap<u64, Vec<WireEntry>>,
) -> Result<Option<Event>, LineError> {
    match kind {
        "targets" => endpoint_list(value, instance, lists).map(Some),
        "workItem" => message(value).map(Some),
        "reportBack" => attempt_ended(value, instance),
        "clientLeft" => Ok(Some(Event::Withdrawn(message_id(value)?))),
        "due" => Ok(Some(Event::Due)),
        // The module does not use streams, probes and notes between instances.
        _ => Ok(None),
    }
}

/// Parses an update of the endpoint list, or the failure to obtain one.
fn endpoint_list(
    value: &Value, instance: &mut Instance, lists: &BTreeMap<u64, Vec<WireEntry>>,
) -> Result<Event, LineError> {
    let form = text(value, "form")?;
    if form == "unavailable" {
        return Ok(Event::EndpointListFailed);
    }
    let number = integer(value, "setId")?;
    let list = lists.get(&number).ok_or(LineError::UnknownList(number))?;
    let mut entries = Vec::with_capacity(list.len());
    for entry in list {
        entries.push(endpoint_entry(instance, entry)?);
    }
    Ok(Event::EndpointList { complete: form != "update", entries })
}

/// Converts an entry of an endpoint list.
fn endpoint_entry(instance: &mut Instance, entry: &WireEntry) -> Result<EndpointEntry, LineError> {
    let state = match entry.lifecycle.as_str() {
        "Running" => EndpointState::Running,
        "Stopping" => EndpointState::Draining,
        "Deleted" => EndpointState::Removed,
        other => return Err(LineError::UnknownLifecycle(other.to_string())),
    };
    Ok(EndpointEntry {
        host: instance.endpoint_id(&entry.host),
        zone: entry.zone,
        kind: entry.kind,
        dest: DestinationId(entry.dest),
        state,
        rate: entry.rate.unwrap_or(0.0),
    })
}

/// Parses a new message.
fn message(value: &Value) -> Result<Event, LineError> {
    Ok(Event::Message(Message {
        id: message_id(value)?,
        class: integer(value, "type")? as usize,
        tenant: value["customer"].as_u64().unwrap_or(0) as usize,
        key: value["key"].as_u64(),
        dest: DestinationId(integer(value, "dest")?),
        deadline: Nanos(integer(value, "notAfterNs")?),
    }))
}

/// Parses the end of an attempt. Returns `None` for an unknown outcome code.
fn attempt_ended(value: &Value, instance: &Instance) -> Result<Option<Event>, LineError> {
    let note = value["note"].as_u64().unwrap_or(0);
    let Some(outcome) = outcome(integer(value, "code")?, note) else { return Ok(None) };
    Ok(Some(Event::AttemptEnded(AttemptEnded {
        id: message_id(value)?,
        attempt: integer(value, "sendNo")? as u32,
        outcome,
        over: value["over"] == true,
        took: nanos(&value["rttNs"]),
        report: instance.load_report(&value["telemetry"]),
    })))
}

/// Returns the outcome of a code. `note` holds the Retry-After in milliseconds, or 0 if there is none.
fn outcome(code: u64, note: u64) -> Option<Outcome> {
    let outcome = match code {
        0 => Outcome::Ok,
        255 => Outcome::Error,
        254 => Outcome::Rejected((note > 0).then(|| Nanos(note.saturating_mul(NANOS_PER_MILLISECOND)))),
        253 => Outcome::Timeout,
        252 => Outcome::ConnectFailed,
        251 => Outcome::Reset,
        250 => Outcome::Cancelled,
        249 => Outcome::Skipped,
        _ => return None,
    };
    Some(outcome)
}

/// Parses the message id of an event.
fn message_id(value: &Value) -> Result<MessageId, LineError> {
    let id = text(value, "req")?;
    if id.len() != ID_DIGITS {
        return Err(LineError::IdLength(id.to_string()));
    }
    let number = u64::from_str_radix(id, 16).map_err(|_| LineError::IdNotHex(id.to_string()))?;
    Ok(MessageId(number))
}
