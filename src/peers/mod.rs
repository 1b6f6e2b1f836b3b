//! Learning from running neighbours: who is there (`fleet`), whom to believe (`trust`), what is told (`tell`, `frame`)
//! and what counts of it (`weigh`). Here are the sockets and the tasks. Nothing of the forwarder waits for any of it:
//! what is learned comes as an input of a moment like all else. Off unless it is given an address to listen on.
//! `docs/design/peers.md` says why it is as it is, `docs/operate/peers.md` how to run it.
pub mod aggregation;
pub mod authentication;
pub mod connect;
pub mod credentials;
pub mod frame;
pub mod inspect;
pub mod local_observations;
pub mod publish;
pub mod rotation;
pub mod session;
pub mod sources;

use crate::clock;
use crate::exchange::Exchange;
use crate::flags;
use crate::fleet::gossip::{self, FleetHandle};
use crate::fleet::member::{Member, MAX_NAME_BYTES};
use crate::fleet::node::{Node, NodeConfig};
use crate::fleet::snapshot::SnapshotStore;
use crate::fleet::wire::{Attributes, MAX_TEXT_BYTES};
use crate::interface::Nanos;
use crate::journal;
use crate::settings::Config;
use aggregation::Aggregator;
use connect::Connector;
use credentials::Credentials;
use frame::EndpointObservation;
use local_observations::LocalObservations;
use session::{LocalIdentity, SessionEnd};
use sources::Sources;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::{mpsc, watch, Semaphore};
use tokio::time::{interval, sleep, timeout, Instant};
use tokio_rustls::TlsAcceptor;

/// How soon news goes out, and how soon what counts is looked at anew.
const LOOK: Duration = Duration::from_millis(100);
/// Neighbours that are taught at once; more are turned away, and find others.
const LEARNERS: usize = 64;
/// Messages of neighbours that wait to be weighed; a reader waits while there are more.
const WAITING: usize = 256;

/// What changes while the process runs and is told to the fleet.
pub struct LocalChanges {
    /// Version of discovery's list.
    pub list_version: watch::Receiver<u64>,
    /// Where discovery is: what a reload can change.
    pub discovery_address: watch::Receiver<String>,
}

/// Starts all of it; returns at once, with the way to the fleet. What cannot be started is logged, and the forwarder
/// goes on without.
pub fn start(
    flags: &flags::PeerFlags, config: &Config, exchange: &Exchange, changes: LocalChanges,
) -> Option<FleetHandle> {
    let listen = flags.listen?;
    let off = |why: &dyn std::fmt::Display| log::error!("neighbours are off: {why}");
    let Some(files) = credentials::CredentialFiles::from_flags(&flags.identity) else {
        off(&"they need a certificate, a key and an authority");
        return None;
    };
    let trust = Arc::new(Credentials::new(files).inspect_err(|e| off(e)).ok()?);
    let disk = journal::open_disk(&config.state_dir).inspect_err(|e| off(e)).ok()?;
    let (name, seed) = (config.name.clone(), config.seed);
    if name.len() > MAX_NAME_BYTES {
        off(&format_args!("a name of {} bytes, of {MAX_NAME_BYTES} at the most", name.len()));
        return None;
    }
    // What stands on disk is raised; the clock is asked only where there is nothing, and above all that was there.
    let mut memory = SnapshotStore::open(disk, config.disk_limit);
    let started = clock::now();
    let incarnation = memory.begin_incarnation(started.0 / 1_000_000);
    let (fleet, wishes) = FleetHandle::new();
    let me =
        LocalIdentity { name: name.clone(), group: flags.identity.group.clone(), fleet: Some(fleet.clone()) };
    let address = flags.advertise.unwrap_or(listen);
    let mut facts = Attributes {
        zone: config.deployment.zones.get(config.deployment.module.zone).cloned().unwrap_or_default(),
        version: env!("CARGO_PKG_VERSION").into(),
        settings_digest: config.digest() ^ discovery_at(&config.discovery),
        settings_epoch: 1,
        list_version: *changes.list_version.borrow(),
        started: started.0 / 1_000_000_000,
        ..Attributes::default()
    };
    let cut = (0..=MAX_TEXT_BYTES.min(facts.zone.len())).rfind(|n| facts.zone.is_char_boundary(*n));
    facts.zone.truncate(cut.unwrap_or(0));
    let setup = NodeConfig {
        local: Member { address, name, incarnation },
        group: flags.identity.group.clone(),
        expected_members: flags.size,
        random_seed: seed,
        seed_addresses: flags.seeds.clone(),
        remembered_addresses: memory.known_members().iter().map(|s| s.address).collect(),
        agreed_fleet: memory.agreed_fleet().clone(),
        attributes: facts.clone(),
    };
    let (seeds, exchange, known, way) =
        (flags.seeds.clone(), exchange.clone(), fleet.known_members.clone(), fleet.clone());
    tokio::spawn(async move {
        let sockets = async { Ok((UdpSocket::bind(listen).await?, TcpListener::bind(listen).await?)) };
        let (datagrams, listener): (UdpSocket, TcpListener) = match sockets.await {
            Ok(sockets) => sockets,
            Err(e) => {
                let e: std::io::Error = e;
                return log::error!("neighbours are off: {listen}: {e}");
            }
        };
        log::info!("neighbours: listening on {listen}");
        let (own_in, own) = watch::channel(LocalObservations::default());
        let (learned_in, learned) = mpsc::channel(WAITING);
        tokio::spawn(look(exchange.clone(), own_in));
        tokio::spawn(weigh_all(exchange, learned));
        tokio::spawn(teach_all(listener, trust.clone(), me.clone(), own));
        let began = Instant::now();
        tokio::spawn(gossip::run(datagrams, Node::new(setup, Duration::ZERO), began, memory, wishes));
        tokio::spawn(write_all(way, facts, changes));
        let dial = Connector { from: listen.ip(), trust, me };
        tokio::spawn(authentication::run(dial.clone(), known, seed));
        learn_all(Sources::new(address, seeds, seed), dial, learned_in).await;
    });
    Some(fleet)
}

