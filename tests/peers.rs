//! Learning from running neighbours: real processes on loopback with certificates of their own, and partners that are
//! sick, say waits and come back.
mod peers_common;
mod stand;
use peers_common::{place, Authority};
use stand::*;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A partner that can be sick: then it reads a call and closes without a word.
fn partner() -> (Server, Arc<AtomicBool>) {
    let sick = Arc::new(AtomicBool::new(true));
    let now = sick.clone();
    let reply = move |_: &Heard, _: usize| match now.load(Ordering::SeqCst) {
        true => Reply::Cut,
        false => say("200 OK", "", ""),
    };
    (Server::start(reply), sick)
}

fn calls(of: &Server, prefix: &str) -> usize {
    of.heard().iter().filter(|h| h.id().starts_with(prefix)).count()
}

/// A forwarder that has met the outage itself.
fn veteran(authority: &Authority, at: SocketAddr, disco: &Server, known: &str) -> Daemon {
    authority.write("a", false);
    let flags = authority.flags("a", at, &[]);
    let a = Setup { flags, ..setup(disco, known.to_string()) }.start();
    for n in 0..4 {
        assert_eq!(a.hand_in("stats", &format!("a{n}")), 202);
    }
    a.wait_log("breaker opened");
    a
}

#[test]
fn a_restarted_forwarder_knows_the_outage_that_its_neighbour_met() {
    let authority = Authority::new();
    let (endpoint, sick) = partner();
    let known = list(1, &[(7, endpoint.addr)]);
    let disco = discovery(known.clone());
    let (at_a, at_b) = (place(), place());
    let _a = veteran(&authority, at_a, &disco, &known);
    authority.write("b", false);
    let flags = authority.flags("b", at_b, &[at_a]);
    let mut b = Setup { flags, ..setup(&disco, known) }.start();
    b.wait_log("finding=Outage");
    for n in 0..10 {
        assert_eq!(b.hand_in("stats", &format!("b{n}")), 202);
    }
    // Killed and started again it knows it again, from its neighbour and by no call of its own.
    b.kill();
    let before = calls(&endpoint, "b");
    b.start_again();
    b.wait_log("finding=Outage");
    sick.store(false, Ordering::SeqCst);
    for n in 0..10 {
        endpoint.wait_id(&format!("b{n}"));
    }
    assert!(before <= 2, "{before} calls to a partner that was known to be sick");
    b.wait_log("half-open: served, slow start");
}

#[test]
fn a_wait_that_a_neighbour_was_told_is_kept_to_its_end() {
    let authority = Authority::new();
    let told = Arc::new(AtomicBool::new(false));
    let first = told.clone();
    let endpoint = Server::start(move |_, _| match first.swap(true, Ordering::SeqCst) {
        false => say("429 Too Many Requests", "Retry-After: 2.0\r\n", ""),
        true => say("200 OK", "", ""),
    });
    let known = list(1, &[(7, endpoint.addr)]);
    let disco = discovery(known.clone());
    let (at_a, at_b) = (place(), place());
    authority.write("a", false);
    authority.write("b", false);
    let a = Setup { flags: authority.flags("a", at_a, &[]), ..setup(&disco, known.clone()) }.start();
    let b = Setup { flags: authority.flags("b", at_b, &[at_a]), ..setup(&disco, known) }.start();
    b.wait_log("learning from a neighbour");
    let begun = Instant::now();
    assert_eq!(a.hand_in("payout", "a1"), 202);
    endpoint.wait_id("a1");
    b.wait_log("finding=RetryAfter");
    assert_eq!(b.hand_in("payout", "b1"), 202);
    endpoint.wait_id("b1");
    // The wait began when its answer was written, which is after `begun`.
    assert!(begun.elapsed() >= Duration::from_millis(1900), "{:?}", begun.elapsed());
}

#[test]
fn who_has_no_good_certificate_learns_and_teaches_nothing() {
    let (authority, other) = (Authority::new(), Authority::new());
    let (endpoint, _) = partner();
    let known = list(1, &[(7, endpoint.addr)]);
    let disco = discovery(known.clone());
    let at_a = place();
    let a = veteran(&authority, at_a, &disco, &known);
    other.write("b", false);
    authority.write("c", true);
    for (name, whose) in [("b", &other), ("c", &authority)] {
        let flags = whose.flags(name, place(), &[at_a]);
        let stranger = Setup { flags, ..setup(&disco, known.clone()) }.start();
        // Both sides turn away: the one that came, or the one to which it came.
        a.wait_log("is not taught: ");
        assert_eq!(stranger.hand_in("stats", &format!("{name}1")), 202);
        endpoint.wait_id(&format!("{name}1"));
        assert!(!stranger.log().contains("finding="), "{name} learned:\n{}", stranger.log());
    }
    assert!(!a.log().contains("finding="));
}

