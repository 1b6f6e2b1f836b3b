//! What everybody may name: a request as it stands between its client and its endpoint, and what plug-ins are told
//! beside it. Holds no state and decides nothing.
use crate::interface::Nanos;
use bytes::Bytes;

/// A request for delivery, as a client handed it in.
#[derive(Debug)]
pub struct RequestContext {
    /// What its client calls it.
    pub name: String,
    /// What the front through which it came needs to pass on its end; if set, it hears of every end, also of a
    /// delivery. Empty on the platform.
    pub origin: String,
    pub class: usize,
    pub tenant: usize,
    pub key: Option<u64>,
    pub dest: u64,
    pub deadline: Nanos,
    /// By which endpoints know repeats; empty where the class has none.
    pub repeat_key: String,
    pub body: Bytes,
    /// Set by plug-ins; not kept across a restart.
    pub tags: Vec<String>,
}

impl RequestContext {
    /// Whether all that is passed on is the same.
    pub(crate) fn same_message(&self, other: &RequestContext) -> bool {
        let what = |c: &RequestContext| (c.class, c.tenant, c.key, c.dest);
        what(self) == what(other) && self.repeat_key == other.repeat_key && self.body == other.body
    }
}

/// What plug-ins are told of a request beside its context.
#[derive(Clone, Copy)]
pub struct Outlook<'a> {
    pub class: &'a str,
    pub tenant: &'a str,
    pub left: Nanos,
}
