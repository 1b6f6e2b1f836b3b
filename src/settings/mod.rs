//! The configuration and the settings in it: read at the start and on SIGHUP, into what the program uses.
pub mod check;

use crate::flags::RunFlags;
use crate::{Class, Effect, EndpointKind, IdempotencyScope, ListedRates, Nanos, Settings, ValueDecay};
use hyper::http::uri::Authority;
use miniserde::{json, Deserialize};
use sha2::{Digest, Sha256};
use std::error::Error;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// What the forwarder is told at its start.
#[derive(Clone)]
pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: String,
    /// Where operators call; none: nobody listens for them.
    pub mgmt: Option<SocketAddr>,
    pub state_dir: PathBuf,
    /// Bytes that the lasting folder may hold.
    pub disk_limit: u64,
    /// Descriptors that the process may hold.
    pub socket_limit: usize,
    pub seed: u64,
    pub initial_endpoints: EndpointListUpdate,
    pub deployment: Arc<DeploymentSettings>,
    path: PathBuf,
    before: CommandLineOverrides,
}

/// What the command line and the environment put before keys of the file.
#[derive(Clone)]
struct CommandLineOverrides {
    name: Option<String>,
    listen: Option<String>,
    discovery: Option<String>,
    mgmt: Option<String>,
}

/// The settings: the module's, and the names that the wires use.
#[derive(PartialEq)]
pub struct DeploymentSettings {
    pub module: Settings,
    pub classes: Vec<String>,
    pub tenants: Vec<String>,
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
    pub connect_timeout: Nanos,
}

/// Discovery's word on the upstream group: all of it, or what changed.
#[derive(Deserialize, serde::Deserialize, Clone)]
pub struct EndpointListUpdate {
    #[serde(rename = "rev")]
    pub revision: u64,
    #[serde(rename = "all")]
    pub complete: bool,
    #[serde(rename = "targets")]
    pub endpoints: Vec<ListedEndpoint>,
}

/// One endpoint as discovery lists it.
#[derive(Deserialize, serde::Deserialize, Clone)]
pub struct ListedEndpoint {
    pub uid: String,
    #[serde(rename = "endpoint")]
    pub address: String,
    #[serde(rename = "az")]
    pub zone: Option<String>,
    #[serde(rename = "model")]
    pub kind: Option<String>,
    #[serde(rename = "pod_group")]
    pub destination: u64,
    pub state: String,
    #[serde(rename = "capacity_hint")]
    pub rate: Option<f64>,
}

#[derive(Deserialize, serde::Deserialize)]
struct File {
    name: String,
    listen: String,
    discovery: String,
    seed: String,
    limits: Limits,
    mgmt: Option<String>,
    known: EndpointListUpdate,
    settings: Conf,
}

#[derive(Deserialize, serde::Deserialize)]
struct Limits {
    disk_mb: f64,
    sockets: u32,
}

#[derive(Deserialize, serde::Deserialize)]
struct Conf {
    classes: Vec<ConfClass>,
    #[serde(rename = "familyInfo")]
    family_info: Info,
    fees: Fees,
    flavors: Vec<String>,
    limits: ConfLimits,
    localities: Vec<String>,
    #[serde(rename = "myZone")]
    my_zone: Option<u32>,
    #[serde(rename = "nInstances")]
    n_instances: u32,
    #[serde(rename = "overShareWorth")]
    over_quota_weight: Option<f64>,
    #[serde(rename = "registryMode")]
    registry_mode: Option<String>,
    reporting: Option<Reporting>,
    #[serde(rename = "resolutionNs")]
    resolution_ns: u64,
    rules: Rules,
    tenants: Vec<Tenant>,
    #[serde(rename = "weightKind")]
    weight_kind: Option<String>,
}

#[derive(Deserialize, serde::Deserialize)]
struct ConfClass {
    name: String,
    #[serde(rename = "aimNs")]
    aim_ns: u64,
    #[serde(rename = "deadlineNs")]
    deadline_ns: u64,
    effect: String,
    #[serde(rename = "fifoByKey")]
    fifo_by_key: Option<bool>,
    group: Option<String>,
    #[serde(rename = "lateShare")]
    late_weight_share: f64,
    points: f64,
    #[serde(rename = "windowNs")]
    window_ns: Option<u64>,
}

#[derive(Deserialize, serde::Deserialize)]
struct Info {
    fades: Option<String>,
    #[serde(rename = "kindApart")]
    kind_apart: Vec<bool>,
    #[serde(rename = "perCall")]
    max_batch: Vec<u32>,
    #[serde(rename = "routeFee")]
    route_fee: Option<Vec<f64>>,
    workers: u32,
}

