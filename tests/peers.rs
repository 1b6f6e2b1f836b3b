//! Tests of the exchange of observations between peers, with real processes on loopback, a certificate authority for each
//! test, and partners that fail, send Retry-After and recover.
mod peers_common;
mod stand;
use peers_common::Authority;
use stand::*;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Starts a partner that fails while the returned flag is set: it reads a request and closes the
/// connection without a response.
fn failing_partner() -> (Server, Arc<AtomicBool>) {
    let fails = Arc::new(AtomicBool::new(true));
    let is_failing = fails.clone();
    let reply = move |_: &HttpMessage, _: usize| match is_failing.load(Ordering::SeqCst) {
        true => Reply::Close,
        false => respond("200 OK", "", ""),
    };
    (Server::start(reply), fails)
}

/// Returns the number of calls that carry a message whose id starts with `prefix`.
fn count_calls(server: &Server, prefix: &str) -> usize {
    server.received().iter().filter(|call| call.request_id().starts_with(prefix)).count()
}

/// Starts forwarder `a`, which observes the outage of its partner with its own calls.
fn start_forwarder_with_outage(
    authority: &Authority, address: SocketAddr, discovery_server: &Server, endpoint_list: &str,
) -> Daemon {
    authority.write("a", false);
    let flags = authority.flags("a", address, &[]);
    let a = Setup { flags, ..setup(discovery_server, endpoint_list.to_string()) }.start();
    for n in 0..4 {
        assert_eq!(a.submit("stats", &format!("a{n}")), 202);
    }
    a.wait_log("breaker opened");
    a
}

/// Waits until no attempt is in flight. An attempt that is sent before the forwarder knows the outage and succeeds after
/// the partner's recovery closes the circuit breaker at once, without the slow start that a test waits for.
fn wait_for_attempts_in_flight(daemon: &Daemon) {
    let deadline = Instant::now() + EVENT_TIMEOUT;
    loop {
        let log = daemon.log();
        if log.matches("first byte").count() <= log.matches("attempt ended").count() {
            return;
        }
        assert!(Instant::now() < deadline, "attempts are still in flight:\n{log}");
        std::thread::sleep(Duration::from_millis(1));
    }
}

#[test]
fn a_restarted_forwarder_receives_an_outage_from_its_peer() {
    let authority = Authority::new();
    let (endpoint, fails) = failing_partner();
    let endpoint_list = endpoint_list(1, &[(7, endpoint.addr)]);
    let discovery_server = start_discovery(endpoint_list.clone());
    let (address_a, address_b) = (free_address(), free_address());
    let _a = start_forwarder_with_outage(&authority, address_a, &discovery_server, &endpoint_list);
    authority.write("b", false);
    let flags = authority.flags("b", address_b, &[address_a]);
    let mut b = Setup { flags, ..setup(&discovery_server, endpoint_list) }.start();
    b.wait_log("finding=Outage");
    for n in 0..10 {
        assert_eq!(b.submit("stats", &format!("b{n}")), 202);
    }
    // After a restart the forwarder receives the outage from its peer again, without making a call.
    b.kill();
    let calls_before_restart = count_calls(&endpoint, "b");
    b.restart();
    b.wait_log("finding=Outage");
    wait_for_attempts_in_flight(&b);
    fails.store(false, Ordering::SeqCst);
    for n in 0..10 {
        endpoint.wait_request(&format!("b{n}"));
    }
    assert!(calls_before_restart <= 2, "{calls_before_restart} calls to a partner with a known outage");
    b.wait_log("served again after an outage, slow start begins");
}

