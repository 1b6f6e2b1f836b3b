//! Clients that are bad, slow, silent or too many: each hears an error or a close, and the others are served.
mod stand;
use rstest::rstest;
use stand::*;
use std::io::{BufReader, ErrorKind, Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::Arc;
use std::time::{Duration, Instant};

fn start(endpoint: &Server, sockets: u32) -> (Server, Daemon) {
    let known = list(1, &[(7, endpoint.addr)]);
    let disco = discovery(known.clone());
    let daemon = Setup { sockets, ..setup(&disco, known) }.start();
    (disco, daemon)
}

/// Everything that comes until the connection is closed, in any way.
fn read_out(socket: &mut TcpStream) -> String {
    let mut all = Vec::new();
    match socket.read_to_end(&mut all) {
        Err(e) if e.kind() != ErrorKind::ConnectionReset => panic!("neither a word nor a close: {e}"),
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
fn it_hears_an_error_or_a_close_and_nothing_is_passed_on(#[case] text: &str, #[case] status: &str) {
    let endpoint = Server::always("200 OK");
    let (_disco, daemon) = start(&endpoint, 1024);
    let begun = Instant::now();
    let mut socket = daemon.connect();
    // The rest may find the connection closed.
    let _ = socket.write_all(text.as_bytes());
    let heard = read_out(&mut socket);
    assert!(begun.elapsed() < Duration::from_millis(2700), "{:?}", begun.elapsed());
    let line = heard.lines().next().unwrap_or_default();
    assert!(line.strip_prefix("HTTP/1.1 ").unwrap_or_default().starts_with(status), "{heard}");
    assert_eq!(heard.matches("HTTP/1.1").count(), usize::from(!status.is_empty()));
    assert_eq!(daemon.hand_in("stats", "good"), 202);
    endpoint.wait_id("good");
    assert_eq!(endpoint.heard().len(), 1);
}

fn plain(more: &str, body: &str) -> String {
    format!("POST /stats HTTP/1.1\r\nX-Request-Id: bad\r\nX-Class: stats\r\nX-Tenant: t\r\nX-Deadline: 9000m\r\nX-Envelope: dest=7\r\n{more}\r\n{body}")
}

/// A chunked body alone is good, also behind another request; its connection ends with its answer.
#[test]
fn a_chunked_body_is_taken_on() {
    let endpoint = Server::always("200 OK");
    let (_disco, daemon) = start(&endpoint, 1024);
    let mut socket = daemon.connect();
    socket.write_all(&message("stats", "c1", "9000m", "")).expect("written");
    let mut reader = BufReader::new(socket.try_clone().expect("a handle"));
    assert_eq!(read_http(&mut reader).map(|h| h.status()), Some(202));
    socket.write_all(plain(CHUNKED, "3\r\nabc\r\n0\r\n\r\n").as_bytes()).expect("written");
    let answer = read_http(&mut reader).expect("an answer");
    assert_eq!((answer.status(), answer.header("connection")), (202, Some("close")));
    assert_eq!(endpoint.wait_id("bad").text(), "abc");
}

/// A third of the descriptors is for clients. Those that say nothing, or stay once they had an answer, keep no
/// other out.
#[rstest]
#[case::silent(false)]
#[case::staying(true)]
fn connections_that_stand_open_keep_nobody_out(#[case] ask: bool) {
    let endpoint = Server::always("200 OK");
    let (_disco, daemon) = start(&endpoint, 60);
    daemon.descriptors(60);
    let mut open = Vec::new();
    for n in 0..60 {
        let mut socket = daemon.connect();
        if ask {
            socket.write_all(&message("stats", &format!("s{n}"), "9000m", "")).expect("written");
            let answer = read_http(&mut BufReader::new(socket.try_clone().expect("a handle")));
            assert_eq!(answer.map(|h| h.status()), Some(202));
        }
        open.push(socket);
    }
    let begun = Instant::now();
    assert_eq!(daemon.hand_in("stats", "last"), 202);
    assert!(begun.elapsed() < Duration::from_millis(1000), "{:?}", begun.elapsed());
}

/// Idle clients fill their share of the descriptors while discovery is down: what is left serves the journal, the
/// endpoints and the next asks, and the list comes through once discovery is back.
#[test]
fn idle_clients_leave_descriptors_for_all_else_while_discovery_is_down() {
    let (old, new) = (Server::always("200 OK"), Server::always("200 OK"));
    let fresh = list(2, &[(7, new.addr)]).replace("s-0", "s-1");
    let back = Arc::new(AtomicBool::new(false));
    let is_back = back.clone();
    let disco =
        Server::start(move |heard, _| match (heard.first.starts_with("GET"), is_back.load(Relaxed)) {
            (false, _) => say("204 No Content", "", ""),
            (true, false) => Reply::Cut,
            (true, true) => watch(&fresh),
        });
    let daemon = Setup { sockets: 60, ..setup(&disco, list(1, &[(7, old.addr)])) }.start();
    daemon.descriptors(60);
    let open: Vec<_> = (0..60).map(|_| daemon.connect()).collect();
    assert_eq!(daemon.hand_in("stats", "meanwhile"), 202);
    old.wait_id("meanwhile");
    assert!(daemon.held_descriptors() < 60, "{}", daemon.held_descriptors());
    back.store(true, Relaxed);
    daemon.wait_log("upstream group: version 2");
    assert_eq!(daemon.hand_in("stats", "after"), 202);
    new.wait_id("after");
    assert!(!daemon.log().contains("cannot accept client connections"), "descriptors are left");
    drop(open);
}

/// Before the first list nobody knows which destinations there are: coming again is harmless, and the first list answers.
#[test]
fn without_any_list_a_message_is_refused_and_not_failed() {
    let endpoint = Server::always("200 OK");
    let back = Arc::new(AtomicBool::new(false));
    let (is_back, fresh) = (back.clone(), list(2, &[(7, endpoint.addr)]));
    let disco = Server::start(move |_, _| match is_back.load(Relaxed) {
        false => Reply::Cut,
        true => watch(&fresh),
    });
    let daemon = setup(&disco, list(1, &[])).start();
    let early = daemon.ask(&message("stats", "early", "9000m", "")).expect("an answer");
    assert_eq!((early.status(), early.header("retry-after")), (503, Some("1.000")));
    back.store(true, Relaxed);
    daemon.wait_log("upstream group: version 2");
    assert_eq!(daemon.hand_in("stats", "early"), 202);
    let other = String::from_utf8(message("stats", "other", "9000m", "")).expect("text");
    assert_eq!(daemon.ask(other.replace("dest=7", "dest=8").as_bytes()).map(|h| h.status()), Some(404));
}

#[test]
fn it_goes_on_when_descriptors_run_out() {
    let endpoint = Server::always("200 OK");
    let (_disco, mut daemon) = start(&endpoint, 1024);
    assert_eq!(daemon.hand_in("stats", "d1"), 202);
    endpoint.wait_id("d1");
    daemon.descriptors(30);
    let open: Vec<_> = (0..60).map(|_| daemon.connect()).collect();
    daemon.wait_log("cannot accept client connections");
    drop(open);
    assert_eq!(daemon.hand_in("stats", "d2"), 202);
    assert!(daemon.runs());
    assert!(daemon.log().matches("cannot accept client connections").count() < 200);
}

#[test]
fn a_client_that_does_not_read_is_closed() {
    let endpoint = Server::always("200 OK");
    let (_disco, daemon) = start(&endpoint, 1024);
    let mut socket = daemon.connect();
    socket.set_write_timeout(Some(PATIENCE)).expect("a time-out");
    let asks = "GET /nothing/here HTTP/1.1\r\n\r\n".repeat(1000);
    let end = (0..).find_map(|_| socket.write_all(asks.as_bytes()).err()).expect("an end");
    assert!(matches!(end.kind(), ErrorKind::ConnectionReset | ErrorKind::BrokenPipe), "{end}");
}

/// Whoever uses the id of an open request does not get in the way of that one.
#[test]
fn another_message_under_the_id_of_an_open_one_is_turned_away() {
    let endpoint = Server::start(|_, _| Reply::Hold(String::new()));
    let (_disco, daemon) = start(&endpoint, 1024);
    assert_eq!(daemon.hand_in("payout", "i1"), 202);
    let other = String::from_utf8(message("payout", "i1", "9000m", "")).expect("text");
    let other = other.replace("body of i1", "body of xx");
    assert_eq!(daemon.ask(other.as_bytes()).map(|h| h.status()), Some(503));
    assert_eq!(daemon.hand_in("payout", "i1"), 202);
    assert_eq!(endpoint.wait_id("i1").text(), "body of i1");
}
