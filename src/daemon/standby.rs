//! Standby: a process that has released the journal and may take it again listens behind its successor. The kernel gives it
//! new connections only once the successor is gone. Until it serves again, it rejects their requests with a Retry-After, so
//! that no connection is refused because a successor died.
use super::{client_limiter, DaemonError};
use crate::client::{self, SharedListener};
use crate::core;
use crate::exchange::ClientConnections;
use crate::settings::Config;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::timeout;

/// A listener that accepts clients and rejects their requests until it is closed or dropped.
pub(super) struct Standby {
    accept_task: JoinHandle<()>,
    connections: watch::Sender<ClientConnections>,
}

impl Standby {
    pub(super) fn start(config: &Config, listener: &SharedListener) -> Result<Standby, DaemonError> {
        let retry_after = core::rejection_retry_after(&config.deployment.module);
        let front = client::Front {
            listener: listener.accept_handle().map_err(DaemonError::ClientAddress)?,
            routes: client::platform::rejecting_routes(retry_after),
            limits: client::platform::LIMITS,
            tls: None,
        };
        let (connections, closing) = watch::channel(ClientConnections::Draining);
        let limiter = client_limiter(config);
        let accept_task = tokio::spawn(client::serve(front, limiter, closing));
        Ok(Standby { accept_task, connections })
    }

    /// Stops accepting, and waits until all clients have their responses or [`client::FINAL_RESPONSE_TIMEOUT`] has passed.
    pub(super) async fn close(mut self) {
        self.connections.send_replace(ClientConnections::Closing);
        let _ = timeout(client::FINAL_RESPONSE_TIMEOUT, &mut self.accept_task).await;
    }
}

impl Drop for Standby {
    /// Stops accepting. Accepted connections have their own tasks and end by themselves.
    fn drop(&mut self) {
        self.accept_task.abort();
    }
}
