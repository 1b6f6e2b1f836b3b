//! The wait for the journal: until no other process owns it.
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

/// The journal is this process's.
pub(super) struct Ownership {
    /// The owner's lock.
    pub(super) lock: FolderLock,
    /// The request for the folder, to be held until this process serves: the predecessor takes the journal back from a
    /// successor that neither owns it nor asks for it.
    pub(super) request: Option<FolderLock>,
    /// The clients' listener.
    pub(super) listener: TcpListener,
}

/// A request for the folder.
struct Request {
    /// Held until this process serves.
    lock: FolderLock,
    granted: oneshot::Receiver<Result<Grant, DaemonError>>,
}

/// The owner's lock, and a listener that was opened right behind it.
struct Grant {
    lock: FolderLock,
    listener: SharedListener,
}

impl Grant {
    /// Waits for both in a thread of its own, without a poll and without the runtime: until this process listens, clients
    /// are rejected. Not in the other order, for whatever is in the queue of a listener is lost with its process, and until
    /// the lock is free the predecessor serves.
    fn wait(folder: &SharedFolder, address: SocketAddr) -> Result<Grant, DaemonError> {
        let lock = folder.lock(LockName::Owner)?;
        let listener = SharedListener::open(address).map_err(DaemonError::ClientAddress)?;
        Ok(Grant { lock, listener })
    }
}

impl Request {
    /// Asks for the folder; `None` while another process does.
    fn make(folder: &SharedFolder, address: SocketAddr) -> Result<Option<Request>, DaemonError> {
        let Some(lock) = folder.request(new_request_id())? else { return Ok(None) };
        let (sender, granted) = oneshot::channel();
        let folder = folder.clone();
        let wait = move || {
            // A process that ends meanwhile has no use for it.
            let _ = sender.send(Grant::wait(&folder, address));
        };
        std::thread::Builder::new().name("takeover".to_string()).spawn(wait).map_err(DaemonError::System)?;
        Ok(Some(Request { lock, granted }))
    }

    /// Asks anew, under another name.
    fn renew(&self, folder: &SharedFolder) -> Result<(), DaemonError> {
        log::warn!("this process was stopped, and its request for the folder may have expired: asking again");
        Ok(folder.renew_request(&self.lock, new_request_id())?)
    }
}

/// A name that no other request has: the time, in nanoseconds.
fn new_request_id() -> RequestId {
    RequestId(clock::now().0)
}

/// Waits for the owner's lock; `None` where the process is told to end before that.
pub(super) async fn acquire(
    config: &Config, folder: &SharedFolder, process: &mut Process, terminate: &mut Terminate,
) -> Result<Option<Ownership>, DaemonError> {
    if let Some(lock) = poll_owner_lock(folder, process)? {
        return owned(config, process, lock, None).map(Some);
    }
    let asks = process.management.is_some() && !process.has_released;
    log::info!(asks; "another process owns the folder; waiting for it");
    let mut standby = start_standby(config, &process.listener)?;
    let mut request = None;
    loop {
        let polled_at = clock::now();
        if asks && request.is_none() {
            request = Request::make(folder, config.listen)?;
        }
        tokio::select! {
            _ = terminate.recv() => {
                process.listener.close();
                if let Some(standby) = standby {
                    standby.close().await;
                }
                return Ok(None);
            }
            grant = granted(&mut request) => {
                let Grant { lock, listener } = grant?;
                process.listener.set(listener);
                let request_lock = request.map(|request| request.lock);
                process.takeover.step(clock::now(), Observed { lock_acquired: true, ..Observed::default() });
                return owned(config, process, lock, request_lock).map(Some);
            }
            () = tokio::time::sleep(POLL_INTERVAL) => {}
        }
        match &mut request {
            Some(request) if clock::now() - polled_at >= REQUEST_LEASE => request.renew(folder)?,
            Some(_) => {}
            None => {
                if let Some(lock) = poll_owner_lock(folder, process)? {
                    return owned(config, process, lock, None).map(Some);
                }
            }
        }
        if standby.is_some() && process.takeover.is_superseded(observe(folder)) {
            log::info!("a further process asks for the folder: no longer on standby");
            standby = None;
            process.listener.close();
            process.standby_lock = None;
        }
    }
}

/// What a request has come to; never without one.
async fn granted(request: &mut Option<Request>) -> Result<Grant, DaemonError> {
    let Some(request) = request else { return std::future::pending().await };
    match (&mut request.granted).await {
        Ok(grant) => grant,
        // The thread that waits for it sends it before it ends.
        Err(_) => std::future::pending().await,
    }
}

/// The journal is this process's: listens, unless it does so already.
fn owned(
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
    // Without a request the lock is tried, which tells as much.
    let owned_by_other = request.is_some() && folder.is_locked(LockName::Owner);
    Observed { request, owned_by_other, ..Observed::default() }
}

/// The owner's lock, if it is free and this process, which does not ask for it, may have it.
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
