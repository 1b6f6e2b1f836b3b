//! The daemon: wires its parts together and sees them through start and stop.
#![forbid(unsafe_code)]
use micaladder::flags::{self, Command, RunFlags};
use micaladder::takeover::state::{Action, Observed, State, StateMachine, POLL_INTERVAL};
use micaladder::takeover::{FolderLock, LateOutcomeReader, LockName, SharedFolder};
use micaladder::{
    acme, as2, callbacks, check, client, clock, config_error, core, discovery, exchange, journal, logger,
    mgmt, peers, plugins, reload, settings, upstream,
};
use std::error::Error;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, Signal, SignalKind};

/// A planned restart kills the process so long after SIGTERM at the soonest.
const KILL_AFTER: Duration = Duration::from_millis(3700);

const _: () = assert!(
    exchange::SHUTDOWN_TIMEOUT.as_millis()
        + client::FINAL_RESPONSES.as_millis()
        + client::CLOSE_LINGER.as_millis()
        < KILL_AFTER.as_millis(),
    "the process has ended by itself before it is killed"
);

fn main() -> ExitCode {
    let command = match flags::parse(std::env::args_os()) {
        Ok(command) => command,
        Err(said) => {
            // Also the texts that were asked for; a pipe that is closed is no reason to fail.
            let _ = said.print();
            return ExitCode::from(said.exit_code() as u8);
        }
    };
    match command {
        Command::Run(run) => start(&run),
        Command::Check(files) => said(&check::check_files(&files), &files),
        Command::Fleet(what) => {
            let (look, every) = match &what {
                flags::FleetCommand::Show(look) => (look, None),
                flags::FleetCommand::Watch { query: look, every } => {
                    (look, Some(Duration::from_secs_f64(*every)))
                }
            };
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            runtime.map_or(ExitCode::FAILURE, |r| r.block_on(peers::inspect::run(look, every)))
        }
        Command::Completions(shell) => {
            flags::write_completions(shell);
            ExitCode::SUCCESS
        }
    }
}

/// Says what is wrong, a line a fault.
fn said(faults: &[config_error::ConfigError], files: &flags::FileFlags) -> ExitCode {
    faults.iter().for_each(|f| eprintln!("{f}"));
    if faults.is_empty() {
        println!("{}: good", files.config.display());
        return ExitCode::SUCCESS;
    }
    ExitCode::FAILURE
}

fn start(settings: &RunFlags) -> ExitCode {
    let log = &settings.log;
    logger::install(&log.filter, log.format, log.burst);
    let mut process = Process::default();
    loop {
        // One for each time that the journal is this process's: what is left of it when it changes hands ends with it.
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        match runtime.map_err(Into::into).and_then(|r| r.block_on(run(settings, &mut process))) {
            Ok(Done::Ended) => return ExitCode::SUCCESS,
            Ok(Done::HandedOver) => process.has_left = true,
            Err(fault) => {
                log::error!("cannot go on: {fault}");
                return ExitCode::FAILURE;
            }
        }
    }
}

/// What outlives a change of the journal's owner.
#[derive(Default)]
struct Process {
    mgmt: Option<mgmt::ManagementServer>,
    /// It has handed the journal on: it takes it again only if nobody has it, and asks for it no more.
    has_left: bool,
}

/// How a time as the journal's owner, or a wait for that, ended.
enum Done {
    Ended,
    HandedOver,
}

/// Waits for the journal. A process that operators look after (`mgmt`) asks for it and stands ready at the clients' address.
async fn own(
    config: &settings::Config, folder: &SharedFolder, turn: &mut StateMachine, asks: bool,
    terminate: &mut Signal,
) -> Result<Option<(FolderLock, Option<TcpListener>)>, Box<dyn Error>> {
    let (mut next, mut listener, mut told) = (None, None, false);
    loop {
        let owner = folder.try_lock(LockName::Owner)?;
        if turn.step(clock::now(), Observed { lock_acquired: owner.is_some(), ..Observed::default() })
            == Some(Action::StartServing)
        {
            return Ok(owner.map(|o| (o, listener)));
        }
        if !told {
            log::info!(asks; "another process owns the folder; waiting for it");
            told = true;
        }
        if asks && next.is_none() {
            // Ready first: from when it asks, some clients come here.
            listener = listener.or(Some(client::listen(config.listen, true)?));
            next = folder.try_lock(LockName::Next)?;
        }
        tokio::select! {
            _ = terminate.recv() => return Ok(None),
            () = tokio::time::sleep(POLL_INTERVAL) => {}
        }
    }
}

