//! Takeover by a second process while messages arrive and calls are in flight.
mod stand;
use stand::*;
use std::fs::File;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Delays the endpoint's responses to requests whose id begins with `slow` until the gate is opened.
#[derive(Clone, Default)]
struct ResponseGate(Arc<(Mutex<bool>, Condvar)>);

impl ResponseGate {
    /// Blocks until the gate is open if `id` begins with `slow`.
    fn wait_if_slow(&self, id: &str) {
        let open = self.0 .0.lock().expect("lock");
        if id.starts_with("slow") {
            drop(self.0 .1.wait_timeout_while(open, EVENT_TIMEOUT, |open| !*open).expect("lock"));
        }
    }

    fn open(&self) {
        *self.0 .0.lock().expect("lock") = true;
        self.0 .1.notify_all();
    }
}

/// A forwarder's first process, its endpoint and its discovery server.
struct Fixture {
    gate: ResponseGate,
    endpoint: Server,
    discovery: Server,
    predecessor: Daemon,
}

/// Starts a forwarder with a management address, and an endpoint that answers slow requests with `slow_status` and
/// `slow_headers` once the gate is open.
fn start_fixture(slow_status: &'static str, slow_headers: &'static str) -> Fixture {
    let gate = ResponseGate::default();
    let endpoint_gate = gate.clone();
    let endpoint = Server::start(move |request, _| {
        endpoint_gate.wait_if_slow(request.request_id());
        match request.request_id().starts_with("slow") {
            true => respond(slow_status, slow_headers, ""),
            false => respond("200 OK", "", ""),
        }
    });
    let known = endpoint_list(1, &[(7, endpoint.addr)]);
    let discovery = start_discovery(known.clone());
    let env = vec![("RELAY_MGMT".to_string(), free_address().to_string())];
    let predecessor = Setup { env, ..setup(&discovery, known) }.start();
    Fixture { gate, endpoint, discovery, predecessor }
}

/// Starts a fixture with the call of the payout `slow-p` in flight.
fn start_with_payout_in_flight(slow_status: &'static str, slow_headers: &'static str) -> Fixture {
    let fixture = start_fixture(slow_status, slow_headers);
    assert_eq!(fixture.predecessor.submit("payout", "slow-p"), 202);
    fixture.endpoint.wait_request("slow-p");
    fixture
}

impl Fixture {
    /// Starts a second process; returns it and its management address.
    fn start_second(&self) -> (Daemon, SocketAddr) {
        let mgmt = free_address();
        (self.predecessor.start_second_process("RELAY_MGMT", &mgmt.to_string()), mgmt)
    }

    /// Starts a second process; returns it once it serves and the first process has released the journal.
    fn take_over(&self) -> Daemon {
        let (successor, mgmt) = self.start_second();
        successor.wait_log("ready:");
        self.predecessor.wait_log("handed over");
        let readyz = send_request(mgmt, b"GET /v1/readyz HTTP/1.1\r\nHost: o\r\n\r\n");
        assert_eq!(readyz.map(|response| response.status()), Some(200));
        successor
    }

    fn count_calls(&self, id: &str) -> usize {
        self.endpoint.received().iter().filter(|request| request.request_id() == id).count()
    }

