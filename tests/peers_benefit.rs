//! Measures the benefit of exchanging observations with peers. Three real forwarders send to six partners, three of which
//! have an outage. During the outage one forwarder is killed and restarted, with and without peers. The measurement takes
//! too long for CI:
//!
//! `cargo test --release --test peers_benefit -- --ignored --nocapture`
//!
//! `SEEDS` sets the number of runs of each kind (default 20). Four runs are executed at a time, which requires four cores.
mod peers_common;
mod stand;
use peers_common::Authority;
use stand::*;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Number of concurrent runs.
const WORKERS: usize = 4;
const PARTNERS: u64 = 6;
/// Number of partners with an outage; these are the first ones.
const FAILING_PARTNERS: u64 = 3;
const FORWARDERS: [&str; 3] = ["a", "b", "c"];
/// Index of the forwarder that is killed and restarted.
const RESTARTED: usize = 2;
/// Messages per second that are submitted to each forwarder, over all partners.
const SUBMISSION_RATE: f64 = 30.0;
/// Calls per second that a warmed-up partner can process.
const CAPACITY: f64 = 50.0;
/// Share of its capacity that a partner has at its recovery, as in the settings of the test site (`coldFrom`).
const COLD_SHARE: f64 = 0.2;
/// Time from the recovery until a partner has its full capacity, as in the settings of the test site (`rampTimeNs`).
const WARM_UP_SECS: f64 = 9.0;
/// Start of the outage, in seconds after the start of the run.
const OUTAGE_AT: f64 = 2.0;
/// End of the outage, in seconds after the start of the run.
const RECOVERY_AT: f64 = 9.0;
/// End of the run, in seconds after its start.
const END_AT: f64 = 15.0;
/// Window over which load is averaged, in seconds, as in the settings of the test site (`tipAfterNs`).
const LOAD_WINDOW_SECS: f64 = 1.5;
/// The sending rate has recovered once the calls of one second reach this share of the submission rate for the partner.
const RECOVERED_SHARE: f64 = 0.8;

/// Whether the forwarders exchange observations.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Exchange {
    On,
    Off,
}

/// A call that a partner received.
#[derive(Clone)]
struct Call {
    /// Time of arrival: seconds since `Clock::start`; in `evaluate`, seconds since the start of the run.
    at: f64,
    message: String,
}

type Calls = Arc<Mutex<Vec<Call>>>;

/// Measurements of the restarted forwarder in one run, and of the load on recovering partners.
#[derive(Default)]
struct Measurements {
    wasted_calls: f64,
    recovery_secs: f64,
    overload: f64,
    delivered: f64,
}

/// Clock of a run, which starts when the forwarders are ready, `run_start` seconds after `start`.
#[derive(Clone, Copy)]
struct Clock {
    start: Instant,
    run_start: f64,
}

impl Clock {
    fn instant(&self, secs: f64) -> Instant {
        self.start + Duration::from_secs_f64(self.run_start + secs)
    }

    fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64() - self.run_start
    }

    fn sleep_until(&self, secs: f64) {
        thread::sleep(self.instant(secs).saturating_duration_since(Instant::now()));
    }
}

/// Returns a pseudo-random number below 1000, which depends only on the seed and the number of the draw.
fn random(seed: u64, draw: u64) -> f64 {
    let mixed = seed.wrapping_mul(6364136223846793005).wrapping_add(draw * 1442695040888963407);
    ((mixed >> 33) % 1000) as f64
}

fn start_partner(index: u64, start: Instant, outage: Arc<AtomicBool>) -> (Server, Calls) {
    let calls: Calls = Arc::default();
    let received = calls.clone();
    let server = Server::start(move |call, _| {
        let at = start.elapsed().as_secs_f64();
        received.lock().expect("lock").push(Call { at, message: call.request_id().to_string() });
        match index < FAILING_PARTNERS && outage.load(Ordering::SeqCst) {
            true => Reply::Close,
            false => respond("200 OK", "", ""),
        }
    });
    (server, calls)
}

