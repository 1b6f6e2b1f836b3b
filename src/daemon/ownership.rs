//! Acquires the journal: waits until no other process owns it.
use super::signals::Terminate;
use super::standby::Standby;
use super::{ClientListener, DaemonError, Process};
use crate::client::SharedListener;
use crate::clock;
use crate::settings::Config;
use crate::takeover::state::{Observed, RequestId, POLL_INTERVAL, REQUEST_LEASE};
use crate::takeover::{FolderLock, LockName, SharedFolder};
use std::net::SocketAddr;
use tokio::net::TcpListener;
use tokio::sync::oneshot;

/// The ownership of the journal by this process.
pub(super) struct Ownership {
    /// The owner's lock.
    pub(super) lock: FolderLock,
    /// The request for the folder. It must be held until this process serves, because the predecessor takes the journal back
    /// from a successor that neither owns nor requests it.
    pub(super) request: Option<FolderLock>,
    /// The listener for platform clients.
    pub(super) listener: TcpListener,
}

/// A pending request for the folder.
struct Request {
    /// Held until this process serves.
    lock: FolderLock,
    granted: oneshot::Receiver<Result<Grant, DaemonError>>,
}

/// The owner's lock, and the listener that was opened right after the lock was acquired.
struct Grant {
    lock: FolderLock,
    listener: SharedListener,
}

impl Grant {
    /// Blocks until the owner's lock is free, then opens the listener. Runs in a separate thread, with neither polling nor
    /// the runtime, because clients are rejected until this process listens. The lock comes first: the predecessor serves
    /// until it is free, and connections queued at a listener are lost if its process dies.
    fn wait(folder: &SharedFolder, address: SocketAddr) -> Result<Grant, DaemonError> {
        let lock = folder.lock(LockName::Owner)?;
        let listener = SharedListener::open(address).map_err(DaemonError::ClientAddress)?;
        Ok(Grant { lock, listener })
    }
}

impl Request {
    /// Requests the folder; returns `None` while another process requests it.
    fn create(folder: &SharedFolder, address: SocketAddr) -> Result<Option<Request>, DaemonError> {
        let Some(lock) = folder.request(new_request_id())? else { return Ok(None) };
        let (sender, granted) = oneshot::channel();
        let folder = folder.clone();
        let wait = move || {
            // The receiver is gone if the process is shutting down; the grant is then not needed.
            let _ = sender.send(Grant::wait(&folder, address));
        };
        std::thread::Builder::new().name("takeover".to_string()).spawn(wait).map_err(DaemonError::System)?;
        Ok(Some(Request { lock, granted }))
    }

    /// Gives the request a new id, because the predecessor ignores an expired one.
    fn renew(&self, folder: &SharedFolder) -> Result<(), DaemonError> {
        log::warn!(
            "this process was suspended and its request for the folder may have expired: requesting it again"
        );
        Ok(folder.renew_request(&self.lock, new_request_id())?)
    }
}

/// Returns a unique id for a request: the time in nanoseconds.
fn new_request_id() -> RequestId {
    RequestId(clock::now().0)
}

/// Waits for the owner's lock; returns `None` if SIGTERM arrives first.
pub(super) async fn acquire(
    config: &Config, folder: &SharedFolder, process: &mut Process, terminate: &mut Terminate,
) -> Result<Option<Ownership>, DaemonError> {
    if let Some(lock) = poll_owner_lock(folder, process)? {
        return start_owning(config, process, lock, None).map(Some);
    }
    let requests_folder = process.management.is_some() && !process.has_released;
    log::info!(asks = requests_folder; "another process owns the folder; waiting for it");
    let mut standby = start_standby(config, &process.listener)?;
    let mut request = None;
    loop {
        let polled_at = clock::now();
        if requests_folder && request.is_none() {
            request = Request::create(folder, config.listen)?;
        }
        tokio::select! {
            _ = terminate.recv() => {
                process.listener.close();
                if let Some(standby) = standby {
                    standby.close().await;
                }
                return Ok(None);
            }
            grant = wait_for_grant(&mut request) => {
                let Grant { lock, listener } = grant?;
                process.listener.set(listener);
                let request_lock = request.map(|request| request.lock);
                process.takeover.step(clock::now(), Observed { lock_acquired: true, ..Observed::default() });
                return start_owning(config, process, lock, request_lock).map(Some);
            }
            () = tokio::time::sleep(POLL_INTERVAL) => {}
        }
        match &mut request {
            Some(request) if clock::now() - polled_at >= REQUEST_LEASE => request.renew(folder)?,
            Some(_) => {}
            None => {
                if let Some(lock) = poll_owner_lock(folder, process)? {
                    return start_owning(config, process, lock, None).map(Some);
                }
            }
        }
        if standby.is_some() && process.takeover.is_superseded(observe(folder)) {
            log::info!("a third process requests the folder: no longer on standby");
            standby = None;
            process.listener.close();
            process.standby_lock = None;
        }
    }
}

/// Waits for the result of a request; never returns without a request.
async fn wait_for_grant(request: &mut Option<Request>) -> Result<Grant, DaemonError> {
    let Some(request) = request else { return std::future::pending().await };
    match (&mut request.granted).await {
        Ok(grant) => grant,
        // Not reached: the waiting thread sends a result before it ends.
        Err(_) => std::future::pending().await,
    }
}

/// Completes the acquisition: releases the standby lock and opens the client listener unless it is already open.
fn start_owning(
    config: &Config, process: &mut Process, lock: FolderLock, request: Option<FolderLock>,
) -> Result<Ownership, DaemonError> {
    process.standby_lock = None;
    let listener = process.listener.open(config)?;
    log::debug!("owner of the folder; reading the journal");
    Ok(Ownership { lock, request, listener })
}

fn start_standby(config: &Config, listener: &ClientListener) -> Result<Option<Standby>, DaemonError> {
    listener.shared().map(|listener| Standby::start(config, listener)).transpose()
}

fn observe(folder: &SharedFolder) -> Observed {
    let request = folder.pending_request();
    // Without a request, `poll_owner_lock` tries the lock itself, which shows whether another process owns it.
    let owned_by_other = request.is_some() && folder.is_locked(LockName::Owner);
    Observed { request, owned_by_other, ..Observed::default() }
}

/// Tries the owner's lock without a request for it; returns `None` if this process may not take it or it is not free.
fn poll_owner_lock(folder: &SharedFolder, process: &mut Process) -> Result<Option<FolderLock>, DaemonError> {
    let (now, observed) = (clock::now(), observe(folder));
    if !process.takeover.may_acquire(now, observed.request) {
        process.takeover.step(now, observed);
        return Ok(None);
    }
    match folder.try_lock(LockName::Owner)? {
        Some(lock) => {
            process.takeover.step(now, Observed { lock_acquired: true, ..observed });
            Ok(Some(lock))
        }
        None => {
            process.takeover.step(now, Observed { owned_by_other: true, ..observed });
            Ok(None)
        }
    }
}
