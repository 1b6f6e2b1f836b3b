//! Conversion of an instance's settings from the simulator's JSON format. Unknown fields are ignored. A missing field means
//! that the simulated deployment lacks the feature.
use micaladder::{Class, Effect, EndpointKind, IdempotencyScope, ListedRates, Nanos, Settings, ValueDecay};
use serde_json::Value;

/// Parses the settings.
pub(crate) fn parse(conf: &Value) -> Settings {
    let (family, limits, rules, fees) = (&conf["familyInfo"], &conf["limits"], &conf["rules"], &conf["fees"]);
    Settings {
        slots: count(&family["workers"]),
        max_pending: count(&limits["openCap"]),
        max_attempts: limits["mostTries"].as_u64().unwrap_or(1) as u32,
        forwarders: count(&conf["nInstances"]),
        tick: nanos(&conf["resolutionNs"]),
        classes: list(&conf["classes"], class),
        kinds: kinds(conf),
        value_decay: if family["fades"] == "halves" { ValueDecay::Halving } else { ValueDecay::Linear },
        tenant_quota: list(&conf["tenants"], |tenant| float(&tenant["quotaRps"])),
        over_quota_weight: conf["overShareWorth"].as_f64().unwrap_or(1.0),
        zone: count(&conf["myZone"]),
        route_fee: list(&family["routeFee"], float),
        cross_fee: float(&fees["crossZone"]),
        handshake_fee: float(&fees["handshake"]),
        connection_idle_timeout: nanos(&limits["connIdleNs"]),
        streams_per_connection: limits["maxStreams"].as_u64().unwrap_or(1) as u32,
        retry_after: (limits["retryAfter"] == true).then(|| nanos(&limits["maxRetryAfterNs"])),
        may_cancel: limits["mayCancel"] == true,
        poll_interval: (conf["registryMode"] == "on_request").then(|| nanos(&rules["mustAskInNs"])),
        limits_reported: conf["reporting"]["source"] == "inline",
        listed_rates: match conf["weightKind"].as_str() {
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

/// Parses a message class.
fn class(class: &Value) -> Class {
    Class {
        latency_objective: nanos(&class["aimNs"]),
        deadline: nanos(&class["deadlineNs"]),
        priority_weight: class["points"].as_f64().unwrap_or(1.0),
        late_weight_share: float(&class["lateShare"]),
        effect: effect(class),
        fifo_by_key: class["fifoByKey"].as_bool().unwrap_or(false),
    }
}

/// Parses the effect of a class. An unknown effect becomes the strictest one, at most once.
fn effect(class: &Value) -> Effect {
    match class["effect"].as_str() {
        Some("repeatable") => Effect::Idempotent,
        Some("by_key") => {
            let scope = match class["group"].as_str() {
                Some("all") => IdempotencyScope::AllEndpoints,
                _ => IdempotencyScope::SameZone,
            };
            Effect::IdempotentByKey { scope, window: nanos(&class["windowNs"]) }
        }
        _ => Effect::AtMostOnce,
    }
}

/// Parses the endpoint kinds. The lists that describe them may differ in length; the longest one determines the number of
/// kinds.
fn kinds(conf: &Value) -> Vec<EndpointKind> {
    let separate = &conf["familyInfo"]["kindApart"];
    let max_batch = &conf["familyInfo"]["perCall"];
    let length = |value: &Value| value.as_array().map_or(0, Vec::len);
    let kinds = length(separate).max(length(max_batch)).max(length(&conf["flavors"]));
    let kind = |index: usize| EndpointKind {
        separate_routes: separate[index].as_bool().unwrap_or(false),
        max_batch: max_batch.get(index).map_or(1, count).max(1),
    };
    (0..kinds).map(kind).collect()
}

/// Parses a time in nanoseconds; zero if absent.
pub(crate) fn nanos(value: &Value) -> Nanos {
    Nanos(value.as_u64().unwrap_or(0))
}

/// Parses a floating-point number; zero if absent.
fn float(value: &Value) -> f64 {
    value.as_f64().unwrap_or(0.0)
}

/// Parses a count; zero if absent.
fn count(value: &Value) -> usize {
    value.as_u64().unwrap_or(0) as usize
}

/// Parses the items of a list; empty if absent.
fn list<T>(value: &Value, parse_item: impl Fn(&Value) -> T) -> Vec<T> {
    value.as_array().map(|items| items.iter().map(parse_item).collect()).unwrap_or_default()
}
