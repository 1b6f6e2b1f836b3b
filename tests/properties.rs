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
    fn check(&mut self, now: Nanos, actions: &[Action], set: &Settings) {
        for a in actions {
            match a {
                Action::Send { id, host, .. } => self.sent(now, id.0, host.0, set),
                Action::Reject { id, .. } => {
                    let m = &self.seen[&id.0];
                    let may_have_run = m.first_possible_run.is_some() || m.in_flight.is_some();
                    assert!(
                        !may_have_run
                            || match set.classes[m.class].effect {
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
        let max_batch = set.kinds.iter().map(|k| k.max_batch).max().unwrap_or(1);
        assert!(out <= set.slots * max_batch, "{out} in flight");
    }

    fn end(&mut self, now: Nanos, id: u64) {
        let m = self.seen.get_mut(&id).expect("a known message");
        assert!(!m.ended, "{id} ends twice");
        assert!(now <= m.deadline + ms(20), "{id} ends late");
        m.ended = true;
    }

    fn sent(&mut self, now: Nanos, id: u64, host: u32, set: &Settings) {
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
        assert!(!m.ended && m.in_flight.is_none() && m.attempts < set.max_attempts && now < m.deadline);
        if let Some((first, zone)) = m.first_possible_run {
            match set.classes[m.class].effect {
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

    fn outcome(&mut self, now: Nanos, id: u64, outcome: Outcome, set: &Settings) {
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
            m.key.map(|k| self.paused_until.insert(k, now + set.ordering_pause));
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

fn play(steps: &[Step], set: Settings, zones: usize, kind: usize) {
    let listed = |h: u32| EndpointEntry { rate: 12.0, ..list_entry(h, dest_of(h), kind, h as usize % zones) };
    let mut r = Forwarder::new(set, (0..6).map(listed).collect());
    let separate_routes = r.set.kinds[kind].separate_routes;
    let (set, mut oracle) = (r.set.clone(), Oracle { zones, separate_routes, ..Oracle::default() });
    for (n, (later, class, dest, key, code)) in steps.iter().enumerate() {
        // Time passes in short steps, or a short deadline could not be met.
        for _ in 0..later / 10 {
            let actions = r.step(10, &[Event::Due]);
            oracle.check(r.now, &actions, &set);
        }
        let (class, later) = (&(class % set.classes.len()), &(later % 10));
        let now = r.now + ms(*later);
        let mut events = vec![Event::Due];
        if n == steps.len() / 2 {
            oracle.draining = Some(1);
            let draining = EndpointEntry { state: EndpointState::Draining, ..listed(1) };
            events.push(Event::EndpointList { complete: false, entries: vec![draining] });
        }
        let oldest = oracle.seen.iter().filter_map(|(id, m)| m.in_flight.map(|o| (o.1, *id))).min();
        if let (Some((at, id)), Some(o)) = (oldest, outcome(*code)) {
            let attempt = oracle.seen[&id].attempts - 1;
            let over = oracle.seen[&id].ended || o == Outcome::Ok;
            let (took, report) =
                (now - at, set.limits_reported.then_some(LoadReport { left: 0.3, limit: 9.0 }));
            oracle.outcome(now, id, o, &set);
            events.push(Event::AttemptEnded(AttemptEnded {
                id: MessageId(id),
                attempt,
                outcome: o,
                over,
                took,
                report,
            }));
        }
        let id = n as u64 + 1;
        let key = Some(*key).filter(|_| set.classes[*class].fifo_by_key);
        let deadline = now + set.classes[*class].deadline;
        let message = Message {
            id: MessageId(id),
            class: *class,
            tenant: 0,
            key,
            dest: DestinationId(*dest),
            deadline,
        };
        events.push(Event::Message(message));
        let m = KnownMessage {
            class: *class,
            key,
            deadline,
            attempts: 0,
            in_flight: None,
            first_possible_run: None,
            ended: false,
        };
        oracle.seen.insert(id, m);
        let actions = r.step(*later, &events);
        oracle.check(r.now, &actions, &set);
    }
    let last = set.classes.iter().map(|c| c.deadline.0 / ms(10).0).max().unwrap_or_default();
    for _ in 0..last + 50 {
        let actions = r.step(10, &[Event::Due]);
        oracle.check(r.now, &actions, &set);
    }
    assert!(oracle.seen.values().all(|m| m.ended), "every message ends");
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
            let set = Settings {
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
            (set, zones, kind)
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
        .run(&all, |((set, zones, kind), steps)| {
            play(&steps, set, zones, kind);
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
