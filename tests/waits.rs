//! A Retry-After applies to the endpoint and not only to the message. It must be respected even if the response is malformed
//! or incomplete, or the call was cancelled.
mod stand;
use rstest::rstest;
use stand::*;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::time::{Duration, Instant};

/// The start of the response to message `a`: a head with a Retry-After, still incomplete. The endpoint keeps the connection
/// open after it.
const REJECTION_START: &str = "HTTP/1.1 429 Later\r\nretry-after: 2.4\r\n";

fn start_daemon() -> (FullBacklogEndpoint, Server, Daemon) {
    let endpoint = FullBacklogEndpoint::start();
    let endpoints = endpoint_list(1, &[(7, endpoint.addr)]);
    let discovery = start_discovery(endpoints.clone());
    let settings_replacements =
        vec![LONG_CONNECT_TIMEOUT, (r#""resolutionNs":5000000"#, r#""resolutionNs":1000000"#)];
    let daemon = Setup { settings_replacements, ..setup(&discovery, endpoints) }.start();
    (endpoint, discovery, daemon)
}

/// Submits message `a` with this deadline, and returns the connection on which the endpoint has received its call. The class
/// lets an attempt last until the deadline.
fn call_in_flight(endpoint: &FullBacklogEndpoint, daemon: &Daemon, deadline: &str) -> TcpStream {
    let request = message_request("payout", "a", deadline, "");
    assert_eq!(daemon.send_request(&request).map(|response| response.status()), Some(202));
    let socket = endpoint.accept();
    assert_eq!(read_call(&socket).request_id(), "a");
    socket
}

/// Checks that the next message is not sent before the Retry-After has passed.
fn assert_retry_after_respected(endpoint: &FullBacklogEndpoint, daemon: &Daemon, sent_at: Instant) {
    assert_eq!(daemon.submit("stats", "b"), 202);
    let next = endpoint.accept();
    assert_eq!(read_call(&next).request_id(), "b");
    let delay = sent_at.elapsed();
    write_response(&next, "200 OK", "");
    // The time counts from the write of the Retry-After. The 100 ms within which a call may still be sent after a Retry-After
    // do not apply here.
    assert!(delay >= Duration::from_millis(2390), "message b was sent {delay:?} after the Retry-After");
    daemon.wait_log("attempt ended message=b outcome=Ok");
}

/// Writes to the socket, and returns the time after the write.
fn write(mut socket: &TcpStream, text: &str) -> Instant {
    socket.write_all(text.as_bytes()).expect("write to the daemon");
    Instant::now()
}

/// The head is incomplete or cannot be parsed, but its Retry-After line is complete.
#[rstest]
#[case::incomplete("x-more: ")]
#[case::not_a_header("\x01\x02 what\r\n\r\n")]
#[case::connection_closed("")]
fn respects_a_retry_after_in_a_malformed_head(#[case] rest: &str) {
    let (endpoint, _discovery, daemon) = start_daemon();
    let socket = call_in_flight(&endpoint, &daemon, "20000m");
    let sent_at = write(&socket, &format!("{REJECTION_START}{rest}"));
    if rest.is_empty() {
        socket.shutdown(Shutdown::Both).expect("shut the connection down");
    }
    daemon.wait_log("attempt ended message=a");
    assert_retry_after_respected(&endpoint, &daemon, sent_at);
}

/// The body of the response is still incomplete when the message's deadline passes.
#[test]
fn respects_a_retry_after_whose_body_is_incomplete_at_the_deadline() {
    let (endpoint, discovery, daemon) = start_daemon();
    let socket = call_in_flight(&endpoint, &daemon, "600m");
    let sent_at = write(&socket, &format!("{REJECTION_START}content-length: 9\r\n\r\n"));
    discovery.wait_text(r#""id":"a""#);
    assert_retry_after_respected(&endpoint, &daemon, sent_at);
}

/// The call is cancelled just before the endpoint responds: the daemon has shut down its side of the connection for writing,
/// but must still read a response that is on its way.
#[test]
fn respects_a_retry_after_that_arrives_just_after_its_call_is_cancelled() {
    let (endpoint, _discovery, daemon) = start_daemon();
    let mut socket = call_in_flight(&endpoint, &daemon, "600m");
    // The end of the stream shows that the call is cancelled.
    assert_eq!(socket.read(&mut [0]).expect("the end of the stream, not a reset"), 0);
    let sent_at = write(&socket, &format!("{REJECTION_START}content-length: 0\r\n\r\n"));
    daemon.wait_log("attempt ended message=a outcome=Timeout");
    daemon.wait_log("Retry-After received");
    assert_retry_after_respected(&endpoint, &daemon, sent_at);
}

/// The connection of a cancelled call must not carry another call, and must be closed even if the endpoint keeps sending.
#[test]
fn closes_the_connection_of_a_cancelled_call_and_ignores_its_late_response() {
    let (endpoint, discovery, daemon) = start_daemon();
    let mut socket = call_in_flight(&endpoint, &daemon, "600m");
    assert_eq!(socket.read(&mut [0]).expect("the end of the stream, not a reset"), 0);
    discovery.wait_text(r#"{"id":"a","status":"undeliverable"}"#);
    assert_eq!(daemon.submit("stats", "b"), 202);
    let next = endpoint.accept();
    assert_eq!(read_call(&next).request_id(), "b");
    write_response(&next, "200 OK", "");
    daemon.wait_log("attempt ended message=b outcome=Ok");
    // A write fails once the daemon has closed the connection, some time after the cancellation.
    let give_up_at = Instant::now() + EVENT_TIMEOUT;
    while socket.write_all(b"HTTP").is_ok() {
        assert!(Instant::now() < give_up_at, "the daemon keeps the connection open");
    }
}