#[test]
fn certificates_are_renewed_without_a_restart() {
    let authority = Authority::new();
    let (endpoint, _) = partner();
    let known = list(1, &[(7, endpoint.addr)]);
    let disco = discovery(known.clone());
    let at_a = place();
    let _a = veteran(&authority, at_a, &disco, &known);
    authority.write("b", true);
    let b = Setup { flags: authority.flags("b", place(), &[at_a]), ..setup(&disco, known) }.start();
    // Its own side takes the ended certificate; its neighbour's does not.
    b.wait_log("learning from");
    assert!(!b.log().contains("finding="));
    authority.write("b", false);
    b.wait_log("new certificates are in use");
    b.wait_log("finding=Outage");
}

/// A neighbour that is not there, one that takes connections and says nothing: the start does not wait for either.
#[test]
fn a_dead_or_silent_neighbour_holds_nothing_up() {
    let authority = Authority::new();
    let endpoint = Server::always("200 OK");
    let known = list(1, &[(7, endpoint.addr)]);
    let disco = discovery(known.clone());
    let silent = TcpListener::bind("127.0.0.1:0").expect("a port");
    let seeds = [silent.local_addr().expect("its address"), place()];
    authority.write("a", false);
    let a = Setup { flags: authority.flags("a", place(), &seeds), ..setup(&disco, known) }.start();
    // Ready and serving while the silent one still has its connection.
    assert_eq!(a.hand_in("stats", "s1"), 202);
    endpoint.wait_id("s1");
    let log = a.log();
    assert!(!log.contains("learning from a neighbour"), "{log}");
    a.wait_log("a handshake without end");
}

#[test]
fn what_is_wrong_with_its_files_is_named_and_the_forwarder_serves_without() {
    let authority = Authority::new();
    let endpoint = Server::always("200 OK");
    let known = list(1, &[(7, endpoint.addr)]);
    let disco = discovery(known.clone());
    authority.write("a", false);
    std::fs::write(authority.path("a.pem"), "no certificate").expect("written");
    let a = Setup { flags: authority.flags("a", place(), &[]), ..setup(&disco, known) }.start();
    a.wait_log("neighbours are off: ");
    assert_eq!(a.hand_in("stats", "s1"), 202);
    endpoint.wait_id("s1");
}

/// At an old address under a new id it is another one: what was said of the old one is not said of it.
#[test]
fn an_endpoint_that_was_replaced_starts_without_the_old_ones_fame() {
    let authority = Authority::new();
    let ((first, _), (second, _)) = (partner(), partner());
    let known = list(1, &[(7, first.addr), (8, second.addr)]);
    let disco = discovery(known.clone());
    let at_a = place();
    let a = veteran(&authority, at_a, &disco, &known);
    for n in 0..4 {
        let text = String::from_utf8(message("stats", &format!("o{n}"), "20000m", "")).expect("text");
        assert_eq!(a.ask(text.replace("dest=7", "dest=8").as_bytes()).map(|h| h.status()), Some(202));
    }
    a.wait_log("breaker opened host=s-1");
    authority.write("b", false);
    let replaced = known.replace("s-0", "s-9");
    let fresh = discovery(replaced.clone());
    let b = Setup { flags: authority.flags("b", place(), &[at_a]), ..setup(&fresh, replaced) }.start();
    b.wait_log("peer observation host=s-1 finding=Outage");
    // Both were in the same snapshot.
    assert!(!b.log().contains("host=s-9 finding"), "{}", b.log());
    assert_eq!(b.hand_in("stats", "b1"), 202);
    first.wait_id("b1");
}

#[test]
fn when_all_start_at_once_nobody_knows_anything_and_all_serve() {
    let authority = Authority::new();
    let endpoint = Server::always("200 OK");
    let known = list(1, &[(7, endpoint.addr)]);
    let disco = discovery(known.clone());
    let places = [place(), place(), place()];
    let mut all: Vec<Daemon> = ["a", "b", "c"]
        .iter()
        .zip(places)
        .map(|(name, at)| {
            authority.write(name, false);
            Setup { flags: authority.flags(name, at, &places), ..setup(&disco, known.clone()) }.start()
        })
        .collect();
    all.iter().for_each(|d| drop(d.wait_log("learning from a neighbour")));
    all.iter_mut().for_each(Daemon::kill);
    all.iter_mut().for_each(Daemon::start_again);
    for (n, one) in all.iter().enumerate() {
        assert_eq!(one.hand_in("payout", &format!("all-{n}")), 202);
        endpoint.wait_id(&format!("all-{n}"));
        one.wait_log("learning from a neighbour");
        assert!(!one.log().contains("finding=Outage"));
    }
}
