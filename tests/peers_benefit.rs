//! The benefit of exchanging observations with peers: three real forwarders and six partners, three of which have an
//! outage. During the outage one forwarder is killed and started again, with and without peers. Long, so not in CI:
//!
//! `cargo test --release --test peers_benefit -- --ignored --nocapture`
//!
//! `SEEDS` sets the number of runs of each kind (20). Four runs at a time, for which four cores suffice.
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

const WORKERS: usize = 4;
const PARTNERS: u64 = 6;
/// The first partners are those with the outage.
const FAILING_PARTNERS: u64 = 3;
const FORWARDERS: [&str; 3] = ["a", "b", "c"];
/// Index of the forwarder that is killed and started again.
const RESTARTED: usize = 2;
/// Messages a second that each forwarder gets, over all partners.
const RATE: f64 = 30.0;
/// Calls a second that a partner takes once it has warmed up; the share of them that it takes at its return, and the time
/// in seconds until it has warmed up, as in the settings of the test site (`coldFrom`, `rampTimeNs`).
const CAPACITY: f64 = 50.0;
const COLD_SHARE: f64 = 0.2;
const WARM_UP_SECS: f64 = 9.0;
/// Times of a run, in seconds.
const OUTAGE_AT: f64 = 2.0;
const RECOVERY_AT: f64 = 9.0;
const END_AT: f64 = 15.0;
/// Load is averaged over so many seconds, as in the rule on the recovery ramp (`tipAfterNs`).
const LOAD_WINDOW_SECS: f64 = 1.5;
/// The sending rate is back once a second holds this share of what is submitted for the partner.
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
    /// Seconds since the start of the run's clock.
    at: f64,
    message: String,
}

type Calls = Arc<Mutex<Vec<Call>>>;

/// What one run measured, of the restarted forwarder.
#[derive(Default)]
struct Figures {
    wasted_calls: f64,
    recovery_secs: f64,
    overload: f64,
    delivered: f64,
}

/// The clock of a run: `zero` seconds after `start` the forwarders are ready and the run begins.
#[derive(Clone, Copy)]
struct Clock {
    start: Instant,
    zero: f64,
}

impl Clock {
    fn instant(&self, secs: f64) -> Instant {
        self.start + Duration::from_secs_f64(self.zero + secs)
    }

    fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64() - self.zero
    }

    fn sleep_until(&self, secs: f64) {
        thread::sleep(self.instant(secs).saturating_duration_since(Instant::now()));
    }
}

/// Numbers below a thousand from the seed, the same in each run with it.
fn random(seed: u64, draw: u64) -> f64 {
    let mixed = seed.wrapping_mul(6364136223846793005).wrapping_add(draw * 1442695040888963407);
    ((mixed >> 33) % 1000) as f64
}

fn start_partner(index: u64, start: Instant, outage: Arc<AtomicBool>) -> (Server, Calls) {
    let calls: Calls = Arc::default();
    let received = calls.clone();
    let server = Server::start(move |call, _| {
        let at = start.elapsed().as_secs_f64();
        received.lock().expect("lock").push(Call { at, message: call.id().to_string() });
        match index < FAILING_PARTNERS && outage.load(Ordering::SeqCst) {
            true => Reply::Cut,
            false => say("200 OK", "", ""),
        }
    });
    (server, calls)
}

fn start_forwarders(authority: &Authority, exchange: Exchange, disco: &Server, known: &str) -> Vec<Daemon> {
    let addresses = FORWARDERS.map(|_| free_place());
    let start = |index: usize| {
        let name = FORWARDERS[index];
        authority.write(name, false);
        let seeds: Vec<_> = addresses.iter().copied().filter(|a| *a != addresses[index]).collect();
        let flags = match exchange {
            Exchange::On => authority.flags(name, addresses[index], &seeds),
            Exchange::Off => vec![format!("--name={name}")],
        };
        let env = vec![("MICALADDER_LOG".to_string(), "info".to_string())];
        Setup { flags, env, max_pending: 600, ..setup(disco, known.to_string()) }.start()
    };
    (0..FORWARDERS.len()).map(start).collect()
}

