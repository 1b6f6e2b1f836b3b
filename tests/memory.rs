//! Test that the real program releases the memory of completed messages when it handles many more than it retains.
mod stand;
use stand::*;
use std::io::{BufReader, Write};
use std::thread;

const CLIENTS: usize = 8;
/// Messages of each client before the first measurement. Sending them takes longer than completed messages are retained.
const WARM_UP_MESSAGES: usize = 1500;
/// Messages of each client between the two measurements.
const MEASURED_MESSAGES: usize = 1500;
/// Bytes by which memory may grow per message between the measurements. A third of it is the granularity of the allocator.
/// When the names of completed messages leaked, memory grew by 120 bytes per message.
const MAX_GROWTH_PER_MESSAGE: usize = 80;

/// Submits messages one after another on one connection and waits for each response.
fn submit_messages(daemon: &Daemon, client: usize, from: usize, to: usize) {
    let mut socket = daemon.connect();
    let mut reader = BufReader::new(socket.try_clone().expect("the socket is cloned"));
    for n in from..to {
        let class = if n % 2 == 0 { "stats" } else { "sync" };
        let key = format!("X-Key: {client:08x}{n:08x}\r\n");
        let text = message_request(class, &format!("m-{client}-{n}"), "400m", &key);
        socket.write_all(&text).expect("the daemon reads");
        let response = read_http(&mut reader).expect("a response");
        assert!([200, 202, 503].contains(&response.status()), "{}", response.text());
    }
}

#[test]
fn memory_does_not_grow_with_completed_messages() {
    let endpoint = Server::always("200 OK");
    let known = endpoint_list(1, &[(7, endpoint.addr)]);
    let discovery_server = start_discovery(known.clone());
    // The default deduplication window is longer than this test, so entries would not expire within it.
    let settings_replacements = vec![("\"windowNs\":25000000000", "\"windowNs\":500000000")];
    let daemon = Setup { settings_replacements, ..setup(&discovery_server, known) }.start();
    let load = |from: usize, to: usize| {
        thread::scope(|scope| {
            for client in 0..CLIENTS {
                let daemon = &daemon;
                scope.spawn(move || submit_messages(daemon, client, from, to));
            }
        });
        daemon.anonymous_memory()
    };
    let before = load(0, WARM_UP_MESSAGES);
    let after = load(WARM_UP_MESSAGES, WARM_UP_MESSAGES + MEASURED_MESSAGES);
    let received = endpoint.received().len();
    // The load exceeds the capacity of the slots: some messages are delivered, and others complete with a callback.
    assert!(
        received * 5 >= CLIENTS * (WARM_UP_MESSAGES + MEASURED_MESSAGES),
        "the endpoint received only {received} messages"
    );
    daemon.wait_log("completion=Delivered");
    daemon.wait_log("completion=Deferred");
    let max_growth = CLIENTS * MEASURED_MESSAGES * MAX_GROWTH_PER_MESSAGE;
    println!("{before} bytes before, {after} after");
    assert!(after < before + max_growth, "{before} bytes before, {after} after, growth limit {max_growth}");
}
