//! The decision module: every decision of micaladder, without I/O. Its types are in `interface.rs`, its
//! records in `state.rs`. Each round takes in all events of a moment, then decides once: review, expiry,
//! relief of slots, load shedding, promotion (LexAS), dispatch (ARR), idle connections, timer.
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
mod timers;
mod tuning;
mod value;
mod warm_up;

use crate::interface::*;
use crate::state::*;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// The decision module of one forwarder: a state machine without I/O.
#[derive(Default)]
pub struct Balancer {
    /// What the deployment allows and asks for.
    settings: Settings,
    /// Random numbers, drawn in the order of events.
    random: Random,
    /// Time of the round.
    now: Nanos,
    /// Actions of the round, in order.
    actions: Vec<Action>,
    /// Messages that are owed an answer or whose last outcome is not known.
    messages: HashMap<MessageId, PendingMessage>,
    /// Deadlines of pending messages, so that no round scans all of them.
    deadlines: BTreeSet<(Nanos, MessageId)>,
    /// When pending messages must be checked for whether they may still be retried.
    retry_checks: BTreeSet<(Nanos, MessageId)>,
    /// Messages with an attempt in flight.
    in_flight: BTreeSet<MessageId>,
    /// How many messages are owed an answer.
    open_messages: usize,
    /// No send can start.
    paused: bool,
    /// Ordering keys with open messages or a pause.
    ordering_keys: BTreeMap<u64, OrderingKey>,
    /// Destinations and their pending messages.
    destinations: BTreeMap<DestinationId, DestinationQueue>,
    /// Destinations with a message pending or in flight.
    active: BTreeSet<DestinationId>,
    /// Endpoints of the list, and removed ones with calls in flight.
    endpoints: BTreeMap<EndpointId, EndpointRecord>,
    /// Limits, waits and paces.
    routes: BTreeMap<RouteKey, Route>,
    /// Messages in flight in each call.
    calls: BTreeMap<u64, usize>,
    /// Number of the last call that was started.
    last_call: u64,
    /// When the next review is due.
    next_review_at: Nanos,
    /// The timer that was asked for and is not due yet.
    timer: Option<Nanos>,
    /// When to ask for the endpoint list.
    watch_at: Option<Nanos>,
    /// Backoff in seconds before the list is asked for again after a failure.
    watch_backoff_secs: f64,
    /// Kinds of endpoint with signs that idle connections do harm there.
    connection_limited: BTreeSet<usize>,
    /// Endpoints with a call ended whose idle connections are to be checked.
    idle_checks: BTreeSet<EndpointId>,
    /// Seconds without use after which a connection is assumed to be dropped, once one was.
    idle_limit_secs: Option<f64>,
}

impl Balancer {
    /// A new module. It knows nothing but its settings; `seed` feeds its random numbers. With no slots it
    /// sends nothing and answers each message at its deadline; a message of an unknown class is rejected.
    pub fn new(settings: Settings, seed: u64) -> Self {
        Balancer {
            watch_at: settings.poll_interval.map(|_| Nanos(0)),
            random: Random(seed | 1),
            watch_backoff_secs: tuning::FIRST_WATCH_BACKOFF_SECS,
            settings,
            ..Balancer::default()
        }
    }

    /// Takes in all events of this moment, then decides once and appends the actions to carry out.
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

    /// Takes in one event.
    fn ingest(&mut self, event: &Event) {
        match event {
            Event::EndpointList { complete, entries } => self.apply_endpoint_list(*complete, entries),
            Event::EndpointListFailed => self.endpoint_list_failed(),
            Event::Message(message) => self.accept(message),
            Event::Resumed(message, prior) => self.resume(message, prior),
            Event::AttemptEnded(ended) => self.attempt_ended(ended),
            Event::RetryAfter { host, dest, wait } => self.record_retry_after(*host, *dest, *wait),
            Event::Withdrawn(id) => self.finish(*id),
            Event::Paused(paused) => self.paused = *paused,
            Event::PeerObservation(observation) => self.apply_peer_observation(observation),
            // A timer may fire a little early, by rounding of clocks: what it was for is armed anew.
            Event::Due => self.timer = None,
        }
    }

    /// A random factor around 1 that keeps forwarders from acting at the same moment.
    fn jitter(&mut self) -> f64 {
        1.0 - tuning::JITTER + 2.0 * tuning::JITTER * self.random.next()
    }

    /// Adds a line for the operator.
    fn log(&mut self, text: &'static str, host: Option<EndpointId>) {
        self.actions.push(Action::Log { text, host });
    }

    /// Destinations with a message pending or in flight. A round visits these alone, so that its cost does
    /// not grow with the fleet.
    fn active_destinations(&self) -> impl Iterator<Item = (&DestinationId, &DestinationQueue)> {
        self.active.iter().filter_map(|dest| self.destinations.get_key_value(dest))
    }

    /// The record of a destination; a new one for an unknown destination.
    fn destination(&mut self, dest: DestinationId) -> &mut DestinationQueue {
        self.destinations.entry(dest).or_default()
    }

    /// Class of a message that is known.
    fn class_of(&self, id: &MessageId) -> &Class {
        &self.settings.classes[self.messages[id].class]
    }
}
