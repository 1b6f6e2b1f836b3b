//! Pending messages, attempts, completions and deadlines, without I/O. Drives the decision module with all that happened
//! in a step, keeps the journal ahead of what is done, and returns what is to be done. Knows no wire.
//!
//! By concern: `admission` requests and their answers, `pending` the table of messages, `attempts` and `in_flight` what is
//! sent, `ordering` attempts that wait behind their ordering key, `completions` what is over, `endpoints` the endpoint
//! registry, `suspensions` what operators change in it, `journal_writer` what must be written first, `restart` what the
//! journal says at a start, `takeover` a journal that goes from one process to the next.
#![warn(missing_docs)]
mod admission;
mod attempts;
mod completions;
mod endpoints;
mod in_flight;
mod journal_writer;
mod messages;
mod ordering;
mod pending;
mod restart;
mod suspensions;
mod takeover;
#[cfg(test)]
mod tests;

pub use admission::rejection_retry_after;
pub use messages::{Answer, Attempt, Callback, Endpoint, EndpointObservation, Input, Output};
pub use suspensions::SuspensionResult;

use crate::deduplication::DeduplicationCache;
use crate::interface::{Action, EndpointId, Event, MessageId, Nanos, Settings};
use crate::journal::{Completion, Journal, Record};
use crate::logic::Balancer;
use crate::metrics::Metrics;
use crate::plugins::Plugins;
use crate::settings::DeploymentSettings;
use endpoints::EndpointRegistry;
use journal_writer::JournalWriter;
use ordering::OrderingKeys;
use pending::PendingMessages;
use std::sync::Arc;
use takeover::PredecessorCalls;

/// Nanoseconds in a millisecond, the unit in which a completion tells a wait.
const NANOS_PER_MILLI: u64 = 1_000_000;

/// What a core needs to start.
pub struct CoreOptions {
    /// Settings of the decision module, and the names of classes, tenants, zones and endpoint kinds.
    pub deployment: Arc<DeploymentSettings>,
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
    deployment: Arc<DeploymentSettings>,
    balancer: Balancer,
    plugins: Plugins,
    metrics: Arc<Metrics>,
    journal: JournalWriter,
    pending: PendingMessages,
    ordering: OrderingKeys,
    deduplication: DeduplicationCache,
    endpoints: EndpointRegistry,
    predecessor_calls: PredecessorCalls,
    /// The number of the next message.
    next_id: u64,
    /// Time of the present step.
    now: Nanos,
    /// When the module is to be called at the latest.
    wake_at: Option<Nanos>,
    /// What the module is told next.
    events: Vec<Event>,
    /// What the present step returns.
    outputs: Vec<Output>,
    /// No new attempt starts, and the module is not called any more.
    draining: bool,
    /// The module has been told that no attempt can start.
    paused: bool,
    /// When the next warning of a journal without capacity may be logged.
    capacity_warning_at: Nanos,
    /// When the endpoints are counted next; none while nobody is shown the metrics.
    endpoint_count_at: Option<Nanos>,
}

impl Core {
    /// Creates a core that resumes all messages of the journal that are not complete.
    pub fn new(options: CoreOptions) -> Core {
        let CoreOptions { deployment, seed, static_endpoints, plugins, journal, records, predecessor, now } =
            options;
        let settings = deployment.module.clone();
        let mut core = Core {
            balancer: Balancer::new(settings.clone(), seed),
            settings,
            plugins,
            metrics: Arc::new(Metrics::new(&deployment.classes)),
            deployment,
            journal: JournalWriter::new(journal),
            pending: PendingMessages::default(),
            ordering: OrderingKeys::default(),
            deduplication: DeduplicationCache::default(),
            endpoints: EndpointRegistry::new(static_endpoints),
            predecessor_calls: PredecessorCalls::default(),
            next_id: 1,
            now,
            wake_at: None,
            events: Vec::new(),
            outputs: Vec::new(),
            draining: false,
            paused: false,
            capacity_warning_at: Nanos(0),
            endpoint_count_at: None,
        };
        for record in records {
            core.replay(record);
        }
        core.resume(predecessor);
        core
    }

    /// Takes the number for the next message that is submitted.
    pub fn next_id(&mut self) -> MessageId {
        let id = MessageId(self.next_id);
        self.next_id += 1;
        id
    }

    /// The shortest time between two steps, from the settings.
    pub fn tick(&self) -> Nanos {
        self.settings.tick
    }

    /// When [`step`](Core::step) is to be called at the latest; none where nothing is due.
    pub fn next_wake(&self) -> Option<Nanos> {
        let module = self.wake_at.filter(|_| !self.draining);
        module.into_iter().chain(self.journal.next_wake()).min()
    }

    /// Attempts that have not ended.
    pub fn attempts_in_flight(&self) -> usize {
        self.pending.in_flight().total()
    }

    /// From now on no new attempt starts; what is submitted is kept for the next process.
    pub fn start_draining(&mut self) {
        self.draining = true;
    }

