//! Failing discovery: the daemon keeps using the known endpoint list and polls discovery with exponential backoff.
mod stand;
use rstest::rstest;
use stand::*;
use std::time::{Duration, Instant};

/// How a failing discovery server answers a watch.
#[derive(Clone, Copy)]
enum Failure {
    Refused,
    Closed,
}

fn failed_response(failure: Failure) -> Reply {
    match failure {
        Failure::Refused => respond("503 Service Unavailable", "connection: close\r\n", ""),
        Failure::Closed => Reply::Close,
    }
}

#[rstest]
#[case::refused(Failure::Refused)]
#[case::closed(Failure::Closed)]
fn failing_discovery_is_polled_with_backoff_while_the_known_list_is_used(#[case] failure: Failure) {
    let (old, new) = (Server::always("200 OK"), Server::always("200 OK"));
    let known = endpoint_list(1, &[(7, old.addr)]);
    let new_list = endpoint_list(2, &[(7, new.addr)]).replace("s-0", "s-1");
    let discovery =
        Server::start(move |request, number| match (request.start_line.starts_with("GET"), number) {
            (true, 0..6) => failed_response(failure),
            (true, _) => watch_response(&new_list),
            (false, _) => respond("204 No Content", "", ""),
        });
    let daemon = setup(&discovery, known).start();
    discovery.wait_until("a first poll", |all| !all.is_empty());
    assert_eq!(daemon.submit("stats", "meanwhile"), 202);
    old.wait_request("meanwhile");
    daemon.wait_log("upstream group: version 2");
    assert_eq!(daemon.submit("stats", "after"), 202);
    new.wait_request("after");
    let log = daemon.log();
    let pauses = log.lines().filter_map(|l| l.split_once("pause_ms=")?.1.split(' ').next()?.parse().ok());
    let pauses: Vec<u64> = pauses.collect();
    assert_eq!(pauses.len(), 6, "{log}");
    assert!(
        pauses.iter().zip(0..).all(|(p, n)| *p <= (200 << n).min(1000)),
        "each pause is within its backoff window: {pauses:?}"
    );
    assert!(pauses.iter().any(|p| *p > 200), "the backoff windows grow: {pauses:?}");
    assert!(
        pauses.windows(2).any(|p| p[0] != p[1]),
        "the pauses are random within their windows: {pauses:?}"
    );
}

#[test]
fn a_complete_list_without_endpoints_leaves_the_old_one_in_use() {
    let endpoint = Server::always("200 OK");
    let discovery = start_discovery(endpoint_list(3, &[]));
    let daemon = setup(&discovery, endpoint_list(1, &[(7, endpoint.addr)])).start();
    daemon.wait_log("the current list stays in use");
    assert_eq!(daemon.submit("stats", "still"), 202);
    endpoint.wait_request("still");
}

