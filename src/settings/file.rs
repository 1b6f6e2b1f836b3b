//! The format of the platform's configuration file (JSON). Keys have the platform's names, and fields the terms of this
//! program. `check` lists the keys that the program does not use.
use super::error::SettingsError;
use crate::config_error::explain_parse_failure;
use miniserde::{json, Deserialize};
use std::path::Path;

/// The configuration file.
#[derive(Deserialize, serde::Deserialize)]
pub(super) struct ConfigFile {
    /// The forwarder's name, the same after a restart.
    pub(super) name: String,
    /// The address for platform clients, `IP:PORT`.
    pub(super) listen: String,
    /// The discovery service, `HOST:PORT`.
    pub(super) discovery: String,
    /// Seed of the random number generator, up to 16 hexadecimal digits.
    pub(super) seed: String,
    pub(super) limits: ProcessLimits,
    /// The management address, `IP:PORT`; if absent, there is no management listener.
    pub(super) mgmt: Option<String>,
    /// The endpoint list at the start.
    pub(super) known: EndpointListUpdate,
    /// The settings that all forwarders of the deployment share.
    pub(super) settings: DeploymentFile,
}

/// `limits`: resource limits of the process.
#[derive(Deserialize, serde::Deserialize)]
pub(super) struct ProcessLimits {
    /// Maximum size of the state folder in megabytes (10^6 bytes).
    pub(super) disk_mb: f64,
    /// Maximum memory of the process in megabytes (10^6 bytes), with its files in private folders.
    pub(super) memory_mb: Option<f64>,
    /// Maximum number of file descriptors of the process.
    pub(super) sockets: u32,
}

/// An update of the endpoint list: the complete list, or the changed endpoints.
#[derive(Deserialize, serde::Deserialize, Clone)]
pub struct EndpointListUpdate {
    /// The list's revision, which increases with each change.
    #[serde(rename = "rev")]
    pub revision: u64,
    /// Whether `endpoints` is the complete list; otherwise only the endpoints that changed.
    #[serde(rename = "all")]
    pub complete: bool,
    /// The complete list or the changed endpoints.
    #[serde(rename = "targets")]
    pub endpoints: Vec<ListedEndpoint>,
}

/// An endpoint in discovery's list.
#[derive(Deserialize, serde::Deserialize, Clone)]
pub struct ListedEndpoint {
    /// The endpoint's identity, unchanged for its lifetime.
    pub uid: String,
    /// The endpoint's address, `HOST:PORT`.
    #[serde(rename = "endpoint")]
    pub address: String,
    /// The name of the endpoint's zone.
    #[serde(rename = "az")]
    pub zone: Option<String>,
    /// The name of the endpoint's kind.
    #[serde(rename = "model")]
    pub kind: Option<String>,
    /// The destination that the endpoint serves.
    #[serde(rename = "pod_group")]
    pub destination: u64,
    /// `Ready`, `Terminating` or `Gone`.
    pub state: String,
    /// The endpoint's listed rate; `settings.weightKind` gives its meaning.
    #[serde(rename = "capacity_hint")]
    pub rate: Option<f64>,
}

/// `settings`: the settings that all forwarders of the deployment share.
#[derive(Deserialize, serde::Deserialize)]
pub(super) struct DeploymentFile {
    pub(super) classes: Vec<ClassEntry>,
    #[serde(rename = "familyInfo")]
    pub(super) family_info: FamilyInfo,
    pub(super) fees: Fees,
    /// Names of the endpoint kinds.
    pub(super) flavors: Vec<String>,
    pub(super) limits: DeliveryLimits,
    /// Names of the zones.
    pub(super) localities: Vec<String>,
    /// Index of the forwarder's own zone in `localities`; 0 if absent.
    #[serde(rename = "myZone")]
    pub(super) my_zone: Option<u32>,
    /// Number of forwarders in the deployment.
    #[serde(rename = "nInstances")]
    pub(super) forwarders: u32,
    /// Factor on the priority weight of a tenant's messages beyond its quota; 1 if absent.
    #[serde(rename = "overShareWorth")]
    pub(super) over_quota_weight: Option<f64>,
    /// `pushed`, or `on_request` if the endpoint list must be polled.
    #[serde(rename = "registryMode")]
    pub(super) registry_mode: Option<String>,
    pub(super) reporting: Option<Reporting>,
    /// Minimum time between two batches of decisions, in nanoseconds.
    #[serde(rename = "resolutionNs")]
    pub(super) resolution_ns: u64,
    pub(super) rules: Rules,
    pub(super) tenants: Vec<TenantEntry>,
    /// The meaning of `capacity_hint`: `nominal`, `rough` or `off`.
    #[serde(rename = "weightKind")]
    pub(super) weight_kind: Option<String>,
}

