//! Generated events against an oracle that is independent of the module: every message ends exactly once and
//! in time, and the rules on effects, Retry-After, draining, order, attempts and slots hold. It makes event
//! sequences, no servers.
mod common;
use common::*;
use micaladder::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::collections::BTreeMap;

/// What the oracle knows of one message.
struct KnownMessage {
    class: usize,
    key: Option<u64>,
    deadline: Nanos,
    attempts: u32,
    in_flight: Option<(u32, Nanos)>,
    first_possible_run: Option<(Nanos, usize)>,
    ended: bool,
}

#[derive(Default)]
struct Oracle {
    zones: usize,
    separate_routes: bool,
    seen: BTreeMap<u64, KnownMessage>,
    waits: BTreeMap<u64, Nanos>,
    paused_until: BTreeMap<u64, Nanos>,
    draining: Option<u32>,
}

fn dest_of(host: u32) -> u64 {
    u64::from(host % 3)
}

/// The route that a Retry-After of an endpoint binds.
fn route(separate_routes: bool, host: u32) -> u64 {
    if separate_routes {
        u64::from(host)
    } else {
        dest_of(host)
    }
}

impl Oracle {
    fn check(&mut self, now: Nanos, actions: &[Action], settings: &Settings) {
        for a in actions {
            match a {
                Action::Send { id, host, .. } => self.sent(now, id.0, host.0, settings),
                Action::Reject { id, .. } => {
                    let m = &self.seen[&id.0];
                    let may_have_run = m.first_possible_run.is_some() || m.in_flight.is_some();
                    assert!(
                        !may_have_run
                            || match settings.classes[m.class].effect {
                                Effect::Idempotent => true,
                                Effect::IdempotentByKey { scope, .. } =>
                                    scope == IdempotencyScope::AllEndpoints,
                                Effect::AtMostOnce => false,
                            },
                        "rejected, though it may have run"
                    );
                    self.end(now, id.0);
                }
                Action::Fail(id) => self.end(now, id.0),
                _ => {}
            }
        }
        let out = self.seen.values().filter(|m| m.in_flight.is_some()).count();
        let max_batch = settings.kinds.iter().map(|k| k.max_batch).max().unwrap_or(1);
        assert!(out <= settings.slots * max_batch, "{out} in flight");
    }

    fn end(&mut self, now: Nanos, id: u64) {
        let m = self.seen.get_mut(&id).expect("a known message");
        assert!(!m.ended, "{id} ends twice");
        assert!(now <= m.deadline + ms(20), "{id} ends late");
        m.ended = true;
    }

    fn sent(&mut self, now: Nanos, id: u64, host: u32, settings: &Settings) {
        assert!(self.draining != Some(host), "sent to a draining endpoint");
        assert!(
            self.waits.get(&route(self.separate_routes, host)).is_none_or(|w| now >= *w),
            "sent before a Retry-After was over"
        );
        if let Some(key) = self.seen[&id].key {
            let earlier = |(i, m): (&u64, &KnownMessage)| {
                m.key == Some(key) && (*i < id && !m.ended || m.in_flight.is_some())
            };
            assert!(!self.seen.iter().any(earlier), "out of order");
            let paused = self.paused_until.get(&key).is_some_and(|r| now < *r);
            assert!(!paused || self.seen[&id].attempts > 0, "the key paused_until");
        }
        let m = self.seen.get_mut(&id).expect("a known message");
        assert!(!m.ended && m.in_flight.is_none() && m.attempts < settings.max_attempts && now < m.deadline);
        if let Some((first, zone)) = m.first_possible_run {
            match settings.classes[m.class].effect {
                Effect::Idempotent => {}
                Effect::AtMostOnce => panic!("an at-most-once message is retried"),
                Effect::IdempotentByKey { scope, window } => {
                    assert!(now - first < window, "past the window");
                    let zone_ok =
                        scope == IdempotencyScope::AllEndpoints || host as usize % self.zones == zone;
                    assert!(zone_ok, "another zone does not drop the repeat");
                }
            }
        }
        m.attempts += 1;
        m.in_flight = Some((host, now));
    }

