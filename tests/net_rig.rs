//! Tests of the fleet's test network (`net`): its links fail as configured; and, by a command of its own, a measurement
//! of the fleet on it.
mod net;
mod peers_common;
mod stand;
use net::*;
use std::time::Duration;

const SOON: Duration = Duration::from_secs(20);

/// A partition separates two halves: each sees only itself, and all members are present again once it heals.
#[test]
fn a_partition_separates_the_fleet_and_heals() {
    let mut fleet = Fleet::start(1, 4, &[0, 1]);
    let all: Vec<usize> = (0..4).collect();
    assert!(
        fleet.wait_for_agreement(&all, SOON).is_some(),
        "they discover each other through the relays\n{}",
        fleet.timeline()
    );
    fleet.partition(&[0, 2], &[1, 3]);
    assert!(fleet.wait_for_agreement(&[0, 2], SOON).is_some(), "one half alone\n{}", fleet.timeline());
    assert!(fleet.wait_for_agreement(&[1, 3], SOON).is_some(), "the other\n{}", fleet.timeline());
    let healed = fleet.heal();
    let settled = fleet.wait_for_agreement(&all, SOON).expect("they discover each other again");
    assert!(settled > healed);
}

/// A reset ends the established connections, a byte limit ends one in the middle of a frame, and both are opened again.
#[test]
fn connections_are_reset_and_ended_within_a_frame() {
    let mut fleet = Fleet::start(2, 2, &[0, 1]);
    assert!(fleet.wait_for_agreement(&[0, 1], SOON).is_some(), "{}", fleet.timeline());
    let session_ended = "peer exchange: session with source ";
    fleet.reset_connections();
    fleet.members[0].wait_log(session_ended);
    let before = fleet.members[1].log().len();
    // Less than the handshake takes: a new connection ends within it.
    fleet.set_links(&[0], &[1], Link { bytes_left: Some(100), ..Link::default() });
    fleet.reset_connections();
    fleet.members[1].wait_log_from(before, "peer exchange: rejected subscriber ");
}

/// What is measured: an event, and the time until all members' views agree on it.
const EVENTS: [&str; 8] = [
    "all start",
    "SIGKILL of one",
    "its start",
    "SIGTERM of one",
    "its start after that",
    "half cut off for 8 s: healed",
    "half stopped for 8 s: continued",
    "all killed, the seeds stay dead: found",
];
/// How long a fault lasts.
const FAULT_DURATION: Duration = Duration::from_secs(8);
/// How long the idle fleet is measured.
const IDLE_DURATION: Duration = Duration::from_secs(5);

/// Load of one member of an idle fleet.
struct IdleLoad {
    bytes_per_sec: f64,
    cores: f64,
}

/// One run: for each of `EVENTS` the seconds until the views agreed, none if they did not.
struct Run {
    seconds: Vec<Option<f64>>,
    idle: IdleLoad,
}

/// Seconds from an event until the views agreed; the event's own time may be recorded after its first effects.
fn elapsed(event: f64, agreed: Option<f64>) -> Option<f64> {
    agreed.map(|at| (at - event).max(0.0))
}

fn measure_idle(fleet: &Fleet) -> IdleLoad {
    let (bytes, cpu, start) = (fleet.received_bytes(0), fleet.cpu_secs(0), net::now());
    std::thread::sleep(IDLE_DURATION);
    IdleLoad {
        bytes_per_sec: (fleet.received_bytes(0) - bytes) as f64 / (net::now() - start),
        cores: (fleet.cpu_secs(0) - cpu) / (net::now() - start),
    }
}

fn measure_run(seed: u64, count: usize) -> Run {
    let mut fleet = Fleet::start(seed, count, &[0, 1]);
    let all: Vec<usize> = (0..count).collect();
    let event = net::now();
    let mut seconds = vec![elapsed(event, fleet.wait_for_agreement(&all, SOON))];
    let idle = measure_idle(&fleet);
    measure_restarts(&mut fleet, &all, &mut seconds);
    measure_faults(&mut fleet, &all, &mut seconds);
    for member in &all {
        fleet.kill(*member);
    }
    let survivors = &all[2..];
    let event = survivors.iter().map(|n| fleet.restart(*n, false)).fold(0.0, f64::max);
    seconds.push(elapsed(event, fleet.wait_for_agreement(survivors, SOON)));
    Run { seconds, idle }
}

