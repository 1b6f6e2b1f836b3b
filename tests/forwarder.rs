//! The real program as a process, met by a client, endpoints and discovery.
mod stand;
use rstest::rstest;
use stand::*;
use std::io::{BufReader, Write};
use std::time::Duration;

fn one(endpoint: &Server) -> (Server, String) {
    let known = endpoint_list(1, &[(7, endpoint.addr)]);
    (start_discovery(known.clone()), known)
}

#[test]
fn a_message_is_taken_on_and_passed_on_unchanged() {
    let endpoint = Server::always("200 OK");
    let (disco, known) = one(&endpoint);
    let daemon = setup(&disco, known).start();
    assert_eq!(daemon.submit("sync", "a1"), 202);
    let call = endpoint.wait_request("a1");
    assert_eq!(call.start_line.trim(), "POST /v1/messages HTTP/1.1");
    assert_eq!(call.header("idempotency-key"), Some("key-a1"));
    assert_eq!(call.text(), "body of a1");
    let left = call.header("x-deadline").and_then(|d| d.strip_suffix('m')).expect("in milliseconds");
    assert!((1..=20_000).contains(&left.parse::<u64>().expect("a number")), "{left}");
    assert!(!disco.received().iter().any(|h| h.start_line.starts_with("POST")), "delivered: no notice");
}

