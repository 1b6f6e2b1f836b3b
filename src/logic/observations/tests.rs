//! Tests the exchange of observations with peers.
use super::*;

const ENDPOINT: EndpointId = EndpointId(1);
const DEST: DestinationId = DestinationId(7);

fn at(secs: f64) -> Nanos {
    Nanos::from_secs(1000.0 + secs)
}

fn span(secs: f64) -> Nanos {
    Nanos::from_secs(secs)
}

/// A decision module with one endpoint, and the sends that it made.
struct Forwarder {
    module: Balancer,
    next_id: u64,
    sent: Vec<(Nanos, MessageId)>,
    /// Number of sends that already have an outcome.
    ended: usize,
}

impl Forwarder {
    fn new() -> Forwarder {
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
        let mut forwarder =
            Forwarder { module: Balancer::new(settings, 7), next_id: 0, sent: Vec::new(), ended: 0 };
        let state = EndpointState::Running;
        let entry = EndpointEntry { host: ENDPOINT, zone: 0, kind: 0, dest: DEST, state, rate: 0.0 };
        forwarder.handle_events(at(0.0), vec![Event::EndpointList { complete: true, entries: vec![entry] }]);
        forwarder
    }
    fn handle_events(&mut self, now: Nanos, events: Vec<Event>) {
        let mut actions = Vec::new();
        self.module.handle(now, &events, &mut actions);
        for action in actions {
            if let Action::Send { id, .. } = action {
                self.sent.push((now, id));
            }
        }
    }
    fn observe(&mut self, now: Nanos, finding: Finding, age: f64) {
        self.handle_events(
            now,
            vec![Event::PeerObservation(Observation { host: ENDPOINT, finding, age: span(age) })],
        );
    }
    fn submit(&mut self, now: Nanos, count: u64) {
        let message = |n| {
            let (id, deadline) = (MessageId(n), now + span(30.0));
            Event::Message(Message { id, class: 0, tenant: 0, key: None, dest: DEST, deadline })
        };
        let events = (self.next_id..self.next_id + count).map(message).collect();
        self.next_id += count;
        self.handle_events(now, events);
    }
    /// Advances time from `from` to `to` in steps of 50 ms. Each call ends with `outcome` after 100 ms.
    /// Returns the number of sends.
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
            self.handle_events(now, events);
        }
        self.sent.len() - before
    }
}

/// Duration in seconds of the reported outage.
const OUTAGE_SECS: f64 = 20.0;

fn outage() -> Finding {
    Finding::Outage { since: span(OUTAGE_SECS), risky: true }
}

#[test]
fn a_peer_outage_allows_only_trial_calls() {
    let (mut uninformed, mut informed) = (Forwarder::new(), Forwarder::new());
    informed.observe(at(0.1), outage(), 0.2);
    for forwarder in [&mut uninformed, &mut informed] {
        forwarder.submit(at(0.2), 8);
    }
    assert!(uninformed.sent.len() > 1, "an endpoint without observations counts as healthy");
    assert!(informed.sent.len() <= 1, "{:?}", informed.sent);
    informed.run(0.2, 3.0, Outcome::Reset);
    let trials = informed.sent.len();
    assert!((1..=3).contains(&trials), "{trials} trials");
}

#[test]
fn a_false_peer_outage_costs_one_trial_and_a_slow_start() {
    let mut informed = Forwarder::new();
    informed.observe(at(0.1), outage(), 0.2);
    informed.submit(at(0.2), 40);
    informed.run(0.2, 20.0, Outcome::Ok);
    assert_eq!(informed.sent.len(), 40, "all messages are delivered in time");
    assert!(informed.sent[0].0 <= at(0.1 + PEER_TRIAL_SPREAD_SECS + 0.1));
}