/// `settings.classes[]`: a message class.
#[derive(Deserialize, serde::Deserialize)]
pub(super) struct ClassEntry {
    pub(super) name: String,
    /// Latency objective, in nanoseconds.
    #[serde(rename = "aimNs")]
    pub(super) latency_objective_ns: u64,
    /// Nanoseconds from submission to the deadline.
    #[serde(rename = "deadlineNs")]
    pub(super) deadline_ns: u64,
    /// `repeatable`, `by_key` or `once`.
    pub(super) effect: String,
    /// Whether messages with the same ordering key are delivered in order.
    #[serde(rename = "fifoByKey")]
    pub(super) fifo_by_key: Option<bool>,
    /// Scope of the idempotency key: `all`, `zone` or `cell`.
    pub(super) group: Option<String>,
    /// Share of the priority weight that remains at the deadline, from 0 to 1.
    #[serde(rename = "lateShare")]
    pub(super) late_weight_share: f64,
    /// Priority weight.
    pub(super) points: f64,
    /// Nanoseconds for which an endpoint remembers an idempotency key.
    #[serde(rename = "windowNs")]
    pub(super) window_ns: Option<u64>,
}

/// `settings.familyInfo`: properties of the endpoints, and the number of attempts in flight.
#[derive(Deserialize, serde::Deserialize)]
pub(super) struct FamilyInfo {
    /// How a late message's weight decays: `line` or `halves`.
    pub(super) fades: Option<String>,
    /// For each kind, whether its endpoints are separate routes, each with its own limit and faults.
    #[serde(rename = "kindApart")]
    pub(super) separate_routes: Vec<bool>,
    /// For each kind, the maximum number of messages in one call.
    #[serde(rename = "perCall")]
    pub(super) max_batch: Vec<u32>,
    /// For each zone, the cost in points of a message that a separate route there accepts.
    #[serde(rename = "routeFee")]
    pub(super) route_fee: Option<Vec<f64>>,
    /// Maximum number of attempts that this forwarder has in flight at once.
    pub(super) workers: u32,
}

/// `settings.fees`: costs in points, the unit of the priority weights.
#[derive(Deserialize, serde::Deserialize)]
pub(super) struct Fees {
    /// Cost of an attempt to an endpoint in another zone.
    #[serde(rename = "crossZone")]
    pub(super) cross_zone: f64,
    /// Cost of a new connection.
    pub(super) handshake: f64,
}

/// `settings.limits`: bounds on attempts and connections.
#[derive(Deserialize, serde::Deserialize)]
pub(super) struct DeliveryLimits {
    /// Nanoseconds after which an idle connection to an endpoint closes.
    #[serde(rename = "connIdleNs")]
    pub(super) connection_idle_ns: u64,
    /// Timeout of a connect, in nanoseconds.
    #[serde(rename = "connectTimeoutNs")]
    pub(super) connect_timeout_ns: u64,
    /// Maximum Retry-After in a rejection, in nanoseconds.
    #[serde(rename = "maxRetryAfterNs")]
    pub(super) max_retry_after_ns: u64,
    /// Whether an attempt in flight may be cancelled.
    #[serde(rename = "mayCancel")]
    pub(super) may_cancel: bool,
    /// Maximum number of attempts for a message.
    #[serde(rename = "mostTries")]
    pub(super) max_attempts: u32,
    /// Maximum number of messages that are accepted and not complete.
    #[serde(rename = "openCap")]
    pub(super) max_pending: u32,
    /// Whether rejections carry a Retry-After.
    #[serde(rename = "retryAfter")]
    pub(super) retry_after: bool,
}

/// `settings.reporting`: the endpoints' load reports.
#[derive(Deserialize, serde::Deserialize)]
pub(super) struct Reporting {
    /// `inline`, `on_probe` or `off`.
    pub(super) source: String,
}

/// `settings.rules`: parameters of the delivery decisions.
#[derive(Deserialize, serde::Deserialize)]
pub(super) struct Rules {
    /// Share of its full capacity that an endpoint has at the start of its warm-up.
    #[serde(rename = "coldFrom")]
    pub(super) cold_capacity_share: f64,
    /// Multiple of its current capacity above which an endpoint is overloaded.
    #[serde(rename = "fallMultiple")]
    pub(super) overload_multiple: f64,
    /// Maximum time between two polls of the endpoint list, in nanoseconds, if it is polled.
    #[serde(rename = "mustAskInNs")]
    pub(super) poll_interval_ns: Option<u64>,
    /// Pause of an ordering key after an attempt that may still be running, in nanoseconds.
    #[serde(rename = "orderPauseNs")]
    pub(super) ordering_pause_ns: Option<u64>,
    /// Duration of the warm-up, in nanoseconds.
    #[serde(rename = "rampTimeNs")]
    pub(super) warm_up_ns: u64,
    /// Nanoseconds of overload after which an endpoint fails.
    #[serde(rename = "tipAfterNs")]
    pub(super) overload_window_ns: u64,
}

/// `settings.tenants[]`: a tenant.
#[derive(Deserialize, serde::Deserialize)]
pub(super) struct TenantEntry {
    pub(super) name: String,
    /// Quota in messages per second.
    #[serde(rename = "quotaRps")]
    pub(super) quota_rps: f64,
}

/// Reads and parses the file, ignoring unknown keys.
pub(super) fn read(path: &Path) -> Result<ConfigFile, SettingsError> {
    let text = std::fs::read_to_string(path)
        .map_err(|source| SettingsError::Read { path: path.to_path_buf(), source })?;
    json::from_str(&text).map_err(|_| SettingsError::Parse(explain_parse_failure::<ConfigFile>(path, &text)))
}
