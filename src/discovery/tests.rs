//! The watcher in virtual time, against a stand-in for discovery whose connections are in memory: whatever discovery has is
//! known within the bound on the list's staleness.
mod capacity;

use super::timing::{Pollers, MOVE_STALENESS_BOUND, STALENESS_BOUND};
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
const OLD: &str = "old:1";
const NEW: &str = "new:1";

/// What becomes of one poll.
#[derive(Clone)]
enum Behaviour {
    /// The connect is refused.
    Refuse,
    /// The connect never comes up.
    Hang,
    /// The request is read, and the connection closed.
    Reset,
    /// The request is read and not answered.
    Silent,
    /// This status.
    Status(&'static str),
    /// These bytes of an answer, and then nothing more.
    Part(String),
    /// A complete list of this version, in pieces of so many bytes; a keep-alive every 2 s until so long after the start.
    List { version: u64, piece: usize, keepalives_until: Duration },
}

use Behaviour::{Hang, List, Part, Refuse, Reset, Silent, Status};

fn list(version: u64) -> Behaviour {
    List { version, piece: usize::MAX, keepalives_until: Duration::MAX }
}

fn text(version: u64) -> String {
    let target = r#"{"uid":"s-1","endpoint":"127.0.0.1:9","pod_group":7,"state":"Ready"}"#;
    format!("{{\n \"rev\": {version},\n \"all\": true,\n \"targets\": [\n  {target}\n ]\n}}\n")
}

type Script = dyn Fn(usize, Duration, &str) -> Behaviour + Send + Sync;

/// Polls are numbered from 0; the script also sees the time since the start and which address was polled.
#[derive(Clone)]
struct StandIn {
    begun: Instant,
    polls: Arc<Mutex<usize>>,
    script: Arc<Script>,
}

impl Connector for StandIn {
    type Stream = DuplexStream;

    async fn connect(&self, address: &str) -> io::Result<DuplexStream> {
        let number = {
            let mut polls = self.polls.lock().expect("lock");
            *polls += 1;
            *polls - 1
        };
        let behaviour = (self.script)(number, self.begun.elapsed(), address);
        match behaviour {
            Refuse => return Err(io::ErrorKind::ConnectionRefused.into()),
            Hang => return pending().await,
            _ => {}
        }
        let (client, server) = duplex(64 * 1024);
        tokio::spawn(answer(server, behaviour, self.begun));
        Ok(client)
    }
}

async fn answer(mut socket: DuplexStream, behaviour: Behaviour, begun: Instant) {
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
            for piece in text(version).as_bytes().chunks(piece.min(4096)) {
                send(std::str::from_utf8(piece).expect("text")).await;
            }
            loop {
                sleep(Duration::from_secs(2)).await;
                if begun.elapsed() > keepalives_until {
                    break;
                }
                send("\n").await;
            }
        }
    }
    pending::<()>().await;
}

/// Runs one forwarder, whose address of discovery changes at `moves_at`; returns when each version was known.
async fn run(
    seed: u64, pollers: Pollers, moves_at: Option<Duration>,
    script: impl Fn(usize, Duration, &str) -> Behaviour + Send + Sync + 'static,
) -> Vec<(u64, Duration)> {
    let begun = Instant::now();
    let stand_in = StandIn { begun, polls: Arc::default(), script: Arc::new(script) };
    let (move_to, address) = watch::channel(OLD.to_string());
    let forwarders = match pollers {
        Pollers::One => 1,
        Pollers::Many => FORWARDERS,
    };
    let backoff = Backoff::new(forwarders, pollers.max_backoff(), seed);
    let start = WatchStart { version: 1, can_serve: true, pollers };
    let known = Arc::new(Mutex::new(Vec::new()));
    let seen = known.clone();
    let watcher = Watcher::new(stand_in, address, start, backoff).run(move |update| {
        seen.lock().expect("lock").push((update.revision, begun.elapsed()));
        update.revision
    });
    let watching = tokio::spawn(watcher);
    if let Some(at) = moves_at {
        sleep_until(begun + at).await;
        move_to.send_replace(NEW.to_string());
    }
    sleep_until(begun + Duration::from_secs(60)).await;
    watching.abort();
    let known = known.lock().expect("lock").clone();
    known
}

/// When this version was known first.
fn known_at(known: &[(u64, Duration)], version: u64) -> Duration {
    known.iter().find(|k| k.0 == version).unwrap_or_else(|| panic!("never known: {known:?}")).1
}

/// Whatever becomes of the first polls, the list is known within its staleness bound.
#[rstest]
#[case::answered(vec![])]
#[case::silent(vec![Silent, Silent])]
#[case::hung(vec![Hang, Hang])]
#[case::refused(vec![Refuse, Refuse])]
#[case::reset(vec![Reset, Silent])]
#[case::busy(vec![Status("503 Busy"), Hang])]
#[case::half_a_head(vec![Part("HTTP/1.1 20".into()), Silent])]
#[case::half_a_list(vec![Part("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\n{\"rev\r\n".into()), Hang])]
#[case::noise(vec![Part("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nhi\n\r\n".into()), Reset])]
#[tokio::test(start_paused = true)]
async fn after_a_start_the_list_is_known_in_time(#[case] first: Vec<Behaviour>) {
    for seed in SEEDS {
        let first = first.clone();
        let known =
            run(seed, Pollers::One, None, move |n, _, _| first.get(n).cloned().unwrap_or(list(2))).await;
        let at = known_at(&known, 2);
        assert!(at < STALENESS_BOUND, "seed {seed}: {at:?}");
    }
}

