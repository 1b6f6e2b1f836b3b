//! The one helper of the tests that start the real program: its stand-in servers, its client, its process.
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

/// How long any awaited event may take before the test fails.
pub const EVENT_TIMEOUT: Duration = Duration::from_secs(15);

/// One HTTP request or answer, as read from a socket.
#[derive(Clone, Debug, Default)]
pub struct HttpMessage {
    pub first: String,
    pub head: String,
    pub body: Vec<u8>,
    /// The connection on which a stand-in server heard it.
    pub from: Option<SocketAddr>,
}

impl HttpMessage {
    pub fn header(&self, name: &str) -> Option<&str> {
        let lines = self.head.lines().filter_map(|l| l.split_once(':'));
        lines.filter(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.trim()).next()
    }
    pub fn id(&self) -> &str {
        self.header("x-request-id").unwrap_or_default()
    }
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads one message; none if the connection ended before it.
pub fn read_http(reader: &mut impl BufRead) -> Option<HttpMessage> {
    let mut heard = HttpMessage::default();
    reader.read_line(&mut heard.first).ok().filter(|n| *n > 0)?;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|n| *n > 0)?;
        if line.trim().is_empty() {
            break;
        }
        heard.head.push_str(&line);
    }
    let size = heard.header("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
    heard.body.resize(size, 0);
    reader.read_exact(&mut heard.body).ok()?;
    Some(heard)
}

/// What a stand-in server does with a request.
pub enum Reply {
    /// Writes this and keeps the connection.
    Respond(String),
    /// Writes this and holds the connection open.
    RespondAndHold(String),
    /// Closes the connection without a word.
    Close,
}

pub fn say(status: &str, headers: &str, body: &str) -> Reply {
    Reply::Respond(format!("HTTP/1.1 {status}\r\n{headers}content-length: {}\r\n\r\n{body}", body.len()))
}

/// A stand-in server: answers as it is told, and remembers what it heard.
#[derive(Clone)]
pub struct Server {
    pub addr: SocketAddr,
    heard: Arc<(Mutex<Vec<HttpMessage>>, Condvar)>,
}

impl Server {
    /// `reply` gets each request and its number, from 0.
    pub fn start(reply: impl Fn(&HttpMessage, usize) -> Reply + Send + Sync + 'static) -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let addr = listener.local_addr().expect("its address");
        let server = Server { addr, heard: Default::default() };
        let (mine, reply) = (server.clone(), Arc::new(reply));
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let (server, reply) = (mine.clone(), reply.clone());
                thread::spawn(move || server.converse(socket, &*reply));
            }
        });
        server
    }

    /// An endpoint that gives every call this answer.
    pub fn always(status: &'static str) -> Server {
        Server::start(move |_, _| say(status, "", ""))
    }

    fn converse(&self, mut socket: TcpStream, reply: &dyn Fn(&HttpMessage, usize) -> Reply) {
        let mut reader = BufReader::new(socket.try_clone().expect("a handle"));
        let from = socket.peer_addr().ok();
        while let Some(heard) = read_http(&mut reader) {
            let heard = HttpMessage { from, ..heard };
            let number = {
                let mut all = self.heard.0.lock().expect("lock");
                all.push(heard.clone());
                all.len() - 1
            };
            self.heard.1.notify_all();
            match reply(&heard, number) {
                Reply::Respond(text) => drop(socket.write_all(text.as_bytes())),
                Reply::RespondAndHold(text) => {
                    let _ = socket.write_all(text.as_bytes());
                    let _ = reader.read_to_end(&mut Vec::new());
                }
                Reply::Close => {
                    let _ = socket.shutdown(Shutdown::Both);
                    break;
                }
            }
        }
    }

    pub fn received(&self) -> Vec<HttpMessage> {
        self.heard.0.lock().expect("lock").clone()
    }

    /// Waits until what was heard fits.
    pub fn wait(&self, what: &str, fits: impl Fn(&[HttpMessage]) -> bool) -> Vec<HttpMessage> {
        let all = self.heard.0.lock().expect("lock");
        let (all, late) =
            self.heard.1.wait_timeout_while(all, EVENT_TIMEOUT, |all| !fits(all)).expect("lock");
        let (now, late) = (all.clone(), late.timed_out());
        drop(all);
        let all = now;
        assert!(!late, "waited in vain for {what}; heard {all:#?}");
        all
    }

    /// How many different texts with this in them came. A notice whose answer is slow goes out once more as it was: that
    /// is no second end.
    pub fn count_distinct(&self, text: &str) -> usize {
        let texts = self
            .received()
            .iter()
            .map(HttpMessage::text)
            .filter(|t| t.contains(text))
            .collect::<BTreeSet<_>>();
        texts.len()
    }

    pub fn wait_request(&self, id: &str) -> HttpMessage {
        let all = self.wait(id, |all| all.iter().any(|h| h.id() == id));
        all.into_iter().find(|h| h.id() == id).expect("it was heard")
    }

    /// Waits for a notice or answer that carries this text.
    pub fn wait_text(&self, text: &str) -> HttpMessage {
        let all = self.wait(text, |all| all.iter().any(|h| h.text().contains(text)));
        all.into_iter().find(|h| h.text().contains(text)).expect("it was heard")
    }
}

