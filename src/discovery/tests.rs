//! Tests of the watcher in virtual time against a fake discovery server with in-memory connections. They check that the watcher
//! applies the list of the server within the staleness bound.
mod capacity;

use super::timing::{Pollers, ADDRESS_CHANGE_STALENESS_BOUND, STALENESS_BOUND};
use super::watcher::{Connector, WatchStart, Watcher};
use crate::backoff::Backoff;
use rstest::rstest;
use std::future::pending;
use std::io;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{duplex, AsyncReadExt, AsyncWriteExt, DuplexStream};
use tokio::sync::watch;
use tokio::time::{sleep, sleep_until, Instant};

const FORWARDERS: usize = 300;
const SEEDS: std::ops::Range<u64> = 0..20;
const OLD_ADDRESS: &str = "old:1";
const NEW_ADDRESS: &str = "new:1";

/// The server's behaviour for one poll.
#[derive(Clone)]
enum Behaviour {
    /// Refuses the connect.
    Refuse,
    /// Never completes the connect.
    Hang,
    /// Reads the request and closes the connection.
    Reset,
    /// Reads the request and sends no response.
    Silent,
    /// Responds with this status.
    Status(&'static str),
    /// Sends these bytes of a response and then nothing more.
    Part(String),
    /// Sends a complete list of this version in chunks of `piece` bytes, and then a keep-alive every 2 s until
    /// `keepalives_until` after the start of the test.
    List { version: u64, piece: usize, keepalives_until: Duration },
}

use Behaviour::{Hang, List, Part, Refuse, Reset, Silent, Status};

fn list(version: u64) -> Behaviour {
    List { version, piece: usize::MAX, keepalives_until: Duration::MAX }
}

fn list_text(version: u64) -> String {
    let target = r#"{"uid":"s-1","endpoint":"127.0.0.1:9","pod_group":7,"state":"Ready"}"#;
    format!("{{\n \"rev\": {version},\n \"all\": true,\n \"targets\": [\n  {target}\n ]\n}}\n")
}

/// Chooses the behaviour for a poll from its number, counted from 0, the time since the start and the polled address.
type Script = dyn Fn(usize, Duration, &str) -> Behaviour + Send + Sync;

/// A fake discovery server whose behaviour is scripted.
#[derive(Clone)]
struct FakeDiscovery {
    started_at: Instant,
    polls: Arc<Mutex<usize>>,
    script: Arc<Script>,
}

impl Connector for FakeDiscovery {
    type Stream = DuplexStream;

