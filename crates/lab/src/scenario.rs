//! A run of the lab: starts a fleet, injects one fault after another, each once the fleet has settled, and measures how long
//! the fleet takes to settle again. A run has one seed, one fleet size and one loss rate.
use crate::network::{LinkConditions, Network};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Time limit for a fleet to settle.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(120);
/// Duration of a partition, long enough that each side declares the other one dead.
const PARTITION_TIME: Duration = Duration::from_secs(20);
/// Duration of the suspension in `Fault::Suspension`.
const SUSPENSION_TIME: Duration = Duration::from_secs(8);
/// Time within which all members start at the start of a run.
const START_TIME: Duration = Duration::from_secs(1);
/// Time within which all members except the seeds start in a full restart.
const RESTART_TIME: Duration = Duration::from_millis(500);
/// Time for which restarted members stay down after the partition has healed.
const DOWN_TIME: Duration = Duration::from_millis(200);
/// Pause between the last fault and the quiet time, so that traffic caused by the fault is not counted.
const PAUSE_BEFORE_QUIET: Duration = Duration::from_secs(60);
/// Duration of a suspension in the quiet time.
const QUIET_SUSPENSION: Duration = Duration::from_secs(2);
/// Time between suspensions in the quiet time.
const QUIET_SUSPENSION_GAP: Duration = Duration::from_secs(8);
/// Fraction of the datagrams that arrive twice.
const DUPLICATION: f64 = 0.01;
/// Maximum random delay that is added to each datagram.
const JITTER: Duration = Duration::from_millis(2);
/// Members whose addresses are the seed addresses of all members.
const SEEDS: [usize; 2] = [0, 1];

/// A fault that is injected into a fleet that has settled. On the command line and in results, faults keep the names of
/// earlier versions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, clap::ValueEnum)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// All members start within a second.
    Start,
    /// One more member joins.
    Join,
    /// One member is terminated.
    Leave,
    /// One member is killed.
    Crash,
    /// The killed member starts again.
    #[serde(rename = "back")]
    #[value(name = "back")]
    Restart,
    /// A partition into two halves heals.
    #[serde(rename = "cut")]
    #[value(name = "cut")]
    Partition,
    /// A partition heals in which one third receives from the others, but the others receive nothing from it.
    #[serde(rename = "one-way")]
    #[value(name = "one-way")]
    OneWayPartition,
    /// A partition heals while a tenth of each side restarts.
    #[serde(rename = "cut-restart")]
    #[value(name = "cut-restart")]
    PartitionWithRestarts,
    /// Half of the members are suspended for 8 s.
    #[serde(rename = "still")]
    #[value(name = "still")]
    Suspension,
    /// All members are killed, and all except the seeds start again within half a second. The seeds start later.
    #[serde(rename = "whole")]
    #[value(name = "whole")]
    FullRestart,
}

/// All faults, in the order in which a run injects them.
pub const ALL_FAULTS: [Fault; 10] = [
    Fault::Start,
    Fault::Join,
    Fault::Leave,
    Fault::Crash,
    Fault::Restart,
    Fault::Partition,
    Fault::OneWayPartition,
    Fault::PartitionWithRestarts,
    Fault::Suspension,
    Fault::FullRestart,
];

/// Whether members are suspended in the quiet time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "bool", into = "bool")]
pub enum QuietTime {
    /// Nothing happens.
    Undisturbed,
    /// One member after another is suspended for 2 s.
    WithSuspensions,
}

impl From<bool> for QuietTime {
    fn from(with_suspensions: bool) -> QuietTime {
        match with_suspensions {
            true => QuietTime::WithSuspensions,
            false => QuietTime::Undisturbed,
        }
    }
}

impl From<QuietTime> for bool {
    fn from(quiet_time: QuietTime) -> bool {
        quiet_time == QuietTime::WithSuspensions
    }
}

