//! Plug-in scripts in the real program: their decisions take effect, and faulty scripts do not disturb it.
mod stand;
use rstest::rstest;
use stand::*;
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

const SCRIPTS: [(&str, &str); 4] = [
    ("a_faulty.rhai", "fn on_request(r) { let x = []; loop { x.push(1); } }"),
    ("b_broken.rhai", "fn on_request(r) { return "),
    (
        "c_reject.rhai",
        r#"fn on_request(r) { if r.class == "stats" && r.name == "no" { "reject" } else { #{ tag: "seen-" + r.dest } } }"#,
    ),
    (
        "d_observe.rhai",
        r#"fn on_outcome(r, outcome) { print(r.name + " ended " + outcome + " " + r.tags[0]); throw "never mind"; }"#,
    ),
];

#[test]
fn scripts_pass_reject_tag_and_observe_requests_and_faulty_scripts_are_skipped() {
    let endpoint = Server::always("200 OK");
    let known = endpoint_list(1, &[(7, endpoint.addr)]);
    let discovery_server = start_discovery(known.clone());
    let (_folder, mut daemon) = start_with_scripts(&discovery_server, known, &SCRIPTS);
    let rejected = daemon.send_request(&message_request("stats", "no", "20000m", "")).expect("a response");
    assert_eq!((rejected.status(), rejected.header("retry-after").is_some()), (503, true));
    assert_eq!(daemon.submit("payout", "yes"), 202);
    endpoint.wait_request("yes");
    daemon.wait_log("script: yes ended Ok seen-7");
    let log = daemon.wait_log("d_observe.rhai: on_outcome failed");
    assert!(log.contains("script b_broken.rhai skipped"), "{log}");
    assert!(log.contains("script a_faulty.rhai: on_request failed"), "{log}");
    assert!(daemon.is_running() && endpoint.received().len() == 1);
}

/// Existing scripts compare these texts (`docs/plugins.md`), so a renamed variant must keep its text.
#[test]
fn each_outcome_has_its_documented_text() {
    use micaladder::plugins::outcome_text;
    use micaladder::{Nanos, Outcome};
    let documented = [
        (Outcome::Ok, "Ok"),
        (Outcome::Error, "Error"),
        (Outcome::Rejected(None), "Full(None)"),
        (Outcome::Rejected(Some(Nanos(5))), "Full(Some(Nanos(5)))"),
        (Outcome::Timeout, "Timeout"),
        (Outcome::ConnectFailed, "ConnectFailed"),
        (Outcome::Reset, "Reset"),
        (Outcome::Cancelled, "Cancelled"),
        (Outcome::UnreadableAnswer, "Spoilt"),
        (Outcome::ConnectionLimit, "Crowded"),
        (Outcome::Skipped, "Moot"),
        (Outcome::NotSent, "Unsent"),
    ];
    for (outcome, text) in documented {
        assert_eq!(outcome_text(outcome), text);
    }
}

/// Starts a daemon with these scripts, by file name.
fn start_with_scripts(
    discovery: &Server, known: String, scripts: &[(&str, &str)],
) -> (tempfile::TempDir, Daemon) {
    let folder = tempfile::tempdir().expect("a folder");
    for (name, text) in scripts {
        std::fs::write(folder.path().join(name), text).expect("the script is written");
    }
    let env = vec![("MICALADDER_PLUGINS".to_string(), folder.path().display().to_string())];
    let daemon = Setup { env, ..setup(discovery, known) }.start();
    (folder, daemon)
}

/// Clients wait this long for the answer to a request.
const CLIENT_TIMEOUT: Duration = Duration::from_millis(400);

