//! Takeovers with a forced order of events: the test holds a lock of the state folder, suspends a process, or delays the rest
//! of a request. Callers are answered in all of them. `tests/takeover_rounds.rs` describes the failures that these tests
//! guard against.
mod callers;
mod stand;
use callers::processes::{start_first, start_first_with, start_second};
use callers::{timeline, Callers, ClientRequest, Connections};
use stand::*;
use std::fs::File;
use std::io::{BufReader, Write};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// The time after which an unused request for the folder expires (1 s), and some time for polls of the locks.
const SERVES_AGAIN_WITHIN: Duration = Duration::from_millis(1600);
/// The earliest time after SIGTERM at which a planned restart kills the process.
const KILL_AFTER_TERM: Duration = Duration::from_millis(3700);
/// Time in which each process polls the locks several times.
const SEVERAL_POLLS: Duration = Duration::from_millis(200);
const CALLERS: [Connections; 2] = [Connections::New, Connections::KeepAlive];

/// Acquires a lock of the state folder, as another process would; the lock is held until the file is dropped.
fn acquire_lock(daemon: &Daemon, name: &str) -> File {
    let path = daemon.folder.join("state").join(name);
    let file = File::options().create(true).append(true).open(path).expect("cannot open the lock file");
    file.lock().expect("cannot lock the file");
    file
}

/// Waits until the second process has requested the folder, which it does only after its log line `waiting for it`. The id of
/// a request is a Unix time in nanoseconds, and one of fewer than 19 digits is not completely written.
fn wait_requested(first: &Daemon) {
    const ID_DIGITS: usize = 19;
    let path = first.folder.join("state/next");
    let until = Instant::now() + EVENT_TIMEOUT;
    loop {
        let id = std::fs::read_to_string(&path).unwrap_or_default();
        if id.len() == ID_DIGITS && id.parse::<u64>().is_ok() {
            return;
        }
        assert!(
            Instant::now() < until,
            "timed out waiting for a request for the folder; `next` holds {id:?}"
        );
        sleep(Duration::from_millis(5));
    }
}

/// Sends a message and returns the status of the response.
fn submit(daemon: &Daemon, id: &str) -> u16 {
    daemon.submit("stats", id)
}

/// Sends messages until the forwarder accepts one. Each earlier message must be rejected with 503.
fn wait_accepted(daemon: &Daemon, within: Duration) {
    let started = Instant::now();
    for number in 0.. {
        match submit(daemon, &format!("wait-{number}")) {
            202 => return,
            503 => assert!(started.elapsed() < within, "messages rejected for {:?}", started.elapsed()),
            other => panic!("a message was answered with status {other}, neither 202 nor 503"),
        }
        sleep(Duration::from_millis(5));
    }
}

/// Checks that each request has an answer, apart from those whose connection was closed while they were on their way.
fn check_answered(requests: &[ClientRequest]) {
    let unanswered = requests.iter().filter(|request| !request.is_settled() && !request.raced_with_close());
    let unanswered = timeline(unanswered);
    assert!(!requests.is_empty() && unanswered.is_empty(), "requests without an answer:\n{unanswered}");
}

/// The successor dies while the predecessor drains. A request that the predecessor has received in part is answered, and so
/// are new clients.
#[test]
fn a_cancelled_drain_interrupts_no_request() {
    let first = start_first();
    let request = message_request("stats", "in-pieces", "20000m", "");
    let (first_part, rest) = request.split_at(40);
    let mut client = first.connect();
    client.write_all(first_part).expect("cannot send to the forwarder");
    let successor = acquire_lock(&first, "next");
    first.wait_log("handing over");
    assert_eq!(submit(&first, "while-draining"), 202);
    drop(successor);
    first.wait_log("serving again");
    client.write_all(rest).expect("cannot send to the forwarder");
    let response = read_http(&mut BufReader::new(client)).expect("no response");
    assert_eq!(response.status(), 202);
    assert_eq!(submit(&first, "after-drain"), 202);
    assert!(
        !first.log().contains("handed over"),
        "the journal was released before the takeover was cancelled"
    );
}

