//! A Retry-After belongs to the partner and not to the message: it is respected whatever becomes of the call that it answered.
mod stand;
use rstest::rstest;
use stand::*;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::time::{Duration, Instant};

/// The partner's answer to `a`, with a Retry-After; its connection stays open after it.
const REJECTION: &str = "HTTP/1.1 429 Later\r\nretry-after: 2.4\r\n";

fn started() -> (FullBacklogEndpoint, Server, Daemon) {
    let endpoint = FullBacklogEndpoint::start();
    let known = endpoint_list(1, &[(7, endpoint.addr)]);
    let disco = start_discovery(known.clone());
    let settings_replacements =
        vec![LONG_CONNECT_TIMEOUT, (r#""resolutionNs":5000000"#, r#""resolutionNs":1000000"#)];
    let daemon = Setup { settings_replacements, ..setup(&disco, known) }.start();
    (endpoint, disco, daemon)
}

/// The call of a message with this deadline, of the class that uses all of its time.
fn call_in_flight(endpoint: &FullBacklogEndpoint, daemon: &Daemon, deadline: &str) -> TcpStream {
    let text = message_request("payout", "a", deadline, "");
    assert_eq!(daemon.send_request(&text).map(|h| h.status()), Some(202));
    let socket = endpoint.accept();
    assert_eq!(read_call(&socket).request_id(), "a");
    socket
}

/// The next message is sent only when the Retry-After has passed.
fn assert_respected(endpoint: &FullBacklogEndpoint, daemon: &Daemon, sent_at: Instant) {
    assert_eq!(daemon.submit("stats", "b"), 202);
    let next = endpoint.accept();
    assert_eq!(read_call(&next).request_id(), "b");
    let after = sent_at.elapsed();
    write_response(&next, "200 OK", "");
    // The time counts from when it is written; the 100 ms in which a call may still be sent are not used here.
    assert!(after >= Duration::from_millis(2390), "b came {after:?} after the Retry-After");
    daemon.wait_log("attempt ended message=b outcome=Ok");
}

fn write(mut socket: &TcpStream, text: &str) -> Instant {
    socket.write_all(text.as_bytes()).expect("it listens");
    Instant::now()
}

/// The head never ends, or cannot be parsed: its Retry-After line was complete.
#[rstest]
#[case::without_end("x-more: ")]
#[case::unreadable("\x01\x02 what\r\n\r\n")]
#[case::broken_off("")]
fn a_retry_after_in_a_malformed_head_is_respected(#[case] more: &str) {
    let (endpoint, _disco, daemon) = started();
    let socket = call_in_flight(&endpoint, &daemon, "20000m");
    let sent_at = write(&socket, &format!("{REJECTION}{more}"));
    if more.is_empty() {
        socket.shutdown(Shutdown::Both).expect("it stood");
    }
    daemon.wait_log("attempt ended message=a");
    assert_respected(&endpoint, &daemon, sent_at);
}

/// The body never ends, and the deadline of the message passes meanwhile.
#[test]
fn a_retry_after_whose_body_is_incomplete_at_the_deadline_is_respected() {
    let (endpoint, disco, daemon) = started();
    let socket = call_in_flight(&endpoint, &daemon, "600m");
    let sent_at = write(&socket, &format!("{REJECTION}content-length: 9\r\n\r\n"));
    disco.wait_text(r#""id":"a""#);
    assert_respected(&endpoint, &daemon, sent_at);
}

/// The call is cancelled just before the partner answers: its sending side is shut down, and an answer that crosses that is
/// still read.
#[test]
fn a_retry_after_that_crosses_the_cancellation_of_its_call_is_respected() {
    let (endpoint, _disco, daemon) = started();
    let mut socket = call_in_flight(&endpoint, &daemon, "600m");
    // The partner has read all that is sent: the call is cancelled.
    assert_eq!(socket.read(&mut [0]).expect("no reset"), 0);
    let sent_at = write(&socket, &format!("{REJECTION}content-length: 0\r\n\r\n"));
    daemon.wait_log("attempt ended message=a outcome=Timeout");
    daemon.wait_log("Retry-After received");
    assert_respected(&endpoint, &daemon, sent_at);
}

/// Nothing else is read on the connection of a cancelled call, and no further call is sent on it.
#[test]
fn a_cancelled_call_is_closed_and_its_late_answer_delivers_nothing() {
    let (endpoint, disco, daemon) = started();
    let mut socket = call_in_flight(&endpoint, &daemon, "600m");
    assert_eq!(socket.read(&mut [0]).expect("no reset"), 0);
    disco.wait_text(r#"{"id":"a","status":"undeliverable"}"#);
    assert_eq!(daemon.submit("stats", "b"), 202);
    let next = endpoint.accept();
    assert_eq!(read_call(&next).request_id(), "b");
    write_response(&next, "200 OK", "");
    daemon.wait_log("attempt ended message=b outcome=Ok");
    // It was closed some time after the cancellation: what is written there is read by nobody.
    let until = Instant::now() + EVENT_TIMEOUT;
    while socket.write_all(b"HTTP").is_ok() {
        assert!(Instant::now() < until, "it is read for ever");
    }
}
