//! Tests of `logger`.
use super::*;
use rstest::rstest;

#[test]
fn a_call_site_is_limited_to_a_line_per_second_and_suppressed_lines_are_counted() {
    let mut limiter = RateLimiter::new(20);
    let at = |n: u64| Nanos(n * 1_000_000);
    let written: Vec<u64> = (0..10_000).filter_map(|n| limiter.admit("a.rs", 1, at(n))).collect();
    assert_eq!(written.len(), 20 + 9, "a burst of 20 lines, then one line per second");
    let suppressed: u64 = written.iter().sum();
    assert_eq!(limiter.admit("b.rs", 1, at(10_000)), Some(0), "each call site has its own limit");
    let last_suppressed = limiter.admit("a.rs", 1, at(11_000));
    assert_eq!(
        last_suppressed.map(|count| count + suppressed + 29),
        Some(10_000),
        "each line is written or counted as suppressed"
    );
    assert!((0..10_000).all(|n| RateLimiter::new(0).admit("a.rs", 1, at(n)) == Some(0)));
}

#[rstest]
#[case("", Ok(vec![("micaladder", LevelFilter::Info)]))]
#[case("debug", Ok(vec![("micaladder", LevelFilter::Debug)]))]
#[case("warn,core::admission=trace", Ok(vec![("micaladder", LevelFilter::Warn), ("micaladder::core::admission", LevelFilter::Trace)]))]
#[case::former_name("notices=debug", Ok(vec![("micaladder", LevelFilter::Info), ("micaladder::callbacks", LevelFilter::Debug)]))]
#[case::former_path("core::door=trace", Ok(vec![("micaladder", LevelFilter::Info), ("micaladder::core::admission", LevelFilter::Trace)]))]
#[case::former_name_below_a_former_name("neighbours::link=warn", Ok(vec![("micaladder", LevelFilter::Info), ("micaladder::peers::session", LevelFilter::Warn)]))]
#[case::below_a_former_name("neighbours::frame=warn", Ok(vec![("micaladder", LevelFilter::Info), ("micaladder::peers::frame", LevelFilter::Warn)]))]
#[case("loud", Err("unknown log level \"loud\""))]
#[case("kore=debug", Err("unknown module \"kore\""))]
fn a_filter_sets_levels_for_the_crate_and_for_modules(
    #[case] text: &str, #[case] expected: Result<Vec<(&str, LevelFilter)>, &str>,
) {
    match (text.parse::<Filter>(), expected) {
        (Ok(filter), Ok(expected)) => {
            let expected = expected.into_iter().map(|(m, l)| (m.to_string(), l)).collect();
            assert_eq!(filter, Filter(expected));
        }
        (Err(error), Err(expected)) => assert!(error.to_string().starts_with(expected), "{error}"),
        (parsed, expected) => panic!("expected {expected:?}, got {parsed:?}"),
    }
}

#[test]
fn a_filter_may_name_every_module_of_the_crate() {
    let source_dir = concat!(env!("CARGO_MANIFEST_DIR"), "/src");
    for entry in std::fs::read_dir(source_dir).expect("the source directory is readable").flatten() {
        let name = entry.file_name().to_string_lossy().trim_end_matches(".rs").to_string();
        let without_log_lines =
            ["backoff", "bin", "body", "clock", "memory", "metrics", "interface", "lib", "main", "request"];
        assert!(MODULES.contains(&name.as_str()) || without_log_lines.contains(&name.as_str()), "{name}");
    }
}

#[rstest]
#[case(Format::Text, "12.500 WARN core: slow \"one\" dest=7 host=s-1 kept_back=3\n")]
#[case(Format::Json, "{\"at\":12.5,\"fields\":{\"dest\":7,\"host\":\"s-1\",\"kept_back\":3},\"level\":\"WARN\",\"module\":\"core\",\"text\":\"slow \\\"one\\\"\"}\n")]
fn a_line_contains_its_fields_and_the_number_of_suppressed_lines(
    #[case] format: Format, #[case] expected: &str,
) {
    let fields: [(&str, Value); 2] = [("dest", Value::from(7)), ("host", Value::from("s-1"))];
    let mut out = Vec::new();
    let args = format_args!("slow \"one\"");
    let record = Record::builder()
        .args(args)
        .level(log::Level::Warn)
        .target("micaladder::core")
        .key_values(&fields)
        .build();
    write_line(&mut out, format, &record, Nanos(12_500_000_000), 3).expect("the line is written");
    assert_eq!(String::from_utf8_lossy(&out), expected);
}
