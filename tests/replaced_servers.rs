//! A server that comes up at the address of one that has gone is not taken for the old one: endpoints are known by their name in
//! discovery, and discovery's list by what the server at the address says now.
mod stand;
use stand::*;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::Arc;

/// Returns the changes of a list: the endpoint `s-0` has gone, and `s-new` at its address serves another destination.
fn replaced(addr: std::net::SocketAddr, dest: u64) -> String {
    let entry = |uid: &str, dest: u64, state: &str| {
        format!(
            r#"{{"uid":"{uid}","endpoint":"{addr}","az":"z","model":"k","pod_group":{dest},"state":"{state}","capacity_hint":50.0,"boot_ms":0}}"#
        )
    };
    format!(
        r#"{{"rev":2,"all":false,"targets":[{},{}]}}"#,
        entry("s-new", dest, "Ready"),
        entry("s-0", 7, "Gone")
    )
}

fn submit_to(daemon: &Daemon, dest: u64, id: &str) -> u16 {
    let request = String::from_utf8(message_request("payout", id, "20000m", "")).expect("text");
    let request = request.replace("dest=7", &format!("dest={dest}"));
    daemon.send_request(request.as_bytes()).map_or(0, |response| response.status())
}

/// A message for the old destination must not go to the new server at the address, one for the new destination goes there on a
/// connection of its own.
#[test]
fn an_endpoint_at_the_address_of_a_removed_one_gets_only_its_own_messages() {
    let endpoint = Server::always("200 OK");
    let known = endpoint_list(1, &[(7, endpoint.addr)]);
    let replaced_now = Arc::new(AtomicBool::new(false));
    let (now, first, second) = (replaced_now.clone(), known.clone(), replaced(endpoint.addr, 8));
    let discovery = Server::start(move |request, _| match request.start_line.starts_with("POST") {
        true => respond("204 No Content", "", ""),
        false if now.load(Relaxed) => watch_response(&second),
        false => Reply::Respond(chunked_response([format!("{first}\n").as_bytes()])),
    });
    let daemon = setup(&discovery, known).start();
    assert_eq!(submit_to(&daemon, 7, "old"), 202);
    let old_connection = endpoint.wait_request("old").client_address;
    replaced_now.store(true, Relaxed);
    // The watch falls silent after the first list, so another one is opened.
    daemon.wait_log("upstream group: version 2");
    assert_eq!(submit_to(&daemon, 8, "new"), 202);
    let new_connection = endpoint.wait_request("new").client_address;
    assert_ne!(old_connection, new_connection, "the connection of the removed endpoint was used");
    assert_eq!(submit_to(&daemon, 7, "late"), 202);
    std::thread::sleep(std::time::Duration::from_millis(500));
    assert!(
        endpoint.received().iter().all(|call| call.request_id() != "late"),
        "sent to another destination"
    );
}

/// The new server counts its versions from the start. The forwarder asks it for what follows its own version, and must apply the
/// complete list that it gets.
#[test]
fn a_discovery_server_that_counts_anew_at_the_same_address_is_followed() {
    let (old_endpoint, new_endpoint) = (Server::always("200 OK"), Server::always("200 OK"));
    let old_list = endpoint_list(41, &[(7, old_endpoint.addr)]);
    let new_list = endpoint_list(2, &[(7, new_endpoint.addr)]).replace("s-0", "s-1");
    let replaced = Arc::new(AtomicBool::new(false));
    let (now, first) = (replaced.clone(), old_list.clone());
    let discovery = Server::start(move |request, _| match request.start_line.starts_with("POST") {
        true => respond("204 No Content", "", ""),
        false if now.load(Relaxed) => watch_response(&new_list),
        false => Reply::Respond(chunked_response([format!("{first}\n").as_bytes()])),
    });
    let daemon = setup(&discovery, old_list).start();
    assert_eq!(daemon.submit("payout", "before"), 202);
    old_endpoint.wait_request("before");
    replaced.store(true, Relaxed);
    daemon.wait_log("upstream group: version 2");
    assert_eq!(daemon.submit("payout", "after"), 202);
    new_endpoint.wait_request("after");
    assert!(old_endpoint.received().iter().all(|call| call.request_id() != "after"));
}

/// The endpoint's process dies under a payout that it may have run, and another one comes up at its address under the same name.
#[test]
fn a_payout_that_may_have_run_is_not_sent_to_the_next_process_at_the_address() {
    let died = Arc::new(AtomicBool::new(false));
    let has_died = died.clone();
    let endpoint = Server::start(move |_, _| match has_died.swap(true, Relaxed) {
        false => Reply::Close,
        true => respond("200 OK", "", ""),
    });
    let known = endpoint_list(1, &[(7, endpoint.addr)]);
    let discovery = start_discovery(known.clone());
    let daemon = setup(&discovery, known).start();
    assert_eq!(daemon.submit("payout", "once"), 202);
    discovery.wait_text(r#""id":"once","status":"undeliverable""#);
    assert_eq!(daemon.submit("payout", "next"), 202);
    endpoint.wait_request("next");
    let calls = endpoint.received().iter().filter(|call| call.request_id() == "once").count();
    assert_eq!(calls, 1);
}
