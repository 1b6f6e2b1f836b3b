//! The daemon: wires its parts together and sees them through start and stop.
#![forbid(unsafe_code)]
use micaladder::flags::{self, Command, Run};
use micaladder::{
    acme, as2, backoff, check, client, clock, core, discovery, exchange, fault, journal, logger, mgmt,
    neighbours, notices, plugins, reload, settings, upstream,
};
use std::error::Error;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;
use tokio::signal::unix::{signal, SignalKind};

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
        Command::Check(files) => said(&check::all(&files), &files),
        Command::Fleet(what) => {
            let (look, every) = match &what {
                flags::Fleet::Show(look) => (look, None),
                flags::Fleet::Watch { look, every } => (look, Some(Duration::from_secs_f64(*every))),
            };
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            runtime.map_or(ExitCode::FAILURE, |r| r.block_on(neighbours::look::run(look, every)))
        }
        Command::Completions(shell) => {
            flags::complete(shell);
            ExitCode::SUCCESS
        }
    }
}

/// Says what is wrong, a line a fault.
fn said(faults: &[fault::Fault], files: &flags::Files) -> ExitCode {
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
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    match runtime.map_err(Into::into).and_then(|r| r.block_on(run(settings))) {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            log::error!("cannot go on: {fault}");
            ExitCode::FAILURE
        }
    }
}

async fn run(said: &Run) -> Result<(), Box<dyn Error>> {
    let config = settings::Config::read(said)?;
    // Before all that may take time: until this process serves, the answer is no.
    let mgmt = config.mgmt.map(|at| mgmt::Mgmt::start(at, &config.site.classes)).transpose()?;
    let mut terminate = signal(SignalKind::terminate())?;
    // Before anything is ready: without a handler, a SIGHUP ends the process.
    let hangup = signal(SignalKind::hangup())?;
    let journal = journal::Journal::open(&config.state, config.disk)?;
    let book = as2::book(&said.files.as2)?.map(Arc::new);
    let standing = book.as_ref().map(|b| b.members()).unwrap_or_default();
    let plugins = plugins::Plugins::load(&said.files.plugins);
    let core = core::Core::new(&config.site, config.seed, standing, plugins, journal, clock::now());
    let (exchange, exchange::Works { tries, notices, words }) = exchange::Exchange::new(core);
    exchange.regroup(true, discovery::members(&config.site, &config.known));
    tokio::spawn(upstream::run(config.site.clone(), book.clone(), exchange.clone(), tries));
    let (moves, discovery) = tokio::sync::watch::channel(config.discovery.clone());
    let (told, list) = tokio::sync::watch::channel(config.known.rev);
    let changes = neighbours::Changes { list, discovery: discovery.clone() };
    let fleet = neighbours::start(&said.files.neighbours, &config, &exchange, changes);
    tokio::spawn(reload::run(config.clone(), hangup, moves));
    tokio::spawn(notices::run(discovery.clone(), exchange.clone(), notices));
    let again = backoff::Backoff::new(config.site.askers(), config.seed);
    let held = discovery::Held { rev: config.known.rev, serves: !config.known.targets.is_empty(), told };
    tokio::spawn(discovery::run(config.site.clone(), held, discovery, exchange.clone(), again));
    let seats = client::Seats::new(config.sockets / 3);
    if let Some(book) = book {
        let listener = tokio::net::TcpListener::bind(&book.listen).await?;
        log::info!("AS2 front listens on {}", book.listen);
        tokio::spawn(client::as2::words(book.clone(), exchange.clone(), words));
        let authority = book.acme.clone();
        let (site, exchange) = (config.site.clone(), exchange.clone());
        let routes = client::as2::routes(client::as2::Front { site, book, exchange: exchange.clone() });
        let keeper = Arc::new(acme::Keeper::default());
        let tls = authority.as_ref().map(|_| client::tls(keeper.clone())).transpose()?;
        if let Some(authority) = authority {
            tokio::spawn(acme::run(authority, config.state.clone(), keeper));
        }
        let front = client::Front { listener, routes, limits: client::as2::LIMITS, tls };
        tokio::spawn(client::serve(front, seats.clone(), exchange.closing()));
    }
    let listener = tokio::net::TcpListener::bind(config.listen).await?;
    let routes = client::platform::routes(config.site.clone(), exchange.clone());
    let front = client::Front { listener, routes, limits: client::platform::LIMITS, tls: None };
    let serving = tokio::spawn(client::serve(front, seats, exchange.closing()));
    log::info!("ready: {} listens on {}", config.name, config.listen);
    mgmt.iter().for_each(|m| m.serves(Some(exchange.clone())));
    terminate.recv().await;
    log::info!("told to end: finishing calls");
    if let Some(fleet) = &fleet {
        fleet.drain().await;
    }
    exchange.wind_up().await;
    let _ = tokio::time::timeout(client::LAST_ANSWERS, serving).await;
    tokio::time::sleep(client::FAREWELL).await;
    if let Some(fleet) = &fleet {
        fleet.leave().await;
    }
    log::info!("ended");
    Ok(())
}
