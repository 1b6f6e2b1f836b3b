//! Takeover by a second process, while messages arrive and calls are in flight.
mod stand;
use stand::*;
use std::fs::File;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Holds back the answers to requests whose id begins with `slow`, until it is opened.
#[derive(Clone, Default)]
struct Gate(Arc<(Mutex<bool>, Condvar)>);

impl Gate {
    fn pass(&self, id: &str) {
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

struct Scene {
    gate: Gate,
    endpoint: Server,
    disco: Server,
    old: Daemon,
}

/// A forwarder with a management address, and an endpoint that answers slow requests like this once the gate is open.
fn scene(slow: &'static str, headers: &'static str) -> Scene {
    let gate = Gate::default();
    let mine = gate.clone();
    let endpoint = Server::start(move |heard, _| {
        mine.pass(heard.request_id());
        match heard.request_id().starts_with("slow") {
            true => respond(slow, headers, ""),
            false => respond("200 OK", "", ""),
        }
    });
    let known = endpoint_list(1, &[(7, endpoint.addr)]);
    let disco = start_discovery(known.clone());
    let env = vec![("RELAY_MGMT".to_string(), free_address().to_string())];
    let old = Setup { env, ..setup(&disco, known) }.start();
    Scene { gate, endpoint, disco, old }
}

/// The same with the call of the payout `slow-p` in flight.
fn scene_with_payout_in_flight(slow: &'static str, headers: &'static str) -> Scene {
    let s = scene(slow, headers);
    assert_eq!(s.old.submit("payout", "slow-p"), 202);
    s.endpoint.wait_request("slow-p");
    s
}

impl Scene {
    fn second(&self) -> (Daemon, SocketAddr) {
        let mgmt = free_address();
        (self.old.start_second_process("RELAY_MGMT", &mgmt.to_string()), mgmt)
    }

    /// A second process, once it serves and the first has released the journal.
    fn take_over(&self) -> Daemon {
        let (new, mgmt) = self.second();
        new.wait_log("ready:");
        self.old.wait_log("handed over");
        assert_eq!(
            send_request(mgmt, b"GET /v1/readyz HTTP/1.1\r\nHost: o\r\n\r\n").map(|h| h.status()),
            Some(200)
        );
        new
    }

    fn calls(&self, id: &str) -> usize {
        self.endpoint.received().iter().filter(|h| h.request_id() == id).count()
    }

    fn callbacks(&self, id: &str) -> usize {
        self.disco.count_distinct_bodies(&format!(r#""id":"{id}""#))
    }
}

#[test]
fn requests_during_a_takeover_are_not_rejected_and_calls_in_flight_complete() {
    let s = scene("200 OK", "");
    for n in 0..3 {
        assert_eq!(s.old.submit("payout", &format!("slow-{n}")), 202);
        s.endpoint.wait_request(&format!("slow-{n}"));
    }
    let (done, addr) = (Arc::new(AtomicBool::new(false)), s.old.addr);
    let clients: Vec<_> = (0..3)
        .map(|c| {
            let done = done.clone();
            thread::spawn(move || {
                let mut all = Vec::new();
                while !done.load(Ordering::Relaxed) || all.len() < 10 {
                    let (id, begun) = (format!("c{c}-{}", all.len()), Instant::now());
                    let status =
                        send_request(addr, &message_request("payout", &id, "20000m", "")).map(|h| h.status());
                    assert!(begun.elapsed() < Duration::from_secs(2), "{id} waited {:?}", begun.elapsed());
                    all.push((id, status));
                    thread::sleep(Duration::from_millis(2));
                }
                all
            })
        })
        .collect();
    let new = s.take_over();
    s.gate.open();
    new.wait_log("outcome of a predecessor's call message=slow-2");
    done.store(true, Ordering::Relaxed);
    let all: Vec<_> = clients.into_iter().flat_map(|c| c.join().expect("a client")).collect();
    let rejected: Vec<_> = all.iter().filter(|(_, s)| *s != Some(202)).collect();
    // A request on an open connection at the very moment of the release may be rejected with Retry-After.
    assert!(all.len() > 20 && rejected.len() <= 2, "{} of {}: {rejected:?}", rejected.len(), all.len());
    let taken = all.iter().filter(|(_, s)| *s == Some(202)).map(|(id, _)| id.clone());
    let taken: Vec<String> = taken.chain((0..3).map(|n| format!("slow-{n}"))).collect();
    s.endpoint
        .wait_until("each of them", |all| taken.iter().all(|id| all.iter().any(|h| h.request_id() == id)));
    s.old.terminate();
    let mut old = s.old;
    assert!(old.wait_exit(EVENT_TIMEOUT).success());
    for id in &taken {
        assert_eq!(
            s.endpoint.received().iter().filter(|h| h.request_id() == id).count(),
            1,
            "a payout came twice: {id}"
        );
        assert_eq!(s.disco.count_distinct_bodies(&format!(r#""id":"{id}""#)), 0, "{id} was delivered");
    }
}

#[test]
fn an_ordering_key_waits_for_the_call_of_the_predecessor() {
    let s = scene("200 OK", "");
    let keyed = |id: &str| message_request("sync", id, "20000m", "X-Key: 00aa\r\n");
    assert_eq!(s.old.send_request(&keyed("slow-1")).map(|h| h.status()), Some(202));
    assert_eq!(s.old.send_request(&keyed("held")).map(|h| h.status()), Some(202));
    s.endpoint.wait_request("slow-1");
    let new = s.take_over();
    assert_eq!(new.send_request(&keyed("second")).map(|h| h.status()), Some(202));
    assert_eq!(new.submit("stats", "free"), 202);
    s.endpoint.wait_request("free");
    assert_eq!((s.calls("held"), s.calls("second")), (0, 0), "the first of their key is still in flight");
    s.gate.open();
    let all = s.endpoint.wait_until("both", |all| {
        ["held", "second"].iter().all(|id| all.iter().any(|h| h.request_id() == *id))
    });
    let order: Vec<&str> = all.iter().map(HttpMessage::request_id).filter(|id| *id != "free").collect();
    assert_eq!(order, ["slow-1", "held", "second"]);
}

#[test]
fn an_at_most_once_message_of_a_killed_predecessor_is_undeliverable_and_never_sent_again() {
    let mut s = scene_with_payout_in_flight("200 OK", "");
    let _new = s.take_over();
    s.old.kill();
    s.disco.wait_text(r#"{"id":"slow-p","status":"undeliverable"}"#);
    assert_eq!(s.calls("slow-p"), 1);
}

#[test]
fn a_message_that_never_ran_at_the_predecessor_is_sent_by_the_successor() {
    let s = scene_with_payout_in_flight("503 Full", "");
    let _new = s.take_over();
    s.gate.open();
    s.endpoint.wait_until("the second attempt", |all| {
        all.iter().filter(|h| h.request_id() == "slow-p").count() >= 2
    });
}

#[test]
fn a_retry_after_received_by_the_predecessor_holds_for_the_successor() {
    let s = scene_with_payout_in_flight("429 Later", "Retry-After: 1.5\r\n");
    let new = s.take_over();
    let before = new.log().len();
    let told = Instant::now();
    s.gate.open();
    new.wait_log_from(before, "outcome of a predecessor's call message=slow-p how=NeverRan");
    assert_eq!(new.submit("stats", "after"), 202);
    s.endpoint.wait_request("after");
    assert!(told.elapsed() >= Duration::from_millis(1400), "sent after {:?}", told.elapsed());
}

#[test]
fn a_successor_that_asks_and_never_starts_leaves_the_predecessor_serving() {
    let s = scene_with_payout_in_flight("200 OK", "");
    // It asks for the folder, and that is all it does.
    let asks = File::create(s.old.folder.join("state/next")).expect("a file");
    asks.lock().expect("its lock");
    s.old.wait_log("handed over");
    s.gate.open();
    s.old.wait_log_from(s.old.log().find("handed over").expect("it was"), "ready:");
    assert_eq!(s.old.submit("stats", "a"), 202);
    s.endpoint.wait_request("a");
    drop(asks);
    assert_eq!((s.calls("slow-p"), s.callbacks("slow-p")), (1, 0));
}

/// This failed once in some 70 runs: the client was refused. The second process dies so early here that the first one mostly
/// never hears of it; where it did, it had closed its listener (`handing over` in its log) and opened another one only when
/// it had found the request gone (`serving again`), 20 ms or more later. It keeps its listener open now, and the second
/// process listens only once it owns the folder. `tests/takeover_rounds.rs` kills it at every moment, with callers beside.
#[test]
fn a_successor_that_asks_and_dies_at_once_changes_nothing() {
    let s = scene("200 OK", "");
    let (mut new, _) = s.second();
    new.wait_log("waiting for it");
    new.kill();
    assert_eq!(s.old.submit("stats", "a"), 202);
    s.endpoint.wait_request("a");
}

#[test]
fn the_predecessor_takes_over_again_from_a_killed_successor() {
    let s = scene("200 OK", "");
    let mut new = s.take_over();
    s.old.wait_log("waiting for it");
    assert_eq!(new.submit("payout", "slow-n"), 202);
    s.endpoint.wait_request("slow-n");
    let at = s.old.log().len();
    new.kill();
    s.old.wait_log_from(at, "ready:");
    s.disco.wait_text(r#"{"id":"slow-n","status":"undeliverable"}"#);
    assert_eq!(s.old.submit("stats", "a"), 202);
    s.endpoint.wait_request("a");
    assert_eq!(s.calls("slow-n"), 1);
}

#[test]
fn without_a_management_address_a_second_process_waits_until_the_first_has_ended() {
    let endpoint = Server::always("200 OK");
    let known = endpoint_list(1, &[(7, endpoint.addr)]);
    let disco = start_discovery(known.clone());
    let mut first = setup(&disco, known).start();
    let second = first.start_second_process("MICALADDER_LOG_BURST", "0");
    second.wait_log("another process owns the folder");
    assert_eq!(first.submit("stats", "a"), 202);
    first.kill();
    second.wait_log("ready:");
    assert_eq!(second.submit("stats", "b"), 202);
    endpoint.wait_request("b");
}
