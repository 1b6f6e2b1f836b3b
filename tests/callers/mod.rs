//! Callers of a forwarder while its processes change: each request and its outcome, as a client sees them.
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

/// How long a caller waits for each step of a request. A platform's client waits 400 ms; this is longer, so that a late
/// response can be distinguished from a missing one.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);
/// Pause of a caller between two requests.
const PAUSE: Duration = Duration::from_millis(2);

/// The outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// A complete response.
    Answered { status: u16, retry_after: bool },
    /// The connection attempt was refused.
    Refused,
    /// The connection was reset.
    Reset,
    /// The connection was closed before a complete response arrived.
    Closed,
    /// A step took longer than [`REQUEST_TIMEOUT`].
    TimedOut,
}

/// One request of a caller.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    pub id: String,
    /// Whether the connection had carried a request before.
    pub reused: bool,
    /// When the connection was established, or found open, in Unix time.
    pub connected_at: Duration,
    /// When the outcome was known, in Unix time.
    pub ended_at: Duration,
    pub outcome: RequestOutcome,
}

impl ClientRequest {
    /// Returns whether the caller knows the result: the message was accepted, or rejected with Retry-After.
    pub fn is_settled(&self) -> bool {
        match self.outcome {
            RequestOutcome::Answered { status: 200 | 202, .. } => true,
            RequestOutcome::Answered { status: 503 | 429, retry_after } => retry_after,
            _ => false,
        }
    }

    /// Returns whether the forwarder closed the idle connection while this request was on its way to it (protocol, "Clients
    /// to forwarders": the client sends the request once more on a new connection).
    pub fn raced_with_close(&self) -> bool {
        self.reused && self.outcome == RequestOutcome::Closed
    }
}

impl fmt::Display for ClientRequest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (from, to) = (self.connected_at.as_secs_f64(), self.ended_at.as_secs_f64());
        let connection = if self.reused { "reused" } else { "new" };
        write!(f, "{from:.4} to {to:.4}  {:<12} {connection:<6} {:?}", self.id, self.outcome)
    }
}

/// How a caller uses its connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Connections {
    /// A new connection for each request.
    New,
    /// One connection for all requests, until it is closed.
    KeepAlive,
}

/// Callers that send requests, one after the other, until they are stopped.
pub struct Callers {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<Vec<ClientRequest>>>,
}

/// The requests of a caller and its use of connections.
#[derive(Clone, Copy, Debug)]
pub struct CallerKind {
    pub class: &'static str,
    pub connections: Connections,
    /// The ordering key of all messages of the caller.
    pub key: Option<&'static str>,
}

/// Prevents callers from opening connections while it is closed. Callers still use connections that are open, and wait if
/// they have none. The flag is `true` while the gate is closed.
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
    /// Starts one caller for each element of `connections`; all send messages of `class`. The requests of caller 2 have the
    /// ids `c2-0`, `c2-1` and so on.
    pub fn start(addr: SocketAddr, class: &'static str, connections: &[Connections]) -> Callers {
        let kind = |connections: &Connections| CallerKind { class, connections: *connections, key: None };
        let kinds: Vec<CallerKind> = connections.iter().map(kind).collect();
        Callers::start_kinds(addr, &kinds, &ConnectGate::default())
    }

    /// Starts one caller for each element of `kinds`.
    pub fn start_kinds(addr: SocketAddr, kinds: &[CallerKind], gate: &ConnectGate) -> Callers {
        let stop = Arc::new(AtomicBool::new(false));
        let threads = kinds.iter().enumerate().map(|(number, kind)| {
            let caller = Caller { addr, kind: *kind, number, gate: gate.clone(), idle: None };
            let stop = stop.clone();
            thread::spawn(move || caller.run(&stop))
        });
        Callers { threads: threads.collect(), stop }
    }

    /// Stops the callers and returns all requests in the order of `ended_at`.
    pub fn stop(self) -> Vec<ClientRequest> {
        self.stop.store(true, Ordering::Relaxed);
        let mut requests: Vec<ClientRequest> =
            self.threads.into_iter().flat_map(|caller| caller.join().expect("a caller panicked")).collect();
        requests.sort_by_key(|request| request.ended_at);
        requests
    }
}

struct Caller {
    addr: SocketAddr,
    kind: CallerKind,
    number: usize,
    gate: ConnectGate,
    /// The open connection that the next request reuses.
    idle: Option<TcpStream>,
}

