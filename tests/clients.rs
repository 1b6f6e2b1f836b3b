//! Clients that send invalid requests, are slow or silent, or are too many: each gets an error or a close, and the
//! others are served.
mod stand;
use rstest::rstest;
use stand::*;
use std::io::{BufReader, ErrorKind, Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::Arc;
use std::time::{Duration, Instant};

fn start(endpoint: &Server, sockets: u32) -> (Server, Daemon) {
    let known = endpoint_list(1, &[(7, endpoint.addr)]);
    let disco = start_discovery(known.clone());
    let daemon = Setup { sockets, ..setup(&disco, known) }.start();
    (disco, daemon)
}

/// Everything that arrives until the connection is closed or reset.
fn read_until_close(socket: &mut TcpStream) -> String {
    let mut all = Vec::new();
    match socket.read_to_end(&mut all) {
        Err(e) if e.kind() != ErrorKind::ConnectionReset => panic!("neither a response nor a close: {e}"),
        _ => String::from_utf8_lossy(&all).into_owned(),
    }
}

const CHUNKED: &str = "Transfer-Encoding: chunked\r\n";
const HIDDEN: &str = "0\r\n\r\nPOST /stats HTTP/1.1\r\nX-Request-Id: hidden\r\nX-Class: stats\r\nX-Tenant: t\r\nX-Deadline: 9000m\r\nX-Envelope: dest=7\r\nContent-Length: 0\r\n\r\n";

#[rstest]
#[case::silent("", "")]
#[case::half_a_head("POST /stats HTTP/1.1\r\nX-Req", "")]
#[case::no_http("\x16\x03\x01 hello\r\n\r\n", "400")]
#[case::head_without_end(&format!("POST /stats HTTP/1.1\r\n{}", "x-pad: p\r\n".repeat(4000)), "431")]
#[case::body_without_end(&plain("Content-Length: 300\r\n", "abc"), "408")]
#[case::negative(&plain("Content-Length: -5\r\n", ""), "400")]
#[case::no_number(&plain("Content-Length: five\r\n", ""), "400")]
#[case::huge(&plain("Content-Length: 18446744073709551615\r\n", ""), "4")]
#[case::too_long(&plain("Content-Length: 60000000\r\n", ""), "413")]
#[case::differing(&plain("Content-Length: 5\r\nContent-Length: 6\r\n", "abcdef"), "400")]
#[case::length_and_encoding(&plain(&format!("Content-Length: {}\r\n{CHUNKED}", HIDDEN.len()), HIDDEN), "400")]
#[case::encoding_and_length(&plain(&format!("{CHUNKED}Content-Length: {}\r\n", HIDDEN.len()), HIDDEN), "400")]
#[case::chunks_too_long(&plain(CHUNKED, &format!("11171\r\n{}", "x".repeat(70_001))), "413")]
fn an_invalid_request_gets_an_error_or_a_close_and_is_not_forwarded(
    #[case] text: &str, #[case] status: &str,
) {
    let endpoint = Server::always("200 OK");
    let (_disco, daemon) = start(&endpoint, 1024);
    let begun = Instant::now();
    let mut socket = daemon.connect();
    // The rest may find the connection closed.
    let _ = socket.write_all(text.as_bytes());
    let response = read_until_close(&mut socket);
    assert!(begun.elapsed() < Duration::from_millis(2700), "{:?}", begun.elapsed());
    let line = response.lines().next().unwrap_or_default();
    assert!(line.strip_prefix("HTTP/1.1 ").unwrap_or_default().starts_with(status), "{response}");
    assert_eq!(response.matches("HTTP/1.1").count(), usize::from(!status.is_empty()));
    assert_eq!(daemon.submit("stats", "good"), 202);
    endpoint.wait_request("good");
    assert_eq!(endpoint.received().len(), 1);
}

fn plain(more: &str, body: &str) -> String {
    format!("POST /stats HTTP/1.1\r\nX-Request-Id: bad\r\nX-Class: stats\r\nX-Tenant: t\r\nX-Deadline: 9000m\r\nX-Envelope: dest=7\r\n{more}\r\n{body}")
}

/// A chunked body without Content-Length is valid, also after another request; its connection closes with its response.
#[test]
fn a_chunked_body_is_accepted() {
    let endpoint = Server::always("200 OK");
    let (_disco, daemon) = start(&endpoint, 1024);
    let mut socket = daemon.connect();
    socket.write_all(&message_request("stats", "c1", "9000m", "")).expect("written");
    let mut reader = BufReader::new(socket.try_clone().expect("a handle"));
    assert_eq!(read_http(&mut reader).map(|h| h.status()), Some(202));
    socket.write_all(plain(CHUNKED, "3\r\nabc\r\n0\r\n\r\n").as_bytes()).expect("written");
    let answer = read_http(&mut reader).expect("an answer");
    assert_eq!((answer.status(), answer.header("connection")), (202, Some("close")));
    assert_eq!(endpoint.wait_request("bad").text(), "abc");
}

/// A third of the descriptors is for clients. Connections that are silent, or stay open after a response, block no
/// other.
#[rstest]
#[case::silent(false)]
#[case::staying(true)]
fn silent_and_idle_connections_do_not_block_new_ones(#[case] ask: bool) {
    let endpoint = Server::always("200 OK");
    let (_disco, daemon) = start(&endpoint, 60);
    daemon.limit_descriptors(60);
    let mut open = Vec::new();
    for n in 0..60 {
        let mut socket = daemon.connect();
        if ask {
            socket.write_all(&message_request("stats", &format!("s{n}"), "9000m", "")).expect("written");
            let answer = read_http(&mut BufReader::new(socket.try_clone().expect("a handle")));
            assert_eq!(answer.map(|h| h.status()), Some(202));
        }
        open.push(socket);
    }
    let begun = Instant::now();
    assert_eq!(daemon.submit("stats", "last"), 202);
    assert!(begun.elapsed() < Duration::from_millis(1000), "{:?}", begun.elapsed());
}

/// Idle clients use up their share of the descriptors while discovery is down: the rest is enough for the journal, the
/// endpoints and the next polls, and the list arrives once discovery is back.
#[test]
fn idle_clients_leave_descriptors_for_other_uses_while_discovery_is_down() {
    let (old, new) = (Server::always("200 OK"), Server::always("200 OK"));
    let fresh = endpoint_list(2, &[(7, new.addr)]).replace("s-0", "s-1");
    let back = Arc::new(AtomicBool::new(false));
    let is_back = back.clone();
    let disco =
        Server::start(move |heard, _| match (heard.start_line.starts_with("GET"), is_back.load(Relaxed)) {
            (false, _) => respond("204 No Content", "", ""),
            (true, false) => Reply::Close,
            (true, true) => watch_response(&fresh),
        });
    let daemon = Setup { sockets: 60, ..setup(&disco, endpoint_list(1, &[(7, old.addr)])) }.start();
    daemon.limit_descriptors(60);
    let open: Vec<_> = (0..60).map(|_| daemon.connect()).collect();
    assert_eq!(daemon.submit("stats", "meanwhile"), 202);
    old.wait_request("meanwhile");
    assert!(daemon.open_descriptors() < 60, "{}", daemon.open_descriptors());
    back.store(true, Relaxed);
    daemon.wait_log("upstream group: version 2");
    assert_eq!(daemon.submit("stats", "after"), 202);
    new.wait_request("after");
    assert!(!daemon.log().contains("cannot accept client connections"), "descriptors are left");
    drop(open);
}

/// Before the first endpoint list the destinations are unknown: messages are rejected, and may be repeated after the
/// list.
#[test]
fn without_an_endpoint_list_a_message_is_rejected_and_not_failed() {
    let endpoint = Server::always("200 OK");
    let back = Arc::new(AtomicBool::new(false));
    let (is_back, fresh) = (back.clone(), endpoint_list(2, &[(7, endpoint.addr)]));
    let disco = Server::start(move |_, _| match is_back.load(Relaxed) {
        false => Reply::Close,
        true => watch_response(&fresh),
    });
    let daemon = setup(&disco, endpoint_list(1, &[])).start();
    let early = daemon.send_request(&message_request("stats", "early", "9000m", "")).expect("an answer");
    assert_eq!((early.status(), early.header("retry-after")), (503, Some("1.000")));
    back.store(true, Relaxed);
    daemon.wait_log("upstream group: version 2");
    assert_eq!(daemon.submit("stats", "early"), 202);
    let other = String::from_utf8(message_request("stats", "other", "9000m", "")).expect("text");
    assert_eq!(
        daemon.send_request(other.replace("dest=7", "dest=8").as_bytes()).map(|h| h.status()),
        Some(404)
    );
}

#[test]
fn service_goes_on_after_descriptors_run_out() {
    let endpoint = Server::always("200 OK");
    let (_disco, mut daemon) = start(&endpoint, 1024);
    assert_eq!(daemon.submit("stats", "d1"), 202);
    endpoint.wait_request("d1");
    daemon.limit_descriptors(30);
    let open: Vec<_> = (0..60).map(|_| daemon.connect()).collect();
    daemon.wait_log("cannot accept client connections");
    drop(open);
    assert_eq!(daemon.submit("stats", "d2"), 202);
    assert!(daemon.is_running());
    assert!(daemon.log().matches("cannot accept client connections").count() < 200);
}

#[test]
fn a_client_that_does_not_read_is_closed() {
    let endpoint = Server::always("200 OK");
    let (_disco, daemon) = start(&endpoint, 1024);
    let mut socket = daemon.connect();
    socket.set_write_timeout(Some(EVENT_TIMEOUT)).expect("a time-out");
    let asks = "GET /nothing/here HTTP/1.1\r\n\r\n".repeat(1000);
    let end = (0..).find_map(|_| socket.write_all(asks.as_bytes()).err()).expect("an end");
    assert!(matches!(end.kind(), ErrorKind::ConnectionReset | ErrorKind::BrokenPipe), "{end}");
}

/// A message with the id of a pending one does not affect that one.
#[test]
fn another_message_with_the_id_of_a_pending_one_is_rejected() {
    let endpoint = Server::start(|_, _| Reply::RespondAndHold(String::new()));
    let (_disco, daemon) = start(&endpoint, 1024);
    assert_eq!(daemon.submit("payout", "i1"), 202);
    let other = String::from_utf8(message_request("payout", "i1", "9000m", "")).expect("text");
    let other = other.replace("body of i1", "body of xx");
    assert_eq!(daemon.send_request(other.as_bytes()).map(|h| h.status()), Some(503));
    assert_eq!(daemon.submit("payout", "i1"), 202);
    assert_eq!(endpoint.wait_request("i1").text(), "body of i1");
}
