//! What learning from neighbours is worth: three real forwarders, six partners, three of them in an outage. One
//! forwarder is killed in the midst of it and started again, with and without its neighbours. Long, so not in CI:
//!
//! `cargo test --release --test neighbours_worth -- --ignored --nocapture`
//!
//! `SEEDS` names how many runs of each (20). Runs go four at a time, which four cores bear.
mod peers_common;
mod stand;
use peers_common::{free_address, Authority};
use stand::*;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const PARTNERS: u64 = 6;
const SICK: u64 = 3;
/// Messages a second that each forwarder gets, over all partners.
const RATE: f64 = 30.0;
/// What a partner takes, calls a second, once it is warm; and what share of it when it comes back, as the settings of
/// the test site say (`coldFrom`, `rampTimeNs`).
const CAPACITY: f64 = 50.0;
const COLD: f64 = 0.2;
const RAMP: f64 = 9.0;
const OUTAGE_AT: f64 = 2.0;
const BACK_AT: f64 = 9.0;
const END_AT: f64 = 15.0;
/// Load is counted over so long, as the rule on fail-back does (`tipAfterNs`).
const SPAN: f64 = 1.5;

/// Calls that a partner heard: when, in seconds of the run, by which message.
type Calls = Arc<Mutex<Vec<(f64, String)>>>;

struct Figures {
    wasted: f64,
    back_after: f64,
    multiple: f64,
    delivered: f64,
}

fn run(seed: u64, with_neighbours: bool) -> Figures {
    let dice =
        |n: u64| (seed.wrapping_mul(6364136223846793005).wrapping_add(n * 1442695040888963407) >> 33) % 1000;
    let kill_at = 4.0 + dice(1) as f64 / 1000.0;
    let again_at = kill_at + 0.3 + dice(2) as f64 / 2000.0;
    let authority = Authority::new();
    let begun = Instant::now();
    let sick = Arc::new(AtomicBool::new(false));
    let partners: Vec<(Server, Calls)> = (0..PARTNERS)
        .map(|n| {
            let calls: Calls = Arc::default();
            let (heard, sick) = (calls.clone(), sick.clone());
            let server = Server::start(move |call, _| {
                heard.lock().expect("lock").push((begun.elapsed().as_secs_f64(), call.id().to_string()));
                match n < SICK && sick.load(Ordering::SeqCst) {
                    true => Reply::Cut,
                    false => say("200 OK", "", ""),
                }
            });
            (server, calls)
        })
        .collect();
    let endpoints: Vec<_> = partners.iter().enumerate().map(|(n, p)| (n as u64, p.0.addr)).collect();
    let known = list(1, &endpoints);
    let disco = discovery(known.clone());
    let places = [free_address(), free_address(), free_address()];
    let names = ["a", "b", "c"];
    let mut daemons: Vec<Daemon> = (0..3)
        .map(|n| {
            authority.write(names[n], false);
            let seeds: Vec<_> = places.iter().copied().filter(|p| *p != places[n]).collect();
            let flags = authority.flags(names[n], places[n], &seeds);
            let flags = if with_neighbours { flags } else { vec![format!("--name={}", names[n])] };
            let env = vec![("MICALADDER_LOG".to_string(), "info".to_string())];
            Setup { flags, env, max_pending: 600, ..setup(&disco, known.clone()) }.start()
        })
        .collect();
    let zero = begun.elapsed().as_secs_f64();
    let at = |secs: f64| begun + Duration::from_secs_f64(zero + secs);
    // Clients hand in all the while; what finds nobody is not handed in again.
    let clients: Vec<_> = (0..3)
        .map(|n| {
            let (addr, name, end) = (daemons[n].addr, names[n], at(END_AT));
            thread::spawn(move || {
                for m in 0u64.. {
                    let due = begun + Duration::from_secs_f64(zero + m as f64 / RATE);
                    if due >= end {
                        return;
                    }
                    thread::sleep(due.saturating_duration_since(Instant::now()));
                    let text = message("stats", &format!("{name}-{m}"), "16000m", "");
                    let text = String::from_utf8(text)
                        .expect("text")
                        .replace("dest=7", &format!("dest={}", m % PARTNERS));
                    let Ok(mut socket) = std::net::TcpStream::connect(addr) else { continue };
                    let _ = socket.set_read_timeout(Some(Duration::from_secs(1)));
                    use std::io::{BufReader, Write};
                    if socket.write_all(text.as_bytes()).is_ok() {
                        let _ = read_http(&mut BufReader::new(socket));
                    }
                }
            })
        })
        .collect();
    let wait = |secs: f64| thread::sleep(at(secs).saturating_duration_since(Instant::now()));
    wait(OUTAGE_AT);
    sick.store(true, Ordering::SeqCst);
    wait(kill_at);
    daemons[2].kill();
    wait(again_at);
    daemons[2].start_again();
    let ready = begun.elapsed().as_secs_f64() - zero;
    wait(BACK_AT);
    sick.store(false, Ordering::SeqCst);
    wait(END_AT);
    clients.into_iter().for_each(|c| c.join().expect("a client"));
    let mut figures = Figures { wasted: 0.0, back_after: 0.0, multiple: 0.0, delivered: 0.0 };
    for (n, (_, calls)) in partners.iter().enumerate() {
        let calls: Vec<(f64, String)> =
            calls.lock().expect("lock").iter().map(|(t, id)| (t - zero, id.clone())).collect();
        let of_c = |from: f64, to: f64| {
            calls.iter().filter(|(t, id)| id.starts_with("c-") && *t >= from && *t < to).count() as f64
        };
        if (n as u64) < SICK {
            figures.wasted += of_c(ready, BACK_AT);
            // Its rate is back once a second holds eight tenths of what is handed in for this partner.
            let full = 0.8 * RATE / PARTNERS as f64;
            let back =
                (0..60).map(|t| f64::from(t) / 10.0).find(|t| of_c(BACK_AT + t, BACK_AT + t + 1.0) >= full);
            figures.back_after = figures.back_after.max(back.unwrap_or(END_AT - BACK_AT));
            for (t, _) in calls.iter().filter(|(t, _)| *t >= BACK_AT && *t < END_AT - SPAN) {
                let load = calls.iter().filter(|(u, _)| u >= t && *u < t + SPAN).count() as f64;
                let warm = ((t - BACK_AT) / RAMP).min(1.0);
                let capacity = CAPACITY * (COLD + (1.0 - COLD) * warm) * SPAN;
                figures.multiple = figures.multiple.max(load / capacity);
            }
            figures.delivered += of_c(BACK_AT, END_AT);
        } else {
            figures.delivered += of_c(0.0, END_AT);
        }
    }
    figures
}

