//! The time after this process has released the journal: its calls in flight end, and its clients are sent to the successor.
use super::serving::Service;
use super::signals::Terminate;
use super::{Process, RunEnd};
use crate::client;
use crate::clock;
use crate::exchange::{ClientConnections, SHUTDOWN_TIMEOUT};
use crate::takeover::state::{Action, Observed, POLL_INTERVAL};
use crate::takeover::{LockName, SharedFolder};
use tokio::time::Instant;

/// Runs until nothing is left of the time as the owner, or the process is told to end and may, or its time is up.
///
/// It goes on to accept clients, and rejects their requests: until the successor listens there is nobody else to do so,
/// and where the kernel prefers the successor's listener, this one is there should the successor die.
pub(super) async fn run(
    service: Service, process: &mut Process, folder: &SharedFolder, told_to_end_at: Option<Instant>,
    terminate: &mut Terminate,
) -> RunEnd {
    let mut give_up_at = told_to_end_at.map(|at| at + SHUTDOWN_TIMEOUT);
    loop {
        let observed = observe(&service, folder);
        let action = process.takeover.step(clock::now(), observed);
        let successor_listens = observed.owned_by_other && observed.request.is_none();
        let spreads_clients = successor_listens && !process.listener.yields_to_later();
        if spreads_clients {
            stop_accepting(&service, process);
        }
        if process.standby_lock.is_some() && process.takeover.is_superseded(observed) {
            log::info!("a further process asks for the folder: no longer on standby");
            stop_accepting(&service, process);
        }
        let may_exit = give_up_at.is_some() && process.takeover.may_exit(observed);
        let is_late = give_up_at.is_some_and(|at| Instant::now() >= at);
        if action == Some(Action::Reset) || may_exit || is_late {
            break;
        }
        tokio::select! {
            _ = terminate.recv(), if give_up_at.is_none() => {
                log::info!("told to end: finishing calls");
                process.listener.close();
                give_up_at = Some(Instant::now() + SHUTDOWN_TIMEOUT);
            }
            () = tokio::time::sleep(POLL_INTERVAL) => {}
        }
    }
    let exchange = service.exchange().clone();
    let is_terminated = give_up_at.is_some();
    if is_terminated || exchange.calls_in_flight() == 0 {
        log::info!("calls ended, or given up for lack of time");
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
    // In this order: a successor withdraws its request only once it owns the journal and listens.
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
