//! Tests of `aggregation`.
use super::*;
use proptest::prelude::*;
use rstest::rstest;

const A: PeerId = 1;
const B: PeerId = 2;
const NO_TRANSIT: Nanos = Nanos(0);

fn at(secs: f64) -> Nanos {
    Nanos::from_secs(1000.0 + secs)
}

fn span(secs: f64) -> Nanos {
    Nanos::from_secs(secs)
}

fn observation(finding: Finding, age: f64) -> Vec<EndpointObservation> {
    vec![EndpointObservation { uid: "s-1".into(), finding, age: span(age) }]
}

fn outage(since: f64) -> Finding {
    Finding::Outage { since: span(since), risky: false }
}

fn recovering(since: f64) -> Finding {
    Finding::Recovering { since: span(since) }
}

const HEALTHY: Finding = Finding::Healthy { mean: 0.1, dev: 0.05 };

/// Each case has the observations of two peers with their ages in seconds, and the severity of the effective one.
#[rstest]
#[case::outage_after_health((HEALTHY, 5.0), (outage(1.0), 0.5), Some(2))]
#[case::health_expires_after_a_second((HEALTHY, 1.5), (HEALTHY, 1.2), None)]
#[case::a_later_recovery_wins_over_an_outage((outage(10.0), 4.0), (recovering(2.0), 0.1), Some(1))]
#[case::a_later_outage_wins_over_a_recovery((recovering(9.0), 4.0), (outage(1.0), 0.1), Some(2))]
#[case::the_worse_state_wins_within_a_second((outage(10.0), 0.9), (HEALTHY, 0.0), Some(2))]
#[case::a_long_outage_is_valid_for_longer((outage(50.0), 20.0), (HEALTHY, 1.5), Some(2))]
#[case::a_short_outage_expires((outage(3.0), 2.5), (HEALTHY, 1.5), None)]
fn resolves_disagreement_between_two_peers(
    #[case] a: (Finding, f64), #[case] b: (Finding, f64), #[case] expected: Option<u8>,
) {
    for (first, second) in [(a, b), (b, a)] {
        let mut aggregator = Aggregator::default();
        aggregator.record(at(0.0), A, NO_TRANSIT, observation(first.0, first.1));
        aggregator.record(at(0.0), B, NO_TRANSIT, observation(second.0, second.1));
        let due = aggregator.due(at(0.0));
        let severity = due.first().map(|first| match first.finding {
            Finding::Outage { .. } => 2,
            Finding::Recovering { .. } => 1,
            _ => 0,
        });
        assert_eq!(severity, expected, "{due:?}");
        assert!(due.len() <= 1);
    }
}

#[test]
fn a_retry_after_from_a_peer_never_ends_later_than_the_partner_requested() {
    let mut aggregator = Aggregator::default();
    // The peer received a Retry-After of 5 s at 0 and built the frame at 1, with 4 s left. The frame arrives at 1.2 and may
    // have been in transit since 0.7, so the wait ends at 4.7 at the latest.
    aggregator.record(at(1.2), A, span(0.5), observation(Finding::RetryAfter { left: span(4.0) }, 1.0));
    let left = |aggregator: &mut Aggregator, now| match aggregator.due(now).first().map(|first| first.finding)
    {
        Some(Finding::RetryAfter { left }) => left,
        other => panic!("{other:?}"),
    };
    assert_eq!(at(1.2) + left(&mut aggregator, at(1.2)), at(4.7));
    assert_eq!(
        at(3.0) + left(&mut aggregator, at(3.0)),
        at(4.7),
        "the repeated observation has the same end"
    );
    aggregator.record(at(3.0), B, NO_TRANSIT, observation(Finding::RetryAfter { left: span(0.5) }, 0.0));
    assert_eq!(at(3.0) + left(&mut aggregator, at(3.0)), at(4.7), "the latest end is effective");
    assert!(aggregator.due(at(4.7)).is_empty());
    aggregator.record(at(5.0), A, NO_TRANSIT, observation(Finding::RetryAfter { left: span(1e6) }, 0.0));
    assert!(aggregator.due(at(5.0)).is_empty(), "a wait over the maximum is ignored");
}

#[test]
fn ignores_an_older_observation_that_arrives_late() {
    let mut aggregator = Aggregator::default();
    aggregator.record(at(10.0), A, NO_TRANSIT, observation(recovering(1.0), 0.2));
    aggregator.record(at(10.1), A, span(3.0), observation(outage(5.0), 0.1));
    assert!(matches!(aggregator.due(at(10.1))[0].finding, Finding::Recovering { .. }));
}

#[test]
fn the_later_start_of_two_recoveries_is_effective() {
    let mut aggregator = Aggregator::default();
    aggregator.record(at(0.0), A, NO_TRANSIT, observation(recovering(3.0), 0.0));
    aggregator.record(at(0.0), B, NO_TRANSIT, observation(recovering(1.0), 0.4));
    assert_eq!(aggregator.due(at(0.0))[0].finding, recovering(1.0));
}

#[test]
fn the_table_is_bounded_and_new_endpoints_displace_none() {
    let mut aggregator = Aggregator::default();
    aggregator.record(at(0.0), A, NO_TRANSIT, observation(outage(60.0), 0.0));
    for n in 0..MAX_ENDPOINTS as u64 + 500 {
        let new = EndpointObservation { uid: format!("x-{n}"), finding: outage(60.0), age: NO_TRANSIT };
        aggregator.record(at(0.0), B, NO_TRANSIT, vec![new]);
    }
    assert_eq!(aggregator.len(), MAX_ENDPOINTS);
    assert!(aggregator.due(at(0.1)).iter().any(|observation| observation.uid == "s-1"));
    for n in 0..50 {
        aggregator.record(at(0.2), n, NO_TRANSIT, observation(outage(60.0), 0.0));
    }
    assert!(aggregator.endpoints["s-1"].by_peer.len() <= MAX_PEERS);
    assert!(aggregator.due(at(200.0)).is_empty() && aggregator.is_empty(), "all observations expire");
}

proptest! {
    /// For any order of arrivals, each effective observation has the kind and the time of a peer's observation, and is not
    /// older than the longest validity.
    #[test]
    fn each_effective_observation_was_made_by_a_peer(
        arrivals in prop::collection::vec((0..4u64, 0..3u8, 0.0..5.0f64, 0.0..20.0f64, 0.0..2.0f64), 1..30),
    ) {
        let mut aggregator = Aggregator::default();
        let mut now = at(0.0);
        let mut observed = Vec::new();
        for (peer, kind, delay, age, transit) in arrivals {
            now = now + delay;
            let finding = [outage(age + 3.0), recovering(age), HEALTHY][kind as usize];
            aggregator.record(now, peer, span(transit), observation(finding, age));
            observed.push((kind, now - span(age) - span(transit)));
            for effective in aggregator.due(now) {
                let kind = match effective.finding { Finding::Outage { .. } => 0, Finding::Recovering { .. } => 1, _ => 2 };
                let observed_at = now - effective.age;
                prop_assert!(observed.contains(&(kind, observed_at)), "{effective:?} at {now:?} of {observed:?}");
                prop_assert!(effective.age.secs() <= MAX_OUTAGE_VALIDITY_SECS);
            }
        }
    }
}
