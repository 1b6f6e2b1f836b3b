//! Tests of the exchange of observations with peers.
use super::*;

const HOST: EndpointId = EndpointId(1);
const DEST: DestinationId = DestinationId(7);

fn at(secs: f64) -> Nanos {
    Nanos::from_secs(1000.0 + secs)
}

fn span(secs: f64) -> Nanos {
    Nanos::from_secs(secs)
}

/// A module with one host, and what it sent.
struct Relay {
    module: Balancer,
    next: u64,
    sent: Vec<(Nanos, MessageId)>,
    /// How many of them have their end.
    ended: usize,
}

impl Relay {
    fn new() -> Relay {
        let class = Class {
            latency_objective: span(3.0),
            deadline: span(30.0),
            priority_weight: 1.0,
            late_weight_share: 0.5,
            effect: Effect::Idempotent,
            fifo_by_key: false,
        };
        let settings = Settings {
            slots: 8,
            max_pending: 1000,
            max_attempts: 6,
            forwarders: 1,
            classes: vec![class],
            kinds: vec![EndpointKind { separate_routes: false, max_batch: 1 }],
            cold_capacity_share: 0.2,
            overload_multiple: 2.0,
            warm_up: span(9.0),
            retry_after: Some(span(2.0)),
            ..Settings::default()
        };
        let mut relay = Relay { module: Balancer::new(settings, 7), next: 0, sent: Vec::new(), ended: 0 };
        let state = EndpointState::Running;
        let entry = EndpointEntry { host: HOST, zone: 0, kind: 0, dest: DEST, state, rate: 0.0 };
        relay.take(at(0.0), vec![Event::EndpointList { complete: true, entries: vec![entry] }]);
        relay
    }
    fn take(&mut self, now: Nanos, events: Vec<Event>) {
        let mut actions = Vec::new();
        self.module.handle(now, &events, &mut actions);
        for action in actions {
            if let Action::Send { id, .. } = action {
                self.sent.push((now, id));
            }
        }
    }
    fn hint(&mut self, now: Nanos, finding: Finding, age: f64) {
        self.take(now, vec![Event::PeerObservation(Observation { host: HOST, finding, age: span(age) })]);
    }
    fn hand_in(&mut self, now: Nanos, many: u64) {
        let message = |n| {
            let (id, deadline) = (MessageId(n), now + span(30.0));
            Event::Message(Message { id, class: 0, tenant: 0, key: None, dest: DEST, deadline })
        };
        let events = (self.next..self.next + many).map(message).collect();
        self.next += many;
        self.take(now, events);
    }
    /// Lets time pass, with an end for each call after a tenth of a second.
    fn run(&mut self, from: f64, to: f64, outcome: Outcome) -> usize {
        let before = self.sent.len();
        for step in 0..((to - from) * 20.0) as u64 {
            let now = at(from + step as f64 / 20.0);
            let mut events = vec![Event::Due];
            while let Some((sent, id)) =
                self.sent.get(self.ended).copied().filter(|s| (now - s.0).secs() >= 0.1)
            {
                let took = now - sent;
                events.push(Event::AttemptEnded(AttemptEnded {
                    id,
                    attempt: 0,
                    outcome,
                    over: false,
                    took,
                    report: None,
                }));
                self.ended += 1;
            }
            self.take(now, events);
        }
        self.sent.len() - before
    }
}

const OUT: f64 = 20.0;

fn out() -> Finding {
    Finding::Outage { since: span(OUT), risky: true }
}

#[test]
fn an_outage_that_a_neighbour_met_costs_trials_and_no_flow() {
    let (mut fresh, mut told) = (Relay::new(), Relay::new());
    told.hint(at(0.1), out(), 0.2);
    for relay in [&mut fresh, &mut told] {
        relay.hand_in(at(0.2), 8);
    }
    assert!(fresh.sent.len() > 1, "without a hint it is taken for well");
    assert!(told.sent.len() <= 1, "{:?}", told.sent);
    told.run(0.2, 3.0, Outcome::Reset);
    let trials = told.sent.len();
    assert!((1..=3).contains(&trials), "{trials} trials");
}

