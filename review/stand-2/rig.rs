//! The stand-ins of the cases 6 to 10: clients, partner endpoints, the discovery agent with the platform's report
//! address, and the control of the project's own processes. Standard library only; `review/build-2.sh` builds it.
//!
//! Usage: `rig CASE RECORD_FILE`, from the root of the repository. `TROUBLE=0` leaves the disruption out.
//! Exit code: 0 the rule held, 1 the rule was broken, 2 the case could not run.
use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

mod cases;

/// Longest run of a case, well under the 120 s that a case may take.
const WATCHDOG: Duration = Duration::from_secs(108);

pub const SIGHUP: i32 = 1;
pub const SIGTERM: i32 = 15;
pub const SIGKILL: i32 = 9;

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

// ---- The record.

struct Recorder {
    file: Mutex<File>,
    start: Instant,
    /// Processes to end when the rig ends.
    pids: Mutex<Vec<i32>>,
    folder: PathBuf,
}

static RECORDER: OnceLock<Recorder> = OnceLock::new();

fn recorder() -> &'static Recorder {
    RECORDER.get().expect("the recorder is set first")
}

/// Seconds since the start of the case.
pub fn now_s() -> f64 {
    recorder().start.elapsed().as_secs_f64()
}

pub fn record(text: &str) {
    let line = format!("{:8.3} {text}\n", now_s());
    let _ = recorder().file.lock().unwrap().write_all(line.as_bytes());
}

/// The temporary folder of this run.
pub fn folder() -> PathBuf {
    recorder().folder.clone()
}

pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Ends all processes, removes the folder and exits.
pub fn finish(code: i32, why: &str) -> ! {
    record(&format!("RESULT {code}: {why}"));
    for pid in recorder().pids.lock().unwrap().iter() {
        unsafe { kill(*pid, SIGKILL) };
    }
    sleep(Duration::from_millis(100));
    let _ = fs::remove_dir_all(&recorder().folder);
    println!("{why}");
    std::process::exit(code);
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    if args.len() != 3 {
        eprintln!("usage: rig CASE RECORD_FILE");
        std::process::exit(2);
    }
    let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
    let made = fs::create_dir_all(&folder).and_then(|()| File::create(&args[2]));
    let Ok(file) = made else {
        eprintln!("cannot create the record or the temporary folder");
        std::process::exit(2);
    };
    let _ = RECORDER.set(Recorder {
        file: Mutex::new(file),
        start: Instant::now(),
        pids: Mutex::default(),
        folder,
    });
    record(&format!("case {}, trouble {}", args[1], trouble()));
    std::panic::set_hook(Box::new(|info| {
        record(&format!("the rig failed: {info}"));
        finish(2, "the case could not run");
    }));
    thread::spawn(|| {
        sleep(WATCHDOG);
        finish(2, "the case took too long");
    });
    cases::run(&args[1]);
}

// ---- HTTP.

#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// When its first byte was there.
    pub first_byte_s: f64,
    /// When its last byte was there.
    pub last_byte_s: f64,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value.as_str())
    }
    pub fn status(&self) -> u16 {
        self.start_line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

pub fn read_message(reader: &mut impl BufRead) -> Option<Message> {
    if reader.fill_buf().ok()?.is_empty() {
        return None;
    }
    let mut message = Message { first_byte_s: now_s(), ..Message::default() };
    let mut line = String::new();
    reader.read_line(&mut line).ok().filter(|n| *n > 0)?;
    message.start_line = line.trim_end().to_string();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|n| *n > 0)?;
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        message.headers.push((name.trim().to_string(), value.trim().to_string()));
    }
    let length = message.header("content-length").parse().unwrap_or(0);
    message.body.resize(length, 0);
    reader.read_exact(&mut message.body).ok()?;
    message.last_byte_s = now_s();
    Some(message)
}

/// A loopback address of this process alone, so that no other process takes a port between its choice and its use.
fn own_address() -> Ipv4Addr {
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 64 + high % 128, middle, low)
}

pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind((own_address(), 0)).expect("a free port");
    listener.local_addr().expect("its address")
}

