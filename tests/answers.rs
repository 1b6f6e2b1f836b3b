//! Endpoints whose responses are malformed or followed by extra bytes.
mod stand;
use rstest::rstest;
use stand::*;
use std::time::{Duration, Instant};

const OK_RESPONSE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";

fn start_daemon(endpoint: &Server) -> (Server, Daemon) {
    let endpoints = endpoint_list(1, &[(7, endpoint.addr)]);
    let discovery = start_discovery(endpoints.clone());
    let daemon = setup(&discovery, endpoints).start();
    (discovery, daemon)
}

/// Keeps serving the connection after a complete response. After a malformed one, holds the connection open without reading
/// further requests.
fn reply_with(response: &str) -> Reply {
    match response.ends_with(OK_RESPONSE) {
        true => Reply::Respond(response.into()),
        false => Reply::RespondAndHold(response.into()),
    }
}

/// The message must not run twice, so an unreadable response fails it. The endpoint does not close the connection, so the
/// daemon must detect the fault from the bytes alone.
#[rstest]
#[case::not_http("\x07\x00 no http at all \u{fffd}\r\n\r\n", "UnreadableAnswer")]
#[case::partial_status_line("HTT", "UnreadableAnswer")]
#[case::incomplete_head_with_500("HTTP/1.1 500 Oops\r\nx-a: b\r\n", "UnreadableAnswer")]
#[case::garbage_after_1xx("HTTP/1.1 103 Early Hints\r\nx-a: 200\r\n\r\n%%%%\r\n\r\n", "UnreadableAnswer")]
#[case::switching_protocols("HTTP/1.1 101 Switching Protocols\r\n\r\n", "UnreadableAnswer")]
#[case::invalid_header_with_200("HTTP/1.1 200 OK\r\n\x01\x02 what\r\n\r\n", "Ok")]
#[case::incomplete_head_with_200("HTTP/1.1 200 OK\r\nx-a: b\r\n", "Ok")]
#[case::conflicting_lengths("HTTP/1.1 200 OK\r\ncontent-length: 5\r\ncontent-length: 7\r\n\r\nabcde", "Ok")]
#[case::incomplete_body("HTTP/1.1 200 OK\r\ncontent-length: 3000000000\r\n\r\nabcde", "Ok")]
#[case::interim_responses("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nx-a: b\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n", "Ok")]
fn never_repeats_a_message_after_a_malformed_response_and_delivers_on_a_200_status_line(
    #[case] response: &'static str, #[case] outcome: &str,
) {
    let endpoint = Server::start(move |_, n| reply_with(if n == 0 { response } else { OK_RESPONSE }));
    let (discovery, daemon) = start_daemon(&endpoint);
    let started_at = Instant::now();
    assert_eq!(daemon.submit("payout", "g1"), 202);
    daemon.wait_log(&format!("message=g1 outcome={outcome} attempt=0"));
    assert!(started_at.elapsed() < Duration::from_millis(700), "{:?}", started_at.elapsed());
    if outcome == "UnreadableAnswer" {
        discovery.wait_text(r#"{"id":"g1","status":"undeliverable"}"#);
    }
    // The next message is sent at once, on another connection.
    assert_eq!(daemon.submit("payout", "g2"), 202);
    daemon.wait_log("message=g2 outcome=Ok attempt=0");
    assert_eq!(endpoint.received().len(), 2);
    assert_eq!(discovery.received().iter().any(|h| h.text().contains("g1")), outcome == "UnreadableAnswer");
}

/// Guards against a payout that ran twice (issue 76): a response whose status says that the call never ran was believed before it
/// was complete.
#[rstest]
#[case::short_body("503 Full\r\ncontent-length: 40\r\n\r\nshort")]
#[case::announced_3_gb("503 Full\r\ncontent-length: 3000000000\r\n\r\nshort")]
#[case::no_length_and_no_end("503 Full\r\n\r\n")]
#[case::first_connection_closes("503 Full\r\nconnection: close\r\ncontent-length: 40\r\n\r\nshort")]
#[case::no_slot("503 Full\r\nx-no-slot: 1\r\ncontent-length: 40\r\n\r\nshort")]
#[case::retry_after("429 Later\r\nretry-after: 0.2\r\ncontent-length: 40\r\n\r\nshort")]
#[case::attempts_used_up("504 Moot\r\ncontent-length: 40\r\n\r\nshort")]
#[case::message_over("410 Over\r\ncontent-length: 40\r\n\r\nshort")]
#[case::chunk_without_size("503 Full\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n")]
#[case::chunks_without_end("503 Full\r\ntransfer-encoding: chunked\r\n\r\n5\r\nshort\r\n")]
#[case::interim_response_before("503 Full\r\nx-a: b\r\ncontent-length: 1\r\n\r\n")]
fn never_repeats_a_message_after_an_incomplete_rejection(
    #[case] rejection: &'static str, #[values(true, false)] closes: bool,
) {
    let text = format!("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 {rejection}");
    let endpoint = Server::start(move |_, n| match (n, closes) {
        (0, true) if !text.ends_with("Full\r\n\r\n") => Reply::RespondAndClose(text.clone()),
        (0, _) => Reply::RespondAndHold(text.clone()),
        _ => Reply::Respond(OK_RESPONSE.into()),
    });
    let (discovery, daemon) = start_daemon(&endpoint);
    assert_eq!(daemon.submit("payout", "g1"), 202);
    daemon.wait_log("message=g1 outcome=UnreadableAnswer attempt=0");
    discovery.wait_text(r#"{"id":"g1","status":"undeliverable"}"#);
    assert_eq!(daemon.submit("payout", "g2"), 202);
    daemon.wait_log("message=g2 outcome=Ok attempt=0");
    assert_eq!(endpoint.received().len(), 2);
}

/// A response without a length ends with its connection (RFC 9112, section 6.3).
#[rstest]
#[case::unavailable("503 Full", "", "Rejected(None)")]
#[case::no_slot("503 Full", "x-no-slot: 1\r\n", "Skipped")]
#[case::retry_after("429 Later", "retry-after: 0.2\r\n", "Rejected(Some(")]
#[case::attempts_used_up("504 Moot", "", "Skipped")]
fn repeats_a_message_after_a_complete_rejection_with_a_body(
    #[case] status: &'static str, #[case] headers: &'static str, #[case] outcome: &str,
    #[values(
        "content-length: 5\r\n\r\nlater",
        "transfer-encoding: chunked\r\n\r\n5\r\nlater\r\n0\r\n\r\n",
        "\r\nlater"
    )]
    body: &'static str,
) {
    let text = format!("HTTP/1.1 {status}\r\n{headers}{body}");
    let endpoint = Server::start(move |_, n| match (n, body.contains(':')) {
        (0, true) => Reply::Respond(text.clone()),
        (0, false) => Reply::RespondAndClose(text.clone()),
        _ => Reply::Respond(OK_RESPONSE.into()),
    });
    let (_discovery, daemon) = start_daemon(&endpoint);
    assert_eq!(daemon.submit("payout", "g1"), 202);
    daemon.wait_log(&format!("message=g1 outcome={outcome}"));
    daemon.wait_log("message=g1 outcome=Ok attempt=1");
    assert_eq!(endpoint.received().len(), 2);
}

