//! The daemon: wires the parts together and manages the life of the process from start through takeover to shutdown.
//!
//! `ownership` acquires the journal, `startup` builds the parts around it, `serving` runs them until the process shuts down
//! or another process takes over, and `released` finishes calls and client connections after the journal was released.
//! `listener` and `standby` keep the client address open across these phases, `left_over` drives calls that outlast the
//! phase that started them, and `signals` handles SIGTERM.
#![warn(missing_docs)]
mod error;
mod left_over;
mod listener;
mod memory_monitor;
mod ownership;
mod released;
mod serving;
mod signals;
mod standby;
mod startup;

pub use error::DaemonError;

use crate::client::{self, ConnectionLimiter};
use crate::exchange::{self, Exchange};
use crate::flags::RunFlags;
use crate::memory::MemoryBudget;
use crate::mgmt::ManagementServer;
use crate::settings::Config;
use crate::takeover::state::StateMachine;
use crate::takeover::{FolderLock, SharedFolder};
use left_over::LeftOverCalls;
use listener::ClientListener;
use ownership::Ownership;
use serving::Service;
use signals::Terminate;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::runtime::Runtime;
use tokio::signal::unix::{signal, Signal, SignalKind};

/// Pause before the process tries again to start after an error that may pass.
const START_RETRY_DELAY: Duration = Duration::from_millis(100);

/// The earliest time after SIGTERM at which a planned restart kills the process.
const MIN_KILL_DELAY: Duration = Duration::from_millis(3700);

/// Descriptors that a process with many keeps for endpoints, discovery, callbacks and files. A process with few keeps two thirds.
const RESERVED_SOCKETS: u64 = 384;

const _: () = assert!(
    exchange::SHUTDOWN_TIMEOUT.as_millis()
        + client::FINAL_RESPONSE_TIMEOUT.as_millis()
        + client::CLOSE_LINGER.as_millis()
        < MIN_KILL_DELAY.as_millis(),
    "the process must exit by itself before it is killed"
);

/// Runs the daemon until SIGTERM.
///
/// # Errors
///
/// The daemon cannot start, or cannot continue after an undone takeover.
pub fn run(flags: &RunFlags) -> Result<(), DaemonError> {
    let mut process = Process::default();
    let mut generation = Generation::new()?;
    loop {
        let Generation { runtime, mut terminate, hangup } = generation;
        let left_over = match runtime.block_on(run_once(flags, &mut process, &mut terminate, hangup)) {
            Ok(RunEnd::Terminated) => {
                process.end_left_over_calls(terminate.received_at());
                return Ok(());
            }
            Ok(RunEnd::Released { left_over }) => {
                process.has_released = true;
                left_over
            }
            Err(error) if error.may_pass() => {
                log::error!("cannot start or continue yet, trying again: {error}");
                process.listener.close();
                // The owner's lock is free again.
                process.takeover = StateMachine::default();
                if runtime.block_on(is_terminated_within(START_RETRY_DELAY, &mut terminate)) {
                    return Ok(());
                }
                None
            }
            Err(error) => return Err(error),
        };
        // Installs the next handlers before the old ones are dropped: a signal that reaches no handler would be lost (issue 48).
        generation = Generation::new()?;
        generation.terminate.inherit_pending(&mut terminate);
        if let Some(exchange) = left_over {
            process.left_over_calls = Some(LeftOverCalls::finish(runtime, exchange)?);
        }
    }
}

/// Waits for SIGTERM, at most for `delay`. Returns whether it was received.
async fn is_terminated_within(delay: Duration, terminate: &mut Terminate) -> bool {
    tokio::time::timeout(delay, terminate.recv()).await.is_ok()
}

/// A runtime and its signal handlers. The process creates one for each period in which it waits for the journal or owns
/// it. The tasks of the period end with the runtime.
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