#[derive(Deserialize, serde::Deserialize)]
struct Fees {
    #[serde(rename = "crossZone")]
    cross_zone: f64,
    handshake: f64,
}

#[derive(Deserialize, serde::Deserialize)]
struct ConfLimits {
    #[serde(rename = "connIdleNs")]
    conn_idle_ns: u64,
    #[serde(rename = "connectTimeoutNs")]
    connect_timeout_ns: u64,
    #[serde(rename = "maxRetryAfterNs")]
    max_retry_after_ns: u64,
    #[serde(rename = "mayCancel")]
    may_cancel: bool,
    #[serde(rename = "mostTries")]
    max_attempts: u32,
    #[serde(rename = "openCap")]
    max_pending: u32,
    #[serde(rename = "retryAfter")]
    retry_after: bool,
}

#[derive(Deserialize, serde::Deserialize)]
struct Reporting {
    source: String,
}

#[derive(Deserialize, serde::Deserialize)]
struct Rules {
    #[serde(rename = "coldFrom")]
    cold_capacity_share: f64,
    #[serde(rename = "fallMultiple")]
    overload_multiple: f64,
    #[serde(rename = "mustAskInNs")]
    must_ask_in_ns: Option<u64>,
    #[serde(rename = "orderPauseNs")]
    order_pause_ns: Option<u64>,
    #[serde(rename = "rampTimeNs")]
    ramp_time_ns: u64,
    #[serde(rename = "tipAfterNs")]
    tip_after_ns: u64,
}

#[derive(Deserialize, serde::Deserialize)]
struct Tenant {
    name: String,
    #[serde(rename = "quotaRps")]
    quota_rps: f64,
}

impl DeploymentSettings {
    /// Forwarders that ask the same place for the list. A list that is pushed lies ready for each of them, at no cost
    /// to the others, and what it holds counts as told from then on: who waits for a turn breaks drains meanwhile.
    /// One that answers on request loads a place that all share.
    pub fn polling_forwarders(&self) -> usize {
        if self.module.poll_interval.is_some() {
            self.module.forwarders
        } else {
            1
        }
    }
}

impl Config {
    /// What a reload cannot change while the process runs, as far as `fresh` differs in it. `seed` and `known`
    /// only count at a start.
    pub fn keys_needing_restart(&self, fresh: &Config) -> Vec<&'static str> {
        let differs = [
            ("name", self.name != fresh.name),
            ("listen", self.listen != fresh.listen),
            ("mgmt", self.mgmt != fresh.mgmt),
            ("limits", (self.disk_limit, self.socket_limit) != (fresh.disk_limit, fresh.socket_limit)),
            ("settings", self.deployment != fresh.deployment),
        ];
        differs.into_iter().filter(|d| d.1).map(|d| d.0).collect()
    }

    /// Reads the file that the command line names; what is said there comes first.
    pub fn read(run: &RunFlags) -> Result<Config, Box<dyn Error>> {
        let path = run.files.config.clone();
        let file = read(&path)?;
        let listen = run.listen.map(|l| l.to_string());
        let mgmt = run.mgmt.map(|m| m.to_string());
        let before = CommandLineOverrides {
            name: run.override_for("name", run.name.clone(), &file.name),
            listen: run.override_for("listen", listen, &file.listen),
            discovery: run.override_for("discovery", run.discovery.clone(), &file.discovery),
            mgmt: run.override_for("mgmt", mgmt, file.mgmt.as_deref().unwrap_or_default()),
        };
        Config::new(path, run.state.clone(), file, before)
    }

    /// The same file read again; what stood before its keys still does.
    pub fn reload(&self) -> Result<Config, Box<dyn Error>> {
        Config::new(self.path.clone(), self.state_dir.clone(), read(&self.path)?, self.before.clone())
    }

    /// One number for the settings that all forwarders of a site share, whatever the order and form in which the file has
    /// them; 0 where the file cannot be read any more.
    pub fn digest(&self) -> u64 {
        let text = std::fs::read_to_string(&self.path).unwrap_or_default();
        let file: Option<serde_json::Value> = serde_json::from_str(&text).ok();
        let shared = file.as_ref().and_then(|f| f.get("settings"));
        let hash = shared.map(|s| Sha256::digest(s.to_string()));
        hash.and_then(|h| Some(u64::from_be_bytes(*h.first_chunk()?))).unwrap_or(0)
    }

    fn new(
        path: PathBuf, state: PathBuf, file: File, before: CommandLineOverrides,
    ) -> Result<Config, Box<dyn Error>> {
        let kept = before.clone();
        let listen = before.listen.unwrap_or(file.listen);
        let discovery = before.discovery.unwrap_or(file.discovery);
        let mgmt = before.mgmt.or(file.mgmt).map(|m| m.parse().map_err(|e| format!("mgmt address {m}: {e}")));
        // Found here, and not by the first watch or notice that goes there: a reload must keep what works.
        if !is_address(&discovery) {
            return Err(format!("discovery {discovery}: no address").into());
        }
        Ok(Config {
            name: before.name.unwrap_or(file.name),
            listen: listen.parse().map_err(|e| format!("listen address {listen}: {e}"))?,
            discovery,
            mgmt: mgmt.transpose()?,
            state_dir: state,
            disk_limit: (file.limits.disk_mb * 1e6) as u64,
            socket_limit: file.limits.sockets as usize,
            seed: u64::from_str_radix(&file.seed, 16).map_err(|e| format!("seed {}: {e}", file.seed))?,
            initial_endpoints: file.known,
            deployment: Arc::new(site(file.settings)),
            path,
            before: kept,
        })
    }
}

