//! Clients that send invalid requests, are slow or silent, or are too numerous: each such client gets an error or a closed
//! connection, and other clients are served.
mod stand;
use rstest::rstest;
use stand::*;
use std::io::{BufReader, ErrorKind, Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::Arc;
use std::time::{Duration, Instant};

fn start_daemon(endpoint: &Server, sockets: u32) -> (Server, Daemon) {
    let endpoints = endpoint_list(1, &[(7, endpoint.addr)]);
    let discovery = start_discovery(endpoints.clone());
    let daemon = Setup { sockets, ..setup(&discovery, endpoints) }.start();
    (discovery, daemon)
}

/// Returns all bytes that arrive until the connection is closed or reset.
fn read_until_close(socket: &mut TcpStream) -> String {
    let mut received = Vec::new();
    match socket.read_to_end(&mut received) {
        Err(e) if e.kind() != ErrorKind::ConnectionReset => panic!("neither a response nor a close: {e}"),
        _ => String::from_utf8_lossy(&received).into_owned(),
    }
}

const CHUNKED: &str = "Transfer-Encoding: chunked\r\n";
/// A request in the body of another one, which must not be read as a request.
const SMUGGLED_REQUEST: &str = "0\r\n\r\nPOST /stats HTTP/1.1\r\nX-Request-Id: hidden\r\nX-Class: stats\r\nX-Tenant: t\r\nX-Deadline: 9000m\r\nX-Envelope: dest=7\r\nContent-Length: 0\r\n\r\n";

#[rstest]
#[case::silent("", "")]
#[case::partial_head("POST /stats HTTP/1.1\r\nX-Req", "")]
#[case::not_http("\x16\x03\x01 hello\r\n\r\n", "400")]
#[case::head_over_the_limit(&format!("POST /stats HTTP/1.1\r\n{}", "x-pad: p\r\n".repeat(4000)), "431")]
#[case::incomplete_body(&request_with("Content-Length: 300\r\n", "abc"), "408")]
#[case::negative_length(&request_with("Content-Length: -5\r\n", ""), "400")]
#[case::length_not_a_number(&request_with("Content-Length: five\r\n", ""), "400")]
#[case::length_over_64_bits(&request_with("Content-Length: 18446744073709551615\r\n", ""), "4")]
#[case::length_over_the_limit(&request_with("Content-Length: 60000000\r\n", ""), "413")]
#[case::conflicting_lengths(&request_with("Content-Length: 5\r\nContent-Length: 6\r\n", "abcdef"), "400")]
#[case::length_before_encoding(&request_with(&format!("Content-Length: {}\r\n{CHUNKED}", SMUGGLED_REQUEST.len()), SMUGGLED_REQUEST), "400")]
#[case::encoding_before_length(&request_with(&format!("{CHUNKED}Content-Length: {}\r\n", SMUGGLED_REQUEST.len()), SMUGGLED_REQUEST), "400")]
#[case::chunks_over_the_limit(&request_with(CHUNKED, &format!("11171\r\n{}", "x".repeat(70_001))), "413")]
fn answers_or_closes_on_an_invalid_request_and_does_not_forward_it(
    #[case] request: &str, #[case] status: &str,
) {
    let endpoint = Server::always("200 OK");
    let (_discovery, daemon) = start_daemon(&endpoint, 1024);
    let started_at = Instant::now();
    let mut socket = daemon.connect();
    // The daemon may close the connection before it has read the whole request.
    let _ = socket.write_all(request.as_bytes());
    let response = read_until_close(&mut socket);
    assert!(started_at.elapsed() < Duration::from_millis(2700), "{:?}", started_at.elapsed());
    let status_line = response.lines().next().unwrap_or_default();
    assert!(status_line.strip_prefix("HTTP/1.1 ").unwrap_or_default().starts_with(status), "{response}");
    assert_eq!(response.matches("HTTP/1.1").count(), usize::from(!status.is_empty()));
    assert_eq!(daemon.submit("stats", "good"), 202);
    endpoint.wait_request("good");
    assert_eq!(endpoint.received().len(), 1);
}

/// Returns a request with the required headers, these extra headers and this body.
fn request_with(extra_headers: &str, body: &str) -> String {
    format!("POST /stats HTTP/1.1\r\nX-Request-Id: bad\r\nX-Class: stats\r\nX-Tenant: t\r\nX-Deadline: 9000m\r\nX-Envelope: dest=7\r\n{extra_headers}\r\n{body}")
}

/// A chunked body without Content-Length is valid, also after another request on the connection. The response closes the
/// connection.
#[test]
fn accepts_a_chunked_body_and_closes_the_connection() {
    let endpoint = Server::always("200 OK");
    let (_discovery, daemon) = start_daemon(&endpoint, 1024);
    let mut socket = daemon.connect();
    socket.write_all(&message_request("stats", "c1", "9000m", "")).expect("write the request");
    let mut reader = BufReader::new(socket.try_clone().expect("clone the socket"));
    assert_eq!(read_http(&mut reader).map(|response| response.status()), Some(202));
    socket.write_all(request_with(CHUNKED, "3\r\nabc\r\n0\r\n\r\n").as_bytes()).expect("write the request");
    let response = read_http(&mut reader).expect("a response");
    assert_eq!((response.status(), response.header("connection")), (202, Some("close")));
    assert_eq!(endpoint.wait_request("bad").text(), "abc");
}

/// A third of the descriptors is for clients. Connections that send nothing, or stay open after a response, must not use up
/// this share.
#[rstest]
#[case::silent(false)]
#[case::idle(true)]
fn silent_and_idle_connections_do_not_block_new_ones(#[case] sends_request: bool) {
    let endpoint = Server::always("200 OK");
    let (_discovery, daemon) = start_daemon(&endpoint, 60);
    daemon.limit_descriptors(60);
    let mut open = Vec::new();
    for n in 0..60 {
        let mut socket = daemon.connect();
        if sends_request {
            socket
                .write_all(&message_request("stats", &format!("s{n}"), "9000m", ""))
                .expect("write the request");
            let response = read_http(&mut BufReader::new(socket.try_clone().expect("clone the socket")));
            assert_eq!(response.map(|r| r.status()), Some(202));
        }
        open.push(socket);
    }
    let started_at = Instant::now();
    assert_eq!(daemon.submit("stats", "last"), 202);
    assert!(started_at.elapsed() < Duration::from_millis(1000), "{:?}", started_at.elapsed());
}

/// Idle clients use up their share of the descriptors while discovery is down. The other descriptors must be enough for the
/// journal, the endpoints and the next polls, so that the list arrives once discovery is up again.
#[test]
fn idle_clients_leave_descriptors_for_other_uses_while_discovery_is_down() {
    let (old_endpoint, new_endpoint) = (Server::always("200 OK"), Server::always("200 OK"));
    let new_list = endpoint_list(2, &[(7, new_endpoint.addr)]).replace("s-0", "s-1");
    let discovery_up = Arc::new(AtomicBool::new(false));
    let is_up = discovery_up.clone();
    let discovery =
        Server::start(move |request, _| match (request.start_line.starts_with("GET"), is_up.load(Relaxed)) {
            (false, _) => respond("204 No Content", "", ""),
            (true, false) => Reply::Close,
            (true, true) => watch_response(&new_list),
        });
    let daemon =
        Setup { sockets: 60, ..setup(&discovery, endpoint_list(1, &[(7, old_endpoint.addr)])) }.start();
    daemon.limit_descriptors(60);
    let open: Vec<_> = (0..60).map(|_| daemon.connect()).collect();
    assert_eq!(daemon.submit("stats", "meanwhile"), 202);
    old_endpoint.wait_request("meanwhile");
    assert!(daemon.open_descriptors() < 60, "{}", daemon.open_descriptors());
    discovery_up.store(true, Relaxed);
    daemon.wait_log("upstream group: version 2");
    assert_eq!(daemon.submit("stats", "after"), 202);
    new_endpoint.wait_request("after");
    assert!(!daemon.log().contains("cannot accept client connections"), "the daemon ran out of descriptors");
    drop(open);
}

/// Before the first endpoint list arrives, no destination is known. A 503 lets the client repeat the message later; a 404
/// would fail it for good.
#[test]
fn rejects_messages_with_503_until_the_first_endpoint_list_arrives() {
    let endpoint = Server::always("200 OK");
    let discovery_up = Arc::new(AtomicBool::new(false));
    let (is_up, first_list) = (discovery_up.clone(), endpoint_list(2, &[(7, endpoint.addr)]));
    let discovery = Server::start(move |_, _| match is_up.load(Relaxed) {
        false => Reply::Close,
        true => watch_response(&first_list),
    });
    let daemon = setup(&discovery, endpoint_list(1, &[])).start();
    let response = daemon.send_request(&message_request("stats", "early", "9000m", "")).expect("a response");
    assert_eq!((response.status(), response.header("retry-after")), (503, Some("1.000")));
    discovery_up.store(true, Relaxed);
    daemon.wait_log("upstream group: version 2");
    assert_eq!(daemon.submit("stats", "early"), 202);
    let request = String::from_utf8(message_request("stats", "other", "9000m", "")).expect("UTF-8");
    let unknown_destination = request.replace("dest=7", "dest=8");
    assert_eq!(daemon.send_request(unknown_destination.as_bytes()).map(|r| r.status()), Some(404));
}

#[test]
fn accepts_messages_again_after_descriptors_run_out() {
    let endpoint = Server::always("200 OK");
    let (_discovery, mut daemon) = start_daemon(&endpoint, 1024);
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
fn closes_the_connection_of_a_client_that_does_not_read() {
    let endpoint = Server::always("200 OK");
    let (_discovery, daemon) = start_daemon(&endpoint, 1024);
    let mut socket = daemon.connect();
    socket.set_write_timeout(Some(EVENT_TIMEOUT)).expect("set the write timeout");
    let requests = "GET /nothing/here HTTP/1.1\r\n\r\n".repeat(1000);
    let error = (0..).find_map(|_| socket.write_all(requests.as_bytes()).err()).expect("a write error");
    assert!(matches!(error.kind(), ErrorKind::ConnectionReset | ErrorKind::BrokenPipe), "{error}");
}

/// A different message with the id of a pending message must not change the pending one.
#[test]
fn rejects_a_different_message_with_the_id_of_a_pending_one() {
    let endpoint = Server::start(|_, _| Reply::RespondAndHold(String::new()));
    let (_discovery, daemon) = start_daemon(&endpoint, 1024);
    assert_eq!(daemon.submit("payout", "i1"), 202);
    let request = String::from_utf8(message_request("payout", "i1", "9000m", "")).expect("UTF-8");
    let different = request.replace("body of i1", "body of xx");
    assert_eq!(daemon.send_request(different.as_bytes()).map(|r| r.status()), Some(503));
    assert_eq!(daemon.submit("payout", "i1"), 202);
    assert_eq!(endpoint.wait_request("i1").text(), "body of i1");
}