/// Clients are neither refused nor left without a response between the release and the moment the successor listens, nor
/// after the successor's death.
#[test]
fn clients_are_rejected_with_retry_after_while_no_process_owns_the_folder() {
    let first = start_first();
    let request = acquire_lock(&first, "next");
    first.wait_log("handed over");
    let response = first.send_request(&message_request("stats", "a", "20000m", "")).expect("no response");
    assert_eq!((response.status(), response.header("retry-after").is_some()), (503, true));
    let owner = acquire_lock(&first, "owner");
    drop(request);
    first.wait_log("waiting for it");
    let response = first.send_request(&message_request("stats", "b", "20000m", "")).expect("no response");
    assert_eq!((response.status(), response.header("retry-after").is_some()), (503, true));
    let before = first.log().len();
    drop(owner);
    first.wait_log_from(before, "ready:");
    assert_eq!(submit(&first, "c"), 202);
}

/// A connection that was open before the release is not closed before its request has a response.
#[test]
fn a_request_received_partly_before_the_release_is_rejected_with_retry_after() {
    let first = start_first();
    let request = message_request("stats", "in-pieces", "20000m", "");
    let (first_part, rest) = request.split_at(40);
    let mut client = first.connect();
    client.write_all(first_part).expect("cannot send to the forwarder");
    let _successor = acquire_lock(&first, "next");
    first.wait_log("handed over");
    sleep(SEVERAL_POLLS);
    client.write_all(rest).expect("cannot send to the forwarder");
    let response = read_http(&mut BufReader::new(client)).expect("no response");
    assert_eq!((response.status(), response.header("retry-after").is_some()), (503, true));
}

/// The first process receives SIGTERM while a second process waits and the journal cannot be released yet.
#[test]
fn sigterm_to_the_first_process_does_not_cancel_a_takeover() {
    let mut first = start_first();
    let callers = Callers::start(first.addr, "stats", &CALLERS);
    let standby = acquire_lock(&first, "standby");
    let second = start_second(&first);
    second.wait_log("waiting for it");
    sleep(SEVERAL_POLLS);
    first.terminate();
    first.wait_log("SIGTERM received");
    drop(standby);
    second.wait_log("ready:");
    assert!(first.wait_exit(EVENT_TIMEOUT).success());
    wait_accepted(&second, SEVERAL_POLLS);
    check_answered(&callers.stop());
    assert!(first.log().contains("handed over"));
}

#[test]
fn sigterm_to_a_waiting_second_process_leaves_the_first_process_serving() {
    let first = start_first();
    let callers = Callers::start(first.addr, "stats", &CALLERS);
    let _standby = acquire_lock(&first, "standby");
    let mut second = start_second(&first);
    second.wait_log("waiting for it");
    second.terminate();
    assert!(second.wait_exit(EVENT_TIMEOUT).success());
    sleep(SEVERAL_POLLS);
    wait_accepted(&first, SEVERAL_POLLS);
    check_answered(&callers.stop());
    std::mem::forget(second);
}

#[test]
fn a_third_process_serves_once_the_first_two_are_dead() {
    let mut first = start_first();
    let _standby = acquire_lock(&first, "standby");
    let mut second = start_second(&first);
    second.wait_log("waiting for it");
    first.kill();
    second.kill();
    let third = start_second(&first);
    third.wait_log("ready:");
    assert_eq!(submit(&third, "a"), 202);
    std::mem::forget(second);
    std::mem::forget(first);
}

