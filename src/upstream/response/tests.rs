//! Tests of the parsing of load reports and Retry-After headers.
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
fn a_load_report_with_implausible_values_is_ignored(
    #[case] value: &str, #[case] expected: Option<(f64, f64)>,
) {
    assert_eq!(parse_load_report(value), expected.map(|(left, limit)| LoadReport { left, limit }));
}

#[rstest]
#[case("0.3", Some(0.3))]
#[case("3600", Some(3600.0))]
#[case("86400", Some(MAX_RETRY_AFTER_SECS))]
#[case("inf", Some(MAX_RETRY_AFTER_SECS))]
#[case("1e300", Some(MAX_RETRY_AFTER_SECS))]
#[case("0", None)]
#[case("-2", None)]
#[case("-inf", None)]
#[case("NaN", None)]
#[case("soon", None)]
#[case("", None)]
fn a_retry_after_is_positive_and_at_most_an_hour(#[case] value: &str, #[case] secs: Option<f64>) {
    let mut headers = HeaderMap::new();
    headers.insert(RETRY_AFTER, value.parse().expect("a header"));
    assert_eq!(retry_after(&headers), secs.map(Nanos::from_secs));
    let outcome =
        result_of_complete_response(CallKind::Single, StatusCode::TOO_MANY_REQUESTS, &headers).outcome;
    assert_eq!(outcome, Outcome::Rejected(secs.map(Nanos::from_secs)));
}
