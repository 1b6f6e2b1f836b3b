//! Reloads the configuration file on SIGHUP and applies the keys that may change while the process runs.
#![warn(missing_docs)]
use crate::settings::Config;
use tokio::signal::unix::Signal;
use tokio::sync::watch;

/// Reloads the configuration on each SIGHUP. Publishes a changed discovery address through `discovery`, and logs a warning for
/// each other key that differs and takes effect only after a restart.
pub async fn run(mut current: Config, mut hangup: Signal, discovery: watch::Sender<String>) {
    while hangup.recv().await.is_some() {
        // The current configuration stays in force if the file is incomplete or invalid.
        let reloaded = match current.reload() {
            Ok(reloaded) => reloaded,
            Err(error) => {
                log::error!("configuration not reloaded, the current one stays in force: {error}");
                continue;
            }
        };
        for key in current.keys_needing_restart(&reloaded) {
            log::warn!("configuration reloaded, but the change of {key} takes effect only after a restart");
        }
        log::info!("configuration reloaded: discovery at {}", reloaded.discovery);
        current.discovery = reloaded.discovery;
        // An unchanged address is not published, because that would interrupt the open watch.
        discovery.send_if_modified(|address| {
            let is_new = *address != current.discovery;
            address.clone_from(&current.discovery);
            is_new
        });
    }
}