fn line(name: &str, of: impl Fn(&Figures) -> f64, without: &[Figures], with: &[Figures]) {
    let stats = |all: &[Figures]| {
        let mut values: Vec<f64> = all.iter().map(&of).collect();
        values.sort_by(f64::total_cmp);
        format!("{:.2} / {:.2} / {:.2}", values[0], values[values.len() / 2], values[values.len() - 1])
    };
    println!("| {name} | {} | {} |", stats(without), stats(with));
}

#[test]
#[ignore = "a measurement of some minutes"]
fn what_a_neighbour_is_worth_to_a_restarted_forwarder() {
    let seeds: u64 = std::env::var("SEEDS").ok().and_then(|s| s.parse().ok()).unwrap_or(20);
    let (next, done) = (
        Arc::new(Mutex::new((0..seeds).flat_map(|s| [(s, false), (s, true)]).collect::<Vec<_>>())),
        Arc::new(Mutex::new(Vec::new())),
    );
    let workers: Vec<_> = (0..4)
        .map(|_| {
            let (next, done) = (next.clone(), done.clone());
            thread::spawn(move || loop {
                let Some((seed, with)) = next.lock().expect("lock").pop() else { return };
                let figures = run(seed, with);
                done.lock().expect("lock").push((with, figures));
            })
        })
        .collect();
    workers.into_iter().for_each(|w| w.join().expect("a run"));
    let all = std::mem::take(&mut *done.lock().expect("lock"));
    let (with, without): (Vec<_>, Vec<_>) = all.into_iter().partition(|f| f.0);
    let only = |f: Vec<(bool, Figures)>| f.into_iter().map(|f| f.1).collect::<Vec<_>>();
    let (with, without) = (only(with), only(without));
    println!("| {seeds} seeds, min / median / max | without | with neighbours |\n| --- | --- | --- |");
    line("calls wasted on the sick partners", |f| f.wasted, &without, &with);
    line("seconds until its sending rate is back", |f| f.back_after, &without, &with);
    line("load on a returning partner, multiple of its capacity", |f| f.multiple, &without, &with);
    line("messages delivered by it", |f| f.delivered, &without, &with);
    assert!(with.iter().all(|f| f.multiple <= 2.0), "a returning partner was pushed");
}
