//! Pending messages with their attempts, completions and deadlines, without network I/O. Each step feeds inputs to the
//! decision module, writes the journal before any effect, and returns the outputs that the caller carries out.
//!
//! | module | concern |
//! | --- | --- |
//! | `admission` | requests and their answers |
//! | `repeats` | requests that are sent again |
//! | `pending` | the table of pending messages |
//! | `attempts`, `in_flight` | attempts and their state |
//! | `ordering` | attempts that wait for their ordering key |
//! | `completions` | complete messages and their callbacks |
//! | `endpoints` | the endpoint registry |
//! | `endpoint_health` | the endpoints in an outage or in slow start, and their copy on disk |
//! | `endpoint_list` | the endpoint list at the start, and its copy on disk |
//! | `suspensions` | operators' suspensions, and the metrics of the endpoint list |
//! | `journal_writer` | journal writes on a disk that may fail |
//! | `restart` | replay of the journal at startup |
//! | `takeover` | handover of the journal to another process |
//! | `messages` | input and output types |
//! | `options` | parameters of a core, and what it holds |
#![warn(missing_docs)]
mod admission;
mod attempts;
mod completions;
mod endpoint_health;
mod endpoint_list;
mod endpoints;
mod in_flight;
mod journal_writer;
mod messages;
mod options;
mod ordering;
mod pending;
mod repeats;
mod restart;
mod suspensions;
mod takeover;
#[cfg(test)]
mod test_disk;
#[cfg(test)]
pub(crate) mod test_forwarder;
#[cfg(test)]
mod tests;

pub use admission::rejection_retry_after;
pub use endpoint_list::{EndpointList, ListDelivery, ListRevision};
pub use messages::{Answer, Attempt, Callback, Endpoint, EndpointObservation, Input, Output};
pub use options::{CoreOptions, HoldingLimits, Holdings, Predecessor};
pub use suspensions::SuspensionResult;

use crate::deduplication::DeduplicationCache;
use crate::interface::{Action, EndpointId, Event, MessageId, Nanos, Settings};
use crate::journal::{Completion, Record};
use crate::logic::Balancer;
use crate::metrics::Metrics;
use crate::plugins::Plugins;
use crate::settings::DeploymentSettings;
use endpoint_health::EndpointHealthStore;
use endpoint_list::ListState;
use endpoints::EndpointRegistry;
use journal_writer::JournalWriter;
use ordering::OrderingKeys;
use pending::PendingMessages;
use repeats::Repeat;
use std::sync::Arc;
use takeover::PredecessorCalls;

/// Nanoseconds in a millisecond, the unit of the wait in a [`Completion`].
const NANOS_PER_MILLI: u64 = 1_000_000;

/// Keeps the pending messages with their attempts and completions, drives the decision module and writes the journal.
pub struct Core {
    settings: Settings,
    deployment: Arc<DeploymentSettings>,
    balancer: Balancer,
    plugins: Plugins,
    metrics: Arc<Metrics>,
    journal: JournalWriter,
    pending: PendingMessages,
    /// Repeated requests of the current step.
    repeats: Vec<Repeat>,
    ordering: OrderingKeys,
    deduplication: DeduplicationCache,
    /// Maximum memory of pending messages and of the deduplication cache, in bytes.
    message_limit: u64,
    endpoints: EndpointRegistry,
    list: ListState,
    health: EndpointHealthStore,
    predecessor_calls: PredecessorCalls,
    /// Id of the next message.
    next_id: u64,
    /// Time of the current step.
    now: Nanos,
    /// Latest time of the next call to the decision module.
    wake_at: Option<Nanos>,
    /// Events for the next call to the decision module.
    events: Vec<Event>,
    /// Outputs of the current step.
    outputs: Vec<Output>,
    /// Set on shutdown: no new attempt starts, and the decision module is no longer called.
    draining: bool,
    /// Whether the decision module was last sent `Event::Paused(true)`.
    paused: bool,
    /// Earliest time of the next warning that the journal has no capacity left.
    capacity_warning_at: Nanos,
    /// Time of the next count of listed endpoints; `None` until [`Core::enable_metrics`] is called.
    endpoint_count_at: Option<Nanos>,
}

