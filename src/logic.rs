//! The decision module: a state machine without I/O, a clock or external randomness that makes all delivery
//! decisions. Its inputs and outputs are defined in `interface.rs`, its records in `state.rs`.
//!
//! Each round processes all events of one moment and then decides once, in this order: review, expiry,
//! cancellation of attempts that block slots, load shedding, promotion (LexAS), dispatch (ARR), idle
//! connections, timer.
#![warn(missing_docs)]

mod admission;
mod connections;
mod dispatch;
mod expiry;
mod finish;
mod gain;
mod gate;
mod health;
mod list;
mod observations;
mod outcomes;
mod pacing;
mod promotion;
mod repeats;
mod shedding;
mod slow_start;
mod timers;
mod tuning;
mod value;

use crate::interface::*;
use crate::state::*;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// The decision module of one forwarder. The same settings, seed and events always give the same actions.
#[derive(Default)]
pub struct Balancer {
    /// Limits, classes and features of the deployment.
    settings: Settings,
    /// Random numbers, drawn in the order of events.
    random: Random,
    /// Random numbers of the permits for calls to endpoints that are not healthy.
    permit_random: Random,
    /// Time of the current round.
    now: Nanos,
    /// Actions of the current round, in order.
    actions: Vec<Action>,
    /// Messages without a final answer, and answered messages whose attempt is still in flight.
    messages: HashMap<MessageId, PendingMessage>,
    /// Deadlines of pending messages, so that a round does not scan all messages.
    deadlines: BTreeSet<(Nanos, MessageId)>,
    /// Times at which pending messages must be checked for whether a retry is still allowed.
    retry_checks: BTreeSet<(Nanos, MessageId)>,
    /// Messages with an attempt in flight.
    in_flight: BTreeSet<MessageId>,
    /// Number of messages without a final answer.
    open_messages: usize,
    /// True while no send may start.
    paused: bool,
    /// Ordering keys that have messages without a final answer, attempts in flight or a pause.
    ordering_keys: BTreeMap<u64, OrderingKey>,
    /// Destinations and their pending messages.
    destinations: BTreeMap<DestinationId, DestinationQueue>,
    /// Destinations with a message pending or in flight.
    active: BTreeSet<DestinationId>,
    /// Listed endpoints, and removed endpoints that still have calls in flight.
    endpoints: BTreeMap<EndpointId, EndpointRecord>,
    /// Limit, waits and pace of each route.
    routes: BTreeMap<RouteKey, Route>,
    /// Number of messages in flight in each call.
    calls: BTreeMap<u64, usize>,
    /// Number of the call that was started last.
    last_call: u64,
    /// Time of the next review.
    next_review_at: Nanos,
    /// Time of the last requested wake-up, if it is not due yet.
    timer: Option<Nanos>,
    /// Time of the next request for the endpoint list, if one is scheduled.
    watch_at: Option<Nanos>,
    /// Backoff in seconds before the endpoint list is requested again after a failure.
    watch_backoff_secs: f64,
    /// Kinds of endpoint that have rejected or failed a connection. Idle connections to them are closed.
    connection_limited: BTreeSet<usize>,
    /// Endpoints on which a call ended and whose idle connections have yet to be checked.
    idle_checks: BTreeSet<EndpointId>,
    /// Idle time in seconds after which a connection is assumed to be dropped; `None` until a dropped
    /// connection has been detected.
    idle_limit_secs: Option<f64>,
}

impl Balancer {
    /// Creates a module without endpoints or messages. `seed` initializes its random numbers.
    ///
    /// With zero slots in `settings` it sends nothing and answers each message at its deadline. A message of
    /// an unknown class is rejected.
    pub fn new(settings: Settings, seed: u64) -> Self {
        Balancer {
            watch_at: settings.poll_interval.map(|_| Nanos(0)),
            random: Random(seed | 1),
            permit_random: Random(seed.rotate_left(32) ^ tuning::PERMIT_SEED | 1),
            watch_backoff_secs: tuning::FIRST_WATCH_BACKOFF_SECS,
            settings,
            ..Balancer::default()
        }
    }

    /// Processes all events of one moment, decides once and appends the actions to carry out to `out`.
    pub fn handle(&mut self, now: Nanos, events: &[Event], out: &mut Vec<Action>) {
        self.now = now;
        self.timer = self.timer.filter(|due| *due > now);
        for event in events {
            self.ingest(event);
        }
        self.review();
        self.expire();
        self.cancel_to_free_slot();
        self.shed_load();
        self.promote();
        self.dispatch();
        self.close_idle_connections();
        self.arm_timer();
        out.append(&mut self.actions);
    }

    /// Updates the state for one event.
    fn ingest(&mut self, event: &Event) {
        match event {
            Event::EndpointList { complete, entries } => self.apply_endpoint_list(*complete, entries),
            Event::EndpointListFailed => self.endpoint_list_failed(),
            Event::Message(message) => self.accept(message),
            Event::Resumed(message, prior) => self.resume(message, prior),
            Event::AttemptEnded(ended) => self.attempt_ended(ended),
            Event::RetryAfter { host, dest, wait } => self.record_retry_after(*host, *dest, *wait),
            Event::HealthRestored { host, served_rate } => self.restore_health(*host, *served_rate),
            Event::Withdrawn(id) => self.finish(*id),
            Event::Paused(paused) => self.paused = *paused,
            Event::PeerObservation(observation) => self.apply_peer_observation(observation),
            // The timer may fire slightly early because of clock rounding. `arm_timer` then requests a new
            // wake-up.
            Event::Due => self.timer = None,
        }
    }

    /// Returns a random factor around 1, so that forwarders do not act at the same moment.
    fn jitter(&mut self) -> f64 {
        1.0 - tuning::JITTER + 2.0 * tuning::JITTER * self.random.next()
    }

    /// Logs a line for the operator.
    fn log(&mut self, text: &'static str, host: Option<EndpointId>) {
        self.actions.push(Action::Log { text, host });
    }

    /// Returns the destinations with a message pending or in flight. A round visits only these, so its cost
    /// does not grow with the number of known destinations.
    fn active_destinations(&self) -> impl Iterator<Item = (&DestinationId, &DestinationQueue)> {
        self.active.iter().filter_map(|dest| self.destinations.get_key_value(dest))
    }

    /// Returns the record of a destination, and creates it for an unknown destination.
    fn destination(&mut self, dest: DestinationId) -> &mut DestinationQueue {
        self.destinations.entry(dest).or_default()
    }

    /// Returns the class of a known message.
    fn class_of(&self, id: &MessageId) -> &Class {
        &self.settings.classes[self.messages[id].class]
    }
}
