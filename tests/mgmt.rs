//! The management address: readiness, metrics against what clients and endpoints saw, suspended endpoints, and bad callers.
mod stand;
use rstest::rstest;
use serde_json::Value;
use stand::*;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::Instant;

/// A forwarder with a management address.
fn managed(set: Setup<'_>) -> (Daemon, SocketAddr) {
    let mgmt = free_place();
    let env = vec![("RELAY_MGMT".to_string(), mgmt.to_string())];
    (Setup { env, ..set }.start(), mgmt)
}

fn call(mgmt: SocketAddr, method: &str, path: &str) -> Heard {
    let text = format!("{method} {path} HTTP/1.1\r\nHost: ops\r\nContent-Length: 0\r\n\r\n");
    ask(mgmt, text.as_bytes()).expect("an answer")
}

fn metrics(mgmt: SocketAddr) -> Value {
    serde_json::from_slice(&call(mgmt, "GET", "/v1/metrics").body).expect("JSON")
}

/// Polls the metrics until they fit.
fn wait_metrics(mgmt: SocketAddr, fits: impl Fn(&Value) -> bool) -> Value {
    let until = Instant::now() + PATIENCE;
    loop {
        let now = metrics(mgmt);
        if fits(&now) {
            return now;
        }
        assert!(Instant::now() < until, "waited in vain: {now}");
    }
}

#[test]
fn metrics_are_what_clients_and_endpoints_saw() {
    let good = Server::always("200 OK");
    let known = list(1, &[(7, good.addr)]);
    let disco = discovery(known.clone());
    let (daemon, mgmt) = managed(setup(&disco, known));
    assert_eq!(call(mgmt, "GET", "/v1/readyz").status(), 200);
    for n in 0..5 {
        assert_eq!(daemon.hand_in("stats", &format!("s{n}")), 202);
    }
    assert_eq!(daemon.hand_in("payout", "p"), 202);
    good.wait("all of them", |all| all.len() == 6);
    let nowhere =
        String::from_utf8(message("payout", "n", "20000m", "")).expect("text").replace("dest=7", "dest=9");
    assert_eq!(daemon.ask(nowhere.as_bytes()).map(|h| h.status()), Some(404));
    let all = wait_metrics(mgmt, |f| f["open_requests"] == 0 && f["operations"]["payout"]["fulfilled"] == 1);
    assert_eq!(
        all["operations"]["stats"].to_string(),
        r#"{"faulted":0,"fulfilled":5,"relayed":5,"throttled":0}"#
    );
    assert_eq!(
        all["operations"]["payout"].to_string(),
        r#"{"faulted":1,"fulfilled":1,"relayed":1,"throttled":0}"#
    );
    assert_eq!((&all["registry_entries"], &all["out_of_rotation"]), (&Value::from(1), &Value::from(0)));
}

#[test]
fn a_suspended_endpoint_gets_nothing_new_until_it_is_resumed() {
    let (first, second) = (Server::always("200 OK"), Server::always("200 OK"));
    let known = list(1, &[(7, first.addr), (7, second.addr)]);
    let disco = discovery(known.clone());
    let (mut daemon, mgmt) = managed(setup(&disco, known));
    assert_eq!(call(mgmt, "POST", "/v1/endpoints/s-0/suspend").status(), 204);
    assert_eq!(call(mgmt, "POST", "/v1/endpoints/s-0/suspend").status(), 204, "twice is once");
    assert_eq!(call(mgmt, "POST", "/v1/endpoints/nobody/suspend").status(), 404);
    wait_metrics(mgmt, |f| f["out_of_rotation"] == 1);
    (0..10).for_each(|n| assert_eq!(daemon.hand_in("stats", &format!("a{n}")), 202));
    second.wait("all of them", |all| all.len() == 10);
    // Also over a kill, and over the list of discovery at the new start.
    daemon.kill();
    daemon.start_again();
    daemon.wait_log("upstream group: version 1");
    (0..10).for_each(|n| assert_eq!(daemon.hand_in("stats", &format!("b{n}")), 202));
    second.wait("all of them", |all| all.len() == 20);
    assert!(first.heard().is_empty(), "it was suspended");
    assert_eq!(call(mgmt, "POST", "/v1/endpoints/s-1/suspend").status(), 204);
    assert_eq!(call(mgmt, "POST", "/v1/endpoints/s-0/resume").status(), 204);
    assert_eq!(daemon.hand_in("stats", "c"), 202);
    first.wait_id("c");
}

