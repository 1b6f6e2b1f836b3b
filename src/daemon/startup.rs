//! Builds the parts around the journal and starts their tasks.
use super::{client_limiter, memory_monitor, DaemonError};
use crate::as2::As2Settings;
use crate::client::{self, ConnectionLimiter, SharedListener};
use crate::core::{Core, CoreOptions, HoldingLimits, Predecessor};
use crate::exchange::{Exchange, Outputs};
use crate::flags::RunFlags;
use crate::fleet::gossip::FleetHandle;
use crate::journal::Journal;
use crate::memory::MemoryBudget;
use crate::plugins::Plugins;
use crate::settings::Config;
use crate::takeover::state::POLL_INTERVAL;
use crate::takeover::{LateOutcomeReader, SharedFolder};
use crate::{acme, callbacks, clock, discovery, peers, reload, upstream};
use std::io;
use std::sync::Arc;
use tokio::net::TcpListener;
use tokio::signal::unix::Signal;
use tokio::sync::{mpsc, watch};

/// The parts that run while this process owns the journal.
pub(super) struct Parts {
    pub(super) exchange: Exchange,
    /// The fleet, if this forwarder has peers.
    pub(super) fleet: Option<FleetHandle>,
    /// Limits the client connections of all fronts together.
    pub(super) limiter: Arc<ConnectionLimiter>,
}

/// Starts everything except the platform's client front.
pub(super) async fn start(
    flags: &RunFlags, config: &Config, folder: &SharedFolder, hangup: Signal,
) -> Result<Parts, DaemonError> {
    let late_outcomes = folder.open_late_outcomes();
    let budget = MemoryBudget::new(config.memory_limit);
    // The folder's files count as memory.
    let folder_bytes = config.disk_limit.min(budget.files());
    let (journal, records) = Journal::open(&config.state_dir, folder_bytes).map_err(DaemonError::Journal)?;
    let as2 = As2Settings::load(&flags.files.as2)?.map(Arc::new);
    let core = Core::new(CoreOptions {
        deployment: config.deployment.clone(),
        limits: HoldingLimits { message_bytes: budget.messages(), endpoints: budget.max_endpoints() },
        seed: config.seed,
        static_endpoints: as2.as_ref().map(|settings| settings.endpoints()).unwrap_or_default(),
        configured_list: discovery::configured_list(config),
        list_delivery: discovery::list_delivery(&config.deployment),
        plugins: Plugins::load(&flags.files.plugins),
        journal,
        records,
        predecessor: predecessor(late_outcomes.as_ref()),
        now: clock::now(),
    });
    let initial_list = InitialList::of(&core, config);
    let (exchange, outputs) = Exchange::new(core);
    let Outputs { upstream_commands, platform_callbacks, as2_completions } = outputs;
    if let Some(reader) = late_outcomes {
        tokio::spawn(follow_predecessor(reader, exchange.clone()));
    }
    let deployment = config.deployment.clone();
    tokio::spawn(upstream::run(deployment, as2.clone(), exchange.clone(), upstream_commands));
    let discovery = start_discovery(flags, config, initial_list, &exchange, hangup);
    tokio::spawn(callbacks::run(discovery.address, exchange.clone(), platform_callbacks));
    let limiter = client_limiter(config);
    tokio::spawn(memory_monitor::run(config.memory_limit, exchange.clone(), limiter.clone()));
    if let Some(as2) = as2 {
        start_as2_front(config, as2, &exchange, as2_completions, &limiter).await?;
    }
    Ok(Parts { exchange, fleet: discovery.fleet, limiter })
}

/// Returns the status of the predecessor. A predecessor that left late outcomes may still have calls in flight.
fn predecessor(late_outcomes: Option<&LateOutcomeReader>) -> Predecessor {
    match late_outcomes {
        Some(_) => Predecessor::MayHaveCalls,
        None => Predecessor::None,
    }
}

