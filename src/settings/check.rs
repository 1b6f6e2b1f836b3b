//! What is wrong in a configuration: keys that nobody knows, words that mean nothing, figures that cannot be.
use super::{is_address, Conf, DeploymentSettings, EndpointListUpdate, File};
use crate::config_error::{ConfigError, ConfigErrors};
use std::path::Path;

/// What the platform's file holds beside what this program uses.
const UNUSED: [&str; 35] = [
    "known.targets[].boot_ms",
    "limits.cores",
    "limits.memory_mb",
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

/// All that is wrong in the file, and the settings where they can be read.
pub fn check_file(path: &Path) -> (Vec<ConfigError>, Option<DeploymentSettings>) {
    let mut errors = ConfigErrors::new(path);
    let text = match std::fs::read_to_string(path) {
        Ok(text) => text,
        Err(e) => {
            errors.add("", e);
            return (errors.errors, None);
        }
    };
    let Some(file) = errors.parse_json::<File>(&text, &UNUSED) else { return (errors.errors, None) };
    whole(&file, &mut errors);
    settings(&file.settings, &mut errors);
    group(&file.known, &file.settings, &mut errors);
    (errors.errors, Some(super::site(file.settings)))
}

fn whole(f: &File, errors: &mut ConfigErrors) {
    errors.require(!f.name.is_empty(), "name", "is empty");
    errors.require_socket_address(&f.listen, "listen");
    f.mgmt.iter().for_each(|m| errors.require_socket_address(m, "mgmt"));
    errors.require(is_address(&f.discovery), "discovery", format!("no address: {:?}", f.discovery));
    if u64::from_str_radix(&f.seed, 16).is_err() {
        errors.add("seed", format!("not up to 16 hexadecimal digits: {:?}", f.seed));
    }
    // Less holds not even one message of 64 KiB beside its reserve.
    errors.require(f.limits.disk_mb >= 0.2, "limits.disk_mb", "holds no message; 0.2 or more");
    errors.require(f.limits.sockets >= 16, "limits.sockets", "leaves none for clients; 16 or more");
}

fn settings(c: &Conf, errors: &mut ConfigErrors) {
    errors.require(!c.classes.is_empty(), "settings.classes", "is empty");
    errors.reject_duplicates(c.classes.iter().map(|c| c.name.as_str()), |i| {
        format!("settings.classes[{i}].name")
    });
    for (i, class) in c.classes.iter().enumerate() {
        let key = |k: &str| format!("settings.classes[{i}].{k}");
        errors.require_one_of(Some(&class.effect), &["repeatable", "by_key", "once"], key("effect"));
        errors.require_one_of(class.group.as_deref(), &["all", "zone", "cell"], key("group"));
        errors.require(class.deadline_ns > 0, key("deadlineNs"), "is 0");
        errors.require(class.aim_ns <= class.deadline_ns, key("aimNs"), "is beyond deadlineNs");
        errors.require(
            (0.0..=1.0).contains(&class.late_weight_share),
            key("lateShare"),
            "is not from 0 to 1",
        );
        errors.require(class.points >= 0.0, key("points"), "is below 0");
        let window = class.effect != "by_key" || class.window_ns.is_some();
        errors.require(window, key("windowNs"), "is missing; a class by_key has one");
    }
    errors.reject_duplicates(c.tenants.iter().map(|t| t.name.as_str()), |i| {
        format!("settings.tenants[{i}].name")
    });
    for (i, tenant) in c.tenants.iter().enumerate() {
        errors.require(tenant.quota_rps >= 0.0, format!("settings.tenants[{i}].quotaRps"), "is below 0");
    }
    errors.require_one_of(c.family_info.fades.as_deref(), &["line", "halves"], "settings.familyInfo.fades");
    errors.require(c.family_info.workers > 0, "settings.familyInfo.workers", "is 0; nothing would be sent");
    errors.require(c.limits.max_pending > 0, "settings.limits.openCap", "is 0; nothing would be taken on");
    errors.require(c.limits.max_attempts > 0, "settings.limits.mostTries", "is 0; nothing would be sent");
    errors.require(c.n_instances > 0, "settings.nInstances", "is 0");
    errors.require_one_of(c.registry_mode.as_deref(), &["pushed", "on_request"], "settings.registryMode");
    let source = c.reporting.as_ref().map(|r| r.source.as_str());
    errors.require_one_of(source, &["inline", "on_probe", "off"], "settings.reporting.source");
    errors.require_one_of(c.weight_kind.as_deref(), &["nominal", "rough", "off"], "settings.weightKind");
    let zone = c.my_zone.unwrap_or(0) as usize;
    errors.require(zone < c.localities.len().max(1), "settings.myZone", "is no place in localities");
    errors.require(c.rules.cold_capacity_share > 0.0, "settings.rules.coldFrom", "is not above 0");
    errors.require(c.rules.overload_multiple > 0.0, "settings.rules.fallMultiple", "is not above 0");
}

fn group(known: &EndpointListUpdate, c: &Conf, errors: &mut ConfigErrors) {
    errors.reject_duplicates(known.endpoints.iter().map(|t| t.uid.as_str()), |i| {
        format!("known.targets[{i}].uid")
    });
    for (i, t) in known.endpoints.iter().enumerate() {
        let key = |k: &str| format!("known.targets[{i}].{k}");
        errors.require(is_address(&t.address), key("endpoint"), format!("no address: {:?}", t.address));
        errors.require_known(&t.zone, &c.localities, key("az"), "is not in settings.localities");
        errors.require_known(&t.kind, &c.flavors, key("model"), "is not in settings.flavors");
        errors.require_one_of(Some(&t.state), &["Ready", "Terminating", "Gone"], key("state"));
        errors.require(t.rate.is_none_or(|c| c >= 0.0), key("capacity_hint"), "is below 0");
    }
}
