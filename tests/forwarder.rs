//! The daemon process with a client, stand-in endpoints and a stand-in discovery server.
mod stand;
use rstest::rstest;
use stand::*;
use std::io::{BufReader, Write};
use std::time::Duration;

/// Starts discovery with this endpoint as the only one, of destination 7, and returns it with its endpoint list.
fn discovery_with(endpoint: &Server) -> (Server, String) {
    let known = endpoint_list(1, &[(7, endpoint.addr)]);
    (start_discovery(known.clone()), known)
}

#[test]
fn a_message_is_accepted_and_delivered_unchanged() {
    let endpoint = Server::always("200 OK");
    let (discovery, known) = discovery_with(&endpoint);
    let daemon = setup(&discovery, known).start();
    assert_eq!(daemon.submit("sync", "a1"), 202);
    let call = endpoint.wait_request("a1");
    assert_eq!(call.start_line.trim(), "POST /v1/messages HTTP/1.1");
    assert_eq!(call.header("idempotency-key"), Some("key-a1"));
    assert_eq!(call.text(), "body of a1");
    let remaining = call.header("x-deadline").and_then(|d| d.strip_suffix('m')).expect("in milliseconds");
    assert!((1..=20_000).contains(&remaining.parse::<u64>().expect("a number")), "{remaining}");
    assert!(
        !discovery.received().iter().any(|h| h.start_line.starts_with("POST")),
        "a delivered message has no completion callback"
    );
}

/// An invalid request gets a 4xx, and the daemon keeps serving.
#[rstest]
#[case::no_id("X-Request-Id: b", "X-Other: b", 400)]
#[case::no_deadline("X-Deadline", "X-Other", 400)]
#[case::bad_deadline("20000m", "soon", 400)]
#[case::deadline_unit("20000m", "20000s", 400)]
#[case::deadline_passed("20000m", "0m", 410)]
#[case::unknown_tenant("X-Tenant: t", "X-Tenant: nobody", 400)]
#[case::class_differs_from_path("X-Class: stats", "X-Class: payout", 400)]
#[case::no_dest("dest=7", "dest=", 400)]
#[case::unknown_path("POST /stats", "POST /a/b/c", 404)]
#[case::unknown_method("POST /stats", "PATCH /stats", 405)]
#[case::header_not_ascii("X-Tenant: t", "X-Tenant: \u{e9}", 400)]
#[case::body_too_large("Content-Length: 9", "Content-Length: 70000", 413)]
fn rejects_an_invalid_request(#[case] from: &str, #[case] to: &str, #[case] status: u16) {
    let endpoint = Server::always("200 OK");
    let (discovery, known) = discovery_with(&endpoint);
    let mut daemon = setup(&discovery, known).start();
    let text = String::from_utf8(message_request("stats", "b", "20000m", "")).expect("text");
    assert!(text.contains(from));
    let mut bytes = text.replace(from, to).into_bytes();
    if status == 413 {
        bytes.extend(vec![b'x'; 70_000]);
    }
    assert_eq!(daemon.send_request(&bytes).map(|h| h.status()), Some(status));
    assert!(daemon.is_running());
    assert_eq!(daemon.submit("stats", "good"), 202);
}

#[test]
fn rejects_unknown_classes_and_destinations_and_ignores_invalid_endpoint_lists() {
    let endpoint = Server::always("200 OK");
    let known = endpoint_list(1, &[(7, endpoint.addr)]);
    let discovery = start_discovery("{\"rev\": what".into());
    let daemon = setup(&discovery, known).start();
    daemon.wait_log("ignored a value that is not an endpoint list");
    assert_eq!(daemon.submit("nothing", "c1"), 404);
    let text = String::from_utf8(message_request("stats", "c2", "20000m", "")).expect("text");
    let status = daemon.send_request(text.replace("dest=7", "dest=8").as_bytes()).map(|h| h.status());
    assert_eq!(status, Some(404));
    assert_eq!(daemon.submit("stats", "c3"), 202);
}

