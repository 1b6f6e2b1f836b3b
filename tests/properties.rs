//! Property tests of the decision module: generated event sequences are checked against an oracle that is independent of the
//! module. Each message completes exactly once and in time, and the rules on effects, Retry-After, draining, order, attempts and
//! slots hold. No servers take part.
mod common;
use common::*;
use micaladder::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::collections::BTreeMap;

/// The state of one message in the oracle.
struct MessageState {
    class: usize,
    key: Option<u64>,
    deadline: Nanos,
    attempts: u32,
    in_flight: Option<(u32, Nanos)>,
    first_possible_run: Option<(Nanos, usize)>,
    completed: bool,
}

/// Checks the actions of a module against the rules.
#[derive(Default)]
struct Oracle {
    zones: usize,
    separate_routes: bool,
    /// The state of each message, by its id.
    messages: BTreeMap<u64, MessageState>,
    /// When the Retry-After of a route has passed, by the route.
    retry_after_until: BTreeMap<u64, Nanos>,
    /// When the ordering pause of a key ends, by the key.
    paused_until: BTreeMap<u64, Nanos>,
    /// The id of the draining endpoint.
    draining: Option<u32>,
}

/// Returns the destination of an endpoint.
fn dest_of(host: u32) -> u64 {
    u64::from(host % 3)
}

/// Returns the route to which a Retry-After of this endpoint applies.
fn route(separate_routes: bool, host: u32) -> u64 {
    if separate_routes {
        u64::from(host)
    } else {
        dest_of(host)
    }
}

impl Oracle {
    /// Checks the actions of one step and records them.
    fn check(&mut self, now: Nanos, actions: &[Action], settings: &Settings) {
        for a in actions {
            match a {
                Action::Send { id, host, .. } => self.record_send(now, id.0, host.0, settings),
                Action::Reject { id, .. } => {
                    let m = &self.messages[&id.0];
                    let may_have_run = m.first_possible_run.is_some() || m.in_flight.is_some();
                    assert!(
                        !may_have_run
                            || match settings.classes[m.class].effect {
                                Effect::Idempotent => true,
                                Effect::IdempotentByKey { scope, .. } =>
                                    scope == IdempotencyScope::AllEndpoints,
                                Effect::AtMostOnce => false,
                            },
                        "a message that may have run was rejected"
                    );
                    self.complete(now, id.0);
                }
                Action::Fail(id) => self.complete(now, id.0),
                _ => {}
            }
        }
        let in_flight = self.messages.values().filter(|m| m.in_flight.is_some()).count();
        let max_batch = settings.kinds.iter().map(|k| k.max_batch).max().unwrap_or(1);
        assert!(in_flight <= settings.slots * max_batch, "{in_flight} messages in flight");
    }

    /// Records that a message completed.
    fn complete(&mut self, now: Nanos, id: u64) {
        let m = self.messages.get_mut(&id).expect("a known message");
        assert!(!m.completed, "message {id} completes twice");
        assert!(now <= m.deadline + ms(20), "message {id} completes late");
        m.completed = true;
    }

    /// Checks a send and records it.
    fn record_send(&mut self, now: Nanos, id: u64, host: u32, settings: &Settings) {
        assert!(self.draining != Some(host), "a message was sent to a draining endpoint");
        assert!(
            self.retry_after_until.get(&route(self.separate_routes, host)).is_none_or(|until| now >= *until),
            "a message was sent before the Retry-After had passed"
        );
        if let Some(key) = self.messages[&id].key {
            let comes_before = |(i, m): (&u64, &MessageState)| {
                m.key == Some(key) && (*i < id && !m.completed || m.in_flight.is_some())
            };
            assert!(!self.messages.iter().any(comes_before), "a message was sent out of order");
            let paused = self.paused_until.get(&key).is_some_and(|until| now < *until);
            assert!(
                !paused || self.messages[&id].attempts > 0,
                "a message was sent while its key was paused"
            );
        }
        let m = self.messages.get_mut(&id).expect("a known message");
        assert!(
            !m.completed && m.in_flight.is_none() && m.attempts < settings.max_attempts && now < m.deadline
        );
        if let Some((first, zone)) = m.first_possible_run {
            match settings.classes[m.class].effect {
                Effect::Idempotent => {}
                Effect::AtMostOnce => panic!("an at-most-once message was retried"),
                Effect::IdempotentByKey { scope, window } => {
                    assert!(now - first < window, "a message was retried after its window");
                    let is_in_scope =
                        scope == IdempotencyScope::AllEndpoints || host as usize % self.zones == zone;
                    assert!(
                        is_in_scope,
                        "a message was retried in another zone, which does not drop the repeat"
                    );
                }
            }
        }
        m.attempts += 1;
        m.in_flight = Some((host, now));
    }

