//! Adapter between the simulator's wire (one JSON value a line) and the decision module. It translates only.
#![forbid(unsafe_code)]

use micaladder::*;
use serde::Deserialize;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::io::{self, BufRead, Write};
use std::panic::{catch_unwind, AssertUnwindSafe};

#[derive(Deserialize, Clone)]
struct WireEntry {
    host: String,
    #[serde(default)]
    hall: usize,
    #[serde(rename = "classOfHost", default)]
    kind: usize,
    #[serde(default)]
    cell: u64,
    lifecycle: String,
    #[serde(default)]
    nominal: Option<f64>,
}

/// One relay: its module and the names of the hosts that it was told of.
struct Instance {
    balancer: Balancer,
    numbers: BTreeMap<String, EndpointId>,
    names: Vec<String>,
    events: Vec<Event>,
    reports: (Option<usize>, Option<usize>),
}

impl Instance {
    fn number(&mut self, name: &str) -> EndpointId {
        if let Some(h) = self.numbers.get(name) {
            return *h;
        }
        let host = EndpointId(self.names.len() as u32);
        self.names.push(name.to_string());
        self.numbers.insert(name.to_string(), host);
        host
    }
}

#[derive(Default)]
struct Wire {
    now: u64,
    instances: BTreeMap<String, Instance>,
    lists: BTreeMap<u64, Vec<WireEntry>>,
    /// Instances with an event in this batch, in order of their first.
    touched: Vec<String>,
}

type Fault = String;

fn text<'a>(v: &'a Value, key: &str) -> Result<&'a str, Fault> {
    v[key].as_str().ok_or_else(|| format!("field {key} is missing or not a text"))
}

fn number(v: &Value, key: &str) -> Result<u64, Fault> {
    v[key].as_u64().ok_or_else(|| format!("field {key} is missing or not a whole number"))
}

fn message_id(v: &Value) -> Result<MessageId, Fault> {
    let id = text(v, "req")?;
    if id.len() != 16 {
        return Err(format!("field req is not 16 hex digits: {id}"));
    }
    u64::from_str_radix(id, 16).map(MessageId).map_err(|_| format!("field req is not hex: {id}"))
}

fn outcome(code: u64, note: u64) -> Option<Outcome> {
    Some(match code {
        0 => Outcome::Ok,
        255 => Outcome::Error,
        254 => Outcome::Rejected((note > 0).then(|| Nanos(note.saturating_mul(1_000_000)))),
        253 => Outcome::Timeout,
        252 => Outcome::ConnectFailed,
        251 => Outcome::Reset,
        250 => Outcome::Cancelled,
        249 => Outcome::Skipped,
        _ => return None,
    })
}

fn nanos(v: &Value) -> Nanos {
    Nanos(v.as_u64().unwrap_or(0))
}

fn floats(v: &Value) -> Vec<f64> {
    v.as_array().map(|a| a.iter().map(|x| x.as_f64().unwrap_or(0.0)).collect()).unwrap_or_default()
}

fn class(c: &Value) -> Class {
    let group = if c["group"] == "all" { IdempotencyScope::AllEndpoints } else { IdempotencyScope::SameZone };
    Class {
        latency_objective: nanos(&c["aimNs"]),
        deadline: nanos(&c["deadlineNs"]),
        priority_weight: c["points"].as_f64().unwrap_or(1.0),
        late_weight_share: c["lateShare"].as_f64().unwrap_or(0.0),
        effect: match c["effect"].as_str() {
            Some("repeatable") => Effect::Idempotent,
            Some("by_key") => Effect::IdempotentByKey { scope: group, window: nanos(&c["windowNs"]) },
            _ => Effect::AtMostOnce,
        },
        fifo_by_key: c["fifoByKey"].as_bool().unwrap_or(false),
    }
}

