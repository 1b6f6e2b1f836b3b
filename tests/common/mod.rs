//! The forwarder's side of the interface for tests: feeds events, collects actions. It models no server.
#![allow(dead_code)]
use micaladder::*;

pub const MS: u64 = 1_000_000;
pub const IDEMPOTENT: usize = 0;
pub const KEYED: usize = 1;
pub const KEYED_IN_ZONE: usize = 2;
pub const AT_MOST_ONCE: usize = 3;
pub const ORDERED: usize = 4;

pub fn ms(t: u64) -> Nanos {
    Nanos(t * MS)
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

/// Settings of a small deployment with one class of each effect.
pub fn settings() -> Settings {
    let keyed = |group| Effect::IdempotentByKey { scope: group, window: ms(8000) };
    Settings {
        slots: 8,
        max_pending: 100,
        max_attempts: 5,
        forwarders: 2,
        tick: ms(5),
        classes: vec![
            class(1.0, Effect::Idempotent, false),
            class(2.0, keyed(IdempotencyScope::AllEndpoints), false),
            class(2.0, keyed(IdempotencyScope::SameZone), false),
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

/// A decision module, its settings and its clock.
pub struct Forwarder {
    pub module: Balancer,
    pub now: Nanos,
    pub set: Settings,
}

/// A running endpoint's entry in the list, without a rate.
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
    pub fn new(set: Settings, entries: Vec<EndpointEntry>) -> Self {
        Self::seeded(set, entries, 7)
    }
    pub fn seeded(set: Settings, entries: Vec<EndpointEntry>, seed: u64) -> Self {
        let mut r = Forwarder { module: Balancer::new(set.clone(), seed), now: ms(1_000_000), set };
        r.step(0, &[Event::EndpointList { complete: true, entries }]);
        r
    }
    /// Lets time pass, then feeds events.
    pub fn step(&mut self, later_ms: u64, events: &[Event]) -> Vec<Action> {
        self.now = self.now + ms(later_ms);
        let mut out = Vec::new();
        self.module.handle(self.now, events, &mut out);
        out
    }
    /// A new message without a key, with the deadline of its class.
    pub fn message(&self, id: u64, class: usize, dest: u64) -> Event {
        let deadline = self.now + self.set.classes[class].deadline;
        Event::Message(Message {
            id: MessageId(id),
            class,
            tenant: 0,
            key: None,
            dest: DestinationId(dest),
            deadline,
        })
    }
    /// A new message of the ordered class with this key.
    pub fn keyed(&self, id: u64, key: u64, dest: u64) -> Event {
        let Event::Message(m) = self.message(id, ORDERED, dest) else { unreachable!() };
        Event::Message(Message { key: Some(key), ..m })
    }
}

/// The outcome of an attempt.
pub fn ended(id: u64, attempt: u32, outcome: Outcome, took_ms: u64) -> Event {
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

/// Messages and endpoints of the sends among actions.
pub fn sends(actions: &[Action]) -> Vec<(u64, u32)> {
    let send = |a: &Action| match a {
        Action::Send { id, host, .. } => Some((id.0, host.0)),
        _ => None,
    };
    actions.iter().filter_map(send).collect()
}

/// Whether a message is rejected.
pub fn rejected(actions: &[Action], id: u64) -> bool {
    actions.iter().any(|a| matches!(a, Action::Reject { id: i, .. } if i.0 == id))
}

/// Whether a message is given up without a promise.
pub fn failed(actions: &[Action], id: u64) -> bool {
    actions.contains(&Action::Fail(MessageId(id)))
}