/// Accepts connections on a loopback port and serves each in a thread.
fn serve(handle: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind((own_address(), 0)).expect("a free port");
    let address = listener.local_addr().expect("its address");
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for socket in listener.incoming().flatten() {
            let handle = handle.clone();
            let _ = socket.set_nodelay(true);
            thread::spawn(move || handle(socket));
        }
    });
    address
}

// ---- Partner endpoints.

/// What an endpoint does with a call.
pub enum Reply {
    /// Answers with this status and these header lines after a time.
    Status(u16, String, Duration),
    /// Writes this text, a spoilt answer, and keeps the connection until the caller ends it. `true`: more keeps coming.
    Spoilt(String, bool),
    /// Writes this text, a whole answer.
    Text(String),
    /// Answers nothing and keeps the connection until the caller ends it.
    Hang,
}

#[derive(Clone, Debug)]
pub struct CallSeen {
    pub at_s: f64,
    pub first_byte_s: f64,
    pub id: String,
    pub body: String,
    /// Status, and when it was written; 0 without an answer.
    pub status: u16,
    pub answered_s: f64,
}

#[derive(Clone)]
pub struct Endpoint {
    pub name: Arc<Mutex<String>>,
    pub address: SocketAddr,
    calls: Arc<Mutex<Vec<CallSeen>>>,
    sockets: Arc<Mutex<Vec<TcpStream>>>,
}

impl Endpoint {
    /// Starts an endpoint that asks `reply` with each call and its number, from 0.
    pub fn start(name: &str, reply: impl Fn(&Message, usize) -> Reply + Send + Sync + 'static) -> Endpoint {
        let calls: Arc<Mutex<Vec<CallSeen>>> = Arc::default();
        let sockets: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let name = Arc::new(Mutex::new(name.to_string()));
        let (seen, open, label) = (calls.clone(), sockets.clone(), name.clone());
        let address = serve(move |mut socket| {
            open.lock().unwrap().push(socket.try_clone().expect("a handle"));
            let mut reader = BufReader::new(socket.try_clone().expect("a handle"));
            while let Some(message) = read_message(&mut reader) {
                let id = message.header("x-request-id").to_string();
                let name = label.lock().unwrap().clone();
                let body = String::from_utf8_lossy(&message.body).into_owned();
                let number = {
                    let mut seen = seen.lock().unwrap();
                    let call = CallSeen {
                        at_s: message.last_byte_s,
                        first_byte_s: message.first_byte_s,
                        id: id.clone(),
                        body: body.clone(),
                        status: 0,
                        answered_s: 0.0,
                    };
                    seen.push(call);
                    seen.len() - 1
                };
                record(&format!("{name}: call {id} body={body:.40}"));
                match reply(&message, number) {
                    Reply::Status(status, headers, after) => {
                        sleep(after);
                        let text =
                            format!("HTTP/1.1 {status} X\r\n{headers}Content-Length: 0\r\n\r\n");
                        if socket.write_all(text.as_bytes()).is_err() {
                            return;
                        }
                        let mut seen = seen.lock().unwrap();
                        seen[number].status = status;
                        seen[number].answered_s = now_s();
                        record(&format!("{name}: answered {id} with {status} {}", headers.trim()));
                    }
                    Reply::Spoilt(text, keeps_coming) => {
                        let _ = socket.write_all(text.as_bytes());
                        record(&format!("{name}: has run {id}; its answer is spoilt: {text:?}"));
                        // Bounded: 200 KB a second for ten seconds at most.
                        for _ in 0..if keeps_coming { 200 } else { 0 } {
                            if socket.write_all(&[b'x'; 10_000]).is_err() {
                                return;
                            }
                            sleep(Duration::from_millis(50));
                        }
                        let _ = reader.read_to_end(&mut Vec::new());
                        return;
                    }
                    Reply::Text(text) => {
                        if socket.write_all(text.as_bytes()).is_err() {
                            return;
                        }
                        record(&format!("{name}: answered with {}", text.lines().next().unwrap_or_default()));
                    }
                    Reply::Hang => {
                        let _ = reader.read_to_end(&mut Vec::new());
                        return;
                    }
                }
            }
        });
        Endpoint { name, address, calls, sockets }
    }
    pub fn calls(&self) -> Vec<CallSeen> {
        self.calls.lock().unwrap().clone()
    }
    /// Ends all open connections, as the end of a process does.
    pub fn reset(&self) {
        for socket in self.sockets.lock().unwrap().drain(..) {
            let _ = socket.shutdown(Shutdown::Both);
        }
    }
    pub fn rename(&self, name: &str) {
        *self.name.lock().unwrap() = name.to_string();
    }
}

