//! Shared helper of the integration tests that start the micaladder binary: stand-in servers, a client and the daemon
//! process.
#![allow(dead_code)]
use std::collections::BTreeSet;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{IpAddr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// How long a test waits for any one event before it fails.
pub const EVENT_TIMEOUT: Duration = Duration::from_secs(15);

/// An HTTP request or response, as read from a socket.
#[derive(Clone, Debug, Default)]
pub struct HttpMessage {
    /// The request line or the status line.
    pub start_line: String,
    /// The header lines.
    pub headers: String,
    pub body: Vec<u8>,
    /// The address of the client, on a request that a stand-in server read.
    pub client_address: Option<SocketAddr>,
}

impl HttpMessage {
    pub fn header(&self, name: &str) -> Option<&str> {
        let lines = self.headers.lines().filter_map(|l| l.split_once(':'));
        lines.filter(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.trim()).next()
    }
    /// Returns the `X-Request-Id` header, or an empty string where there is none.
    pub fn request_id(&self) -> &str {
        self.header("x-request-id").unwrap_or_default()
    }
    pub fn status(&self) -> u16 {
        self.start_line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads one HTTP message; `None` if the connection ends before the message is complete.
pub fn read_http(reader: &mut impl BufRead) -> Option<HttpMessage> {
    let mut message = HttpMessage::default();
    reader.read_line(&mut message.start_line).ok().filter(|n| *n > 0)?;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|n| *n > 0)?;
        if line.trim().is_empty() {
            break;
        }
        message.headers.push_str(&line);
    }
    let size = message.header("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
    message.body.resize(size, 0);
    reader.read_exact(&mut message.body).ok()?;
    Some(message)
}

/// What a stand-in server does with a request.
pub enum Reply {
    /// Writes this text and reads the next request from the connection.
    Respond(String),
    /// Writes this text and leaves the connection open without another response.
    RespondAndHold(String),
    /// Writes this text and closes the connection.
    RespondAndClose(String),
    /// Closes the connection without a response.
    Close,
}

/// Returns the reply that sends a complete response with this status, header lines and body.
pub fn respond(status: &str, headers: &str, body: &str) -> Reply {
    Reply::Respond(format!("HTTP/1.1 {status}\r\n{headers}content-length: {}\r\n\r\n{body}", body.len()))
}

/// A stand-in HTTP server that answers each request by a function of the test and records all requests.
#[derive(Clone)]
pub struct Server {
    pub addr: SocketAddr,
    requests: Arc<(Mutex<Vec<HttpMessage>>, Condvar)>,
}

impl Server {
    /// Starts a server that calls `reply` with each request and its number, counted from 0.
    pub fn start(reply: impl Fn(&HttpMessage, usize) -> Reply + Send + Sync + 'static) -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let addr = listener.local_addr().expect("a local address");
        let server = Server { addr, requests: Default::default() };
        let (accepting, reply) = (server.clone(), Arc::new(reply));
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let (server, reply) = (accepting.clone(), reply.clone());
                thread::spawn(move || server.serve_connection(socket, &*reply));
            }
        });
        server
    }

    /// Starts a server that answers every request with this status.
    pub fn always(status: &'static str) -> Server {
        Server::start(move |_, _| respond(status, "", ""))
    }

    fn serve_connection(&self, mut socket: TcpStream, reply: &dyn Fn(&HttpMessage, usize) -> Reply) {
        let mut reader = BufReader::new(socket.try_clone().expect("a handle"));
        let client_address = socket.peer_addr().ok();
        while let Some(request) = read_http(&mut reader) {
            let request = HttpMessage { client_address, ..request };
            let number = {
                let mut all = self.requests.0.lock().expect("lock");
                all.push(request.clone());
                all.len() - 1
            };
            self.requests.1.notify_all();
            match reply(&request, number) {
                Reply::Respond(text) => drop(socket.write_all(text.as_bytes())),
                Reply::RespondAndHold(text) => {
                    let _ = socket.write_all(text.as_bytes());
                    let _ = reader.read_to_end(&mut Vec::new());
                }
                Reply::RespondAndClose(text) => {
                    let _ = socket.write_all(text.as_bytes());
                    let _ = socket.shutdown(Shutdown::Both);
                    break;
                }
                Reply::Close => {
                    let _ = socket.shutdown(Shutdown::Both);
                    break;
                }
            }
        }
    }

    /// Returns all requests so far, in the order in which they were read.
    pub fn received(&self) -> Vec<HttpMessage> {
        self.requests.0.lock().expect("lock").clone()
    }

    /// Waits until the received requests meet the condition, and returns them; `what` names the event in the failure message.
    pub fn wait_until(&self, what: &str, condition: impl Fn(&[HttpMessage]) -> bool) -> Vec<HttpMessage> {
        let all = self.requests.0.lock().expect("lock");
        let (all, timeout) =
            self.requests.1.wait_timeout_while(all, EVENT_TIMEOUT, |all| !condition(all)).expect("lock");
        let (received, timed_out) = (all.clone(), timeout.timed_out());
        drop(all);
        assert!(!timed_out, "timed out waiting for {what}; received {received:#?}");
        received
    }

    /// Counts the different request bodies that contain this text. A completion callback whose response is slow is sent again
    /// unchanged, which is no second completion, so equal bodies count once.
    pub fn count_distinct_bodies(&self, text: &str) -> usize {
        let bodies = self
            .received()
            .iter()
            .map(HttpMessage::text)
            .filter(|t| t.contains(text))
            .collect::<BTreeSet<_>>();
        bodies.len()
    }

    /// Waits for a request with this id.
    pub fn wait_request(&self, id: &str) -> HttpMessage {
        let all = self.wait_until(id, |all| all.iter().any(|h| h.request_id() == id));
        all.into_iter().find(|h| h.request_id() == id).expect("a received request")
    }

    /// Waits for a request whose body contains this text.
    pub fn wait_text(&self, text: &str) -> HttpMessage {
        let all = self.wait_until(text, |all| all.iter().any(|h| h.text().contains(text)));
        all.into_iter().find(|h| h.text().contains(text)).expect("a received request")
    }
}

