//! The follower in virtual time, against a stand-in for discovery whose connections lie in memory: whatever discovery has
//! is known within the time after which it counts as told.
use super::follow::{Connect, Follower, Start};
use super::timing::{longest_pause, TOLD_AFTER, TOLD_AFTER_MOVE};
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

/// What becomes of one ask.
#[derive(Clone)]
enum Behaviour {
    /// The connect is refused.
    Refuse,
    /// The connect never comes up.
    Hang,
    /// The request is read, and the connection closed.
    Reset,
    /// The request is read and nothing is said.
    Silent,
    /// This status.
    Status(&'static str),
    /// These bytes of an answer, and then nothing more.
    Part(String),
    /// A whole list of this version, in pieces of so many bytes; an empty line every 2 s until so long after the start.
    List { version: u64, piece: usize, words_until: Duration },
}

use Behaviour::{Hang, List, Part, Refuse, Reset, Silent, Status};

fn list(version: u64) -> Behaviour {
    List { version, piece: usize::MAX, words_until: Duration::MAX }
}

fn text(version: u64) -> String {
    let target = r#"{"uid":"s-1","endpoint":"127.0.0.1:9","pod_group":7,"state":"Ready"}"#;
    format!("{{\n \"rev\": {version},\n \"all\": true,\n \"targets\": [\n  {target}\n ]\n}}\n")
}

type Script = dyn Fn(usize, Duration, &str) -> Behaviour + Send + Sync;

/// Asks are numbered from 0; the script also sees how late it is and which address was asked.
#[derive(Clone)]
struct StandIn {
    begun: Instant,
    asks: Arc<Mutex<usize>>,
    script: Arc<Script>,
}

impl Connect for StandIn {
    type Stream = DuplexStream;

    async fn connect(&self, address: &str) -> io::Result<DuplexStream> {
        let number = {
            let mut asks = self.asks.lock().expect("lock");
            *asks += 1;
            *asks - 1
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
        List { version, piece, words_until } => {
            let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
            let _ = socket.write_all(head.as_bytes()).await;
            let mut say = async |text: &str| {
                let chunk = format!("{:x}\r\n{text}\r\n", text.len());
                let _ = socket.write_all(chunk.as_bytes()).await;
            };
            for piece in text(version).as_bytes().chunks(piece.min(4096)) {
                say(std::str::from_utf8(piece).expect("text")).await;
            }
            loop {
                sleep(Duration::from_secs(2)).await;
                if begun.elapsed() > words_until {
                    break;
                }
                say("\n").await;
            }
        }
    }
    pending::<()>().await;
}

/// Runs one of many forwarders, whose address of discovery changes at `moves_at`; returns when each version was known.
async fn run(
    seed: u64, shared: bool, moves_at: Option<Duration>,
    script: impl Fn(usize, Duration, &str) -> Behaviour + Send + Sync + 'static,
) -> Vec<(u64, Duration)> {
    let begun = Instant::now();
    let stand_in = StandIn { begun, asks: Arc::default(), script: Arc::new(script) };
    let (move_to, address) = watch::channel(OLD.to_string());
    let forwarders = if shared { FORWARDERS } else { 1 };
    let backoff = Backoff::new(forwarders, longest_pause(shared), seed);
    let start = Start { version: 1, may_wait: true, shared };
    let known = Arc::new(Mutex::new(Vec::new()));
    let seen = known.clone();
    let follower = Follower::new(stand_in, address, start, backoff).run(move |update| {
        seen.lock().expect("lock").push((update.revision, begun.elapsed()));
        update.revision
    });
    let following = tokio::spawn(follower);
    if let Some(at) = moves_at {
        sleep_until(begun + at).await;
        move_to.send_replace(NEW.to_string());
    }
    sleep_until(begun + Duration::from_secs(60)).await;
    following.abort();
    let known = known.lock().expect("lock").clone();
    known
}

/// When this version was known first.
fn known_at(known: &[(u64, Duration)], version: u64) -> Duration {
    known.iter().find(|k| k.0 == version).unwrap_or_else(|| panic!("never known: {known:?}")).1
}

/// What the first asks meet, whatever it is, costs no more than the time after which the list counts as told.
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
        let known = run(seed, false, None, move |n, _, _| first.get(n).cloned().unwrap_or(list(2))).await;
        let at = known_at(&known, 2);
        assert!(at < TOLD_AFTER, "seed {seed}: {at:?}");
    }
}

