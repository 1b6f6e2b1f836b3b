//! Tests of `weigh`.
use super::*;
use proptest::prelude::*;
use rstest::rstest;

const A: PeerId = 1;
const B: PeerId = 2;
const NONE: Nanos = Nanos(0);

fn at(secs: f64) -> Nanos {
    Nanos::from_secs(1000.0 + secs)
}

fn span(secs: f64) -> Nanos {
    Nanos::from_secs(secs)
}

fn item(finding: Finding, age: f64) -> Vec<EndpointObservation> {
    vec![EndpointObservation { uid: "s-1".into(), finding, age: span(age) }]
}

fn out(since: f64) -> Finding {
    Finding::Outage { since: span(since), risky: false }
}

fn back(since: f64) -> Finding {
    Finding::Recovering { since: span(since) }
}

const WELL_NEWS: Finding = Finding::Healthy { mean: 0.1, dev: 0.05 };

/// Two neighbours' words, `age` seconds old, and what counts of them at once.
#[rstest]
#[case::cold_after_it_was_well((WELL_NEWS, 5.0), (out(1.0), 0.5), Some(2))]
#[case::well_is_soon_forgotten((WELL_NEWS, 1.5), (WELL_NEWS, 1.2), None)]
#[case::the_youngest_sight_wins((out(10.0), 4.0), (back(2.0), 0.1), Some(1))]
#[case::and_so_it_does_for_bad_news((back(9.0), 4.0), (out(1.0), 0.1), Some(2))]
#[case::within_a_second_the_worse_one((out(10.0), 0.9), (WELL_NEWS, 0.0), Some(2))]
#[case::a_long_outage_is_believed_longer((out(50.0), 20.0), (WELL_NEWS, 1.5), Some(2))]
#[case::a_short_one_is_not((out(3.0), 2.5), (WELL_NEWS, 1.5), None)]
fn neighbours_that_disagree(
    #[case] a: (Finding, f64), #[case] b: (Finding, f64), #[case] wanted: Option<u8>,
) {
    for (first, second) in [(a, b), (b, a)] {
        let mut weigh = Aggregator::default();
        weigh.take(at(0.0), A, NONE, item(first.0, first.1));
        weigh.take(at(0.0), B, NONE, item(second.0, second.1));
        let counts = weigh.counts(at(0.0));
        let badness = counts.first().map(|i| match i.finding {
            Finding::Outage { .. } => 2,
            Finding::Recovering { .. } => 1,
            _ => 0,
        });
        assert_eq!(badness, wanted, "{counts:?}");
        assert!(counts.len() <= 1);
    }
}

#[test]
fn a_wait_learned_second_hand_never_ends_later_than_the_partner_said() {
    let mut weigh = Aggregator::default();
    // Told at 0 with 5 s; the frame was built at 1, and may have been under way since 0.7.
    weigh.take(at(1.2), A, span(0.5), item(Finding::RetryAfter { left: span(4.0) }, 1.0));
    let left = |weigh: &mut Aggregator, now| match weigh.counts(now).first().map(|i| i.finding) {
        Some(Finding::RetryAfter { left }) => left,
        other => panic!("{other:?}"),
    };
    assert_eq!(at(1.2) + left(&mut weigh, at(1.2)), at(4.7));
    assert_eq!(at(3.0) + left(&mut weigh, at(3.0)), at(4.7), "said again later, it ends at the same time");
    weigh.take(at(3.0), B, NONE, item(Finding::RetryAfter { left: span(0.5) }, 0.0));
    assert_eq!(at(3.0) + left(&mut weigh, at(3.0)), at(4.7), "the latest end counts");
    assert!(weigh.counts(at(4.7)).is_empty());
    weigh.take(at(5.0), A, NONE, item(Finding::RetryAfter { left: span(1e6) }, 0.0));
    assert!(weigh.counts(at(5.0)).is_empty(), "no partner says so long a wait");
}

#[test]
fn what_came_later_but_was_seen_earlier_changes_nothing() {
    let mut weigh = Aggregator::default();
    weigh.take(at(10.0), A, NONE, item(back(1.0), 0.2));
    weigh.take(at(10.1), A, span(3.0), item(out(5.0), 0.1));
    assert!(matches!(weigh.counts(at(10.1))[0].finding, Finding::Recovering { .. }));
}

#[test]
fn of_two_that_saw_it_return_the_later_moment_counts() {
    let mut weigh = Aggregator::default();
    weigh.take(at(0.0), A, NONE, item(back(3.0), 0.0));
    weigh.take(at(0.0), B, NONE, item(back(1.0), 0.4));
    assert_eq!(weigh.counts(at(0.0))[0].finding, back(1.0));
}

#[test]
fn a_flood_of_names_takes_a_bounded_place_and_pushes_nobody_out() {
    let mut weigh = Aggregator::default();
    weigh.take(at(0.0), A, NONE, item(out(60.0), 0.0));
    for n in 0..ENDPOINTS_MOST as u64 + 500 {
        let one = EndpointObservation { uid: format!("x-{n}"), finding: out(60.0), age: NONE };
        weigh.take(at(0.0), B, NONE, vec![one]);
    }
    assert_eq!(weigh.len(), ENDPOINTS_MOST);
    assert!(weigh.counts(at(0.1)).iter().any(|i| i.uid == "s-1"));
    for n in 0..50 {
        weigh.take(at(0.2), n, NONE, item(out(60.0), 0.0));
    }
    assert!(weigh.endpoints["s-1"].seen.len() <= NEIGHBOURS_MOST);
    assert!(weigh.counts(at(200.0)).is_empty() && weigh.is_empty(), "all is forgotten in time");
}

proptest! {
    /// Whatever comes in whatever order, what counts is what some neighbour saw, no younger than it was, and no
    /// outage counts longer than its time.
    #[test]
    fn nothing_counts_that_nobody_saw(
        words in prop::collection::vec((0..4u64, 0..3u8, 0.0..5.0f64, 0.0..20.0f64, 0.0..2.0f64), 1..30),
    ) {
        let mut weigh = Aggregator::default();
        let mut now = at(0.0);
        let mut told = Vec::new();
        for (from, kind, after, age, way) in words {
            now = now + after;
            let finding = [out(age + 3.0), back(age), WELL_NEWS][kind as usize];
            weigh.take(now, from, span(way), item(finding, age));
            told.push((kind, now - span(age) - span(way)));
            for one in weigh.counts(now) {
                let kind = match one.finding { Finding::Outage { .. } => 0, Finding::Recovering { .. } => 1, _ => 2 };
                let seen = now - one.age;
                prop_assert!(told.contains(&(kind, seen)), "{one:?} at {now:?} of {told:?}");
                prop_assert!(one.age.secs() <= OUT_MOST);
            }
        }
    }
}