/// Starts a discovery server that sends this endpoint list to every watch and answers completion callbacks with 204.
pub fn start_discovery(list: String) -> Server {
    Server::start(move |request, _| match request.start_line.split(' ').next() {
        Some("POST") => respond("204 No Content", "", ""),
        _ => watch_response(&list),
    })
}

/// Returns the entry of the configuration file with the address of this discovery server.
pub fn discovery_entry(discovery: &Server) -> String {
    format!("\"discovery\":\"{}\"", discovery.addr)
}

/// Returns the reply to a watch that sends this endpoint list, then nothing more, and stays open.
pub fn watch_response(list: &str) -> Reply {
    Reply::RespondAndHold(chunked_response([format!("{list}\n").as_bytes()]))
}

/// Returns the start of a chunked response: its header and these chunks, without the chunk that ends it.
pub fn chunked_response<'a>(chunks: impl IntoIterator<Item = &'a [u8]>) -> String {
    let chunk = |c: &[u8]| format!("{:x}\r\n{}\r\n", c.len(), String::from_utf8_lossy(c));
    let chunks: String = chunks.into_iter().map(chunk).collect();
    format!("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n{chunks}")
}

/// Returns a complete endpoint list with this revision. `endpoints` holds the destination and the address of each endpoint; endpoint
/// `n` gets the uid `s-n`.
pub fn endpoint_list(rev: u64, endpoints: &[(u64, SocketAddr)]) -> String {
    let target = |(i, (dest, addr)): (usize, &(u64, SocketAddr))| {
        format!(
            r#"{{"uid":"s-{i}","endpoint":"{addr}","az":"z","model":"k","pod_group":{dest},"state":"Ready","capacity_hint":50.0,"boot_ms":0}}"#
        )
    };
    let targets: Vec<String> = endpoints.iter().enumerate().map(target).collect();
    format!(r#"{{"rev":{rev},"all":true,"targets":[{}]}}"#, targets.join(","))
}

/// Settings of the test deployment. Its classes: `sync` is idempotent by key and FIFO by key, `stats` is idempotent, and `payout`
/// is attempted at most once.
const SETTINGS: &str = r#"{"classes":[
 {"aimNs":1000000000,"deadlineNs":24000000000,"effect":"by_key","fifoByKey":true,"group":"all","lateShare":0.5,"name":"sync","points":1.0,"windowNs":25000000000},
 {"aimNs":1000000000,"deadlineNs":16000000000,"effect":"repeatable","group":"all","lateShare":0.5,"name":"stats","points":2.0,"windowNs":5000000000},
 {"aimNs":1000000000,"deadlineNs":20000000000,"effect":"once","group":"all","lateShare":0.3,"name":"payout","points":5.0,"windowNs":5000000000}],
 "familyInfo":{"fades":"halves","kindApart":[false],"perCall":[1],"routeFee":[0.0],"workers":6},
 "fees":{"crossZone":0.0,"handshake":0.02},"flavors":["k"],"localities":["z"],"myZone":0,"nInstances":1,
 "limits":{"connIdleNs":15000000000,"connectTimeoutNs":1000000000,"maxRetryAfterNs":2000000000,"mayCancel":true,"mostTries":6,"openCap":OPENCAP,"retryAfter":true},
 "overShareWorth":0.2,"registryMode":"pushed","reporting":{"names":[],"source":"off"},"resolutionNs":5000000,
 "rules":{"coldFrom":0.2,"fallMultiple":2.0,"mustAskInNs":10000000000,"orderPauseNs":0,"rampTimeNs":9000000000,"tipAfterNs":1500000000},
 "tenants":[{"name":"t","quotaRps":15.0,"share":1.0}],"weightKind":"nominal"}"#;

