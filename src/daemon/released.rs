//! Runs after this process has released the journal: lets its calls in flight end while clients move to the successor.
use super::serving::Service;
use super::signals::Terminate;
use super::{Process, RunEnd};
use crate::client;
use crate::clock;
use crate::exchange::{ClientConnections, SHUTDOWN_TIMEOUT};
use crate::takeover::state::{Action, Observed, POLL_INTERVAL};
use crate::takeover::{LockName, SharedFolder};
use tokio::time::Instant;

/// Runs until the takeover's state machine returns [`Action::Reset`]. After SIGTERM, also returns once the process may exit
/// or [`SHUTDOWN_TIMEOUT`] has passed.
///
/// The process still accepts clients and rejects their requests, because no other process listens until the successor does.
/// If the kernel prefers the successor's listener, this one stays open in case the successor dies.
pub(super) async fn run(
    service: Service, process: &mut Process, folder: &SharedFolder, shutdown_requested_at: Option<Instant>,
    terminate: &mut Terminate,
) -> RunEnd {
    let mut deadline = shutdown_requested_at.map(|at| at + SHUTDOWN_TIMEOUT);
    loop {
        let observed = observe(&service, folder);
        let action = process.takeover.step(clock::now(), observed);
        let successor_listens = observed.owned_by_other && observed.request.is_none();
        let connections_are_spread = successor_listens && !process.listener.yields_to_later();
        if connections_are_spread {
            stop_accepting(&service, process);
        }
        if process.standby_lock.is_some() && process.takeover.is_superseded(observed) {
            log::info!("a third process requests the folder: no longer on standby");
            stop_accepting(&service, process);
        }
        let may_exit = deadline.is_some() && process.takeover.may_exit(observed);
        let is_timed_out = deadline.is_some_and(|at| Instant::now() >= at);
        if action == Some(Action::Reset) || may_exit || is_timed_out {
            break;
        }
        tokio::select! {
            _ = terminate.recv(), if deadline.is_none() => {
                log::info!("SIGTERM received: finishing calls");
                process.listener.close();
                deadline = Some(Instant::now() + SHUTDOWN_TIMEOUT);
            }
            () = tokio::time::sleep(POLL_INTERVAL) => {}
        }
    }
    let exchange = service.exchange().clone();
    let is_terminated = deadline.is_some();
    if is_terminated || exchange.calls_in_flight() == 0 {
        log::info!("calls have ended or timed out");
    }
    service.close_clients().await;
    if !is_terminated {
        let left_over = (exchange.calls_in_flight() > 0).then_some(exchange);
        return RunEnd::Released { left_over };
    }
    tokio::time::sleep(client::CLOSE_LINGER).await;
    RunEnd::Terminated
}

fn observe(service: &Service, folder: &SharedFolder) -> Observed {
    // Reads the request before the owner's lock: a successor drops its request only once it owns the journal and listens, so
    // in this order the request and the lock cannot both appear free while a successor takes over.
    let request = folder.pending_request();
    Observed {
        owned_by_other: folder.is_locked(LockName::Owner),
        request,
        clients_connected: service.limiter().has_connections(),
        calls_in_flight: service.exchange().calls_in_flight() > 0,
        ..Observed::default()
    }
}

fn stop_accepting(service: &Service, process: &mut Process) {
    service.exchange().set_client_connections(ClientConnections::NotAccepted);
    process.listener.close();
    process.standby_lock = None;
}
