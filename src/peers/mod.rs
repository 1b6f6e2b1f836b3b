//! Exchange of endpoint observations with running peers, so that a restarted forwarder knows of outages, waits and
//! limits without meeting them itself.
//!
//! `fleet` says which members are present. `credentials` and `authentication` say which of them to trust. `session` and
//! `frame` are the protocol: a subscriber connects to a few `sources` and receives what they `publish`. `aggregation`
//! decides what counts of it, and hands it to the exchange as an input like any other; nothing in the forwarder waits
//! for a peer. `inspect` is the client behind `micaladder fleet`.
//!
//! Off unless a listen address is configured. `docs/design/peers.md` has the reasons, `docs/operate/peers.md`
//! the operation.
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

/// Interval at which local observations are collected for subscribers, and at which those of peers are aggregated.
const REFRESH_INTERVAL: Duration = Duration::from_millis(100);
/// Batches that wait to be aggregated. When it is full, further ones are dropped: what counts is published again.
const MAX_QUEUED_BATCHES: usize = 256;
/// Nanoseconds in the units of the fleet's clock fields.
const NANOS_PER_MILLI: u64 = 1_000_000;
const NANOS_PER_SEC: u64 = 1_000_000_000;

/// Values that change while the process runs and that the fleet shows of this member.
pub struct LocalChanges {
    /// Version of discovery's endpoint list.
    pub list_version: watch::Receiver<u64>,
    /// Address of discovery: the one setting that a reload can change.
    pub discovery_address: watch::Receiver<String>,
}

/// Starts membership and the exchange with peers; returns at once, with a handle to the fleet. None if it is not
/// configured, or cannot start: that is logged, and the forwarder serves without.
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

/// All that has been read and checked before the sockets are bound.
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
        // The incarnation on disk is raised. The clock is read only where there is none, and stays above it.
        let incarnation = snapshots.begin_incarnation(started.0 / NANOS_PER_MILLI);
        let advertised = flags.advertise.unwrap_or(listen);
        let local = Member { address: advertised, name: config.name.clone(), incarnation };
        let list_version = *changes.list_version.borrow();
        let attributes = attributes::at_start(config, list_version, started.0 / NANOS_PER_SEC);
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

    /// Binds the sockets and runs all tasks, for as long as the process runs.
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

/// Binds the listen address for datagrams (membership) and connections (observations).
async fn bind(address: SocketAddr) -> Result<(UdpSocket, TcpListener), PeersError> {
    let error = |source| PeersError::Bind { address, source };
    let datagrams = UdpSocket::bind(address).await.map_err(error)?;
    let listener = TcpListener::bind(address).await.map_err(error)?;
    Ok((datagrams, listener))
}