fn settings(c: &Value) -> Settings {
    let (info, limits, rules, fees) = (&c["familyInfo"], &c["limits"], &c["rules"], &c["fees"]);
    let float = |v: &Value| v.as_f64().unwrap_or(0.0);
    let count = |v: &Value| v.as_u64().unwrap_or(0) as usize;
    let apart = info["kindApart"].as_array().cloned().unwrap_or_default();
    let max_batch = info["perCall"].as_array().cloned().unwrap_or_default();
    let kinds = apart.len().max(max_batch.len()).max(c["flavors"].as_array().map_or(0, Vec::len));
    let kind = |i: usize| EndpointKind {
        separate_routes: apart.get(i).and_then(Value::as_bool).unwrap_or(false),
        max_batch: max_batch.get(i).map_or(1, count).max(1),
    };
    Settings {
        slots: count(&info["workers"]),
        max_pending: count(&limits["openCap"]),
        max_attempts: limits["mostTries"].as_u64().unwrap_or(1) as u32,
        forwarders: count(&c["nInstances"]),
        tick: nanos(&c["resolutionNs"]),
        classes: c["classes"].as_array().map(|a| a.iter().map(class).collect()).unwrap_or_default(),
        kinds: (0..kinds).map(kind).collect(),
        value_decay: if info["fades"] == "halves" { ValueDecay::Halving } else { ValueDecay::Linear },
        tenant_quota: c["tenants"]
            .as_array()
            .map(|a| a.iter().map(|t| float(&t["quotaRps"])).collect())
            .unwrap_or_default(),
        over_quota_weight: c["overShareWorth"].as_f64().unwrap_or(1.0),
        zone: count(&c["myZone"]),
        route_fee: floats(&info["routeFee"]),
        cross_fee: float(&fees["crossZone"]),
        handshake_fee: float(&fees["handshake"]),
        connection_idle_timeout: nanos(&limits["connIdleNs"]),
        streams_per_connection: limits["maxStreams"].as_u64().unwrap_or(1) as u32,
        retry_after: (limits["retryAfter"] == true).then(|| nanos(&limits["maxRetryAfterNs"])),
        may_cancel: limits["mayCancel"] == true,
        poll_interval: (c["registryMode"] == "on_request").then(|| nanos(&rules["mustAskInNs"])),
        limits_reported: c["reporting"]["source"] == "inline",
        listed_rates: match c["weightKind"].as_str() {
            Some("nominal") => ListedRates::Nominal,
            Some("rough") => ListedRates::Approximate,
            _ => ListedRates::Absent,
        },
        cold_capacity_share: float(&rules["coldFrom"]),
        warm_up: nanos(&rules["rampTimeNs"]),
        overload_multiple: float(&rules["fallMultiple"]),
        overload_window: nanos(&rules["tipAfterNs"]),
        ordering_pause: nanos(&rules["orderPauseNs"]),
    }
}

impl Wire {
    fn take(&mut self, v: &Value) -> Result<(), Fault> {
        match text(v, "what")? {
            "clock" => self.now = number(v, "momentNs")?,
            "manifest" => {
                let lines = serde_json::from_value(v["membersList"].clone());
                self.lists.insert(number(v, "setId")?, lines.map_err(|e| format!("membersList: {e}"))?);
            }
            "powerOn" => self.start(v)?,
            "halt" => {
                let name = text(v, "relayId")?;
                self.instances.remove(name);
                self.touched.retain(|t| t != name);
            }
            what => self.event(what, v)?,
        }
        Ok(())
    }

    fn start(&mut self, v: &Value) -> Result<(), Fault> {
        let name = text(v, "relayId")?.to_string();
        let conf = &v["conf"];
        if !conf.is_object() {
            return Err("field conf is missing or not an object".into());
        }
        let place = |n: &str| conf["reporting"]["names"].as_array()?.iter().position(|x| x == n);
        let instance = Instance {
            balancer: Balancer::new(settings(conf), number(v, "randomSeed")?),
            numbers: BTreeMap::new(),
            names: Vec::new(),
            events: Vec::new(),
            reports: (place("x0"), place("x1")),
        };
        self.instances.insert(name.clone(), instance);
        self.touched.retain(|t| *t != name);
        self.touched.push(name);
        Ok(())
    }

    fn event(&mut self, what: &str, v: &Value) -> Result<(), Fault> {
        let name = text(v, "relayId")?;
        let Some(instance) = self.instances.get_mut(name) else { return Ok(()) };
        if !self.touched.iter().any(|t| t == name) {
            self.touched.push(name.to_string());
        }
        let event = match what {
            "targets" => match text(v, "form")? {
                "unavailable" => Event::EndpointListFailed,
                form => {
                    let set = number(v, "setId")?;
                    let lines = self.lists.get(&set).ok_or_else(|| format!("no manifest numbered {set}"))?;
                    let entries = lines.iter().map(|e| entry(instance, e)).collect::<Result<_, _>>()?;
                    Event::EndpointList { complete: form != "update", entries }
                }
            },
            "workItem" => Event::Message(Message {
                id: message_id(v)?,
                class: number(v, "type")? as usize,
                tenant: v["customer"].as_u64().unwrap_or(0) as usize,
                key: v["key"].as_u64(),
                dest: DestinationId(number(v, "dest")?),
                deadline: Nanos(number(v, "notAfterNs")?),
            }),
            "reportBack" => {
                let Some(outcome) = outcome(number(v, "code")?, v["note"].as_u64().unwrap_or(0)) else {
                    return Ok(());
                };
                Event::AttemptEnded(AttemptEnded {
                    id: message_id(v)?,
                    attempt: number(v, "sendNo")? as u32,
                    outcome,
                    over: v["over"] == true,
                    took: nanos(&v["rttNs"]),
                    report: report(&v["telemetry"], instance.reports),
                })
            }
            "clientLeft" => Event::Withdrawn(message_id(v)?),
            "due" => Event::Due,
            // Streams, probes and notes between relays are not used; later kinds of event are passed over.
            _ => return Ok(()),
        };
        instance.events.push(event);
        Ok(())
    }

