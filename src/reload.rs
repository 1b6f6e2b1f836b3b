//! Reloads on SIGHUP: the configuration file is read again, and what may change while the process runs is changed.
#![warn(missing_docs)]
use crate::settings::Config;
use tokio::signal::unix::Signal;
use tokio::sync::watch;

/// Reloads the configuration on each SIGHUP, for as long as the process runs. A new address of discovery is published
/// through `discovery`; any other key that differs is logged as one that needs a restart.
pub async fn run(mut current: Config, mut hangup: Signal, discovery: watch::Sender<String>) {
    while hangup.recv().await.is_some() {
        // Guards against a file that is half written or wrong: the current configuration stays in force.
        let reloaded = match current.reload() {
            Ok(reloaded) => reloaded,
            Err(error) => {
                log::error!("configuration not reloaded, the old one stays: {error}");
                continue;
            }
        };
        for key in current.keys_needing_restart(&reloaded) {
            log::warn!("configuration reloaded, but a new {key} needs a restart");
        }
        log::info!("configuration reloaded: discovery at {}", reloaded.discovery);
        current.discovery = reloaded.discovery;
        // An address that is the same must not break off the watch that goes there.
        discovery.send_if_modified(|address| {
            let is_new = *address != current.discovery;
            address.clone_from(&current.discovery);
            is_new
        });
    }
}
