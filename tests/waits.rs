//! A told wait belongs to the partner and not to the message: it is heeded whatever becomes of the call that it answered.
mod stand;
use rstest::rstest;
use stand::*;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::time::{Duration, Instant};

/// The partner's answer to `a`, which tells the wait; its connection stays open behind it.
const WORD: &str = "HTTP/1.1 429 Later\r\nretry-after: 2.4\r\n";

fn started() -> (Narrow, Server, Daemon) {
    let endpoint = Narrow::start();
    let known = list(1, &[(7, endpoint.addr)]);
    let disco = discovery(known.clone());
    let swaps = vec![PATIENT, (r#""resolutionNs":5000000"#, r#""resolutionNs":1000000"#)];
    let daemon = Setup { swaps, ..setup(&disco, known) }.start();
    (endpoint, disco, daemon)
}

/// The call of a message that has only so long, by the class that uses all of its time.
fn out(endpoint: &Narrow, daemon: &Daemon, deadline: &str) -> TcpStream {
    let text = message("payout", "a", deadline, "");
    assert_eq!(daemon.ask(&text).map(|h| h.status()), Some(202));
    let socket = endpoint.accept();
    assert_eq!(call(&socket).id(), "a");
    socket
}

/// The next message goes out only when the wait is over.
fn heeded(endpoint: &Narrow, daemon: &Daemon, told: Instant) {
    assert_eq!(daemon.hand_in("stats", "b"), 202);
    let next = endpoint.accept();
    assert_eq!(call(&next).id(), "b");
    let after = told.elapsed();
    answer(&next, "200 OK", "");
    // The wait begins when it is written; that a call may pass within 100 ms of that is not used here.
    assert!(after >= Duration::from_millis(2390), "b came {after:?} after the wait was told");
    daemon.wait_log("try ended message=b outcome=Ok");
}

fn write(mut socket: &TcpStream, text: &str) -> Instant {
    socket.write_all(text.as_bytes()).expect("it listens");
    Instant::now()
}

/// The head never ends, or nobody can read it: what it says of the wait came whole.
#[rstest]
#[case::without_end("x-more: ")]
#[case::unreadable("\x01\x02 what\r\n\r\n")]
#[case::broken_off("")]
fn a_wait_in_a_head_that_is_spoilt_behind_it_is_heeded(#[case] more: &str) {
    let (endpoint, _disco, daemon) = started();
    let socket = out(&endpoint, &daemon, "20000m");
    let told = write(&socket, &format!("{WORD}{more}"));
    if more.is_empty() {
        socket.shutdown(Shutdown::Both).expect("it stood");
    }
    daemon.wait_log("try ended message=a");
    heeded(&endpoint, &daemon, told);
}

/// Its body never ends, and the time of its message is over meanwhile.
#[test]
fn a_wait_whose_body_is_still_to_come_when_the_time_is_up_is_heeded() {
    let (endpoint, disco, daemon) = started();
    let socket = out(&endpoint, &daemon, "600m");
    let told = write(&socket, &format!("{WORD}content-length: 9\r\n\r\n"));
    disco.wait_text(r#""id":"a""#);
    heeded(&endpoint, &daemon, told);
}

/// The call is given up just before the partner answers: it ends its sending, and what crosses that is still heard.
#[test]
fn a_wait_that_crosses_the_end_of_its_call_is_heeded() {
    let (endpoint, _disco, daemon) = started();
    let mut socket = out(&endpoint, &daemon, "600m");
    // The partner has read all that is sent: the call is given up.
    assert_eq!(socket.read(&mut [0]).expect("no reset"), 0);
    let told = write(&socket, &format!("{WORD}content-length: 0\r\n\r\n"));
    daemon.wait_log("try ended message=a outcome=Timeout");
    daemon.wait_log("Retry-After received");
    heeded(&endpoint, &daemon, told);
}

/// Nothing else is read on the connection of a call that was given up, and no further call goes there.
#[test]
fn a_call_that_was_given_up_is_closed_and_its_late_answer_delivers_nothing() {
    let (endpoint, disco, daemon) = started();
    let mut socket = out(&endpoint, &daemon, "600m");
    assert_eq!(socket.read(&mut [0]).expect("no reset"), 0);
    disco.wait_text(r#"{"id":"a","status":"undeliverable"}"#);
    assert_eq!(daemon.hand_in("stats", "b"), 202);
    let next = endpoint.accept();
    assert_eq!(call(&next).id(), "b");
    answer(&next, "200 OK", "");
    daemon.wait_log("try ended message=b outcome=Ok");
    // It was closed some time after it was given up: what is written there comes to nobody.
    let until = Instant::now() + PATIENCE;
    while socket.write_all(b"HTTP").is_ok() {
        assert!(Instant::now() < until, "it is listened to for ever");
    }
}
