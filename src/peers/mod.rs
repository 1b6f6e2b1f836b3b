//! Exchanges endpoint observations with running peers, so that a restarted forwarder knows about outages, Retry-After
//! waits and limits without making calls of its own to find them.
//!
//! `fleet` provides the members that are present; `credentials` and `authentication` establish which of them are trusted.
//! `session` and `frame` implement the protocol: a subscriber connects to a few `sources` and receives the observations
//! that they `publish`. `aggregation` selects the effective observations, which `subscriptions` passes to the exchange as
//! ordinary input. The forwarder never waits for a peer. `inspect` is the client behind `micaladder fleet`.
//!
//! The exchange is disabled unless a listen address is configured. `docs/design/peers.md` describes the design,
//! `docs/operate/peers.md` the operation.
#![warn(missing_docs)]
mod acceptor;
pub mod aggregation;
mod attributes;
pub mod authentication;
pub mod connect;
pub mod credentials;
pub mod error;
pub mod frame;
pub mod inspect;
pub mod local_observations;
pub mod publish;
pub mod rotation;
pub mod session;
pub mod sources;
mod subscriptions;
pub mod topic;

pub use error::PeersError;

use crate::clock;
use crate::exchange::Exchange;
use crate::flags;
use crate::fleet::gossip::{self, DriverChannels, FleetHandle};
use crate::fleet::member::{Member, MAX_NAME_BYTES};
use crate::fleet::node::{Node, NodeConfig};
use crate::fleet::snapshot::SnapshotStore;
use crate::fleet::wire::Attributes;
use crate::journal;
use crate::settings::Config;
use connect::Connector;
use credentials::{CredentialFiles, Credentials};
use local_observations::LocalObservations;
use session::LocalIdentity;
use sources::Sources;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

/// Interval at which local observations are collected for subscribers and peer observations are aggregated.
const REFRESH_INTERVAL: Duration = Duration::from_millis(100);
/// Capacity of the queue between the sessions and the aggregation. Batches are dropped when the queue is full, because
/// publishers repeat current observations.
const MAX_QUEUED_BATCHES: usize = 256;
/// Converts the clock to milliseconds, the unit of the first incarnation.
const NANOS_PER_MILLI: u64 = 1_000_000;
/// Converts the clock to seconds, the unit of a member's start time.
const NANOS_PER_SEC: u64 = 1_000_000_000;

/// Values that change at run time and are part of this member's attributes in the fleet.
pub struct LocalChanges {
    /// Version of discovery's endpoint list.
    pub list_version: watch::Receiver<u64>,
    /// Address of the discovery service, the only setting that a reload can change.
    pub discovery_address: watch::Receiver<String>,
}

/// Starts fleet membership and the exchange with peers in the background, and returns a handle to the fleet.
///
/// Returns `None` if no listen address is configured. Also returns `None` if the exchange cannot start: the error is
/// logged and the forwarder serves without peers.
pub fn start(
    flags: &flags::PeerFlags, config: &Config, exchange: &Exchange, changes: LocalChanges,
) -> Option<FleetHandle> {
    let listen = flags.listen?;
    match PeerExchange::prepare(listen, flags, config, changes) {
        Ok(prepared) => {
            let fleet = prepared.fleet.clone();
            tokio::spawn(prepared.run(exchange.clone()));
            Some(fleet)
        }
        Err(error) => {
            log_disabled(&error);
            None
        }
    }
}

fn log_disabled(error: &PeersError) {
    log::error!("peer exchange is off: {error}");
}

/// The validated configuration and opened files, before the sockets are bound.
struct PeerExchange {
    listen: SocketAddr,
    advertised: SocketAddr,
    seeds: Vec<SocketAddr>,
    random_seed: u64,
    connector: Connector,
    fleet: FleetHandle,
    channels: DriverChannels,
    node_config: NodeConfig,
    snapshots: SnapshotStore,
    attributes: Attributes,
    changes: LocalChanges,
}

