//! The real program and a discovery that fails: the list that is known serves, and discovery is polled with growing backoff.
mod stand;
use rstest::rstest;
use stand::*;
use std::time::{Duration, Instant};

/// How a discovery that fails answers a watch.
#[derive(Clone, Copy)]
enum Failure {
    Refused,
    CutOff,
}

fn failure(failure: Failure) -> Reply {
    match failure {
        Failure::Refused => respond("503 Service Unavailable", "connection: close\r\n", ""),
        Failure::CutOff => Reply::Close,
    }
}

#[rstest]
#[case::refused(Failure::Refused)]
#[case::cut_off(Failure::CutOff)]
fn a_discovery_that_fails_is_polled_with_backoff_while_the_known_list_serves(#[case] kind: Failure) {
    let (old, new) = (Server::always("200 OK"), Server::always("200 OK"));
    let known = endpoint_list(1, &[(7, old.addr)]);
    let fresh = endpoint_list(2, &[(7, new.addr)]).replace("s-0", "s-1");
    let disco = Server::start(move |heard, number| match (heard.start_line.starts_with("GET"), number) {
        (true, 0..6) => failure(kind),
        (true, _) => watch_response(&fresh),
        (false, _) => respond("204 No Content", "", ""),
    });
    let daemon = setup(&disco, known).start();
    disco.wait_until("a first poll", |all| !all.is_empty());
    assert_eq!(daemon.submit("stats", "meanwhile"), 202);
    old.wait_request("meanwhile");
    daemon.wait_log("upstream group: version 2");
    assert_eq!(daemon.submit("stats", "after"), 202);
    new.wait_request("after");
    let log = daemon.log();
    let pauses = log.lines().filter_map(|l| l.split_once("pause_ms=")?.1.split(' ').next()?.parse().ok());
    let pauses: Vec<u64> = pauses.collect();
    assert_eq!(pauses.len(), 6, "{log}");
    assert!(pauses.iter().zip(0..).all(|(p, n)| *p <= (200 << n).min(1000)), "within its window: {pauses:?}");
    assert!(pauses.iter().any(|p| *p > 200), "the windows grow: {pauses:?}");
    assert!(pauses.windows(2).any(|p| p[0] != p[1]), "all of a window is as likely: {pauses:?}");
}

#[test]
fn a_complete_list_without_endpoints_leaves_the_old_one_in_use() {
    let endpoint = Server::always("200 OK");
    let disco = start_discovery(endpoint_list(3, &[]));
    let daemon = setup(&disco, endpoint_list(1, &[(7, endpoint.addr)])).start();
    daemon.wait_log("the current list stays in use");
    assert_eq!(daemon.submit("stats", "still"), 202);
    endpoint.wait_request("still");
}