/// The successor is suspended when the journal is released for it. The predecessor serves again, and hands over once the
/// successor is resumed.
#[test]
fn a_suspended_successor_takes_over_once_it_is_resumed() {
    let mut first = start_first();
    let callers = Callers::start(first.addr, "stats", &CALLERS);
    let standby = acquire_lock(&first, "standby");
    let second = start_second(&first);
    second.wait_log("waiting for it");
    wait_requested(&first);
    second.signal("-STOP");
    drop(standby);
    first.wait_log("handed over");
    let handed_over_at = first.log().find("handed over").expect("no `handed over` in the log");
    wait_accepted(&first, SERVES_AGAIN_WITHIN);
    assert!(first.log()[handed_over_at..].contains("ready:"), "the first process does not serve again");
    sleep(SEVERAL_POLLS);
    assert_eq!(first.log().matches("handed over").count(), 1, "an expired request is not ignored");
    second.signal("-CONT");
    second.wait_log("ready:");
    first.terminate();
    assert!(first.wait_exit(EVENT_TIMEOUT).success());
    wait_accepted(&second, SEVERAL_POLLS);
    check_answered(&callers.stop());
}

/// A second and a third takeover follow while all earlier processes still run.
#[test]
fn a_successor_hands_over_while_its_predecessor_still_runs() {
    let first = start_first();
    let callers = Callers::start(first.addr, "stats", &CALLERS);
    let second = start_second(&first);
    second.wait_log("ready:");
    let third = start_second(&first);
    third.wait_log("ready:");
    let fourth = start_second(&first);
    fourth.wait_log("ready:");
    sleep(SEVERAL_POLLS);
    wait_accepted(&fourth, SEVERAL_POLLS);
    check_answered(&callers.stop());
    first.wait_log("no longer on standby");
    for earlier in [&first, &second, &third] {
        assert_eq!(earlier.log().matches("handed over").count(), 1, "{}", earlier.log());
    }
}

/// Guards against a SIGTERM that is lost while a former owner of the folder resets and waits for the folder again. The
/// handler from before the reset was gone and the next one not yet installed, so the process ran until SIGKILL.
#[test]
fn sigterm_is_not_lost_while_a_former_owner_resets() {
    const DELAYS_MS: std::ops::Range<u64> = 0..24;
    let trials = DELAYS_MS.map(|delay| {
        std::thread::spawn(move || {
            let mut first = start_first();
            let successor = acquire_lock(&first, "next");
            first.wait_log("handed over");
            // The process detects within 20 ms that the successor is gone.
            drop(successor);
            sleep(Duration::from_millis(delay));
            first.terminate();
            let terminated_at = Instant::now();
            while first.is_running() && terminated_at.elapsed() < KILL_AFTER_TERM {
                sleep(Duration::from_millis(10));
            }
            (delay, first.is_running())
        })
    });
    let trials: Vec<_> =
        trials.collect::<Vec<_>>().into_iter().map(|trial| trial.join().expect("a trial panicked")).collect();
    let lost_ms: Vec<u64> =
        trials.into_iter().filter(|(_, is_running)| *is_running).map(|(delay, _)| delay).collect();
    assert!(
        lost_ms.is_empty(),
        "SIGTERM was lost at these delays after the successor's end, in ms: {lost_ms:?}"
    );
}

/// Guards against a predecessor that takes the folder back only once its last call has ended. If a call hung and the
/// successor died, callers were rejected until then, and refused before 879e520. The log had `handed over; finishing the
/// calls in flight calls=1`, and `ready` only after the end of the call. Earlier calls now continue while the process serves
/// again, as those of another process would.
#[test]
fn a_predecessor_with_a_call_in_flight_serves_again_once_its_successor_is_gone() {
    const CALL_DURATION: Duration = Duration::from_secs(10);
    /// The documented limit for a second process during an upgrade.
    const SERVES_WITHIN: Duration = Duration::from_secs(6);
    let endpoint = Server::start(|request, _| {
        if request.request_id() == "slow" {
            sleep(CALL_DURATION);
        }
        respond("200 OK", "", "")
    });
    let first = start_first_with(&endpoint);
    assert_eq!(first.submit("payout", "slow"), 202);
    endpoint.wait_request("slow");
    let successor = acquire_lock(&first, "next");
    first.wait_log("handed over");
    drop(successor);
    wait_accepted(&first, SERVES_WITHIN);
}