    fn outcome(&mut self, now: Nanos, id: u64, outcome: Outcome, settings: &Settings) {
        let m = self.seen.get_mut(&id).expect("a known message");
        let (host, at) = m.in_flight.take().expect("in flight");
        let route = route(self.separate_routes, host);
        match outcome {
            Outcome::Rejected(Some(wait)) => {
                let until = self.waits.entry(route).or_default();
                *until = (*until).max(now + wait);
            }
            Outcome::Rejected(None) | Outcome::ConnectFailed | Outcome::Skipped => {}
            _ => {
                m.first_possible_run.get_or_insert((at, host as usize % self.zones));
            }
        }
        m.ended |= outcome == Outcome::Ok;
        if matches!(outcome, Outcome::Timeout | Outcome::Reset | Outcome::Cancelled) {
            m.key.map(|k| self.paused_until.insert(k, now + settings.ordering_pause));
        }
    }
}

/// One step: time that passes, a new message (class, destination, key), how the oldest attempt in flight
/// ends.
type Step = (u64, usize, u64, u64, u8);

fn outcome(code: u8) -> Option<Outcome> {
    Some(match code {
        0..=5 => Outcome::Ok,
        6 => Outcome::Error,
        7 => Outcome::Rejected(None),
        8 => Outcome::Rejected(Some(ms(700))),
        9 => Outcome::Timeout,
        10 => Outcome::ConnectFailed,
        11 => Outcome::Reset,
        12 => Outcome::Skipped,
        _ => return None,
    })
}

/// A forwarder with generated settings, and the oracle that watches it.
struct Run {
    forwarder: Forwarder,
    oracle: Oracle,
    kind: usize,
}

impl Run {
    fn new(settings: Settings, zones: usize, kind: usize) -> Run {
        let separate_routes = settings.kinds[kind].separate_routes;
        let list = (0..6).map(|id| Run::entry(id, zones, kind)).collect();
        let oracle = Oracle { zones, separate_routes, ..Oracle::default() };
        Run { forwarder: Forwarder::new(settings, list), oracle, kind }
    }

    fn entry(id: u32, zones: usize, kind: usize) -> EndpointEntry {
        EndpointEntry { rate: 12.0, ..list_entry(id, dest_of(id), kind, id as usize % zones) }
    }

    /// Lets time pass, then feeds events and checks the actions.
    fn step(&mut self, later_ms: u64, events: &[Event]) {
        let actions = self.forwarder.step(later_ms, events);
        self.oracle.check(self.forwarder.now, &actions, &self.forwarder.settings);
    }

    /// Time passes in short steps, or a short deadline could not be met.
    fn wait(&mut self, steps: u64) {
        for _ in 0..steps {
            self.step(10, &[Event::Due]);
        }
    }

    /// Endpoint 1 drains.
    fn drain(&mut self) -> Event {
        self.oracle.draining = Some(1);
        let entry = Run::entry(1, self.oracle.zones, self.kind);
        let draining = EndpointEntry { state: EndpointState::Draining, ..entry };
        Event::EndpointList { complete: false, entries: vec![draining] }
    }

    /// The oldest attempt in flight ends, if there is one and the code is an outcome's.
    fn end_oldest(&mut self, now: Nanos, code: u8) -> Option<Event> {
        let in_flight = self.oracle.seen.iter().filter_map(|(id, m)| m.in_flight.map(|o| (o.1, *id)));
        let (sent_at, id) = in_flight.min()?;
        let outcome = outcome(code)?;
        let attempt = self.oracle.seen[&id].attempts - 1;
        let over = self.oracle.seen[&id].ended || outcome == Outcome::Ok;
        let report = self.forwarder.settings.limits_reported.then_some(LoadReport { left: 0.3, limit: 9.0 });
        self.oracle.outcome(now, id, outcome, &self.forwarder.settings);
        let (id, took) = (MessageId(id), now - sent_at);
        Some(Event::AttemptEnded(AttemptEnded { id, attempt, outcome, over, took, report }))
    }

    fn submit(&mut self, now: Nanos, id: u64, class: usize, dest: u64, key: u64) -> Event {
        let settings = &self.forwarder.settings.classes[class];
        let key = Some(key).filter(|_| settings.fifo_by_key);
        let deadline = now + settings.deadline;
        let known = KnownMessage {
            class,
            key,
            deadline,
            attempts: 0,
            in_flight: None,
            first_possible_run: None,
            ended: false,
        };
        self.oracle.seen.insert(id, known);
        let (id, dest) = (MessageId(id), DestinationId(dest));
        Event::Message(Message { id, class, tenant: 0, key, dest, deadline })
    }
}