/// Found with 300 forwarders whose list is pushed to an agent beside each of them: what the agent had counted as known, while
/// each waited up to five seconds before its first poll, and sent to endpoints that drained.
#[rstest]
#[case::pushed(r#""registryMode":"pushed""#, false)]
#[case::on_request(r#""registryMode":"on_request""#, true)]
fn one_of_300_delays_its_poll_only_where_all_poll_the_same_server(
    #[case] mode: &'static str, #[case] is_delayed: bool,
) {
    let endpoint = Server::always("200 OK");
    let at = |rev| endpoint_list(rev, &[(7, endpoint.addr)]);
    let (disco, moved) = (start_discovery(at(2)), start_discovery(at(3)));
    let settings_replacements =
        vec![(r#""nInstances":1,"#, r#""nInstances":300,"#), (r#""registryMode":"pushed""#, mode)];
    let begun = Instant::now();
    let daemon = Setup { settings_replacements, ..setup(&disco, at(1)) }.start();
    daemon.wait_log("upstream group: version 2");
    daemon.reload(&disco.addr.to_string(), &moved.addr.to_string());
    daemon.wait_log("upstream group: version 3");
    // With the seed of the test setup, its two delays are 3.2 s together.
    let took = begun.elapsed();
    assert_eq!(took > Duration::from_millis(2500), is_delayed, "{took:?}");
}

/// What a silent watch misses counts as known 6 s after it fell silent, which may have been right after its last event: by then
/// it has been reopened, also where further ones are as silent.
#[rstest]
#[case::at_once(0, "")]
#[case::one_more_is_silent(1, "")]
#[case::two_more_are_silent(2, "")]
#[case::they_send_half_a_list(2, "{\"rev\":2,\"all\":true,\n \"targets\":[")]
#[case::they_send_noise(2, "no list\nat all")]
fn a_watch_that_falls_silent_is_reopened_in_time(#[case] silent: usize, #[case] text: &'static str) {
    let (old, new) = (Server::always("200 OK"), Server::always("200 OK"));
    let known = endpoint_list(1, &[(7, old.addr)]);
    let fresh = endpoint_list(2, &[(7, new.addr)]).replace("s-0", "s-1");
    let first = known.clone();
    let disco = Server::start(move |heard, n| match (heard.start_line.starts_with("GET"), n) {
        (false, _) => respond("204 No Content", "", ""),
        (true, 0) => watch_response(&first),
        (true, n) if n <= silent => Reply::RespondAndHold(if text.is_empty() {
            String::new()
        } else {
            chunked_response([text.as_bytes()])
        }),
        (true, _) => watch_response(&fresh),
    });
    let daemon = setup(&disco, known).start();
    daemon.wait_log("upstream group: version 1");
    let begun = Instant::now();
    daemon.wait_log("upstream group: version 2");
    let took = begun.elapsed();
    // A keep-alive is due only after 2 s, and may be late by half a second.
    assert!(
        took > Duration::from_millis(2500),
        "not taken for silent while a keep-alive may still come: {took:?}"
    );
    assert!(took < Duration::from_millis(5800), "{took:?}");
    assert_eq!(daemon.submit("stats", "after"), 202);
    new.wait_request("after");
}

/// Lists may be indented over many lines, with noise between them: a first one, and changes that a watch brings.
#[test]
fn indented_lists_are_read_and_noise_between_them_is_skipped() {
    let (old, new) = (Server::always("200 OK"), Server::always("200 OK"));
    let indent = |text: String| format!("{:#}\n", text.parse::<serde_json::Value>().expect("a list"));
    let first = indent(endpoint_list(2, &[(7, old.addr)]));
    let change = endpoint_list(3, &[(7, old.addr), (7, new.addr)]).replacen("Ready", "Terminating", 1);
    let change = indent(change.replacen("true", "false", 1));
    let texts = [&first[..], "\n", "  \"uid\": \"s-9\",\n}\n", &change];
    let answer = chunked_response(texts.concat().as_bytes().chunks(37));
    let disco = Server::start(move |heard, n| match (heard.start_line.starts_with("GET"), n) {
        (true, 0) => Reply::RespondAndHold(answer.clone()),
        (true, _) => Reply::RespondAndHold(String::new()),
        (false, _) => respond("204 No Content", "", ""),
    });
    let daemon = setup(&disco, endpoint_list(1, &[(7, old.addr)])).start();
    daemon.wait_log("upstream group: version 2 lines=1");
    daemon.wait_log("upstream group: version 3 lines=2");
    for n in 0..3 {
        assert_eq!(daemon.submit("stats", &format!("m{n}")), 202);
        new.wait_request(&format!("m{n}"));
    }
    assert!(old.received().is_empty(), "the drain in an indented change is respected");
}

/// A list that never ends is dropped and polled again; the one in use stays.
#[test]
fn a_list_without_end_is_dropped_and_polled_again() {
    let old = Server::always("200 OK");
    let known = endpoint_list(1, &[(7, old.addr)]);
    let endless = format!("{{\"rev\":2,\"all\":true,\"targets\":[{}", " ".repeat(10 << 20));
    let endless = chunked_response([endless.as_bytes()]);
    let fresh = endpoint_list(3, &[(7, old.addr)]);
    let disco = Server::start(move |heard, n| match (heard.start_line.starts_with("GET"), n) {
        (true, 0..2) => Reply::Respond(endless.clone()),
        (true, _) => watch_response(&fresh),
        (false, _) => respond("204 No Content", "", ""),
    });
    let daemon = setup(&disco, known).start();
    daemon.wait_log("endpoint list longer than");
    assert_eq!(daemon.submit("stats", "meanwhile"), 202);
    old.wait_request("meanwhile");
    daemon.wait_log("upstream group: version 3");
    // Two at once at the most, and what is read of each is bounded.
    assert!(daemon.anonymous_memory() < 48 << 20, "{} bytes", daemon.anonymous_memory());
}
