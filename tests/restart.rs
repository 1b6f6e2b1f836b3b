//! A planned restart: clients go on sending on all the connections they have, and open new ones for a while.
mod stand;
use stand::*;
use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::sync::mpsc::channel;
use std::thread;
use std::time::{Duration, Instant};

/// For so long after SIGTERM new connections keep coming; SIGKILL comes so long after it at the soonest.
const NEW_FOR: Duration = Duration::from_millis(400);
const KILL_AFTER: Duration = Duration::from_millis(3700);

/// Hands one message in on this connection; nothing where it ends without an answer.
fn hand_in(socket: &TcpStream, class: &str, id: &str) -> Option<u16> {
    let mut writer = socket;
    writer.write_all(&message(class, id, "20000m", "")).ok()?;
    read_http(&mut BufReader::new(socket.try_clone().expect("a handle"))).map(|h| h.status())
}

/// Sends one message after the other, each once the one before has its answer, until the connection ends.
fn sends_on(socket: &TcpStream, class: &str, name: &str) -> Vec<(String, Option<u16>)> {
    let mut all = Vec::new();
    loop {
        let id = format!("{name}-{}", all.len());
        let status = hand_in(socket, class, &id);
        all.push((id, status));
        if status.is_none() {
            return all;
        }
    }
}

#[test]
fn at_a_planned_restart_each_request_is_answered_and_what_is_taken_on_has_one_end() {
    let endpoint = Server::always("200 OK");
    let known = list(1, &[(7, endpoint.addr)]);
    let disco = discovery(known.clone());
    let mut daemon = setup(&disco, known).start();
    let (tell, heard) = channel();
    let threads: Vec<_> = (0..6)
        .map(|n| {
            let (socket, tell) = (daemon.connect(), tell.clone());
            thread::spawn(move || {
                let class = if n % 2 == 0 { "stats" } else { "payout" };
                assert_eq!(hand_in(&socket, class, &format!("first-{n}")), Some(202));
                tell.send(()).expect("it listens");
                sends_on(&socket, class, &format!("c{n}"))
            })
        })
        .collect();
    (0..6).for_each(|_| heard.recv_timeout(PATIENCE).expect("each client is served"));
    daemon.terminate();
    let told = Instant::now();
    daemon.wait_log("told to end");
    let mut new = 0;
    while told.elapsed() < NEW_FOR {
        let status = hand_in(&daemon.connect(), "stats", &format!("new-{new}"));
        assert!(matches!(status, Some(202 | 503)), "a new connection ended with {status:?}");
        new += 1;
    }
    assert!(daemon.wait_end(KILL_AFTER - told.elapsed()).success());
    let log = daemon.log();
    let sent: BTreeMap<String, Option<u16>> =
        threads.into_iter().flat_map(|t| t.join().expect("a client")).collect();
    assert!(sent.values().all(|s| matches!(s, Some(202 | 503) | None)), "{sent:?}");
    // A close may cross a request that was not read: its client sends it once more. One that was read is answered.
    assert!(!log.contains("ended under a request"), "a connection was closed under a request");
    let begun = |id: &String| log.contains(&format!("taken on message={id} "));
    let cut: Vec<&String> = sent.iter().filter(|(id, s)| s.is_none() && begun(id)).map(|s| s.0).collect();
    assert!(cut.is_empty(), "read, taken on and never answered: {cut:?}");
    // What was taken on and not delivered yet is carried over.
    daemon.start_again();
    let taken: Vec<String> = sent.into_iter().filter(|(_, s)| *s == Some(202)).map(|(id, _)| id).collect();
    assert!(taken.len() > 12, "they went on: {taken:?}");
    let ended = |all: &[Heard], id: &str| all.iter().any(|h| h.id() == id);
    let all = endpoint.wait("all that was taken on", |all| {
        taken.iter().all(|id| ended(all, id) || disco.different(&format!(r#""id":"{id}""#)) > 0)
    });
    for id in taken.iter().filter(|id| ["c1", "c3", "c5"].iter().any(|c| id.starts_with(c))) {
        assert!(all.iter().filter(|h| h.id() == id).count() <= 1, "a payout came twice: {id}");
    }
}
