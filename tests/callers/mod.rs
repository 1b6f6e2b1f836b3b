//! Callers of a forwarder while its processes change: each call and how it ended, as seen from outside.
#![allow(dead_code)]
pub mod processes;

use crate::stand::message_request;
use std::fmt;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// How long a caller waits for each step of a call. A platform's client waits 400 ms; longer here, so that a late answer
/// is told from none.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Pause of a caller between two calls.
const PAUSE: Duration = Duration::from_millis(2);

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// A whole answer.
    Answered { status: u16, retry_after: bool },
    /// The connect was refused.
    Refused,
    /// The connection was reset.
    Reset,
    /// The connection ended with no whole answer.
    Closed,
    /// Nothing came in time.
    Silent,
}

/// One call.
#[derive(Clone, Debug)]
pub struct Call {
    pub id: String,
    /// On a connection that had carried a call before.
    pub reused: bool,
    /// When its connection stood, and when the call had ended; Unix time.
    pub connected_at: Duration,
    pub ended_at: Duration,
    pub end: End,
}

impl Call {
    /// Whether the caller knows what became of it: taken on, or turned away with a time to come again.
    pub fn is_settled(&self) -> bool {
        match self.end {
            End::Answered { status: 200 | 202, .. } => true,
            End::Answered { status: 503 | 429, retry_after } => retry_after,
            _ => false,
        }
    }

    /// The connection was closed between two calls while this one was on its way (protocol, "Clients to forwarders": the
    /// client sends it once more on a new connection).
    pub fn crossed_a_close(&self) -> bool {
        self.reused && self.end == End::Closed
    }
}

impl fmt::Display for Call {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (from, to) = (self.connected_at.as_secs_f64(), self.ended_at.as_secs_f64());
        let connection = if self.reused { "reused" } else { "new" };
        write!(f, "{from:.4} to {to:.4}  {:<12} {connection:<6} {:?}", self.id, self.end)
    }
}

/// How a caller uses its connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Connections {
    /// A new one for each call.
    New,
    /// One for all calls, for as long as it stands.
    Kept,
}

/// Callers that go on until they are stopped.
pub struct Callers {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<Vec<Call>>>,
}

/// What a caller calls, and how.
#[derive(Clone, Copy, Debug)]
pub struct CallerKind {
    pub class: &'static str,
    pub connections: Connections,
    /// All its messages have this ordering key.
    pub key: Option<&'static str>,
}

/// Whether callers may open connections. Those that may not wait, and go on using the ones they have.
#[derive(Clone, Default)]
pub struct ConnectGate(Arc<AtomicBool>);

impl ConnectGate {
    pub fn close(&self) {
        self.0.store(true, Ordering::SeqCst);
    }

    pub fn open(&self) {
        self.0.store(false, Ordering::SeqCst);
    }

    fn is_open(&self) -> bool {
        !self.0.load(Ordering::SeqCst)
    }
}

impl Callers {
    /// One caller of this class for each of these. Calls of caller 2 have the ids `c2-0`, `c2-1` and so on.
    pub fn start(addr: SocketAddr, class: &'static str, connections: &[Connections]) -> Callers {
        let kind = |connections: &Connections| CallerKind { class, connections: *connections, key: None };
        let kinds: Vec<CallerKind> = connections.iter().map(kind).collect();
        Callers::start_kinds(addr, &kinds, &ConnectGate::default())
    }

    /// One caller for each of these.
    pub fn start_kinds(addr: SocketAddr, kinds: &[CallerKind], gate: &ConnectGate) -> Callers {
        let stop = Arc::new(AtomicBool::new(false));
        let threads = kinds.iter().enumerate().map(|(number, kind)| {
            let caller = Caller { addr, kind: *kind, number, gate: gate.clone(), kept: None };
            let stop = stop.clone();
            thread::spawn(move || caller.run(&stop))
        });
        Callers { threads: threads.collect(), stop }
    }

    /// Stops them and gives all calls, in the order of their ends.
    pub fn stop(self) -> Vec<Call> {
        self.stop.store(true, Ordering::Relaxed);
        let mut calls: Vec<Call> =
            self.threads.into_iter().flat_map(|caller| caller.join().expect("a caller")).collect();
        calls.sort_by_key(|call| call.ended_at);
        calls
    }
}