/// Discovery with this list, which answers notices with 204.
pub fn discovery(list: String) -> Server {
    Server::start(move |heard, _| match heard.first.split(' ').next() {
        Some("POST") => say("204 No Content", "", ""),
        _ => watch(&list),
    })
}

/// The answer to a watch: this list, and then nothing more.
pub fn watch(list: &str) -> Reply {
    Reply::RespondAndHold(chunked([format!("{list}\n").as_bytes()]))
}

/// The head of an answer in chunks that goes on, and these chunks.
pub fn chunked<'a>(chunks: impl IntoIterator<Item = &'a [u8]>) -> String {
    let chunk = |c: &[u8]| format!("{:x}\r\n{}\r\n", c.len(), String::from_utf8_lossy(c));
    let chunks: String = chunks.into_iter().map(chunk).collect();
    format!("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n{chunks}")
}

pub fn list(rev: u64, endpoints: &[(u64, SocketAddr)]) -> String {
    let target = |(i, (dest, addr)): (usize, &(u64, SocketAddr))| {
        format!(
            r#"{{"uid":"s-{i}","endpoint":"{addr}","az":"z","model":"k","pod_group":{dest},"state":"Ready","capacity_hint":50.0,"boot_ms":0}}"#
        )
    };
    let targets: Vec<String> = endpoints.iter().enumerate().map(target).collect();
    format!(r#"{{"rev":{rev},"all":true,"targets":[{}]}}"#, targets.join(","))
}

/// Classes of the test site: `sync` is keyed and in order, `stats` repeatable, `payout` once.
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

/// The real program, its configuration and its lasting folder.
pub struct Daemon {
    pub addr: SocketAddr,
    pub folder: PathBuf,
    discovery: SocketAddr,
    child: Child,
    log: Arc<(Mutex<String>, Condvar)>,
    extra: Vec<(String, String)>,
    flags: Vec<String>,
}

pub struct Setup<'a> {
    pub discovery: &'a Server,
    pub known: String,
    pub max_pending: u32,
    pub disk_mb: f64,
    pub sockets: u32,
    /// The settings in place of the stand's own.
    pub settings: Option<String>,
    /// Texts of the settings, and what stands in their place.
    pub swaps: Vec<(&'static str, &'static str)>,
    pub env: Vec<(String, String)>,
    /// Words of the command line.
    pub flags: Vec<String>,
    /// Where it listens; else at an address of its own.
    pub listen: Option<SocketAddr>,
}

pub fn setup(discovery: &Server, known: String) -> Setup<'_> {
    let (swaps, env, flags, listen) = (Vec::new(), Vec::new(), Vec::new(), None);
    let settings = None;
    Setup {
        discovery,
        known,
        max_pending: 100,
        disk_mb: 3.0,
        sockets: 1024,
        settings,
        swaps,
        env,
        flags,
        listen,
    }
}

