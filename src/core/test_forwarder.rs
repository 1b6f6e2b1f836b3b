//! Helper of the unit tests: a forwarder in virtual time on an in-memory disk, whose process can be killed and started again.
use super::test_disk::InMemoryDisk;
use super::tests::deployment;
use super::{
    Core, CoreOptions, Endpoint, EndpointList, HoldingLimits, Input, ListDelivery, ListRevision, Output,
    Predecessor,
};
use crate::interface::{EndpointState, Nanos};
use crate::journal::Journal;
use crate::plugins::Plugins;
use crate::request::RequestContext;
use crate::settings::DeploymentSettings;
use std::sync::Arc;

/// Address of the discovery server.
pub(crate) const SOURCE: &str = "discovery:1";
/// Destination of all messages.
pub(crate) const DEST: u64 = 7;
/// Start of the first process.
pub(crate) const STARTED: Nanos = Nanos(1_000_000_000_000);
/// Index of the class whose messages may run repeatedly.
const IDEMPOTENT_CLASS: usize = 1;
/// How long a process is down after a kill, in seconds.
const DOWNTIME_S: f64 = 0.6;
/// Time until the deadline of a new message, in seconds.
const TIME_LEFT_S: f64 = 8.0;
const CAPACITY: u64 = 1 << 20;

/// Returns an endpoint that accepts messages.
pub(crate) fn endpoint(uid: &str, address: &str, dest: u64) -> Endpoint {
    let state = EndpointState::Running;
    Endpoint { uid: uid.into(), address: address.into(), zone: 0, kind: 0, dest, state, rate: 50.0 }
}

pub(crate) fn revision(source: &str, number: u64) -> ListRevision {
    ListRevision { source: source.into(), number }
}

/// Returns the list in the configuration: the destination is at address `a`.
pub(crate) fn configured(number: u64) -> EndpointList {
    EndpointList { revision: revision(SOURCE, number), endpoints: vec![endpoint("s-1", "a", DEST)] }
}

/// Returns a later list: another destination is at address `a`, and the destination at `b`.
pub(crate) fn moved(source: &str, number: u64) -> Input {
    let endpoints = vec![endpoint("s-2", "b", DEST), endpoint("s-3", "a", DEST + 1)];
    Input::Endpoints { revision: revision(source, number), complete: true, endpoints }
}

/// Returns a request with this name that may run repeatedly, and whose deadline is [`TIME_LEFT_S`] after `now`.
pub(crate) fn request(name: &str, now: Nanos) -> RequestContext {
    RequestContext {
        name: name.into(),
        origin: String::new(),
        class: IDEMPOTENT_CLASS,
        tenant: 0,
        ordering_key: None,
        dest: DEST,
        deadline: now + TIME_LEFT_S,
        idempotency_key: String::new(),
        body: vec![7; 9].into(),
        tags: Vec::new(),
    }
}

/// A forwarder whose process can be killed and started again on its folder.
pub(crate) struct Forwarder {
    pub(in crate::core) disk: InMemoryDisk,
    deployment: Arc<DeploymentSettings>,
    pub(crate) core: Core,
    pub(crate) now: Nanos,
}

impl Forwarder {
    pub(crate) fn start(delivery: ListDelivery) -> Forwarder {
        let (disk, deployment) = (InMemoryDisk::default(), deployment());
        let core = start_core(&disk, &deployment, configured(1), delivery, STARTED);
        Forwarder { disk, deployment, core, now: STARTED }
    }

    /// Kills the process and starts another one.
    pub(crate) fn restart(&mut self, configured: EndpointList, delivery: ListDelivery) {
        self.disk = self.disk.after_kill();
        self.now = self.now + DOWNTIME_S;
        self.core = start_core(&self.disk, &self.deployment, configured, delivery, self.now);
    }

    pub(crate) fn step(&mut self, inputs: Vec<Input>) -> Vec<Output> {
        self.core.step(self.now, inputs)
    }

    /// Runs a step and returns the addresses of its calls.
    pub(crate) fn called_addresses(&mut self, inputs: Vec<Input>) -> Vec<String> {
        let calls = self.step(inputs).into_iter().filter_map(|output| match output {
            Output::Call(attempts) => Some(attempts),
            _ => None,
        });
        calls.flatten().map(|attempt| attempt.address).collect()
    }

    /// Returns a new request with this name.
    pub(crate) fn message(&mut self, name: &str) -> Input {
        let context = request(name, self.now);
        Input::Submitted { id: self.core.next_id(), context }
    }
}

fn start_core(
    disk: &InMemoryDisk, deployment: &Arc<DeploymentSettings>, configured_list: EndpointList,
    list_delivery: ListDelivery, now: Nanos,
) -> Core {
    let (journal, records) = Journal::open_on(Box::new(disk.clone()), CAPACITY).expect("the journal opens");
    Core::new(CoreOptions {
        limits: HoldingLimits { message_bytes: 1 << 30, endpoints: 10_000 },
        deployment: deployment.clone(),
        seed: 7,
        static_endpoints: Vec::new(),
        configured_list,
        list_delivery,
        plugins: Plugins::none(),
        journal,
        records,
        predecessor: Predecessor::None,
        now,
    })
}
