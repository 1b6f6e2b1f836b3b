//! Moments of a takeover whose order is forced: by a lock that the test holds, by a process that is stopped, or by a client
//! that holds the rest of its request back. Callers have their answers in all of them. What these guard against, and how it
//! was seen, is told in `tests/takeover_rounds.rs`.
mod callers;
mod stand;
use callers::processes::{start_first, start_first_with, start_second};
use callers::{timeline, Call, Callers, Connections};
use stand::*;
use std::fs::File;
use std::io::{BufReader, Write};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// A request that was not used for 1 s has expired; and some time for the looks at the locks.
const SERVES_AGAIN_WITHIN: Duration = Duration::from_millis(1600);
/// The soonest that a planned restart kills the process after SIGTERM.
const KILLED_AFTER: Duration = Duration::from_millis(3700);
/// Some looks at the locks of each process.
const LOOKS: Duration = Duration::from_millis(200);
const CALLERS: [Connections; 2] = [Connections::New, Connections::Kept];

/// Holds one of the locks of the folder, as another process would.
fn hold(daemon: &Daemon, name: &str) -> File {
    let path = daemon.folder.join("state").join(name);
    let file = File::options().create(true).append(true).open(path).expect("a file");
    file.lock().expect("its lock");
    file
}

fn status(daemon: &Daemon, id: &str) -> u16 {
    daemon.submit("stats", id)
}

/// Waits until the process takes a message on; until then it may only turn it away.
fn wait_accepted(daemon: &Daemon, within: Duration) {
    let asked = Instant::now();
    for number in 0.. {
        match status(daemon, &format!("wait-{number}")) {
            202 => return,
            503 => assert!(asked.elapsed() < within, "turned away for {:?}", asked.elapsed()),
            other => panic!("{other}, neither taken on nor turned away"),
        }
        sleep(Duration::from_millis(5));
    }
}

fn check_answered(calls: &[Call]) {
    let unanswered = calls.iter().filter(|call| !call.is_settled() && !call.crossed_a_close());
    let unanswered = timeline(unanswered);
    assert!(!calls.is_empty() && unanswered.is_empty(), "without an answer:\n{unanswered}");
}

/// The successor dies while the predecessor drains: a request that is arriving then is answered, and so are new clients.
#[test]
fn a_drain_that_is_undone_cuts_nobody_off() {
    let first = start_first();
    let request = message_request("stats", "in-pieces", "20000m", "");
    let (begin, rest) = request.split_at(40);
    let mut client = first.connect();
    client.write_all(begin).expect("it reads");
    let successor = hold(&first, "next");
    first.wait_log("handing over");
    assert_eq!(status(&first, "while-draining"), 202);
    drop(successor);
    first.wait_log("serving again");
    client.write_all(rest).expect("it reads");
    let answer = read_http(&mut BufReader::new(client)).expect("an answer");
    assert_eq!(answer.status(), 202);
    assert_eq!(status(&first, "after-it"), 202);
    assert!(!first.log().contains("handed over"), "it was undone before the release");
}

/// Between the release and the successor's listener, and after the successor's death, clients are turned away and told when
/// to come again; they are neither refused nor left waiting.
#[test]
fn clients_are_turned_away_while_nobody_owns_the_folder() {
    let first = start_first();
    let request = hold(&first, "next");
    first.wait_log("handed over");
    let answer = first.send_request(&message_request("stats", "a", "20000m", "")).expect("an answer");
    assert_eq!((answer.status(), answer.header("retry-after").is_some()), (503, true));
    let owner = hold(&first, "owner");
    drop(request);
    first.wait_log("waiting for it");
    let answer = first.send_request(&message_request("stats", "b", "20000m", "")).expect("an answer");
    assert_eq!((answer.status(), answer.header("retry-after").is_some()), (503, true));
    let at = first.log().len();
    drop(owner);
    first.wait_log_from(at, "ready:");
    assert_eq!(status(&first, "c"), 202);
}

/// A request on a connection that was open before the release is turned away, not closed on.
#[test]
fn a_request_that_arrives_over_a_release_is_turned_away() {
    let first = start_first();
    let request = message_request("stats", "in-pieces", "20000m", "");
    let (begin, rest) = request.split_at(40);
    let mut client = first.connect();
    client.write_all(begin).expect("it reads");
    let _successor = hold(&first, "next");
    first.wait_log("handed over");
    sleep(LOOKS);
    client.write_all(rest).expect("it reads");
    let answer = read_http(&mut BufReader::new(client)).expect("an answer");
    assert_eq!((answer.status(), answer.header("retry-after").is_some()), (503, true));
}

/// The first process is told to end while a second one waits, and cannot be served yet: the takeover goes on all the same.
#[test]
fn sigterm_to_the_first_process_does_not_end_a_takeover() {
    let mut first = start_first();
    let callers = Callers::start(first.addr, "stats", &CALLERS);
    let standby = hold(&first, "standby");
    let second = start_second(&first);
    second.wait_log("waiting for it");
    sleep(LOOKS);
    first.terminate();
    first.wait_log("SIGTERM received");
    drop(standby);
    second.wait_log("ready:");
    assert!(first.wait_exit(EVENT_TIMEOUT).success());
    wait_accepted(&second, LOOKS);
    check_answered(&callers.stop());
    assert!(first.log().contains("handed over"));
}