/// A 500 leaves open whether the message ran, so a message that may run at most once is undeliverable. A 410 says that the
/// message is over, which needs no completion callback.
#[rstest]
#[case::server_error("500 Oops", "", 1)]
#[case::gone("410 Gone", "", 0)]
fn an_at_most_once_message_is_not_retried_after_an_error_or_a_410(
    #[case] status: &'static str, #[case] headers: &'static str, #[case] callbacks: usize,
) {
    let endpoint = Server::start(move |h, _| {
        if h.request_id() == "p1" {
            respond(status, headers, "")
        } else {
            respond("200 OK", "", "")
        }
    });
    let (discovery, known) = discovery_with(&endpoint);
    let daemon = setup(&discovery, known).start();
    assert_eq!(daemon.submit("payout", "p1"), 202);
    endpoint.wait_request("p1");
    if callbacks > 0 {
        discovery.wait_text(r#"{"id":"p1","status":"undeliverable"}"#);
    }
    assert_eq!(daemon.submit("payout", "p2"), 202);
    endpoint.wait_request("p2");
    assert_eq!(endpoint.received().iter().filter(|h| h.request_id() == "p1").count(), 1);
    assert_eq!(discovery.count_distinct_bodies("p1"), callbacks);
}

#[test]
fn an_at_most_once_message_whose_call_breaks_without_a_response_is_undeliverable() {
    let endpoint = Server::start(|_, _| Reply::Close);
    let (discovery, known) = discovery_with(&endpoint);
    let daemon = setup(&discovery, known).start();
    assert_eq!(daemon.submit("payout", "r1"), 202);
    discovery.wait_text(r#"{"id":"r1","status":"undeliverable"}"#);
    assert_eq!(endpoint.received().len(), 1);
}

/// A message that did not run is retried even if it may run at most once, and not before a Retry-After has passed.
#[rstest]
#[case::retry_after("429 Later", "Retry-After: 0.3\r\n", 300)]
#[case::overloaded("503 Full", "", 0)]
#[case::no_slot("503 Full", "X-No-Slot: 1\r\n", 0)]
#[case::attempts_used_up("504 Spent", "", 0)]
fn a_message_that_did_not_run_is_retried(
    #[case] status: &'static str, #[case] headers: &'static str, #[case] wait_ms: u64,
) {
    let endpoint =
        Server::start(
            move |_, n| if n == 0 { respond(status, headers, "") } else { respond("200 OK", "", "") },
        );
    let (discovery, known) = discovery_with(&endpoint);
    let daemon = setup(&discovery, known).start();
    let start = std::time::Instant::now();
    assert_eq!(daemon.submit("payout", "w1"), 202);
    endpoint.wait_until("a second call", |all| all.len() == 2);
    assert!(start.elapsed() >= Duration::from_millis(wait_ms));
    daemon.wait_log("message=w1 outcome=Ok attempt=1");
    assert!(
        !discovery.received().iter().any(|h| h.text().contains("w1")),
        "a delivered message has no completion callback"
    );
}

/// The endpoint list comes in chunks that end at any byte. A watch that ends or falls silent is reopened after the last version
/// that was received.
#[test]
fn the_endpoint_list_is_read_from_split_chunks_and_across_reopened_watches() {
    let (old, new) = (Server::always("200 OK"), Server::always("200 OK"));
    let known = endpoint_list(1, &[(7, old.addr)]);
    let change = endpoint_list(5, &[(7, old.addr), (7, new.addr)]).replacen("Ready", "Terminating", 1) + "\n";
    let discovery = Server::start(move |_, n| {
        let (a, b) = change.split_at(70);
        let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
        match n {
            0 => Reply::Respond(format!("{head}{:x}\r\n{a}\r\n{:x}\r\n{b}\r\n0\r\n\r\n", a.len(), b.len())),
            _ => Reply::RespondAndHold(head.into()),
        }
    });
    let daemon = setup(&discovery, known).start();
    daemon.wait_log("upstream group: version 5 lines=2");
    for id in ["g1", "g2", "g3"] {
        assert_eq!(daemon.submit("stats", id), 202);
        new.wait_request(id);
    }
    assert!(old.received().is_empty(), "the old endpoint is draining");
    let watches = discovery
        .wait_until("a watch after the one that ended and another after the silent one", |all| {
            all.len() >= 3
        });
    let paths: Vec<&str> =
        watches.iter().map(|h| h.start_line.split(' ').nth(1).unwrap_or_default()).collect();
    assert_eq!(
        paths[..3],
        ["/v1/endpoints?watch=1&after=1", "/v1/endpoints?watch=1&after=5", "/v1/endpoints?watch=1&after=5"]
    );
}

/// An endpoint that is removed from the list loses its connections, and a new endpoint at the same address gets new ones.
#[test]
fn a_removed_endpoint_is_retired_and_its_connections_are_closed() {
    let endpoint = Server::always("200 OK");
    let entries: Vec<_> = (1..=20).map(|dest| (dest, endpoint.addr)).collect();
    let known = endpoint_list(1, &entries);
    let (send_list, signal) = std::sync::mpsc::channel();
    let (signal, updated) =
        (std::sync::Mutex::new(signal), endpoint_list(2, &[(7, endpoint.addr)]).replace("s-0", "s-new"));
    let discovery = Server::start(move |request, _| {
        let line: String =
            signal.lock().expect("lock").recv().map(|()| updated.clone() + "\n").unwrap_or_default();
        assert!(request.start_line.starts_with("GET"), "{}", request.start_line);
        Reply::RespondAndHold(format!(
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n{:x}\r\n{line}\r\n",
            line.len()
        ))
    });
    let daemon = setup(&discovery, known).start();
    let before = daemon.open_descriptors();
    for (dest, _) in &entries {
        let text =
            String::from_utf8(message_request("stats", &format!("r{dest}"), "20000m", "")).expect("text");
        let text = text.replace("dest=7", &format!("dest={dest}"));
        assert_eq!(daemon.send_request(text.as_bytes()).map(|h| h.status()), Some(202));
        daemon.wait_log(&format!("message=r{dest} outcome=Ok attempt=0"));
    }
    assert!(daemon.open_descriptors() >= before + entries.len());
    send_list.send(()).expect("a receiver");
    daemon.wait_log("retired host=s-0 dest=1");
    assert_eq!(daemon.submit("stats", "r21"), 202);
    daemon.wait_log("message=r21 outcome=Ok attempt=0");
    let until = std::time::Instant::now() + EVENT_TIMEOUT;
    while daemon.open_descriptors() > before + 3 {
        assert!(std::time::Instant::now() < until, "{} descriptors", daemon.open_descriptors());
        std::thread::yield_now();
    }
    assert_eq!(daemon.log().matches("retired host=").count(), entries.len());
}

/// A client that submits a message again because it missed the response refers to the same message.
#[test]
fn a_message_submitted_twice_is_attempted_once() {
    let endpoint = Server::start(|_, _| Reply::RespondAndHold(String::new()));
    let (discovery, known) = discovery_with(&endpoint);
    let daemon = setup(&discovery, known).start();
    assert_eq!((daemon.submit("payout", "t1"), daemon.submit("payout", "t1")), (202, 202));
    assert_eq!(daemon.submit("payout", "t2"), 202);
    // Each message is sent on its own connection, so t2 may arrive before t1.
    endpoint.wait_request("t1");
    endpoint.wait_request("t2");
    assert_eq!(endpoint.received().iter().filter(|h| h.request_id() == "t1").count(), 1);
}

#[test]
fn messages_over_the_limit_of_pending_messages_are_rejected_with_a_retry_after() {
    let endpoint = Server::start(|_, _| Reply::RespondAndHold(String::new()));
    let (discovery, known) = discovery_with(&endpoint);
    let daemon = Setup { max_pending: 4, ..setup(&discovery, known) }.start();
    let submit = |n| {
        daemon.send_request(&message_request("payout", &format!("o{n}"), "20000m", "")).expect("an answer")
    };
    let answers: Vec<HttpMessage> = (0..6).map(submit).collect();
    let statuses: Vec<u16> = answers.iter().map(HttpMessage::status).collect();
    assert_eq!(statuses, [202, 202, 202, 503, 503, 503]);
    assert!(answers[3..].iter().all(|h| h.header("retry-after").is_some()));
}

/// An attempt that is in flight when the process is killed may have run, so only a class that allows a repeat is retried after
/// the restart.
#[rstest]
#[case::at_most_once("payout", false)]
#[case::idempotent_by_key("sync", true)]
#[case::idempotent("stats", true)]
fn an_attempt_in_flight_at_a_kill_is_retried_only_as_its_class_allows(
    #[case] class: &str, #[case] is_retried: bool,
) {
    let endpoint =
        Server::start(
            |_, n| if n == 0 { Reply::RespondAndHold(String::new()) } else { respond("200 OK", "", "") },
        );
    let (discovery, known) = discovery_with(&endpoint);
    let mut daemon = setup(&discovery, known).start();
    assert_eq!(daemon.submit(class, "k1"), 202);
    endpoint.wait_request("k1");
    daemon.kill();
    daemon.restart();
    if is_retried {
        endpoint.wait_until("a second call", |all| all.len() == 2);
    } else {
        discovery.wait_text(r#"{"id":"k1","status":"undeliverable"}"#);
        assert_eq!(endpoint.received().len(), 1);
    }
}

#[test]
fn messages_of_a_key_keep_their_order_across_a_kill_with_a_torn_journal() {
    let endpoint =
        Server::start(
            |_, n| if n == 0 { Reply::RespondAndHold(String::new()) } else { respond("200 OK", "", "") },
        );
    let (discovery, known) = discovery_with(&endpoint);
    let mut daemon = setup(&discovery, known).start();
    for id in ["q1", "q2", "q3"] {
        assert_eq!(
            daemon.send_request(&message_request("sync", id, "20000m", "X-Key: 5\r\n")).map(|h| h.status()),
            Some(202)
        );
    }
    endpoint.wait_request("q1");
    daemon.kill();
    let journal = daemon.folder.join("state").join("journal");
    let mut bytes = std::fs::read(&journal).expect("the journal");
    bytes.extend([9, 0, 0, 0, 1, 2, 3]);
    std::fs::write(&journal, bytes).expect("torn");
    daemon.restart();
    assert!(daemon.log().contains("torn tail of 7 bytes"));
    let all = endpoint.wait_until("all three", |all| all.iter().any(|h| h.request_id() == "q3"));
    let ids: Vec<&str> = all.iter().map(HttpMessage::request_id).collect();
    assert_eq!(ids, ["q1", "q1", "q2", "q3"]);
}

#[test]
fn a_completion_callback_is_sent_until_acknowledged_and_its_key_waits_for_it() {
    let endpoint = Server::start(|h, _| {
        if h.request_id() == "n1" {
            respond("500 Oops", "", "")
        } else {
            respond("200 OK", "", "")
        }
    });
    let known = endpoint_list(1, &[(7, endpoint.addr)]);
    let discovery = Server::start(|h, n| match h.start_line.starts_with("POST") {
        true if n < 3 => Reply::Close,
        true => respond("204 No Content", "", ""),
        false => {
            Reply::RespondAndHold("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1\r\n\n\r\n".into())
        }
    });
    let daemon = setup(&discovery, known).start();
    // All six attempts of n1 fail, so it is undeliverable. n2, of the same key, is sent after the callback for n1 is
    // acknowledged.
    assert_eq!(
        daemon.send_request(&message_request("sync", "n1", "6000m", "X-Key: 5\r\n")).map(|h| h.status()),
        Some(202)
    );
    assert_eq!(
        daemon.send_request(&message_request("sync", "n2", "20000m", "X-Key: 5\r\n")).map(|h| h.status()),
        Some(202)
    );
    endpoint.wait_request("n2");
    assert!(discovery.received().iter().filter(|h| h.text().contains("n1")).count() >= 2);
}

/// A completion callback must arrive within 300 ms of its message's deadline, even where a connection has fallen silent.
#[test]
fn a_completion_callback_without_a_response_is_soon_sent_again() {
    let endpoint = Server::always("500 Oops");
    let known = endpoint_list(1, &[(7, endpoint.addr)]);
    let discovery = Server::start(|request, _| match request.start_line.starts_with("POST") {
        true if request.text().contains("s1") => Reply::RespondAndHold(String::new()),
        true => respond("204 No Content", "", ""),
        false => {
            Reply::RespondAndHold("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1\r\n\n\r\n".into())
        }
    });
    let daemon = setup(&discovery, known).start();
    assert_eq!(daemon.submit("payout", "s1"), 202);
    let wait_for_callbacks = |n: usize| {
        let posts = |all: &[HttpMessage]| all.iter().filter(|h| h.text().contains("s1")).count();
        discovery.wait_until("a completion callback", |all| posts(all) >= n);
        std::time::Instant::now()
    };
    let first = wait_for_callbacks(1);
    assert!(wait_for_callbacks(2) - first < Duration::from_millis(250));
}

#[test]
fn a_completion_callback_without_a_response_does_not_delay_others() {
    let endpoint = Server::always("500 Oops");
    let known = endpoint_list(1, &[(7, endpoint.addr)]);
    let discovery = Server::start(|request, _| match request.start_line.starts_with("POST") {
        true if request.text().contains("h1") => Reply::RespondAndHold(String::new()),
        true => respond("204 No Content", "", ""),
        false => {
            Reply::RespondAndHold("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1\r\n\n\r\n".into())
        }
    });
    let daemon = setup(&discovery, known).start();
    assert_eq!(daemon.submit("payout", "h1"), 202);
    discovery.wait_text("h1");
    assert_eq!(daemon.submit("payout", "h2"), 202);
    daemon.wait_log("callback acknowledged for h2");
    assert!(!daemon.log().contains("callback acknowledged for h1"));
}

/// The connection that carried the last callback may have fallen silent. The next callback, which gets no response on it, is soon
/// sent again on a new connection.
#[test]
fn a_completion_callback_is_sent_again_on_a_new_connection_after_a_silent_one() {
    let endpoint = Server::always("500 Oops");
    let known = endpoint_list(1, &[(7, endpoint.addr)]);
    let served = std::sync::Mutex::new(std::collections::BTreeSet::new());
    let discovery = Server::start(move |request, _| match request.start_line.starts_with("POST") {
        true if served.lock().expect("lock").insert(request.client_address) => {
            respond("204 No Content", "", "")
        }
        true => Reply::RespondAndHold(String::new()),
        false => {
            Reply::RespondAndHold("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1\r\n\n\r\n".into())
        }
    });
    let daemon = setup(&discovery, known).start();
    for id in ["o1", "o2", "o3"] {
        assert_eq!(daemon.submit("payout", id), 202);
        daemon.wait_log(&format!("callback acknowledged for {id}"));
    }
    let posts: Vec<_> = discovery.received().into_iter().filter(|h| h.text().contains("o2")).collect();
    assert_eq!(posts.len(), 2, "once on the silent connection, once on a new one");
    assert_ne!(posts[0].client_address, posts[1].client_address);
}

#[test]
fn a_repeated_delivered_message_is_answered_as_delivered_even_after_a_kill() {
    let endpoint = Server::always("200 OK");
    let (discovery, known) = discovery_with(&endpoint);
    let mut daemon = setup(&discovery, known).start();
    assert_eq!(daemon.submit("sync", "d1"), 202);
    daemon.wait_log("message=d1 outcome=Ok attempt=0");
    assert_eq!(daemon.submit("sync", "d1"), 200);
    daemon.kill();
    daemon.restart();
    let repeat = String::from_utf8(message_request("sync", "d1", "20000m", "")).expect("text");
    let repeat = repeat.replace("X-Request-Id: d1", "X-Request-Id: d2");
    assert_eq!(daemon.send_request(repeat.as_bytes()).map(|h| h.status()), Some(200));
    assert_eq!(endpoint.received().len(), 1);
}

#[test]
fn a_full_journal_rejects_messages_and_stays_within_its_size_limit() {
    let endpoint = Server::start(|_, _| Reply::RespondAndHold(String::new()));
    let (discovery, known) = discovery_with(&endpoint);
    let daemon = Setup { disk_mb: 0.2, ..setup(&discovery, known) }.start();
    let large_message = |id: &str| {
        let text = String::from_utf8(message_request("payout", id, "20000m", "")).expect("text");
        let (headers, _) = text.split_once("Content-Length").expect("header lines");
        let body = "x".repeat(30_000);
        format!("{headers}Content-Length: 30000\r\n\r\n{body}")
    };
    let statuses: Vec<u16> = (0..6)
        .map(|n| daemon.send_request(large_message(&format!("f{n}")).as_bytes()).map_or(0, |h| h.status()))
        .collect();
    assert_eq!(statuses[..2], [202, 202]);
    assert_eq!(statuses[2..], [503; 4]);
    let size = std::fs::metadata(daemon.folder.join("state").join("journal")).expect("the journal").len();
    assert!(size < 100_000, "{size}");
}

#[test]
fn after_sigterm_it_answers_requests_finishes_its_calls_and_exits_in_time() {
    let endpoint = Server::always("200 OK");
    let (discovery, known) = discovery_with(&endpoint);
    let mut daemon = setup(&discovery, known).start();
    let mut connection = daemon.connect();
    daemon.terminate();
    daemon.wait_log("SIGTERM received");
    assert_eq!(daemon.submit("stats", "e1"), 202);
    connection.write_all(&message_request("stats", "e2", "20000m", "")).expect("written");
    assert_eq!(read_http(&mut BufReader::new(connection)).map(|h| h.status()), Some(202));
    endpoint.wait_request("e2");
    assert!(daemon.wait_exit(Duration::from_millis(3700)).success());
}

/// The journal keeps only a few bytes of a completed message.
#[test]
fn completed_messages_leave_journal_space_for_new_ones() {
    let endpoint = Server::always("200 OK");
    let (discovery, known) = discovery_with(&endpoint);
    let daemon = Setup { disk_mb: 0.2, ..setup(&discovery, known) }.start();
    for n in 0..400 {
        assert_eq!(daemon.submit("stats", &format!("m{n}")), 202);
        endpoint.wait_request(&format!("m{n}"));
    }
    let size = std::fs::metadata(daemon.folder.join("state").join("journal")).expect("the journal").len();
    assert!(size < 100_000, "{size}");
}

/// After a burst, idle connections are closed, because an endpoint accepts a limited number.
#[test]
fn a_burst_leaves_few_idle_connections() {
    let together = std::sync::Barrier::new(4);
    let endpoint = Server::start(move |_, _| {
        together.wait();
        respond("200 OK", "", "")
    });
    let (discovery, known) = discovery_with(&endpoint);
    let daemon = setup(&discovery, known).start();
    daemon.wait_log("upstream group: version 1");
    let before = daemon.open_descriptors();
    (0..4).for_each(|n| assert_eq!(daemon.submit("stats", &format!("i{n}")), 202));
    (0..4).for_each(|n| drop(daemon.wait_log(&format!("message=i{n} outcome=Ok attempt=0"))));
    let until = std::time::Instant::now() + Duration::from_secs(4);
    while daemon.open_descriptors() > before + 3 {
        assert!(std::time::Instant::now() < until, "{} descriptors", daemon.open_descriptors());
        std::thread::yield_now();
    }
}

/// An endpoint that accepts two connections rejects further ones. That is neither a rate limit nor an outage: the daemon sends as
/// many calls at once as the endpoint takes, gives no message up and reduces no pace.
#[test]
fn an_endpoint_at_its_connection_limit_gets_as_many_calls_as_it_takes() {
    let open_connections = std::sync::Arc::new(std::sync::Mutex::new(std::collections::BTreeSet::new()));
    let connections = open_connections.clone();
    let endpoint = Server::start(move |request, _| {
        let client = request.client_address;
        let full = {
            let mut open = connections.lock().expect("lock");
            !open.contains(&client) && (open.len() >= 2 || !open.insert(client))
        };
        if full {
            return respond("503 Full", "Connection: close\r\n", "");
        }
        std::thread::sleep(Duration::from_millis(20));
        connections.lock().expect("lock").remove(&client);
        respond("200 OK", "Connection: close\r\n", "")
    });
    let (discovery, known) = discovery_with(&endpoint);
    let daemon = setup(&discovery, known).start();
    for n in 0..60 {
        assert_eq!(daemon.submit("payout", &format!("c{n}")), 202);
    }
    for n in 0..60 {
        daemon.wait_log(&format!("message=c{n} outcome=Ok"));
    }
    let log = daemon.log();
    assert!(
        !log.contains("pace reduced after a rejection") && !log.contains("breaker opened"),
        "the connection limit counts as a rate limit or an outage"
    );
    let rejected = log.matches("outcome=ConnectionLimit").count();
    assert!((1..40).contains(&rejected), "{rejected} calls rejected for 60 messages");
    assert!(
        !discovery.received().iter().any(|h| h.start_line.starts_with("POST")),
        "all messages are delivered"
    );
}