    fn reply(&mut self, out: &mut impl Write) -> io::Result<()> {
        for name in std::mem::take(&mut self.touched) {
            let Some(instance) = self.instances.get_mut(&name) else { continue };
            let events = std::mem::take(&mut instance.events);
            let (now, mut actions) = (Nanos(self.now), Vec::new());
            let balancer = &mut instance.balancer;
            let done = catch_unwind(AssertUnwindSafe(|| balancer.handle(now, &events, &mut actions)));
            if let Err(panic) = done {
                let text = (panic.downcast_ref::<String>().map(String::as_str))
                    .or_else(|| panic.downcast_ref::<&str>().copied())
                    .unwrap_or("the decision code panicked");
                writeln!(out, "{}", json!({"what": "die", "relayId": name, "text": text}))?;
                continue;
            }
            for action in &actions {
                writeln!(out, "{}", render(&name, action, &instance.names))?;
            }
        }
        writeln!(out, "{}", json!({"what": "end"}))?;
        out.flush()
    }
}

fn entry(instance: &mut Instance, e: &WireEntry) -> Result<EndpointEntry, Fault> {
    Ok(EndpointEntry {
        host: instance.number(&e.host),
        zone: e.hall,
        kind: e.kind,
        dest: DestinationId(e.cell),
        state: match e.lifecycle.as_str() {
            "Running" => EndpointState::Running,
            "Stopping" => EndpointState::Draining,
            "Deleted" => EndpointState::Removed,
            other => return Err(format!("lifecycle is none that is known: {other}")),
        },
        rate: e.nominal.unwrap_or(0.0),
    })
}

fn report(row: &Value, (left, limit): (Option<usize>, Option<usize>)) -> Option<LoadReport> {
    let row = row.as_array()?;
    let at = |i: Option<usize>| i.and_then(|i| row.get(i)).and_then(Value::as_f64);
    Some(LoadReport { left: at(left)?, limit: at(limit)? })
}

fn render(relay: &str, action: &Action, names: &[String]) -> Value {
    let req = |id: &MessageId| format!("{:016x}", id.0);
    match action {
        Action::Send { id, host, timeout } => json!({"what": "issue", "relayId": relay, "req": req(id),
            "patienceNs": timeout.0, "host": names.get(host.0 as usize)}),
        Action::Cancel { id, attempt } => {
            json!({"what": "dropAttempt", "relayId": relay, "req": req(id), "sendNo": attempt})
        }
        Action::Reject { id, after } => json!({"what": "decline", "relayId": relay, "req": req(id),
            "coolDownNs": after.map(|t| t.0)}),
        Action::Fail(id) => json!({"what": "dropRequest", "relayId": relay, "req": req(id)}),
        Action::WakeAt(t) => json!({"what": "notifyMe", "relayId": relay, "timeNs": t.0, "label": "wake"}),
        Action::CloseIdle(host) => {
            json!({"what": "release", "relayId": relay, "host": names.get(host.0 as usize)})
        }
        Action::WatchEndpointList => json!({"what": "tail", "relayId": relay, "enable": true}),
        Action::Log { text, host } => {
            let place = host.and_then(|h| names.get(h.0 as usize)).map(|n| format!(" ({n})"));
            json!({"what": "debug", "relayId": relay, "text": format!("{text}{}", place.unwrap_or_default())})
        }
    }
}

fn run() -> Result<(), Fault> {
    // A panic is reported on the wire; its usual message would only clutter standard error.
    std::panic::set_hook(Box::new(|_| {}));
    let mut wire = Wire::default();
    let mut out = io::BufWriter::new(io::stdout().lock());
    for (n, line) in io::stdin().lock().lines().enumerate() {
        let at = |e: Fault| format!("line {}: {e}", n + 1);
        let line = line.map_err(|e| at(e.to_string()))?;
        if line.trim().is_empty() {
            continue;
        }
        let value: Value = serde_json::from_str(&line).map_err(|e| at(format!("not JSON: {e}")))?;
        if !value.is_object() {
            return Err(at("not a JSON object".into()));
        }
        if value["what"] == "go" {
            wire.reply(&mut out).map_err(|e| format!("cannot write the reply: {e}"))?;
        } else {
            wire.take(&value).map_err(at)?;
        }
    }
    Ok(())
}

fn main() {
    if let Err(fault) = run() {
        eprintln!("micaladder-benchlink: {fault}");
        std::process::exit(2);
    }
}
