//! The listener for platform clients, which stays open when the owner of the journal changes.
use super::DaemonError;
use crate::client::{self, SharedListener};
use crate::settings::Config;
use tokio::net::TcpListener;

/// The listener for platform clients. With a management address it is shared with a second process and kept open as long as
/// this process serves or may serve again.
#[derive(Default)]
pub(super) struct ClientListener(Option<SharedListener>);

impl ClientListener {
    /// Returns a handle that accepts clients; starts to listen if necessary.
    pub(super) fn open(&mut self, config: &Config) -> Result<TcpListener, DaemonError> {
        if config.mgmt.is_none() {
            return client::listen(config.listen).map_err(DaemonError::ClientAddress);
        }
        let shared = match &mut self.0 {
            Some(shared) => shared,
            closed => closed.insert(SharedListener::open(config.listen).map_err(DaemonError::ClientAddress)?),
        };
        shared.accept_handle().map_err(DaemonError::ClientAddress)
    }

    /// Stores a listener that was opened elsewhere.
    pub(super) fn set(&mut self, listener: SharedListener) {
        self.0 = Some(listener);
    }

    /// Returns the listener if it is shared and open.
    pub(super) fn shared(&self) -> Option<&SharedListener> {
        self.0.as_ref()
    }

    /// Returns whether the listener may stay open while a successor listens at the same address.
    pub(super) fn yields_to_later(&self) -> bool {
        self.0.as_ref().is_some_and(SharedListener::yields_to_later)
    }

    /// Drops the listener; its socket closes once all accept handles are dropped too.
    pub(super) fn close(&mut self) {
        self.0 = None;
    }
}