fn start_forwarders(
    authority: &Authority, exchange: Exchange, discovery_server: &Server, endpoint_list: &str,
) -> Vec<Daemon> {
    let addresses = FORWARDERS.map(|_| free_address());
    let start = |index: usize| {
        let name = FORWARDERS[index];
        authority.write(name, false);
        let seeds: Vec<_> = addresses.iter().copied().filter(|a| *a != addresses[index]).collect();
        let flags = match exchange {
            Exchange::On => authority.flags(name, addresses[index], &seeds),
            Exchange::Off => vec![format!("--name={name}")],
        };
        let env = vec![("MICALADDER_LOG".to_string(), "info".to_string())];
        Setup { flags, env, max_pending: 600, ..setup(discovery_server, endpoint_list.to_string()) }.start()
    };
    (0..FORWARDERS.len()).map(start).collect()
}

/// Submits messages until the end of the run. A message is not resubmitted if the forwarder is down.
fn start_client(address: SocketAddr, name: &'static str, clock: Clock) -> JoinHandle<()> {
    thread::spawn(move || {
        for number in 0u64.. {
            let submit_at = clock.instant(number as f64 / SUBMISSION_RATE);
            if submit_at >= clock.instant(END_AT) {
                return;
            }
            thread::sleep(submit_at.saturating_duration_since(Instant::now()));
            let text = message_request("stats", &format!("{name}-{number}"), "16000m", "");
            let text = String::from_utf8(text).expect("text");
            let text = text.replace("dest=7", &format!("dest={}", number % PARTNERS));
            let Ok(mut socket) = TcpStream::connect(address) else { continue };
            let _ = socket.set_read_timeout(Some(Duration::from_secs(1)));
            if socket.write_all(text.as_bytes()).is_ok() {
                let _ = read_http(&mut BufReader::new(socket));
            }
        }
    })
}

fn run(seed: u64, exchange: Exchange) -> Measurements {
    let kill_at = 4.0 + random(seed, 1) / 1000.0;
    let restart_at = kill_at + 0.3 + random(seed, 2) / 2000.0;
    let authority = Authority::new();
    let start = Instant::now();
    let outage = Arc::new(AtomicBool::new(false));
    let partners: Vec<(Server, Calls)> =
        (0..PARTNERS).map(|index| start_partner(index, start, outage.clone())).collect();
    let endpoints: Vec<_> = partners.iter().enumerate().map(|(n, p)| (n as u64, p.0.addr)).collect();
    let endpoint_list = endpoint_list(1, &endpoints);
    let discovery_server = start_discovery(endpoint_list.clone());
    let mut daemons = start_forwarders(&authority, exchange, &discovery_server, &endpoint_list);
    let clock = Clock { start, run_start: start.elapsed().as_secs_f64() };
    let clients: Vec<_> =
        daemons.iter().zip(FORWARDERS).map(|(d, name)| start_client(d.addr, name, clock)).collect();
    clock.sleep_until(OUTAGE_AT);
    outage.store(true, Ordering::SeqCst);
    clock.sleep_until(kill_at);
    daemons[RESTARTED].kill();
    clock.sleep_until(restart_at);
    daemons[RESTARTED].restart();
    let ready_at = clock.now();
    clock.sleep_until(RECOVERY_AT);
    outage.store(false, Ordering::SeqCst);
    clock.sleep_until(END_AT);
    clients.into_iter().for_each(|client| client.join().expect("a client"));
    evaluate(&partners, clock, ready_at)
}

fn evaluate(partners: &[(Server, Calls)], clock: Clock, ready_at: f64) -> Measurements {
    let mut measurements = Measurements::default();
    for (index, (_, calls)) in partners.iter().enumerate() {
        let mut calls = calls.lock().expect("lock").clone();
        calls.iter_mut().for_each(|call| call.at -= clock.run_start);
        if (index as u64) < FAILING_PARTNERS {
            measurements.wasted_calls += count_of_restarted(&calls, ready_at, RECOVERY_AT);
            measurements.recovery_secs = measurements.recovery_secs.max(recovery_secs(&calls));
            measurements.overload = measurements.overload.max(overload(&calls));
            measurements.delivered += count_of_restarted(&calls, RECOVERY_AT, END_AT);
        } else {
            measurements.delivered += count_of_restarted(&calls, 0.0, END_AT);
        }
    }
    measurements
}

