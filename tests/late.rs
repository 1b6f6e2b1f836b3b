//! A connect may take seconds. What was decided before it is checked again at the first byte: what changed meanwhile counts,
//! the message keeps all its attempts, and the connection serves the next one.
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
    let disco = start_discovery(known.clone());
    let daemon = Setup { settings_replacements: vec![LONG_CONNECT_TIMEOUT], ..setup(&disco, known) }.start();
    let first = start_hanging_connect(&daemon, &mut endpoint);
    let sent_at = Instant::now();
    let second = retry_after_during_connect(&daemon, first, &mut endpoint);
    // Both messages are sent again once it has passed, the first of them on the open connection.
    let (calls, received) = channel();
    serve(second, calls.clone());
    let assert_late = |(call, at): (HttpMessage, Instant)| {
        assert!(
            at >= sent_at + RETRY_AFTER,
            "{} came {:?} after the Retry-After",
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
        assert!(Instant::now() < until, "the other message came");
        std::thread::yield_now();
    }
    daemon.wait_log("first byte message=b attempt=0");
    daemon.wait_log("attempt ended message=b outcome=Ok");
}

/// Serves all calls on this connection, and reports each.
fn serve(socket: TcpStream, calls: Sender<(HttpMessage, Instant)>) {
    std::thread::spawn(move || {
        while let Some(call) = read_http(&mut BufReader::new(&socket)) {
            let _ = calls.send((call, Instant::now()));
            write_response(&socket, "200 OK", "");
        }
    });
}

/// Discovery that sends nothing until it is signalled to, then this change.
fn delayed_discovery(change: String, signal: Receiver<()>) -> Server {
    let signal = Mutex::new(signal);
    Server::start(move |heard, n| match (heard.start_line.starts_with("POST"), n) {
        (true, _) => respond("204 No Content", "", ""),
        (_, 0) => {
            let _ = signal.lock().expect("lock").recv();
            watch_response(&change)
        }
        _ => Reply::RespondAndHold("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n".into()),
    })
}

/// Nothing new is sent to an endpoint that drains or is removed, also what waited for its connection.
#[rstest]
#[case::draining("Terminating")]
#[case::removed("Gone")]
fn a_drain_that_is_listed_during_a_connect_is_respected(#[case] state: &str) {
    let (mut endpoint, other) = (FullBacklogEndpoint::start(), Server::always("200 OK"));
    let known = endpoint_list(1, &[(7, endpoint.addr)]);
    let change = endpoint_list(5, &[(7, endpoint.addr), (7, other.addr)]).replacen("Ready", state, 1);
    let (signal, signal_received) = channel();
    let disco = delayed_discovery(change.replacen("true", "false", 1), signal_received);
    let daemon = Setup { settings_replacements: vec![LONG_CONNECT_TIMEOUT], ..setup(&disco, known) }.start();
    let first = start_hanging_connect(&daemon, &mut endpoint);
    signal.send(()).expect("discovery waits");
    daemon.wait_log("upstream group: version 5 lines=2");
    endpoint.drain_backlog();
    let second = endpoint.accept();
    other.wait_request("b");
    assert!(is_idle(&second), "nothing was sent to the endpoint that drains");
    write_response(&first, "200 OK", "");
    daemon.wait_log("attempt ended message=a outcome=Ok");
    daemon.wait_log("first byte message=b attempt=0");
}

/// A payout whose connect hung when the process was killed was never sent: it may go again.
#[test]
fn a_payout_that_hung_in_its_connect_at_a_kill_never_ran() {
    let mut endpoint = FullBacklogEndpoint::start();
    let known = endpoint_list(1, &[(7, endpoint.addr)]);
    let disco = start_discovery(known.clone());
    let mut daemon =
        Setup { settings_replacements: vec![LONG_CONNECT_TIMEOUT], ..setup(&disco, known) }.start();
    let first = start_hanging_connect(&daemon, &mut endpoint);
    daemon.kill();
    drop(first);
    endpoint.drain_backlog();
    daemon.restart();
    let call_b = loop {
        let socket = endpoint.accept();
        // A connect of the process that was killed may still stand in the queue.
        if let Some(heard) = read_http(&mut BufReader::new(&socket)) {
            write_response(&socket, "200 OK", "");
            break heard;
        }
    };
    assert_eq!(call_b.request_id(), "b");
    disco.wait_text(r#"{"id":"a","status":"undeliverable"}"#);
    daemon.wait_log("attempt ended message=b outcome=Ok");
}