/// Configuration of a run.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct RunConfig {
    /// Size of the fleet.
    pub members: usize,
    /// Percentage of the datagrams that are lost.
    #[serde(rename = "loss")]
    pub loss_percent: u32,
    /// Seed of all random numbers.
    pub seed: u64,
    /// Length of the quiet time in seconds, in which bytes, suspicions and false deaths are counted.
    #[serde(rename = "calm")]
    pub quiet_secs: u64,
    /// Whether members are suspended in the quiet time.
    #[serde(rename = "stops")]
    pub quiet_time: QuietTime,
}

/// Measurements of a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RunResult {
    /// Configuration of the run.
    #[serde(rename = "plan")]
    pub config: RunConfig,
    /// For each fault, the seconds until all members had equal views again; `None` if the fleet did not settle in time.
    #[serde(rename = "settled")]
    pub settle_secs: Vec<(Fault, Option<f64>)>,
    /// Bytes per second that a member sent in the quiet time, as the mean of all members.
    #[serde(rename = "bytes")]
    pub bytes_per_sec: f64,
    /// Bytes per second of the member that sent most in the quiet time.
    #[serde(rename = "bytes_most")]
    pub max_bytes_per_sec: f64,
    /// Suspicions per hour in the quiet time.
    #[serde(rename = "suspicions_an_hour")]
    pub suspicions_per_hour: f64,
    /// Declarations of live members as dead, per hour in the quiet time.
    #[serde(rename = "false_deaths_an_hour")]
    pub false_deaths_per_hour: f64,
}

/// Executes a run with these faults. `Fault::Start` is always included.
pub fn run(config: RunConfig, faults: &[Fault]) -> RunResult {
    let mut network = Network::new(config.seed, config.members, &SEEDS);
    let loss = f64::from(config.loss_percent) / 100.0;
    network.links = LinkConditions { loss, duplication: DUPLICATION, jitter: JITTER };
    let mut settle_secs = Vec::new();
    for fault in ALL_FAULTS.into_iter().filter(|f| *f == Fault::Start || faults.contains(f)) {
        let took = inject_fault(&mut network, config.members, fault);
        settle_secs.push((fault, took.map(|time| time.as_secs_f64())));
    }
    network.run_for(PAUSE_BEFORE_QUIET);
    let members = network.running();
    let sent_before = network.sent_bytes.clone();
    let suspicions_before = network.suspicion_count();
    let false_deaths_before = network.false_deaths();
    let quiet = Duration::from_secs(config.quiet_secs);
    run_quiet_time(&mut network, &members, quiet, config.quiet_time);
    let secs = quiet.as_secs_f64().max(1.0);
    let per_hour = |count: u64| count as f64 * 3600.0 / secs;
    let sent: Vec<f64> = members
        .iter()
        .map(|member| (network.sent_bytes[*member] - sent_before[*member]) as f64 / secs)
        .collect();
    RunResult {
        config,
        settle_secs,
        bytes_per_sec: sent.iter().sum::<f64>() / sent.len().max(1) as f64,
        max_bytes_per_sec: sent.iter().copied().fold(0.0, f64::max),
        suspicions_per_hour: per_hour(network.suspicion_count() - suspicions_before),
        false_deaths_per_hour: per_hour(network.false_deaths() - false_deaths_before),
    }
}

fn run_quiet_time(network: &mut Network, members: &[usize], length: Duration, quiet_time: QuietTime) {
    let until = network.now + length;
    if quiet_time == QuietTime::Undisturbed {
        network.run_until(until);
        return;
    }
    for member in members.iter().cycle() {
        if network.now >= until {
            return;
        }
        network.suspend(*member);
        network.run_for(QUIET_SUSPENSION);
        network.resume(*member);
        network.run_for(QUIET_SUSPENSION_GAP);
    }
}

