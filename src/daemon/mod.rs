//! The daemon: wires the parts together, and sees them through start, takeover and shutdown.
//!
//! `ownership` waits for the journal, `startup` builds the parts round it, `serving` runs them until the process is to end
//! or another one takes over, and `released` sees the process through the time after that. `listener` and `standby` are the
//! clients' address across these times, `left_over` the calls that outlast one, `signals` hears SIGTERM.
#![warn(missing_docs)]
mod error;
mod left_over;
mod listener;
mod ownership;
mod released;
mod serving;
mod signals;
mod standby;
mod startup;

pub use error::DaemonError;

use crate::client;
use crate::exchange::{self, Exchange};
use crate::flags::RunFlags;
use crate::mgmt::ManagementServer;
use crate::settings::Config;
use crate::takeover::state::StateMachine;
use crate::takeover::{FolderLock, SharedFolder};
use left_over::LeftOverCalls;
use listener::ClientListener;
use ownership::Ownership;
use serving::Service;
use signals::Terminate;
use std::time::{Duration, Instant};
use tokio::runtime::Runtime;
use tokio::signal::unix::{signal, Signal, SignalKind};

/// The soonest that a planned restart kills the process after SIGTERM.
const KILL_AFTER: Duration = Duration::from_millis(3700);

/// Share of the process's sockets that client connections may take, as a divisor: the rest is for endpoints and files.
const CLIENT_SOCKETS_DIVISOR: usize = 3;

const _: () = assert!(
    exchange::SHUTDOWN_TIMEOUT.as_millis()
        + client::FINAL_RESPONSE_TIMEOUT.as_millis()
        + client::CLOSE_LINGER.as_millis()
        < KILL_AFTER.as_millis(),
    "the process has ended by itself before it is killed"
);

/// Runs the daemon until SIGTERM.
///
/// # Errors
///
/// The daemon cannot start, or cannot go on after a takeover that was undone.
pub fn run(flags: &RunFlags) -> Result<(), DaemonError> {
    let mut process = Process::default();
    let mut generation = Generation::new()?;
    loop {
        let Generation { runtime, mut terminate, hangup } = generation;
        let left_over = match runtime.block_on(run_once(flags, &mut process, &mut terminate, hangup))? {
            RunEnd::Terminated => {
                process.end_left_over_calls(terminate.heard_at());
                return Ok(());
            }
            RunEnd::Released { left_over } => left_over,
        };
        process.has_released = true;
        // The next handlers before these are dropped: a signal that came to none would be lost (issue 48).
        generation = Generation::new()?;
        generation.terminate.add(&mut terminate);
        if let Some(exchange) = left_over {
            process.left_over_calls = Some(LeftOverCalls::finish(runtime, exchange)?);
        }
    }
}

/// A runtime and its signal handlers, for each time that this process owns the journal or waits for it: all tasks of that
/// time end with it.
struct Generation {
    runtime: Runtime,
    terminate: Terminate,
    hangup: Signal,
}

impl Generation {
    fn new() -> Result<Generation, DaemonError> {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let runtime = runtime.map_err(DaemonError::System)?;
        let context = runtime.enter();
        let terminate = Terminate::install().map_err(DaemonError::System)?;
        let hangup = signal(SignalKind::hangup()).map_err(DaemonError::System)?;
        drop(context);
        Ok(Generation { runtime, terminate, hangup })
    }
}

/// What outlives a change of the journal's owner.
#[derive(Default)]
struct Process {
    management: Option<ManagementServer>,
    takeover: StateMachine,
    listener: ClientListener,
    /// Held while this process goes on to listen behind its successor.
    standby_lock: Option<FolderLock>,
    /// Calls of an earlier time as the owner.
    left_over_calls: Option<LeftOverCalls>,
    /// It has released the journal once: it takes it again only if no other process has it, and does not ask for it.
    has_released: bool,
}

impl Process {
    /// The process ends: calls of an earlier time have as long as others to end.
    fn end_left_over_calls(&mut self, told_to_end_at: Option<Instant>) {
        let Some(calls) = self.left_over_calls.take() else { return };
        let give_up_at = told_to_end_at.unwrap_or_else(Instant::now) + exchange::SHUTDOWN_TIMEOUT;
        calls.wait_until(give_up_at);
    }
}

/// How a time as the journal's owner, or a wait for that, ended.
enum RunEnd {
    /// The process was told to end.
    Terminated,
    /// Another process owns the journal now, or none.
    Released {
        /// The exchange, where calls are in flight still.
        left_over: Option<Exchange>,
    },
}

/// Waits for the journal, serves, and ends or releases the journal.
async fn run_once(
    flags: &RunFlags, process: &mut Process, terminate: &mut Terminate, hangup: Signal,
) -> Result<RunEnd, DaemonError> {
    let config = Config::read(flags)?;
    start_management(&config, process)?;
    let folder = SharedFolder::open(&config.state_dir)?;
    let owned = ownership::acquire(&config, &folder, process, terminate).await?;
    let Some(Ownership { lock, request, listener }) = owned else { return Ok(RunEnd::Terminated) };
    let parts = startup::start(flags, &config, &folder, hangup).await?;
    let service = Service::start(&config, parts, process.management.clone(), listener);
    drop(request);
    service.run(process, &folder, lock, terminate).await
}

/// Listens for operators before all that may take time: until this process serves, it answers that it is not ready.
fn start_management(config: &Config, process: &mut Process) -> Result<(), DaemonError> {
    let Some(address) = config.mgmt else { return Ok(()) };
    if process.management.is_none() {
        let started = ManagementServer::start(address, &config.deployment.classes);
        process.management = Some(started.map_err(DaemonError::ManagementAddress)?);
    }
    Ok(())
}
