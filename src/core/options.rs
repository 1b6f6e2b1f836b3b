//! Parameters of a core, and how much a core holds.
use super::endpoint_list::{EndpointList, ListDelivery};
use super::messages::Endpoint;
use crate::interface::Nanos;
use crate::journal::{Journal, Record};
use crate::plugins::Plugins;
use crate::settings::DeploymentSettings;
use std::sync::Arc;

/// Parameters of [`Core::new`](super::Core::new).
pub struct CoreOptions {
    /// Settings of the decision module, and the names of classes, tenants, zones and endpoint kinds.
    pub deployment: Arc<DeploymentSettings>,
    /// What the core may hold.
    pub limits: HoldingLimits,
    /// Seed of the decision module's random numbers.
    pub seed: u64,
    /// Endpoints from the settings rather than from discovery; added to each complete endpoint list.
    pub static_endpoints: Vec<Endpoint>,
    /// The endpoint list in the configuration, used if the folder's last process has stored none or an older one.
    pub configured_list: EndpointList,
    /// How soon discovery sends its list to a new process.
    pub list_delivery: ListDelivery,
    /// Plug-in scripts that inspect each request and each outcome.
    pub plugins: Plugins,
    /// The journal, open for appending.
    pub journal: Journal,
    /// The records read from the journal when it was opened.
    pub records: Vec<Record>,
    /// Whether the process that wrote the journal may still have calls in flight.
    pub predecessor: Predecessor,
    /// Unix time at startup.
    pub now: Nanos,
}

/// State of the process that wrote the journal before this one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Predecessor {
    /// The predecessor has exited. Attempts that it had in flight may have run.
    None,
    /// The predecessor released the journal in a takeover. It reports the outcomes of calls that it still has in flight.
    MayHaveCalls,
}

/// What a core may hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HoldingLimits {
    /// Memory of pending messages and of the deduplication cache, in bytes. Beyond it requests are rejected.
    pub message_bytes: u64,
    /// Number of endpoints. Further ones are ignored.
    pub endpoints: usize,
}

/// How much a core holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Holdings {
    /// Number of pending messages.
    pub pending_messages: usize,
    /// Bytes that the journal reserves for them.
    pub pending_bytes: u64,
    /// Bytes that the journal reserves for the complete messages of the deduplication cache.
    pub remembered_bytes: u64,
    /// Number of attempts in flight.
    pub attempts_in_flight: usize,
    /// Number of endpoints, with removed ones that still have an attempt in flight.
    pub endpoints: usize,
}