#[test]
fn a_forwarder_waits_for_a_retry_after_that_its_peer_received() {
    let authority = Authority::new();
    let was_called = Arc::new(AtomicBool::new(false));
    let called = was_called.clone();
    let endpoint = Server::start(move |_, _| match called.swap(true, Ordering::SeqCst) {
        false => respond("429 Too Many Requests", "Retry-After: 2.0\r\n", ""),
        true => respond("200 OK", "", ""),
    });
    let endpoint_list = endpoint_list(1, &[(7, endpoint.addr)]);
    let discovery_server = start_discovery(endpoint_list.clone());
    let (address_a, address_b) = (free_address(), free_address());
    authority.write("a", false);
    authority.write("b", false);
    let a = Setup {
        flags: authority.flags("a", address_a, &[]),
        ..setup(&discovery_server, endpoint_list.clone())
    }
    .start();
    let b = Setup {
        flags: authority.flags("b", address_b, &[address_a]),
        ..setup(&discovery_server, endpoint_list)
    }
    .start();
    b.wait_log("receiving observations from a peer");
    let start = Instant::now();
    assert_eq!(a.submit("payout", "a1"), 202);
    endpoint.wait_request("a1");
    b.wait_log("finding=RetryAfter");
    assert_eq!(b.submit("payout", "b1"), 202);
    endpoint.wait_request("b1");
    // The wait starts when the partner writes its response, which is after `start`.
    assert!(start.elapsed() >= Duration::from_millis(1900), "{:?}", start.elapsed());
}

#[test]
fn a_peer_without_a_valid_certificate_neither_receives_nor_publishes() {
    let (authority, untrusted_authority) = (Authority::new(), Authority::new());
    let (endpoint, _) = failing_partner();
    let endpoint_list = endpoint_list(1, &[(7, endpoint.addr)]);
    let discovery_server = start_discovery(endpoint_list.clone());
    let address_a = free_address();
    let a = start_forwarder_with_outage(&authority, address_a, &discovery_server, &endpoint_list);
    untrusted_authority.write("b", false);
    authority.write("c", true);
    for (name, issuer) in [("b", &untrusted_authority), ("c", &authority)] {
        let flags = issuer.flags(name, free_address(), &[address_a]);
        let untrusted_peer = Setup { flags, ..setup(&discovery_server, endpoint_list.clone()) }.start();
        // Both sides verify: the subscriber rejects an untrusted authority, the publisher an expired certificate.
        a.wait_log("peer exchange: rejected subscriber ");
        assert_eq!(untrusted_peer.submit("stats", &format!("{name}1")), 202);
        endpoint.wait_request(&format!("{name}1"));
        assert!(!untrusted_peer.log().contains("finding="), "{name} received:\n{}", untrusted_peer.log());
    }
    assert!(!a.log().contains("finding="));
}

#[test]
fn certificates_are_renewed_without_a_restart() {
    let authority = Authority::new();
    let (endpoint, _) = failing_partner();
    let endpoint_list = endpoint_list(1, &[(7, endpoint.addr)]);
    let discovery_server = start_discovery(endpoint_list.clone());
    let address_a = free_address();
    let _a = start_forwarder_with_outage(&authority, address_a, &discovery_server, &endpoint_list);
    authority.write("b", true);
    let b = Setup {
        flags: authority.flags("b", free_address(), &[address_a]),
        ..setup(&discovery_server, endpoint_list)
    }
    .start();
    // The subscriber does not check its own certificate; its peer rejects the expired one and closes the session.
    b.wait_log("peer exchange: session with source ");
    assert!(!b.log().contains("finding="));
    authority.write("b", false);
    b.wait_log("new certificates are in use");
    b.wait_log("finding=Outage");
}

/// The start must not wait for an absent peer, nor for one that accepts connections and stays silent.
#[test]
fn an_absent_or_silent_peer_does_not_delay_the_start() {
    let authority = Authority::new();
    let endpoint = Server::always("200 OK");
    let endpoint_list = endpoint_list(1, &[(7, endpoint.addr)]);
    let discovery_server = start_discovery(endpoint_list.clone());
    let silent = TcpListener::bind("127.0.0.1:0").expect("a port");
    let seeds = [silent.local_addr().expect("a local address"), free_address()];
    authority.write("a", false);
    let a = Setup {
        flags: authority.flags("a", free_address(), &seeds),
        ..setup(&discovery_server, endpoint_list)
    }
    .start();
    // The forwarder serves while the connection to the silent peer is still open.
    assert_eq!(a.submit("stats", "s1"), 202);
    endpoint.wait_request("s1");
    let log = a.log();
    assert!(!log.contains("receiving observations from a peer"), "{log}");
    a.wait_log("closed: TLS handshake timed out");
}

