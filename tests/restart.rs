//! A planned restart: clients go on sending on all the connections they have, and open new ones for a while.
mod stand;
use micaladder::journal::{AcceptedMessage, Journal, Record};
use micaladder::{clock, Nanos};
use rstest::rstest;
use stand::*;
use std::collections::{BTreeMap, BTreeSet};
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::channel;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// For so long after SIGTERM new connections keep coming; SIGKILL comes so long after it at the soonest.
const NEW_FOR: Duration = Duration::from_millis(400);
const KILL_AFTER: Duration = Duration::from_millis(3700);

/// Hands one message in on this connection; nothing where it ends without an answer.
fn submit(socket: &TcpStream, class: &str, id: &str) -> Option<u16> {
    let mut writer = socket;
    writer.write_all(&message_request(class, id, "20000m", "")).ok()?;
    read_http(&mut BufReader::new(socket.try_clone().expect("a handle"))).map(|h| h.status())
}

/// Sends one message after the other, each once the one before has its answer, until the connection ends.
fn sends_on(socket: &TcpStream, class: &str, name: &str) -> Vec<(String, Option<u16>)> {
    let mut all = Vec::new();
    loop {
        let id = format!("{name}-{}", all.len());
        let status = submit(socket, class, &id);
        all.push((id, status));
        if status.is_none() {
            return all;
        }
    }
}

