//! Learning from running neighbours: real processes on loopback with certificates of their own, and partners that are
//! sick, say waits and come back.
mod stand;
use rcgen::{BasicConstraints, CertificateParams, IsCa, Issuer, KeyPair};
use stand::*;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// An authority and the folder in which its forwarders' files lie.
struct Authority {
    folder: tempfile::TempDir,
    issuer: Issuer<'static, KeyPair>,
}

impl Authority {
    fn new() -> Authority {
        let folder = tempfile::tempdir().expect("a folder");
        let mut params = CertificateParams::new(Vec::new()).expect("parameters");
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        let key = KeyPair::generate().expect("a key");
        let certificate = params.self_signed(&key).expect("a certificate");
        std::fs::write(folder.path().join("authority.pem"), certificate.pem()).expect("written");
        Authority { issuer: Issuer::new(params, key), folder }
    }

    fn path(&self, name: &str) -> PathBuf {
        self.folder.path().join(name)
    }

    /// A forwarder's certificate and key; `ended`: its time is over.
    fn write(&self, name: &str, ended: bool) {
        let mut params =
            CertificateParams::new(vec!["micaladder-neighbour".to_string()]).expect("parameters");
        if ended {
            params.not_before = rcgen::date_time_ymd(2020, 1, 1);
            params.not_after = rcgen::date_time_ymd(2021, 1, 1);
        }
        let key = KeyPair::generate().expect("a key");
        let certificate = params.signed_by(&key, &self.issuer).expect("a certificate");
        std::fs::write(self.path(&format!("{name}.key")), key.serialize_pem()).expect("written");
        std::fs::write(self.path(&format!("{name}.pem")), certificate.pem()).expect("written");
    }

    fn flags(&self, name: &str, listen: SocketAddr, seeds: &[SocketAddr]) -> Vec<String> {
        let text = |path: &Path| path.to_string_lossy().into_owned();
        let mut flags = vec![
            format!("--name={name}"),
            format!("--neighbours-listen={listen}"),
            format!("--neighbours-certificate={}", text(&self.path(&format!("{name}.pem")))),
            format!("--neighbours-key={}", text(&self.path(&format!("{name}.key")))),
            format!("--neighbours-authority={}", text(&self.path("authority.pem"))),
        ];
        if !seeds.is_empty() {
            let seeds: Vec<String> = seeds.iter().map(|s| s.to_string()).collect();
            flags.push(format!("--neighbours-seeds={}", seeds.join(",")));
        }
        flags
    }
}

fn place() -> SocketAddr {
    ([127, 0, 0, 1], free_port()).into()
}

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
    b.wait_log("news=Out");
    for n in 0..10 {
        assert_eq!(b.hand_in("stats", &format!("b{n}")), 202);
    }
    // Killed and started again it knows it again, from its neighbour and by no call of its own.
    b.kill();
    let before = calls(&endpoint, "b");
    b.start_again();
    b.wait_log("news=Out");
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
    b.wait_log("news=Wait");
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
        assert!(!stranger.log().contains("news="), "{name} learned:\n{}", stranger.log());
    }
    assert!(!a.log().contains("news="));
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
    assert!(!b.log().contains("news="));
    authority.write("b", false);
    b.wait_log("new certificates are in use");
    b.wait_log("news=Out");
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