fn discovery_at(address: &str) -> u64 {
    u64::from(crc32fast::hash(address.as_bytes()))
}

/// Tells the fleet what changes here.
async fn write_all(fleet: FleetHandle, mut facts: Attributes, mut changes: LocalChanges) {
    let settings = facts.settings_digest ^ discovery_at(&changes.discovery_address.borrow_and_update());
    loop {
        facts.list_version = *changes.list_version.borrow_and_update();
        fleet.publish_attributes(facts.clone()).await;
        tokio::select! {
            Ok(()) = changes.list_version.changed() => {}
            Ok(()) = changes.discovery_address.changed() => {
                // All else of the settings stands until a restart.
                facts.settings_digest = settings ^ discovery_at(&changes.discovery_address.borrow_and_update());
                facts.settings_epoch += 1;
            }
            else => return,
        }
    }
}

/// Keeps what this forwarder has seen itself at hand, while somebody wants to know.
async fn look(exchange: Exchange, own: watch::Sender<LocalObservations>) {
    let mut ticks = interval(LOOK);
    loop {
        ticks.tick().await;
        // One receiver is the listener's own.
        if own.receiver_count() > 1 {
            let items = Arc::new(exchange.observations().await);
            own.send_replace(LocalObservations { items, at: clock::now() });
        }
    }
}

/// What came from one neighbour.
struct Learned {
    from: aggregation::PeerId,
    way: Nanos,
    items: Vec<EndpointObservation>,
}

async fn weigh_all(exchange: Exchange, mut learned: mpsc::Receiver<Learned>) {
    let mut weigh = Aggregator::default();
    let mut ticks = interval(LOOK);
    loop {
        tokio::select! {
            some = learned.recv() => match some {
                Some(Learned { from, way, items }) => weigh.take(clock::now(), from, way, items),
                None => return,
            },
            _ = ticks.tick() => {}
        }
        while let Ok(Learned { from, way, items }) = learned.try_recv() {
            weigh.take(clock::now(), from, way, items);
        }
        let counts = weigh.counts(clock::now());
        if !counts.is_empty() {
            exchange.peer_observations(counts);
        }
    }
}

async fn teach_all(
    listener: TcpListener, trust: Arc<Credentials>, me: LocalIdentity,
    own: watch::Receiver<LocalObservations>,
) {
    let seats = Arc::new(Semaphore::new(LEARNERS));
    loop {
        let (socket, from) = match listener.accept().await {
            Ok(come) => come,
            Err(e) => {
                log::warn!("neighbours: connection not taken in: {e}");
                sleep(LOOK).await;
                continue;
            }
        };
        // With no seat left the connection closes at once: whoever came finds another teacher.
        let Ok(seat) = seats.clone().try_acquire_owned() else { continue };
        let (server, me, own) = (trust.current().server, me.clone(), own.clone());
        tokio::spawn(async move {
            let _seat = seat;
            let _ = socket.set_nodelay(true);
            match timeout(session::HELLO_BY, TlsAcceptor::from(server).accept(socket)).await {
                Ok(Ok(stream)) => match session::teach(stream, &me, own).await {
                    SessionEnd::Closed(why) => log::debug!("neighbours: {from} learns no more: {why}"),
                    SessionEnd::Rejected(why) => log::warn!("neighbours: {from} is not taught: {why}"),
                },
                Ok(Err(e)) => log::warn!("neighbours: {from} is not taught: {e}"),
                Err(_) => log::debug!("neighbours: {from}: a handshake without end"),
            }
        });
    }
}

/// Learns from some of those that are there, for as long as the process runs.
async fn learn_all(mut teachers: Sources, dial: Connector, learned: mpsc::Sender<Learned>) {
    let began = Instant::now();
    let (ended_in, mut ended) = mpsc::unbounded_channel();
    // One line for each that is shunned, not one for each attempt.
    let mut shunned: BTreeMap<SocketAddr, String> = BTreeMap::new();
    let mut next = 0;
    let mut ticks = interval(LOOK);
    loop {
        let now = || began.elapsed().as_secs_f64();
        tokio::select! {
            _ = ticks.tick() => {}
            some = ended.recv() => if let Some((who, end)) = some {
                let pause = match end {
                    SessionEnd::Closed(why) => {
                        log::debug!("neighbours: learning from {who} is over: {why}");
                        rotation::AGAIN
                    }
                    SessionEnd::Rejected(why) => {
                        if shunned.get(&who) != Some(&why) {
                            log::warn!("neighbours: nothing is learned from {who}: {why}");
                            shunned.insert(who, why);
                        }
                        rotation::SHUNNED
                    }
                };
                teachers.ended(now(), who, pause);
            },
        }
        let there = dial.me.fleet.as_ref().map(|f| f.known_members.borrow().clone()).unwrap_or_default();
        let chosen = teachers.choose(now(), &there.available);
        for who in chosen {
            next += 1;
            let (dial, learned, ended) = (dial.clone(), learned.clone(), ended_in.clone());
            let from = next;
            tokio::spawn(async move {
                let end = match dial.to(who).await {
                    Ok(stream) => {
                        session::learn(stream, &dial.me, |way, told| {
                            // Where weighing is behind, news is dropped; what counts is told again.
                            let _ = learned.try_send(Learned { from, way, items: told.items });
                        })
                        .await
                    }
                    Err(end) => end,
                };
                let _ = ended.send((who, end));
            });
        }
    }
}
