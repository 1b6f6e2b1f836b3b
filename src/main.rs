//! The daemon: wires its parts together and sees them through start and stop.
#![forbid(unsafe_code)]
mod acme;
mod as2;
mod client;
mod clock;
mod core;
mod discovery;
mod exchange;
mod journal;
mod logger;
mod notices;
mod plugins;
mod reload;
mod settings;
mod upstream;

use std::error::Error;
use std::process::ExitCode;
use std::sync::Arc;
use tokio::signal::unix::{signal, SignalKind};

fn main() -> ExitCode {
    logger::install();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    match runtime.map_err(Into::into).and_then(|r| r.block_on(run())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            log::error!("cannot go on: {fault}");
            ExitCode::FAILURE
        }
    }
}

async fn run() -> Result<(), Box<dyn Error>> {
    let config = settings::Config::from_env()?;
    let mut terminate = signal(SignalKind::terminate())?;
    // Before anything is ready: without a handler, a SIGHUP ends the process.
    let hangup = signal(SignalKind::hangup())?;
    let (journal, records) = journal::Journal::open(&config.state, config.disk)?;
    let book = as2::book()?.map(Arc::new);
    let standing = book.as_ref().map(|b| b.members()).unwrap_or_default();
    let core = core::Core::new(&config, standing, plugins::Plugins::load(), journal, records, clock::now());
    let (exchange, exchange::Works { tries, notices, words }) = exchange::Exchange::new(core);
    exchange.regroup(true, discovery::members(&config.site, &config.known));
    tokio::spawn(upstream::run(config.site.clone(), book.clone(), exchange.clone(), tries));
    let (moves, discovery) = tokio::sync::watch::channel(config.discovery.clone());
    tokio::spawn(reload::run(config.clone(), hangup, moves));
    tokio::spawn(notices::run(discovery.clone(), exchange.clone(), notices));
    tokio::spawn(discovery::run(config.site.clone(), config.known.rev, discovery, exchange.clone()));
    if let Some(book) = book {
        let listener = tokio::net::TcpListener::bind(&book.listen).await?;
        log::info!("AS2 front listens on {}", book.listen);
        tokio::spawn(client::as2::words(book.clone(), exchange.clone(), words));
        let (authority, site) = (book.acme.clone(), config.site.clone());
        let front = client::as2::routes(client::as2::Front { site, book, exchange: exchange.clone() });
        if let Some(authority) = authority {
            let keeper = Arc::new(acme::Keeper::default());
            tokio::spawn(acme::run(authority, config.state.clone(), keeper.clone()));
            tokio::spawn(client::serve_tls(listener, keeper, front, exchange.closing()));
        } else {
            tokio::spawn(client::serve(listener, front, exchange.closing()));
        }
    }
    let listener = tokio::net::TcpListener::bind(config.listen).await?;
    log::info!("ready: {} listens on {}", config.name, config.listen);
    let front = client::platform::routes(config.site.clone(), exchange.clone());
    let serving = tokio::spawn(client::serve(listener, front, exchange.closing()));
    terminate.recv().await;
    log::info!("told to end: finishing calls");
    exchange.wind_up().await;
    let _ = tokio::time::timeout(client::LAST_ANSWERS, serving).await;
    log::info!("ended");
    Ok(())
}