#[test]
fn a_forwarder_with_an_invalid_credential_file_serves_without_peers() {
    let authority = Authority::new();
    let endpoint = Server::always("200 OK");
    let endpoint_list = endpoint_list(1, &[(7, endpoint.addr)]);
    let discovery_server = start_discovery(endpoint_list.clone());
    authority.write("a", false);
    std::fs::write(authority.path("a.pem"), "no certificate").expect("written");
    let a =
        Setup { flags: authority.flags("a", free_address(), &[]), ..setup(&discovery_server, endpoint_list) }
            .start();
    a.wait_log("peer exchange is off: ");
    assert_eq!(a.submit("stats", "s1"), 202);
    endpoint.wait_request("s1");
}

/// A new uid at the same address is a new endpoint, to which observations of the replaced endpoint do not apply.
#[test]
fn a_replacement_endpoint_has_no_observations_of_the_replaced_one() {
    let authority = Authority::new();
    let ((first, _), (second, _)) = (failing_partner(), failing_partner());
    let endpoint_list = endpoint_list(1, &[(7, first.addr), (8, second.addr)]);
    let discovery_server = start_discovery(endpoint_list.clone());
    let address_a = free_address();
    let a = start_forwarder_with_outage(&authority, address_a, &discovery_server, &endpoint_list);
    for n in 0..4 {
        let text = String::from_utf8(message_request("stats", &format!("o{n}"), "20000m", "")).expect("text");
        assert_eq!(
            a.send_request(text.replace("dest=7", "dest=8").as_bytes()).map(|response| response.status()),
            Some(202)
        );
    }
    a.wait_log("breaker opened host=s-1");
    authority.write("b", false);
    let replacement_list = endpoint_list.replace("s-0", "s-9");
    let replacement_discovery = start_discovery(replacement_list.clone());
    let b = Setup {
        flags: authority.flags("b", free_address(), &[address_a]),
        ..setup(&replacement_discovery, replacement_list)
    }
    .start();
    b.wait_log("peer observation host=s-1 finding=Outage");
    // The snapshot with the observation of s-1 also has the one of s-0, so that one has arrived as well.
    assert!(!b.log().contains("host=s-9 finding"), "{}", b.log());
    assert_eq!(b.submit("stats", "b1"), 202);
    first.wait_request("b1");
}

#[test]
fn forwarders_that_all_restart_at_once_serve_without_observations() {
    let authority = Authority::new();
    let endpoint = Server::always("200 OK");
    let endpoint_list = endpoint_list(1, &[(7, endpoint.addr)]);
    let discovery_server = start_discovery(endpoint_list.clone());
    let addresses = [free_address(), free_address(), free_address()];
    let mut forwarders: Vec<Daemon> = ["a", "b", "c"]
        .iter()
        .zip(addresses)
        .map(|(name, address)| {
            authority.write(name, false);
            Setup {
                flags: authority.flags(name, address, &addresses),
                ..setup(&discovery_server, endpoint_list.clone())
            }
            .start()
        })
        .collect();
    forwarders.iter().for_each(|forwarder| drop(forwarder.wait_log("receiving observations from a peer")));
    forwarders.iter_mut().for_each(Daemon::kill);
    forwarders.iter_mut().for_each(Daemon::restart);
    for (n, forwarder) in forwarders.iter().enumerate() {
        assert_eq!(forwarder.submit("payout", &format!("all-{n}")), 202);
        endpoint.wait_request(&format!("all-{n}"));
        forwarder.wait_log("receiving observations from a peer");
        assert!(!forwarder.log().contains("finding=Outage"));
    }
}