impl Core {
    /// Creates a core, resumes the pending messages of the journal and applies the endpoint list to start with.
    pub fn new(options: CoreOptions) -> Core {
        let CoreOptions {
            deployment,
            limits,
            seed,
            static_endpoints,
            configured_list,
            list_delivery,
            plugins,
            journal,
            records,
            predecessor,
            now,
        } = options;
        let settings = deployment.module.clone();
        let mut core = Core {
            balancer: Balancer::new(settings.clone(), seed),
            settings,
            plugins,
            metrics: Arc::new(Metrics::new(&deployment.classes)),
            deployment,
            journal: JournalWriter::new(journal),
            pending: PendingMessages::default(),
            repeats: Vec::new(),
            ordering: OrderingKeys::default(),
            deduplication: DeduplicationCache::default(),
            message_limit: limits.message_bytes,
            endpoints: EndpointRegistry::new(static_endpoints, limits.endpoints),
            list: ListState::new(&configured_list.revision, list_delivery, now),
            health: EndpointHealthStore::default(),
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
        core.start_with_endpoint_list(configured_list);
        core.restore_endpoint_health();
        core
    }

    /// Allocates the id of the next submitted message.
    pub fn next_id(&mut self) -> MessageId {
        let id = MessageId(self.next_id);
        self.next_id += 1;
        id
    }

    /// Returns the shortest time between two steps, from the settings.
    pub fn tick(&self) -> Nanos {
        self.settings.tick
    }

    /// Returns the hooks of the plug-in scripts.
    pub fn plugins(&self) -> &Plugins {
        &self.plugins
    }

    /// Returns the latest time of the next call to [`step`](Core::step); `None` if nothing is scheduled.
    pub fn next_wake(&self) -> Option<Nanos> {
        let decision = self.wake_at.filter(|_| !self.draining);
        decision.into_iter().chain(self.journal.next_wake()).chain(self.list.awaited_until()).min()
    }

    /// Returns the number of attempts that have not ended, including those not yet handed to the transport.
    pub fn attempts_in_flight(&self) -> usize {
        self.pending.in_flight().total()
    }

    /// Returns how much this core holds.
    pub fn holdings(&self) -> Holdings {
        Holdings {
            pending_messages: self.pending.len(),
            pending_bytes: self.pending.journal_bytes(),
            remembered_bytes: self.deduplication.journal_bytes(),
            attempts_in_flight: self.attempts_in_flight(),
            endpoints: self.endpoints.len(),
        }
    }

    /// Stops starting attempts. Messages accepted from now on stay in the journal for the next process.
    pub fn start_draining(&mut self) {
        self.draining = true;
    }

    /// Processes the inputs, calls the decision module once, and returns the outputs to carry out, in order.
    pub fn step(&mut self, now: Nanos, inputs: Vec<Input>) -> Vec<Output> {
        self.now = now;
        self.retry_journal();
        self.retry_endpoint_list();
        self.retry_endpoint_health();
        let mut submitted = Vec::new();
        for input in inputs {
            submitted.extend(self.handle_input(input));
        }
        // `may_send` writes to the journal between steps, and that write may have failed.
        self.update_pause();
        self.advance_predecessor_calls();
        let actions = self.decide();
        let refused = self.answer_submitted(&submitted, &actions);
        for action in actions {
            self.execute_action(action);
        }
        self.answer_repeats(&refused);
        self.start_deferred_attempts();
        self.retire_endpoints();
        if self.journal.needs_rewrite(now, 0) {
            self.rewrite_journal();
        }
        self.update_pause();
        self.update_metrics();
        std::mem::take(&mut self.outputs)
    }

    /// Handles one input. Returns the id of a submitted message that the decision module decides on in this step.
    fn handle_input(&mut self, input: Input) -> Option<MessageId> {
        match input {
            Input::Submitted { id, context } => return self.handle_submitted(id, context),
            Input::Endpoints { revision, complete, endpoints } => {
                self.update_endpoints(revision, complete, endpoints);
            }
            Input::ClientDisconnected(id) => self.client_disconnected(id),
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
            Input::PeerObservations(observations) => self.handle_peer_observations(observations),
            Input::PredecessorRecords(records) => self.handle_predecessor_records(records),
            Input::PredecessorExited => self.handle_predecessor_exit(),
        }
        None
    }

    /// Passes the collected events to the decision module and returns its actions; none while draining.
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

    fn execute_action(&mut self, action: Action) {
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
            // The discovery module keeps up its watch on the endpoint list by itself.
            Action::WatchEndpointList => {}
            Action::HealthChanged(change) => self.health_changed(&change),
            Action::RestrictedCall(call) => self.log_restricted_call(&call),
            Action::PaceReduced(reduction) => self.log_pace_reduction(&reduction),
            Action::Log { text, host } => self.log_for_module(text, host),
        }
    }

    fn log_for_module(&self, text: &str, host: Option<EndpointId>) {
        match host.and_then(|host| self.endpoints.get(host)) {
            Some(endpoint) => log::info!(host = endpoint.uid, dest = endpoint.dest; "{text}"),
            None => log::info!("{text}"),
        }
    }

    /// Schedules a wake-up at `at`, unless an earlier one is scheduled.
    fn wake_by(&mut self, at: Nanos) {
        self.wake_at = Some(self.wake_at.map_or(at, |scheduled| scheduled.min(at)));
    }

    /// Retries an unavailable journal once its backoff is over.
    fn retry_journal(&mut self) {
        let now = self.now;
        let (pending, deduplication) = (&self.pending, &self.deduplication);
        let endpoints = &self.endpoints;
        let all_records = || journal_records(pending, deduplication, endpoints, now);
        let Some(outputs) = self.journal.retry(now, all_records) else { return };
        self.outputs.extend(outputs);
        if !self.journal.is_unavailable() {
            self.wake_at = Some(now);
        }
    }

    /// Pauses the decision module while no attempt may start: while the journal cannot be written, and at the start until the
    /// endpoint list is confirmed. Without the pause the module would decide on attempts in every step, all in vain.
    fn update_pause(&mut self) {
        self.expire_list_wait();
        let is_paused = self.journal.is_unavailable() || self.list.awaited_until().is_some();
        if is_paused != self.paused {
            self.paused = is_paused;
            self.events.push(Event::Paused(is_paused));
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

/// Returns the records of a compacted journal: the smallest set that restores the current state.
fn journal_records<'a>(
    pending: &'a PendingMessages, deduplication: &'a DeduplicationCache, endpoints: &'a EndpointRegistry,
    now: Nanos,
) -> impl Iterator<Item = Record> + 'a {
    let suspended = endpoints.suspended().iter();
    let suspensions = suspended.map(|uid| Record::Suspended { uid: uid.clone(), suspended: true });
    suspensions.chain(deduplication.records()).chain(pending.records(now))
}