impl Setup<'_> {
    pub fn start(self) -> Daemon {
        let daemon = self.launch();
        daemon.wait_log("ready:");
        daemon
    }

    /// Without the word that it is ready, for a log that does not hold it: waits until a client is served.
    pub fn start_without_ready_log(self) -> Daemon {
        let daemon = self.launch();
        let until = Instant::now() + EVENT_TIMEOUT;
        while TcpStream::connect(daemon.addr).is_err() {
            assert!(Instant::now() < until, "it does not listen");
            thread::yield_now();
        }
        daemon
    }

    pub fn launch(self) -> Daemon {
        let name = format!("micaladder-{}-{}", std::process::id(), unique());
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(folder.join("state")).expect("a folder");
        let addr = self.listen.unwrap_or_else(free_address);
        let own = || SETTINGS.replace("OPENCAP", &self.max_pending.to_string());
        let mut settings = self.settings.clone().unwrap_or_else(own);
        for (from, to) in &self.swaps {
            assert!(settings.contains(from), "the settings say {from}");
            settings = settings.replace(from, to);
        }
        let config = format!(
            r#"{{"name":"n0","listen":"{addr}","discovery":"{}","seed":"8c1f30d27a5be964","limits":{{"cores":1.0,"memory_mb":192,"sockets":{},"disk_mb":{}}},"known":{},"settings":{}}}"#,
            self.discovery.addr, self.sockets, self.disk_mb, self.known, settings
        );
        std::fs::write(folder.join("config.json"), config).expect("its configuration");
        let (child, log) = spawn_process(&folder, &self.env, &self.flags);
        let (discovery, extra, flags) = (self.discovery.addr, self.env, self.flags);
        Daemon { addr, folder, discovery, child, log, extra, flags }
    }
}

/// A number that nobody else has in this process of tests.
pub fn unique() -> u32 {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    NEXT.fetch_add(1, Ordering::Relaxed)
}

/// A loopback address that nobody else has, in this process of tests or in another. Ports there are free until the
/// program takes them: one that was found free on a shared address could be taken by another test before that.
pub fn unique_address() -> IpAddr {
    // 127.64.0.0/10, far from where benches and the system are; so many for each process number.
    const EACH: u32 = 1024;
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let n = NEXT.fetch_add(1, Ordering::Relaxed);
    assert!(n < EACH, "so many addresses in one process of tests");
    let place = (std::process::id() % (0x40_0000 / EACH)) * EACH + n;
    IpAddr::from((0x7f40_0000 + place).to_be_bytes())
}

/// A place to listen at, on an address of its own.
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
    let (mine, lines) = (log.clone(), BufReader::new(child.stderr.take().expect("piped")));
    thread::spawn(move || {
        for line in lines.lines().map_while(Result::ok) {
            mine.0.lock().expect("lock").push_str(&(line + "\n"));
            mine.1.notify_all();
        }
    });
    (child, log)
}

impl Daemon {
    pub fn wait_log(&self, text: &str) -> String {
        self.wait_log_from(0, text)
    }

    /// Waits for a text behind this place of the log.
    pub fn wait_log_from(&self, at: usize, text: &str) -> String {
        let missing = |l: &mut String| !l.get(at..).is_some_and(|l| l.contains(text));
        let log = self.log.0.lock().expect("lock");
        let (log, late) = self.log.1.wait_timeout_while(log, EVENT_TIMEOUT, missing).expect("lock");
        let (text_now, late) = (log.clone(), late.timed_out());
        drop(log);
        let log = text_now;
        assert!(!late, "waited in vain for {text:?} in the log:\n{log}");
        log
    }

    pub fn log(&self) -> String {
        self.log.0.lock().expect("lock").clone()
    }

    /// SIGKILL, with nothing said before.
    pub fn kill(&mut self) {
        self.child.kill().expect("it ran");
        self.child.wait().expect("it ended");
    }

    /// Whether the process still runs: a crash is none that a test may pass over.
    pub fn runs(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    pub fn start_again(&mut self) {
        self.launch_again();
        self.wait_log("ready:");
    }

    /// The same without waiting for it.
    pub fn launch_again(&mut self) {
        (self.child, self.log) = spawn_process(&self.folder, &self.extra, &self.flags);
    }

    /// A second process beside this one: the same configuration, folder and clients' address, and a variable more.
    pub fn start_beside(&self, name: &str, value: &str) -> Daemon {
        let mut extra: Vec<_> = self.extra.iter().filter(|(k, _)| k != name).cloned().collect();
        extra.push((name.to_string(), value.to_string()));
        let (child, log) = spawn_process(&self.folder, &extra, &self.flags);
        let (addr, folder, discovery) = (self.addr, self.folder.clone(), self.discovery);
        Daemon { addr, folder, discovery, child, log, extra, flags: self.flags.clone() }
    }

    /// SIGTERM.
    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Replaces a text in the configuration, and sends SIGHUP.
    pub fn reload(&self, from: &str, to: &str) {
        let path = self.folder.join("config.json");
        let text = std::fs::read_to_string(&path).expect("its configuration");
        assert!(text.contains(from), "{from} is not in {text}");
        std::fs::write(&path, text.replace(from, to)).expect("written");
        self.signal("-HUP");
    }

    /// Its process, for what the operating system tells of it.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    pub fn signal(&self, which: &str) {
        self.order("kill", &[which]);
    }

