//! The time in which this process owns the journal and serves: until it is told to end, or another process takes over.
use super::signals::Terminate;
use super::startup::Parts;
use super::{released, DaemonError, Process, RunEnd};
use crate::client::{self, ConnectionLimiter};
use crate::clock;
use crate::exchange::{ClientConnections, Exchange};
use crate::fleet::gossip::FleetHandle;
use crate::mgmt::ManagementServer;
use crate::settings::Config;
use crate::takeover::state::{Action, Observed};
use crate::takeover::{FolderLock, LateOutcomeWriter, LockName, SharedFolder, TakeoverError};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio::time::{timeout, Instant};

/// How long the last answers before a release are held back for the successor to listen. A client waits 400 ms.
const LAST_ANSWERS_DELAY: Duration = Duration::from_millis(50);
/// Pause between two looks at the successor meanwhile.
const OWNER_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// The platform's client address, and the parts behind it.
pub(super) struct Service {
    parts: Parts,
    management: Option<ManagementServer>,
    /// The task that accepts and serves clients; it ends once their connections are closed.
    accept_task: JoinHandle<()>,
}

/// A graceful shutdown that has been requested.
struct Shutdown {
    requested_at: Instant,
    /// Ends when calls have ended, or time is up.
    calls: JoinHandle<()>,
}

impl Service {
    /// Serves clients on this listener.
    pub(super) fn start(
        config: &Config, parts: Parts, management: Option<ManagementServer>, listener: TcpListener,
    ) -> Service {
        let accept_task = accept_clients(config, &parts, listener);
        if let Some(management) = &management {
            management.set_serving(Some(parts.exchange.clone()));
        }
        log::info!("ready: {} listens on {}", config.name, config.listen);
        Service { parts, management, accept_task }
    }

    /// Serves until SIGTERM, or until another process has taken the journal over. SIGTERM does not keep the process from
    /// handing over: clients that come to its successor are served, and those that come to a process that ends are not.
    pub(super) async fn run(
        self, process: &mut Process, folder: &SharedFolder, owner_lock: FolderLock, terminate: &mut Terminate,
    ) -> Result<RunEnd, DaemonError> {
        // Without an address for operators nobody starts a second process, and the locks are not polled.
        let polls_locks = self.management.is_some();
        let mut shutdown: Option<Shutdown> = None;
        let mut owner_lock = Some(owner_lock);
        loop {
            tokio::select! {
                _ = terminate.recv(), if shutdown.is_none() => {
                    process.listener.close();
                    shutdown = Some(self.start_shutdown().await);
                }
                () = calls_ended(&mut shutdown) => break,
                () = tokio::time::sleep(process.takeover.poll_interval()), if polls_locks => {}
            }
            match process.takeover.step(clock::now(), self.observe(folder)) {
                Some(Action::Drain) => self.drain_clients(),
                Some(Action::Resume) => self.resume(),
                Some(Action::Release) if self.release_journal(process, folder, &mut owner_lock).await => {
                    let calls = self.exchange().calls_in_flight();
                    log::info!(calls; "handed over; ending the calls that are out");
                    let told_to_end_at = shutdown.map(|shutdown| shutdown.requested_at);
                    return Ok(released::run(self, process, folder, told_to_end_at, terminate).await);
                }
                // The last two belong to the times before and after this one.
                None | Some(Action::Release | Action::StartServing | Action::Reset) => {}
            }
        }
        self.shut_down().await;
        Ok(RunEnd::Terminated)
    }

    pub(super) fn exchange(&self) -> &Exchange {
        &self.parts.exchange
    }

    pub(super) fn limiter(&self) -> &Arc<ConnectionLimiter> {
        &self.parts.limiter
    }

    /// Waits until all clients have had their answers and are gone, or time is up.
    pub(super) async fn close_clients(self) {
        self.exchange().set_client_connections(ClientConnections::Closing);
        let _ = timeout(client::FINAL_RESPONSE_TIMEOUT, self.accept_task).await;
    }

    fn observe(&self, folder: &SharedFolder) -> Observed {
        let request = folder.pending_request();
        Observed {
            clients_connected: self.limiter().has_connections(),
            request,
            release_blocked: request.is_some() && self.is_release_blocked(folder),
            ..Observed::default()
        }
    }