#[test]
fn sigterm_to_a_second_process_that_waits_leaves_the_first_one_serving() {
    let first = start_first();
    let callers = Callers::start(first.addr, "stats", &CALLERS);
    let _standby = hold(&first, "standby");
    let mut second = start_second(&first);
    second.wait_log("waiting for it");
    second.terminate();
    assert!(second.wait_exit(EVENT_TIMEOUT).success());
    sleep(LOOKS);
    wait_accepted(&first, LOOKS);
    check_answered(&callers.stop());
    std::mem::forget(second);
}

#[test]
fn a_third_process_serves_once_the_first_two_are_dead() {
    let mut first = start_first();
    let _standby = hold(&first, "standby");
    let mut second = start_second(&first);
    second.wait_log("waiting for it");
    first.kill();
    second.kill();
    let third = start_second(&first);
    third.wait_log("ready:");
    assert_eq!(status(&third, "a"), 202);
    std::mem::forget(second);
    std::mem::forget(first);
}

/// A successor that is stopped when the folder is released for it: the predecessor serves again, and hands over once the
/// successor goes on.
#[test]
fn a_stopped_successor_takes_over_once_it_goes_on() {
    let mut first = start_first();
    let callers = Callers::start(first.addr, "stats", &CALLERS);
    let standby = hold(&first, "standby");
    let second = start_second(&first);
    second.wait_log("waiting for it");
    second.signal("-STOP");
    drop(standby);
    first.wait_log("handed over");
    let at = first.log().find("handed over").expect("it was");
    wait_accepted(&first, SERVES_AGAIN_WITHIN);
    assert!(first.log()[at..].contains("ready:"), "the first one serves again");
    sleep(LOOKS);
    assert_eq!(first.log().matches("handed over").count(), 1, "an expired request is passed over");
    second.signal("-CONT");
    second.wait_log("ready:");
    first.terminate();
    assert!(first.wait_exit(EVENT_TIMEOUT).success());
    wait_accepted(&second, LOOKS);
    check_answered(&callers.stop());
}

/// A second takeover and a third, while the processes before go on to run.
#[test]
fn a_successor_is_succeeded_while_its_predecessor_still_runs() {
    let first = start_first();
    let callers = Callers::start(first.addr, "stats", &CALLERS);
    let second = start_second(&first);
    second.wait_log("ready:");
    let third = start_second(&first);
    third.wait_log("ready:");
    let fourth = start_second(&first);
    fourth.wait_log("ready:");
    sleep(LOOKS);
    wait_accepted(&fourth, LOOKS);
    check_answered(&callers.stop());
    first.wait_log("no longer on standby");
    for earlier in [&first, &second, &third] {
        assert_eq!(earlier.log().matches("handed over").count(), 1, "{}", earlier.log());
    }
}

/// SIGTERM in the moment in which a process forgets its time as the owner and waits anew. It was lost there: the handler of
/// the time before was gone, and the next one was not installed yet, so the process went on until SIGKILL.
#[test]
fn sigterm_is_heard_while_a_process_forgets_its_time_as_the_owner() {
    const DELAYS_MS: std::ops::Range<u64> = 0..24;
    let ends = DELAYS_MS.map(|delay| {
        std::thread::spawn(move || {
            let mut first = start_first();
            let successor = hold(&first, "next");
            first.wait_log("handed over");
            // The successor is gone, and the process sees it within 20 ms.
            drop(successor);
            sleep(Duration::from_millis(delay));
            first.terminate();
            let asked = Instant::now();
            while first.is_running() && asked.elapsed() < KILLED_AFTER {
                sleep(Duration::from_millis(10));
            }
            (delay, first.is_running())
        })
    });
    let ends: Vec<_> = ends.collect::<Vec<_>>().into_iter().map(|end| end.join().expect("a round")).collect();
    let deaf: Vec<u64> = ends.into_iter().filter(|(_, runs)| *runs).map(|(delay, _)| delay).collect();
    assert!(deaf.is_empty(), "SIGTERM was lost so many ms after the successor's end: {deaf:?}");
}

/// A process that had released the folder took it again only once its last call had ended. Where a call hung and the successor
/// died, callers were turned away until then: `handed over; ending the calls that are out calls=1` in the log, and `ready`
/// only when the call had ended. Before 879e520 they were refused. The calls of the time before go on beside the new one
/// now, as those of another process do.
#[test]
fn a_predecessor_with_a_call_out_serves_again_once_its_successor_is_gone() {
    const CALL: Duration = Duration::from_secs(10);
    /// What a second process has on the page of upgrades.
    const SERVES_WITHIN: Duration = Duration::from_secs(6);
    let endpoint = Server::start(|heard, _| {
        if heard.request_id() == "slow" {
            sleep(CALL);
        }
        respond("200 OK", "", "")
    });
    let first = start_first_with(&endpoint);
    assert_eq!(first.submit("payout", "slow"), 202);
    endpoint.wait_request("slow");
    let successor = hold(&first, "next");
    first.wait_log("handed over");
    drop(successor);
    wait_accepted(&first, SERVES_WITHIN);
}
