//! The watch on discovery, which fills the upstream group.
//!
//! `follow` keeps the watch open, `timing` bounds its pauses, `values` reads what is said on it as values, not as lines.
mod follow;
#[cfg(test)]
mod tests;
mod timing;
mod values;

use crate::backoff::Backoff;
use crate::core::Endpoint;
use crate::exchange::{EndpointUpdate, Exchange};
use crate::settings::{DeploymentSettings, EndpointListUpdate, ListedEndpoint};
use crate::EndpointState;
use follow::{Follower, Start, Tcp};
use std::sync::Arc;
use tokio::sync::watch;

/// What is known of the list.
pub struct EndpointListState {
    pub version: u64,
    /// It has had a line, so that messages can be sent.
    pub can_serve: bool,
    /// Where the version is told.
    pub published_version: watch::Sender<u64>,
}

/// Watches for as long as the process runs; each new watch goes on from the version last held.
pub async fn run(
    site: Arc<DeploymentSettings>, mut held: EndpointListState, address: watch::Receiver<String>,
    exchange: Exchange, seed: u64,
) {
    let backoff =
        Backoff::new(site.polling_forwarders(), timing::longest_pause(site.polling_forwarders() > 1), seed);
    let start =
        Start { version: held.version, may_wait: held.can_serve, shared: site.polling_forwarders() > 1 };
    let follower = Follower::new(Tcp, address, start, backoff);
    follower
        .run(|update| {
            take(update, &site, &exchange, &mut held);
            held.version
        })
        .await;
}

fn take(
    update: EndpointListUpdate, site: &DeploymentSettings, exchange: &Exchange, held: &mut EndpointListState,
) {
    // Guards against a discovery that has lost its own list: nothing could be sent at all until it has it back.
    if held.can_serve && update.complete && update.endpoints.is_empty() {
        log::warn!("discovery: passed over a whole list without a line; the old one stands");
        return;
    }
    held.version = update.revision;
    held.published_version.send_replace(held.version);
    held.can_serve |= !update.endpoints.is_empty();
    log::info!(lines = update.endpoints.len(); "upstream group: version {}", held.version);
    let endpoints = endpoints(site, &update);
    exchange.update_endpoints(match update.complete {
        true => EndpointUpdate::Complete(endpoints),
        false => EndpointUpdate::Changes(endpoints),
    });
}

/// The endpoints that an update names.
pub fn endpoints(site: &DeploymentSettings, update: &EndpointListUpdate) -> Vec<Endpoint> {
    update.endpoints.iter().map(|t| member(site, t)).collect()
}

fn member(site: &DeploymentSettings, t: &ListedEndpoint) -> Endpoint {
    let place = |names: &[String], name: &Option<String>| {
        names.iter().position(|n| Some(n) == name.as_ref()).unwrap_or(0)
    };
    Endpoint {
        uid: t.uid.clone(),
        address: t.address.clone(),
        zone: place(&site.zones, &t.zone),
        kind: place(&site.kinds, &t.kind),
        dest: t.destination,
        state: match t.state.as_str() {
            "Ready" => EndpointState::Running,
            "Gone" => EndpointState::Removed,
            // Guards drains against words that are not known: nothing new goes where it may not be wanted.
            _ => EndpointState::Draining,
        },
        rate: t.rate.unwrap_or(0.0),
    }
}