    fn count_callbacks(&self, id: &str) -> usize {
        self.discovery.count_distinct_bodies(&format!(r#""id":"{id}""#))
    }
}

#[test]
fn requests_during_a_takeover_are_not_rejected_and_calls_in_flight_complete() {
    let fixture = start_fixture("200 OK", "");
    for n in 0..3 {
        assert_eq!(fixture.predecessor.submit("payout", &format!("slow-{n}")), 202);
        fixture.endpoint.wait_request(&format!("slow-{n}"));
    }
    let (done, addr) = (Arc::new(AtomicBool::new(false)), fixture.predecessor.addr);
    let clients: Vec<_> = (0..3)
        .map(|c| {
            let done = done.clone();
            thread::spawn(move || {
                let mut responses = Vec::new();
                while !done.load(Ordering::Relaxed) || responses.len() < 10 {
                    let (id, sent_at) = (format!("c{c}-{}", responses.len()), Instant::now());
                    let status = send_request(addr, &message_request("payout", &id, "20000m", ""))
                        .map(|response| response.status());
                    assert!(
                        sent_at.elapsed() < Duration::from_secs(2),
                        "{id} waited {:?}",
                        sent_at.elapsed()
                    );
                    responses.push((id, status));
                    thread::sleep(Duration::from_millis(2));
                }
                responses
            })
        })
        .collect();
    let successor = fixture.take_over();
    fixture.gate.open();
    successor.wait_log("outcome of a predecessor's call message=slow-2");
    done.store(true, Ordering::Relaxed);
    let responses: Vec<_> =
        clients.into_iter().flat_map(|client| client.join().expect("the client panicked")).collect();
    let rejected: Vec<_> = responses.iter().filter(|(_, status)| *status != Some(202)).collect();
    // A request on an open connection may be rejected with Retry-After if it arrives at the moment of the release.
    assert!(
        responses.len() > 20 && rejected.len() <= 2,
        "{} of {} requests rejected: {rejected:?}",
        rejected.len(),
        responses.len()
    );
    let accepted = responses.iter().filter(|(_, status)| *status == Some(202)).map(|(id, _)| id.clone());
    let accepted: Vec<String> = accepted.chain((0..3).map(|n| format!("slow-{n}"))).collect();
    fixture.endpoint.wait_until("each accepted payout", |all| {
        accepted.iter().all(|id| all.iter().any(|request| request.request_id() == id))
    });
    fixture.predecessor.terminate();
    let mut predecessor = fixture.predecessor;
    assert!(predecessor.wait_exit(EVENT_TIMEOUT).success());
    for id in &accepted {
        assert_eq!(
            fixture.endpoint.received().iter().filter(|request| request.request_id() == id).count(),
            1,
            "payout {id} was not sent exactly once"
        );
        assert_eq!(
            fixture.discovery.count_distinct_bodies(&format!(r#""id":"{id}""#)),
            0,
            "delivered payout {id} has a callback"
        );
    }
}

#[test]
fn messages_wait_for_a_predecessors_call_with_the_same_ordering_key() {
    let fixture = start_fixture("200 OK", "");
    let keyed = |id: &str| message_request("sync", id, "20000m", "X-Key: 00aa\r\n");
    assert_eq!(
        fixture.predecessor.send_request(&keyed("slow-1")).map(|response| response.status()),
        Some(202)
    );
    assert_eq!(
        fixture.predecessor.send_request(&keyed("second")).map(|response| response.status()),
        Some(202)
    );
    fixture.endpoint.wait_request("slow-1");
    let successor = fixture.take_over();
    assert_eq!(successor.send_request(&keyed("third")).map(|response| response.status()), Some(202));
    assert_eq!(successor.submit("stats", "unkeyed"), 202);
    fixture.endpoint.wait_request("unkeyed");
    assert_eq!(
        (fixture.count_calls("second"), fixture.count_calls("third")),
        (0, 0),
        "the first message with their key is still in flight"
    );
    fixture.gate.open();
    let all = fixture.endpoint.wait_until("both waiting messages", |all| {
        ["second", "third"].iter().all(|id| all.iter().any(|request| request.request_id() == *id))
    });
    let order: Vec<&str> = all.iter().map(HttpMessage::request_id).filter(|id| *id != "unkeyed").collect();
    assert_eq!(order, ["slow-1", "second", "third"]);
}

#[test]
fn an_at_most_once_message_of_a_killed_predecessor_is_undeliverable_and_never_sent_again() {
    let mut fixture = start_with_payout_in_flight("200 OK", "");
    let _successor = fixture.take_over();
    fixture.predecessor.kill();
    fixture.discovery.wait_text(r#"{"id":"slow-p","status":"undeliverable"}"#);
    assert_eq!(fixture.count_calls("slow-p"), 1);
}

#[test]
fn a_message_that_never_ran_at_the_predecessor_is_sent_by_the_successor() {
    let fixture = start_with_payout_in_flight("503 Full", "");
    let _successor = fixture.take_over();
    fixture.gate.open();
    fixture.endpoint.wait_until("the second attempt", |all| {
        all.iter().filter(|request| request.request_id() == "slow-p").count() >= 2
    });
}

#[test]
fn the_successor_obeys_a_retry_after_that_the_predecessor_received() {
    let fixture = start_with_payout_in_flight("429 Later", "Retry-After: 1.5\r\n");
    let successor = fixture.take_over();
    let before = successor.log().len();
    let responded_at = Instant::now();
    fixture.gate.open();
    successor.wait_log_from(before, "outcome of a predecessor's call message=slow-p how=NeverRan");
    assert_eq!(successor.submit("stats", "after"), 202);
    fixture.endpoint.wait_request("after");
    assert!(
        responded_at.elapsed() >= Duration::from_millis(1400),
        "sent {:?} after the Retry-After",
        responded_at.elapsed()
    );
}

#[test]
fn the_predecessor_serves_again_if_its_successor_requests_the_folder_and_never_starts() {
    let fixture = start_with_payout_in_flight("200 OK", "");
    let predecessor = &fixture.predecessor;
    // The successor's request for the folder, without a process that would take it over.
    let request =
        File::create(predecessor.folder.join("state/next")).expect("cannot create the request's file");
    request.lock().expect("cannot lock the request's file");
    predecessor.wait_log("handed over");
    fixture.gate.open();
    let handed_over_at = predecessor.log().find("handed over").expect("no `handed over` in the log");
    predecessor.wait_log_from(handed_over_at, "ready:");
    assert_eq!(predecessor.submit("stats", "a"), 202);
    fixture.endpoint.wait_request("a");
    drop(request);
    assert_eq!((fixture.count_calls("slow-p"), fixture.count_callbacks("slow-p")), (1, 0));
}

/// Guards against a refused client, seen once in about 70 runs. The second process dies so early that the first process
/// mostly does not see its request. Where it did, it closed its listener (`handing over` in its log) and opened a new one
/// only once it had found the request gone (`serving again`), 20 ms or more later. It now keeps its listener open, and the
/// second process listens only once it owns the folder. `tests/takeover_rounds.rs` kills the second process at any moment
/// while callers send.
#[test]
fn a_successor_killed_right_after_its_request_does_not_interrupt_service() {
    let fixture = start_fixture("200 OK", "");
    let (mut successor, _) = fixture.start_second();
    successor.wait_log("waiting for it");
    successor.kill();
    assert_eq!(fixture.predecessor.submit("stats", "a"), 202);
    fixture.endpoint.wait_request("a");
}

#[test]
fn the_predecessor_takes_over_again_from_a_killed_successor() {
    let fixture = start_fixture("200 OK", "");
    let mut successor = fixture.take_over();
    fixture.predecessor.wait_log("waiting for it");
    assert_eq!(successor.submit("payout", "slow-n"), 202);
    fixture.endpoint.wait_request("slow-n");
    let before = fixture.predecessor.log().len();
    successor.kill();
    fixture.predecessor.wait_log_from(before, "ready:");
    fixture.discovery.wait_text(r#"{"id":"slow-n","status":"undeliverable"}"#);
    assert_eq!(fixture.predecessor.submit("stats", "a"), 202);
    fixture.endpoint.wait_request("a");
    assert_eq!(fixture.count_calls("slow-n"), 1);
}

/// Guards against lost messages (review/10): a process that served again after its successor had died used the address of discovery
/// from before a reload, because the environment variable differed from the reloaded key.
#[test]
fn a_predecessor_that_serves_again_keeps_the_reloaded_discovery_address() {
    let endpoint = Server::always("500 Oops");
    let known = endpoint_list(1, &[(7, endpoint.addr)]);
    let (old, new) =
        (start_discovery(known.clone()), start_discovery(endpoint_list(2, &[(7, endpoint.addr)])));
    let variables = [("RELAY_MGMT", free_address()), ("RELAY_DISCOVERY", old.addr)];
    let env = variables.map(|(name, address)| (name.to_string(), address.to_string())).to_vec();
    let predecessor = Setup { env, ..setup(&old, known) }.start();
    predecessor.reload(&discovery_entry(&old), &discovery_entry(&new));
    predecessor.wait_log("upstream group: version 2");
    let mut successor = predecessor.start_second_process("RELAY_MGMT", &free_address().to_string());
    successor.wait_log("ready:");
    let log = predecessor.wait_log("handed over");
    let (log_before_the_kill, requests_to_old) = (log.len(), old.received().len());
    successor.kill();
    predecessor.wait_log_from(log_before_the_kill, "ready:");
    assert_eq!(predecessor.submit("payout", "p1"), 202);
    new.wait_text(r#"{"id":"p1","status":"undeliverable"}"#);
    let to_old = old.received().split_off(requests_to_old);
    assert!(to_old.iter().all(|request| !request.text().contains("p1")), "{to_old:?}");
}

#[test]
fn without_a_management_address_a_second_process_waits_until_the_first_has_ended() {
    let endpoint = Server::always("200 OK");
    let known = endpoint_list(1, &[(7, endpoint.addr)]);
    let discovery = start_discovery(known.clone());
    let mut first = setup(&discovery, known).start();
    let second = first.start_second_process("MICALADDER_LOG_BURST", "0");
    second.wait_log("another process owns the folder");
    assert_eq!(first.submit("stats", "a"), 202);
    first.kill();
    second.wait_log("ready:");
    assert_eq!(second.submit("stats", "b"), 202);
    endpoint.wait_request("b");
}
