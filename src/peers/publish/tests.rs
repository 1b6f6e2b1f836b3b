//! Tests of `publish`.
use super::*;

fn at(secs: f64) -> Nanos {
    Nanos::from_secs(1000.0 + secs)
}

fn observation(finding: Finding, age: f64) -> EndpointObservation {
    EndpointObservation { uid: "s-1".into(), finding, age: Nanos::from_secs(age) }
}

#[test]
fn publishes_all_observations_first_and_then_the_changed_ones() {
    let mut state = PublicationState::default();
    let outage =
        |since: f64, age| observation(Finding::Outage { since: Nanos::from_secs(since), risky: true }, age);
    assert_eq!(state.select_due(at(0.0), &[outage(5.0, 0.5)]).len(), 1);
    // The same outage shortly after, without a new observation.
    assert!(state.select_due(at(0.1), &[outage(5.1, 0.6)]).is_empty());
    assert!(state.select_due(at(3.0), &[outage(8.0, 3.5)]).is_empty(), "the outage was not observed again");
    assert_eq!(state.select_due(at(3.1), &[outage(8.1, 0.1)]).len(), 1, "the outage was observed again");
    let recovering = observation(Finding::Recovering { since: Nanos::from_secs(0.1) }, 0.0);
    assert_eq!(state.select_due(at(3.2), &[recovering]).len(), 1, "the recovery is published at once");
    // A new outage.
    assert_eq!(state.select_due(at(3.3), &[outage(0.1, 0.0)]).len(), 1);
}

#[test]
fn publishes_a_retry_after_once_while_its_remaining_time_decreases() {
    let mut state = PublicationState::default();
    let wait = |left: f64, age| observation(Finding::RetryAfter { left: Nanos::from_secs(left) }, age);
    assert_eq!(state.select_due(at(0.0), &[wait(4.0, 0.0)]).len(), 1);
    for tenth in 1..30 {
        let elapsed = f64::from(tenth) / 10.0;
        assert!(state.select_due(at(elapsed), &[wait(4.0 - elapsed, elapsed)]).is_empty());
    }
    assert_eq!(state.select_due(at(3.0), &[wait(2.0, 0.0)]).len(), 1, "a new wait is published");
}

#[test]
fn limits_the_publication_rate_of_a_healthy_endpoint() {
    let mut state = PublicationState::default();
    let mut published = 0;
    for tenth in 0..600 {
        let finding = Finding::Healthy { mean: 0.1 + 0.001 * f64::from(tenth % 7), dev: 0.01 };
        published += state.select_due(at(f64::from(tenth) / 10.0), &[observation(finding, 0.0)]).len();
    }
    assert!((10..=14).contains(&published), "{published} publications in a minute");
}

#[test]
fn removes_entries_of_unknown_endpoints_from_the_published_table() {
    let mut state = PublicationState::default();
    for n in 0..10_000 {
        let mut recovering = observation(Finding::Recovering { since: Nanos(0) }, 0.0);
        recovering.uid = format!("s-{n}");
        state.select_due(at(f64::from(n)), &[recovering]);
    }
    assert!(state.published.len() < 100);
}