/// Returns the number of calls of the restarted forwarder within a period.
fn count_of_restarted(calls: &[Call], from: f64, to: f64) -> f64 {
    let prefix = format!("{}-", FORWARDERS[RESTARTED]);
    let is_counted = |call: &&Call| call.message.starts_with(&prefix) && call.at >= from && call.at < to;
    calls.iter().filter(is_counted).count() as f64
}

/// Returns the time from the partner's recovery until the restarted forwarder sends at its full rate, in seconds.
fn recovery_secs(calls: &[Call]) -> f64 {
    let full_rate = RECOVERED_SHARE * SUBMISSION_RATE / PARTNERS as f64;
    let has_recovered =
        |secs: &f64| count_of_restarted(calls, RECOVERY_AT + secs, RECOVERY_AT + secs + 1.0) >= full_rate;
    let recovered = (0..60).map(|tenth| f64::from(tenth) / 10.0).find(has_recovered);
    recovered.unwrap_or(END_AT - RECOVERY_AT)
}

/// Returns the highest load on a recovering partner, as a multiple of its capacity at that time.
fn overload(calls: &[Call]) -> f64 {
    let mut highest: f64 = 0.0;
    let last_window = END_AT - LOAD_WINDOW_SECS;
    for first in calls.iter().filter(|call| call.at >= RECOVERY_AT && call.at < last_window) {
        let is_in_window = |call: &&Call| call.at >= first.at && call.at < first.at + LOAD_WINDOW_SECS;
        let load = calls.iter().filter(is_in_window).count() as f64;
        let warm_up_progress = ((first.at - RECOVERY_AT) / WARM_UP_SECS).min(1.0);
        let capacity = CAPACITY * (COLD_SHARE + (1.0 - COLD_SHARE) * warm_up_progress) * LOAD_WINDOW_SECS;
        highest = highest.max(load / capacity);
    }
    highest
}

/// Prints the minimum, median and maximum of a measurement, without and with peers.
fn print_row(
    name: &str, measurement: impl Fn(&Measurements) -> f64, without: &[Measurements], with: &[Measurements],
) {
    let format_range = |runs: &[Measurements]| {
        let mut values: Vec<f64> = runs.iter().map(&measurement).collect();
        values.sort_by(f64::total_cmp);
        format!("{:.2} / {:.2} / {:.2}", values[0], values[values.len() / 2], values[values.len() - 1])
    };
    println!("| {name} | {} | {} |", format_range(without), format_range(with));
}

/// A planned run: its seed, and whether the forwarders exchange observations.
type PlannedRun = (u64, Exchange);

/// Executes all runs, `WORKERS` at a time, and returns the measurements of each.
fn run_all(planned: Vec<PlannedRun>) -> Vec<(Exchange, Measurements)> {
    let planned = Mutex::new(planned);
    let finished = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for _ in 0..WORKERS {
            scope.spawn(|| loop {
                let Some((seed, exchange)) = planned.lock().expect("lock").pop() else { return };
                let measurements = run(seed, exchange);
                finished.lock().expect("lock").push((exchange, measurements));
            });
        }
    });
    finished.into_inner().expect("lock")
}

#[test]
#[ignore = "takes several minutes"]
fn benefit_of_peers_to_a_restarted_forwarder() {
    let seeds: u64 = std::env::var("SEEDS").ok().and_then(|s| s.parse().ok()).unwrap_or(20);
    let planned = (0..seeds).flat_map(|seed| [(seed, Exchange::Off), (seed, Exchange::On)]).collect();
    let (mut with, mut without) = (Vec::new(), Vec::new());
    for (exchange, measurements) in run_all(planned) {
        match exchange {
            Exchange::On => with.push(measurements),
            Exchange::Off => without.push(measurements),
        }
    }
    println!("| {seeds} seeds, min / median / max | without | with peers |\n| --- | --- | --- |");
    print_row("calls wasted on the failing partners", |run| run.wasted_calls, &without, &with);
    print_row("seconds until its sending rate has recovered", |run| run.recovery_secs, &without, &with);
    print_row("load on a recovering partner, multiple of its capacity", |run| run.overload, &without, &with);
    print_row("messages delivered by it", |run| run.delivered, &without, &with);
    assert!(with.iter().all(|run| run.overload <= 2.0), "a recovering partner was overloaded");
}