/// Seed of the random numbers of a daemon whose test sets none.
const FIRST_SEED: u64 = 0x8c1f_30d2_7a5b_e964;

/// A running daemon process, its configuration and its state folder.
pub struct Daemon {
    pub addr: SocketAddr,
    pub folder: PathBuf,
    discovery: SocketAddr,
    child: Child,
    log: Arc<(Mutex<String>, Condvar)>,
    env: Vec<(String, String)>,
    flags: Vec<String>,
}

/// What a test may set before it starts a daemon.
pub struct Setup<'a> {
    pub discovery: &'a Server,
    /// The endpoint list in the configuration, used until discovery sends one.
    pub known: String,
    pub max_pending: u32,
    pub disk_mb: f64,
    pub memory_mb: u32,
    pub sockets: u32,
    /// The deployment settings; `None` uses those of this module.
    pub settings: Option<String>,
    /// Texts of the settings and their replacements.
    pub settings_replacements: Vec<(&'static str, &'static str)>,
    pub env: Vec<(String, String)>,
    /// Command-line arguments.
    pub flags: Vec<String>,
    /// The client listener's address; `None` uses a new unique address.
    pub listen: Option<SocketAddr>,
    /// Number that is added to the seed of the daemon's random numbers, so that several daemons differ.
    pub seed: u64,
}

/// Returns the default setup with this discovery server and endpoint list.
pub fn setup(discovery: &Server, known: String) -> Setup<'_> {
    let (settings_replacements, env, flags, listen) = (Vec::new(), Vec::new(), Vec::new(), None);
    let settings = None;
    Setup {
        discovery,
        known,
        max_pending: 100,
        disk_mb: 3.0,
        memory_mb: 192,
        sockets: 1024,
        settings,
        settings_replacements,
        env,
        flags,
        listen,
        seed: 0,
    }
}

/// Returns the settings of the test deployment with this maximum number of pending messages.
pub fn test_settings(max_pending: u32) -> String {
    SETTINGS.replace("OPENCAP", &max_pending.to_string())
}