#[test]
fn a_suspension_that_cannot_be_persisted_is_not_in_force() {
    let endpoint = Server::always("200 OK");
    let known = list(1, &[(7, endpoint.addr)]);
    let disco = discovery(known.clone());
    let mgmt = free_place();
    let faults = std::env::temp_dir().join(format!("micaladder-mgmt-{}-{}", std::process::id(), unique()));
    let env = [("RELAY_MGMT", mgmt.to_string()), ("MICALADDER_DISK_FAULTS", faults.display().to_string())];
    let env = env.into_iter().map(|(k, v)| (k.to_string(), v)).collect();
    let daemon = Setup { env, ..setup(&disco, known) }.start();
    std::fs::write(&faults, "append").expect("written");
    assert_eq!(call(mgmt, "POST", "/v1/endpoints/s-0/suspend").status(), 503);
    std::fs::remove_file(&faults).expect("removed");
    daemon.wait_log("journal can be written again");
    assert_eq!(daemon.hand_in("stats", "a"), 202);
    endpoint.wait_id("a");
}

#[rstest]
#[case::path("GET", "/v1/nothing", 404)]
#[case::method("DELETE", "/v1/metrics", 405)]
#[case::get("GET", "/v1/endpoints/s-0/suspend", 405)]
#[case::verb("POST", "/v1/endpoints/s-0/restart", 404)]
#[case::id("POST", "/v1/endpoints/%ff/suspend", 400)]
fn an_unknown_call_is_refused_with_its_status(#[case] method: &str, #[case] path: &str, #[case] status: u16) {
    let endpoint = Server::always("200 OK");
    let known = list(1, &[(7, endpoint.addr)]);
    let disco = discovery(known.clone());
    let (_daemon, mgmt) = managed(setup(&disco, known));
    assert_eq!(call(mgmt, method, path).status(), status);
}

#[test]
fn callers_that_never_complete_their_call_delay_nobody() {
    let endpoint = Server::always("200 OK");
    let known = list(1, &[(7, endpoint.addr)]);
    let disco = discovery(known.clone());
    let (daemon, mgmt) = managed(setup(&disco, known));
    let before = daemon.held_descriptors();
    let held: Vec<TcpStream> = (0..300)
        .map(|n| {
            let mut socket = TcpStream::connect(mgmt).expect("it listens");
            // Some of them are closed before they have sent anything.
            let _ = socket.write_all([&b"GET /v1/met"[..], &[b'x'; 3000], b""][n % 3]);
            socket
        })
        .collect();
    assert_eq!(call(mgmt, "GET", "/v1/readyz").status(), 200);
    assert_eq!(daemon.hand_in("stats", "a"), 202);
    endpoint.wait_id("a");
    assert!(daemon.held_descriptors() < before + 60, "callers are bounded");
    drop(held);
}

#[test]
fn without_its_key_there_is_no_management_address() {
    let endpoint = Server::always("200 OK");
    let known = list(1, &[(7, endpoint.addr)]);
    let disco = discovery(known.clone());
    let daemon = setup(&disco, known).start();
    let threads = std::fs::read_dir(format!("/proc/{}/task", daemon.pid())).expect("it runs").count();
    assert_eq!(threads, 1, "no thread for them");
    assert!(!daemon.log().contains("management address"));
}
