//! Exchange of observations between peers: real processes on loopback with certificates of their own, and partners that
//! fail, ask for waits and recover.
mod peers_common;
mod stand;
use peers_common::Authority;
use stand::*;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A partner that fails while the flag is set: it reads a request and closes the connection without a response.
fn failing_partner() -> (Server, Arc<AtomicBool>) {
    let fails = Arc::new(AtomicBool::new(true));
    let fails_now = fails.clone();
    let reply = move |_: &HttpMessage, _: usize| match fails_now.load(Ordering::SeqCst) {
        true => Reply::Close,
        false => say("200 OK", "", ""),
    };
    (Server::start(reply), fails)
}

fn count_calls(server: &Server, prefix: &str) -> usize {
    server.received().iter().filter(|h| h.id().starts_with(prefix)).count()
}

/// A forwarder that has observed the outage itself.
fn forwarder_with_outage(authority: &Authority, at: SocketAddr, disco: &Server, known: &str) -> Daemon {
    authority.write("a", false);
    let flags = authority.flags("a", at, &[]);
    let a = Setup { flags, ..setup(disco, known.to_string()) }.start();
    for n in 0..4 {
        assert_eq!(a.submit("stats", &format!("a{n}")), 202);
    }
    a.wait_log("breaker opened");
    a
}

/// Waits until each attempt that has been sent has its outcome. One that was sent before the outage was known and is
/// answered with success after it closes the circuit breaker at once, without the slow start that a test waits for.
fn wait_for_attempts_in_flight(daemon: &Daemon) {
    let until = Instant::now() + EVENT_TIMEOUT;
    loop {
        let log = daemon.log();
        if log.matches("first byte").count() <= log.matches("attempt ended").count() {
            return;
        }
        assert!(Instant::now() < until, "attempts stay in flight:\n{log}");
        std::thread::sleep(Duration::from_millis(1));
    }
}

#[test]
fn a_restarted_forwarder_knows_the_outage_that_its_peer_observed() {
    let authority = Authority::new();
    let (endpoint, fails) = failing_partner();
    let known = list(1, &[(7, endpoint.addr)]);
    let disco = discovery(known.clone());
    let (at_a, at_b) = (free_address(), free_address());
    let _a = forwarder_with_outage(&authority, at_a, &disco, &known);
    authority.write("b", false);
    let flags = authority.flags("b", at_b, &[at_a]);
    let mut b = Setup { flags, ..setup(&disco, known) }.start();
    b.wait_log("finding=Outage");
    for n in 0..10 {
        assert_eq!(b.submit("stats", &format!("b{n}")), 202);
    }
    // After a kill and a start it knows the outage again, from its peer and without a call of its own.
    b.kill();
    let before = count_calls(&endpoint, "b");
    b.start_again();
    b.wait_log("finding=Outage");
    wait_for_attempts_in_flight(&b);
    fails.store(false, Ordering::SeqCst);
    for n in 0..10 {
        endpoint.wait_request(&format!("b{n}"));
    }
    assert!(before <= 2, "{before} calls to a partner with a known outage");
    b.wait_log("served again after an outage, slow start begins");
}

#[test]
fn a_retry_after_that_a_peer_received_is_respected_to_its_end() {
    let authority = Authority::new();
    let was_called = Arc::new(AtomicBool::new(false));
    let called = was_called.clone();
    let endpoint = Server::start(move |_, _| match called.swap(true, Ordering::SeqCst) {
        false => say("429 Too Many Requests", "Retry-After: 2.0\r\n", ""),
        true => say("200 OK", "", ""),
    });
    let known = list(1, &[(7, endpoint.addr)]);
    let disco = discovery(known.clone());
    let (at_a, at_b) = (free_address(), free_address());
    authority.write("a", false);
    authority.write("b", false);
    let a = Setup { flags: authority.flags("a", at_a, &[]), ..setup(&disco, known.clone()) }.start();
    let b = Setup { flags: authority.flags("b", at_b, &[at_a]), ..setup(&disco, known) }.start();
    b.wait_log("receiving observations from a peer");
    let begun = Instant::now();
    assert_eq!(a.submit("payout", "a1"), 202);
    endpoint.wait_request("a1");
    b.wait_log("finding=RetryAfter");
    assert_eq!(b.submit("payout", "b1"), 202);
    endpoint.wait_request("b1");
    // The wait began when its response was written, which is after `begun`.
    assert!(begun.elapsed() >= Duration::from_millis(1900), "{:?}", begun.elapsed());
}

#[test]
fn a_peer_without_a_valid_certificate_neither_receives_nor_publishes() {
    let (authority, other) = (Authority::new(), Authority::new());
    let (endpoint, _) = failing_partner();
    let known = list(1, &[(7, endpoint.addr)]);
    let disco = discovery(known.clone());
    let at_a = free_address();
    let a = forwarder_with_outage(&authority, at_a, &disco, &known);
    other.write("b", false);
    authority.write("c", true);
    for (name, whose) in [("b", &other), ("c", &authority)] {
        let flags = whose.flags(name, free_address(), &[at_a]);
        let stranger = Setup { flags, ..setup(&disco, known.clone()) }.start();
        // Both sides verify: the subscriber rejects a foreign authority, the publisher an expired certificate.
        a.wait_log("peer exchange: rejected subscriber ");
        assert_eq!(stranger.submit("stats", &format!("{name}1")), 202);
        endpoint.wait_request(&format!("{name}1"));
        assert!(!stranger.log().contains("finding="), "{name} received:\n{}", stranger.log());
    }
    assert!(!a.log().contains("finding="));
}

