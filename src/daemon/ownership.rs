//! The wait for the journal: until no other process owns it.
use super::DaemonError;
use crate::client;
use crate::clock;
use crate::settings::Config;
use crate::takeover::state::{Action, Observed, StateMachine, POLL_INTERVAL};
use crate::takeover::{FolderLock, LockName, SharedFolder};
use tokio::net::TcpListener;
use tokio::signal::unix::Signal;

/// The journal is this process's.
pub(super) struct Ownership {
    /// The owner's lock.
    pub(super) lock: FolderLock,
    /// The clients' listener, where it was opened before.
    pub(super) listener: Option<TcpListener>,
}

/// Waits for the owner's lock; `None` where the process is told to end before that. A process that `asks` requests the
/// folder, and has the clients' listener open by then.
pub(super) async fn acquire(
    config: &Config, folder: &SharedFolder, takeover: &mut StateMachine, asks: bool, terminate: &mut Signal,
) -> Result<Option<Ownership>, DaemonError> {
    let mut next_lock = None;
    let mut listener = None;
    let mut is_logged = false;
    loop {
        let owner_lock = folder.try_lock(LockName::Owner)?;
        let observed = Observed { lock_acquired: owner_lock.is_some(), ..Observed::default() };
        if takeover.step(clock::now(), observed) == Some(Action::StartServing) {
            return Ok(owner_lock.map(|lock| Ownership { lock, listener }));
        }
        if !is_logged {
            log::info!(asks; "another process owns the folder; waiting for it");
            is_logged = true;
        }
        if asks && next_lock.is_none() {
            // The listener first: as soon as this process asks, the kernel gives it some of the new connections.
            if listener.is_none() {
                listener = Some(client::listen(config.listen, true).map_err(DaemonError::ClientAddress)?);
            }
            next_lock = folder.try_lock(LockName::Next)?;
        }
        tokio::select! {
            _ = terminate.recv() => return Ok(None),
            () = tokio::time::sleep(POLL_INTERVAL) => {}
        }
    }
}
