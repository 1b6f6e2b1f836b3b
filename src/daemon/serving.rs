//! The time in which this process owns the journal and serves: until it is told to end, or another process takes over.
use super::startup::Parts;
use super::{DaemonError, RunEnd};
use crate::client;
use crate::clock;
use crate::exchange::{ClientConnections, Exchange, SHUTDOWN_TIMEOUT};
use crate::fleet::gossip::FleetHandle;
use crate::mgmt::ManagementServer;
use crate::settings::Config;
use crate::takeover::state::{Action, Observed, StateMachine, POLL_INTERVAL};
use crate::takeover::{FolderLock, LockName, SharedFolder};
use tokio::net::TcpListener;
use tokio::signal::unix::Signal;
use tokio::task::JoinHandle;
use tokio::time::Instant;

/// The platform's client address, and the parts behind it.
pub(super) struct Service {
    config: Config,
    parts: Parts,
    management: Option<ManagementServer>,
    /// The task that accepts and serves clients; it ends once their connections are closed.
    accept_task: JoinHandle<()>,
}

impl Service {
    /// Listens for clients, on a listener that is open already where there is one.
    pub(super) fn start(
        config: Config, parts: Parts, management: Option<ManagementServer>, listener: Option<TcpListener>,
    ) -> Result<Service, DaemonError> {
        let listener = match listener {
            Some(listener) => listener,
            None => listen(&config, management.is_some())?,
        };
        let accept_task = accept_clients(&config, &parts, listener);
        if let Some(management) = &management {
            management.set_serving(Some(parts.exchange.clone()));
        }
        log::info!("ready: {} listens on {}", config.name, config.listen);
        Ok(Service { config, parts, management, accept_task })
    }

    /// Serves until SIGTERM, or until another process has taken the journal over.
    pub(super) async fn run(
        mut self, folder: &SharedFolder, owner_lock: FolderLock, takeover: &mut StateMachine,
        terminate: &mut Signal,
    ) -> Result<RunEnd, DaemonError> {
        // Without an address for operators nobody starts a second process, and the locks are not polled.
        let polls_locks = self.management.is_some();
        loop {
            tokio::select! {
                _ = terminate.recv() => break,
                () = tokio::time::sleep(takeover.poll_interval()), if polls_locks => {}
            }
            match takeover.step(clock::now(), self.observe(folder)) {
                Some(Action::StopAccepting) => self.stop_accepting(),
                Some(Action::ResumeAccepting) => self.resume_accepting()?,
                Some(Action::Release) if self.release_journal(folder, takeover).await => {
                    drop(owner_lock);
                    let calls = self.exchange().calls_in_flight();
                    log::info!(calls; "handed over; ending the calls that are out");
                    return Ok(finish_calls(self.exchange(), takeover, terminate).await);
                }
                // The last two belong to the times before and after this one.
                None | Some(Action::Release | Action::StartServing | Action::Reset) => {}
            }
        }
        self.shut_down().await;
        Ok(RunEnd::Terminated)
    }

    fn exchange(&self) -> &Exchange {
        &self.parts.exchange
    }

    fn observe(&self, folder: &SharedFolder) -> Observed {
        Observed {
            clients_connected: !self.accept_task.is_finished(),
            takeover_requested: folder.is_locked(LockName::Next),
            release_blocked: self.exchange().is_release_blocked(),
            ..Observed::default()
        }
    }

    fn stop_accepting(&self) {
        log::info!("another process asks for the folder: handing over");
        self.exchange().set_client_connections(ClientConnections::Close);
    }

    fn resume_accepting(&mut self) -> Result<(), DaemonError> {
        log::warn!("the process that asked is gone, or the journal cannot be handed on: serving again");
        self.accept_task.abort();
        self.exchange().set_client_connections(ClientConnections::KeepOpen);
        let listener = listen(&self.config, self.management.is_some())?;
        self.accept_task = accept_clients(&self.config, &self.parts, listener);
        Ok(())
    }

    /// Releases the journal; `false` where its late outcomes cannot be written, and this process goes on as owner.
    async fn release_journal(&self, folder: &SharedFolder, takeover: &mut StateMachine) -> bool {
        // Locked before the journal is released, or the successor would take the calls in flight for lost.
        let late_outcomes = match folder.create_late_outcomes() {
            Ok(late_outcomes) => late_outcomes,
            Err(error) => {
                log::error!("not handed over: {error}");
                takeover.release_failed(clock::now());
                return false;
            }
        };
        if let Some(management) = &self.management {
            management.set_serving(None);
        }
        self.exchange().release_journal(late_outcomes).await;
        true
    }

    /// A graceful shutdown: the fleet hears of it first, then calls finish, clients get their last answers, and the fleet
    /// hears that this member has left.
    async fn shut_down(self) {
        log::info!("told to end: finishing calls");
        let fleet: Option<&FleetHandle> = self.parts.fleet.as_ref();
        if let Some(fleet) = fleet {
            fleet.drain().await;
        }
        self.parts.exchange.shut_down().await;
        let _ = tokio::time::timeout(client::FINAL_RESPONSES, self.accept_task).await;
        tokio::time::sleep(client::CLOSE_LINGER).await;
        if let Some(fleet) = fleet {
            fleet.leave().await;
        }
        log::info!("ended");
    }
}

/// Opens the clients' listener; `shared` where a successor may listen at the same address.
fn listen(config: &Config, shared: bool) -> Result<TcpListener, DaemonError> {
    client::listen(config.listen, shared).map_err(DaemonError::ClientAddress)
}

fn accept_clients(config: &Config, parts: &Parts, listener: TcpListener) -> JoinHandle<()> {
    let routes = client::platform::routes(config.deployment.clone(), parts.exchange.clone());
    let front = client::Front { listener, routes, limits: client::platform::LIMITS, tls: None };
    tokio::spawn(client::serve(front, parts.limiter.clone(), parts.exchange.close_signal()))
}

/// After a release: until the calls in flight have ended, or the process is told to end and its time is up.
async fn finish_calls(exchange: &Exchange, takeover: &mut StateMachine, terminate: &mut Signal) -> RunEnd {
    let mut give_up_at: Option<Instant> = None;
    loop {
        let observed = Observed { calls_in_flight: exchange.calls_in_flight() > 0, ..Observed::default() };
        let is_done = takeover.step(clock::now(), observed) == Some(Action::Reset);
        let is_late = give_up_at.is_some_and(|at| Instant::now() >= at);
        if is_done || is_late {
            log::info!("calls ended, or given up for lack of time");
            return match give_up_at {
                Some(_) => RunEnd::Terminated,
                None => RunEnd::Released,
            };
        }
        tokio::select! {
            _ = terminate.recv(), if give_up_at.is_none() => {
                log::info!("told to end: finishing calls");
                give_up_at = Some(Instant::now() + SHUTDOWN_TIMEOUT);
            }
            () = tokio::time::sleep(POLL_INTERVAL) => {}
        }
    }
}
