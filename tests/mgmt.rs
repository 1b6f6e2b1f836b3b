//! Tests of the management server: readiness, metrics, suspension of endpoints, and invalid or incomplete requests.
mod stand;
use rstest::rstest;
use serde_json::Value;
use stand::*;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::Instant;

/// Starts a forwarder with a management address.
fn start_with_management(setup: Setup<'_>) -> (Daemon, SocketAddr) {
    let mgmt = free_address();
    let env = vec![("RELAY_MGMT".to_string(), mgmt.to_string())];
    (Setup { env, ..setup }.start(), mgmt)
}

/// Sends a request to the management address and returns the response.
fn request(mgmt: SocketAddr, method: &str, path: &str) -> HttpMessage {
    let text = format!("{method} {path} HTTP/1.1\r\nHost: ops\r\nContent-Length: 0\r\n\r\n");
    send_request(mgmt, text.as_bytes()).expect("a response")
}

fn metrics(mgmt: SocketAddr) -> Value {
    serde_json::from_slice(&request(mgmt, "GET", "/v1/metrics").body).expect("JSON")
}

/// Polls the metrics until they match the condition.
fn wait_metrics(mgmt: SocketAddr, condition: impl Fn(&Value) -> bool) -> Value {
    let deadline = Instant::now() + EVENT_TIMEOUT;
    loop {
        let metrics = metrics(mgmt);
        if condition(&metrics) {
            return metrics;
        }
        assert!(Instant::now() < deadline, "the metrics never match the condition: {metrics}");
    }
}

#[test]
fn metrics_match_what_clients_and_endpoints_saw() {
    let endpoint = Server::always("200 OK");
    let known = endpoint_list(1, &[(7, endpoint.addr)]);
    let discovery_server = start_discovery(known.clone());
    let (daemon, mgmt) = start_with_management(setup(&discovery_server, known));
    assert_eq!(request(mgmt, "GET", "/v1/readyz").status(), 200);
    for n in 0..5 {
        assert_eq!(daemon.submit("stats", &format!("s{n}")), 202);
    }
    assert_eq!(daemon.submit("payout", "p"), 202);
    endpoint.wait_until("all messages", |requests| requests.len() == 6);
    let unknown_destination = String::from_utf8(message_request("payout", "n", "20000m", ""))
        .expect("text")
        .replace("dest=7", "dest=9");
    assert_eq!(
        daemon.send_request(unknown_destination.as_bytes()).map(|response| response.status()),
        Some(404)
    );
    let metrics = wait_metrics(mgmt, |metrics| {
        metrics["open_requests"] == 0 && metrics["operations"]["payout"]["fulfilled"] == 1
    });
    assert_eq!(
        metrics["operations"]["stats"].to_string(),
        r#"{"faulted":0,"fulfilled":5,"relayed":5,"throttled":0}"#
    );
    assert_eq!(
        metrics["operations"]["payout"].to_string(),
        r#"{"faulted":1,"fulfilled":1,"relayed":1,"throttled":0}"#
    );
    assert_eq!(
        (&metrics["registry_entries"], &metrics["out_of_rotation"]),
        (&Value::from(1), &Value::from(0))
    );
}

#[test]
fn a_suspended_endpoint_receives_no_new_messages_until_it_is_resumed() {
    let (first, second) = (Server::always("200 OK"), Server::always("200 OK"));
    let known = endpoint_list(1, &[(7, first.addr), (7, second.addr)]);
    let discovery_server = start_discovery(known.clone());
    let (mut daemon, mgmt) = start_with_management(setup(&discovery_server, known));
    assert_eq!(request(mgmt, "POST", "/v1/endpoints/s-0/suspend").status(), 204);
    assert_eq!(
        request(mgmt, "POST", "/v1/endpoints/s-0/suspend").status(),
        204,
        "suspending twice has the same result"
    );
    assert_eq!(request(mgmt, "POST", "/v1/endpoints/nobody/suspend").status(), 404);
    wait_metrics(mgmt, |metrics| metrics["out_of_rotation"] == 1);
    (0..10).for_each(|n| assert_eq!(daemon.submit("stats", &format!("a{n}")), 202));
    second.wait_until("all messages", |requests| requests.len() == 10);
    // The endpoint counts a request before the daemon reads the response. A message whose completion is not in the journal
    // at the kill is sent again after the restart, and the endpoint would receive more than 20 requests.
    wait_metrics(mgmt, |metrics| metrics["operations"]["stats"]["fulfilled"] == 10);
    // The suspension also survives a kill and the endpoint list that discovery sends after the restart.
    daemon.kill();
    daemon.restart();
    daemon.wait_log("upstream group: version 1");
    (0..10).for_each(|n| assert_eq!(daemon.submit("stats", &format!("b{n}")), 202));
    second.wait_until("all messages", |requests| requests.len() == 20);
    assert!(first.received().is_empty(), "a suspended endpoint receives no messages");
    assert_eq!(request(mgmt, "POST", "/v1/endpoints/s-1/suspend").status(), 204);
    assert_eq!(request(mgmt, "POST", "/v1/endpoints/s-0/resume").status(), 204);
    assert_eq!(daemon.submit("stats", "c"), 202);
    first.wait_request("c");
}