/// A watch falls silent right behind a word, in its first second or after 13 s; two further ones stay silent too.
#[rstest]
#[case::at_once(Duration::ZERO)]
#[case::after_13_s(Duration::from_secs(13))]
#[tokio::test(start_paused = true)]
async fn what_a_silent_watch_misses_is_known_in_time(
    #[case] words_until: Duration, #[values(0, 1, 2)] silent: usize,
) {
    for seed in SEEDS {
        let known = run(seed, false, None, move |n, _, _| match n {
            0 => List { version: 2, piece: usize::MAX, words_until },
            n if n <= silent => Silent,
            _ => list(3),
        });
        let known = known.await;
        // It spoke last at its start, or with one of the words that come every 2 s after that.
        let start = known_at(&known, 2);
        let words = (words_until.saturating_sub(start).as_secs() / 2) as u32;
        let fell_silent = start + Duration::from_secs(2) * words;
        let took = known_at(&known, 3) - fell_silent;
        assert!(took < TOLD_AFTER, "seed {seed}: {took:?}");
    }
}

/// Discovery is away for a long time, and comes back: refused asks, hung ones, and both.
#[rstest]
#[case::refused(vec![Refuse])]
#[case::busy(vec![Status("503 Busy")])]
#[case::hung(vec![Hang])]
#[case::silent(vec![Silent])]
#[case::mixed(vec![Refuse, Hang, Reset, Silent, Status("503 Busy")])]
#[tokio::test(start_paused = true)]
async fn once_discovery_can_be_reached_again_its_list_is_known_in_time(
    #[case] trouble: Vec<Behaviour>, #[values(8, 20)] away_s: u64,
) {
    let away = Duration::from_secs(away_s);
    for seed in SEEDS {
        let trouble = trouble.clone();
        let known =
            run(
                seed,
                false,
                None,
                move |n, at, _| {
                    if at < away {
                        trouble[n % trouble.len()].clone()
                    } else {
                        list(2)
                    }
                },
            );
        let took = known_at(&known.await, 2) - away;
        assert!(took < TOLD_AFTER, "seed {seed}: {took:?}");
    }
}

/// The address changes in the midst of an ask, or of a watch: the new place is asked in time, also where its first
/// watch stays silent.
#[rstest]
#[case::asking(vec![Hang])]
#[case::watching(vec![])]
#[case::failing(vec![Refuse; 50])]
#[tokio::test(start_paused = true)]
async fn after_a_move_the_new_place_is_asked_in_time(
    #[case] before: Vec<Behaviour>, #[values(0, 1)] silent: usize,
) {
    for seed in SEEDS {
        let before = before.clone();
        let asked = Mutex::new(0);
        let moves_at = Duration::from_millis(5300);
        let known = run(seed, false, Some(moves_at), move |n, _, at| match at {
            OLD => before.get(n).cloned().unwrap_or(list(2)),
            _ => {
                let mut asked = asked.lock().expect("lock");
                *asked += 1;
                if *asked <= silent {
                    Silent
                } else {
                    list(3)
                }
            }
        });
        let took = known_at(&known.await, 3) - moves_at;
        assert!(took < TOLD_AFTER_MOVE, "seed {seed}: {took:?}");
    }
}

/// A list is read wherever its bytes are cut.
#[rstest]
#[tokio::test(start_paused = true)]
async fn a_list_is_known_wherever_it_is_cut(#[values(1, 2, 3, 7, 64)] piece: usize) {
    let script = move |_, _, _: &str| List { version: 2, piece, words_until: Duration::MAX };
    assert!(known_at(&run(1, false, None, script).await, 2) < Duration::from_secs(1));
}

/// The same for one of 300 that ask one place on request, once it can be reached again. Known red: pauses short enough for
/// this overload that place (KNOWN-RED.txt).
#[tokio::test(start_paused = true)]
async fn one_of_many_that_ask_one_place_knows_its_list_in_time() {
    let away = Duration::from_secs(20);
    for seed in SEEDS {
        let script = move |_, at, _: &str| if at < away { Refuse } else { list(2) };
        let took = known_at(&run(seed, true, None, script).await, 2) - away;
        assert!(took < TOLD_AFTER, "seed {seed}: {took:?}");
    }
}
