//! Clients that send several requests at once and close their connection before the answers: what was not answered is not sent on,
//! and what comes again runs once.
mod stand;
use rstest::rstest;
use stand::*;
use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::thread::sleep;
use std::time::Duration;

/// Number of requests that a client writes at once.
const REQUESTS: usize = 40;
/// Longer than a process needs for all of them.
const SETTLE_TIME: Duration = Duration::from_millis(800);

fn id(number: usize) -> String {
    format!("d{number:02}")
}

fn count_calls(endpoint: &Server) -> BTreeMap<String, usize> {
    let mut calls = BTreeMap::new();
    for call in endpoint.received() {
        *calls.entry(call.request_id().to_string()).or_default() += 1;
    }
    calls
}

/// One request may be decided on while the client closes. The ones behind it wait in the process or in the kernel.
#[rstest]
#[case::none_read(0)]
#[case::some_read(5)]
fn requests_of_a_client_that_has_closed_are_not_sent_on(#[case] answers_read: usize) {
    let endpoint = Server::always("200 OK");
    let known = endpoint_list(1, &[(7, endpoint.addr)]);
    let discovery = start_discovery(known.clone());
    let daemon = setup(&discovery, known).start();
    let mut socket = daemon.connect();
    let requests: Vec<u8> =
        (0..REQUESTS).flat_map(|number| message_request("payout", &id(number), "20000m", "")).collect();
    socket.write_all(&requests).expect("written");
    let mut reader = BufReader::new(socket.try_clone().expect("a handle"));
    for _ in 0..answers_read {
        assert_eq!(read_http(&mut reader).map(|response| response.status()), Some(202));
    }
    drop((socket, reader));
    sleep(SETTLE_TIME);
    let calls = count_calls(&endpoint);
    println!("{} of {REQUESTS} were sent on, {answers_read} answers read", calls.len());
    assert!(calls.len() <= answers_read + 1, "{calls:?}");
    for number in 0..REQUESTS {
        let status = daemon.submit("payout", &id(number));
        assert!([200, 202].contains(&status), "{}: {status}", id(number));
    }
    endpoint.wait_until("all messages", |all| {
        (0..REQUESTS).all(|number| all.iter().any(|call| call.request_id() == id(number)))
    });
    sleep(SETTLE_TIME);
    let calls = count_calls(&endpoint);
    assert!(calls.values().all(|count| *count == 1), "{calls:?}");
}