    /// Records the outcome of the attempt of a message that is in flight.
    fn record_outcome(&mut self, now: Nanos, id: u64, outcome: Outcome, settings: &Settings) {
        let m = self.messages.get_mut(&id).expect("a known message");
        let (host, sent_at) = m.in_flight.take().expect("in flight");
        let route = route(self.separate_routes, host);
        match outcome {
            Outcome::Rejected(Some(retry_after)) => {
                let until = self.retry_after_until.entry(route).or_default();
                *until = (*until).max(now + retry_after);
            }
            Outcome::Rejected(None) | Outcome::ConnectFailed | Outcome::Skipped => {}
            _ => {
                m.first_possible_run.get_or_insert((sent_at, host as usize % self.zones));
            }
        }
        m.completed |= outcome == Outcome::Ok;
        if matches!(outcome, Outcome::Timeout | Outcome::Reset | Outcome::Cancelled) {
            m.key.map(|k| self.paused_until.insert(k, now + settings.ordering_pause));
        }
    }
}

/// One step: the milliseconds that pass, the class, destination and key of a new message, and a code for the outcome of the
/// oldest attempt in flight.
type Step = (u64, usize, u64, u64, u8);

/// Returns the outcome for a code, or `None` if the attempt stays in flight.
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

/// A forwarder with generated settings and the oracle that checks it.
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

    /// Advances the clock, handles the events and checks the actions.
    fn step(&mut self, later_ms: u64, events: &[Event]) {
        let actions = self.forwarder.step(later_ms, events);
        self.oracle.check(self.forwarder.now, &actions, &self.forwarder.settings);
    }

    /// Advances the clock in steps of 10 ms; longer steps could miss a short deadline.
    fn wait(&mut self, steps: u64) {
        for _ in 0..steps {
            self.step(10, &[Event::Due]);
        }
    }

    /// Returns the event that endpoint 1 is draining.
    fn drain(&mut self) -> Event {
        self.oracle.draining = Some(1);
        let entry = Run::entry(1, self.oracle.zones, self.kind);
        let draining = EndpointEntry { state: EndpointState::Draining, ..entry };
        Event::EndpointList { complete: false, entries: vec![draining] }
    }

    /// Returns the event that ends the oldest attempt in flight, if there is one and the code stands for an outcome.
    fn end_oldest(&mut self, now: Nanos, code: u8) -> Option<Event> {
        let in_flight =
            self.oracle.messages.iter().filter_map(|(id, m)| m.in_flight.map(|(_, sent_at)| (sent_at, *id)));
        let (sent_at, id) = in_flight.min()?;
        let outcome = outcome(code)?;
        let attempt = self.oracle.messages[&id].attempts - 1;
        let over = self.oracle.messages[&id].completed || outcome == Outcome::Ok;
        let report = self.forwarder.settings.limits_reported.then_some(LoadReport { left: 0.3, limit: 9.0 });
        self.oracle.record_outcome(now, id, outcome, &self.forwarder.settings);
        let (id, took) = (MessageId(id), now - sent_at);
        Some(Event::AttemptEnded(AttemptEnded { id, attempt, outcome, over, took, report }))
    }

    /// Returns the event of a new message and records the message.
    fn submit(&mut self, now: Nanos, id: u64, class: usize, dest: u64, key: u64) -> Event {
        let class_settings = &self.forwarder.settings.classes[class];
        let key = Some(key).filter(|_| class_settings.fifo_by_key);
        let deadline = now + class_settings.deadline;
        let state = MessageState {
            class,
            key,
            deadline,
            attempts: 0,
            in_flight: None,
            first_possible_run: None,
            completed: false,
        };
        self.oracle.messages.insert(id, state);
        let (id, dest) = (MessageId(id), DestinationId(dest));
        Event::Message(Message { id, class, tenant: 0, key, dest, deadline })
    }
}

/// Plays the steps and checks that every message completes.
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
    let longest_deadline =
        run.forwarder.settings.classes.iter().map(|c| c.deadline.0 / ms(10).0).max().unwrap_or_default();
    run.wait(longest_deadline + 50);
    assert!(run.oracle.messages.values().all(|m| m.completed), "every message completes");
}

/// Generates the settings of a class.
fn class() -> impl Strategy<Value = Class> {
    let effect = (0..4u8, 300..30_000u64).prop_map(|(kind, window)| match kind {
        0 => Effect::Idempotent,
        1 => Effect::IdempotentByKey { scope: IdempotencyScope::AllEndpoints, window: ms(window) },
        2 => Effect::IdempotentByKey { scope: IdempotencyScope::SameZone, window: ms(window) },
        _ => Effect::AtMostOnce,
    });
    let times = (300..60_000u64, 0.05..1.0f64);
    (effect, any::<bool>(), times, 0.1..10.0f64, 0.0..1.0f64).prop_map(
        |(effect, fifo_by_key, (deadline, objective_share), priority_weight, late_weight_share)| {
            let (latency_objective, deadline) =
                (ms((deadline as f64 * objective_share) as u64), ms(deadline));
            Class { latency_objective, deadline, priority_weight, late_weight_share, effect, fifo_by_key }
        },
    )
}

/// Generates settings within the documented limits, a number of zones and an endpoint kind.
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

/// The module keeps the rules with any settings, not only those of one deployment.
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