/// Whether it names a host and a port.
fn is_address(text: &str) -> bool {
    text.parse::<Authority>().ok().and_then(|a| a.port_u16()).is_some()
}

fn read(path: &Path) -> Result<File, Box<dyn Error>> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    json::from_str(&text).map_err(|_| crate::config_error::explain_parse_failure::<File>(path, &text).into())
}

fn class(c: &ConfClass) -> Class {
    let group = if c.group.as_deref() == Some("all") {
        IdempotencyScope::AllEndpoints
    } else {
        IdempotencyScope::SameZone
    };
    Class {
        latency_objective: Nanos(c.aim_ns),
        deadline: Nanos(c.deadline_ns),
        priority_weight: c.points,
        late_weight_share: c.late_weight_share,
        effect: match c.effect.as_str() {
            "repeatable" => Effect::Idempotent,
            "by_key" => Effect::IdempotentByKey { scope: group, window: Nanos(c.window_ns.unwrap_or(0)) },
            _ => Effect::AtMostOnce,
        },
        fifo_by_key: c.fifo_by_key == Some(true),
    }
}

fn site(c: Conf) -> DeploymentSettings {
    let info = &c.family_info;
    let kind = |i: usize| EndpointKind {
        separate_routes: info.kind_apart.get(i).copied().unwrap_or(false),
        max_batch: info.max_batch.get(i).map_or(1, |n| *n as usize).max(1),
    };
    let source = c.reporting.as_ref().map(|r| r.source.as_str());
    let module = Settings {
        slots: info.workers as usize,
        max_pending: c.limits.max_pending as usize,
        max_attempts: c.limits.max_attempts,
        forwarders: c.n_instances as usize,
        tick: Nanos(c.resolution_ns),
        classes: c.classes.iter().map(class).collect(),
        kinds: (0..c.flavors.len().max(info.kind_apart.len())).map(kind).collect(),
        value_decay: if info.fades.as_deref() == Some("halves") {
            ValueDecay::Halving
        } else {
            ValueDecay::Linear
        },
        tenant_quota: c.tenants.iter().map(|t| t.quota_rps).collect(),
        over_quota_weight: c.over_quota_weight.unwrap_or(1.0),
        zone: c.my_zone.unwrap_or(0) as usize,
        route_fee: info.route_fee.clone().unwrap_or_default(),
        cross_fee: c.fees.cross_zone,
        handshake_fee: c.fees.handshake,
        connection_idle_timeout: Nanos(c.limits.conn_idle_ns),
        // On these sockets a connection carries one call at a time, whatever the simulator's figure says.
        streams_per_connection: 1,
        retry_after: c.limits.retry_after.then_some(Nanos(c.limits.max_retry_after_ns)),
        may_cancel: c.limits.may_cancel,
        poll_interval: (c.registry_mode.as_deref() == Some("on_request"))
            .then_some(Nanos(c.rules.must_ask_in_ns.unwrap_or(0))),
        limits_reported: source == Some("inline"),
        listed_rates: match c.weight_kind.as_deref() {
            Some("nominal") => ListedRates::Nominal,
            Some("rough") => ListedRates::Approximate,
            _ => ListedRates::Absent,
        },
        cold_capacity_share: c.rules.cold_capacity_share,
        warm_up: Nanos(c.rules.ramp_time_ns),
        overload_multiple: c.rules.overload_multiple,
        overload_window: Nanos(c.rules.tip_after_ns),
        ordering_pause: Nanos(c.rules.order_pause_ns.unwrap_or(0)),
    };
    DeploymentSettings {
        module,
        classes: c.classes.into_iter().map(|c| c.name).collect(),
        tenants: c.tenants.into_iter().map(|t| t.name).collect(),
        zones: c.localities,
        kinds: c.flavors,
        connect_timeout: Nanos(c.limits.connect_timeout_ns),
    }
}