    /// Takes in all that happened, lets the module decide once, and returns what is to be done, in order.
    pub fn step(&mut self, now: Nanos, inputs: Vec<Input>) -> Vec<Output> {
        self.now = now;
        self.retry_journal();
        let mut submitted = Vec::new();
        for input in inputs {
            submitted.extend(self.take_in(input));
        }
        // The journal may have failed since the last step, when an attempt was about to start.
        self.pause_if_journal_unavailable();
        self.advance_predecessor_calls();
        let actions = self.decide();
        self.answer_submitted(&submitted, &actions);
        for action in actions {
            self.carry_out(action);
        }
        self.start_deferred_attempts();
        self.retire_endpoints();
        if self.journal.needs_rewrite(now, 0) {
            self.rewrite_journal();
        }
        self.pause_if_journal_unavailable();
        self.update_metrics();
        std::mem::take(&mut self.outputs)
    }

    /// Takes in one input. Returns the id of a message that the module decides on in this step.
    fn take_in(&mut self, input: Input) -> Option<MessageId> {
        match input {
            Input::Submitted { id, context } => return self.submitted(id, context),
            Input::Endpoints { complete, endpoints } => self.update_endpoints(complete, endpoints),
            Input::Withdrawn(id) => self.withdraw(id),
            Input::AttemptEnded { id, attempt, outcome, over, report } => {
                self.attempt_ended(id, attempt, outcome, over, report);
            }
            Input::CallbackAcknowledged(id) => {
                let record = Record::CallbackAcknowledged { id: id.0 };
                self.journal.append_or_defer(self.now, record, None);
                self.acknowledge_callback(id);
            }
            Input::RetryAfter { host, dest, wait } => {
                log::debug!(dest = dest.0, wait_s = wait.secs(); "Retry-After received");
                self.events.push(Event::RetryAfter { host, dest, wait });
            }
            Input::PeerObservations(observations) => self.peer_observations(observations),
            Input::PredecessorRecords(records) => self.predecessor_records(records),
            Input::PredecessorExited => self.predecessor_exited(),
        }
        None
    }

    /// Lets the module decide on all events so far; nothing while draining.
    fn decide(&mut self) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.draining {
            return actions;
        }
        if self.wake_at.is_some_and(|at| at <= self.now) {
            self.wake_at = None;
            self.events.push(Event::Due);
        }
        let events = std::mem::take(&mut self.events);
        self.balancer.handle(self.now, &events, &mut actions);
        actions
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Send { id, host, timeout } => self.defer_attempt(id, host, timeout),
            Action::Cancel { id, attempt } => self.outputs.push(Output::CancelAttempt { id, attempt }),
            Action::Reject { id, after } => {
                let after_ms = after.map(|a| a.0 / NANOS_PER_MILLI);
                self.complete(id, Completion::Deferred(after_ms));
            }
            Action::Fail(id) => self.complete(id, Completion::Undeliverable),
            Action::WakeAt(at) => self.wake_by(at),
            Action::CloseIdle(host) => self.outputs.push(Output::CloseIdle(host)),
            // The watch on the endpoint list renews itself.
            Action::WatchEndpointList => {}
            Action::Log { text, host } => self.log_of_module(text, host),
        }
    }

    fn log_of_module(&self, text: &str, host: Option<EndpointId>) {
        match host.and_then(|host| self.endpoints.get(host)) {
            Some(endpoint) => log::info!(host = endpoint.uid, dest = endpoint.dest; "{text}"),
            None => log::info!("{text}"),
        }
    }

    /// Wakes at this time, or earlier where that is due already.
    fn wake_by(&mut self, at: Nanos) {
        self.wake_at = Some(self.wake_at.map_or(at, |due| due.min(at)));
    }

    /// Where the journal could not be written, tries whether it can be again.
    fn retry_journal(&mut self) {
        let now = self.now;
        let (pending, deduplication) = (&self.pending, &self.deduplication);
        let endpoints = &self.endpoints;
        let all_records = || journal_records(pending, deduplication, endpoints, now);
        let Some(outputs) = self.journal.retry(now, all_records) else { return };
        self.outputs.extend(outputs);
        if !self.journal.is_unavailable() {
            self.paused = false;
            self.events.push(Event::Paused(false));
            self.wake_at = Some(now);
        }
    }

    /// Tells the module that no attempt can start. Without this it would decide on attempts of all its messages again and
    /// again while a disk fails.
    fn pause_if_journal_unavailable(&mut self) {
        if self.journal.is_unavailable() && !self.paused {
            self.paused = true;
            self.events.push(Event::Paused(true));
            self.wake_at = Some(self.now);
        }
    }

    fn rewrite_journal(&mut self) {
        let now = self.now;
        self.deduplication.expire(now);
        let records = journal_records(&self.pending, &self.deduplication, &self.endpoints, now);
        self.journal.rewrite(now, records);
    }
}

/// All that the journal must hold, in the fewest records.
fn journal_records<'a>(
    pending: &'a PendingMessages, deduplication: &'a DeduplicationCache, endpoints: &'a EndpointRegistry,
    now: Nanos,
) -> impl Iterator<Item = Record> + 'a {
    let suspended = endpoints.suspended().iter();
    let suspensions = suspended.map(|uid| Record::Suspended { uid: uid.clone(), suspended: true });
    suspensions.chain(deduplication.records()).chain(pending.records(now))
}