impl Setup<'_> {
    /// Starts the daemon and waits until it logs that it is ready.
    pub fn start(self) -> Daemon {
        let daemon = self.start_without_waiting();
        daemon.wait_log("ready:");
        daemon
    }

    /// Starts the daemon and waits until it accepts connections, for log settings that suppress the ready line.
    pub fn start_without_ready_log(self) -> Daemon {
        let daemon = self.start_without_waiting();
        let until = Instant::now() + EVENT_TIMEOUT;
        while TcpStream::connect(daemon.addr).is_err() {
            assert!(Instant::now() < until, "the daemon does not listen");
            thread::yield_now();
        }
        daemon
    }

    /// Writes the configuration and starts the process.
    pub fn start_without_waiting(self) -> Daemon {
        let name = format!("micaladder-{}-{}", std::process::id(), unique_number());
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(folder.join("state")).expect("a folder");
        let addr = self.listen.unwrap_or_else(free_address);
        let mut settings = self.settings.clone().unwrap_or_else(|| test_settings(self.max_pending));
        for (from, to) in &self.settings_replacements {
            assert!(settings.contains(from), "the settings do not contain {from}");
            settings = settings.replace(from, to);
        }
        let config = format!(
            r#"{{"name":"n0","listen":"{addr}","discovery":"{}","seed":"{:x}","limits":{{"cores":1.0,"memory_mb":{},"sockets":{},"disk_mb":{}}},"known":{},"settings":{}}}"#,
            self.discovery.addr,
            FIRST_SEED + self.seed,
            self.memory_mb,
            self.sockets,
            self.disk_mb,
            self.known,
            settings
        );
        std::fs::write(folder.join("config.json"), config).expect("the configuration file");
        let (child, log) = spawn_process(&folder, &self.env, &self.flags);
        let (discovery, env, flags) = (self.discovery.addr, self.env, self.flags);
        Daemon { addr, folder, discovery, child, log, env, flags }
    }
}

/// Returns a number that is unique in this test process.
pub fn unique_number() -> u32 {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    NEXT.fetch_add(1, Ordering::Relaxed)
}

/// Returns a loopback address that no other test uses, in this test process or another. All ports of the address stay free until
/// the daemon binds them; a port found free on a shared address could be bound by another test first.
pub fn unique_address() -> IpAddr {
    // The addresses come from 127.64.0.0/10, which neither the benchmarks nor the system use. Each process id gets a block.
    const ADDRESSES_PER_PROCESS: u32 = 1024;
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let n = NEXT.fetch_add(1, Ordering::Relaxed);
    assert!(n < ADDRESSES_PER_PROCESS, "more than {ADDRESSES_PER_PROCESS} addresses in one test process");
    let offset = (std::process::id() % (0x40_0000 / ADDRESSES_PER_PROCESS)) * ADDRESSES_PER_PROCESS + n;
    IpAddr::from((0x7f40_0000 + offset).to_be_bytes())
}

/// Returns a socket address to listen at, on a new unique loopback address.
pub fn free_address() -> SocketAddr {
    (unique_address(), 7002).into()
}

type Log = Arc<(Mutex<String>, Condvar)>;

fn spawn_process(folder: &std::path::Path, env: &[(String, String)], flags: &[String]) -> (Child, Log) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_micaladder"))
        .env("RELAY_CONFIG", folder.join("config.json"))
        .env("RELAY_STATE", folder.join("state"))
        .env("MICALADDER_LOG", "debug")
        .env("MICALADDER_LOG_BURST", "0")
        .args(flags)
        .envs(env.iter().map(|(k, v)| (k, v)))
        .stderr(Stdio::piped())
        .spawn()
        .expect("the program starts");
    let log: Log = Default::default();
    let (writer, lines) = (log.clone(), BufReader::new(child.stderr.take().expect("piped")));
    thread::spawn(move || {
        for line in lines.lines().map_while(Result::ok) {
            writer.0.lock().expect("lock").push_str(&(line + "\n"));
            writer.1.notify_all();
        }
    });
    (child, log)
}

impl Daemon {
    /// Waits for a text in the log, and returns the whole log.
    pub fn wait_log(&self, text: &str) -> String {
        self.wait_log_from(0, text)
    }