/// A complete 410 ends the message without a completion callback.
#[test]
fn a_message_that_the_endpoint_reports_as_over_gets_no_callback() {
    let endpoint = Server::start(|_, n| match n {
        0 => respond("410 Over", "", "over"),
        _ => Reply::Respond(OK_RESPONSE.into()),
    });
    let (discovery, daemon) = start_daemon(&endpoint);
    assert_eq!(daemon.submit("payout", "g1"), 202);
    daemon.wait_log("message=g1 outcome=Skipped attempt=0");
    assert_eq!(daemon.submit("payout", "g2"), 202);
    daemon.wait_log("message=g2 outcome=Ok attempt=0");
    assert_eq!(endpoint.received().len(), 2);
    assert!(!discovery.received().iter().any(|request| request.text().contains("g1")));
}

/// An endpoint must not be ejected for malformed responses that all endpoints (here one) send. A message that may run twice is
/// retried.
#[test]
fn keeps_using_an_endpoint_after_malformed_responses() {
    let endpoint = Server::start(|_, n| reply_with(if n < 10 { "%%%%\r\n" } else { OK_RESPONSE }));
    let (_discovery, daemon) = start_daemon(&endpoint);
    for n in 0..9 {
        assert_eq!(daemon.submit("payout", &format!("u{n}")), 202);
        daemon.wait_log(&format!("message=u{n} outcome=UnreadableAnswer attempt=0"));
    }
    assert_eq!(daemon.submit("stats", "u9"), 202);
    daemon.wait_log("message=u9 outcome=Ok attempt=1");
    assert!(!daemon.log().contains("breaker opened"));
}

/// Extra bytes after a response must not be read as the response to the next call on the connection. Closing the connection
/// because of them must not count as a failure of the endpoint.
#[rstest]
#[case::garbage("%%%%")]
#[case::second_response(OK_RESPONSE)]
fn ignores_bytes_after_a_response(#[case] extra: &'static str) {
    let endpoint = Server::start(move |request, _| match request.request_id() {
        "last" => respond("500 Oops", "", ""),
        _ => Reply::Respond(format!("{OK_RESPONSE}{extra}")),
    });
    let (discovery, daemon) = start_daemon(&endpoint);
    for n in 0..200 {
        assert_eq!(daemon.submit("payout", &format!("b{n}")), 202);
    }
    daemon.wait_log("message=b199 outcome=Ok");
    assert_eq!(daemon.submit("payout", "last"), 202);
    discovery.wait_text(r#"{"id":"last","status":"undeliverable"}"#);
    assert_eq!(endpoint.received().len(), 201);
    assert!(!daemon.log().contains("ConnectFailed"));
}
