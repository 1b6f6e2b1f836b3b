//! Serves while this process owns the journal, until it shuts down or another process takes over.
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

/// How long the last answers before a release wait for the successor to listen. Clients time out after 400 ms.
const LAST_ANSWERS_DELAY: Duration = Duration::from_millis(50);
/// Interval at which the owner's lock is polled while the last answers wait.
const OWNER_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// The platform's client front and the parts behind it.
pub(super) struct Service {
    parts: Parts,
    management: Option<ManagementServer>,
    /// The task that accepts and serves clients; it ends once their connections are closed.
    accept_task: JoinHandle<()>,
}

/// A graceful shutdown in progress.
struct Shutdown {
    requested_at: Instant,
    /// The task that ends when all calls have ended or the shutdown has timed out.
    calls: JoinHandle<()>,
}

impl Service {
    /// Starts to serve clients on `listener`.
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

    /// Serves until a shutdown is complete or another process has taken over. A takeover proceeds after SIGTERM too, because
    /// the successor serves clients that the exiting process would not.
    pub(super) async fn run(
        self, process: &mut Process, folder: &SharedFolder, owner_lock: FolderLock, terminate: &mut Terminate,
    ) -> Result<RunEnd, DaemonError> {
        // Without a management address no second process is started, so the locks are not polled.
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
                    log::info!(calls; "handed over; finishing the calls in flight");
                    let shutdown_requested_at = shutdown.map(|shutdown| shutdown.requested_at);
                    return Ok(released::run(self, process, folder, shutdown_requested_at, terminate).await);
                }
                // A failed release leaves nothing to do. The last two actions do not occur while serving.
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

    /// Waits until all clients have received their responses and disconnected, or
    /// [`client::FINAL_RESPONSE_TIMEOUT`] has passed.
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
        log::info!("another process requests the folder: handing over");
        self.exchange().set_client_connections(ClientConnections::Draining);
    }

    fn resume(&self) {
        log::warn!(
            "takeover cancelled, the successor is gone or the journal cannot be released: serving again"
        );
        self.exchange().set_client_connections(ClientConnections::Open);
    }

    /// Releases the journal. Returns `false` if the late outcomes cannot be written or another process is on standby; this
    /// process then remains the owner.
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
                log::error!("folder not handed over: {error}");
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

    /// Starts a graceful shutdown: announces it to the fleet, then lets calls finish.
    async fn start_shutdown(&self) -> Shutdown {
        log::info!("SIGTERM received: finishing calls");
        let requested_at = Instant::now();
        if let Some(fleet) = self.fleet() {
            fleet.drain().await;
        }
        let exchange = self.exchange().clone();
        Shutdown { requested_at, calls: tokio::spawn(async move { exchange.shut_down().await }) }
    }

    /// Ends a graceful shutdown: sends the last responses to clients, then announces to the fleet that this member leaves.
    async fn shut_down(self) {
        let fleet = self.fleet().cloned();
        self.close_clients().await;
        tokio::time::sleep(client::CLOSE_LINGER).await;
        if let Some(fleet) = fleet {
            fleet.leave().await;
        }
        log::info!("shutdown complete");
    }

    fn fleet(&self) -> Option<&FleetHandle> {
        self.parts.fleet.as_ref()
    }
}

/// Acquires the locks that must precede a release. Without the lock on the late outcomes, the successor would count the
/// calls in flight as lost. Returns `None` if another process is still on standby.
fn take_release_locks(
    process: &mut Process, folder: &SharedFolder,
) -> Result<Option<LateOutcomeWriter>, TakeoverError> {
    let Some(standby) = folder.try_lock(LockName::Standby)? else { return Ok(None) };
    let late_outcomes = folder.create_late_outcomes()?;
    process.standby_lock = Some(standby);
    Ok(Some(late_outcomes))
}

/// Waits until a successor owns the folder, and therefore listens, or until [`LAST_ANSWERS_DELAY`] has passed.
async fn wait_for_owner(folder: &SharedFolder) {
    let deadline = Instant::now() + LAST_ANSWERS_DELAY;
    while !folder.is_locked(LockName::Owner) && Instant::now() < deadline {
        tokio::time::sleep(OWNER_POLL_INTERVAL).await;
    }
}

fn accept_clients(config: &Config, parts: &Parts, listener: TcpListener) -> JoinHandle<()> {
    let routes = client::platform::routes(config.deployment.clone(), parts.exchange.clone());
    let front = client::Front { listener, routes, limits: client::platform::LIMITS, tls: None };
    tokio::spawn(client::serve(front, parts.limiter.clone(), parts.exchange.client_connections()))
}

/// Waits until the calls of a shutdown have ended; never returns without a shutdown.
async fn calls_ended(shutdown: &mut Option<Shutdown>) {
    match shutdown {
        Some(shutdown) => {
            let _ = (&mut shutdown.calls).await;
        }
        None => std::future::pending().await,
    }
}