#[test]
fn a_local_outcome_overrides_an_older_peer_observation() {
    for (age, only_trials) in [(0.5, false), (0.0, true)] {
        let mut forwarder = Forwarder::new();
        forwarder.submit(at(0.0), 1);
        forwarder.run(0.0, 0.2, Outcome::Ok);
        forwarder.observe(at(0.4), outage(), age);
        forwarder.submit(at(0.5), 8);
        assert_eq!(
            forwarder.sent.len() <= 2,
            only_trials,
            "observed {age} s ago: {:?} {:?}",
            forwarder.sent,
            forwarder.module.observations(at(0.5))
        );
    }
}

#[test]
fn no_call_starts_before_a_peer_retry_after_ends() {
    let mut forwarder = Forwarder::new();
    forwarder.observe(at(0.0), Finding::RetryAfter { left: span(1.5) }, 0.5);
    forwarder.submit(at(0.1), 4);
    forwarder.run(0.1, 3.0, Outcome::Ok);
    assert!(forwarder.sent.iter().all(|s| s.0 >= at(1.5)), "{:?}", forwarder.sent);
    assert!(!forwarder.sent.is_empty());
}

#[test]
fn a_favourable_peer_observation_lifts_no_restriction() {
    // An observation from before the outage and one of a recovery: neither closes the breaker.
    let mut forwarder = Forwarder::new();
    forwarder.observe(at(0.0), outage(), 0.0);
    forwarder.observe(at(0.1), Finding::Healthy { mean: 0.1, dev: 0.01 }, 0.0);
    forwarder.observe(at(0.2), Finding::Recovering { since: span(0.1) }, 0.0);
    forwarder.submit(at(0.3), 8);
    let trials = forwarder.run(0.3, 2.4, Outcome::Reset);
    assert!(trials <= 2, "{trials}");
    // Without other information, a recovery means that the endpoint is warming up.
    let mut uninformed = Forwarder::new();
    uninformed.observe(at(0.0), Finding::Recovering { since: span(0.5) }, 0.1);
    uninformed.submit(at(0.1), 100);
    let sent = uninformed.run(0.1, 1.1, Outcome::Ok);
    let mut healthy = Forwarder::new();
    healthy.submit(at(0.1), 100);
    assert!(sent < healthy.run(0.1, 1.1, Outcome::Ok) / 2, "{sent} sends in the first second");
}

#[test]
fn peer_observations_are_not_reported_as_local() {
    let mut forwarder = Forwarder::new();
    forwarder.observe(at(0.0), outage(), 0.0);
    forwarder.observe(at(0.0), Finding::RetryAfter { left: span(5.0) }, 0.0);
    forwarder.observe(at(0.0), Finding::RateLimit { rate: 3.0 }, 0.0);
    forwarder.observe(at(0.0), Finding::ConnectionCapacity { calls: 2.0 }, 0.0);
    assert!(forwarder.module.observations(at(0.1)).is_empty());
    // A failed local trial makes the outage a local observation that begins with the trial, not earlier.
    forwarder.submit(at(0.1), 4);
    forwarder.run(0.1, 9.0, Outcome::Reset);
    let known = forwarder.module.observations(at(9.0));
    let outage = known.iter().find_map(|observation| match observation.finding {
        Finding::Outage { since, .. } => Some(since),
        _ => None,
    });
    assert!(outage.is_some_and(|since| since < span(9.0)), "{known:?}");
    assert!(known.iter().all(|observation| !matches!(observation.finding, Finding::RetryAfter { .. })));
}

#[test]
fn invalid_peer_values_do_not_stop_delivery() {
    let mut forwarder = Forwarder::new();
    for bad in [f64::NAN, f64::INFINITY, -1.0, 0.0] {
        forwarder.observe(at(0.0), Finding::RateLimit { rate: bad }, 0.0);
        forwarder.observe(at(0.0), Finding::ConnectionCapacity { calls: bad }, 0.0);
        forwarder.observe(at(0.0), Finding::Healthy { mean: bad, dev: bad }, 0.0);
    }
    forwarder.submit(at(0.1), 20);
    forwarder.run(0.1, 25.0, Outcome::Ok);
    assert!(!forwarder.sent.is_empty());
}
