//! The discovery client, which keeps the endpoint list up to date.
//!
//! - `watcher`: keeps a watch open on the discovery server
//! - `timing`: the staleness bound of the endpoint list, and the delays and timeouts derived from it
//! - `list_parser`: parses the response body of a watch as a sequence of JSON values that may span lines
#![warn(missing_docs)]
mod list_parser;
#[cfg(test)]
mod tests;
mod timing;
mod watcher;

use crate::backoff::Backoff;
use crate::core::{Endpoint, EndpointList, ListDelivery, ListRevision};
use crate::exchange::{EndpointUpdate, Exchange};
use crate::settings::{Config, DeploymentSettings, EndpointListUpdate, ListedEndpoint};
use crate::EndpointState;
use std::sync::Arc;
use timing::Pollers;
use tokio::sync::watch;
use watcher::{TcpConnector, WatchStart, Watcher};

/// The state of the endpoint list.
pub struct EndpointListState {
    /// The version of the list in use.
    pub version: u64,
    /// Whether a list has contained an endpoint, so that messages can be sent.
    pub can_serve: bool,
    /// Publishes the version in use.
    pub published_version: watch::Sender<u64>,
}

/// The discovery server.
pub struct DiscoveryServer {
    /// Its address, which a reload may change.
    pub address: watch::Receiver<String>,
    /// Maximum size of a value that it sends, in bytes.
    pub max_list_bytes: usize,
}

/// Follows the endpoint list of the discovery server until the process exits. Each new watch
/// resumes from the version in use. `seed` seeds the jitter of the backoff.
pub async fn run(
    deployment: Arc<DeploymentSettings>, mut state: EndpointListState, server: DiscoveryServer,
    exchange: Exchange, seed: u64,
) {
    let forwarders = deployment.polling_forwarders();
    let pollers = Pollers::from_count(forwarders);
    let backoff = Backoff::new(forwarders, pollers.max_backoff(), seed);
    let DiscoveryServer { address, max_list_bytes } = server;
    let start = WatchStart { version: state.version, can_serve: state.can_serve, pollers, max_list_bytes };
    let watcher = Watcher::new(TcpConnector, address, start, backoff);
    watcher
        .run(|address, update| {
            apply_update(address, &update, &deployment, &exchange, &mut state);
            state.version
        })
        .await;
}

fn apply_update(
    address: &str, update: &EndpointListUpdate, deployment: &DeploymentSettings, exchange: &Exchange,
    state: &mut EndpointListState,
) {
    // An empty complete list means that the discovery server has lost its data. Applying it would stop all deliveries until the
    // server recovers.
    if state.can_serve && update.complete && update.endpoints.is_empty() {
        log::warn!("discovery: ignored a complete list without endpoints; the current list stays in use");
        return;
    }
    state.version = update.revision;
    state.published_version.send_replace(state.version);
    state.can_serve |= !update.endpoints.is_empty();
    log::info!(lines = update.endpoints.len(); "upstream group: version {}", state.version);
    let endpoints = endpoints(deployment, update);
    let update = match update.complete {
        true => EndpointUpdate::Complete(endpoints),
        false => EndpointUpdate::Changes(endpoints),
    };
    let revision = ListRevision { source: address.to_string(), number: state.version };
    exchange.update_endpoints(revision, update);
}

/// Returns how soon a new process of this deployment receives the list.
pub fn list_delivery(deployment: &DeploymentSettings) -> ListDelivery {
    match Pollers::from_count(deployment.polling_forwarders()) {
        Pollers::One => ListDelivery::Immediate,
        Pollers::Many => ListDelivery::Delayed,
    }
}

/// Returns the endpoint list in the configuration. Its revision counts as one of the configured discovery server.
pub fn configured_list(config: &Config) -> EndpointList {
    let revision =
        ListRevision { source: config.discovery.clone(), number: config.initial_endpoints.revision };
    EndpointList { revision, endpoints: endpoints(&config.deployment, &config.initial_endpoints) }
}

/// Converts the endpoints of a list update to the endpoints of the core.
fn endpoints(deployment: &DeploymentSettings, update: &EndpointListUpdate) -> Vec<Endpoint> {
    update.endpoints.iter().map(|listed| endpoint(deployment, listed)).collect()
}

fn endpoint(deployment: &DeploymentSettings, listed: &ListedEndpoint) -> Endpoint {
    Endpoint {
        uid: listed.uid.clone(),
        address: listed.address.clone(),
        zone: deployment.zone_index(listed.zone.as_deref()),
        kind: deployment.kind_index(listed.kind.as_deref()),
        dest: listed.destination,
        state: state(&listed.state),
        rate: listed.rate.unwrap_or(0.0),
    }
}

fn state(name: &str) -> EndpointState {
    match name {
        "Ready" => EndpointState::Running,
        "Gone" => EndpointState::Removed,
        // An unknown state counts as draining, since the endpoint may not accept new attempts.
        _ => EndpointState::Draining,
    }
}
