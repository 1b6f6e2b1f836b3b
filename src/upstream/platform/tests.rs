//! Tests of `platform`.
use super::*;
use rstest::rstest;

#[rstest]
#[case("x0=0.4,x1=25", Some((0.4, 25.0)))]
#[case(" x1 = 25 , x2=7, x0 = 0", Some((0.0, 25.0)))]
#[case("x0=0,x1=0", Some((0.0, 0.0)))]
#[case("x0=nan,x1=25", None)]
#[case("x0=0.4,x1=inf", None)]
#[case("x0=0.4,x1=1e300", None)]
#[case("x0=-1,x1=25", None)]
#[case("x0=0.4", None)]
#[case("x0=0.4,x1=", None)]
#[case("", None)]
fn a_report_that_cannot_be_meant_is_none(#[case] said: &str, #[case] expected: Option<(f64, f64)>) {
    assert_eq!(report(said), expected.map(|(left, limit)| LoadReport { left, limit }));
}

#[rstest]
#[case("0.3", Some(0.3))]
#[case("3600", Some(3600.0))]
#[case("86400", Some(WAIT_MOST))]
#[case("inf", Some(WAIT_MOST))]
#[case("1e300", Some(WAIT_MOST))]
#[case("0", None)]
#[case("-2", None)]
#[case("-inf", None)]
#[case("NaN", None)]
#[case("soon", None)]
#[case("", None)]
fn a_told_wait_is_bounded(#[case] said: &str, #[case] secs: Option<f64>) {
    let mut headers = HeaderMap::new();
    headers.insert(RETRY_AFTER, said.parse().expect("a header"));
    assert_eq!(wait(&headers), secs.map(Nanos::from_secs));
    let outcome = ending(StatusCode::TOO_MANY_REQUESTS, &headers).outcome;
    assert_eq!(outcome, Outcome::Rejected(secs.map(Nanos::from_secs)));
}
