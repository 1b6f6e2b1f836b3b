//! One takeover after the other between real processes, each of which has to be over within its bound.
//!
//! Operators saw upgrades whose second process never served. The first process gave the journal up and took it back 2 to 25
//! times in a round: its log had `handing over`, `handed over calls=0` and `ready` every 80 ms, for as long as both ran.
//! After a release it went straight back to waiting for the owner's lock and tried it at once, while the second process
//! looked every 20 ms: nothing said whose turn it was. `crates/lab/tests/takeover/liveness.rs` has the order itself.
//!
//! `TAKEOVER_ROUNDS` says how many rounds a test plays.
mod stand;
use stand::*;
use std::time::{Duration, Instant};

/// Within this time of its start a second process has to serve.
const SERVES_WITHIN: Duration = Duration::from_millis(500);
const DEFAULT_ROUNDS: usize = 10;

fn rounds() -> usize {
    std::env::var("TAKEOVER_ROUNDS").map_or(DEFAULT_ROUNDS, |rounds| rounds.parse().expect("a number"))
}

/// A forwarder with a management address, whose only endpoint answers each call at once.
fn start_first() -> Daemon {
    let endpoint = Server::always("200 OK");
    let known = list(1, &[(7, endpoint.addr)]);
    let env = vec![("RELAY_MGMT".to_string(), free_address().to_string())];
    Setup { env, max_pending: 1000, ..setup(&discovery(known.clone()), known) }.start()
}

/// Starts a second process beside this one, waits until it serves, and ends the first one. Returns the second process and
/// the time until it served.
fn take_over(first: &mut Daemon) -> (Daemon, Duration) {
    let started = Instant::now();
    let second = first.start_beside("RELAY_MGMT", &free_address().to_string());
    second.wait_log("ready:");
    let took = started.elapsed();
    // Both look at the locks several times more, so that a first process that takes the folder back is seen.
    std::thread::sleep(Duration::from_millis(200));
    first.terminate();
    assert!(first.wait_exit(EVENT_TIMEOUT).success());
    let log = first.log();
    assert_eq!(log.matches("handed over;").count(), 1, "{log}");
    assert_eq!(log.matches("ready:").count(), 1, "the first process served again:\n{log}");
    (second, took)
}

fn play_rounds() {
    // All are kept to the end: the folder is removed with any of them.
    let mut processes = vec![start_first()];
    let mut times = Vec::new();
    for round in 0..rounds() {
        let (second, took) = take_over(processes.last_mut().expect("one runs"));
        assert!(took < SERVES_WITHIN, "round {round}: it serves after {took:?}");
        times.push(took);
        processes.push(second);
    }
    times.sort();
    println!("{} takeovers: {:?} / {:?} / {:?}", times.len(), times[0], times[times.len() / 2], times.last());
}

#[test]
fn each_idle_takeover_is_over_in_time_and_the_folder_changes_hands_once() {
    play_rounds();
}
