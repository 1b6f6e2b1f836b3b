//! The watch on discovery, which fills the endpoint list.
//!
//! - `watcher`: keeps the watch open
//! - `timing`: the bound on the list's staleness, and the delays that keep it
//! - `list_parser`: reads what comes on the watch as JSON values, not as lines
#![warn(missing_docs)]
mod list_parser;
#[cfg(test)]
mod tests;
mod timing;
mod watcher;

use crate::backoff::Backoff;
use crate::core::Endpoint;
use crate::exchange::{EndpointUpdate, Exchange};
use crate::settings::{DeploymentSettings, EndpointListUpdate, ListedEndpoint};
use crate::EndpointState;
use std::sync::Arc;
use timing::Pollers;
use tokio::sync::watch;
use watcher::{TcpConnector, WatchStart, Watcher};

/// What is known of the endpoint list.
pub struct EndpointListState {
    /// The version of the list in use.
    pub version: u64,
    /// The list has named an endpoint, so messages can be sent.
    pub can_serve: bool,
    /// Where the version is published.
    pub published_version: watch::Sender<u64>,
}

/// Watches the list at this address, which may change, for as long as the process runs. Each new watch goes on from the
/// version in use. `seed` is for the jitter of its backoff.
pub async fn run(
    site: Arc<DeploymentSettings>, mut state: EndpointListState, address: watch::Receiver<String>,
    exchange: Exchange, seed: u64,
) {
    let forwarders = site.polling_forwarders();
    let pollers = Pollers::of(forwarders);
    let backoff = Backoff::new(forwarders, pollers.max_backoff(), seed);
    let start = WatchStart { version: state.version, can_serve: state.can_serve, pollers };
    let watcher = Watcher::new(TcpConnector, address, start, backoff);
    watcher
        .run(|update| {
            apply_update(&update, &site, &exchange, &mut state);
            state.version
        })
        .await;
}

fn apply_update(
    update: &EndpointListUpdate, site: &DeploymentSettings, exchange: &Exchange,
    state: &mut EndpointListState,
) {
    // Guards against a discovery that has lost its own list: nothing could be sent at all until it has it back.
    if state.can_serve && update.complete && update.endpoints.is_empty() {
        log::warn!("discovery: ignored a complete list without endpoints; the old one stays in use");
        return;
    }
    state.version = update.revision;
    state.published_version.send_replace(state.version);
    state.can_serve |= !update.endpoints.is_empty();
    log::info!(lines = update.endpoints.len(); "upstream group: version {}", state.version);
    let endpoints = endpoints(site, update);
    exchange.update_endpoints(match update.complete {
        true => EndpointUpdate::Complete(endpoints),
        false => EndpointUpdate::Changes(endpoints),
    });
}

/// The endpoints that an update names.
pub fn endpoints(site: &DeploymentSettings, update: &EndpointListUpdate) -> Vec<Endpoint> {
    update.endpoints.iter().map(|listed| endpoint(site, listed)).collect()
}

fn endpoint(site: &DeploymentSettings, listed: &ListedEndpoint) -> Endpoint {
    Endpoint {
        uid: listed.uid.clone(),
        address: listed.address.clone(),
        zone: index_of(&site.zones, listed.zone.as_ref()),
        kind: index_of(&site.kinds, listed.kind.as_ref()),
        dest: listed.destination,
        state: state(&listed.state),
        rate: listed.rate.unwrap_or(0.0),
    }
}

/// Where this name stands in the configuration; the first entry for one that is missing or unknown.
fn index_of(names: &[String], name: Option<&String>) -> usize {
    names.iter().position(|known| Some(known) == name).unwrap_or(0)
}

fn state(name: &str) -> EndpointState {
    match name {
        "Ready" => EndpointState::Running,
        "Gone" => EndpointState::Removed,
        // Guards drains against states that are not known: nothing new is sent where it may not be wanted.
        _ => EndpointState::Draining,
    }
}