/// Hears what the process before says of its calls, until nothing more comes from it.
async fn hear_elder(mut left: LateOutcomeReader, exchange: exchange::Exchange) {
    loop {
        let (records, over) = left.read();
        exchange.predecessor_records(records);
        if over {
            exchange.predecessor_exited();
            // Guards what it says against a kill before it is in the journal.
            while exchange.is_release_blocked() {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
            return left.remove();
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

async fn run(said: &RunFlags, process: &mut Process) -> Result<Done, Box<dyn Error>> {
    let config = settings::Config::read(said)?;
    if let (Some(at), None) = (config.mgmt, &process.mgmt) {
        // Before all that may take time: until this process serves, the answer is no.
        process.mgmt = Some(mgmt::ManagementServer::start(at, &config.deployment.classes)?);
    }
    let mut terminate = signal(SignalKind::terminate())?;
    // Before anything is ready: without a handler, a SIGHUP ends the process.
    let hangup = signal(SignalKind::hangup())?;
    let (folder, mut turn) = (SharedFolder::open(&config.state_dir)?, StateMachine::new());
    let asks = process.mgmt.is_some() && !process.has_left;
    let owned = own(&config, &folder, &mut turn, asks, &mut terminate).await?;
    let Some((owner, listener)) = owned else { return Ok(Done::Ended) };
    let left = folder.open_late_outcomes();
    let journal = journal::Journal::open(&config.state_dir, config.disk_limit)?;
    let book = as2::As2Settings::load(&said.files.as2)?.map(Arc::new);
    let standing = book.as_ref().map(|b| b.endpoints()).unwrap_or_default();
    let plugins = plugins::Plugins::load(&said.files.plugins);
    let (journal, records) = journal;
    let predecessor = match left {
        Some(_) => core::Predecessor::MayHaveCalls,
        None => core::Predecessor::None,
    };
    let core = core::Core::new(core::CoreOptions {
        site: config.deployment.clone(),
        seed: config.seed,
        static_endpoints: standing,
        plugins,
        journal,
        records,
        predecessor,
        now: clock::now(),
    });
    let (exchange, exchange::Outputs { upstream_commands, platform_callbacks, as2_receipts }) =
        exchange::Exchange::new(core);
    let known = discovery::endpoints(&config.deployment, &config.initial_endpoints);
    exchange.update_endpoints(exchange::EndpointUpdate::Complete(known));
    if let Some(left) = left {
        tokio::spawn(hear_elder(left, exchange.clone()));
    }
    tokio::spawn(upstream::run(config.deployment.clone(), book.clone(), exchange.clone(), upstream_commands));
    let (moves, discovery) = tokio::sync::watch::channel(config.discovery.clone());
    let (told, list) = tokio::sync::watch::channel(config.initial_endpoints.revision);
    let changes = peers::LocalChanges { list_version: list, discovery_address: discovery.clone() };
    let fleet = peers::start(&said.files.peers, &config, &exchange, changes);
    tokio::spawn(reload::run(config.clone(), hangup, moves));
    tokio::spawn(callbacks::run(discovery.clone(), exchange.clone(), platform_callbacks));
    let known = discovery::EndpointListState {
        version: config.initial_endpoints.revision,
        can_serve: !config.initial_endpoints.endpoints.is_empty(),
        published_version: told,
    };
    tokio::spawn(discovery::run(config.deployment.clone(), known, discovery, exchange.clone(), config.seed));
    let limiter = client::ConnectionLimiter::new(config.socket_limit / 3);
    if let Some(book) = book {
        let listener = TcpListener::bind(&book.listen).await?;
        log::info!("AS2 front listens on {}", book.listen);
        tokio::spawn(client::as2::send_mdns(book.clone(), exchange.clone(), as2_receipts));
        let authority = book.acme.clone();
        let (site, exchange) = (config.deployment.clone(), exchange.clone());
        let routes = client::as2::routes(client::as2::As2Front {
            deployment: site,
            settings: book,
            exchange: exchange.clone(),
        });
        let keeper = Arc::new(acme::CertificateStore::default());
        let tls = authority.as_ref().map(|_| client::tls(keeper.clone())).transpose()?;
        if let Some(authority) = authority {
            tokio::spawn(acme::run(authority, config.state_dir.clone(), keeper));
        }
        let front = client::Front { listener, routes, limits: client::as2::LIMITS, tls };
        tokio::spawn(client::serve(front, limiter.clone(), exchange.close_signal()));
    }
    let shared = process.mgmt.is_some();
    let open = |listener: TcpListener| {
        let routes = client::platform::routes(config.deployment.clone(), exchange.clone());
        let front = client::Front { listener, routes, limits: client::platform::LIMITS, tls: None };
        tokio::spawn(client::serve(front, limiter.clone(), exchange.close_signal()))
    };
    let mut serving = open(match listener {
        Some(listener) => listener,
        None => client::listen(config.listen, shared)?,
    });
    process.mgmt.iter().for_each(|m| m.set_serving(Some(exchange.clone())));
    log::info!("ready: {} listens on {}", config.name, config.listen);
    loop {
        // Nobody asks where no operator starts a second process; and then nothing is looked at.
        tokio::select! {
            _ = terminate.recv() => break,
            () = tokio::time::sleep(turn.poll_interval()), if shared => {}
        }
        let clients = !serving.is_finished();
        let (asked, bound) = (folder.is_locked(LockName::Next), exchange.is_release_blocked());
        match turn.step(
            clock::now(),
            Observed {
                takeover_requested: asked,
                clients_connected: clients,
                release_blocked: bound,
                ..Observed::default()
            },
        ) {
            None => {}
            Some(Action::StopAccepting) => {
                log::info!("another process asks for the folder: handing over");
                exchange.set_client_connections(exchange::ClientConnections::Close);
            }
            Some(Action::ResumeAccepting) => {
                log::warn!(
                    "the process that asked is gone, or the journal cannot be handed on: serving again"
                );
                serving.abort();
                exchange.set_client_connections(exchange::ClientConnections::KeepOpen);
                serving = open(client::listen(config.listen, shared)?);
            }
            Some(Action::Release) => {
                // Held before the journal is let go, or the next one would take these calls for lost.
                let late = match folder.create_late_outcomes() {
                    Ok(late) => late,
                    Err(fault) => {
                        log::error!("not handed over: {fault}");
                        turn.state = State::Draining { since: clock::now() };
                        continue;
                    }
                };
                process.mgmt.iter().for_each(|m| m.set_serving(None));
                exchange.release_journal(late).await;
                drop(owner);
                log::info!(calls = exchange.calls_in_flight(); "handed over; ending the calls that are out");
                return Ok(end_calls(&exchange, &mut turn, &mut terminate).await);
            }
            Some(Action::StartServing | Action::Reset) => {}
        }
    }
    log::info!("told to end: finishing calls");
    if let Some(fleet) = &fleet {
        fleet.drain().await;
    }
    exchange.shut_down().await;
    let _ = tokio::time::timeout(client::FINAL_RESPONSES, serving).await;
    tokio::time::sleep(client::CLOSE_LINGER).await;
    if let Some(fleet) = &fleet {
        fleet.leave().await;
    }
    log::info!("ended");
    Ok(Done::Ended)
}

/// After a hand-over: until the calls that are out have ended, or the process is told to end and has no time left.
async fn end_calls(exchange: &exchange::Exchange, turn: &mut StateMachine, terminate: &mut Signal) -> Done {
    let mut gone_by = None;
    loop {
        let seen = Observed { calls_in_flight: exchange.calls_in_flight() > 0, ..Observed::default() };
        let forgets = turn.step(clock::now(), seen) == Some(Action::Reset);
        if forgets || gone_by.is_some_and(|at| tokio::time::Instant::now() >= at) {
            log::info!("calls ended, or given up for lack of time");
            return if gone_by.is_some() { Done::Ended } else { Done::HandedOver };
        }
        tokio::select! {
            _ = terminate.recv(), if gone_by.is_none() => {
                log::info!("told to end: finishing calls");
                gone_by = Some(tokio::time::Instant::now() + exchange::SHUTDOWN_TIMEOUT);
            }
            () = tokio::time::sleep(POLL_INTERVAL) => {}
        }
    }
}
