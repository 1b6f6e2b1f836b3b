//! Converts the file's `settings` into the program's types. An unknown value is treated as absent here; `check` reports it.
use super::file::{ClassEntry, DeploymentFile, FamilyInfo};
use super::DeploymentSettings;
use crate::{Class, Effect, EndpointKind, IdempotencyScope, ListedRates, Nanos, Settings, ValueDecay};

/// A connection to an endpoint carries one call at a time (HTTP/1.1 without pipelining).
const STREAMS_PER_CONNECTION: u32 = 1;

impl From<DeploymentFile> for DeploymentSettings {
    fn from(file: DeploymentFile) -> DeploymentSettings {
        DeploymentSettings {
            module: module_settings(&file),
            classes: file.classes.into_iter().map(|c| c.name).collect(),
            tenants: file.tenants.into_iter().map(|t| t.name).collect(),
            zones: file.localities,
            kinds: file.flavors,
            connect_timeout: Nanos(file.limits.connect_timeout_ns),
        }
    }
}

fn module_settings(file: &DeploymentFile) -> Settings {
    let DeploymentFile { family_info, fees, limits, rules, .. } = file;
    Settings {
        slots: family_info.workers as usize,
        max_pending: limits.max_pending as usize,
        max_attempts: limits.max_attempts,
        forwarders: file.forwarders as usize,
        tick: Nanos(file.resolution_ns),
        classes: file.classes.iter().map(class).collect(),
        kinds: kinds(file),
        value_decay: value_decay(family_info),
        tenant_quota: file.tenants.iter().map(|t| t.quota_rps).collect(),
        over_quota_weight: file.over_quota_weight.unwrap_or(1.0),
        zone: file.my_zone.unwrap_or(0) as usize,
        route_fee: family_info.route_fee.clone().unwrap_or_default(),
        cross_fee: fees.cross_zone,
        handshake_fee: fees.handshake,
        connection_idle_timeout: Nanos(limits.connection_idle_ns),
        streams_per_connection: STREAMS_PER_CONNECTION,
        retry_after: limits.retry_after.then_some(Nanos(limits.max_retry_after_ns)),
        may_cancel: limits.may_cancel,
        poll_interval: poll_interval(file),
        limits_reported: file.reporting.as_ref().is_some_and(|r| r.source == "inline"),
        listed_rates: listed_rates(file),
        cold_capacity_share: rules.cold_capacity_share,
        warm_up: Nanos(rules.warm_up_ns),
        overload_multiple: rules.overload_multiple,
        overload_window: Nanos(rules.overload_window_ns),
        ordering_pause: Nanos(rules.ordering_pause_ns.unwrap_or(0)),
    }
}

fn class(entry: &ClassEntry) -> Class {
    Class {
        latency_objective: Nanos(entry.latency_objective_ns),
        deadline: Nanos(entry.deadline_ns),
        priority_weight: entry.points,
        late_weight_share: entry.late_weight_share,
        effect: effect(entry),
        fifo_by_key: entry.fifo_by_key == Some(true),
    }
}

fn effect(entry: &ClassEntry) -> Effect {
    match entry.effect.as_str() {
        "repeatable" => Effect::Idempotent,
        "by_key" => {
            let scope = idempotency_scope(entry);
            Effect::IdempotentByKey { scope, window: Nanos(entry.window_ns.unwrap_or(0)) }
        }
        // Prevents a second delivery: a message whose effect is unknown is not repeated.
        _ => Effect::AtMostOnce,
    }
}

fn idempotency_scope(entry: &ClassEntry) -> IdempotencyScope {
    match entry.group.as_deref() {
        Some("all") => IdempotencyScope::AllEndpoints,
        _ => IdempotencyScope::SameZone,
    }
}

/// Returns the endpoint kinds. Their number is that of the names in `flavors` or of the entries in `kindApart`, whichever is
/// greater.
fn kinds(file: &DeploymentFile) -> Vec<EndpointKind> {
    let info = &file.family_info;
    let count = file.flavors.len().max(info.separate_routes.len());
    (0..count).map(|index| kind(info, index)).collect()
}

fn kind(info: &FamilyInfo, index: usize) -> EndpointKind {
    let max_batch = info.max_batch.get(index).map_or(1, |n| *n as usize);
    EndpointKind {
        separate_routes: info.separate_routes.get(index).copied().unwrap_or(false),
        max_batch: max_batch.max(1),
    }
}

fn value_decay(info: &FamilyInfo) -> ValueDecay {
    match info.fades.as_deref() {
        Some("halves") => ValueDecay::Halving,
        _ => ValueDecay::Linear,
    }
}

/// Returns the maximum time between two polls; `None` if discovery pushes its list.
fn poll_interval(file: &DeploymentFile) -> Option<Nanos> {
    match file.registry_mode.as_deref() {
        Some("on_request") => Some(Nanos(file.rules.poll_interval_ns.unwrap_or(0))),
        _ => None,
    }
}

fn listed_rates(file: &DeploymentFile) -> ListedRates {
    match file.weight_kind.as_deref() {
        Some("nominal") => ListedRates::Nominal,
        Some("rough") => ListedRates::Approximate,
        _ => ListedRates::Absent,
    }
}
