//! SIGHUP reloads the configuration while messages are pending.
mod stand;
use rstest::rstest;
use stand::*;
use std::io::{BufReader, Write};

#[test]
fn a_new_discovery_address_applies_at_once_and_no_client_connection_is_closed() {
    let (old_endpoint, new_endpoint) = (Server::always("500 Oops"), Server::always("200 OK"));
    let known = endpoint_list(9, &[(7, old_endpoint.addr)]);
    let old = Server::start(|request, _| match request.start_line.starts_with("POST") {
        true => Reply::RespondAndHold(String::new()),
        false => {
            Reply::RespondAndHold("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1\r\n\n\r\n".into())
        }
    });
    let new = start_discovery(endpoint_list(2, &[(7, new_endpoint.addr)]).replace("s-0", "s-1"));
    // At the start the platform's environment variable has the same value as the key; it must not keep the watch at the old
    // address.
    let env = vec![("RELAY_DISCOVERY".to_string(), old.addr.to_string())];
    let mut daemon = Setup { env, ..setup(&old, known) }.start();
    let mut connection = daemon.connect();
    connection.write_all(&message_request("payout", "p1", "20000m", "")).expect("written");
    let mut responses = BufReader::new(connection.try_clone().expect("a handle"));
    assert_eq!(read_http(&mut responses).map(|h| h.status()), Some(202));
    old.wait_text("p1");
    daemon.reload(&discovery_entry(&old), &discovery_entry(&new));
    // The callback for p1 got no response at the old address.
    new.wait_text(r#"{"id":"p1","status":"undeliverable"}"#);
    daemon.wait_log("upstream group: version 2");
    connection.write_all(&message_request("payout", "p2", "20000m", "")).expect("written");
    assert_eq!(read_http(&mut responses).map(|h| h.status()), Some(202));
    new_endpoint.wait_request("p2");
    assert!(daemon.is_running());
}

/// An invalid file leaves the old configuration in use, and so does an environment variable that overrides the changed key.
#[rstest]
#[case::invalid_json("{\"name\"", "{\"name", &[], "not reloaded, the current one stays in force")]
#[case::invalid_address("\"discovery\":\"", "\"discovery\":\"nowhere at all ", &[], "not reloaded, the current one stays in force")]
#[case::overridden_by_variable("\"discovery\":\"", "\"discovery\":\"127.0.0.1:1\",\"was\":\"", &["RELAY_DISCOVERY"], "configuration reloaded")]
#[case::needs_a_restart("\"disk_mb\":3", "\"disk_mb\":4", &[], "the change of limits takes effect only after a restart")]
fn an_invalid_or_overridden_change_leaves_the_configuration_in_use(
    #[case] from: &str, #[case] to: &str, #[case] variables: &[&str], #[case] log_line: &str,
) {
    let endpoint = Server::always("200 OK");
    let known = endpoint_list(1, &[(7, endpoint.addr)]);
    let discovery = start_discovery(known.clone());
    let env = variables.iter().map(|name| (name.to_string(), discovery.addr.to_string())).collect();
    let elsewhere = Server::always("200 OK");
    let configured = if variables.is_empty() { &discovery } else { &elsewhere };
    let mut daemon = Setup { env, ..setup(configured, known) }.start();
    // The watches are counted below, and a daemon that is ready may not have opened its first one yet.
    discovery.wait_until("the first watch", |all| all.iter().any(|h| h.start_line.starts_with("GET")));
    daemon.reload(from, to);
    daemon.wait_log(log_line);
    assert_eq!(daemon.submit("stats", "h1"), 202);
    endpoint.wait_request("h1");
    assert!(daemon.is_running());
    assert_eq!(discovery.received().iter().filter(|h| h.start_line.starts_with("GET")).count(), 1);
    assert!(elsewhere.received().is_empty());
}
