//! The daemon: wires its parts together and sees them through start and stop.
#![forbid(unsafe_code)]
use micaladder::flags::{self, Command, Run};
use micaladder::takeover::turn::{Do, Seen, Stage, Turn, LOOK_EACH};
use micaladder::takeover::{Folder, Hold, Left, Name};
use micaladder::{
    acme, as2, backoff, callbacks, check, client, clock, config_error, core, discovery, exchange, journal,
    logger, mgmt, peers, plugins, reload, settings, upstream,
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
    exchange::GONE_BY.as_millis() + client::FINAL_RESPONSES.as_millis() + client::CLOSE_LINGER.as_millis()
        < KILL_AFTER.as_millis(),
    "the process has ended by itself before it is killed"
);

fn main() -> ExitCode {
    let command = match flags::read(std::env::args_os()) {
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
                flags::Fleet::Show(look) => (look, None),
                flags::Fleet::Watch { look, every } => (look, Some(Duration::from_secs_f64(*every))),
            };
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            runtime.map_or(ExitCode::FAILURE, |r| r.block_on(peers::look::run(look, every)))
        }
        Command::Completions(shell) => {
            flags::complete(shell);
            ExitCode::SUCCESS
        }
    }
}

/// Says what is wrong, a line a fault.
fn said(faults: &[config_error::ConfigError], files: &flags::Files) -> ExitCode {
    faults.iter().for_each(|f| eprintln!("{f}"));
    if faults.is_empty() {
        println!("{}: good", files.config.display());
        return ExitCode::SUCCESS;
    }
    ExitCode::FAILURE
}

fn start(settings: &Run) -> ExitCode {
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
    mgmt: Option<mgmt::Mgmt>,
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
    config: &settings::Config, folder: &Folder, turn: &mut Turn, asks: bool, terminate: &mut Signal,
) -> Result<Option<(Hold, Option<TcpListener>)>, Box<dyn Error>> {
    let (mut next, mut listener, mut told) = (None, None, false);
    loop {
        let owner = folder.hold(Name::Owner)?;
        if turn.look(clock::now(), Seen { owns: owner.is_some(), ..Seen::default() }) == Some(Do::Serve) {
            return Ok(owner.map(|o| (o, listener)));
        }
        if !told {
            log::info!(asks; "another process owns the folder; waiting for it");
            told = true;
        }
        if asks && next.is_none() {
            // Ready first: from when it asks, some clients come here.
            listener = listener.or(Some(client::listen(config.listen, true)?));
            next = folder.hold(Name::Next)?;
        }
        tokio::select! {
            _ = terminate.recv() => return Ok(None),
            () = tokio::time::sleep(LOOK_EACH) => {}
        }
    }
}

/// Hears what the process before says of its calls, until nothing more comes from it.
async fn hear_elder(mut left: Left, exchange: exchange::Exchange) {
    loop {
        let (records, over) = left.read();
        exchange.predecessor_records(records, over);
        if over {
            // Guards what it says against a kill before it is in the journal.
            while exchange.is_release_blocked() {
                tokio::time::sleep(LOOK_EACH).await;
            }
            return left.remove();
        }
        tokio::time::sleep(LOOK_EACH).await;
    }
}

