//! The watch on discovery, which fills the upstream group.
//!
//! `follow` keeps the watch open, `timing` bounds its pauses, `values` reads what is said on it as values, not as lines.
mod follow;
#[cfg(test)]
mod tests;
pub mod timing;
mod values;

use crate::backoff::Backoff;
use crate::core::Endpoint;
use crate::exchange::Exchange;
use crate::settings::{GroupUpdate, Site, Target};
use crate::EndpointState;
use follow::{Follower, Start, Tcp};
use std::sync::Arc;
use tokio::sync::watch;

/// What is known of the list.
pub struct Held {
    pub rev: u64,
    /// It has had a line, so that messages can be sent.
    pub serves: bool,
    /// Where the version is told.
    pub told: watch::Sender<u64>,
}

/// Watches for as long as the process runs; each new watch goes on from the version last held.
pub async fn run(
    site: Arc<Site>, mut held: Held, address: watch::Receiver<String>, exchange: Exchange, backoff: Backoff,
) {
    let start = Start { version: held.rev, may_wait: held.serves, shared: site.askers() > 1 };
    let follower = Follower::new(Tcp, address, start, backoff);
    follower
        .run(|update| {
            take(update, &site, &exchange, &mut held);
            held.rev
        })
        .await;
}

fn take(update: GroupUpdate, site: &Site, exchange: &Exchange, held: &mut Held) {
    // Guards against a discovery that has lost its own list: nothing could be sent at all until it has it back.
    if held.serves && update.all && update.targets.is_empty() {
        log::warn!("discovery: passed over a whole list without a line; the old one stands");
        return;
    }
    held.rev = update.rev;
    held.told.send_replace(held.rev);
    held.serves |= !update.targets.is_empty();
    log::info!(lines = update.targets.len(); "upstream group: version {}", held.rev);
    exchange.update_endpoints(update.all, members(site, &update));
}

/// The members that an update names.
pub fn members(site: &Site, update: &GroupUpdate) -> Vec<Endpoint> {
    update.targets.iter().map(|t| member(site, t)).collect()
}

fn member(site: &Site, t: &Target) -> Endpoint {
    let place = |names: &[String], name: &Option<String>| {
        names.iter().position(|n| Some(n) == name.as_ref()).unwrap_or(0)
    };
    Endpoint {
        uid: t.uid.clone(),
        address: t.endpoint.clone(),
        zone: place(&site.zones, &t.az),
        kind: place(&site.kinds, &t.model),
        dest: t.pod_group,
        state: match t.state.as_str() {
            "Ready" => EndpointState::Running,
            "Gone" => EndpointState::Removed,
            // Guards drains against words that are not known: nothing new goes where it may not be wanted.
            _ => EndpointState::Draining,
        },
        rate: t.capacity_hint.unwrap_or(0.0),
    }
}