    async fn connect(&self, address: &str) -> io::Result<DuplexStream> {
        let number = {
            let mut polls = self.polls.lock().expect("lock");
            *polls += 1;
            *polls - 1
        };
        let behaviour = (self.script)(number, self.started_at.elapsed(), address);
        match behaviour {
            Refuse => return Err(io::ErrorKind::ConnectionRefused.into()),
            Hang => return pending().await,
            _ => {}
        }
        let (client, server) = duplex(64 * 1024);
        tokio::spawn(respond(server, behaviour, self.started_at));
        Ok(client)
    }
}

async fn respond(mut socket: DuplexStream, behaviour: Behaviour, started_at: Instant) {
    let mut request = [0; 1024];
    let _ = socket.read(&mut request).await;
    match behaviour {
        Refuse | Hang | Silent => {}
        Reset => return,
        Status(status) => {
            let head = format!("HTTP/1.1 {status}\r\ncontent-length: 0\r\n\r\n");
            let _ = socket.write_all(head.as_bytes()).await;
        }
        Part(text) => {
            let _ = socket.write_all(text.as_bytes()).await;
        }
        List { version, piece, keepalives_until } => {
            let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
            let _ = socket.write_all(head.as_bytes()).await;
            let mut send = async |text: &str| {
                let chunk = format!("{:x}\r\n{text}\r\n", text.len());
                let _ = socket.write_all(chunk.as_bytes()).await;
            };
            for piece in list_text(version).as_bytes().chunks(piece.min(4096)) {
                send(std::str::from_utf8(piece).expect("text")).await;
            }
            loop {
                sleep(Duration::from_secs(2)).await;
                if started_at.elapsed() > keepalives_until {
                    break;
                }
                send("\n").await;
            }
        }
    }
    pending::<()>().await;
}

/// Runs the watcher of one forwarder for 60 s. Its discovery address changes at `address_changes_at`. Returns each applied
/// version with the time since the start.
async fn run(
    seed: u64, pollers: Pollers, address_changes_at: Option<Duration>,
    script: impl Fn(usize, Duration, &str) -> Behaviour + Send + Sync + 'static,
) -> Vec<(u64, Duration)> {
    let forwarders = match pollers {
        Pollers::One => 1,
        Pollers::Many => FORWARDERS,
    };
    run_one_of(forwarders, seed, pollers, address_changes_at, script).await
}

/// Runs the watcher of one of this many forwarders as [`run`] does.
async fn run_one_of(
    forwarders: usize, seed: u64, pollers: Pollers, address_changes_at: Option<Duration>,
    script: impl Fn(usize, Duration, &str) -> Behaviour + Send + Sync + 'static,
) -> Vec<(u64, Duration)> {
    let started_at = Instant::now();
    let discovery = FakeDiscovery { started_at, polls: Arc::default(), script: Arc::new(script) };
    let (address_sender, address) = watch::channel(OLD_ADDRESS.to_string());
    let backoff = Backoff::new(forwarders, pollers.max_backoff(), seed);
    let start = WatchStart { version: 1, can_serve: true, pollers, max_list_bytes: 4 << 20 };
    let applied = Arc::new(Mutex::new(Vec::new()));
    let recorded = applied.clone();
    let watcher = Watcher::new(discovery, address, start, backoff).run(move |_, update| {
        recorded.lock().expect("lock").push((update.revision, started_at.elapsed()));
        update.revision
    });
    let watcher_task = tokio::spawn(watcher);
    if let Some(at) = address_changes_at {
        sleep_until(started_at + at).await;
        address_sender.send_replace(NEW_ADDRESS.to_string());
    }
    sleep_until(started_at + Duration::from_secs(60)).await;
    watcher_task.abort();
    let applied = applied.lock().expect("lock").clone();
    applied
}

/// Returns the time at which this version was first applied.
fn first_applied_at(applied: &[(u64, Duration)], version: u64) -> Duration {
    let first = applied.iter().find(|(applied_version, _)| *applied_version == version);
    first.unwrap_or_else(|| panic!("version {version} was never applied: {applied:?}")).1
}

/// The first list is applied within the staleness bound, even if the first two polls fail in any way.
#[rstest]
#[case::answered(vec![])]
#[case::silent(vec![Silent, Silent])]
#[case::hung(vec![Hang, Hang])]
#[case::refused(vec![Refuse, Refuse])]
#[case::reset(vec![Reset, Silent])]
#[case::busy(vec![Status("503 Busy"), Hang])]
#[case::truncated_head(vec![Part("HTTP/1.1 20".into()), Silent])]
#[case::truncated_list(vec![Part("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\n{\"rev\r\n".into()), Hang])]
#[case::not_a_list(vec![Part("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nhi\n\r\n".into()), Reset])]
#[tokio::test(start_paused = true)]
async fn after_a_start_the_list_is_applied_in_time(#[case] first: Vec<Behaviour>) {
    for seed in SEEDS {
        let first = first.clone();
        let applied =
            run(seed, Pollers::One, None, move |n, _, _| first.get(n).cloned().unwrap_or(list(2))).await;
        let at = first_applied_at(&applied, 2);
        assert!(at < STALENESS_BOUND, "seed {seed}: {at:?}");
    }
}

/// A watch falls silent right after its list, or right after a keep-alive about 13 s after the start. Up to two further polls get
/// no response either. The list that the watch missed is still applied within the staleness bound.
#[rstest]
#[case::at_once(Duration::ZERO)]
#[case::after_13_s(Duration::from_secs(13))]
#[tokio::test(start_paused = true)]
async fn an_update_missed_by_a_silent_watch_is_applied_in_time(
    #[case] keepalives_until: Duration, #[values(0, 1, 2)] silent_polls: usize,
) {
    for seed in SEEDS {
        let applied = run(seed, Pollers::One, None, move |n, _, _| match n {
            0 => List { version: 2, piece: usize::MAX, keepalives_until },
            n if n <= silent_polls => Silent,
            _ => list(3),
        });
        let applied = applied.await;
        // The watch last sent either its list or one of the keep-alives that follow every 2 s.
        let start = first_applied_at(&applied, 2);
        let keepalives = (keepalives_until.saturating_sub(start).as_secs() / 2) as u32;
        let fell_silent = start + Duration::from_secs(2) * keepalives;
        let elapsed = first_applied_at(&applied, 3) - fell_silent;
        assert!(elapsed < STALENESS_BOUND, "seed {seed}: {elapsed:?}");
    }
}

/// Discovery is down for a long time, during which polls fail in various ways. After it recovers, its list is applied within
/// the staleness bound.
#[rstest]
#[case::refused(vec![Refuse])]
#[case::busy(vec![Status("503 Busy")])]
#[case::hung(vec![Hang])]
#[case::silent(vec![Silent])]
#[case::mixed(vec![Refuse, Hang, Reset, Silent, Status("503 Busy")])]
#[tokio::test(start_paused = true)]
async fn after_an_outage_of_discovery_its_list_is_applied_in_time(
    #[case] failures: Vec<Behaviour>, #[values(8, 20)] down_secs: u64,
) {
    let down = Duration::from_secs(down_secs);
    for seed in SEEDS {
        let failures = failures.clone();
        let applied = run(seed, Pollers::One, None, move |n, at, _| {
            if at < down {
                failures[n % failures.len()].clone()
            } else {
                list(2)
            }
        });
        let elapsed = first_applied_at(&applied.await, 2) - down;
        assert!(elapsed < STALENESS_BOUND, "seed {seed}: {elapsed:?}");
    }
}

/// The discovery address changes during a poll, an open watch or a series of failures. The list of the new server is applied in
/// time, even if the first poll at the new address gets no response.
#[rstest]
#[case::polling(vec![Hang])]
#[case::watching(vec![])]
#[case::failing(vec![Refuse; 50])]
#[tokio::test(start_paused = true)]
async fn after_an_address_change_the_new_list_is_applied_in_time(
    #[case] before: Vec<Behaviour>, #[values(0, 1)] silent_polls: usize,
) {
    for seed in SEEDS {
        let before = before.clone();
        let polls_of_new_server = Mutex::new(0);
        let address_changes_at = Duration::from_millis(5300);
        let applied = run(seed, Pollers::One, Some(address_changes_at), move |n, _, at| match at {
            OLD_ADDRESS => before.get(n).cloned().unwrap_or(list(2)),
            _ => {
                let mut polls = polls_of_new_server.lock().expect("lock");
                *polls += 1;
                if *polls <= silent_polls {
                    Silent
                } else {
                    list(3)
                }
            }
        });
        let elapsed = first_applied_at(&applied.await, 3) - address_changes_at;
        assert!(elapsed < ADDRESS_CHANGE_STALENESS_BOUND, "seed {seed}: {elapsed:?}");
    }
}

/// A list is parsed regardless of how its bytes are split into chunks.
#[rstest]
#[tokio::test(start_paused = true)]
async fn a_list_in_chunks_of_any_size_is_applied(#[values(1, 2, 3, 7, 64)] piece: usize) {
    let script = move |_, _, _: &str| List { version: 2, piece, keepalives_until: Duration::MAX };
    assert!(first_applied_at(&run(1, Pollers::One, None, script).await, 2) < Duration::from_secs(1));
}

/// Guards against messages to an endpoint that has gone (review/6): a discovery that is down and answers 503, or resets connections, was
/// polled ever more seldom, up to 30 s after its return. More forwarders than these poll less often, so that an overloaded server
/// recovers (`capacity`).
#[rstest]
#[case::rejected(Status("503 Down"))]
#[case::reset(Reset)]
#[tokio::test(start_paused = true)]
async fn after_an_outage_that_answers_the_list_is_applied_in_time(
    #[case] outage: Behaviour, #[values(2, 3, 20, 65)] forwarders: usize,
    #[values(2, 8, 20, 40)] down_secs: u64,
) {
    let down = Duration::from_secs(down_secs);
    for seed in SEEDS {
        let during_outage = outage.clone();
        let script = move |_, at, _: &str| if at < down { during_outage.clone() } else { list(2) };
        let applied = run_one_of(forwarders, seed, Pollers::Many, None, script).await;
        let elapsed = first_applied_at(&applied, 2).saturating_sub(down);
        assert!(elapsed < STALENESS_BOUND, "seed {seed}: {elapsed:?}");
    }
}

/// The list is applied within the staleness bound after an outage, also by one of 300 forwarders that poll the same server.
///
/// Guards against two faults. When the delay doubled up to 30 s after each refused connect, a forwarder noticed the recovered
/// server up to 30 s late, and this test failed on every run. When the delay was short after every kind of failure, each 503 was
/// followed by a poll within 0.2 s, and a hundred forwarders on the bench received 1,756 responses of 503. The watcher therefore
/// handles refused connects and overload responses differently. The module `capacity` tests 20 to 900 forwarders with a server of
/// limited capacity.
#[tokio::test(start_paused = true)]
async fn after_an_outage_one_of_many_forwarders_applies_the_list_in_time() {
    let down = Duration::from_secs(20);
    for seed in SEEDS {
        let script = move |_, at, _: &str| if at < down { Refuse } else { list(2) };
        let elapsed = first_applied_at(&run(seed, Pollers::Many, None, script).await, 2) - down;
        assert!(elapsed < STALENESS_BOUND, "seed {seed}: {elapsed:?}");
    }
}