/// Guards against a forwarder that did nothing any more (issue 76): a script held the thread of the event loop. `STOP` stands for
/// what the script does with the message `stop`.
#[rstest]
#[case::sleeps_in_a_loop("while true { sleep(1); }")]
#[case::sleeps_long("sleep(86400);")]
#[case::sleeps_for_a_float("sleep(86400.0);")]
#[case::panics("sleep(1.0e300);")]
#[case::loops("loop { }")]
#[case::copies_strings(
    r#"let s = "a"; while s.len() < 2000 { s += s; } loop { s.replace("a", "bb"); s.replace("bb", "a"); }"#
)]
#[case::splits_strings(r#"let s = "a"; while s.len() < 2000 { s += s; } loop { s.split(""); }"#)]
#[case::sorts_arrays(r#"let a = []; while a.len() < 127 { a.push("x"); } loop { let b = a; b.sort(); }"#)]
#[case::evaluates_itself(r#"let s = "eval(s)"; eval(s);"#)]
#[case::doubles_a_closure(r#"let f = Fn("print"); let i = 0; while i < 24 { f = f.curry(f); i += 1; }"#)]
#[case::recurses("fn f(n) { f(n + 1) } f(0);")]
fn a_script_that_holds_its_thread_delays_no_other_message(
    #[case] stop: &str, #[values("on_request(r)", "on_outcome(r, o)")] hook: &str,
) {
    let endpoint = Server::always("200 OK");
    let known = endpoint_list(1, &[(7, endpoint.addr)]);
    let discovery = start_discovery(known.clone());
    let (functions, stop) = stop
        .split_once("} f(0);")
        .map_or((String::new(), stop.to_string()), |(f, _)| (format!("{f}}}\n"), "f(0);".to_string()));
    let script = format!("{functions}fn {hook} {{ if r.name == \"stop\" {{ {stop} }} }}");
    let (_folder, mut daemon) = start_with_scripts(&discovery, known, &[("stop.rhai", &script)]);
    let submit = |id: &str| {
        let started = Instant::now();
        assert_eq!(daemon.submit("payout", id), 202, "{id}");
        assert!(started.elapsed() < CLIENT_TIMEOUT, "{id} was answered after {:?}", started.elapsed());
    };
    submit("stop");
    (0..10).for_each(|n| submit(&format!("m{n}")));
    endpoint.wait_until("all messages", |calls| calls.len() == 11);
    let ready = daemon.send_request(b"GET /ready HTTP/1.1\r\nHost: service.internal\r\n\r\n");
    assert_eq!(ready.map(|response| response.status()), Some(200));
    daemon.wait_log("script stop.rhai");
    assert!(daemon.is_running());
}

/// A plug-in that hangs and one that panics, on every message under load, leave each message its one final answer, and a removed
/// endpoint gets no call later than 250 ms after the change.
#[test]
fn scripts_that_hang_and_panic_under_load_break_neither_answers_nor_the_drain_rule() {
    const ROUNDS: usize = 20;
    const CLIENTS: usize = 4;
    /// The time limit of the platform, and what it grows by on sockets.
    const DRAIN_GRACE: Duration = Duration::from_millis(250 + 50);
    let calls_to_removed = Arc::new(Mutex::new(Vec::new()));
    let calls = calls_to_removed.clone();
    let old = Server::start(move |_, _| {
        calls.lock().expect("lock").push(Instant::now());
        respond("200 OK", "", "")
    });
    let new = Server::always("200 OK");
    let known = endpoint_list(1, &[(7, old.addr)]);
    let change = endpoint_list(2, &[(7, new.addr)]).replace("s-0", "s-new");
    let (remove, removal) = channel::<()>();
    let (removal, removed_at) = (Mutex::new(removal), Arc::new(OnceLock::new()));
    let change_sent_at = removed_at.clone();
    let discovery = Server::start(move |request, _| {
        if request.start_line.starts_with("POST") {
            return respond("204 No Content", "", "");
        }
        removal.lock().expect("lock").recv_timeout(EVENT_TIMEOUT).expect("the endpoint is removed");
        let _ = change_sent_at.set(Instant::now());
        watch_response(&change)
    });
    let scripts = [
        (
            "a_hang.rhai",
            "fn on_request(r) { while true { sleep(1); } } fn on_outcome(r, o) { sleep(86400); }",
        ),
        ("b_panic.rhai", "fn on_request(r) { sleep(1.0e300); } fn on_outcome(r, o) { sleep(1.0e300); }"),
        (
            "c_observe.rhai",
            r#"fn on_request(r) { #{ tag: "seen" } } fn on_outcome(r, o) { print(r.name + " " + r.tags[0]); }"#,
        ),
    ];
    let (_folder, mut daemon) = start_with_scripts(&discovery, known, &scripts);
    for round in 0..ROUNDS {
        if round == ROUNDS / 2 {
            remove.send(()).expect("discovery waits for the removal");
        }
        thread::scope(|scope| {
            for client in 0..CLIENTS {
                let daemon = &daemon;
                scope.spawn(move || {
                    let (id, started) = (format!("m{round}-{client}"), Instant::now());
                    assert_eq!(daemon.submit("payout", &id), 202, "{id}");
                    assert!(started.elapsed() < CLIENT_TIMEOUT, "{id}: {:?}", started.elapsed());
                });
            }
        });
    }
    daemon.wait_log(&format!("script: m{}-0 seen", ROUNDS - 1));
    let sent = [&old, &new].map(|server| server.received().len()).iter().sum::<usize>();
    assert_eq!(sent, ROUNDS * CLIENTS, "each message is sent once");
    assert!(!discovery.received().iter().any(|request| request.start_line.starts_with("POST")));
    let removed_at = *removed_at.get().expect("the endpoint was removed");
    let late =
        calls_to_removed.lock().expect("lock").iter().filter(|at| **at > removed_at + DRAIN_GRACE).count();
    assert_eq!((late, new.received().is_empty()), (0, false));
    assert!(daemon.is_running());
}