    /// Waits for a text in the log after this byte offset, and returns the whole log.
    pub fn wait_log_from(&self, offset: usize, text: &str) -> String {
        let missing = |l: &mut String| !l.get(offset..).is_some_and(|l| l.contains(text));
        let log = self.log.0.lock().expect("lock");
        let (log, timeout) = self.log.1.wait_timeout_while(log, EVENT_TIMEOUT, missing).expect("lock");
        let (current, timed_out) = (log.clone(), timeout.timed_out());
        drop(log);
        assert!(!timed_out, "timed out waiting for {text:?} in the log:\n{current}");
        current
    }

    pub fn log(&self) -> String {
        self.log.0.lock().expect("lock").clone()
    }

    /// Sends SIGKILL and waits for the process to end.
    pub fn kill(&mut self) {
        self.child.kill().expect("a running process");
        self.child.wait().expect("an ended process");
    }

    /// Returns whether the process still runs, so that a test notices a crash.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Starts the process again on the same configuration and state folder, and waits until it logs that it is ready.
    pub fn restart(&mut self) {
        self.restart_without_waiting();
        self.wait_log("ready:");
    }

    /// Starts the process again without waiting until it is ready.
    pub fn restart_without_waiting(&mut self) {
        (self.child, self.log) = spawn_process(&self.folder, &self.env, &self.flags);
    }

    /// Starts a second process while this one runs, with the same configuration, state folder and client address, and with one
    /// more environment variable.
    pub fn start_second_process(&self, name: &str, value: &str) -> Daemon {
        let mut env: Vec<_> = self.env.iter().filter(|(k, _)| k != name).cloned().collect();
        env.push((name.to_string(), value.to_string()));
        let (child, log) = spawn_process(&self.folder, &env, &self.flags);
        let (addr, folder, discovery) = (self.addr, self.folder.clone(), self.discovery);
        Daemon { addr, folder, discovery, child, log, env, flags: self.flags.clone() }
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Replaces a text in the configuration file and sends SIGHUP.
    pub fn reload(&self, from: &str, to: &str) {
        let path = self.folder.join("config.json");
        let text = std::fs::read_to_string(&path).expect("the configuration file");
        assert!(text.contains(from), "{from} is not in {text}");
        std::fs::write(&path, text.replace(from, to)).expect("written");
        self.signal("-HUP");
    }

    /// Returns the process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal, given as an option of `kill` such as `-TERM`.
    pub fn signal(&self, option: &str) {
        self.run_on_process("kill", &[option]);
    }

    /// Counts the open file descriptors of the process.
    pub fn open_descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).expect("a running process").count()
    }

    /// Returns the targets of the file descriptors of the process, sorted.
    pub fn descriptors(&self) -> Vec<String> {
        let all = std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).expect("a running process");
        let mut all: Vec<String> = all
            .filter_map(|entry| std::fs::read_link(entry.ok()?.path()).ok())
            .map(|target| target.display().to_string())
            .collect();
        all.sort();
        all
    }

    /// Counts the connections at the client address that the process holds: established ones and those closed only by the client.
    pub fn client_connections(&self) -> usize {
        // ESTABLISHED and CLOSE_WAIT, as /proc/net/tcp writes them.
        const STATES: [&str; 2] = ["01", "08"];
        let IpAddr::V4(ip) = self.addr.ip() else { panic!("the test addresses are IPv4") };
        let local = format!("{:08X}:{:04X}", u32::from_le_bytes(ip.octets()), self.addr.port());
        let descriptors = self.descriptors();
        let sockets = std::fs::read_to_string("/proc/net/tcp").expect("the sockets");
        let fields = sockets.lines().map(|line| line.split_whitespace().collect::<Vec<_>>());
        fields
            .filter(|fields| fields.get(1) == Some(&local.as_str()) && STATES.contains(&fields[3]))
            .filter(|fields| descriptors.contains(&format!("socket:[{}]", fields[9])))
            .count()
    }

    /// Returns the resident anonymous memory of the process in bytes, without program text and mapped files.
    pub fn anonymous_memory(&self) -> usize {
        self.memory("RssAnon:")
    }

    /// Returns the most resident memory that the process has had, in bytes, with program text and mapped files.
    pub fn peak_memory(&self) -> usize {
        self.memory("VmHWM:")
    }

    /// Returns a value of the status file of the process, in bytes.
    fn memory(&self, name: &str) -> usize {
        let status =
            std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).expect("a running process");
        let line = status.lines().find_map(|l| l.strip_prefix(name)).expect("the line of the value");
        line.trim().trim_end_matches(" kB").parse::<usize>().expect("a number") * 1024
    }

    /// Sets the soft limit of file descriptors of the process.
    pub fn limit_descriptors(&self, soft_limit: u32) {
        self.run_on_process("prlimit", &[&format!("--nofile={soft_limit}:1024"), "--pid"]);
    }

    /// Runs a program with these arguments and the process id as the last one.
    fn run_on_process(&self, program: &str, args: &[&str]) {
        let pid = self.child.id().to_string();
        assert!(Command::new(program).args(args).arg(&pid).status().expect(program).success());
    }

    /// Waits until the process ends, and returns its exit status.
    pub fn wait_exit(&mut self, within: Duration) -> std::process::ExitStatus {
        let until = Instant::now() + within;
        loop {
            match self.child.try_wait().expect("the process state") {
                Some(status) => return status,
                None => assert!(Instant::now() < until, "the process has not ended within {within:?}"),
            }
            thread::yield_now();
        }
    }

    /// Opens a client connection.
    pub fn connect(&self) -> TcpStream {
        connect(self.addr)
    }

    /// Sends this request on a new connection and reads the response.
    pub fn send_request(&self, request: &[u8]) -> Option<HttpMessage> {
        send_request(self.addr, request)
    }

    /// Submits a message for destination 7 and returns the status of the response, or 0 where none came.
    pub fn submit(&self, class: &str, id: &str) -> u16 {
        self.send_request(&message_request(class, id, "20000m", "")).map_or(0, |h| h.status())
    }
}