struct Caller {
    addr: SocketAddr,
    kind: CallerKind,
    number: usize,
    gate: ConnectGate,
    kept: Option<TcpStream>,
}

impl Caller {
    fn run(mut self, stop: &AtomicBool) -> Vec<Call> {
        let mut calls = Vec::new();
        while !stop.load(Ordering::Relaxed) {
            self.kept = self.kept.take().filter(is_open);
            if self.kept.is_some() || self.gate.is_open() {
                let id = format!("c{}-{}", self.number, calls.len());
                calls.push(self.call(id));
            }
            thread::sleep(PAUSE);
        }
        calls
    }

    fn call(&mut self, id: String) -> Call {
        let kept = self.kept.take();
        let reused = kept.is_some();
        let socket = match kept {
            Some(socket) => Ok(socket),
            None => TcpStream::connect_timeout(&self.addr, CALL_TIMEOUT),
        };
        let connected_at = unix_time();
        let key = self.kind.key.map(|key| format!("X-Key: {key}\r\n")).unwrap_or_default();
        let request = message_request(self.kind.class, &id, "20000m", &key);
        let (end, socket) = match socket {
            Ok(mut socket) => (exchange(&mut socket, &request), Some(socket)),
            Err(error) => (end_of(&error), None),
        };
        if self.kind.connections == Connections::Kept {
            self.kept = socket.filter(|_| matches!(end, Exchanged { keep: true, .. }));
        }
        Call { id, reused, connected_at, ended_at: unix_time(), end: end.end }
    }
}

/// The time as the program's log has it.
pub fn unix_time() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("a clock after 1970")
}

/// Whether a connection between two calls has not been closed by the other side.
fn is_open(socket: &TcpStream) -> bool {
    socket.set_nonblocking(true).expect("a socket");
    let peeked = socket.peek(&mut [0]);
    socket.set_nonblocking(false).expect("a socket");
    peeked.is_err_and(|error| error.kind() == ErrorKind::WouldBlock)
}

/// What came of a request on a connection.
struct Exchanged {
    end: End,
    /// The connection may carry a further request.
    keep: bool,
}

fn end_of(error: &std::io::Error) -> Exchanged {
    let end = match error.kind() {
        ErrorKind::ConnectionRefused => End::Refused,
        ErrorKind::ConnectionReset | ErrorKind::BrokenPipe => End::Reset,
        ErrorKind::WouldBlock | ErrorKind::TimedOut => End::Silent,
        kind => panic!("{kind:?}: {error}"),
    };
    Exchanged { end, keep: false }
}

/// Sends a request and reads its answer.
fn exchange(socket: &mut TcpStream, request: &[u8]) -> Exchanged {
    socket.set_read_timeout(Some(CALL_TIMEOUT)).expect("a time-out");
    // An error here may hide an answer that came before the reset.
    let written = socket.write_all(request);
    let mut answer = Vec::new();
    loop {
        if let Some(exchanged) = whole_answer(&answer) {
            return exchanged;
        }
        let mut bytes = [0; 4096];
        match socket.read(&mut bytes) {
            Ok(0) => return Exchanged { end: End::Closed, keep: false },
            Ok(size) => answer.extend_from_slice(&bytes[..size]),
            Err(error) => return end_of(written.as_ref().err().unwrap_or(&error)),
        }
    }
}

/// The answer, once all of it is there.
fn whole_answer(bytes: &[u8]) -> Option<Exchanged> {
    let text = String::from_utf8_lossy(bytes);
    let (head, body) = text.split_once("\r\n\r\n")?;
    let head = head.to_ascii_lowercase();
    let header = |name: &str| head.lines().find_map(|line| line.strip_prefix(name)).map(str::trim);
    let length: usize = header("content-length:").and_then(|length| length.parse().ok()).unwrap_or(0);
    if body.len() < length {
        return None;
    }
    let status = head.split(' ').nth(1).and_then(|status| status.parse().ok()).expect("a status");
    let end = End::Answered { status, retry_after: header("retry-after:").is_some() };
    Some(Exchanged { end, keep: header("connection:") != Some("close") })
}

/// The calls that fit, a line each.
pub fn timeline<'a>(calls: impl IntoIterator<Item = &'a Call>) -> String {
    calls.into_iter().map(|call| format!("{call}\n")).collect()
}