#[test]
fn a_suspension_that_cannot_be_persisted_does_not_take_effect() {
    let endpoint = Server::always("200 OK");
    let known = endpoint_list(1, &[(7, endpoint.addr)]);
    let discovery_server = start_discovery(known.clone());
    let mgmt = free_address();
    let fault_file =
        std::env::temp_dir().join(format!("micaladder-mgmt-{}-{}", std::process::id(), unique_number()));
    let env =
        [("RELAY_MGMT", mgmt.to_string()), ("MICALADDER_DISK_FAULTS", fault_file.display().to_string())];
    let env = env.into_iter().map(|(name, value)| (name.to_string(), value)).collect();
    let daemon = Setup { env, ..setup(&discovery_server, known) }.start();
    std::fs::write(&fault_file, "append").expect("the fault file is written");
    assert_eq!(request(mgmt, "POST", "/v1/endpoints/s-0/suspend").status(), 503);
    std::fs::remove_file(&fault_file).expect("the fault file is removed");
    daemon.wait_log("journal can be written again");
    assert_eq!(daemon.submit("stats", "a"), 202);
    endpoint.wait_request("a");
}

#[rstest]
#[case::unknown_path("GET", "/v1/nothing", 404)]
#[case::unsupported_method("DELETE", "/v1/metrics", 405)]
#[case::get_instead_of_post("GET", "/v1/endpoints/s-0/suspend", 405)]
#[case::unknown_action("POST", "/v1/endpoints/s-0/restart", 404)]
#[case::invalid_id("POST", "/v1/endpoints/%ff/suspend", 400)]
fn an_unsupported_request_is_rejected_with_its_status(
    #[case] method: &str, #[case] path: &str, #[case] status: u16,
) {
    let endpoint = Server::always("200 OK");
    let known = endpoint_list(1, &[(7, endpoint.addr)]);
    let discovery_server = start_discovery(known.clone());
    let (_daemon, mgmt) = start_with_management(setup(&discovery_server, known));
    assert_eq!(request(mgmt, method, path).status(), status);
}

#[test]
fn incomplete_requests_delay_neither_operators_nor_messages() {
    let endpoint = Server::always("200 OK");
    let known = endpoint_list(1, &[(7, endpoint.addr)]);
    let discovery_server = start_discovery(known.clone());
    let (daemon, mgmt) = start_with_management(setup(&discovery_server, known));
    let descriptors_before = daemon.open_descriptors();
    let sockets: Vec<TcpStream> = (0..300)
        .map(|n| {
            let mut socket = TcpStream::connect(mgmt).expect("the management server listens");
            // A write may fail: beyond the limit, the server closes the oldest connections.
            let _ = socket.write_all([&b"GET /v1/met"[..], &[b'x'; 3000], b""][n % 3]);
            socket
        })
        .collect();
    assert_eq!(request(mgmt, "GET", "/v1/readyz").status(), 200);
    assert_eq!(daemon.submit("stats", "a"), 202);
    endpoint.wait_request("a");
    assert!(daemon.open_descriptors() < descriptors_before + 60, "connections are bounded");
    drop(sockets);
}

#[test]
fn without_a_configured_address_there_is_no_management_listener() {
    let endpoint = Server::always("200 OK");
    let known = endpoint_list(1, &[(7, endpoint.addr)]);
    let discovery_server = start_discovery(known.clone());
    let daemon = setup(&discovery_server, known).start();
    let threads =
        std::fs::read_dir(format!("/proc/{}/task", daemon.pid())).expect("the process runs").count();
    assert_eq!(threads, 1, "there is no management thread");
    assert!(!daemon.log().contains("management address"));
}