fn connect(addr: SocketAddr) -> TcpStream {
    let socket = TcpStream::connect(addr).expect("a listening server");
    socket.set_read_timeout(Some(EVENT_TIMEOUT)).expect("a read timeout");
    socket
}

/// Sends this request on a new connection and reads the response. The server may answer and close before it has read the whole
/// request, so a broken or reset connection is no failure.
pub fn send_request(addr: SocketAddr, request: &[u8]) -> Option<HttpMessage> {
    let mut socket = connect(addr);
    match socket.write_all(request) {
        Err(e) if e.kind() != ErrorKind::BrokenPipe && e.kind() != ErrorKind::ConnectionReset => {
            panic!("{e}")
        }
        _ => read_http(&mut BufReader::new(socket)),
    }
}

/// Returns the request that submits a message for destination 7; `more_headers` holds further header lines.
pub fn message_request(class: &str, id: &str, deadline: &str, more_headers: &str) -> Vec<u8> {
    let body = format!("body of {id}");
    format!(
        "POST /{class} HTTP/1.1\r\nHost: service.internal\r\nX-Request-Id: {id}\r\nX-Class: {class}\r\nX-Tenant: t\r\n\
         X-Deadline: {deadline}\r\nIdempotency-Key: key-{id}\r\nX-Envelope: dest=7\r\n{more_headers}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        if thread::panicking() {
            eprintln!("log of the daemon with discovery at {}:\n{}", self.discovery, self.log());
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Replaces the connect timeout by one that is longer than the retransmission of the first SYN, which takes a second.
pub const LONG_CONNECT_TIMEOUT: (&str, &str) =
    (r#""connectTimeoutNs":1000000000"#, r#""connectTimeoutNs":9000000000"#);

/// An endpoint that accepts connections only when the test says so. While its accept backlog is full, the kernel drops the SYN of
/// a connect, and the client's kernel sends it again a second later: the connect hangs, and succeeds once the backlog has room.
pub struct FullBacklogEndpoint {
    pub addr: SocketAddr,
    listener: TcpListener,
    fillers: Vec<TcpStream>,
}

impl FullBacklogEndpoint {
    pub fn start() -> FullBacklogEndpoint {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        let listener = runtime.block_on(async {
            let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
            socket.bind(([127, 0, 0, 1], 0).into()).expect("a port");
            socket.listen(0).and_then(|l| l.into_std()).expect("a backlog of one")
        });
        let addr = listener.local_addr().expect("a local address");
        FullBacklogEndpoint { addr, listener, fillers: Vec::new() }
    }

    /// Fills the backlog until a connect hangs.
    pub fn fill_backlog(&mut self) {
        while let Ok(filler) = TcpStream::connect_timeout(&self.addr, Duration::from_millis(100)) {
            assert!(self.fillers.len() < 16, "the backlog never fills");
            self.fillers.push(filler);
        }
    }

    /// Accepts the connections that fill the backlog, so that hanging connects succeed.
    pub fn drain_backlog(&mut self) {
        for filler in std::mem::take(&mut self.fillers) {
            let (_, from) = self.accept_with_address();
            assert_eq!(
                Some(from),
                filler.local_addr().ok(),
                "no other connect succeeded while the backlog was full"
            );
        }
    }

    /// Waits for the next connection.
    pub fn accept(&self) -> TcpStream {
        self.accept_with_address().0
    }

    fn accept_with_address(&self) -> (TcpStream, SocketAddr) {
        let until = Instant::now() + EVENT_TIMEOUT;
        loop {
            if let Some(accepted) = self.try_accept() {
                return accepted;
            }
            assert!(Instant::now() < until, "timed out waiting for a connection");
            thread::yield_now();
        }
    }

    /// Accepts a connection from the backlog, if there is one.
    pub fn try_accept(&self) -> Option<(TcpStream, SocketAddr)> {
        let accepted = self.listener.accept().ok()?;
        accepted.0.set_nonblocking(false).expect("a socket");
        accepted.0.set_read_timeout(Some(EVENT_TIMEOUT)).expect("a read timeout");
        Some(accepted)
    }
}

/// Reads one call from this connection.
pub fn read_call(socket: &TcpStream) -> HttpMessage {
    read_http(&mut BufReader::new(socket.try_clone().expect("a handle"))).expect("a call")
}

/// Writes a response without a body to this connection.
pub fn write_response(mut socket: &TcpStream, status: &str, headers: &str) {
    let text = format!("HTTP/1.1 {status}\r\n{headers}content-length: 0\r\n\r\n");
    socket.write_all(text.as_bytes()).expect("an open connection");
}

/// Returns whether this connection is open and holds no unread bytes.
pub fn is_idle(mut socket: &TcpStream) -> bool {
    socket.set_nonblocking(true).expect("a socket");
    let read = socket.read(&mut [0]);
    socket.set_nonblocking(false).expect("a socket");
    read.is_err_and(|e| e.kind() == ErrorKind::WouldBlock)
}

/// Submits two messages that may run at most once: `a` is in flight on the only open connection, and the connect for `b` hangs.
/// Returns the connection of `a`.
pub fn start_hanging_connect(daemon: &Daemon, endpoint: &mut FullBacklogEndpoint) -> TcpStream {
    assert_eq!(daemon.submit("payout", "a"), 202);
    let first = endpoint.accept();
    read_call(&first);
    endpoint.fill_backlog();
    assert_eq!(daemon.submit("payout", "b"), 202);
    daemon.wait_log("attempt starts message=b");
    first
}

/// The Retry-After that `retry_after_during_connect` sends; shorter than the time after which an endpoint counts as failed.
pub const RETRY_AFTER: Duration = Duration::from_millis(2400);

/// Answers `a` with a Retry-After, then lets the connect for `b` succeed. Returns the new connection, which stays unused.
pub fn retry_after_during_connect(
    daemon: &Daemon, first: TcpStream, endpoint: &mut FullBacklogEndpoint,
) -> TcpStream {
    let retry_after = RETRY_AFTER.as_secs_f64();
    write_response(&first, "429 Later", &format!("Retry-After: {retry_after}\r\nConnection: close\r\n"));
    daemon.wait_log("attempt ended message=a outcome=Rejected(Some");
    endpoint.drain_backlog();
    let second = endpoint.accept();
    daemon.wait_log("the decision no longer holds message=b");
    assert!(is_idle(&second), "the new connection is open and unused");
    second
}