#[test]
fn certificates_are_renewed_without_a_restart() {
    let authority = Authority::new();
    let (endpoint, _) = failing_partner();
    let known = list(1, &[(7, endpoint.addr)]);
    let disco = discovery(known.clone());
    let at_a = free_address();
    let _a = forwarder_with_outage(&authority, at_a, &disco, &known);
    authority.write("b", true);
    let b = Setup { flags: authority.flags("b", free_address(), &[at_a]), ..setup(&disco, known) }.start();
    // Its own side accepts the expired certificate; its peer does not.
    b.wait_log("peer exchange: session with source ");
    assert!(!b.log().contains("finding="));
    authority.write("b", false);
    b.wait_log("new certificates are in use");
    b.wait_log("finding=Outage");
}

/// Neither a peer that is absent nor one that accepts connections and stays silent delays the start.
#[test]
fn an_absent_or_silent_peer_delays_nothing() {
    let authority = Authority::new();
    let endpoint = Server::always("200 OK");
    let known = list(1, &[(7, endpoint.addr)]);
    let disco = discovery(known.clone());
    let silent = TcpListener::bind("127.0.0.1:0").expect("a port");
    let seeds = [silent.local_addr().expect("its address"), free_address()];
    authority.write("a", false);
    let a = Setup { flags: authority.flags("a", free_address(), &seeds), ..setup(&disco, known) }.start();
    // Ready and serving while the silent peer still has its connection.
    assert_eq!(a.submit("stats", "s1"), 202);
    endpoint.wait_request("s1");
    let log = a.log();
    assert!(!log.contains("receiving observations from a peer"), "{log}");
    a.wait_log("a handshake without end");
}

#[test]
fn an_invalid_credential_file_is_logged_and_the_forwarder_serves_without_peers() {
    let authority = Authority::new();
    let endpoint = Server::always("200 OK");
    let known = list(1, &[(7, endpoint.addr)]);
    let disco = discovery(known.clone());
    authority.write("a", false);
    std::fs::write(authority.path("a.pem"), "no certificate").expect("written");
    let a = Setup { flags: authority.flags("a", free_address(), &[]), ..setup(&disco, known) }.start();
    a.wait_log("peer exchange is off: ");
    assert_eq!(a.submit("stats", "s1"), 202);
    endpoint.wait_request("s1");
}

/// A new uid at an old address is another endpoint: observations of the old one do not apply to it.
#[test]
fn a_replaced_endpoint_starts_without_the_observations_of_the_old_one() {
    let authority = Authority::new();
    let ((first, _), (second, _)) = (failing_partner(), failing_partner());
    let known = list(1, &[(7, first.addr), (8, second.addr)]);
    let disco = discovery(known.clone());
    let at_a = free_address();
    let a = forwarder_with_outage(&authority, at_a, &disco, &known);
    for n in 0..4 {
        let text = String::from_utf8(message("stats", &format!("o{n}"), "20000m", "")).expect("text");
        assert_eq!(a.ask(text.replace("dest=7", "dest=8").as_bytes()).map(|h| h.status()), Some(202));
    }
    a.wait_log("breaker opened host=s-1");
    authority.write("b", false);
    let replaced = known.replace("s-0", "s-9");
    let fresh = discovery(replaced.clone());
    let b = Setup { flags: authority.flags("b", free_address(), &[at_a]), ..setup(&fresh, replaced) }.start();
    b.wait_log("peer observation host=s-1 finding=Outage");
    // Both were in the same snapshot.
    assert!(!b.log().contains("host=s-9 finding"), "{}", b.log());
    assert_eq!(b.submit("stats", "b1"), 202);
    first.wait_request("b1");
}

#[test]
fn forwarders_that_all_start_at_once_know_nothing_and_serve() {
    let authority = Authority::new();
    let endpoint = Server::always("200 OK");
    let known = list(1, &[(7, endpoint.addr)]);
    let disco = discovery(known.clone());
    let addresses = [free_address(), free_address(), free_address()];
    let mut all: Vec<Daemon> = ["a", "b", "c"]
        .iter()
        .zip(addresses)
        .map(|(name, at)| {
            authority.write(name, false);
            Setup { flags: authority.flags(name, at, &addresses), ..setup(&disco, known.clone()) }.start()
        })
        .collect();
    all.iter().for_each(|d| drop(d.wait_log("receiving observations from a peer")));
    all.iter_mut().for_each(Daemon::kill);
    all.iter_mut().for_each(Daemon::start_again);
    for (n, one) in all.iter().enumerate() {
        assert_eq!(one.submit("payout", &format!("all-{n}")), 202);
        endpoint.wait_request(&format!("all-{n}"));
        one.wait_log("receiving observations from a peer");
        assert!(!one.log().contains("finding=Outage"));
    }
}