#[test]
fn at_a_planned_restart_each_request_is_answered_and_what_is_taken_on_has_one_end() {
    let endpoint = Server::always("200 OK");
    let known = endpoint_list(1, &[(7, endpoint.addr)]);
    let disco = start_discovery(known.clone());
    let mut daemon = setup(&disco, known).start();
    let (tell, heard) = channel();
    let threads: Vec<_> = (0..6)
        .map(|n| {
            let (socket, tell) = (daemon.connect(), tell.clone());
            thread::spawn(move || {
                let class = if n % 2 == 0 { "stats" } else { "payout" };
                assert_eq!(submit(&socket, class, &format!("first-{n}")), Some(202));
                tell.send(()).expect("it listens");
                sends_on(&socket, class, &format!("c{n}"))
            })
        })
        .collect();
    (0..6).for_each(|_| heard.recv_timeout(EVENT_TIMEOUT).expect("each client is served"));
    daemon.terminate();
    let told = Instant::now();
    daemon.wait_log("SIGTERM received");
    let mut new = 0;
    while told.elapsed() < NEW_FOR {
        let status = submit(&daemon.connect(), "stats", &format!("new-{new}"));
        assert!(matches!(status, Some(202 | 503)), "a new connection ended with {status:?}");
        new += 1;
    }
    assert!(daemon.wait_exit(KILL_AFTER - told.elapsed()).success());
    let log = daemon.log();
    let sent: BTreeMap<String, Option<u16>> =
        threads.into_iter().flat_map(|t| t.join().expect("a client")).collect();
    assert!(sent.values().all(|s| matches!(s, Some(202 | 503) | None)), "{sent:?}");
    // A close may cross a request that was not read: its client sends it once more. One that was read is answered.
    assert!(!log.contains("closed during a request"), "a connection was closed under a request");
    let begun = |id: &String| log.contains(&format!("message accepted message={id} "));
    let cut: Vec<&String> = sent.iter().filter(|(id, s)| s.is_none() && begun(id)).map(|s| s.0).collect();
    assert!(cut.is_empty(), "read, taken on and never answered: {cut:?}");
    // What was taken on and not delivered yet is carried over.
    daemon.restart();
    let taken: Vec<String> = sent.into_iter().filter(|(_, s)| *s == Some(202)).map(|(id, _)| id).collect();
    assert!(taken.len() > 12, "they went on: {taken:?}");
    let ended = |all: &[HttpMessage], id: &str| all.iter().any(|h| h.request_id() == id);
    let all = endpoint.wait_until("all that was taken on", |all| {
        taken.iter().all(|id| ended(all, id) || disco.count_distinct_bodies(&format!(r#""id":"{id}""#)) > 0)
    });
    for id in taken.iter().filter(|id| ["c1", "c3", "c5"].iter().any(|c| id.starts_with(c))) {
        assert!(all.iter().filter(|h| h.request_id() == id).count() <= 1, "a payout came twice: {id}");
    }
}

/// Discovery that says nothing, or refuses, until the list may come.
fn late_discovery(known: String, silent: bool, comes: Arc<AtomicBool>) -> Server {
    Server::start(move |heard, _| {
        match (heard.start_line.starts_with("POST"), comes.load(Ordering::Relaxed)) {
            (true, _) => respond("204 No Content", "", ""),
            (false, true) => watch_response(&known),
            (false, false) if silent => Reply::RespondAndHold(String::new()),
            (false, false) => Reply::Close,
        }
    })
}

/// A payout as the journal keeps it.
fn payout(id: u64, deadline: u64) -> Record {
    Record::Accepted(AcceptedMessage {
        id,
        name: format!("p{id}"),
        origin: String::new(),
        class: 2,
        tenant: 0,
        key: None,
        dest: 7,
        deadline,
        idempotency_key: String::new(),
        body: vec![b'x'; 1024].into(),
    })
}

/// With the largest journal that its folder may hold, and discovery silent or down, a process is ready long before the 10 s
/// within which it must be; and all that it found untried is tried once its list has come, though it may run once only.
#[rstest]
#[case::silent(true)]
#[case::down(false)]
fn with_a_full_journal_it_is_ready_in_time_and_tries_all_that_it_found(#[case] silent: bool) {
    let endpoint = Server::always("200 OK");
    let comes = Arc::new(AtomicBool::new(false));
    let disco = late_discovery(endpoint_list(2, &[(7, endpoint.addr)]), silent, comes.clone());
    let mut daemon = Setup { max_pending: 100_000, ..setup(&disco, endpoint_list(1, &[])) }.start();
    daemon.kill();
    let state = daemon.folder.join("state");
    let (mut journal, found) = Journal::open(&state, 3_000_000).expect("a journal");
    assert!(found.is_empty());
    let deadline = clock::now() + Nanos::from_secs(19.0);
    let full = (1..).find(|id| journal.append(&payout(*id, deadline.0)).is_err()).expect("an end");
    assert!(full > 1000, "{full} messages fill it");
    drop(journal);
    let begun = Instant::now();
    daemon.restart();
    assert!(begun.elapsed() < Duration::from_secs(5), "{:?}", begun.elapsed());
    comes.store(true, Ordering::Relaxed);
    let all = endpoint.wait_until("all that was found", |all| all.len() as u64 >= full - 1);
    let ids: BTreeSet<&str> = all.iter().map(HttpMessage::request_id).collect();
    assert_eq!((ids.len() as u64, all.len() as u64), (full - 1, full - 1), "each once");
}

/// A second SIGTERM, and a reload before or after it, change nothing of how the process ends.
#[rstest]
#[case::twice(&["-TERM", "-TERM"])]
#[case::reload_first(&["-HUP", "-TERM"])]
#[case::reload_between(&["-TERM", "-HUP", "-TERM", "-TERM"])]
fn signals_that_come_while_it_ends_change_nothing(#[case] signals: &[&str]) {
    let endpoint = Server::always("200 OK");
    let known = endpoint_list(1, &[(7, endpoint.addr)]);
    let disco = start_discovery(known.clone());
    let mut daemon = setup(&disco, known).start();
    let client = daemon.connect();
    assert_eq!(submit(&client, "payout", "before"), Some(202));
    signals.iter().for_each(|signal| daemon.signal(signal));
    daemon.wait_log("SIGTERM received");
    let told = Instant::now();
    let sent = sends_on(&client, "payout", "while");
    assert!(daemon.wait_exit(KILL_AFTER - told.elapsed()).success());
    let taken = || sent.iter().filter(|s| s.1 == Some(202)).map(|s| s.0.as_str()).chain(["before"]);
    assert!(taken().count() > 2, "it serves on while it ends: {sent:?}");
    daemon.restart();
    let is_over = |all: &[HttpMessage], id: &str| all.iter().any(|h| h.request_id() == id);
    let all = endpoint.wait_until("all that was taken on", |all| taken().all(|id| is_over(all, id)));
    assert!(taken().all(|id| all.iter().filter(|h| h.request_id() == id).count() == 1), "each once");
}