/// Plays the steps, and checks that every message ends.
fn play(steps: &[Step], settings: Settings, zones: usize, kind: usize) {
    let mut run = Run::new(settings, zones, kind);
    for (n, (later, class, dest, key, code)) in steps.iter().enumerate() {
        run.wait(later / 10);
        let later = later % 10;
        let now = run.forwarder.now + ms(later);
        let mut events = vec![Event::Due];
        if n == steps.len() / 2 {
            events.push(run.drain());
        }
        events.extend(run.end_oldest(now, *code));
        let class = class % run.forwarder.settings.classes.len();
        events.push(run.submit(now, n as u64 + 1, class, *dest, *key));
        run.step(later, &events);
    }
    let longest =
        run.forwarder.settings.classes.iter().map(|c| c.deadline.0 / ms(10).0).max().unwrap_or_default();
    run.wait(longest + 50);
    assert!(run.oracle.seen.values().all(|m| m.ended), "every message ends");
}

fn class() -> impl Strategy<Value = Class> {
    let effect = (0..4u8, 300..30_000u64).prop_map(|(kind, window)| match kind {
        0 => Effect::Idempotent,
        1 => Effect::IdempotentByKey { scope: IdempotencyScope::AllEndpoints, window: ms(window) },
        2 => Effect::IdempotentByKey { scope: IdempotencyScope::SameZone, window: ms(window) },
        _ => Effect::AtMostOnce,
    });
    let times = (300..60_000u64, 0.05..1.0f64);
    (effect, any::<bool>(), times, 0.1..10.0f64, 0.0..1.0f64).prop_map(
        |(effect, fifo_by_key, (deadline, aim), points, late_weight_share)| {
            let (aim, deadline) = (ms((deadline as f64 * aim) as u64), ms(deadline));
            Class {
                latency_objective: aim,
                deadline,
                priority_weight: points,
                late_weight_share,
                effect,
                fifo_by_key,
            }
        },
    )
}

/// Settings within what the documents allow, a number of zones and a kind.
fn any_settings() -> impl Strategy<Value = (Settings, usize, usize)> {
    let counts = (1..16usize, 1..200usize, 1..12u32, 1..300usize, 1..=10usize);
    let flags = prop::collection::vec(any::<bool>(), 6);
    let tenants = prop::collection::vec(0.5..50.0f64, 0..20);
    (prop::collection::vec(class(), 1..=6), counts, flags, tenants, 1..=5usize, 0..2usize).prop_map(
        |(
            classes,
            (slots, max_pending, max_attempts, forwarders, max_batch),
            flags,
            tenant_quota,
            zones,
            kind,
        )| {
            let settings = Settings {
                classes,
                slots,
                max_pending,
                max_attempts,
                forwarders,
                tenant_quota,
                kinds: vec![
                    EndpointKind { separate_routes: false, max_batch },
                    EndpointKind { separate_routes: true, max_batch },
                ],
                may_cancel: flags[0],
                limits_reported: flags[1],
                listed_rates: if flags[2] { ListedRates::Nominal } else { ListedRates::Absent },
                retry_after: flags[3].then_some(ms(2000)),
                ordering_pause: if flags[4] { ms(700) } else { ms(0) },
                poll_interval: flags[5].then_some(ms(10_000)),
                ..settings()
            };
            (settings, zones, kind)
        },
    )
}

/// Nothing in the module is fitted to one deployment: whatever its settings, it keeps the rules.
#[test]
fn generated_settings_break_no_rule() {
    let config = Config { cases: 32, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[9; 32]);
    let step = (0u64..120, 0usize..6, 0u64..3, 0u64..3, 0u8..16);
    let all = (any_settings(), prop::collection::vec(step, 1..160));
    TestRunner::new_with_rng(config, rng)
        .run(&all, |((settings, zones, kind), steps)| {
            play(&steps, settings, zones, kind);
            Ok(())
        })
        .expect("no rule is broken");
}

#[test]
fn generated_events_break_no_rule() {
    let config = Config { cases: 32, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let step = (0u64..120, 0usize..5, 0u64..3, 0u64..3, 0u8..16);
    let steps = proptest::collection::vec(step, 1..160);
    TestRunner::new_with_rng(config, rng)
        .run(&steps, |s| {
            play(&s, settings(), 2, 0);
            Ok(())
        })
        .expect("no rule is broken");
}