    fn is_release_blocked(&self, folder: &SharedFolder) -> bool {
        self.exchange().is_release_blocked() || folder.is_locked(LockName::Standby)
    }

    fn drain_clients(&self) {
        log::info!("another process asks for the folder: handing over");
        self.exchange().set_client_connections(ClientConnections::Draining);
    }

    fn resume(&self) {
        log::warn!("the process that asked is gone, or the journal cannot be handed on: serving again");
        self.exchange().set_client_connections(ClientConnections::Open);
    }

    /// Releases the journal; `false` where its late outcomes cannot be written, or another process is on standby, and this
    /// process goes on as owner.
    async fn release_journal(
        &self, process: &mut Process, folder: &SharedFolder, owner_lock: &mut Option<FolderLock>,
    ) -> bool {
        let late_outcomes = match take_release_locks(process, folder) {
            Ok(Some(late_outcomes)) => late_outcomes,
            Ok(None) => {
                process.takeover.release_failed(clock::now());
                return false;
            }
            Err(error) => {
                log::error!("not handed over: {error}");
                process.takeover.release_failed(clock::now());
                return false;
            }
        };
        if let Some(management) = &self.management {
            management.set_serving(None);
        }
        if let Some(owner_lock) = owner_lock.take() {
            self.exchange().release_journal(late_outcomes, owner_lock).await;
        }
        wait_for_owner(folder).await;
        self.exchange().send_last_answers();
        true
    }

    /// Begins a graceful shutdown: the fleet hears of it first, then calls finish.
    async fn start_shutdown(&self) -> Shutdown {
        log::info!("told to end: finishing calls");
        let requested_at = Instant::now();
        if let Some(fleet) = self.fleet() {
            fleet.drain().await;
        }
        let exchange = self.exchange().clone();
        Shutdown { requested_at, calls: tokio::spawn(async move { exchange.shut_down().await }) }
    }

    /// Ends a graceful shutdown: clients get their last answers, and the fleet hears that this member has left.
    async fn shut_down(self) {
        let fleet = self.fleet().cloned();
        self.close_clients().await;
        tokio::time::sleep(client::CLOSE_LINGER).await;
        if let Some(fleet) = fleet {
            fleet.leave().await;
        }
        log::info!("ended");
    }

    fn fleet(&self) -> Option<&FleetHandle> {
        self.parts.fleet.as_ref()
    }
}

/// The locks that come before a release: without that of the late outcomes the successor would take the calls in flight for
/// lost. `None` where another process is on standby still.
fn take_release_locks(
    process: &mut Process, folder: &SharedFolder,
) -> Result<Option<LateOutcomeWriter>, TakeoverError> {
    let Some(standby) = folder.try_lock(LockName::Standby)? else { return Ok(None) };
    let late_outcomes = folder.create_late_outcomes()?;
    process.standby_lock = Some(standby);
    Ok(Some(late_outcomes))
}

/// Waits until another process owns the folder, which it listens for in the same moment, or some time has passed.
async fn wait_for_owner(folder: &SharedFolder) {
    let give_up_at = Instant::now() + LAST_ANSWERS_DELAY;
    while !folder.is_locked(LockName::Owner) && Instant::now() < give_up_at {
        tokio::time::sleep(OWNER_POLL_INTERVAL).await;
    }
}

fn accept_clients(config: &Config, parts: &Parts, listener: TcpListener) -> JoinHandle<()> {
    let routes = client::platform::routes(config.deployment.clone(), parts.exchange.clone());
    let front = client::Front { listener, routes, limits: client::platform::LIMITS, tls: None };
    tokio::spawn(client::serve(front, parts.limiter.clone(), parts.exchange.client_connections()))
}

/// Returns when the calls of a shutdown have ended; never without a shutdown.
async fn calls_ended(shutdown: &mut Option<Shutdown>) {
    match shutdown {
        Some(shutdown) => {
            let _ = (&mut shutdown.calls).await;
        }
        None => std::future::pending().await,
    }
}
