//! Reports all errors in the configuration file: unknown keys, unknown values and numbers out of range.
use super::file::{ClassEntry, ConfigFile, DeploymentFile, EndpointListUpdate, FamilyInfo, TenantEntry};
use super::{is_host_and_port, DeploymentSettings};
use crate::config_error::{ConfigError, ConfigErrors};
use std::path::Path;

/// Minimum of `limits.disk_mb`: less has no room for one message of 64 KiB beside the journal's reserve.
const MIN_DISK_MB: f64 = 0.2;
/// Minimum of `limits.memory_mb`: less has no room for the program, some clients and messages.
const MIN_MEMORY_MB: f64 = 48.0;
/// Minimum of `limits.sockets`: a third of the descriptors is for clients, the rest for discovery, the endpoints and the
/// files. With fewer, hardly any would be left for clients.
const MIN_SOCKETS: u32 = 16;

/// Keys of the platform's file that this program does not use, with `[]` for any index.
const UNUSED_KEYS: [&str; 34] = [
    "known.targets[].boot_ms",
    "limits.cores",
    "settings.classes[].aimStretch",
    "settings.classes[].streamed",
    "settings.clients",
    "settings.family",
    "settings.familyInfo.notes",
    "settings.familyInfo.refusalCost",
    "settings.familyInfo.reportX0",
    "settings.familyInfo.reportX1",
    "settings.fees.connection",
    "settings.fees.fleet",
    "settings.fees.lateFail",
    "settings.fees.moves",
    "settings.fees.origin",
    "settings.fees.peer",
    "settings.fees.probe",
    "settings.fees.registryMode",
    "settings.fees.waste",
    "settings.goal",
    "settings.layers",
    "settings.limits.cpuUsPerRequest",
    "settings.limits.cpuUsPerS",
    "settings.limits.maxStreams",
    "settings.limits.mayProbe",
    "settings.limits.mayTell",
    "settings.limits.secondCopies",
    "settings.me",
    "settings.reporting.names",
    "settings.rules.answerSlackNs",
    "settings.rules.stopSendingWithinNs",
    "settings.tenants[].share",
    "settings.tier",
    "settings.valueBy",
];

/// Checks the file. Returns all errors, and the deployment's settings if the file can be parsed.
pub fn check_file(path: &Path) -> (Vec<ConfigError>, Option<DeploymentSettings>) {
    let mut errors = ConfigErrors::new(path);
    let text = match std::fs::read_to_string(path) {
        Ok(text) => text,
        Err(error) => {
            errors.add("", error);
            return (errors.errors, None);
        }
    };
    let Some(file) = errors.parse_json::<ConfigFile>(&text, &UNUSED_KEYS) else {
        return (errors.errors, None);
    };
    check_process(&file, &mut errors);
    check_deployment(&file.settings, &mut errors);
    check_endpoints(&file.known, &file.settings, &mut errors);
    (errors.errors, Some(file.settings.into()))
}

/// Checks the keys that belong to this forwarder alone.
fn check_process(file: &ConfigFile, errors: &mut ConfigErrors) {
    errors.require(!file.name.is_empty(), "name", "is empty");
    errors.require_socket_address(&file.listen, "listen");
    if let Some(mgmt) = &file.mgmt {
        errors.require_socket_address(mgmt, "mgmt");
    }
    let discovery = &file.discovery;
    errors.require(is_host_and_port(discovery), "discovery", format!("not HOST:PORT: {discovery:?}"));
    if u64::from_str_radix(&file.seed, 16).is_err() {
        errors.add("seed", format!("not up to 16 hexadecimal digits: {:?}", file.seed));
    }
    let limits = &file.limits;
    errors.require(
        limits.disk_mb >= MIN_DISK_MB,
        "limits.disk_mb",
        "too small for a message; must be at least 0.2",
    );
    errors.require(
        limits.memory_mb.is_none_or(|memory_mb| memory_mb >= MIN_MEMORY_MB),
        "limits.memory_mb",
        "too small for the program; must be at least 48",
    );
    errors.require(
        limits.sockets >= MIN_SOCKETS,
        "limits.sockets",
        "too few to serve clients; must be at least 16",
    );
}

