//! Test harness for the decision module: feeds it events and collects its actions. It models no server.
#![allow(dead_code)]
use micaladder::*;

pub const NANOS_PER_MS: u64 = 1_000_000;
/// Index of a class in `settings`, as are the next four constants.
pub const IDEMPOTENT: usize = 0;
pub const IDEMPOTENT_BY_KEY: usize = 1;
pub const IDEMPOTENT_BY_KEY_IN_ZONE: usize = 2;
pub const AT_MOST_ONCE: usize = 3;
pub const ORDERED: usize = 4;

pub fn ms(millis: u64) -> Nanos {
    Nanos(millis * NANOS_PER_MS)
}

fn class(priority_weight: f64, effect: Effect, fifo: bool) -> Class {
    Class {
        latency_objective: ms(2000),
        deadline: ms(20_000),
        priority_weight,
        late_weight_share: 0.5,
        effect,
        fifo_by_key: fifo,
    }
}

/// Returns the settings of a small deployment with one class for each effect, and an ordered class.
pub fn settings() -> Settings {
    let by_key = |scope| Effect::IdempotentByKey { scope, window: ms(8000) };
    Settings {
        slots: 8,
        max_pending: 100,
        max_attempts: 5,
        forwarders: 2,
        tick: ms(5),
        classes: vec![
            class(1.0, Effect::Idempotent, false),
            class(2.0, by_key(IdempotencyScope::AllEndpoints), false),
            class(2.0, by_key(IdempotencyScope::SameZone), false),
            class(4.0, Effect::AtMostOnce, false),
            class(1.0, Effect::Idempotent, true),
        ],
        kinds: vec![
            EndpointKind { separate_routes: false, max_batch: 1 },
            EndpointKind { separate_routes: true, max_batch: 3 },
        ],
        connection_idle_timeout: ms(10_000),
        streams_per_connection: 1,
        retry_after: Some(ms(3000)),
        may_cancel: true,
        cold_capacity_share: 0.2,
        warm_up: ms(10_000),
        overload_multiple: 2.0,
        overload_window: ms(1500),
        ordering_pause: ms(700),
        ..Settings::default()
    }
}

/// A decision module with its settings and its clock.
pub struct Forwarder {
    pub module: Balancer,
    pub now: Nanos,
    pub settings: Settings,
}

/// Returns the list entry of a running endpoint without a rate.
pub fn list_entry(id: u32, dest: u64, kind: usize, zone: usize) -> EndpointEntry {
    EndpointEntry {
        host: EndpointId(id),
        zone,
        kind,
        dest: DestinationId(dest),
        state: EndpointState::Running,
        rate: 0.0,
    }
}

impl Forwarder {
    pub fn new(settings: Settings, entries: Vec<EndpointEntry>) -> Self {
        Self::with_seed(settings, entries, 7)
    }
    pub fn with_seed(settings: Settings, entries: Vec<EndpointEntry>, seed: u64) -> Self {
        let mut forwarder =
            Forwarder { module: Balancer::new(settings.clone(), seed), now: ms(1_000_000), settings };
        forwarder.step(0, &[Event::EndpointList { complete: true, entries }]);
        forwarder
    }
    /// Advances the clock by `later_ms`, handles the events and returns the actions.
    pub fn step(&mut self, later_ms: u64, events: &[Event]) -> Vec<Action> {
        self.now = self.now + ms(later_ms);
        let mut out = Vec::new();
        self.module.handle(self.now, events, &mut out);
        out
    }
    /// Returns the event of a new message without a key, with the deadline of its class.
    pub fn message(&self, id: u64, class: usize, dest: u64) -> Event {
        let deadline = self.now + self.settings.classes[class].deadline;
        Event::Message(Message {
            id: MessageId(id),
            class,
            tenant: 0,
            key: None,
            dest: DestinationId(dest),
            deadline,
        })
    }
    /// Returns the event of a new message of the ordered class with this key.
    pub fn ordered_message(&self, id: u64, key: u64, dest: u64) -> Event {
        let Event::Message(m) = self.message(id, ORDERED, dest) else { unreachable!() };
        Event::Message(Message { key: Some(key), ..m })
    }
}

/// Returns the event that an attempt ended with this outcome, without a load report.
pub fn attempt_ended(id: u64, attempt: u32, outcome: Outcome, took_ms: u64) -> Event {
    let over = outcome == Outcome::Ok;
    Event::AttemptEnded(AttemptEnded {
        id: MessageId(id),
        attempt,
        outcome,
        over,
        took: ms(took_ms),
        report: None,
    })
}

/// Returns the message id and the endpoint id of each send among the actions.
pub fn sends(actions: &[Action]) -> Vec<(u64, u32)> {
    let send = |a: &Action| match a {
        Action::Send { id, host, .. } => Some((id.0, host.0)),
        _ => None,
    };
    actions.iter().filter_map(send).collect()
}

/// Returns whether the actions reject this message.
pub fn is_rejected(actions: &[Action], id: u64) -> bool {
    actions.iter().any(|a| matches!(a, Action::Reject { id: i, .. } if i.0 == id))
}

/// Returns whether the actions fail this message, which may or may not have taken effect.
pub fn is_failed(actions: &[Action], id: u64) -> bool {
    actions.contains(&Action::Fail(MessageId(id)))
}
