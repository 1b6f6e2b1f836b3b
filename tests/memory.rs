//! The real program under many more messages than it keeps: what is over is forgotten, and its memory stays where it was.
mod stand;
use stand::*;
use std::io::{BufReader, Write};
use std::thread;

const CLIENTS: usize = 8;
/// Messages of each client before memory is looked at first: the time for which ended ones are remembered passes in it.
const BEFORE: usize = 1500;
const AFTER: usize = 1500;
/// Bytes that may be held more for each message that came since: the allocator's own steps are a third of it. Names that
/// are not forgotten took 120 for each.
const EACH: usize = 80;

/// Hands in messages one after the other on one connection; each has its answer before the next.
fn client(daemon: &Daemon, number: usize, from: usize, to: usize) {
    let mut socket = daemon.connect();
    let mut reader = BufReader::new(socket.try_clone().expect("a handle"));
    for n in from..to {
        let class = if n % 2 == 0 { "stats" } else { "sync" };
        let key = format!("X-Key: {number:08x}{n:08x}\r\n");
        let text = message(class, &format!("m-{number}-{n}"), "400m", &key);
        socket.write_all(&text).expect("it reads");
        let heard = read_http(&mut reader).expect("an answer");
        assert!([200, 202, 503].contains(&heard.status()), "{}", heard.text());
    }
}

#[test]
fn memory_does_not_grow_with_the_messages_that_are_over() {
    let endpoint = Server::always("200 OK");
    let lists = list(1, &[(7, endpoint.addr)]);
    let disco = discovery(lists.clone());
    // The classes' own windows are long: what is remembered for a repeat would not be over within this test.
    let swaps = vec![("\"windowNs\":25000000000", "\"windowNs\":500000000")];
    let daemon = Setup { swaps, ..setup(&disco, lists) }.start();
    let load = |from: usize, to: usize| {
        thread::scope(|s| {
            for number in 0..CLIENTS {
                let daemon = &daemon;
                s.spawn(move || client(daemon, number, from, to));
            }
        });
        daemon.memory()
    };
    let before = load(0, BEFORE);
    let after = load(BEFORE, BEFORE + AFTER);
    let heard = endpoint.heard().len();
    // More comes than its slots carry: some are delivered, and some end by a notice.
    assert!(heard * 5 >= CLIENTS * (BEFORE + AFTER), "{heard} were sent on");
    daemon.wait_log("completion=Delivered");
    daemon.wait_log("completion=Deferred");
    let most = CLIENTS * AFTER * EACH;
    println!("{before} bytes before, {after} after");
    assert!(after < before + most, "{before} bytes before, {after} after, {most} more allowed");
}