/// Checks the keys that all forwarders of the deployment share.
fn check_deployment(settings: &DeploymentFile, errors: &mut ConfigErrors) {
    check_classes(&settings.classes, errors);
    check_tenants(&settings.tenants, errors);
    check_family_info(&settings.family_info, errors);
    check_limits(settings, errors);
    check_modes(settings, errors);
    let zone = settings.my_zone.unwrap_or(0) as usize;
    let zone_count = settings.localities.len().max(1);
    errors.require(zone < zone_count, "settings.myZone", "is not an index of settings.localities");
    let rules = &settings.rules;
    errors.require(rules.cold_capacity_share > 0.0, "settings.rules.coldFrom", "is not above 0");
    errors.require(rules.overload_multiple > 0.0, "settings.rules.fallMultiple", "is not above 0");
}

fn check_classes(classes: &[ClassEntry], errors: &mut ConfigErrors) {
    errors.require(!classes.is_empty(), "settings.classes", "is empty");
    let names = classes.iter().map(|c| c.name.as_str());
    errors.reject_duplicates(names, |i| format!("settings.classes[{i}].name"));
    for (i, class) in classes.iter().enumerate() {
        let key = |k: &str| format!("settings.classes[{i}].{k}");
        errors.require_one_of(Some(&class.effect), &["repeatable", "by_key", "once"], key("effect"));
        errors.require_one_of(class.group.as_deref(), &["all", "zone", "cell"], key("group"));
        errors.require(class.deadline_ns > 0, key("deadlineNs"), "is 0");
        let objective_in_time = class.latency_objective_ns <= class.deadline_ns;
        errors.require(objective_in_time, key("aimNs"), "is greater than deadlineNs");
        let is_share = (0.0..=1.0).contains(&class.late_weight_share);
        errors.require(is_share, key("lateShare"), "is not from 0 to 1");
        errors.require(class.points >= 0.0, key("points"), "is below 0");
        let has_window = class.effect != "by_key" || class.window_ns.is_some();
        errors.require(has_window, key("windowNs"), "is missing; it is required if effect is by_key");
    }
}

fn check_tenants(tenants: &[TenantEntry], errors: &mut ConfigErrors) {
    let names = tenants.iter().map(|t| t.name.as_str());
    errors.reject_duplicates(names, |i| format!("settings.tenants[{i}].name"));
    for (i, tenant) in tenants.iter().enumerate() {
        errors.require(tenant.quota_rps >= 0.0, format!("settings.tenants[{i}].quotaRps"), "is below 0");
    }
}

fn check_family_info(info: &FamilyInfo, errors: &mut ConfigErrors) {
    errors.require_one_of(info.fades.as_deref(), &["line", "halves"], "settings.familyInfo.fades");
    errors.require(info.workers > 0, "settings.familyInfo.workers", "is 0; no message would be sent");
}

fn check_limits(settings: &DeploymentFile, errors: &mut ConfigErrors) {
    let limits = &settings.limits;
    errors.require(limits.max_pending > 0, "settings.limits.openCap", "is 0; no message would be accepted");
    errors.require(limits.max_attempts > 0, "settings.limits.mostTries", "is 0; no message would be sent");
    errors.require(settings.forwarders > 0, "settings.nInstances", "is 0");
}

fn check_modes(settings: &DeploymentFile, errors: &mut ConfigErrors) {
    let mode = settings.registry_mode.as_deref();
    errors.require_one_of(mode, &["pushed", "on_request"], "settings.registryMode");
    let source = settings.reporting.as_ref().map(|r| r.source.as_str());
    errors.require_one_of(source, &["inline", "on_probe", "off"], "settings.reporting.source");
    let weight_kind = settings.weight_kind.as_deref();
    errors.require_one_of(weight_kind, &["nominal", "rough", "off"], "settings.weightKind");
}

/// Checks the initial endpoint list against the zones and kinds in the settings.
fn check_endpoints(known: &EndpointListUpdate, settings: &DeploymentFile, errors: &mut ConfigErrors) {
    let uids = known.endpoints.iter().map(|e| e.uid.as_str());
    errors.reject_duplicates(uids, |i| format!("known.targets[{i}].uid"));
    for (i, endpoint) in known.endpoints.iter().enumerate() {
        let key = |k: &str| format!("known.targets[{i}].{k}");
        let address = &endpoint.address;
        errors.require(is_host_and_port(address), key("endpoint"), format!("not HOST:PORT: {address:?}"));
        errors.require_known(
            &endpoint.zone,
            &settings.localities,
            key("az"),
            "is not in settings.localities",
        );
        errors.require_known(&endpoint.kind, &settings.flavors, key("model"), "is not in settings.flavors");
        errors.require_one_of(Some(&endpoint.state), &["Ready", "Terminating", "Gone"], key("state"));
        let valid_rate = endpoint.rate.is_none_or(|rate| rate >= 0.0);
        errors.require(valid_rate, key("capacity_hint"), "is below 0");
    }
}