/// Found with 300 forwarders, each with a local agent to which the endpoint list is pushed: a list counts as known once the agent
/// has it, but each forwarder waited up to five seconds before its first poll and sent to draining endpoints.
#[rstest]
#[case::pushed(r#""registryMode":"pushed""#, false)]
#[case::on_request(r#""registryMode":"on_request""#, true)]
fn a_forwarder_of_300_delays_its_poll_only_if_all_poll_the_same_server(
    #[case] mode: &'static str, #[case] is_delayed: bool,
) {
    let endpoint = Server::always("200 OK");
    let list_with_revision = |rev| endpoint_list(rev, &[(7, endpoint.addr)]);
    let (discovery, moved) = (start_discovery(list_with_revision(2)), start_discovery(list_with_revision(3)));
    let settings_replacements =
        vec![(r#""nInstances":1,"#, r#""nInstances":300,"#), (r#""registryMode":"pushed""#, mode)];
    let started_at = Instant::now();
    let daemon = Setup { settings_replacements, ..setup(&discovery, list_with_revision(1)) }.start();
    daemon.wait_log("upstream group: version 2");
    daemon.reload(&discovery.addr.to_string(), &moved.addr.to_string());
    daemon.wait_log("upstream group: version 3");
    // With the seed of the test setup, the two delays add up to 3.2 s.
    let elapsed = started_at.elapsed();
    assert_eq!(elapsed > Duration::from_millis(2500), is_delayed, "{elapsed:?}");
}

/// A change that a silent watch misses counts as known 6 s after the watch fell silent, which may be right after its last event.
/// By then the daemon has reopened the watch, even if further watches are silent too.
#[rstest]
#[case::next_watch_answers(0, "")]
#[case::one_more_watch_is_silent(1, "")]
#[case::two_more_watches_are_silent(2, "")]
#[case::two_more_watches_send_half_a_list(2, "{\"rev\":2,\"all\":true,\n \"targets\":[")]
#[case::two_more_watches_send_invalid_data(2, "no list\nat all")]
fn a_watch_that_falls_silent_is_reopened_in_time(#[case] further_silent: usize, #[case] text: &'static str) {
    let (old, new) = (Server::always("200 OK"), Server::always("200 OK"));
    let known = endpoint_list(1, &[(7, old.addr)]);
    let new_list = endpoint_list(2, &[(7, new.addr)]).replace("s-0", "s-1");
    let first = known.clone();
    let discovery = Server::start(move |request, n| match (request.start_line.starts_with("GET"), n) {
        (false, _) => respond("204 No Content", "", ""),
        (true, 0) => watch_response(&first),
        (true, n) if n <= further_silent => Reply::RespondAndHold(if text.is_empty() {
            String::new()
        } else {
            chunked_response([text.as_bytes()])
        }),
        (true, _) => watch_response(&new_list),
    });
    let daemon = setup(&discovery, known).start();
    daemon.wait_log("upstream group: version 1");
    let started_at = Instant::now();
    daemon.wait_log("upstream group: version 2");
    let elapsed = started_at.elapsed();
    // A keep-alive is due only after 2 s, and may be late by half a second.
    assert!(
        elapsed > Duration::from_millis(2500),
        "a watch does not count as silent while a keep-alive may still come: {elapsed:?}"
    );
    assert!(elapsed < Duration::from_millis(5800), "{elapsed:?}");
    assert_eq!(daemon.submit("stats", "after"), 202);
    new.wait_request("after");
}

/// The first list and the changes that follow may be indented over many lines, with invalid data between them.
#[test]
fn indented_lists_are_read_and_invalid_data_between_them_is_skipped() {
    let (old, new) = (Server::always("200 OK"), Server::always("200 OK"));
    let indent = |text: String| format!("{:#}\n", text.parse::<serde_json::Value>().expect("a list"));
    let first = indent(endpoint_list(2, &[(7, old.addr)]));
    let change = endpoint_list(3, &[(7, old.addr), (7, new.addr)]).replacen("Ready", "Terminating", 1);
    let change = indent(change.replacen("true", "false", 1));
    let texts = [&first[..], "\n", "  \"uid\": \"s-9\",\n}\n", &change];
    let response = chunked_response(texts.concat().as_bytes().chunks(37));
    let discovery = Server::start(move |request, n| match (request.start_line.starts_with("GET"), n) {
        (true, 0) => Reply::RespondAndHold(response.clone()),
        (true, _) => Reply::RespondAndHold(String::new()),
        (false, _) => respond("204 No Content", "", ""),
    });
    let daemon = setup(&discovery, endpoint_list(1, &[(7, old.addr)])).start();
    daemon.wait_log("upstream group: version 2 lines=1");
    daemon.wait_log("upstream group: version 3 lines=2");
    for n in 0..3 {
        assert_eq!(daemon.submit("stats", &format!("m{n}")), 202);
        new.wait_request(&format!("m{n}"));
    }
    assert!(old.received().is_empty(), "the indented change marks the old endpoint as draining");
}

/// A list that never ends is dropped once it exceeds the size limit, and polled again. The old list stays in use meanwhile.
#[test]
fn a_list_over_the_size_limit_is_dropped_and_polled_again() {
    let old = Server::always("200 OK");
    let known = endpoint_list(1, &[(7, old.addr)]);
    let oversized = format!("{{\"rev\":2,\"all\":true,\"targets\":[{}", " ".repeat(10 << 20));
    let oversized = chunked_response([oversized.as_bytes()]);
    let new_list = endpoint_list(3, &[(7, old.addr)]);
    let discovery = Server::start(move |request, n| match (request.start_line.starts_with("GET"), n) {
        (true, 0..2) => Reply::Respond(oversized.clone()),
        (true, _) => watch_response(&new_list),
        (false, _) => respond("204 No Content", "", ""),
    });
    let daemon = setup(&discovery, known).start();
    daemon.wait_log("endpoint list longer than");
    assert_eq!(daemon.submit("stats", "meanwhile"), 202);
    old.wait_request("meanwhile");
    daemon.wait_log("upstream group: version 3");
    // At most two lists are read at once, and the bytes kept of each are bounded.
    assert!(daemon.anonymous_memory() < 48 << 20, "{} bytes", daemon.anonymous_memory());
}
