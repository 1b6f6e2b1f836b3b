//! Tests of `publish`.
use super::*;

fn at(secs: f64) -> Nanos {
    Nanos::from_secs(1000.0 + secs)
}

fn observation(finding: Finding, age: f64) -> EndpointObservation {
    EndpointObservation { uid: "s-1".into(), finding, age: Nanos::from_secs(age) }
}

#[test]
fn everything_is_published_at_first_and_then_what_changed() {
    let mut state = PublicationState::default();
    let outage =
        |since: f64, age| observation(Finding::Outage { since: Nanos::from_secs(since), risky: true }, age);
    assert_eq!(state.due(at(0.0), &[outage(5.0, 0.5)]).len(), 1);
    // The same outage shortly after, not observed again.
    assert!(state.due(at(0.1), &[outage(5.1, 0.6)]).is_empty());
    assert!(state.due(at(3.0), &[outage(8.0, 3.5)]).is_empty(), "nothing was observed since");
    assert_eq!(state.due(at(3.1), &[outage(8.1, 0.1)]).len(), 1, "it was observed again");
    let recovering = observation(Finding::Recovering { since: Nanos::from_secs(0.1) }, 0.0);
    assert_eq!(state.due(at(3.2), &[recovering]).len(), 1, "the recovery, at once");
    // Another outage, which began only now.
    assert_eq!(state.due(at(3.3), &[outage(0.1, 0.0)]).len(), 1);
}

#[test]
fn a_retry_after_is_published_once_however_much_of_it_is_left() {
    let mut state = PublicationState::default();
    let wait = |left: f64, age| observation(Finding::RetryAfter { left: Nanos::from_secs(left) }, age);
    assert_eq!(state.due(at(0.0), &[wait(4.0, 0.0)]).len(), 1);
    for tenth in 1..30 {
        let elapsed = f64::from(tenth) / 10.0;
        assert!(state.due(at(elapsed), &[wait(4.0 - elapsed, elapsed)]).is_empty());
    }
    assert_eq!(state.due(at(3.0), &[wait(2.0, 0.0)]).len(), 1, "another wait");
}

#[test]
fn a_healthy_endpoint_is_published_rarely() {
    let mut state = PublicationState::default();
    let mut published = 0;
    for tenth in 0..600 {
        let finding = Finding::Healthy { mean: 0.1 + 0.001 * f64::from(tenth % 7), dev: 0.01 };
        published += state.due(at(f64::from(tenth) / 10.0), &[observation(finding, 0.0)]).len();
    }
    assert!((10..=14).contains(&published), "{published} in a minute");
}

#[test]
fn unknown_endpoints_are_dropped_from_the_published_table() {
    let mut state = PublicationState::default();
    for n in 0..10_000 {
        let mut one = observation(Finding::Recovering { since: Nanos(0) }, 0.0);
        one.uid = format!("s-{n}");
        state.due(at(f64::from(n)), &[one]);
    }
    assert!(state.published.len() < 100);
}