/// Passes the predecessor's late outcomes to the exchange until no more can arrive, then removes their file.
async fn follow_predecessor(mut reader: LateOutcomeReader, exchange: Exchange) {
    loop {
        let (records, is_complete) = reader.read();
        exchange.predecessor_records(records);
        if is_complete {
            break;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    exchange.predecessor_exited();
    // Keeps the file until its outcomes are in the journal, so that a kill before that loses none.
    while exchange.is_release_blocked() {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    reader.remove();
}

/// The parts of discovery that other parts use.
struct DiscoveryParts {
    /// The address of the discovery service; a reload may change it.
    address: watch::Receiver<String>,
    fleet: Option<FleetHandle>,
}

/// The endpoint list from which discovery continues.
struct InitialList {
    /// Version after which the first watch starts; 0 requests the complete list.
    version: u64,
    has_endpoints: bool,
}

impl InitialList {
    fn of(core: &Core, config: &Config) -> InitialList {
        let revision = core.list_revision();
        // Another discovery server numbers its versions differently.
        let version = if revision.source == config.discovery { revision.number } else { 0 };
        InitialList { version, has_endpoints: core.has_listed_endpoints() }
    }
}

/// Starts discovery, the peer exchange that publishes the list's version, and the reloads that may change the address.
fn start_discovery(
    flags: &RunFlags, config: &Config, list: InitialList, exchange: &Exchange, hangup: Signal,
) -> DiscoveryParts {
    let (address_sender, address) = watch::channel(config.discovery.clone());
    let (version_sender, list_version) = watch::channel(list.version);
    let changes = peers::LocalChanges { list_version, discovery_address: address.clone() };
    let fleet = peers::start(&flags.files.peers, config, exchange, changes);
    tokio::spawn(reload::run(config.clone(), hangup, address_sender));
    let initial_list = discovery::EndpointListState {
        version: list.version,
        can_serve: list.has_endpoints,
        published_version: version_sender,
    };
    let server = discovery::DiscoveryServer {
        address: address.clone(),
        max_list_bytes: MemoryBudget::new(config.memory_limit).max_list_bytes(),
    };
    let deployment = config.deployment.clone();
    tokio::spawn(discovery::run(deployment, initial_list, server, exchange.clone(), config.seed));
    DiscoveryParts { address, fleet }
}

/// Listens at the AS2 address. With a management address the listener is shared, since a predecessor may still listen there.
async fn listen_for_partners(config: &Config, address: &str) -> io::Result<TcpListener> {
    let mut addresses = tokio::net::lookup_host(address).await?;
    let address =
        addresses.next().ok_or_else(|| io::Error::other(format!("{address}: host has no address")))?;
    match config.mgmt {
        Some(_) => SharedListener::open(address)?.accept_handle(),
        None => client::listen(address),
    }
}

/// Starts the front for AS2 partners, with TLS if the settings name a certificate authority.
async fn start_as2_front(
    config: &Config, settings: Arc<As2Settings>, exchange: &Exchange,
    completions: mpsc::UnboundedReceiver<crate::core::Callback>, limiter: &Arc<ConnectionLimiter>,
) -> Result<(), DaemonError> {
    let listener = listen_for_partners(config, &settings.listen).await.map_err(DaemonError::ClientAddress)?;
    log::info!("AS2 front listens on {}", settings.listen);
    tokio::spawn(client::as2::send_mdns(settings.clone(), exchange.clone(), completions));
    let authority = settings.acme.clone();
    let front = client::as2::As2Front::new(config.deployment.clone(), settings, exchange.clone());
    let routes = client::as2::routes(front);
    let mut tls = None;
    if let Some(authority) = authority {
        let certificates = Arc::new(acme::CertificateStore::default());
        tls = Some(client::tls(certificates.clone())?);
        tokio::spawn(acme::run(authority, config.state_dir.clone(), certificates));
    }
    let front = client::Front { listener, routes, limits: client::as2::LIMITS, tls };
    tokio::spawn(client::serve(front, limiter.clone(), exchange.client_connections()));
    Ok(())
}
