//! Request contexts, attempts, outcomes and deadlines. Drives the decision module with all that happened in a
//! moment, keeps the journal in step, and says what is to be done. It knows no wire.
//!
//! By concern: `door` what is handed in, `attempts` what is out, `ends` what is over, `group` whom there is to call,
//! `restart` what the journal says at a start, `ledger` what must be written first, `hand` whom operators took out,
//! `elder` a journal that changes hands.
mod admission;
mod attempts;
mod completions;
mod endpoints;
mod in_flight;
mod journal_writer;
mod messages;
mod pending;
mod restart;
mod suspensions;
mod takeover;
#[cfg(test)]
mod tests;

pub use messages::{Answer, Attempt, Callback, Endpoint, EndpointObservation, Input, Output};
pub use suspensions::SuspensionResult;

use crate::deduplication::DeduplicationCache;
use crate::interface::{Action, EndpointId, Event, MessageId, Nanos, Settings};
use crate::journal::{Completion, Journal, Record};
use crate::logic::Balancer;
use crate::metrics::Metrics;
use crate::plugins::Plugins;
use crate::settings::DeploymentSettings;
use in_flight::Busy;
use journal_writer::Ledger;
use pending::{records, Held};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::sync::Arc;
use takeover::Elders;

/// What a core needs to start.
pub struct CoreOptions {
    /// Settings of the decision module, and the names of classes, tenants, zones and endpoint kinds.
    pub site: Arc<DeploymentSettings>,
    /// Seed of the decision module's random numbers.
    pub seed: u64,
    /// Endpoints that discovery does not list; they are added to each complete endpoint list.
    pub static_endpoints: Vec<Endpoint>,
    /// Scripts that see each request and each outcome.
    pub plugins: Plugins,
    /// The journal, open for appending.
    pub journal: Journal,
    /// The records that the journal held when it was opened.
    pub records: Vec<Record>,
    /// Whether the process that wrote the journal may still have calls in flight.
    pub predecessor: Predecessor,
    /// Unix time of the start.
    pub now: Nanos,
}

/// The process that wrote the journal before this one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Predecessor {
    /// It has ended: whatever it had in flight may have run.
    None,
    /// It released the journal in a takeover and may still have calls in flight, whose outcomes it reports.
    MayHaveCalls,
}

/// Pending messages, their attempts and their completions: drives the decision module and the journal.
pub struct Core {
    settings: Settings,
    balancer: Balancer,
    ledger: Ledger,
    plugins: Plugins,
    site: Arc<DeploymentSettings>,
    held: BTreeMap<MessageId, Held>,
    /// How many of them are not over.
    open: usize,
    /// Keys of those that are over and whose notice is not answered, and how many each has.
    unheard: HashMap<u64, usize>,
    names: HashMap<String, MessageId>,
    ended: DeduplicationCache,
    /// Attempts that go out at the end of this moment, unless their key is not free.
    held_back: BTreeSet<MessageId>,
    /// Attempts that wait for an earlier message's notice, by its key; looked at when the key is free, not before.
    parked: HashMap<u64, Vec<MessageId>>,
    busy: Busy,
    hosts: BTreeMap<EndpointId, Endpoint>,
    /// Gone from the upstream group, and still with an attempt out.
    leaving: BTreeSet<EndpointId>,
    next_host: u32,
    /// Members that discovery does not list.
    standing: Vec<Endpoint>,
    uids: HashMap<String, EndpointId>,
    /// Endpoints that operators took out, until they call them back.
    suspended: BTreeSet<String>,
    /// Endpoints that are listed no more, the oldest first: an operator's call for one is no slip.
    retired: VecDeque<String>,
    dests: BTreeSet<u64>,
    /// Bytes that the journal must keep for what is owed.
    weight: u64,
    next: u64,
    wake: Option<Nanos>,
    events: Vec<Event>,
    orders: Vec<Output>,
    now: Nanos,
    resting: bool,
    /// The module has been told that no attempt can start.
    paused: bool,
    /// When the next line on a full journal may be logged.
    room_log: Nanos,
    metrics: Arc<Metrics>,
    elders: Elders,
    /// When the endpoints are counted next; never where nobody is shown the metrics.
    count_at: Option<Nanos>,
}

impl Core {
    /// Creates a core that resumes all messages of the journal that are not complete.
    pub fn new(options: CoreOptions) -> Core {
        let CoreOptions { site, seed, static_endpoints, plugins, journal, records, predecessor, now } =
            options;
        let settings = site.module.clone();
        let metrics = Arc::new(Metrics::new(&site.classes));
        let mut core = Core {
            balancer: Balancer::new(settings.clone(), seed),
            settings,
            ledger: Ledger::new(journal),
            plugins,
            site,
            held: BTreeMap::new(),
            open: 0,
            unheard: HashMap::new(),
            names: HashMap::new(),
            ended: DeduplicationCache::default(),
            held_back: BTreeSet::new(),
            parked: HashMap::new(),
            busy: Busy::default(),
            hosts: BTreeMap::new(),
            leaving: BTreeSet::new(),
            next_host: 0,
            standing: static_endpoints,
            uids: HashMap::new(),
            suspended: BTreeSet::new(),
            retired: VecDeque::new(),
            dests: BTreeSet::new(),
            weight: 0,
            next: 1,
            wake: None,
            events: Vec::new(),
            orders: Vec::new(),
            now,
            resting: false,
            paused: false,
            room_log: Nanos(0),
            metrics,
            elders: Elders::default(),
            count_at: None,
        };
        records.into_iter().for_each(|r| core.replay(r));
        core.resume(predecessor);
        core
    }

