//! A planned restart, while clients keep sending on their connections and for a while open new ones.
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

/// How long after SIGTERM clients open new connections.
const NEW_CONNECTIONS_FOR: Duration = Duration::from_millis(400);
/// The shortest time from SIGTERM to SIGKILL.
const KILL_AFTER: Duration = Duration::from_millis(3700);

/// Submits a message on this connection and returns the response status, or `None` if the connection ends without a response.
fn submit(socket: &TcpStream, class: &str, id: &str) -> Option<u16> {
    let mut writer = socket;
    writer.write_all(&message_request(class, id, "20000m", "")).ok()?;
    read_http(&mut BufReader::new(socket.try_clone().expect("a handle"))).map(|h| h.status())
}

/// Submits messages on this connection, each after the response to the previous one, until the connection ends.
fn submit_until_closed(socket: &TcpStream, class: &str, name: &str) -> Vec<(String, Option<u16>)> {
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
fn at_a_planned_restart_each_request_is_answered_and_each_accepted_message_completes_once() {
    let endpoint = Server::always("200 OK");
    let known = endpoint_list(1, &[(7, endpoint.addr)]);
    let discovery = start_discovery(known.clone());
    let mut daemon = setup(&discovery, known).start();
    let (client_served, served_clients) = channel();
    let threads: Vec<_> = (0..6)
        .map(|n| {
            let (socket, client_served) = (daemon.connect(), client_served.clone());
            thread::spawn(move || {
                let class = if n % 2 == 0 { "stats" } else { "payout" };
                assert_eq!(submit(&socket, class, &format!("first-{n}")), Some(202));
                client_served.send(()).expect("a receiver");
                submit_until_closed(&socket, class, &format!("c{n}"))
            })
        })
        .collect();
    (0..6).for_each(|_| served_clients.recv_timeout(EVENT_TIMEOUT).expect("each client is served"));
    daemon.terminate();
    let terminated_at = Instant::now();
    daemon.wait_log("SIGTERM received");
    let mut new_connections = 0;
    while terminated_at.elapsed() < NEW_CONNECTIONS_FOR {
        let status = submit(&daemon.connect(), "stats", &format!("new-{new_connections}"));
        assert!(matches!(status, Some(202 | 503)), "a request on a new connection got {status:?}");
        new_connections += 1;
    }
    assert!(daemon.wait_exit(KILL_AFTER - terminated_at.elapsed()).success());
    let log = daemon.log();
    let sent: BTreeMap<String, Option<u16>> =
        threads.into_iter().flat_map(|t| t.join().expect("a client")).collect();
    assert!(sent.values().all(|s| matches!(s, Some(202 | 503) | None)), "{sent:?}");
    // A close may cross a request that the daemon has not read; its client sends the request again. Each request that the daemon
    // has read gets a response.
    assert!(!log.contains("closed during a request"), "a connection was closed during a request");
    let is_accepted = |id: &String| log.contains(&format!("message accepted message={id} "));
    let unanswered: Vec<&String> =
        sent.iter().filter(|(id, s)| s.is_none() && is_accepted(id)).map(|s| s.0).collect();
    assert!(unanswered.is_empty(), "accepted and never answered: {unanswered:?}");
    // Messages that were accepted and are still pending are completed after the restart.
    daemon.restart();
    let accepted: Vec<String> = sent.into_iter().filter(|(_, s)| *s == Some(202)).map(|(id, _)| id).collect();
    assert!(accepted.len() > 12, "clients kept sending after SIGTERM: {accepted:?}");
    let is_delivered = |all: &[HttpMessage], id: &str| all.iter().any(|h| h.request_id() == id);
    let all = endpoint.wait_until("all accepted messages", |all| {
        accepted.iter().all(|id| {
            is_delivered(all, id) || discovery.count_distinct_bodies(&format!(r#""id":"{id}""#)) > 0
        })
    });
    for id in accepted.iter().filter(|id| ["c1", "c3", "c5"].iter().any(|c| id.starts_with(c))) {
        assert!(
            all.iter().filter(|h| h.request_id() == id).count() <= 1,
            "{id}, which may run at most once, was sent twice"
        );
    }
}

/// Starts a discovery server that stays silent or closes each connection, until it is enabled and sends the endpoint list.
fn late_discovery(known: String, silent: bool, enabled: Arc<AtomicBool>) -> Server {
    Server::start(move |request, _| {
        match (request.start_line.starts_with("POST"), enabled.load(Ordering::Relaxed)) {
            (true, _) => respond("204 No Content", "", ""),
            (false, true) => watch_response(&known),
            (false, false) if silent => Reply::RespondAndHold(String::new()),
            (false, false) => Reply::Close,
        }
    })
}

/// The journal record of a message that may run at most once.
fn at_most_once_record(id: u64, deadline: u64) -> Record {
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

/// With the largest journal that the state folder may hold, and discovery silent or down, the process is ready well within the
/// required 10 seconds. Once the endpoint list arrives, it attempts each message from the journal, which may run at most once.
#[rstest]
#[case::silent(true)]
#[case::down(false)]
fn a_start_with_a_full_journal_is_ready_in_time_and_attempts_each_message_once(#[case] silent: bool) {
    let endpoint = Server::always("200 OK");
    let enabled = Arc::new(AtomicBool::new(false));
    let discovery = late_discovery(endpoint_list(2, &[(7, endpoint.addr)]), silent, enabled.clone());
    let mut daemon = Setup { max_pending: 100_000, ..setup(&discovery, endpoint_list(1, &[])) }.start();
    daemon.kill();
    let state = daemon.folder.join("state");
    let (mut journal, records) = Journal::open(&state, 3_000_000).expect("a journal");
    assert!(records.is_empty());
    let deadline = clock::now() + Nanos::from_secs(19.0);
    let full = (1..)
        .find(|id| journal.append(&at_most_once_record(*id, deadline.0)).is_err())
        .expect("a full journal");
    assert!(full > 1000, "{full} messages fill the journal");
    drop(journal);
    let started_at = Instant::now();
    daemon.restart();
    assert!(started_at.elapsed() < Duration::from_secs(5), "{:?}", started_at.elapsed());
    enabled.store(true, Ordering::Relaxed);
    let all = endpoint.wait_until("all messages of the journal", |all| all.len() as u64 >= full - 1);
    let ids: BTreeSet<&str> = all.iter().map(HttpMessage::request_id).collect();
    assert_eq!((ids.len() as u64, all.len() as u64), (full - 1, full - 1), "each message is attempted once");
}

/// A second SIGTERM, or a reload before or after it, does not change the shutdown.
#[rstest]
#[case::twice(&["-TERM", "-TERM"])]
#[case::reload_first(&["-HUP", "-TERM"])]
#[case::reload_between(&["-TERM", "-HUP", "-TERM", "-TERM"])]
fn further_signals_do_not_change_a_shutdown(#[case] signals: &[&str]) {
    let endpoint = Server::always("200 OK");
    let known = endpoint_list(1, &[(7, endpoint.addr)]);
    let discovery = start_discovery(known.clone());
    let mut daemon = setup(&discovery, known).start();
    let client = daemon.connect();
    assert_eq!(submit(&client, "payout", "before"), Some(202));
    signals.iter().for_each(|signal| daemon.signal(signal));
    daemon.wait_log("SIGTERM received");
    let terminated_at = Instant::now();
    let sent = submit_until_closed(&client, "payout", "while");
    assert!(daemon.wait_exit(KILL_AFTER - terminated_at.elapsed()).success());
    let accepted = || sent.iter().filter(|s| s.1 == Some(202)).map(|s| s.0.as_str()).chain(["before"]);
    assert!(accepted().count() > 2, "requests are served during the shutdown: {sent:?}");
    daemon.restart();
    let is_delivered = |all: &[HttpMessage], id: &str| all.iter().any(|h| h.request_id() == id);
    let all = endpoint.wait_until("all accepted messages", |all| accepted().all(|id| is_delivered(all, id)));
    assert!(
        accepted().all(|id| all.iter().filter(|h| h.request_id() == id).count() == 1),
        "each message is attempted once"
    );
}