/// A watch falls silent right after a keep-alive, in its first second or after 13 s; two further ones stay silent too.
#[rstest]
#[case::at_once(Duration::ZERO)]
#[case::after_13_s(Duration::from_secs(13))]
#[tokio::test(start_paused = true)]
async fn what_a_silent_watch_misses_is_known_in_time(
    #[case] keepalives_until: Duration, #[values(0, 1, 2)] silent: usize,
) {
    for seed in SEEDS {
        let known = run(seed, Pollers::One, None, move |n, _, _| match n {
            0 => List { version: 2, piece: usize::MAX, keepalives_until },
            n if n <= silent => Silent,
            _ => list(3),
        });
        let known = known.await;
        // It sent last at its start, or one of the keep-alives that come every 2 s after that.
        let start = known_at(&known, 2);
        let keepalives = (keepalives_until.saturating_sub(start).as_secs() / 2) as u32;
        let fell_silent = start + Duration::from_secs(2) * keepalives;
        let took = known_at(&known, 3) - fell_silent;
        assert!(took < STALENESS_BOUND, "seed {seed}: {took:?}");
    }
}

/// Discovery is down for a long time, and comes back: refused polls, hung ones, and both.
#[rstest]
#[case::refused(vec![Refuse])]
#[case::busy(vec![Status("503 Busy")])]
#[case::hung(vec![Hang])]
#[case::silent(vec![Silent])]
#[case::mixed(vec![Refuse, Hang, Reset, Silent, Status("503 Busy")])]
#[tokio::test(start_paused = true)]
async fn once_discovery_can_be_reached_again_its_list_is_known_in_time(
    #[case] failures: Vec<Behaviour>, #[values(8, 20)] down_secs: u64,
) {
    let down = Duration::from_secs(down_secs);
    for seed in SEEDS {
        let failures = failures.clone();
        let known = run(seed, Pollers::One, None, move |n, at, _| {
            if at < down {
                failures[n % failures.len()].clone()
            } else {
                list(2)
            }
        });
        let took = known_at(&known.await, 2) - down;
        assert!(took < STALENESS_BOUND, "seed {seed}: {took:?}");
    }
}

/// The address changes during a poll, or during a watch: the new server is polled in time, also where its first watch stays
/// silent.
#[rstest]
#[case::polling(vec![Hang])]
#[case::watching(vec![])]
#[case::failing(vec![Refuse; 50])]
#[tokio::test(start_paused = true)]
async fn after_a_move_the_new_server_is_polled_in_time(
    #[case] before: Vec<Behaviour>, #[values(0, 1)] silent: usize,
) {
    for seed in SEEDS {
        let before = before.clone();
        let polled = Mutex::new(0);
        let moves_at = Duration::from_millis(5300);
        let known = run(seed, Pollers::One, Some(moves_at), move |n, _, at| match at {
            OLD => before.get(n).cloned().unwrap_or(list(2)),
            _ => {
                let mut polled = polled.lock().expect("lock");
                *polled += 1;
                if *polled <= silent {
                    Silent
                } else {
                    list(3)
                }
            }
        });
        let took = known_at(&known.await, 3) - moves_at;
        assert!(took < MOVE_STALENESS_BOUND, "seed {seed}: {took:?}");
    }
}

/// A list is read wherever its bytes are cut.
#[rstest]
#[tokio::test(start_paused = true)]
async fn a_list_is_known_wherever_it_is_cut(#[values(1, 2, 3, 7, 64)] piece: usize) {
    let script = move |_, _, _: &str| List { version: 2, piece, keepalives_until: Duration::MAX };
    assert!(known_at(&run(1, Pollers::One, None, script).await, 2) < Duration::from_secs(1));
}

/// The same for one of 300 that poll one server on request, once it can be reached again.
///
/// This failed on every run: after each refused connect the pause doubled, up to 30 s, and the server was back for that long
/// before the forwarder looked. Delays short enough for the bound, after whatever failure, had been tried: on the bench a
/// hundred forwarders then got 1,756 answers of 503, since each of these was followed by a poll within 0.2 s. A refused
/// connect and an answer of overload are told apart now; `capacity` has 20 to 900 of them at a server with a capacity.
#[tokio::test(start_paused = true)]
async fn one_of_many_that_ask_one_place_knows_its_list_in_time() {
    let down = Duration::from_secs(20);
    for seed in SEEDS {
        let script = move |_, at, _: &str| if at < down { Refuse } else { list(2) };
        let took = known_at(&run(seed, Pollers::Many, None, script).await, 2) - down;
        assert!(took < STALENESS_BOUND, "seed {seed}: {took:?}");
    }
}
