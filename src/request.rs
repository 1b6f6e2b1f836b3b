//! A request as it stands between its client and its endpoint, and what plug-ins are shown beside it: types that all
//! layers share. Holds no state and decides nothing.
#![warn(missing_docs)]
use crate::interface::Nanos;
use bytes::Bytes;

/// A request for delivery, as a client submitted it.
#[derive(Debug)]
pub struct RequestContext {
    /// The message's name: the id that its client gave it.
    pub name: String,
    /// What the client side that accepted the request needs to report its completion. If set, that side is notified of
    /// every completion, also of a delivery. Empty for requests of the platform.
    pub origin: String,
    /// Index of its class in the settings.
    pub class: usize,
    /// Index of its tenant in the settings.
    pub tenant: usize,
    /// Messages with the same key are delivered in their order; none where the class has no order.
    pub ordering_key: Option<u64>,
    /// The destination that it is for.
    pub dest: u64,
    /// Unix time after which it must not run.
    pub deadline: Nanos,
    /// The key by which endpoints recognize repeats; empty where the class has none.
    pub idempotency_key: String,
    /// The payload, passed on as it is.
    pub body: Bytes,
    /// Set by plug-ins; not kept across a restart.
    pub tags: Vec<String>,
}

impl RequestContext {
    /// Whether all that an endpoint would receive is the same.
    pub(crate) fn same_message(&self, other: &RequestContext) -> bool {
        self.class == other.class
            && self.tenant == other.tenant
            && self.ordering_key == other.ordering_key
            && self.dest == other.dest
            && self.idempotency_key == other.idempotency_key
            && self.body == other.body
    }
}

/// What plug-ins are shown of a request beside its context.
#[derive(Clone, Copy)]
pub struct RequestDetails<'a> {
    /// The name of its class; empty where the settings have no such class.
    pub class: &'a str,
    /// The name of its tenant; empty where the settings have no such tenant.
    pub tenant: &'a str,
    /// Time to its deadline.
    pub time_left: Nanos,
}