// ---- Discovery and the platform's report address.

#[derive(Clone)]
pub struct Listed {
    pub uid: String,
    pub address: SocketAddr,
    pub dest: u64,
    pub model: String,
    pub state: String,
    pub rate: f64,
    /// Revision of its last change.
    pub rev: u64,
}

impl Listed {
    pub fn ready(uid: &str, address: SocketAddr, dest: u64, model: &str, rate: f64) -> Listed {
        Listed { uid: uid.into(), address, dest, model: model.into(), state: "Ready".into(), rate, rev: 1 }
    }
    fn json(&self, zone: &str) -> String {
        format!(
            r#"{{"uid":"{}","endpoint":"{}","az":"{zone}","model":"{}","pod_group":{},"state":"{}","capacity_hint":{:.1},"boot_ms":0}}"#,
            self.uid, self.address, self.model, self.dest, self.state, self.rate
        )
    }
}

struct DiscoveryState {
    rev: u64,
    entries: Vec<Listed>,
    down: bool,
    /// Counts the outages: a watch of an earlier period ends.
    period: u64,
    notices: Vec<(f64, String, String)>,
}

#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    zone: String,
    state: Arc<Mutex<DiscoveryState>>,
    /// Set when this address is given up: it takes no new connection and closes the open ones.
    closed: Arc<AtomicBool>,
}

impl Discovery {
    pub fn start(zone: &str, entries: Vec<Listed>) -> Discovery {
        let state = DiscoveryState { rev: 1, entries, down: false, period: 0, notices: Vec::new() };
        Discovery::at_new_address(Arc::new(Mutex::new(state)), zone)
    }
    /// The same service at another address.
    pub fn moved(&self) -> Discovery {
        Discovery::at_new_address(self.state.clone(), &self.zone)
    }
    pub fn close(&self) {
        record(&format!("discovery: {} is given up", self.address));
        self.closed.store(true, Ordering::Relaxed);
    }
    fn at_new_address(state: Arc<Mutex<DiscoveryState>>, zone: &str) -> Discovery {
        let closed = Arc::new(AtomicBool::new(false));
        let (shared, az, ends) = (state.clone(), zone.to_string(), closed.clone());
        let address = serve(move |socket| serve_discovery(socket, &shared, &az, &ends));
        Discovery { address, zone: zone.to_string(), state, closed }
    }
    /// The whole list, as in the key `known` of a configuration.
    pub fn list(&self) -> String {
        let state = self.state.lock().unwrap();
        list_json(&state, &self.zone, None)
    }
    pub fn change(&self, changes: Vec<Listed>) {
        let mut state = self.state.lock().unwrap();
        state.rev += 1;
        let rev = state.rev;
        for mut change in changes {
            change.rev = rev;
            record(&format!("discovery has: rev {rev} {}", change.json(&self.zone)));
            state.entries.retain(|entry| entry.uid != change.uid);
            state.entries.push(change);
        }
    }
    /// While it is down, watches end and each call ends with 503 (users/PROTOCOL, "Discovery").
    pub fn set_down(&self, down: bool) {
        let mut state = self.state.lock().unwrap();
        state.down = down;
        state.period += 1;
        record(if down { "discovery is down" } else { "discovery is up" });
    }
    pub fn notices(&self) -> Vec<(f64, String, String)> {
        self.state.lock().unwrap().notices.clone()
    }
}