/// Submits messages until the end of the run. A message that finds no forwarder is not submitted again.
fn start_client(address: SocketAddr, name: &'static str, clock: Clock) -> JoinHandle<()> {
    thread::spawn(move || {
        for number in 0u64.. {
            let due = clock.instant(number as f64 / RATE);
            if due >= clock.instant(END_AT) {
                return;
            }
            thread::sleep(due.saturating_duration_since(Instant::now()));
            let text = message("stats", &format!("{name}-{number}"), "16000m", "");
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

fn run(seed: u64, exchange: Exchange) -> Figures {
    let kill_at = 4.0 + random(seed, 1) / 1000.0;
    let restart_at = kill_at + 0.3 + random(seed, 2) / 2000.0;
    let authority = Authority::new();
    let start = Instant::now();
    let outage = Arc::new(AtomicBool::new(false));
    let partners: Vec<(Server, Calls)> =
        (0..PARTNERS).map(|index| start_partner(index, start, outage.clone())).collect();
    let endpoints: Vec<_> = partners.iter().enumerate().map(|(n, p)| (n as u64, p.0.addr)).collect();
    let known = list(1, &endpoints);
    let disco = discovery(known.clone());
    let mut daemons = start_forwarders(&authority, exchange, &disco, &known);
    let clock = Clock { start, zero: start.elapsed().as_secs_f64() };
    let clients: Vec<_> =
        daemons.iter().zip(FORWARDERS).map(|(d, name)| start_client(d.addr, name, clock)).collect();
    clock.sleep_until(OUTAGE_AT);
    outage.store(true, Ordering::SeqCst);
    clock.sleep_until(kill_at);
    daemons[RESTARTED].kill();
    clock.sleep_until(restart_at);
    daemons[RESTARTED].start_again();
    let ready_at = clock.now();
    clock.sleep_until(RECOVERY_AT);
    outage.store(false, Ordering::SeqCst);
    clock.sleep_until(END_AT);
    clients.into_iter().for_each(|client| client.join().expect("a client"));
    evaluate(&partners, clock, ready_at)
}

fn evaluate(partners: &[(Server, Calls)], clock: Clock, ready_at: f64) -> Figures {
    let mut figures = Figures::default();
    for (index, (_, calls)) in partners.iter().enumerate() {
        let mut calls = calls.lock().expect("lock").clone();
        calls.iter_mut().for_each(|call| call.at -= clock.zero);
        if (index as u64) < FAILING_PARTNERS {
            figures.wasted_calls += count_of_restarted(&calls, ready_at, RECOVERY_AT);
            figures.recovery_secs = figures.recovery_secs.max(recovery_secs(&calls));
            figures.overload = figures.overload.max(overload(&calls));
            figures.delivered += count_of_restarted(&calls, RECOVERY_AT, END_AT);
        } else {
            figures.delivered += count_of_restarted(&calls, 0.0, END_AT);
        }
    }
    figures
}

/// Calls of the restarted forwarder within a time.
fn count_of_restarted(calls: &[Call], from: f64, to: f64) -> f64 {
    let prefix = format!("{}-", FORWARDERS[RESTARTED]);
    let is_counted = |call: &&Call| call.message.starts_with(&prefix) && call.at >= from && call.at < to;
    calls.iter().filter(is_counted).count() as f64
}

/// Seconds after the partner's recovery until the restarted forwarder sends at its full rate again.
fn recovery_secs(calls: &[Call]) -> f64 {
    let full_rate = RECOVERED_SHARE * RATE / PARTNERS as f64;
    let has_recovered =
        |secs: &f64| count_of_restarted(calls, RECOVERY_AT + secs, RECOVERY_AT + secs + 1.0) >= full_rate;
    let recovered = (0..60).map(|tenth| f64::from(tenth) / 10.0).find(has_recovered);
    recovered.unwrap_or(END_AT - RECOVERY_AT)
}

/// The highest load on a recovering partner, as a multiple of its capacity at that time.
fn overload(calls: &[Call]) -> f64 {
    let mut highest: f64 = 0.0;
    let last_window = END_AT - LOAD_WINDOW_SECS;
    for first in calls.iter().filter(|call| call.at >= RECOVERY_AT && call.at < last_window) {
        let is_in_window = |call: &&Call| call.at >= first.at && call.at < first.at + LOAD_WINDOW_SECS;
        let load = calls.iter().filter(is_in_window).count() as f64;
        let warmth = ((first.at - RECOVERY_AT) / WARM_UP_SECS).min(1.0);
        let capacity = CAPACITY * (COLD_SHARE + (1.0 - COLD_SHARE) * warmth) * LOAD_WINDOW_SECS;
        highest = highest.max(load / capacity);
    }
    highest
}

/// Prints minimum, median and maximum of a figure, without and with peers.
fn print_row(name: &str, figure: impl Fn(&Figures) -> f64, without: &[Figures], with: &[Figures]) {
    let spread = |runs: &[Figures]| {
        let mut values: Vec<f64> = runs.iter().map(&figure).collect();
        values.sort_by(f64::total_cmp);
        format!("{:.2} / {:.2} / {:.2}", values[0], values[values.len() / 2], values[values.len() - 1])
    };
    println!("| {name} | {} | {} |", spread(without), spread(with));
}

/// A run that is due: its seed, and whether the forwarders have peers.
type DueRun = (u64, Exchange);

/// Runs all, `WORKERS` at a time, and gives the figures of each with what it ran with.
fn run_all(due: Vec<DueRun>) -> Vec<(Exchange, Figures)> {
    let due = Mutex::new(due);
    let done = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for _ in 0..WORKERS {
            scope.spawn(|| loop {
                let Some((seed, exchange)) = due.lock().expect("lock").pop() else { return };
                let figures = run(seed, exchange);
                done.lock().expect("lock").push((exchange, figures));
            });
        }
    });
    done.into_inner().expect("lock")
}

#[test]
#[ignore = "a measurement of some minutes"]
fn benefit_of_peers_to_a_restarted_forwarder() {
    let seeds: u64 = std::env::var("SEEDS").ok().and_then(|s| s.parse().ok()).unwrap_or(20);
    let due = (0..seeds).flat_map(|seed| [(seed, Exchange::Off), (seed, Exchange::On)]).collect();
    let (mut with, mut without) = (Vec::new(), Vec::new());
    for (exchange, figures) in run_all(due) {
        match exchange {
            Exchange::On => with.push(figures),
            Exchange::Off => without.push(figures),
        }
    }
    println!("| {seeds} seeds, min / median / max | without | with peers |\n| --- | --- | --- |");
    print_row("calls wasted on the failing partners", |f| f.wasted_calls, &without, &with);
    print_row("seconds until its sending rate is back", |f| f.recovery_secs, &without, &with);
    print_row("load on a recovering partner, multiple of its capacity", |f| f.overload, &without, &with);
    print_row("messages delivered by it", |f| f.delivered, &without, &with);
    assert!(with.iter().all(|f| f.overload <= 2.0), "a recovering partner was overloaded");
}