/// Injects a fault and runs the network until it has settled. Returns the time taken, counted from the moment from which
/// the members are able to settle, or `None` if they have not settled within the time limit.
fn inject_fault(network: &mut Network, size: usize, fault: Fault) -> Option<Duration> {
    let all: Vec<usize> = (0..size).collect();
    let last = size - 1;
    // Restarts the member that `Fault::Crash` killed, before any later fault.
    if fault != Fault::Start && !network.running().contains(&last) {
        network.start(last);
        if fault != Fault::Restart {
            network.run_until_settled(&all, SETTLE_TIMEOUT)?;
        }
    }
    match fault {
        Fault::Start => start_gradually(network, &all, START_TIME / size as u32),
        Fault::Join => return join(network, &all),
        Fault::Leave => return leave(network, &all),
        Fault::Crash => {
            network.kill(last);
            return network.run_until_settled(&all[..last], SETTLE_TIMEOUT);
        }
        // The member was restarted above.
        Fault::Restart => {}
        Fault::Partition => partition(network, &all),
        Fault::OneWayPartition => one_way_partition(network, &all),
        Fault::PartitionWithRestarts => partition_with_restarts(network, &all),
        Fault::Suspension => suspend_half(network, &all),
        Fault::FullRestart => return full_restart(network, &all),
    }
    network.run_until_settled(&all, SETTLE_TIMEOUT)
}

fn start_gradually(network: &mut Network, members: &[usize], gap: Duration) {
    for member in members {
        network.start(*member);
        network.run_for(gap);
    }
}

fn join(network: &mut Network, all: &[usize]) -> Option<Duration> {
    let joiner = all.len();
    network.start(joiner);
    let with_joiner: Vec<usize> = (0..=joiner).collect();
    let took = network.run_until_settled(&with_joiner, SETTLE_TIMEOUT);
    network.terminate(joiner);
    network.run_until_settled(all, SETTLE_TIMEOUT)?;
    took
}

fn leave(network: &mut Network, all: &[usize]) -> Option<Duration> {
    let (leaving, others) = all.split_last()?;
    network.terminate(*leaving);
    let took = network.run_until_settled(others, SETTLE_TIMEOUT);
    network.start(*leaving);
    network.run_until_settled(all, SETTLE_TIMEOUT)?;
    took
}

fn partition(network: &mut Network, all: &[usize]) {
    let (first, second) = all.split_at(all.len() / 2);
    network.partition(first, second);
    network.run_for(PARTITION_TIME);
    network.heal();
}

fn one_way_partition(network: &mut Network, all: &[usize]) {
    let (third, others) = all.split_at((all.len() / 3).max(1));
    network.block(third, others);
    network.run_for(PARTITION_TIME);
    network.heal();
}

fn partition_with_restarts(network: &mut Network, all: &[usize]) {
    let (first, second) = all.split_at(all.len() / 2);
    network.partition(first, second);
    network.run_for(PARTITION_TIME);
    let is_restarted = |member: &usize| member % 10 == 3 || all.len() < 10 && *member == 1;
    let restarted: Vec<usize> = all.iter().copied().filter(is_restarted).collect();
    for member in &restarted {
        network.kill(*member);
    }
    network.heal();
    network.run_for(DOWN_TIME);
    for member in &restarted {
        network.start(*member);
    }
}

fn suspend_half(network: &mut Network, all: &[usize]) {
    let half = &all[..all.len() / 2];
    for member in half {
        network.suspend(*member);
    }
    network.run_for(SUSPENSION_TIME);
    for member in half {
        network.resume(*member);
    }
}

fn full_restart(network: &mut Network, all: &[usize]) -> Option<Duration> {
    for member in all {
        network.kill(*member);
    }
    // The seeds stay down until the other members have settled.
    let (seeds, others) = all.split_at(SEEDS.len().min(all.len() - 1));
    start_gradually(network, others, RESTART_TIME / all.len() as u32);
    let took = network.run_until_settled(others, SETTLE_TIMEOUT);
    for member in seeds {
        network.start(*member);
    }
    network.run_until_settled(all, SETTLE_TIMEOUT)?;
    took
}
