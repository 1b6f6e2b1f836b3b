//! The request that all layers share, from the client to the endpoint.
#![warn(missing_docs)]
use crate::interface::Nanos;
use bytes::Bytes;

/// Prefix of the names of messages that AS2 partners submit. The partner's Message-ID follows.
pub const AS2_NAME_PREFIX: &str = "as2:";

/// Returns whether a message with this name may be submitted again long after its completion. An AS2 partner repeats a message whose
/// receipt it has not received under the same Message-ID (RFC 4130, section 5.2.1), whereas the platform's clients give each submission a
/// new id.
pub fn has_lasting_name(name: &str) -> bool {
    name.starts_with(AS2_NAME_PREFIX)
}

/// A request for delivery, as a client submitted it.
#[derive(Debug)]
pub struct RequestContext {
    /// Name of the message: the id that the client assigned.
    pub name: String,
    /// Data that the accepting client front needs to report the completion. If set, the front is notified of every
    /// completion, including a delivery. Empty for requests of the platform.
    pub origin: String,
    /// Index of the class in the settings.
    pub class: usize,
    /// Index of the tenant in the settings.
    pub tenant: usize,
    /// Messages with the same key are delivered in order; `None` if the class is unordered.
    pub ordering_key: Option<u64>,
    /// Destination of the message.
    pub dest: u64,
    /// Unix time after which the message must not run.
    pub deadline: Nanos,
    /// Key by which endpoints recognize repeated deliveries; empty if the class has none.
    pub idempotency_key: String,
    /// Payload, forwarded unchanged.
    pub body: Bytes,
    /// Tags that plug-ins have set; lost in a restart.
    pub tags: Vec<String>,
}

impl RequestContext {
    /// Returns whether an endpoint would receive the same message for both requests.
    pub(crate) fn same_message(&self, other: &RequestContext) -> bool {
        self.class == other.class
            && self.tenant == other.tenant
            && self.ordering_key == other.ordering_key
            && self.dest == other.dest
            && self.idempotency_key == other.idempotency_key
            && self.body == other.body
    }
}