/// The whole list, or the entries that changed after a revision.
fn list_json(state: &DiscoveryState, zone: &str, after: Option<u64>) -> String {
    let wanted = |entry: &&Listed| match after {
        Some(after) => entry.rev > after,
        None => entry.state != "Gone",
    };
    let entries: Vec<String> = state.entries.iter().filter(wanted).map(|e| e.json(zone)).collect();
    format!(r#"{{"rev":{},"all":{},"targets":[{}]}}"#, state.rev, after.is_none(), entries.join(","))
}

fn serve_discovery(
    mut socket: TcpStream, state: &Arc<Mutex<DiscoveryState>>, zone: &str, closed: &Arc<AtomicBool>,
) {
    let is_closed = || closed.load(Ordering::Relaxed);
    let mut reader = BufReader::new(socket.try_clone().expect("a handle"));
    while let Some(message) = read_message(&mut reader).filter(|_| !is_closed()) {
        if message.start_line.starts_with("POST /reports") {
            for line in String::from_utf8_lossy(&message.body).lines() {
                let field = |name: &str| {
                    let rest = line.split(&format!("\"{name}\":\"")).nth(1).unwrap_or("");
                    rest.split('"').next().unwrap_or("").to_string()
                };
                record(&format!("platform: notice {line}"));
                state.lock().unwrap().notices.push((now_s(), field("id"), field("status")));
            }
            if socket.write_all(b"HTTP/1.1 204 No Content\r\n\r\n").is_err() {
                return;
            }
            continue;
        }
        let (down, period) = {
            let state = state.lock().unwrap();
            (state.down, state.period)
        };
        if down {
            record(&format!("discovery: {} gets 503", message.start_line));
            let text = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
            let _ = socket.write_all(text.as_bytes());
            return;
        }
        if !message.start_line.contains("watch=1") {
            let list = list_json(&state.lock().unwrap(), zone, None);
            let text = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len());
            if socket.write_all(text.as_bytes()).is_err() {
                return;
            }
            continue;
        }
        record(&format!("discovery: {} is answered", message.start_line));
        let after = message.start_line.split("after=").nth(1).and_then(|t| t.split([' ', '&']).next());
        let mut told: u64 = after.and_then(|t| t.parse().ok()).unwrap_or(0);
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        if socket.write_all(head.as_bytes()).is_err() {
            return;
        }
        let mut is_first = true;
        let mut last_line = Instant::now();
        loop {
            let object = {
                let state = state.lock().unwrap();
                if state.period != period || is_closed() {
                    let _ = socket.shutdown(Shutdown::Both);
                    return;
                }
                let is_known = told > 0 && told <= state.rev;
                let object = (is_first || told < state.rev)
                    .then(|| list_json(&state, zone, Some(told).filter(|_| is_known)));
                told = state.rev;
                object
            };
            is_first = false;
            let line = match object {
                Some(object) => object + "\n",
                None if last_line.elapsed() >= Duration::from_secs(2) => "\n".to_string(),
                None => {
                    sleep(Duration::from_millis(20));
                    continue;
                }
            };
            last_line = Instant::now();
            if socket.write_all(format!("{:x}\r\n{line}\r\n", line.len()).as_bytes()).is_err() {
                return;
            }
        }
    }
}

// ---- Clients.

/// A client that keeps its connection, and waits 400 ms for an answer.
pub struct Client {
    address: SocketAddr,
    connection: Option<BufReader<TcpStream>>,
}

/// A message as its client hands it in.
#[derive(Clone, Default)]
pub struct HandIn {
    pub id: String,
    pub class: String,
    pub tenant: String,
    pub dest: u64,
    pub deadline_ms: u64,
    pub key: String,
    pub idempotency_key: String,
    pub body: String,
}

impl Client {
    pub fn new(address: SocketAddr) -> Client {
        Client { address, connection: None }
    }

