//! Answers of endpoints that are malformed, or followed by bytes that do not belong to them.
mod stand;
use rstest::rstest;
use stand::*;
use std::time::{Duration, Instant};

const GOOD: &str = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";

fn start(endpoint: &Server) -> (Server, Daemon) {
    let known = endpoint_list(1, &[(7, endpoint.addr)]);
    let disco = start_discovery(known.clone());
    let daemon = setup(&disco, known).start();
    (disco, daemon)
}

/// The connection of a malformed answer is of no further use.
fn malformed_or_good(answer: &str) -> Reply {
    match answer.ends_with(GOOD) {
        true => Reply::Respond(answer.into()),
        false => Reply::RespondAndHold(answer.into()),
    }
}

/// Each is the answer to a message that must not run twice; its connection stays open after it.
#[rstest]
#[case::noise("\x07\x00 no http at all \u{fffd}\r\n\r\n", "UnreadableAnswer")]
#[case::half_a_line("HTT", "UnreadableAnswer")]
#[case::error_without_end("HTTP/1.1 500 Oops\r\nx-a: b\r\n", "UnreadableAnswer")]
#[case::noise_after_1xx("HTTP/1.1 103 Early Hints\r\nx-a: 200\r\n\r\n%%%%\r\n\r\n", "UnreadableAnswer")]
#[case::upgrade("HTTP/1.1 101 Switching Protocols\r\n\r\n", "UnreadableAnswer")]
#[case::bad_header("HTTP/1.1 200 OK\r\n\x01\x02 what\r\n\r\n", "Ok")]
#[case::head_without_end("HTTP/1.1 200 OK\r\nx-a: b\r\n", "Ok")]
#[case::two_lengths("HTTP/1.1 200 OK\r\ncontent-length: 5\r\ncontent-length: 7\r\n\r\nabcde", "Ok")]
#[case::long("HTTP/1.1 200 OK\r\ncontent-length: 3000000000\r\n\r\nabcde", "Ok")]
#[case::interim_answers("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nx-a: b\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n", "Ok")]
fn a_malformed_answer_counts_as_run_and_a_status_line_with_200_as_delivery(
    #[case] answer: &'static str, #[case] outcome: &str,
) {
    let endpoint = Server::start(move |_, n| malformed_or_good(if n == 0 { answer } else { GOOD }));
    let (disco, daemon) = start(&endpoint);
    let begun = Instant::now();
    assert_eq!(daemon.submit("payout", "g1"), 202);
    daemon.wait_log(&format!("message=g1 outcome={outcome} attempt=0"));
    assert!(begun.elapsed() < Duration::from_millis(700), "{:?}", begun.elapsed());
    if outcome == "UnreadableAnswer" {
        disco.wait_text(r#"{"id":"g1","status":"undeliverable"}"#);
    }
    // The next is sent on another connection, without delay.
    assert_eq!(daemon.submit("payout", "g2"), 202);
    daemon.wait_log("message=g2 outcome=Ok attempt=0");
    assert_eq!(endpoint.received().len(), 2);
    assert_eq!(disco.received().iter().any(|h| h.text().contains("g1")), outcome == "UnreadableAnswer");
}

/// All endpoints send malformed answers alike: none is ejected for it, and what may run again is sent again.
#[test]
fn an_endpoint_with_malformed_answers_stays_in_use() {
    let endpoint = Server::start(|_, n| malformed_or_good(if n < 10 { "%%%%\r\n" } else { GOOD }));
    let (_disco, daemon) = start(&endpoint);
    for n in 0..9 {
        assert_eq!(daemon.submit("payout", &format!("u{n}")), 202);
        daemon.wait_log(&format!("message=u{n} outcome=UnreadableAnswer attempt=0"));
    }
    assert_eq!(daemon.submit("stats", "u9"), 202);
    daemon.wait_log("message=u9 outcome=Ok attempt=1");
    assert!(!daemon.log().contains("breaker opened"));
}

/// What follows an answer is no answer to the next call, and a connection closed for it says nothing about its endpoint.
#[rstest]
#[case::noise("%%%%")]
#[case::copy(GOOD)]
fn bytes_after_an_answer_belong_to_no_call(#[case] more: &'static str) {
    let endpoint = Server::start(move |h, _| match h.request_id() {
        "last" => respond("500 Oops", "", ""),
        _ => Reply::Respond(format!("{GOOD}{more}")),
    });
    let (disco, daemon) = start(&endpoint);
    for n in 0..200 {
        assert_eq!(daemon.submit("payout", &format!("b{n}")), 202);
    }
    daemon.wait_log("message=b199 outcome=Ok");
    assert_eq!(daemon.submit("payout", "last"), 202);
    disco.wait_text(r#"{"id":"last","status":"undeliverable"}"#);
    assert_eq!(endpoint.received().len(), 201);
    assert!(!daemon.log().contains("ConnectFailed"));
}
