//! Reloads on SIGHUP: the configuration is read again, and what may change while the process runs is changed.
use crate::settings::Config;
use tokio::signal::unix::Signal;
use tokio::sync::watch;

/// Follows the configuration. Whoever works with discovery hears of its new address through `discovery`.
pub async fn run(mut held: Config, mut hangup: Signal, discovery: watch::Sender<String>) {
    while hangup.recv().await.is_some() {
        // Guards against a file that is half written or wrong: what is held stays in force.
        let fresh = match held.reload() {
            Ok(fresh) => fresh,
            Err(fault) => {
                log::error!("configuration not reloaded, the old one stays: {fault}");
                continue;
            }
        };
        for key in held.keys_needing_restart(&fresh) {
            log::warn!("configuration reloaded, but a new {key} needs a restart");
        }
        log::info!("configuration reloaded: discovery at {}", fresh.discovery);
        held.discovery = fresh.discovery;
        discovery.send_if_modified(|at| {
            let moved = *at != held.discovery;
            at.clone_from(&held.discovery);
            moved
        });
    }
}