impl PeerExchange {
    fn prepare(
        listen: SocketAddr, flags: &flags::PeerFlags, config: &Config, changes: LocalChanges,
    ) -> Result<PeerExchange, PeersError> {
        let files = CredentialFiles::from_flags(&flags.identity).ok_or(PeersError::MissingCredentials)?;
        let credentials = Arc::new(Credentials::new(files).map_err(PeersError::Credentials)?);
        let disk = journal::open_disk(&config.state_dir).map_err(PeersError::StateFolder)?;
        if config.name.len() > MAX_NAME_BYTES {
            return Err(PeersError::NameTooLong { length: config.name.len(), max: MAX_NAME_BYTES });
        }
        let mut snapshots = SnapshotStore::open(disk, config.disk_limit);
        let started = clock::now();
        // Increments the stored incarnation. Without a stored one, the incarnation starts from the clock, which is above the
        // incarnation of an earlier process whose state folder was lost.
        let incarnation = snapshots.begin_incarnation(started.0 / NANOS_PER_MILLI);
        let advertised = flags.advertise.unwrap_or(listen);
        let local = Member { address: advertised, name: config.name.clone(), incarnation };
        let list_version = *changes.list_version.borrow();
        let attributes = attributes::initial(config, list_version, started.0 / NANOS_PER_SEC);
        let node_config = node_config(flags, config, local, &snapshots, &attributes);
        let (fleet, channels) = FleetHandle::new();
        let identity = LocalIdentity {
            name: config.name.clone(),
            group: flags.identity.group.clone(),
            fleet: Some(fleet.clone()),
        };
        Ok(PeerExchange {
            listen,
            advertised,
            seeds: flags.seeds.clone(),
            random_seed: config.seed,
            connector: Connector { source: listen.ip(), credentials, identity },
            fleet,
            channels,
            node_config,
            snapshots,
            attributes,
            changes,
        })
    }

    /// Binds the sockets and runs all tasks until the process exits.
    async fn run(self, exchange: Exchange) {
        let (datagrams, listener) = match bind(self.listen).await {
            Ok(sockets) => sockets,
            Err(error) => return log_disabled(&error),
        };
        log::info!("peer exchange: listening on {}", self.listen);
        let (collected_tx, collected) = watch::channel(LocalObservations::default());
        let (batches_tx, batches) = mpsc::channel(MAX_QUEUED_BATCHES);
        tokio::spawn(local_observations::collect(exchange.clone(), collected_tx));
        tokio::spawn(subscriptions::aggregate(exchange, batches));
        let Connector { credentials, identity, .. } = self.connector.clone();
        tokio::spawn(acceptor::run(listener, credentials, identity, collected));
        let node = Node::new(self.node_config, Duration::ZERO);
        tokio::spawn(gossip::run(datagrams, node, Instant::now(), self.snapshots, self.channels));
        let known = self.fleet.known_members.clone();
        tokio::spawn(attributes::publish_changes(self.fleet, self.attributes, self.changes));
        tokio::spawn(authentication::run(self.connector.clone(), known.clone(), self.random_seed));
        let sources = Sources::new(self.advertised, self.seeds, self.random_seed);
        subscriptions::run(sources, known, self.connector, batches_tx).await;
    }
}

fn node_config(
    flags: &flags::PeerFlags, config: &Config, local: Member, snapshots: &SnapshotStore,
    attributes: &Attributes,
) -> NodeConfig {
    NodeConfig {
        local,
        group: flags.identity.group.clone(),
        expected_members: flags.size,
        random_seed: config.seed,
        seed_addresses: flags.seeds.clone(),
        remembered_addresses: snapshots.known_members().iter().map(|member| member.address).collect(),
        agreed_fleet: snapshots.agreed_fleet().clone(),
        attributes: attributes.clone(),
    }
}

/// Binds the listen address for UDP (membership) and TCP (observations).
async fn bind(address: SocketAddr) -> Result<(UdpSocket, TcpListener), PeersError> {
    let error = |source| PeersError::Bind { address, source };
    let datagrams = UdpSocket::bind(address).await.map_err(error)?;
    let listener = TcpListener::bind(address).await.map_err(error)?;
    Ok((datagrams, listener))
}