async fn run(said: &Run, process: &mut Process) -> Result<Done, Box<dyn Error>> {
    let config = settings::Config::read(said)?;
    if let (Some(at), None) = (config.mgmt, &process.mgmt) {
        // Before all that may take time: until this process serves, the answer is no.
        process.mgmt = Some(mgmt::Mgmt::start(at, &config.deployment.classes)?);
    }
    let mut terminate = signal(SignalKind::terminate())?;
    // Before anything is ready: without a handler, a SIGHUP ends the process.
    let hangup = signal(SignalKind::hangup())?;
    let (folder, mut turn) = (Folder::open(&config.state_dir)?, Turn::new());
    let asks = process.mgmt.is_some() && !process.has_left;
    let owned = own(&config, &folder, &mut turn, asks, &mut terminate).await?;
    let Some((owner, listener)) = owned else { return Ok(Done::Ended) };
    let left = folder.left();
    let journal = journal::Journal::open(&config.state_dir, config.disk_limit)?;
    let book = as2::As2Settings::load(&said.files.as2)?.map(Arc::new);
    let standing = book.as_ref().map(|b| b.endpoints()).unwrap_or_default();
    let plugins = plugins::Plugins::load(&said.files.plugins);
    let (elder, now) = (left.is_some(), clock::now());
    let core = core::Core::new(&config.deployment, config.seed, standing, plugins, journal, elder, now);
    let (exchange, exchange::Outputs { calls, notices, words }) = exchange::Exchange::new(core);
    exchange.update_endpoints(true, discovery::members(&config.deployment, &config.initial_endpoints));
    if let Some(left) = left {
        tokio::spawn(hear_elder(left, exchange.clone()));
    }
    tokio::spawn(upstream::run(config.deployment.clone(), book.clone(), exchange.clone(), calls));
    let (moves, discovery) = tokio::sync::watch::channel(config.discovery.clone());
    let (told, list) = tokio::sync::watch::channel(config.initial_endpoints.revision);
    let changes = peers::Changes { list, discovery: discovery.clone() };
    let fleet = peers::start(&said.files.neighbours, &config, &exchange, changes);
    tokio::spawn(reload::run(config.clone(), hangup, moves));
    tokio::spawn(callbacks::run(discovery.clone(), exchange.clone(), notices));
    let longest = discovery::timing::longest_pause(config.deployment.polling_forwarders() > 1);
    let again = backoff::Backoff::new(config.deployment.polling_forwarders(), longest, config.seed);
    let held = discovery::Held {
        rev: config.initial_endpoints.revision,
        serves: !config.initial_endpoints.endpoints.is_empty(),
        told,
    };
    tokio::spawn(discovery::run(config.deployment.clone(), held, discovery, exchange.clone(), again));
    let limiter = client::ConnectionLimiter::new(config.socket_limit / 3);
    if let Some(book) = book {
        let listener = TcpListener::bind(&book.listen).await?;
        log::info!("AS2 front listens on {}", book.listen);
        tokio::spawn(client::as2::send_mdns(book.clone(), exchange.clone(), words));
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
        tokio::spawn(client::serve(front, limiter.clone(), exchange.closing()));
    }
    let shared = process.mgmt.is_some();
    let open = |listener: TcpListener| {
        let routes = client::platform::routes(config.deployment.clone(), exchange.clone());
        let front = client::Front { listener, routes, limits: client::platform::LIMITS, tls: None };
        tokio::spawn(client::serve(front, limiter.clone(), exchange.closing()))
    };
    let mut serving = open(match listener {
        Some(listener) => listener,
        None => client::listen(config.listen, shared)?,
    });
    process.mgmt.iter().for_each(|m| m.serves(Some(exchange.clone())));
    log::info!("ready: {} listens on {}", config.name, config.listen);
    loop {
        // Nobody asks where no operator starts a second process; and then nothing is looked at.
        tokio::select! {
            _ = terminate.recv() => break,
            () = tokio::time::sleep(turn.pause()), if shared => {}
        }
        let clients = !serving.is_finished();
        let (asked, bound) = (folder.is_held(Name::Next), exchange.is_release_blocked());
        match turn.look(clock::now(), Seen { asked, clients, bound, ..Seen::default() }) {
            None => {}
            Some(Do::Close) => {
                log::info!("another process asks for the folder: handing over");
                exchange.keep_connections(false);
            }
            Some(Do::Open) => {
                log::warn!(
                    "the process that asked is gone, or the journal cannot be handed on: serving again"
                );
                serving.abort();
                exchange.keep_connections(true);
                serving = open(client::listen(config.listen, shared)?);
            }
            Some(Do::LetGo) => {
                // Held before the journal is let go, or the next one would take these calls for lost.
                let late = match folder.late() {
                    Ok(late) => late,
                    Err(fault) => {
                        log::error!("not handed over: {fault}");
                        turn.stage = Stage::Closing { since: clock::now() };
                        continue;
                    }
                };
                process.mgmt.iter().for_each(|m| m.serves(None));
                exchange.release_journal(late).await;
                drop(owner);
                log::info!(calls = exchange.calls_in_flight(); "handed over; ending the calls that are out");
                return Ok(end_calls(&exchange, &mut turn, &mut terminate).await);
            }
            Some(Do::Serve | Do::Forget) => {}
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
async fn end_calls(exchange: &exchange::Exchange, turn: &mut Turn, terminate: &mut Signal) -> Done {
    let mut gone_by = None;
    loop {
        let seen = Seen { calls: exchange.calls_in_flight() > 0, ..Seen::default() };
        let forgets = turn.look(clock::now(), seen) == Some(Do::Forget);
        if forgets || gone_by.is_some_and(|at| tokio::time::Instant::now() >= at) {
            log::info!("calls ended, or given up for lack of time");
            return if gone_by.is_some() { Done::Ended } else { Done::HandedOver };
        }
        tokio::select! {
            _ = terminate.recv(), if gone_by.is_none() => {
                log::info!("told to end: finishing calls");
                gone_by = Some(tokio::time::Instant::now() + exchange::GONE_BY);
            }
            () = tokio::time::sleep(LOOK_EACH) => {}
        }
    }
}