    /// Hands a message in; returns the status, or `None` without an answer in time.
    pub fn hand_in(&mut self, message: &HandIn) -> Option<u16> {
        let mut head = format!(
            "POST /{} HTTP/1.1\r\nHost: service.internal\r\nX-Request-Id: {}\r\nX-Class: {}\r\nX-Tenant: {}\r\nX-Deadline: {}m\r\nX-Envelope: dest={}\r\n",
            message.class, message.id, message.class, message.tenant, message.deadline_ms, message.dest
        );
        if !message.key.is_empty() {
            head += &format!("X-Key: {}\r\n", message.key);
        }
        if !message.idempotency_key.is_empty() {
            head += &format!("Idempotency-Key: {}\r\n", message.idempotency_key);
        }
        head += &format!("Content-Length: {}\r\n\r\n{}", message.body.len(), message.body);
        let status = self.exchange(head.as_bytes());
        let text = status.map_or("no answer in 400 ms".to_string(), |status| status.to_string());
        record(&format!(
            "client: {} class={} dest={} deadline={}ms -> {text}",
            message.id, message.class, message.dest, message.deadline_ms
        ));
        status
    }

    /// Sends a request; once more on a new connection if a kept one was closed before it was read.
    fn exchange(&mut self, request: &[u8]) -> Option<u16> {
        let was_kept = self.connection.is_some();
        for attempt in 0..2 {
            if self.connection.is_none() {
                let socket = TcpStream::connect_timeout(&self.address, Duration::from_millis(400)).ok()?;
                let _ = socket.set_nodelay(true);
                let _ = socket.set_read_timeout(Some(Duration::from_millis(400)));
                self.connection = Some(BufReader::new(socket));
            }
            let mut reader = self.connection.take()?;
            let started = Instant::now();
            let written = reader.get_mut().write_all(request);
            let answer = written.ok().and_then(|()| read_message(&mut reader));
            match answer {
                Some(answer) => {
                    if !answer.header("connection").eq_ignore_ascii_case("close") {
                        self.connection = Some(reader);
                    }
                    return Some(answer.status());
                }
                None if attempt == 0 && was_kept && started.elapsed() < Duration::from_millis(300) => {}
                None => return None,
            }
        }
        None
    }
}

// ---- The project's processes.

#[derive(Clone)]
pub struct DaemonConfig {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub seed: String,
    pub known: String,
    pub settings: String,
    pub env: Vec<(String, String)>,
}

pub struct Daemon {
    pub child: Child,
    pub label: String,
    log: PathBuf,
    pub mgmt: Option<SocketAddr>,
    listen: SocketAddr,
}

/// The command `run` of the deploy file.
fn run_command() -> String {
    let text = fs::read_to_string("deploy/balancer.toml").expect("deploy/balancer.toml");
    let line = text.lines().find(|line| line.starts_with("run")).expect("the key run");
    line.split('"').nth(1).expect("its command").to_string()
}