    /// The number for the next message that is handed in.
    pub fn next_id(&mut self) -> MessageId {
        self.next += 1;
        MessageId(self.next - 1)
    }

    /// The shortest time between two moments, as the settings have it.
    pub fn tick(&self) -> Nanos {
        self.settings.tick
    }

    /// When `moment` is to be called at the latest.
    pub fn next_wake(&self) -> Option<Nanos> {
        self.wake.filter(|_| !self.resting).into_iter().chain(self.ledger.next_wake()).min()
    }

    /// Attempts that are out.
    pub fn attempts_in_flight(&self) -> usize {
        self.busy.all()
    }

    /// From now on no new attempt starts; what is handed in is kept for the next process.
    pub fn start_draining(&mut self) {
        self.resting = true;
    }

    // ---- A moment.

    /// Takes in all that happened, lets the module decide once, and says what is to be done.
    pub fn step(&mut self, now: Nanos, inputs: Vec<Input>) -> Vec<Output> {
        self.now = now;
        self.retry_journal();
        let mut handed = Vec::new();
        for input in inputs {
            match input {
                Input::Endpoints { complete, endpoints } => self.group(complete, endpoints),
                Input::Submitted { id, context } => handed.extend(self.handed(id, context)),
                Input::Withdrawn(id) => self.withdrawn(id),
                Input::AttemptEnded { id, attempt, outcome, over, report } => {
                    self.attempt_ended(id, attempt, outcome, over, report)
                }
                Input::CallbackAcknowledged(id) => {
                    self.ledger.keep(now, Record::CallbackAcknowledged { id: id.0 }, None);
                    self.heard(id);
                }
                Input::RetryAfter { host, dest, wait } => {
                    log::debug!(dest = dest.0, wait_s = wait.secs(); "told to wait");
                    self.events.push(Event::RetryAfter { host, dest, wait });
                }
                Input::PeerObservations(sightings) => self.hearsay(sightings),
                Input::PredecessorRecords(records) => self.elder_said(records),
                Input::PredecessorExited => self.elder_gone(),
            }
        }
        // The journal may have failed since the last moment, when an attempt was about to start.
        self.pause();
        self.look_after_elders();
        let mut actions = Vec::new();
        if !self.resting {
            if self.wake.is_some_and(|w| w <= now) {
                self.wake = None;
                self.events.push(Event::Due);
            }
            let events = std::mem::take(&mut self.events);
            self.balancer.handle(now, &events, &mut actions);
        }
        self.answer(&handed, &actions);
        actions.into_iter().for_each(|a| self.carry_out(a));
        self.release_held_back();
        self.retire();
        if self.ledger.is_full(now, 0) {
            self.write_anew();
        }
        self.pause();
        self.count();
        std::mem::take(&mut self.orders)
    }

    /// Where the journal could not be written, sees whether it can be again.
    fn retry_journal(&mut self) {
        let now = self.now;
        let (held, ended, out) = (&self.held, &self.ended, &self.suspended);
        if let Some(done) = self.ledger.retry(now, || records(held, ended, out, now)) {
            self.orders.extend(done);
            if !self.ledger.stuck() {
                self.paused = false;
                self.events.push(Event::Paused(false));
                self.wake = Some(now);
            }
        }
    }

    /// Tells the module that no attempt can start. Without this it would decide on the attempts of all that it holds again
    /// and again while a disk fails.
    fn pause(&mut self) {
        if self.ledger.stuck() && !self.paused {
            self.paused = true;
            self.events.push(Event::Paused(true));
            self.wake = Some(self.now);
        }
    }

    fn write_anew(&mut self) {
        let now = self.now;
        self.ended.forget(now);
        self.ledger.rewrite(now, records(&self.held, &self.ended, &self.suspended, now));
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Send { id, host, timeout } => self.send(id, host, timeout),
            Action::Cancel { id, attempt } => self.orders.push(Output::CancelAttempt { id, attempt }),
            Action::Reject { id, after } => {
                self.end(id, Completion::Deferred(after.map(|a| a.0 / 1_000_000)))
            }
            Action::Fail(id) => self.end(id, Completion::Undeliverable),
            Action::WakeAt(at) => self.wake = Some(self.wake.map_or(at, |w| w.min(at))),
            Action::CloseIdle(host) => self.orders.push(Output::CloseIdle(host)),
            // The watch on the upstream group renews itself.
            Action::WatchEndpointList => {}
            Action::Log { text, host } => {
                let member = host.and_then(|h| self.hosts.get(&h));
                match member {
                    Some(m) => log::info!(host = m.uid, dest = m.dest; "{text}"),
                    None => log::info!("{text}"),
                }
            }
        }
    }
}
