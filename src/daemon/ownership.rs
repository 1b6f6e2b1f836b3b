//! The wait for the journal: until no other process owns it.
use super::DaemonError;
use crate::client;
use crate::clock;
use crate::settings::Config;
use crate::takeover::state::{
    Action, Observed, StateMachine, POLL_INTERVAL, REQUEST_LEASE, SERVING_POLL_INTERVAL,
    SUCCESSOR_POLL_INTERVAL,
};
use crate::takeover::{FolderLock, LockName, SharedFolder};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::Signal;

/// How long an expired request is withdrawn: the process that serves polls meanwhile, and sees that it is.
const WITHDRAWAL_TIME: Duration = SERVING_POLL_INTERVAL.saturating_mul(2);

/// The journal is this process's.
pub(super) struct Ownership {
    /// The owner's lock.
    pub(super) lock: FolderLock,
    /// The request for the folder, to be held until this process serves: the predecessor takes the journal back from a
    /// successor that neither owns it nor asks for it.
    pub(super) request: Option<FolderLock>,
    /// The clients' listener, where it was opened before.
    pub(super) listener: Option<TcpListener>,
}

/// Waits for the owner's lock; `None` where the process is told to end before that. A process that `asks` requests the
/// folder, and has the clients' listener open by then.
pub(super) async fn acquire(
    config: &Config, folder: &SharedFolder, takeover: &mut StateMachine, asks: bool, terminate: &mut Signal,
) -> Result<Option<Ownership>, DaemonError> {
    let mut request = None;
    let mut listener = None;
    let mut is_logged = false;
    loop {
        let polled_at = clock::now();
        if let Some(lock) = try_owner_lock(folder, takeover, request.is_some())? {
            return Ok(Some(Ownership { lock, request, listener }));
        }
        if !is_logged {
            log::info!(asks; "another process owns the folder; waiting for it");
            is_logged = true;
        }
        if asks && request.is_none() {
            // The listener first: as soon as this process asks, the kernel gives it some of the new connections.
            if listener.is_none() {
                listener = Some(client::listen(config.listen, true).map_err(DaemonError::ClientAddress)?);
            }
            request = folder.try_lock(LockName::Next)?;
        }
        let poll_interval = if request.is_some() { SUCCESSOR_POLL_INTERVAL } else { POLL_INTERVAL };
        tokio::select! {
            _ = terminate.recv() => return Ok(None),
            () = tokio::time::sleep(poll_interval) => {}
        }
        if request.is_some() && clock::now() - polled_at >= REQUEST_LEASE {
            log::warn!(
                "this process was stopped, and its request for the folder may have expired: asking again"
            );
            request = None;
            tokio::time::sleep(WITHDRAWAL_TIME).await;
        }
    }
}

/// The owner's lock, if it is free and this process may have it.
fn try_owner_lock(
    folder: &SharedFolder, takeover: &mut StateMachine, asks_itself: bool,
) -> Result<Option<FolderLock>, DaemonError> {
    let takeover_requested = !asks_itself && folder.is_locked(LockName::Next);
    if !takeover.may_acquire(clock::now(), takeover_requested) {
        return Ok(None);
    }
    let lock = folder.try_lock(LockName::Owner)?;
    let observed = Observed { lock_acquired: lock.is_some(), takeover_requested, ..Observed::default() };
    match takeover.step(clock::now(), observed) {
        Some(Action::StartServing) => Ok(lock),
        _ => {
            takeover.lock_refused();
            Ok(None)
        }
    }
}
