//! SIGHUP: the configuration is read again while messages are under way.
mod stand;
use rstest::rstest;
use stand::*;
use std::io::{BufReader, Write};

fn address(discovery: &Server) -> String {
    format!("\"discovery\":\"{}\"", discovery.addr)
}

#[test]
fn the_watch_and_the_callbacks_move_at_once_and_no_client_connection_is_dropped() {
    let (before, after) = (Server::always("500 Oops"), Server::always("200 OK"));
    let known = endpoint_list(9, &[(7, before.addr)]);
    let old = Server::start(|heard, _| match heard.start_line.starts_with("POST") {
        true => Reply::RespondAndHold(String::new()),
        false => {
            Reply::RespondAndHold("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1\r\n\n\r\n".into())
        }
    });
    let new = start_discovery(endpoint_list(2, &[(7, after.addr)]).replace("s-0", "s-1"));
    // The platform's variable repeats the key at the start: it must not keep the watch at the old address.
    let env = vec![("RELAY_DISCOVERY".to_string(), old.addr.to_string())];
    let mut daemon = Setup { env, ..setup(&old, known) }.start();
    let mut kept = daemon.connect();
    kept.write_all(&message_request("payout", "p1", "20000m", "")).expect("written");
    let mut answers = BufReader::new(kept.try_clone().expect("a handle"));
    assert_eq!(read_http(&mut answers).map(|h| h.status()), Some(202));
    old.wait_text("p1");
    daemon.reload(&address(&old), &address(&new));
    // Its callback had no answer at the old address.
    new.wait_text(r#"{"id":"p1","status":"undeliverable"}"#);
    daemon.wait_log("upstream group: version 2");
    kept.write_all(&message_request("payout", "p2", "20000m", "")).expect("written");
    assert_eq!(read_http(&mut answers).map(|h| h.status()), Some(202));
    after.wait_request("p2");
    assert!(daemon.is_running());
}

/// An unusable file leaves the old configuration in force; so does a variable that overrides the key.
#[rstest]
#[case::no_json("{\"name\"", "{\"name", &[], "not reloaded, the current one stays in force")]
#[case::no_address("\"discovery\":\"", "\"discovery\":\"nowhere at all ", &[], "not reloaded, the current one stays in force")]
#[case::variable("\"discovery\":\"", "\"discovery\":\"127.0.0.1:1\",\"was\":\"", &["RELAY_DISCOVERY"], "configuration reloaded")]
#[case::fixed("\"disk_mb\":3", "\"disk_mb\":4", &[], "the change of limits takes effect only after a restart")]
fn an_unusable_or_overridden_change_leaves_the_configuration_in_force(
    #[case] from: &str, #[case] to: &str, #[case] set: &[&str], #[case] line: &str,
) {
    let endpoint = Server::always("200 OK");
    let known = endpoint_list(1, &[(7, endpoint.addr)]);
    let disco = start_discovery(known.clone());
    let env = set.iter().map(|name| (name.to_string(), disco.addr.to_string())).collect();
    let elsewhere = Server::always("200 OK");
    let in_file = if set.is_empty() { &disco } else { &elsewhere };
    let mut daemon = Setup { env, ..setup(in_file, known) }.start();
    // Counted below: a daemon that is ready may not have opened its first watch yet.
    disco.wait_until("the first watch", |all| all.iter().any(|h| h.start_line.starts_with("GET")));
    daemon.reload(from, to);
    daemon.wait_log(line);
    assert_eq!(daemon.submit("stats", "h1"), 202);
    endpoint.wait_request("h1");
    assert!(daemon.is_running());
    assert_eq!(disco.received().iter().filter(|h| h.start_line.starts_with("GET")).count(), 1);
    assert!(elsewhere.received().is_empty());
}
