//! Tests that the links of the fleet's test network (`net`) fail as configured, and a measurement of the fleet on this
//! network, which runs by a separate command.
mod net;
mod peers_common;
mod stand;
use net::*;
use std::time::Duration;

/// Time limit for the views of all members to agree.
const AGREEMENT_TIMEOUT: Duration = Duration::from_secs(20);

/// A partition separates two halves: each sees only itself, and all members are present again once it heals.
#[test]
fn a_partition_separates_the_fleet_and_heals() {
    let mut fleet = Fleet::start(1, 4, &[0, 1]);
    let all: Vec<usize> = (0..4).collect();
    assert!(
        fleet.wait_for_agreement(&all, AGREEMENT_TIMEOUT).is_some(),
        "the members do not discover each other through the relays\n{}",
        fleet.timeline()
    );
    fleet.partition(&[0, 2], &[1, 3]);
    assert!(
        fleet.wait_for_agreement(&[0, 2], AGREEMENT_TIMEOUT).is_some(),
        "the first half does not see only itself\n{}",
        fleet.timeline()
    );
    assert!(
        fleet.wait_for_agreement(&[1, 3], AGREEMENT_TIMEOUT).is_some(),
        "the second half does not see only itself\n{}",
        fleet.timeline()
    );
    let healed = fleet.heal();
    let settled = fleet
        .wait_for_agreement(&all, AGREEMENT_TIMEOUT)
        .expect("the members do not discover each other again");
    assert!(settled > healed);
}

/// A reset ends the established connections, and a byte limit ends a connection in the middle of a frame. The members open
/// new connections after both.
#[test]
fn connections_are_reset_or_cut_within_a_frame_as_configured() {
    let mut fleet = Fleet::start(2, 2, &[0, 1]);
    assert!(fleet.wait_for_agreement(&[0, 1], AGREEMENT_TIMEOUT).is_some(), "{}", fleet.timeline());
    // Members can agree before their sessions are established, and a session that begins after the reset is not ended by it.
    fleet.members.iter().for_each(|member| drop(member.wait_log("receiving observations from a peer")));
    let session_ended = "peer exchange: session with source ";
    fleet.reset_connections();
    fleet.members[0].wait_log(session_ended);
    let before = fleet.members[1].log().len();
    // The limit is smaller than the handshake, so a new connection ends within it.
    fleet.set_links(&[0], &[1], Link { bytes_left: Some(100), ..Link::default() });
    fleet.reset_connections();
    fleet.members[1].wait_log_from(before, "peer exchange: rejected subscriber ");
}

/// The events of a run, as printed. The time from each event until the views of all members agree is measured.
const EVENTS: [&str; 8] = [
    "all start",
    "SIGKILL of one",
    "its start after SIGKILL",
    "SIGTERM of one",
    "its start after SIGTERM",
    "half partitioned for 8 s, then healed",
    "half suspended for 8 s, then resumed",
    "all killed, then started without the seeds",
];
/// Duration of a fault.
const FAULT_DURATION: Duration = Duration::from_secs(8);
/// Duration of the measurement of an idle fleet.
const IDLE_DURATION: Duration = Duration::from_secs(5);

/// The load of one member of an idle fleet.
struct IdleLoad {
    bytes_per_sec: f64,
    cores: f64,
}

/// The results of one run.
struct Run {
    /// For each of `EVENTS`, the seconds until the views agreed; `None` if they did not.
    seconds: Vec<Option<f64>>,
    idle: IdleLoad,
}

/// Returns the seconds from an event until the views agreed, at least 0, because the time of the event may be recorded after
/// its first effects.
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
    let mut seconds = vec![elapsed(event, fleet.wait_for_agreement(&all, AGREEMENT_TIMEOUT))];
    let idle = measure_idle(&fleet);
    measure_restarts(&mut fleet, &all, &mut seconds);
    measure_faults(&mut fleet, &all, &mut seconds);
    for member in &all {
        fleet.kill(*member);
    }
    let survivors = &all[2..];
    let event = survivors.iter().map(|n| fleet.restart(*n, false)).fold(0.0, f64::max);
    seconds.push(elapsed(event, fleet.wait_for_agreement(survivors, AGREEMENT_TIMEOUT)));
    Run { seconds, idle }
}

fn measure_restarts(fleet: &mut Fleet, all: &[usize], seconds: &mut Vec<Option<f64>>) {
    let last = all.len() - 1;
    let others = &all[..last];
    let event = fleet.kill(last);
    seconds.push(elapsed(event, fleet.wait_for_agreement(others, AGREEMENT_TIMEOUT)));
    let event = fleet.restart(last, false);
    seconds.push(elapsed(event, fleet.wait_for_agreement(all, AGREEMENT_TIMEOUT)));
    let event = fleet.terminate(last);
    seconds.push(elapsed(event, fleet.wait_for_agreement(others, AGREEMENT_TIMEOUT)));
    fleet.members[last].wait_exit(AGREEMENT_TIMEOUT);
    let event = fleet.restart(last, false);
    seconds.push(elapsed(event, fleet.wait_for_agreement(all, AGREEMENT_TIMEOUT)));
}

fn measure_faults(fleet: &mut Fleet, all: &[usize], seconds: &mut Vec<Option<f64>>) {
    let (first_half, second_half) = all.split_at(all.len() / 2);
    fleet.partition(first_half, second_half);
    std::thread::sleep(FAULT_DURATION);
    let event = fleet.heal();
    seconds.push(elapsed(event, fleet.wait_for_agreement(all, AGREEMENT_TIMEOUT)));
    for member in first_half {
        fleet.pause(*member);
    }
    std::thread::sleep(FAULT_DURATION);
    let event = first_half.iter().map(|n| fleet.resume(*n)).fold(0.0, f64::max);
    seconds.push(elapsed(event, fleet.wait_for_agreement(all, AGREEMENT_TIMEOUT)));
}

/// Prints the minimum, median and maximum of the runs, and in how many of them the views agreed.
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

/// Reads numbers from an environment variable, separated by commas.
fn numbers(variable: &str, default: &[u64]) -> Vec<u64> {
    match std::env::var(variable) {
        Ok(text) => text.split(',').filter_map(|number| number.parse().ok()).collect(),
        Err(_) => default.to_vec(),
    }
}

/// Measures how long the members' views take to show a join, a crash and a leave, and to agree after faults:
/// `MEMBERS=3,12 SEEDS=1,2,3 cargo test --release --test net_rig -- --ignored --nocapture`.
#[test]
#[ignore = "a measurement that takes minutes, not a test"]
fn measure() {
    println!("| event | processes | views agree after (min / median / max) | runs that agreed |\n| --- | --- | --- | --- |");
    for count in numbers("MEMBERS", &[3, 12]).into_iter().map(|count| count as usize) {
        let seeds = numbers("SEEDS", &[1, 2, 3]);
        let runs: Vec<Run> = seeds.into_iter().map(|seed| measure_run(seed, count)).collect();
        for (index, event) in EVENTS.iter().enumerate() {
            let seconds: Vec<Option<f64>> = runs.iter().map(|run| run.seconds[index]).collect();
            print_row(event, count, &seconds);
        }
        let mean = |value: fn(&IdleLoad) -> f64| {
            runs.iter().map(|run| value(&run.idle)).sum::<f64>() / runs.len() as f64
        };
        println!(
            "idle, {count} processes: {:.0} bytes/s received per member, {:.4} cores",
            mean(|load| load.bytes_per_sec),
            mean(|load| load.cores)
        );
    }
}