fn measure_restarts(fleet: &mut Fleet, all: &[usize], seconds: &mut Vec<Option<f64>>) {
    let last = all.len() - 1;
    let others = &all[..last];
    let event = fleet.kill(last);
    seconds.push(elapsed(event, fleet.wait_for_agreement(others, SOON)));
    let event = fleet.restart(last, false);
    seconds.push(elapsed(event, fleet.wait_for_agreement(all, SOON)));
    let event = fleet.terminate(last);
    seconds.push(elapsed(event, fleet.wait_for_agreement(others, SOON)));
    fleet.members[last].wait_exit(SOON);
    let event = fleet.restart(last, false);
    seconds.push(elapsed(event, fleet.wait_for_agreement(all, SOON)));
}

fn measure_faults(fleet: &mut Fleet, all: &[usize], seconds: &mut Vec<Option<f64>>) {
    let (one, other) = all.split_at(all.len() / 2);
    fleet.partition(one, other);
    std::thread::sleep(FAULT_DURATION);
    let event = fleet.heal();
    seconds.push(elapsed(event, fleet.wait_for_agreement(all, SOON)));
    for member in one {
        fleet.pause(*member);
    }
    std::thread::sleep(FAULT_DURATION);
    let event = one.iter().map(|n| fleet.resume(*n)).fold(0.0, f64::max);
    seconds.push(elapsed(event, fleet.wait_for_agreement(all, SOON)));
}

/// Prints minimum, median and maximum of the runs, and in how many the views agreed.
fn print_row(event: &str, count: usize, runs: &[Option<f64>]) {
    let mut seconds: Vec<f64> = runs.iter().copied().flatten().collect();
    seconds.sort_by(f64::total_cmp);
    let spread = match seconds[..] {
        [] => "never".to_string(),
        [first, .., last] => format!("{first:.2} / {:.2} / {last:.2} s", seconds[seconds.len() / 2]),
        [only] => format!("{only:.2} / {only:.2} / {only:.2} s"),
    };
    println!("| {event} | {count} | {spread} | {} of {} |", seconds.len(), runs.len());
}

/// Numbers from an environment variable, separated by commas.
fn numbers(variable: &str, default: &[u64]) -> Vec<u64> {
    match std::env::var(variable) {
        Ok(text) => text.split(',').filter_map(|number| number.parse().ok()).collect(),
        Err(_) => default.to_vec(),
    }
}

/// `MEMBERS=3,12 SEEDS=1,2,3 cargo test --release --test net_rig -- --ignored --nocapture`: how long the fleet's view
/// takes to show a join, a crash and a leave, and to settle after faults.
#[test]
#[ignore = "a measurement of minutes, not a test"]
fn measure() {
    println!("| event | processes | known to all after (min / median / max) | came about |\n| --- | --- | --- | --- |");
    for count in numbers("MEMBERS", &[3, 12]).into_iter().map(|count| count as usize) {
        let seeds = numbers("SEEDS", &[1, 2, 3]);
        let runs: Vec<Run> = seeds.into_iter().map(|seed| measure_run(seed, count)).collect();
        for (index, event) in EVENTS.iter().enumerate() {
            let seconds: Vec<Option<f64>> = runs.iter().map(|run| run.seconds[index]).collect();
            print_row(event, count, &seconds);
        }
        let mean =
            |of: fn(&IdleLoad) -> f64| runs.iter().map(|run| of(&run.idle)).sum::<f64>() / runs.len() as f64;
        println!(
            "idle, {count} processes: {:.0} bytes a second to a member, {:.4} of a core",
            mean(|load| load.bytes_per_sec),
            mean(|load| load.cores)
        );
    }
}
