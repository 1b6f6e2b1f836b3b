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

/// The observations of two peers, each with its age in seconds, and the severity of what counts.
#[rstest]
#[case::outage_after_health((HEALTHY, 5.0), (outage(1.0), 0.5), Some(2))]
#[case::health_expires_soon((HEALTHY, 1.5), (HEALTHY, 1.2), None)]
#[case::the_latest_observation_wins((outage(10.0), 4.0), (recovering(2.0), 0.1), Some(1))]
#[case::the_latest_wins_for_an_outage_too((recovering(9.0), 4.0), (outage(1.0), 0.1), Some(2))]
#[case::within_a_second_the_worse_state((outage(10.0), 0.9), (HEALTHY, 0.0), Some(2))]
#[case::a_long_outage_counts_for_longer((outage(50.0), 20.0), (HEALTHY, 1.5), Some(2))]
#[case::a_short_outage_expires((outage(3.0), 2.5), (HEALTHY, 1.5), None)]
fn peers_that_disagree(#[case] a: (Finding, f64), #[case] b: (Finding, f64), #[case] wanted: Option<u8>) {
    for (first, second) in [(a, b), (b, a)] {
        let mut aggregator = Aggregator::default();
        aggregator.record(at(0.0), A, NO_TRANSIT, observation(first.0, first.1));
        aggregator.record(at(0.0), B, NO_TRANSIT, observation(second.0, second.1));
        let due = aggregator.due(at(0.0));
        let severity = due.first().map(|i| match i.finding {
            Finding::Outage { .. } => 2,
            Finding::Recovering { .. } => 1,
            _ => 0,
        });
        assert_eq!(severity, wanted, "{due:?}");
        assert!(due.len() <= 1);
    }
}

#[test]
fn a_retry_after_from_a_peer_never_ends_later_than_the_partner_asked() {
    let mut aggregator = Aggregator::default();
    // Received by the peer at 0 with 5 s; the frame was built at 1, and may have been in transit since 0.7.
    aggregator.record(at(1.2), A, span(0.5), observation(Finding::RetryAfter { left: span(4.0) }, 1.0));
    let left = |aggregator: &mut Aggregator, now| match aggregator.due(now).first().map(|i| i.finding) {
        Some(Finding::RetryAfter { left }) => left,
        other => panic!("{other:?}"),
    };
    assert_eq!(at(1.2) + left(&mut aggregator, at(1.2)), at(4.7));
    assert_eq!(
        at(3.0) + left(&mut aggregator, at(3.0)),
        at(4.7),
        "handed over again later, it ends at the same time"
    );
    aggregator.record(at(3.0), B, NO_TRANSIT, observation(Finding::RetryAfter { left: span(0.5) }, 0.0));
    assert_eq!(at(3.0) + left(&mut aggregator, at(3.0)), at(4.7), "the latest end counts");
    assert!(aggregator.due(at(4.7)).is_empty());
    aggregator.record(at(5.0), A, NO_TRANSIT, observation(Finding::RetryAfter { left: span(1e6) }, 0.0));
    assert!(aggregator.due(at(5.0)).is_empty(), "no partner asks for so long a wait");
}

#[test]
fn an_earlier_observation_that_arrives_later_changes_nothing() {
    let mut aggregator = Aggregator::default();
    aggregator.record(at(10.0), A, NO_TRANSIT, observation(recovering(1.0), 0.2));
    aggregator.record(at(10.1), A, span(3.0), observation(outage(5.0), 0.1));
    assert!(matches!(aggregator.due(at(10.1))[0].finding, Finding::Recovering { .. }));
}

#[test]
fn of_two_recoveries_the_later_start_counts() {
    let mut aggregator = Aggregator::default();
    aggregator.record(at(0.0), A, NO_TRANSIT, observation(recovering(3.0), 0.0));
    aggregator.record(at(0.0), B, NO_TRANSIT, observation(recovering(1.0), 0.4));
    assert_eq!(aggregator.due(at(0.0))[0].finding, recovering(1.0));
}

#[test]
fn a_flood_of_endpoints_is_bounded_and_displaces_none() {
    let mut aggregator = Aggregator::default();
    aggregator.record(at(0.0), A, NO_TRANSIT, observation(outage(60.0), 0.0));
    for n in 0..MAX_ENDPOINTS as u64 + 500 {
        let one = EndpointObservation { uid: format!("x-{n}"), finding: outage(60.0), age: NO_TRANSIT };
        aggregator.record(at(0.0), B, NO_TRANSIT, vec![one]);
    }
    assert_eq!(aggregator.len(), MAX_ENDPOINTS);
    assert!(aggregator.due(at(0.1)).iter().any(|i| i.uid == "s-1"));
    for n in 0..50 {
        aggregator.record(at(0.2), n, NO_TRANSIT, observation(outage(60.0), 0.0));
    }
    assert!(aggregator.endpoints["s-1"].by_peer.len() <= MAX_PEERS);
    assert!(aggregator.due(at(200.0)).is_empty() && aggregator.is_empty(), "everything expires");
}

proptest! {
    /// Whatever arrives in whatever order, what counts was observed by some peer, is dated no later than that, and
    /// no outage counts for longer than its validity.
    #[test]
    fn only_what_some_peer_observed_counts(
        arrivals in prop::collection::vec((0..4u64, 0..3u8, 0.0..5.0f64, 0.0..20.0f64, 0.0..2.0f64), 1..30),
    ) {
        let mut aggregator = Aggregator::default();
        let mut now = at(0.0);
        let mut observed = Vec::new();
        for (from, kind, after, age, transit) in arrivals {
            now = now + after;
            let finding = [outage(age + 3.0), recovering(age), HEALTHY][kind as usize];
            aggregator.record(now, from, span(transit), observation(finding, age));
            observed.push((kind, now - span(age) - span(transit)));
            for one in aggregator.due(now) {
                let kind = match one.finding { Finding::Outage { .. } => 0, Finding::Recovering { .. } => 1, _ => 2 };
                let observed_at = now - one.age;
                prop_assert!(observed.contains(&(kind, observed_at)), "{one:?} at {now:?} of {observed:?}");
                prop_assert!(one.age.secs() <= MAX_OUTAGE_VALIDITY_SECS);
            }
        }
    }
}
