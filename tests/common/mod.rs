//! A relay's side of the interface for tests: feeds events, collects actions. It models no server.
#![allow(dead_code)]
use micaladder::*;

pub const MS: u64 = 1_000_000;
pub const SAFE: usize = 0;
pub const KEYED: usize = 1;
pub const KEYED_ZONE: usize = 2;
pub const ONCE: usize = 3;
pub const ORDERED: usize = 4;

pub fn ms(t: u64) -> Nanos {
    Nanos(t * MS)
}

fn class(points: f64, effect: Effect, fifo: bool) -> Class {
    Class { aim: ms(2000), deadline: ms(20_000), points, late_share: 0.5, effect, fifo_by_key: fifo }
}

pub fn settings() -> Settings {
    let keyed = |group| Effect::Keyed { group, window: ms(8000) };
    Settings {
        slots: 8,
        open_cap: 100,
        most_tries: 5,
        relays: 2,
        tick: ms(5),
        classes: vec![
            class(1.0, Effect::Repeatable, false),
            class(2.0, keyed(Group::All), false),
            class(2.0, keyed(Group::Zone), false),
            class(4.0, Effect::Once, false),
            class(1.0, Effect::Repeatable, true),
        ],
        kinds: vec![Kind { apart: false, per_call: 1 }, Kind { apart: true, per_call: 3 }],
        conn_idle: ms(10_000),
        streams: 1,
        retry_after: Some(ms(3000)),
        may_cancel: true,
        cold_from: 0.2,
        ramp: ms(10_000),
        fall_multiple: 2.0,
        fall_after: ms(1500),
        order_pause: ms(700),
        ..Settings::default()
    }
}

pub struct Relay {
    pub module: Balancer,
    pub now: Nanos,
    pub set: Settings,
}

pub fn host(id: u32, dest: u64, kind: usize, zone: usize) -> Entry {
    Entry { host: HostId(id), zone, kind, dest: DestId(dest), state: Listed::Running, rate: 0.0 }
}

impl Relay {
    pub fn new(set: Settings, entries: Vec<Entry>) -> Self {
        Self::seeded(set, entries, 7)
    }
    pub fn seeded(set: Settings, entries: Vec<Entry>, seed: u64) -> Self {
        let mut r = Relay { module: Balancer::new(set.clone(), seed), now: ms(1_000_000), set };
        r.step(0, &[Event::List { whole: true, entries }]);
        r
    }
    /// Lets time pass, then hands in events.
    pub fn step(&mut self, later_ms: u64, events: &[Event]) -> Vec<Action> {
        self.now = self.now + ms(later_ms);
        let mut out = Vec::new();
        self.module.handle(self.now, events, &mut out);
        out
    }
    pub fn message(&self, id: u64, class: usize, dest: u64) -> Event {
        let deadline = self.now + self.set.classes[class].deadline;
        Event::Message(Message { id: MsgId(id), class, tenant: 0, key: None, dest: DestId(dest), deadline })
    }
    pub fn keyed(&self, id: u64, key: u64, dest: u64) -> Event {
        let Event::Message(m) = self.message(id, ORDERED, dest) else { unreachable!() };
        Event::Message(Message { key: Some(key), ..m })
    }
}

pub fn ended(id: u64, attempt: u32, outcome: Outcome, took_ms: u64) -> Event {
    let over = outcome == Outcome::Ok;
    Event::Ended(Ended { id: MsgId(id), attempt, outcome, over, took: ms(took_ms), report: None })
}

/// Messages and hosts of the sends among actions.
pub fn sends(actions: &[Action]) -> Vec<(u64, u32)> {
    let send = |a: &Action| match a {
        Action::Send { id, host, .. } => Some((id.0, host.0)),
        _ => None,
    };
    actions.iter().filter_map(send).collect()
}

pub fn refused(actions: &[Action], id: u64) -> bool {
    actions.iter().any(|a| matches!(a, Action::Refuse { id: i, .. } if i.0 == id))
}

pub fn failed(actions: &[Action], id: u64) -> bool {
    actions.contains(&Action::Fail(MsgId(id)))
}