    /// How many descriptors the process holds.
    pub fn open_descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).expect("it runs").count()
    }

    /// What the descriptors of the process are.
    pub fn descriptors(&self) -> Vec<String> {
        let all = std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).expect("it runs");
        let mut all: Vec<String> = all
            .filter_map(|entry| std::fs::read_link(entry.ok()?.path()).ok())
            .map(|target| target.display().to_string())
            .collect();
        all.sort();
        all
    }

    /// Connections at its clients' address that the process holds: established, or closed by the client alone.
    pub fn client_connections(&self) -> usize {
        const STATES: [&str; 2] = ["01", "08"];
        let IpAddr::V4(ip) = self.addr.ip() else { panic!("the stand's addresses are IPv4") };
        let local = format!("{:08X}:{:04X}", u32::from_le_bytes(ip.octets()), self.addr.port());
        let own = self.descriptors();
        let sockets = std::fs::read_to_string("/proc/net/tcp").expect("the sockets");
        let fields = sockets.lines().map(|line| line.split_whitespace().collect::<Vec<_>>());
        fields
            .filter(|fields| fields.get(1) == Some(&local.as_str()) && STATES.contains(&fields[3]))
            .filter(|fields| own.contains(&format!("socket:[{}]", fields[9])))
            .count()
    }

    /// Bytes of memory that the process holds itself: not its program text, nor files.
    pub fn memory(&self) -> usize {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).expect("it runs");
        let line = status.lines().find_map(|l| l.strip_prefix("RssAnon:")).expect("a line on its memory");
        line.trim().trim_end_matches(" kB").parse::<usize>().expect("a number") * 1024
    }

    /// Lets the process have so many descriptors from now on.
    pub fn limit_descriptors(&self, most: u32) {
        self.order("prlimit", &[&format!("--nofile={most}:1024"), "--pid"]);
    }

    fn order(&self, program: &str, args: &[&str]) {
        let pid = self.child.id().to_string();
        assert!(Command::new(program).args(args).arg(&pid).status().expect(program).success());
    }

    pub fn wait_exit(&mut self, within: Duration) -> std::process::ExitStatus {
        let until = Instant::now() + within;
        loop {
            match self.child.try_wait().expect("its state") {
                Some(status) => return status,
                None => assert!(Instant::now() < until, "it has not ended in {within:?}"),
            }
            thread::yield_now();
        }
    }

    pub fn connect(&self) -> TcpStream {
        connect(self.addr)
    }

    pub fn ask(&self, text: &[u8]) -> Option<HttpMessage> {
        ask(self.addr, text)
    }

    /// Hands in a message for dest 7 and gives the status of the answer.
    pub fn submit(&self, class: &str, id: &str) -> u16 {
        self.ask(&message(class, id, "20000m", "")).map_or(0, |h| h.status())
    }
}

fn connect(addr: SocketAddr) -> TcpStream {
    let socket = TcpStream::connect(addr).expect("it listens");
    socket.set_read_timeout(Some(EVENT_TIMEOUT)).expect("a time-out");
    socket
}

/// Sends this text on a connection of its own and reads the answer.
pub fn ask(addr: SocketAddr, text: &[u8]) -> Option<HttpMessage> {
    let mut socket = connect(addr);
    match socket.write_all(text) {
        Err(e) if e.kind() != ErrorKind::BrokenPipe && e.kind() != ErrorKind::ConnectionReset => {
            panic!("{e}")
        }
        _ => read_http(&mut BufReader::new(socket)),
    }
}