impl Caller {
    fn run(mut self, stop: &AtomicBool) -> Vec<ClientRequest> {
        let mut requests = Vec::new();
        while !stop.load(Ordering::Relaxed) {
            self.idle = self.idle.take().filter(is_open);
            if self.idle.is_some() || self.gate.is_open() {
                let id = format!("c{}-{}", self.number, requests.len());
                requests.push(self.send(id));
            }
            thread::sleep(PAUSE);
        }
        requests
    }

    fn send(&mut self, id: String) -> ClientRequest {
        let idle = self.idle.take();
        let reused = idle.is_some();
        let socket = match idle {
            Some(socket) => Ok(socket),
            None => TcpStream::connect_timeout(&self.addr, REQUEST_TIMEOUT),
        };
        let connected_at = unix_time();
        let key = self.kind.key.map(|key| format!("X-Key: {key}\r\n")).unwrap_or_default();
        let request = message_request(self.kind.class, &id, "20000m", &key);
        let (result, socket) = match socket {
            Ok(mut socket) => (exchange(&mut socket, &request), Some(socket)),
            Err(error) => (failed_exchange(&error), None),
        };
        if self.kind.connections == Connections::KeepAlive {
            self.idle = socket.filter(|_| result.keep_alive);
        }
        ClientRequest { id, reused, connected_at, ended_at: unix_time(), outcome: result.outcome }
    }
}

/// Returns the time since 1970, as in the timestamps of the daemon's log.
pub fn unix_time() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("the clock is set before 1970")
}

/// Returns whether the forwarder has not closed an idle connection.
fn is_open(socket: &TcpStream) -> bool {
    socket.set_nonblocking(true).expect("cannot set the socket non-blocking");
    let peeked = socket.peek(&mut [0]);
    socket.set_nonblocking(false).expect("cannot set the socket blocking");
    peeked.is_err_and(|error| error.kind() == ErrorKind::WouldBlock)
}

/// The result of a request on a connection.
struct ExchangeResult {
    outcome: RequestOutcome,
    /// Whether the connection may carry a further request.
    keep_alive: bool,
}

fn failed_exchange(error: &std::io::Error) -> ExchangeResult {
    let outcome = match error.kind() {
        ErrorKind::ConnectionRefused => RequestOutcome::Refused,
        ErrorKind::ConnectionReset | ErrorKind::BrokenPipe => RequestOutcome::Reset,
        ErrorKind::WouldBlock | ErrorKind::TimedOut => RequestOutcome::TimedOut,
        kind => panic!("{kind:?}: {error}"),
    };
    ExchangeResult { outcome, keep_alive: false }
}

/// Sends a request and reads its response.
fn exchange(socket: &mut TcpStream, request: &[u8]) -> ExchangeResult {
    socket.set_read_timeout(Some(REQUEST_TIMEOUT)).expect("cannot set the read timeout");
    // Reads even if the write fails: a response may have arrived before the reset.
    let written = socket.write_all(request);
    let mut response = Vec::new();
    loop {
        if let Some(result) = parse_response(&response) {
            return result;
        }
        let mut bytes = [0; 4096];
        match socket.read(&mut bytes) {
            Ok(0) => return ExchangeResult { outcome: RequestOutcome::Closed, keep_alive: false },
            Ok(size) => response.extend_from_slice(&bytes[..size]),
            Err(error) => return failed_exchange(written.as_ref().err().unwrap_or(&error)),
        }
    }
}

/// Parses a response; returns `None` until it is complete.
fn parse_response(bytes: &[u8]) -> Option<ExchangeResult> {
    let text = String::from_utf8_lossy(bytes);
    let (head, body) = text.split_once("\r\n\r\n")?;
    let head = head.to_ascii_lowercase();
    let header = |name: &str| head.lines().find_map(|line| line.strip_prefix(name)).map(str::trim);
    let length: usize = header("content-length:").and_then(|length| length.parse().ok()).unwrap_or(0);
    if body.len() < length {
        return None;
    }
    let status =
        head.split(' ').nth(1).and_then(|status| status.parse().ok()).expect("a response without a status");
    let outcome = RequestOutcome::Answered { status, retry_after: header("retry-after:").is_some() };
    Some(ExchangeResult { outcome, keep_alive: header("connection:") != Some("close") })
}

/// Formats requests, one per line.
pub fn timeline<'a>(requests: impl IntoIterator<Item = &'a ClientRequest>) -> String {
    requests.into_iter().map(|request| format!("{request}\n")).collect()
}