/// The state that persists when the owner of the journal changes.
#[derive(Default)]
struct Process {
    /// The configuration of the last period. The values that took precedence over the file's keys at the start of the process are
    /// part of it.
    config: Option<Config>,
    management: Option<ManagementServer>,
    takeover: StateMachine,
    listener: ClientListener,
    /// Held while this process listens behind its successor.
    standby_lock: Option<FolderLock>,
    /// Calls from an earlier period as the owner.
    left_over_calls: Option<LeftOverCalls>,
    /// Whether this process has released the journal before. If so, it takes the journal again only if no other process
    /// owns it, and does not request the folder.
    has_released: bool,
}

impl Process {
    /// Waits for the left-over calls as long as for any others: at most [`exchange::SHUTDOWN_TIMEOUT`] after SIGTERM.
    fn end_left_over_calls(&mut self, shutdown_requested_at: Option<Instant>) {
        let Some(calls) = self.left_over_calls.take() else { return };
        let deadline = shutdown_requested_at.unwrap_or_else(Instant::now) + exchange::SHUTDOWN_TIMEOUT;
        calls.wait_until(deadline);
    }
}

/// How a period of waiting for the journal or owning it ended.
enum RunEnd {
    /// SIGTERM was received, and the process is to exit.
    Terminated,
    /// The process released the journal; another process may own it now.
    Released {
        /// The exchange, if calls are still in flight.
        left_over: Option<Exchange>,
    },
}

/// Acquires the journal and serves until the process shuts down or releases the journal.
async fn run_once(
    flags: &RunFlags, process: &mut Process, terminate: &mut Terminate, hangup: Signal,
) -> Result<RunEnd, DaemonError> {
    let config = read_config(flags, process)?;
    log_limits(&config);
    start_management(&config, process)?;
    let folder = SharedFolder::open(&config.state_dir)?;
    let owned = ownership::acquire(&config, &folder, process, terminate).await?;
    let Some(Ownership { lock, request, listener }) = owned else { return Ok(RunEnd::Terminated) };
    let parts = startup::start(flags, &config, &folder, hangup).await?;
    let service = Service::start(&config, parts, process.management.clone(), listener);
    drop(request);
    service.run(process, &folder, lock, terminate).await
}

/// Reads the configuration at the start of a period. Which variables take precedence over the file is decided once, at the start of
/// the process: a key that a reload has changed since then differs from its variable, and must not lose to it.
///
/// # Errors
///
/// The file cannot be used, and the process has no configuration yet.
fn read_config(flags: &RunFlags, process: &mut Process) -> Result<Config, DaemonError> {
    let config = match &process.config {
        None => Config::read(flags)?,
        Some(current) => current.reload().unwrap_or_else(|error| {
            log::error!("configuration not read again, the current one stays in force: {error}");
            current.clone()
        }),
    };
    process.config = Some(config.clone());
    Ok(config)
}

/// Creates the limiter of all client connections of a process with this configuration.
fn client_limiter(config: &Config) -> Arc<ConnectionLimiter> {
    let sockets = config.socket_limit as u64;
    let connections = (sockets / 3).max(sockets.saturating_sub(RESERVED_SOCKETS).min(sockets / 8 * 5));
    ConnectionLimiter::new(connections, MemoryBudget::new(config.memory_limit).clients())
}

fn log_limits(config: &Config) {
    log::info!(
        pid = std::process::id(),
        memory_bytes = config.memory_limit,
        disk_bytes = config.disk_limit,
        sockets = config.socket_limit;
        "limits of this process"
    );
}

/// Starts the management listener before any step that may take long. It responds with "not ready" until this process serves.
fn start_management(config: &Config, process: &mut Process) -> Result<(), DaemonError> {
    let Some(address) = config.mgmt else { return Ok(()) };
    if process.management.is_none() {
        let started = ManagementServer::start(address, &config.deployment.classes);
        process.management = Some(started.map_err(DaemonError::ManagementAddress)?);
    }
    Ok(())
}