/// A message for dest 7; `more` holds further header lines.
pub fn message(class: &str, id: &str, deadline: &str, more: &str) -> Vec<u8> {
    let body = format!("body of {id}");
    format!(
        "POST /{class} HTTP/1.1\r\nHost: service.internal\r\nX-Request-Id: {id}\r\nX-Class: {class}\r\nX-Tenant: t\r\n\
         X-Deadline: {deadline}\r\nIdempotency-Key: key-{id}\r\nX-Envelope: dest=7\r\n{more}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        if thread::panicking() {
            eprintln!("log of the program, discovery at {}:\n{}", self.discovery, self.log());
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// A connect may hang for longer than its first packet needs to go out again.
pub const LONG_CONNECT_TIMEOUT: (&str, &str) =
    (r#""connectTimeoutNs":1000000000"#, r#""connectTimeoutNs":9000000000"#);

/// An endpoint that takes connections only when it is told to. While its queue is full, the first packet of a connect is
/// dropped and goes out again a second later: the connect hangs, and stands once there is room.
pub struct FullBacklogEndpoint {
    pub addr: SocketAddr,
    listener: TcpListener,
    plugs: Vec<TcpStream>,
}

impl FullBacklogEndpoint {
    pub fn start() -> FullBacklogEndpoint {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        let listener = runtime.block_on(async {
            let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
            socket.bind(([127, 0, 0, 1], 0).into()).expect("a port");
            socket.listen(0).and_then(|l| l.into_std()).expect("a queue of one")
        });
        let addr = listener.local_addr().expect("its address");
        FullBacklogEndpoint { addr, listener, plugs: Vec::new() }
    }

    /// Fills the queue, until a connect is seen to hang.
    pub fn shut(&mut self) {
        while let Ok(plug) = TcpStream::connect_timeout(&self.addr, Duration::from_millis(100)) {
            assert!(self.plugs.len() < 16, "its queue never fills");
            self.plugs.push(plug);
        }
    }

    /// Empties it: what hangs comes through.
    pub fn open(&mut self) {
        for plug in std::mem::take(&mut self.plugs) {
            let (_, from) = self.take();
            assert_eq!(Some(from), plug.local_addr().ok(), "nobody came through while it was shut");
        }
    }

    /// The next connection.
    pub fn accept(&self) -> TcpStream {
        self.take().0
    }

    fn take(&self) -> (TcpStream, SocketAddr) {
        let until = Instant::now() + EVENT_TIMEOUT;
        loop {
            if let Some(come) = self.waiting() {
                return come;
            }
            assert!(Instant::now() < until, "waited in vain for a connection");
            thread::yield_now();
        }
    }

    /// One that stands in the queue, if any does.
    pub fn waiting(&self) -> Option<(TcpStream, SocketAddr)> {
        let come = self.listener.accept().ok()?;
        come.0.set_nonblocking(false).expect("a socket");
        come.0.set_read_timeout(Some(EVENT_TIMEOUT)).expect("a time-out");
        Some(come)
    }
}

/// Reads one call from this connection.
pub fn call(socket: &TcpStream) -> HttpMessage {
    read_http(&mut BufReader::new(socket.try_clone().expect("a handle"))).expect("a call")
}

pub fn answer(mut socket: &TcpStream, status: &str, head: &str) {
    let text = format!("HTTP/1.1 {status}\r\n{head}content-length: 0\r\n\r\n");
    socket.write_all(text.as_bytes()).expect("it listens");
}

/// Whether nothing has come on this connection, and it stands.
pub fn is_idle(mut socket: &TcpStream) -> bool {
    socket.set_nonblocking(true).expect("a socket");
    let came = socket.read(&mut [0]);
    socket.set_nonblocking(false).expect("a socket");
    came.is_err_and(|e| e.kind() == ErrorKind::WouldBlock)
}

/// Two payouts: `a` is out on the one connection that stands, and `b` hangs in its connect.
pub fn start_hanging_connect(daemon: &Daemon, endpoint: &mut FullBacklogEndpoint) -> TcpStream {
    assert_eq!(daemon.submit("payout", "a"), 202);
    let first = endpoint.accept();
    call(&first);
    endpoint.shut();
    assert_eq!(daemon.submit("payout", "b"), 202);
    daemon.wait_log("attempt starts message=b");
    first
}

/// The wait that `retry_after_during_connect` tells; shorter than what counts as an outage.
pub const WAIT: Duration = Duration::from_millis(2400);

/// `a` is told to wait, and only then the connect of `b` comes through: its connection, on which nothing was written.
pub fn retry_after_during_connect(
    daemon: &Daemon, first: TcpStream, endpoint: &mut FullBacklogEndpoint,
) -> TcpStream {
    let wait = WAIT.as_secs_f64();
    answer(&first, "429 Later", &format!("Retry-After: {wait}\r\nConnection: close\r\n"));
    daemon.wait_log("attempt ended message=a outcome=Rejected(Some");
    endpoint.open();
    let second = endpoint.accept();
    daemon.wait_log("the decision no longer holds message=b");
    assert!(is_idle(&second), "kept, and not written to");
    second
}
