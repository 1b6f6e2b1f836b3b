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
        fleet.agree(&all, SOON).is_some(),
        "they discover each other through the relays\n{}",
        fleet.timeline()
    );
    fleet.cut(&[0, 2], &[1, 3]);
    assert!(fleet.agree(&[0, 2], SOON).is_some(), "one half alone\n{}", fleet.timeline());
    assert!(fleet.agree(&[1, 3], SOON).is_some(), "the other\n{}", fleet.timeline());
    let healed = fleet.heal();
    let settled = fleet.agree(&all, SOON).expect("they discover each other again");
    assert!(settled > healed);
}

/// A reset ends the established connections, a byte limit ends one in the middle of a frame, and both are opened again.
#[test]
fn connections_are_reset_and_ended_within_a_frame() {
    let mut fleet = Fleet::start(2, 2, &[0, 1]);
    assert!(fleet.agree(&[0, 1], SOON).is_some(), "{}", fleet.timeline());
    let session_ended = "peer exchange: session with source ";
    fleet.reset();
    fleet.members[0].wait_log(session_ended);
    let before = fleet.members[1].log().len();
    // Less than the handshake takes: a new connection ends within it.
    fleet.set(&[0], &[1], Link { bytes_left: Some(100), ..Link::default() });
    fleet.reset();
    fleet.members[1].wait_log_from(before, "peer exchange: rejected subscriber ");
}

/// Prints minimum, median and maximum of a measurement, and in how many runs the event occurred.
fn row(what: &str, count: usize, mut got: Vec<Option<f64>>) {
    let runs = got.len();
    got.retain(Option::is_some);
    let mut got: Vec<f64> = got.into_iter().flatten().collect();
    got.sort_by(f64::total_cmp);
    let spread = match got[..] {
        [] => "never".to_string(),
        _ => format!("{:.2} / {:.2} / {:.2} s", got[0], got[got.len() / 2], got[got.len() - 1]),
    };
    println!("| {what} | {count} | {spread} | {} of {runs} |", got.len());
}

fn numbers(name: &str, usual: &[u64]) -> Vec<u64> {
    let said = std::env::var(name).ok();
    said.map_or(usual.to_vec(), |s| s.split(',').filter_map(|n| n.parse().ok()).collect())
}

/// `MEMBERS=3,12 SEEDS=1,2,3 cargo test --release --test net_rig -- --ignored --nocapture`: how long the fleet's view
/// takes to know a join, a crash and a leave, and to settle after faults.
#[test]
#[ignore = "a measurement of minutes, not a test"]
fn measure() {
    println!("| event | processes | known to all after (min / median / max) | came about |\n| --- | --- | --- | --- |");
    for count in numbers("MEMBERS", &[3, 12]).into_iter().map(|n| n as usize) {
        let mut rows: Vec<(&str, Vec<Option<f64>>)> = [
            "all start",
            "SIGKILL of one",
            "its start",
            "SIGTERM of one",
            "its start after that",
            "half cut off for 8 s: healed",
            "half stand still for 8 s: gone on",
            "all killed, the seeds stay dead: found",
        ]
        .map(|what| (what, Vec::new()))
        .into();
        let mut rest = Vec::new();
        for seed in numbers("SEEDS", &[1, 2, 3]) {
            let mut fleet = Fleet::start(seed, count, &[0, 1]);
            let all: Vec<usize> = (0..count).collect();
            let but_last = &all[..count - 1];
            let began = net::now();
            let took = |at: f64, done: Option<f64>| done.map(|d| (d - at).max(0.0));
            let mut got = vec![took(began, fleet.agree(&all, SOON))];
            let (bytes, cpu, at) = (fleet.bytes(0), fleet.cpu(0), net::now());
            std::thread::sleep(Duration::from_secs(5));
            rest.push((
                (fleet.bytes(0) - bytes) as f64 / (net::now() - at),
                (fleet.cpu(0) - cpu) / (net::now() - at),
            ));
            let at = fleet.kill(count - 1);
            got.push(took(at, fleet.agree(but_last, SOON)));
            let at = fleet.start_again(count - 1, false);
            got.push(took(at, fleet.agree(&all, SOON)));
            let at = fleet.terminate(count - 1);
            got.push(took(at, fleet.agree(but_last, SOON)));
            fleet.members[count - 1].wait_end(SOON);
            let at = fleet.start_again(count - 1, false);
            got.push(took(at, fleet.agree(&all, SOON)));
            let (one, other) = all.split_at(count / 2);
            fleet.cut(one, other);
            std::thread::sleep(Duration::from_secs(8));
            let at = fleet.heal();
            got.push(took(at, fleet.agree(&all, SOON)));
            for n in one {
                fleet.stop(*n);
            }
            std::thread::sleep(Duration::from_secs(8));
            let at = one.iter().map(|n| fleet.go_on(*n)).fold(0.0, f64::max);
            got.push(took(at, fleet.agree(&all, SOON)));
            for n in &all {
                fleet.kill(*n);
            }
            let at = all[2..].iter().map(|n| fleet.start_again(*n, false)).fold(0.0, f64::max);
            got.push(took(at, fleet.agree(&all[2..], SOON)));
            rows.iter_mut().zip(got).for_each(|(row, got)| row.1.push(got));
        }
        rows.into_iter().for_each(|(what, got)| row(what, count, got));
        let mean = |of: fn(&(f64, f64)) -> f64| rest.iter().map(of).sum::<f64>() / rest.len() as f64;
        println!(
            "at rest, {count} processes: {:.0} bytes a second to a member, {:.4} of a core",
            mean(|r| r.0),
            mean(|r| r.1)
        );
    }
}
