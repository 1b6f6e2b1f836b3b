//! Tests of `tell`.
use super::*;

fn at(secs: f64) -> Nanos {
    Nanos::from_secs(1000.0 + secs)
}

fn item(finding: Finding, age: f64) -> EndpointObservation {
    EndpointObservation { uid: "s-1".into(), finding, age: Nanos::from_secs(age) }
}

#[test]
fn all_at_first_and_then_what_changed() {
    let mut telling = PublicationState::default();
    let out = |since: f64, age| item(Finding::Outage { since: Nanos::from_secs(since), risky: true }, age);
    assert_eq!(telling.due(at(0.0), &[out(5.0, 0.5)]).len(), 1);
    // The same outage, a moment later, with no new sight.
    assert!(telling.due(at(0.1), &[out(5.1, 0.6)]).is_empty());
    assert!(telling.due(at(3.0), &[out(8.0, 3.5)]).is_empty(), "nothing was seen since");
    assert_eq!(telling.due(at(3.1), &[out(8.1, 0.1)]).len(), 1, "a new sight of it");
    let back = item(Finding::Recovering { since: Nanos::from_secs(0.1) }, 0.0);
    assert_eq!(telling.due(at(3.2), &[back]).len(), 1, "its return, at once");
    // Another outage that began only now.
    assert_eq!(telling.due(at(3.3), &[out(0.1, 0.0)]).len(), 1);
}

#[test]
fn a_wait_is_told_once_however_much_of_it_is_left() {
    let mut telling = PublicationState::default();
    let wait = |left: f64, age| item(Finding::RetryAfter { left: Nanos::from_secs(left) }, age);
    assert_eq!(telling.due(at(0.0), &[wait(4.0, 0.0)]).len(), 1);
    for tenth in 1..30 {
        let past = f64::from(tenth) / 10.0;
        assert!(telling.due(at(past), &[wait(4.0 - past, past)]).is_empty());
    }
    assert_eq!(telling.due(at(3.0), &[wait(2.0, 0.0)]).len(), 1, "another wait");
}

#[test]
fn an_endpoint_that_is_well_costs_little() {
    let mut telling = PublicationState::default();
    let mut told = 0;
    for tenth in 0..600 {
        let well = item(Finding::Healthy { mean: 0.1 + 0.001 * f64::from(tenth % 7), dev: 0.01 }, 0.0);
        told += telling.due(at(f64::from(tenth) / 10.0), &[well]).len();
    }
    assert!((10..=14).contains(&told), "{told} in a minute");
}

#[test]
fn what_is_known_no_more_is_forgotten() {
    let mut telling = PublicationState::default();
    for n in 0..10_000 {
        let mut one = item(Finding::Recovering { since: Nanos(0) }, 0.0);
        one.uid = format!("s-{n}");
        telling.due(at(f64::from(n)), &[one]);
    }
    assert!(telling.told.len() < 100);
}