/// Bad input is a plain 4xx, and the program goes on.
#[rstest]
#[case::no_id("X-Request-Id: b", "X-Other: b", 400)]
#[case::no_deadline("X-Deadline", "X-Other", 400)]
#[case::bad_deadline("20000m", "soon", 400)]
#[case::deadline_unit("20000m", "20000s", 400)]
#[case::passed("20000m", "0m", 410)]
#[case::tenant("X-Tenant: t", "X-Tenant: nobody", 400)]
#[case::class_and_path("X-Class: stats", "X-Class: payout", 400)]
#[case::no_dest("dest=7", "dest=", 400)]
#[case::path("POST /stats", "POST /a/b/c", 404)]
#[case::method("POST /stats", "PATCH /stats", 405)]
#[case::not_text("X-Tenant: t", "X-Tenant: \u{e9}", 400)]
#[case::too_big("Content-Length: 9", "Content-Length: 70000", 413)]
fn bad_input_is_told_so(#[case] from: &str, #[case] to: &str, #[case] status: u16) {
    let endpoint = Server::always("200 OK");
    let (disco, known) = one(&endpoint);
    let mut daemon = setup(&disco, known).start();
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
fn unknown_classes_and_dests_fail_and_broken_lists_are_passed_over() {
    let endpoint = Server::always("200 OK");
    let known = endpoint_list(1, &[(7, endpoint.addr)]);
    let disco = start_discovery("{\"rev\": what".into());
    let daemon = setup(&disco, known).start();
    daemon.wait_log("ignored a value that is not an endpoint list");
    assert_eq!(daemon.submit("nothing", "c1"), 404);
    let text = String::from_utf8(message_request("stats", "c2", "20000m", "")).expect("text");
    let status = daemon.send_request(text.replace("dest=7", "dest=8").as_bytes()).map(|h| h.status());
    assert_eq!(status, Some(404));
    assert_eq!(daemon.submit("stats", "c3"), 202);
}

/// What each answer of an endpoint means for a message that must not run twice.
#[rstest]
#[case::error("500 Oops", "", 1)]
#[case::void("410 Gone", "", 0)]
fn a_payout_that_may_have_run_is_undeliverable(
    #[case] status: &'static str, #[case] head: &'static str, #[case] notices: usize,
) {
    let endpoint = Server::start(move |h, _| {
        if h.request_id() == "p1" {
            respond(status, head, "")
        } else {
            respond("200 OK", "", "")
        }
    });
    let (disco, known) = one(&endpoint);
    let daemon = setup(&disco, known).start();
    assert_eq!(daemon.submit("payout", "p1"), 202);
    endpoint.wait_request("p1");
    if notices > 0 {
        disco.wait_text(r#"{"id":"p1","status":"undeliverable"}"#);
    }
    assert_eq!(daemon.submit("payout", "p2"), 202);
    endpoint.wait_request("p2");
    assert_eq!(endpoint.received().iter().filter(|h| h.request_id() == "p1").count(), 1);
    assert_eq!(disco.count_distinct_bodies("p1"), notices);
}

#[test]
fn a_call_that_breaks_after_its_last_byte_may_have_run() {
    let endpoint = Server::start(|_, _| Reply::Close);
    let (disco, known) = one(&endpoint);
    let daemon = setup(&disco, known).start();
    assert_eq!(daemon.submit("payout", "r1"), 202);
    disco.wait_text(r#"{"id":"r1","status":"undeliverable"}"#);
    assert_eq!(endpoint.received().len(), 1);
}

/// What never ran goes again, also a payout; after a told wait, not before its end.
#[rstest]
#[case::told_to_wait("429 Later", "Retry-After: 0.3\r\n", 300)]
#[case::full("503 Full", "", 0)]
#[case::no_slot("503 Full", "X-No-Slot: 1\r\n", 0)]
#[case::tries_spent("504 Spent", "", 0)]
fn one_that_never_ran_is_sent_again(
    #[case] status: &'static str, #[case] head: &'static str, #[case] wait_ms: u64,
) {
    let endpoint =
        Server::start(move |_, n| if n == 0 { respond(status, head, "") } else { respond("200 OK", "", "") });
    let (disco, known) = one(&endpoint);
    let daemon = setup(&disco, known).start();
    let start = std::time::Instant::now();
    assert_eq!(daemon.submit("payout", "w1"), 202);
    endpoint.wait_until("a second call", |all| all.len() == 2);
    assert!(start.elapsed() >= Duration::from_millis(wait_ms));
    daemon.wait_log("message=w1 outcome=Ok attempt=1");
    assert!(!disco.received().iter().any(|h| h.text().contains("w1")), "delivered: no notice");
}

/// The list comes in chunks that end anywhere; a watch that ends or falls silent goes on after what is held.
#[test]
fn the_upstream_group_follows_split_chunks_and_watches_that_break() {
    let (old, new) = (Server::always("200 OK"), Server::always("200 OK"));
    let known = endpoint_list(1, &[(7, old.addr)]);
    let change = endpoint_list(5, &[(7, old.addr), (7, new.addr)]).replacen("Ready", "Terminating", 1) + "\n";
    let disco = Server::start(move |_, n| {
        let (a, b) = change.split_at(70);
        let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
        match n {
            0 => Reply::Respond(format!("{head}{:x}\r\n{a}\r\n{:x}\r\n{b}\r\n0\r\n\r\n", a.len(), b.len())),
            _ => Reply::RespondAndHold(head.into()),
        }
    });
    let daemon = setup(&disco, known).start();
    daemon.wait_log("upstream group: version 5 lines=2");
    for id in ["g1", "g2", "g3"] {
        assert_eq!(daemon.submit("stats", id), 202);
        new.wait_request(id);
    }
    assert!(old.received().is_empty(), "it drains");
    let asked =
        disco.wait_until("a watch after one that ended, and one after a silent one", |all| all.len() >= 3);
    let firsts: Vec<&str> =
        asked.iter().map(|h| h.start_line.split(' ').nth(1).unwrap_or_default()).collect();
    assert_eq!(
        firsts[..3],
        ["/v1/endpoints?watch=1&after=1", "/v1/endpoints?watch=1&after=5", "/v1/endpoints?watch=1&after=5"]
    );
}

/// What is gone leaves nothing behind, and a new endpoint at its address gets connections of its own.
#[test]
fn an_endpoint_that_is_gone_is_retired_with_its_connections() {
    let endpoint = Server::always("200 OK");
    let many: Vec<_> = (1..=20).map(|dest| (dest, endpoint.addr)).collect();
    let known = endpoint_list(1, &many);
    let (tell, told) = std::sync::mpsc::channel();
    let (told, after) =
        (std::sync::Mutex::new(told), endpoint_list(2, &[(7, endpoint.addr)]).replace("s-0", "s-new"));
    let disco = Server::start(move |heard, _| {
        let line: String =
            told.lock().expect("lock").recv().map(|()| after.clone() + "\n").unwrap_or_default();
        assert!(heard.start_line.starts_with("GET"), "{}", heard.start_line);
        Reply::RespondAndHold(format!(
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n{:x}\r\n{line}\r\n",
            line.len()
        ))
    });
    let daemon = setup(&disco, known).start();
    let before = daemon.open_descriptors();
    for (dest, _) in &many {
        let text =
            String::from_utf8(message_request("stats", &format!("r{dest}"), "20000m", "")).expect("text");
        let text = text.replace("dest=7", &format!("dest={dest}"));
        assert_eq!(daemon.send_request(text.as_bytes()).map(|h| h.status()), Some(202));
        daemon.wait_log(&format!("message=r{dest} outcome=Ok attempt=0"));
    }
    assert!(daemon.open_descriptors() >= before + many.len());
    tell.send(()).expect("it listens");
    daemon.wait_log("retired host=s-0 dest=1");
    assert_eq!(daemon.submit("stats", "r21"), 202);
    daemon.wait_log("message=r21 outcome=Ok attempt=0");
    let until = std::time::Instant::now() + EVENT_TIMEOUT;
    while daemon.open_descriptors() > before + 3 {
        assert!(std::time::Instant::now() < until, "{} descriptors", daemon.open_descriptors());
        std::thread::yield_now();
    }
    assert_eq!(daemon.log().matches("retired host=").count(), many.len());
}

/// A second hand-in over a connection that crossed its answer is the same message.
#[test]
fn the_same_request_twice_runs_once() {
    let endpoint = Server::start(|_, _| Reply::RespondAndHold(String::new()));
    let (disco, known) = one(&endpoint);
    let daemon = setup(&disco, known).start();
    assert_eq!((daemon.submit("payout", "t1"), daemon.submit("payout", "t1")), (202, 202));
    assert_eq!(daemon.submit("payout", "t2"), 202);
    // Each goes out on a connection of its own: the later one may be heard first.
    endpoint.wait_request("t1");
    endpoint.wait_request("t2");
    assert_eq!(endpoint.received().iter().filter(|h| h.request_id() == "t1").count(), 1);
}

#[test]
fn messages_past_the_open_cap_are_rejected_with_a_time_to_come_back() {
    let endpoint = Server::start(|_, _| Reply::RespondAndHold(String::new()));
    let (disco, known) = one(&endpoint);
    let daemon = Setup { max_pending: 4, ..setup(&disco, known) }.start();
    let submit = |n| {
        daemon.send_request(&message_request("payout", &format!("o{n}"), "20000m", "")).expect("an answer")
    };
    let answers: Vec<HttpMessage> = (0..6).map(submit).collect();
    let statuses: Vec<u16> = answers.iter().map(HttpMessage::status).collect();
    assert_eq!(statuses, [202, 202, 202, 503, 503, 503]);
    assert!(answers[3..].iter().all(|h| h.header("retry-after").is_some()));
}

/// Killed outright with one call out: what that call may have done decides what comes of the message.
#[rstest]
#[case::payout("payout", false)]
#[case::sync("sync", true)]
#[case::stats("stats", true)]
fn what_was_out_at_a_kill_may_have_run(#[case] class: &str, #[case] again: bool) {
    let endpoint =
        Server::start(
            |_, n| if n == 0 { Reply::RespondAndHold(String::new()) } else { respond("200 OK", "", "") },
        );
    let (disco, known) = one(&endpoint);
    let mut daemon = setup(&disco, known).start();
    assert_eq!(daemon.submit(class, "k1"), 202);
    endpoint.wait_request("k1");
    daemon.kill();
    daemon.restart();
    if again {
        endpoint.wait_until("a second call", |all| all.len() == 2);
    } else {
        disco.wait_text(r#"{"id":"k1","status":"undeliverable"}"#);
        assert_eq!(endpoint.received().len(), 1);
    }
}

#[test]
fn a_key_keeps_its_order_across_a_kill_and_a_torn_journal_is_read_up_to_the_tear() {
    let endpoint =
        Server::start(
            |_, n| if n == 0 { Reply::RespondAndHold(String::new()) } else { respond("200 OK", "", "") },
        );
    let (disco, known) = one(&endpoint);
    let mut daemon = setup(&disco, known).start();
    for id in ["q1", "q2", "q3"] {
        assert_eq!(
            daemon.send_request(&message_request("sync", id, "20000m", "X-Key: 5\r\n")).map(|h| h.status()),
            Some(202)
        );
    }
    endpoint.wait_request("q1");
    daemon.kill();
    let journal = daemon.folder.join("state").join("journal");
    let mut held = std::fs::read(&journal).expect("the journal");
    held.extend([9, 0, 0, 0, 1, 2, 3]);
    std::fs::write(&journal, held).expect("torn");
    daemon.restart();
    assert!(daemon.log().contains("torn tail of 7 bytes"));
    let all = endpoint.wait_until("all three", |all| all.iter().any(|h| h.request_id() == "q3"));
    let ids: Vec<&str> = all.iter().map(HttpMessage::request_id).collect();
    assert_eq!(ids, ["q1", "q1", "q2", "q3"]);
}

#[test]
fn a_notice_is_sent_until_it_is_answered_and_its_key_waits_for_that() {
    let endpoint = Server::start(|h, _| {
        if h.request_id() == "n1" {
            respond("500 Oops", "", "")
        } else {
            respond("200 OK", "", "")
        }
    });
    let known = endpoint_list(1, &[(7, endpoint.addr)]);
    let disco = Server::start(|h, n| match h.start_line.starts_with("POST") {
        true if n < 3 => Reply::Close,
        true => respond("204 No Content", "", ""),
        false => {
            Reply::RespondAndHold("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1\r\n\n\r\n".into())
        }
    });
    let daemon = setup(&disco, known).start();
    // Six attempts all fail, so it is given up; the next of its key follows the answer to that notice.
    assert_eq!(
        daemon.send_request(&message_request("sync", "n1", "6000m", "X-Key: 5\r\n")).map(|h| h.status()),
        Some(202)
    );
    assert_eq!(
        daemon.send_request(&message_request("sync", "n2", "20000m", "X-Key: 5\r\n")).map(|h| h.status()),
        Some(202)
    );
    endpoint.wait_request("n2");
    assert!(disco.received().iter().filter(|h| h.text().contains("n1")).count() >= 2);
}

/// A connection to the platform that has fallen silent holds a notice up for less than the 300 ms it has.
#[test]
fn a_notice_goes_again_soon_where_no_answer_comes() {
    let endpoint = Server::always("500 Oops");
    let known = endpoint_list(1, &[(7, endpoint.addr)]);
    let disco = Server::start(|heard, _| match heard.start_line.starts_with("POST") {
        true if heard.text().contains("s1") => Reply::RespondAndHold(String::new()),
        true => respond("204 No Content", "", ""),
        false => {
            Reply::RespondAndHold("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1\r\n\n\r\n".into())
        }
    });
    let daemon = setup(&disco, known).start();
    assert_eq!(daemon.submit("payout", "s1"), 202);
    let sent = |n: usize| {
        let posts = |all: &[HttpMessage]| all.iter().filter(|h| h.text().contains("s1")).count();
        disco.wait_until("a notice", |all| posts(all) >= n);
        std::time::Instant::now()
    };
    let first = sent(1);
    assert!(sent(2) - first < Duration::from_millis(250));
}

/// One that is never answered holds up none that ends later.
#[test]
fn a_notice_without_an_answer_holds_up_no_other() {
    let endpoint = Server::always("500 Oops");
    let known = endpoint_list(1, &[(7, endpoint.addr)]);
    let disco = Server::start(|heard, _| match heard.start_line.starts_with("POST") {
        true if heard.text().contains("h1") => Reply::RespondAndHold(String::new()),
        true => respond("204 No Content", "", ""),
        false => {
            Reply::RespondAndHold("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1\r\n\n\r\n".into())
        }
    });
    let daemon = setup(&disco, known).start();
    assert_eq!(daemon.submit("payout", "h1"), 202);
    disco.wait_text("h1");
    assert_eq!(daemon.submit("payout", "h2"), 202);
    daemon.wait_log("callback acknowledged for h2");
    assert!(!daemon.log().contains("callback acknowledged for h1"));
}

/// The connection that served last may have fallen silent: a notice goes out again on a new one, and soon.
#[test]
fn a_notice_that_meets_a_silent_connection_goes_out_on_a_new_one() {
    let endpoint = Server::always("500 Oops");
    let known = endpoint_list(1, &[(7, endpoint.addr)]);
    let served = std::sync::Mutex::new(std::collections::BTreeSet::new());
    let disco = Server::start(move |heard, _| match heard.start_line.starts_with("POST") {
        true if served.lock().expect("lock").insert(heard.client_address) => {
            respond("204 No Content", "", "")
        }
        true => Reply::RespondAndHold(String::new()),
        false => {
            Reply::RespondAndHold("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1\r\n\n\r\n".into())
        }
    });
    let daemon = setup(&disco, known).start();
    for id in ["o1", "o2", "o3"] {
        assert_eq!(daemon.submit("payout", id), 202);
        daemon.wait_log(&format!("callback acknowledged for {id}"));
    }
    let posts: Vec<_> = disco.received().into_iter().filter(|h| h.text().contains("o2")).collect();
    assert_eq!(posts.len(), 2, "once on the silent one, once on a new one");
    assert_ne!(posts[0].client_address, posts[1].client_address);
}

#[test]
fn a_repeat_of_a_delivered_message_is_answered_as_delivered_also_after_a_kill() {
    let endpoint = Server::always("200 OK");
    let (disco, known) = one(&endpoint);
    let mut daemon = setup(&disco, known).start();
    assert_eq!(daemon.submit("sync", "d1"), 202);
    daemon.wait_log("message=d1 outcome=Ok attempt=0");
    assert_eq!(daemon.submit("sync", "d1"), 200);
    daemon.kill();
    daemon.restart();
    let renamed = String::from_utf8(message_request("sync", "d1", "20000m", "")).expect("text");
    let renamed = renamed.replace("X-Request-Id: d1", "X-Request-Id: d2");
    assert_eq!(daemon.send_request(renamed.as_bytes()).map(|h| h.status()), Some(200));
    assert_eq!(endpoint.received().len(), 1);
}

#[test]
fn a_full_journal_rejects_and_stays_inside_the_folder() {
    let endpoint = Server::start(|_, _| Reply::RespondAndHold(String::new()));
    let (disco, known) = one(&endpoint);
    let daemon = Setup { disk_mb: 0.2, ..setup(&disco, known) }.start();
    let big = |id: &str| {
        let text = String::from_utf8(message_request("payout", id, "20000m", "")).expect("text");
        let (head, _) = text.split_once("Content-Length").expect("a head");
        let body = "x".repeat(30_000);
        format!("{head}Content-Length: 30000\r\n\r\n{body}")
    };
    let answers: Vec<u16> = (0..6)
        .map(|n| daemon.send_request(big(&format!("f{n}")).as_bytes()).map_or(0, |h| h.status()))
        .collect();
    assert_eq!(answers[..2], [202, 202]);
    assert_eq!(answers[2..], [503; 4]);
    let size = std::fs::metadata(daemon.folder.join("state").join("journal")).expect("it is there").len();
    assert!(size < 100_000, "{size}");
}

#[test]
fn told_to_end_it_answers_finishes_its_calls_and_goes_in_time() {
    let endpoint = Server::always("200 OK");
    let (disco, known) = one(&endpoint);
    let mut daemon = setup(&disco, known).start();
    let mut kept = daemon.connect();
    daemon.terminate();
    daemon.wait_log("SIGTERM received");
    assert_eq!(daemon.submit("stats", "e1"), 202);
    kept.write_all(&message_request("stats", "e2", "20000m", "")).expect("written");
    assert_eq!(read_http(&mut BufReader::new(kept)).map(|h| h.status()), Some(202));
    endpoint.wait_request("e2");
    assert!(daemon.wait_exit(Duration::from_millis(3700)).success());
}

/// A message that is over is kept in a few bytes.
#[test]
fn what_is_over_leaves_room_for_what_comes() {
    let endpoint = Server::always("200 OK");
    let (disco, known) = one(&endpoint);
    let daemon = Setup { disk_mb: 0.2, ..setup(&disco, known) }.start();
    for n in 0..400 {
        assert_eq!(daemon.submit("stats", &format!("m{n}")), 202);
        endpoint.wait_request(&format!("m{n}"));
    }
    let size = std::fs::metadata(daemon.folder.join("state").join("journal")).expect("it is there").len();
    assert!(size < 100_000, "{size}");
}

/// A burst leaves no more connections standing than an endpoint can spare.
#[test]
fn a_burst_leaves_few_idle_connections() {
    let together = std::sync::Barrier::new(4);
    let endpoint = Server::start(move |_, _| {
        together.wait();
        respond("200 OK", "", "")
    });
    let (disco, known) = one(&endpoint);
    let daemon = setup(&disco, known).start();
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

/// An endpoint that holds two connections turns the others away. That is no limit and no outage: as many calls as it
/// takes go there, one after the other, and nothing is handed back or slowed down for it.
#[test]
fn an_endpoint_with_a_full_table_of_connections_gets_as_many_calls_as_it_takes() {
    let held = std::sync::Arc::new(std::sync::Mutex::new(std::collections::BTreeSet::new()));
    let table = held.clone();
    let endpoint = Server::start(move |heard, _| {
        let place = heard.client_address;
        let full = {
            let mut held = table.lock().expect("lock");
            !held.contains(&place) && (held.len() >= 2 || !held.insert(place))
        };
        if full {
            return respond("503 Full", "Connection: close\r\n", "");
        }
        std::thread::sleep(Duration::from_millis(20));
        table.lock().expect("lock").remove(&place);
        respond("200 OK", "Connection: close\r\n", "")
    });
    let (disco, known) = one(&endpoint);
    let daemon = setup(&disco, known).start();
    for n in 0..60 {
        assert_eq!(daemon.submit("payout", &format!("c{n}")), 202);
    }
    for n in 0..60 {
        daemon.wait_log(&format!("message=c{n} outcome=Ok"));
    }
    let log = daemon.log();
    assert!(
        !log.contains("pace reduced after a rejection") && !log.contains("breaker opened"),
        "taken for a limit or an outage"
    );
    let crowded = log.matches("outcome=ConnectionLimit").count();
    assert!((1..40).contains(&crowded), "{crowded} turned away for 60 messages");
    assert!(!disco.received().iter().any(|h| h.start_line.starts_with("POST")), "each is delivered");
}