#[test]
fn a_false_outage_costs_one_trial_and_its_end_is_a_slow_start() {
    let mut told = Relay::new();
    told.hint(at(0.1), out(), 0.2);
    told.hand_in(at(0.2), 40);
    told.run(0.2, 20.0, Outcome::Ok);
    assert_eq!(told.sent.len(), 40, "all are delivered in time");
    assert!(told.sent[0].0 <= at(0.1 + PEER_TRIAL_WITHIN + 0.1));
}

#[test]
fn own_experience_wins_unless_it_is_older() {
    for (age, wanted) in [(0.5, false), (0.0, true)] {
        let mut relay = Relay::new();
        relay.hand_in(at(0.0), 1);
        relay.run(0.0, 0.2, Outcome::Ok);
        relay.hint(at(0.4), out(), age);
        relay.hand_in(at(0.5), 8);
        assert_eq!(
            relay.sent.len() <= 2,
            wanted,
            "hearsay of {age} s ago: {:?} {:?}",
            relay.sent,
            relay.module.observations(at(0.5))
        );
    }
}

#[test]
fn nothing_is_sent_before_a_wait_that_another_was_told_ends() {
    let mut relay = Relay::new();
    relay.hint(at(0.0), Finding::RetryAfter { left: span(1.5) }, 0.5);
    relay.hand_in(at(0.1), 4);
    relay.run(0.1, 3.0, Outcome::Ok);
    assert!(relay.sent.iter().all(|s| s.0 >= at(1.5)), "{:?}", relay.sent);
    assert!(!relay.sent.is_empty());
}

#[test]
fn good_news_frees_nothing() {
    // It went cold after the neighbour saw it well, or the neighbour saw it return: neither opens what is shut.
    let mut relay = Relay::new();
    relay.hint(at(0.0), out(), 0.0);
    relay.hint(at(0.1), Finding::Healthy { mean: 0.1, dev: 0.01 }, 0.0);
    relay.hint(at(0.2), Finding::Recovering { since: span(0.1) }, 0.0);
    relay.hand_in(at(0.3), 8);
    let trials = relay.run(0.3, 2.4, Outcome::Reset);
    assert!(trials <= 2, "{trials}");
    // And to one that knows nothing it says that the host is cold.
    let mut fresh = Relay::new();
    fresh.hint(at(0.0), Finding::Recovering { since: span(0.5) }, 0.1);
    fresh.hand_in(at(0.1), 100);
    let sent = fresh.run(0.1, 1.1, Outcome::Ok);
    let mut well = Relay::new();
    well.hand_in(at(0.1), 100);
    assert!(sent < well.run(0.1, 1.1, Outcome::Ok) / 2, "{sent} in its first second");
}

#[test]
fn hearsay_is_never_passed_on_as_own_experience() {
    let mut relay = Relay::new();
    relay.hint(at(0.0), out(), 0.0);
    relay.hint(at(0.0), Finding::RetryAfter { left: span(5.0) }, 0.0);
    relay.hint(at(0.0), Finding::RateLimit { rate: 3.0 }, 0.0);
    relay.hint(at(0.0), Finding::ConnectionCapacity { calls: 2.0 }, 0.0);
    assert!(relay.module.observations(at(0.1)).is_empty());
    // Its own trial makes an outage its own experience, which began with the trial and not before.
    relay.hand_in(at(0.1), 4);
    relay.run(0.1, 9.0, Outcome::Reset);
    let known = relay.module.observations(at(9.0));
    let out = known.iter().find_map(|h| match h.finding {
        Finding::Outage { since, .. } => Some(since),
        _ => None,
    });
    assert!(out.is_some_and(|since| since < span(9.0)), "{known:?}");
    assert!(known.iter().all(|h| !matches!(h.finding, Finding::RetryAfter { .. })));
}

#[test]
fn figures_that_make_no_sense_do_no_harm() {
    let mut relay = Relay::new();
    for bad in [f64::NAN, f64::INFINITY, -1.0, 0.0] {
        relay.hint(at(0.0), Finding::RateLimit { rate: bad }, 0.0);
        relay.hint(at(0.0), Finding::ConnectionCapacity { calls: bad }, 0.0);
        relay.hint(at(0.0), Finding::Healthy { mean: bad, dev: bad }, 0.0);
    }
    relay.hand_in(at(0.1), 20);
    relay.run(0.1, 25.0, Outcome::Ok);
    assert!(!relay.sent.is_empty());
}
