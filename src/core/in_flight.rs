//! How many attempts are out, so that nobody counts them.
use crate::interface::EndpointId;
use std::collections::BTreeMap;

/// How many attempts are out, in all and at each endpoint.
#[derive(Default)]
pub(super) struct Busy {
    hosts: BTreeMap<EndpointId, usize>,
    all: usize,
}

impl Busy {
    pub(super) fn all(&self) -> usize {
        self.all
    }
    pub(super) fn at(&self, host: EndpointId) -> bool {
        self.hosts.contains_key(&host)
    }
    pub(super) fn add(&mut self, host: EndpointId) {
        *self.hosts.entry(host).or_default() += 1;
        self.all += 1;
    }
    pub(super) fn remove(&mut self, host: EndpointId) {
        self.all -= 1;
        if let Some(n) = self.hosts.get_mut(&host) {
            *n -= 1;
            if *n == 0 {
                self.hosts.remove(&host);
            }
        }
    }
}