impl Daemon {
    /// Starts `run` as the deploy page says. `label` names the process in the record.
    pub fn start(config: &DaemonConfig, label: &str, mgmt: Option<SocketAddr>) -> Daemon {
        let home = folder().join(&config.name);
        let (state, temporary) = (home.join("state"), home.join(format!("tmp-{label}")));
        fs::create_dir_all(&state).expect("the state folder");
        fs::create_dir_all(&temporary).expect("the temporary folder");
        let file = home.join("config.json");
        let mgmt_key = mgmt.map_or(String::new(), |address| format!(r#""mgmt":"{address}","#));
        let text = format!(
            r#"{{"name":"{}","listen":"{}","discovery":"{}",{mgmt_key}"seed":"{}","limits":{{"cores":1.0,"memory_mb":192,"sockets":1024,"disk_mb":3}},"known":{},"settings":{}}}"#,
            config.name, config.listen, config.discovery, config.seed, config.known, config.settings
        );
        fs::write(&file, text).expect("the configuration");
        let log = home.join(format!("log-{label}"));
        let output = File::create(&log).expect("the log");
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(run_command());
        command.env("RELAY_NAME", &config.name).env("RELAY_LISTEN", config.listen.to_string());
        command.env("RELAY_DISCOVERY", config.discovery.to_string());
        command.env("RELAY_STATE", &state).env("RELAY_CONFIG", &file).env("TMPDIR", &temporary);
        if let Some(mgmt) = mgmt {
            command.env("RELAY_MGMT", mgmt.to_string());
        }
        command.envs(config.env.clone());
        command.stdin(Stdio::null()).stdout(output.try_clone().expect("a handle")).stderr(output);
        let child = command.spawn().expect("run starts");
        recorder().pids.lock().unwrap().push(child.id() as i32);
        record(&format!("platform: starts {label}"));
        Daemon { child, label: label.to_string(), log, mgmt, listen: config.listen }
    }

    /// Waits until it is ready: `GET /v1/readyz` where operators call, else `GET /ready`.
    pub fn wait_ready(&mut self, within: Duration) {
        let started = Instant::now();
        let (address, path) = match self.mgmt {
            Some(mgmt) => (mgmt, "/v1/readyz"),
            None => (self.listen, "/ready"),
        };
        while started.elapsed() < within {
            if get(address, path) == Some(200) {
                return record(&format!("platform: {} is ready", self.label));
            }
            if self.child.try_wait().ok().flatten().is_some() {
                break;
            }
            sleep(Duration::from_millis(20));
        }
        self.record_log(40);
        if let Ok(Some(status)) = self.child.try_wait() {
            record(&format!("{} has ended ({status})", self.label));
        }
        finish(2, &format!("{} did not become ready", self.label));
    }

    /// Replaces the configuration file, whose `discovery` names another address from now on.
    pub fn replace_discovery(&self, config: &DaemonConfig, new: SocketAddr) {
        let file = folder().join(&config.name).join("config.json");
        let text = fs::read_to_string(&file).expect("the configuration");
        let text = text.replace(&format!(r#""discovery":"{}""#, config.discovery), &format!(r#""discovery":"{new}""#));
        let replacement = file.with_extension("new");
        fs::write(&replacement, text).and_then(|()| fs::rename(&replacement, &file)).expect("the configuration");
        record(&format!("platform: discovery is {new} in the configuration"));
    }

    pub fn signal(&self, signal: i32) {
        record(&format!("platform: signal {signal} to {}", self.label));
        unsafe { kill(self.child.id() as i32, signal) };
    }

    /// Waits for its end; kills it after `within`, as the platform does.
    pub fn wait_end(&mut self, within: Duration) {
        let started = Instant::now();
        while started.elapsed() < within {
            if let Ok(Some(status)) = self.child.try_wait() {
                recorder().pids.lock().unwrap().retain(|pid| *pid != self.child.id() as i32);
                return record(&format!("platform: {} has ended ({status})", self.label));
            }
            sleep(Duration::from_millis(10));
        }
        self.signal(SIGKILL);
        let _ = self.child.wait();
        recorder().pids.lock().unwrap().retain(|pid| *pid != self.child.id() as i32);
    }

    /// Copies the last lines of its log into the record.
    pub fn record_log(&self, lines: usize) {
        let text = fs::read_to_string(&self.log).unwrap_or_default();
        let all: Vec<&str> = text.lines().collect();
        for line in &all[all.len().saturating_sub(lines)..] {
            record(&format!("log of {}: {}", self.label, line.chars().take(300).collect::<String>()));
        }
    }
}

/// The status of a GET on a new connection; `None` without an answer in one second.
pub fn get(address: SocketAddr, path: &str) -> Option<u16> {
    let mut socket = TcpStream::connect_timeout(&address, Duration::from_millis(500)).ok()?;
    socket.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
    let request = format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    socket.write_all(request.as_bytes()).ok()?;
    read_message(&mut BufReader::new(socket)).map(|message| message.status())
}

pub fn sleep_until(at_s: f64) {
    let left = at_s - now_s();
    if left > 0.0 {
        sleep(Duration::from_secs_f64(left));
    }
}

/// Messages that were taken on, by id: when their time is up.
pub type Taken = Arc<Mutex<BTreeMap<String, f64>>>;

/// A flag that ends the clients' threads.
pub type Stop = Arc<AtomicBool>;

pub fn stopped(stop: &Stop) -> bool {
    stop.load(Ordering::Relaxed)
}

pub fn repository(path: &str) -> PathBuf {
    fs::canonicalize(Path::new(path)).expect("a file of the repository")
}
