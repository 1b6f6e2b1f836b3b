//! The platform's client address, kept by the process across changes of the journal's owner.
use super::DaemonError;
use crate::client::{self, SharedListener};
use crate::settings::Config;
use tokio::net::TcpListener;

/// The listener of the platform's client address. Where operators have an address a second process may share it, and it
/// stays open for as long as this process may serve (again).
#[derive(Default)]
pub(super) struct ClientListener(Option<SharedListener>);

impl ClientListener {
    /// A handle to accept clients with; begins to listen unless it does so already.
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

    /// Takes a listener that was opened elsewhere.
    pub(super) fn set(&mut self, listener: SharedListener) {
        self.0 = Some(listener);
    }

    /// The listener, where it is shared and open.
    pub(super) fn shared(&self) -> Option<&SharedListener> {
        self.0.as_ref()
    }

    /// Whether it may stay open behind a successor that listens at the same address.
    pub(super) fn yields_to_later(&self) -> bool {
        self.0.as_ref().is_some_and(SharedListener::yields_to_later)
    }

    /// Closes it as soon as no handle is left.
    pub(super) fn close(&mut self) {
        self.0 = None;
    }
}
