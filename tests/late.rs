//! A connect may take seconds, so the decision to send is checked again before the first byte is written. If it no longer holds,
//! the message is not sent and loses no attempt, and the connection stays open for the next call.
mod stand;
use rstest::rstest;
use stand::*;
use std::io::BufReader;
use std::net::TcpStream;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::Mutex;
use std::time::Instant;

/// Found on split+mass: a request was sent 0.5 s before a Retry-After had passed.
#[test]
fn a_retry_after_that_comes_during_a_connect_is_respected() {
    let mut endpoint = FullBacklogEndpoint::start();
    let known = endpoint_list(1, &[(7, endpoint.addr)]);
    let discovery = start_discovery(known.clone());
    let daemon =
        Setup { settings_replacements: vec![LONG_CONNECT_TIMEOUT], ..setup(&discovery, known) }.start();
    let first = start_hanging_connect(&daemon, &mut endpoint);
    let sent_at = Instant::now();
    let second = retry_after_during_connect(&daemon, first, &mut endpoint);
    // Both messages are sent again once the Retry-After has passed, the first of them on the open connection.
    let (calls, received) = channel();
    serve(second, calls.clone());
    let assert_late = |(call, at): (HttpMessage, Instant)| {
        assert!(
            at >= sent_at + RETRY_AFTER,
            "{} was sent {:?} after the Retry-After",
            call.request_id(),
            at - sent_at
        );
    };
    assert_late(received.recv_timeout(EVENT_TIMEOUT).expect("a call on the open connection"));
    let until = Instant::now() + EVENT_TIMEOUT;
    loop {
        if let Ok(call) = received.try_recv() {
            break assert_late(call);
        }
        endpoint.try_accept().into_iter().for_each(|(socket, _)| serve(socket, calls.clone()));
        assert!(Instant::now() < until, "timed out waiting for the other message");
        std::thread::yield_now();
    }
    daemon.wait_log("first byte message=b attempt=0");
    daemon.wait_log("attempt ended message=b outcome=Ok");
}

/// Answers all calls on this connection with 200 and reports each call with its time.
fn serve(socket: TcpStream, calls: Sender<(HttpMessage, Instant)>) {
    std::thread::spawn(move || {
        while let Some(call) = read_http(&mut BufReader::new(&socket)) {
            let _ = calls.send((call, Instant::now()));
            write_response(&socket, "200 OK", "");
        }
    });
}

/// Starts a discovery server that sends this change of the endpoint list when it is signalled, and nothing before.
fn delayed_discovery(change: String, signal: Receiver<()>) -> Server {
    let signal = Mutex::new(signal);
    Server::start(move |request, n| match (request.start_line.starts_with("POST"), n) {
        (true, _) => respond("204 No Content", "", ""),
        (_, 0) => {
            let _ = signal.lock().expect("lock").recv();
            watch_response(&change)
        }
        _ => Reply::RespondAndHold("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n".into()),
    })
}

/// An endpoint that is draining or removed gets no new call, not even for a message that was waiting for its connection.
#[rstest]
#[case::draining("Terminating")]
#[case::removed("Gone")]
fn a_message_is_not_sent_to_an_endpoint_drained_or_removed_during_the_connect(#[case] state: &str) {
    let (mut endpoint, other) = (FullBacklogEndpoint::start(), Server::always("200 OK"));
    let known = endpoint_list(1, &[(7, endpoint.addr)]);
    let change = endpoint_list(5, &[(7, endpoint.addr), (7, other.addr)]).replacen("Ready", state, 1);
    let (signal, signal_received) = channel();
    let discovery = delayed_discovery(change.replacen("true", "false", 1), signal_received);
    let daemon =
        Setup { settings_replacements: vec![LONG_CONNECT_TIMEOUT], ..setup(&discovery, known) }.start();
    let first = start_hanging_connect(&daemon, &mut endpoint);
    signal.send(()).expect("discovery waits");
    daemon.wait_log("upstream group: version 5 lines=2");
    endpoint.drain_backlog();
    let second = endpoint.accept();
    other.wait_request("b");
    assert!(is_idle(&second), "nothing was sent to the draining endpoint");
    write_response(&first, "200 OK", "");
    daemon.wait_log("attempt ended message=a outcome=Ok");
    daemon.wait_log("first byte message=b attempt=0");
}

/// A message whose connect still hung when the process was killed was never sent, so it may be retried even if it may run at most
/// once.
#[test]
fn an_at_most_once_message_whose_connect_hung_at_a_kill_is_sent_after_the_restart() {
    let mut endpoint = FullBacklogEndpoint::start();
    let known = endpoint_list(1, &[(7, endpoint.addr)]);
    let discovery = start_discovery(known.clone());
    let mut daemon =
        Setup { settings_replacements: vec![LONG_CONNECT_TIMEOUT], ..setup(&discovery, known) }.start();
    let first = start_hanging_connect(&daemon, &mut endpoint);
    daemon.kill();
    drop(first);
    endpoint.drain_backlog();
    daemon.restart();
    let call_b = loop {
        let socket = endpoint.accept();
        // A connection of the killed process may still be in the backlog.
        if let Some(call) = read_http(&mut BufReader::new(&socket)) {
            write_response(&socket, "200 OK", "");
            break call;
        }
    };
    assert_eq!(call_b.request_id(), "b");
    discovery.wait_text(r#"{"id":"a","status":"undeliverable"}"#);
    daemon.wait_log("attempt ended message=b outcome=Ok");
}
