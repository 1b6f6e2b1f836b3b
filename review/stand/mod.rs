//! Stand-ins for the cases of the review: the platform's discovery agent, endpoints, clients and the forwarder's processes.
//! They use the standard library only, loopback addresses and the real clock.
#![allow(dead_code)]
use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// How long a client waits for the answer to a request, as the protocol page says.
pub const CLIENT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time between two empty lines on a watch, as the protocol page says.
const EMPTY_LINE_INTERVAL: Duration = Duration::from_secs(2);
/// How long a process may take to become ready before the case counts as one that could not run.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Returns whether the disruption takes place; `TROUBLE=0` leaves it out.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Ends the case as one that could not run.
pub fn cannot_run(why: &str) -> ! {
    panic!("the case cannot run: {why}")
}

/// The file `record.txt` of a case: what was sent, answered and run, with the time since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn create(path: &str) -> Record {
        let file = File::create(path).unwrap_or_else(|e| cannot_run(&format!("{path}: {e}")));
        Record { file: Arc::new(Mutex::new(file)), started: Instant::now() }
    }

    pub fn line(&self, text: &str) {
        self.line_at(Instant::now(), text);
    }

    pub fn line_at(&self, at: Instant, text: &str) {
        let millis = at.saturating_duration_since(self.started).as_secs_f64() * 1e3;
        let mut file = self.file.lock().expect("lock");
        writeln!(file, "{millis:10.1} ms  {text}").expect("record.txt can be written");
    }
}

/// An HTTP request or response.
#[derive(Clone, Debug, Default)]
pub struct HttpMessage {
    pub start_line: String,
    pub headers: String,
    pub body: Vec<u8>,
}

impl HttpMessage {
    pub fn header(&self, name: &str) -> Option<&str> {
        let lines = self.headers.lines().filter_map(|line| line.split_once(':'));
        lines.filter(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, value)| value.trim()).next()
    }

    pub fn id(&self) -> &str {
        self.header("x-request-id").unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.start_line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads one HTTP message; `None` if the connection ends, breaks or times out before the message is complete.
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
    let size = message.header("content-length").and_then(|size| size.parse().ok()).unwrap_or(0);
    message.body.resize(size, 0);
    reader.read_exact(&mut message.body).ok()?;
    Some(message)
}

/// Returns a loopback address with a port that was free a moment ago.
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot_run(&e.to_string()));
    listener.local_addr().expect("a bound socket has an address")
}

/// An entry of the endpoint list.
#[derive(Clone)]
pub struct Listed {
    pub uid: String,
    pub address: SocketAddr,
    pub dest: u64,
    pub state: &'static str,
}

impl Listed {
    pub fn new(uid: &str, address: SocketAddr, dest: u64, state: &'static str) -> Listed {
        Listed { uid: uid.to_string(), address, dest, state }
    }

    fn json(&self) -> String {
        let Listed { uid, address, dest, state } = self;
        format!(
            r#"{{"uid":"{uid}","endpoint":"{address}","az":"dc1","model":"partner","pod_group":{dest},"state":"{state}","capacity_hint":40.0,"boot_ms":0}}"#
        )
    }
}

/// Returns an endpoint list in discovery's form, on one line.
pub fn list_json<'a>(rev: u64, all: bool, entries: impl IntoIterator<Item = &'a Listed>) -> String {
    let entries: Vec<String> = entries.into_iter().map(Listed::json).collect();
    format!(r#"{{"rev":{rev},"all":{all},"targets":[{}]}}"#, entries.join(","))
}

/// A notice that the platform received.
#[derive(Clone)]
pub struct Notice {
    pub at: Instant,
    pub line: String,
}

/// A change that discovery wrote to the forwarder.
#[derive(Clone)]
pub struct Told {
    pub at: Instant,
    pub uid: String,
    pub state: &'static str,
}

#[derive(Default)]
struct DiscoveryState {
    rev: u64,
    /// By uid, the entry and the version of its last change.
    entries: BTreeMap<String, (Listed, u64)>,
    told: Vec<Told>,
    notices: Vec<Notice>,
}

/// The agent for discovery and notices: pushes the list, answers at once, and answers each notice with 204.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    state: Arc<(Mutex<DiscoveryState>, Condvar)>,
    record: Record,
}

impl Discovery {
    pub fn start(record: &Record, entries: &[Listed]) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot_run(&e.to_string()));
        let address = listener.local_addr().expect("a bound socket has an address");
        let discovery = Discovery { address, state: Arc::default(), record: record.clone() };
        discovery.change(entries);
        let accepting = discovery.clone();
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let discovery = accepting.clone();
                thread::spawn(move || discovery.serve(socket));
            }
        });
        discovery
    }

    /// Changes these entries, as one new version of the list.
    pub fn change(&self, entries: &[Listed]) {
        let mut state = self.state.0.lock().expect("lock");
        state.rev += 1;
        let rev = state.rev;
        for entry in entries {
            self.record.line(&format!("discovery: version {rev}: {}", entry.json()));
            state.entries.insert(entry.uid.clone(), (entry.clone(), rev));
        }
        self.state.1.notify_all();
    }

    pub fn notices(&self) -> Vec<Notice> {
        self.state.0.lock().expect("lock").notices.clone()
    }

    /// Returns the first notice for this message.
    pub fn notice_for(&self, id: &str) -> Option<Notice> {
        let wanted = format!(r#""id":"{id}""#);
        self.notices().into_iter().find(|notice| notice.line.contains(&wanted))
    }

    pub fn told(&self) -> Vec<Told> {
        self.state.0.lock().expect("lock").told.clone()
    }

    /// Waits until a process has been told this state of the endpoint; returns the time.
    pub fn wait_told(&self, uid: &str, entry_state: &str) -> Instant {
        let until = Instant::now() + Duration::from_secs(10);
        loop {
            let told = self.told().into_iter().find(|told| told.uid == uid && told.state == entry_state);
            if let Some(told) = told {
                return told.at;
            }
            if Instant::now() >= until {
                cannot_run(&format!("no process reads that {uid} is {entry_state}"));
            }
            thread::sleep(Duration::from_millis(5));
        }
    }

    fn serve(&self, mut socket: TcpStream) {
        let _ = socket.set_nodelay(true);
        let mut reader = BufReader::new(socket.try_clone().expect("a handle"));
        while let Some(request) = read_http(&mut reader) {
            if request.start_line.starts_with("POST /reports") {
                self.take_notices(&request.text());
                let _ = socket.write_all(b"HTTP/1.1 204 No Content\r\n\r\n");
            } else if request.start_line.contains("watch=1") {
                let after = request.start_line.split("after=").nth(1).unwrap_or_default();
                let after = after.split([' ', '&']).next().and_then(|rev| rev.parse().ok()).unwrap_or(0);
                let _ = self.serve_watch(&mut socket, after);
                return;
            } else {
                let state = self.state.0.lock().expect("lock");
                let list = list_json(state.rev, true, state.entries.values().map(|(entry, _)| entry));
                drop(state);
                let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", list.len());
                let _ = socket.write_all((head + &list).as_bytes());
            }
        }
    }

    fn take_notices(&self, body: &str) {
        let at = Instant::now();
        for line in body.lines().filter(|line| !line.trim().is_empty()) {
            self.record.line_at(at, &format!("notice: {line}"));
            self.state.0.lock().expect("lock").notices.push(Notice { at, line: line.to_string() });
        }
    }

    /// Writes what changed after this version, then each change as it comes, and an empty line every 2 s.
    fn serve_watch(&self, socket: &mut TcpStream, after: u64) -> std::io::Result<()> {
        socket.write_all(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")?;
        let mut written = after;
        let mut first = true;
        loop {
            let mut state = self.state.0.lock().expect("lock");
            if !first && state.rev <= written {
                let wait = self.state.1.wait_timeout_while(state, EMPTY_LINE_INTERVAL, |s| s.rev <= written);
                state = wait.expect("lock").0;
            }
            let line = if first || state.rev > written {
                let all = first && (after == 0 || after > state.rev);
                let since = if all { 0 } else { written };
                let changed = |(entry, rev): &(Listed, u64)| {
                    (*rev > since && (!all || entry.state != "Gone")).then(|| entry.clone())
                };
                let entries: Vec<Listed> = state.entries.values().filter_map(changed).collect();
                written = state.rev;
                let line = list_json(state.rev, all, &entries) + "\n";
                drop(state);
                write_chunk(socket, &line)?;
                let at = Instant::now();
                let told = entries.iter().map(|e| Told { at, uid: e.uid.clone(), state: e.state });
                self.state.0.lock().expect("lock").told.extend(told);
                None
            } else {
                drop(state);
                Some("\n")
            };
            first = false;
            if let Some(line) = line {
                write_chunk(socket, line)?;
            }
        }
    }
}

fn write_chunk(socket: &mut TcpStream, text: &str) -> std::io::Result<()> {
    socket.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
}

/// What an endpoint does with a call once it has come whole.
pub enum Reply {
    /// Answers after this time with this status line and these header lines.
    After(Duration, &'static str, String),
    /// Answers after this time with this status line, these header lines and this body.
    WithBody(Duration, &'static str, String, Vec<u8>),
    /// Never answers, and reads on.
    Silent,
}

/// A call that an endpoint received whole.
#[derive(Clone)]
pub struct Call {
    pub at: Instant,
    pub request: HttpMessage,
    /// When the first line of its answer was written, and that line.
    pub answered: Option<(Instant, &'static str)>,
}

/// An endpoint that records each call and answers by a function of the case.
#[derive(Clone)]
pub struct Endpoint {
    pub name: String,
    pub address: SocketAddr,
    calls: Arc<Mutex<Vec<Call>>>,
    record: Record,
}

impl Endpoint {
    pub fn start(
        record: &Record, name: &str, reply: impl Fn(&HttpMessage, usize) -> Reply + Send + Sync + 'static,
    ) -> Endpoint {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot_run(&e.to_string()));
        let address = listener.local_addr().expect("a bound socket has an address");
        let endpoint =
            Endpoint { name: name.to_string(), address, calls: Arc::default(), record: record.clone() };
        let (accepting, reply) = (endpoint.clone(), Arc::new(reply));
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let (endpoint, reply) = (accepting.clone(), reply.clone());
                thread::spawn(move || endpoint.serve(socket, &*reply));
            }
        });
        endpoint
    }

    pub fn calls(&self) -> Vec<Call> {
        self.calls.lock().expect("lock").clone()
    }

    fn serve(&self, mut socket: TcpStream, reply: &dyn Fn(&HttpMessage, usize) -> Reply) {
        let _ = socket.set_nodelay(true);
        let mut reader = BufReader::new(socket.try_clone().expect("a handle"));
        while let Some(request) = read_http(&mut reader) {
            let at = Instant::now();
            let id = request.header("x-request-id").or(request.header("message-id"));
            let id = id.unwrap_or_default().to_string();
            let number = {
                let mut calls = self.calls.lock().expect("lock");
                calls.push(Call { at, request: request.clone(), answered: None });
                calls.len() - 1
            };
            self.record.line_at(at, &format!("{}: call {number}: {id}", self.name));
            let (delay, status, headers, body) = match reply(&request, number) {
                Reply::After(delay, status, headers) => (delay, status, headers, Vec::new()),
                Reply::WithBody(delay, status, headers, body) => (delay, status, headers, body),
                Reply::Silent => continue,
            };
            thread::sleep(delay.saturating_sub(at.elapsed()));
            let mut text =
                format!("HTTP/1.1 {status}\r\n{headers}content-length: {}\r\n\r\n", body.len()).into_bytes();
            text.extend(body);
            let written = socket.write_all(&text).is_ok();
            let answered_at = Instant::now();
            if written {
                self.calls.lock().expect("lock")[number].answered = Some((answered_at, status));
            }
            let note = if written { "" } else { " (not written: the connection has ended)" };
            self.record.line_at(
                answered_at,
                &format!("{}: answer to call {number}: {id}: {status}{note}", self.name),
            );
        }
    }
}

/// A message as a client hands it in.
#[derive(Clone)]
pub struct Message {
    pub class: &'static str,
    pub id: String,
    pub deadline_ms: u64,
    pub dest: u64,
    pub key: Option<String>,
}

impl Message {
    pub fn new(class: &'static str, id: &str, dest: u64, deadline_ms: u64) -> Message {
        Message { class, id: id.to_string(), deadline_ms, dest, key: None }
    }

    pub fn body(&self) -> String {
        format!("body of {}", self.id)
    }

    pub fn request(&self) -> Vec<u8> {
        let Message { class, id, deadline_ms, dest, .. } = self;
        let mut more = String::new();
        if class == &"episode-sync" {
            more = format!("Idempotency-Key: {id}{id}\r\n");
        }
        if let Some(key) = &self.key {
            more += &format!("X-Key: {key}\r\n");
        }
        let body = self.body();
        format!(
            "POST /{class} HTTP/1.1\r\nHost: service.internal\r\nX-Request-Id: {id}\r\nX-Class: {class}\r\n\
             X-Tenant: north\r\nX-Deadline: {deadline_ms}m\r\nX-Envelope: dest={dest}\r\n{more}Content-Length: {}\r\n\r\n{body}",
            body.len()
        )
        .into_bytes()
    }
}

/// Hands a message in on a new connection. Returns the status of the answer; `None` if none came within 400 ms.
pub fn hand_in(record: &Record, to: SocketAddr, message: &Message) -> Option<u16> {
    record.line(&format!("client: hands in {} ({}, dest {})", message.id, message.class, message.dest));
    let mut socket = TcpStream::connect_timeout(&to, CLIENT_TIMEOUT).ok()?;
    let _ = socket.set_nodelay(true);
    socket.set_read_timeout(Some(CLIENT_TIMEOUT)).ok()?;
    socket.write_all(&message.request()).ok()?;
    let status = read_http(&mut BufReader::new(socket)).map(|answer| answer.status());
    record.line(&format!("client: answer to {}: {status:?}", message.id));
    status
}

/// A folder for a forwarder's configuration and state, removed at the end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create() -> Folder {
        let name = format!("micaladder-review-{}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(path.join("state")).unwrap_or_else(|e| cannot_run(&e.to_string()));
        Folder(path)
    }

    pub fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.0.join(name);
        std::fs::write(&path, text).unwrap_or_else(|e| cannot_run(&e.to_string()));
        path
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var("KEEP").is_err() {
            let _ = std::fs::remove_dir_all(&self.0);
        }
    }
}

/// The classes of the settings, with the figures of a small deployment.
pub const EPISODE_SYNC: &str = r#"{"name":"episode-sync","aimNs":3000000000,"deadlineNs":24000000000,"effect":"by_key","fifoByKey":true,"group":"all","lateShare":0.5,"points":1.0,"streamed":false,"windowNs":25000000000}"#;
pub const STATS_PUSH: &str = r#"{"name":"stats-push","aimNs":4000000000,"deadlineNs":16000000000,"effect":"repeatable","group":"all","lateShare":0.5,"points":2.0,"streamed":false,"windowNs":5000000000}"#;
pub const CREATOR_PAYOUT: &str = r#"{"name":"creator-payout","aimNs":2000000000,"deadlineNs":20000000000,"effect":"once","group":"all","lateShare":0.3,"points":5.0,"streamed":false,"windowNs":5000000000}"#;

/// Returns the settings of a small deployment with one forwarder and these classes.
pub fn settings(classes: &[&str]) -> String {
    settings_with(classes, 14, 229)
}

/// Returns the same settings with this number of slots and of messages that the forwarder may hold.
pub fn settings_with(classes: &[&str], slots: u32, open_cap: u32) -> String {
    format!(
        r#"{{"classes":[{}],"clients":{{"marksRetry":false}},"family":"deliver",
"familyInfo":{{"fades":"halves","kindApart":[false],"perCall":[1],"refusalCost":0.03,"routeFee":[0.0],"workers":{slots}}},
"fees":{{"crossZone":0.0,"handshake":0.02,"lateFail":0.028,"probe":0.014,"waste":0.024}},"flavors":["partner"],
"limits":{{"connIdleNs":15000000000,"connectTimeoutNs":1000000000,"maxRetryAfterNs":2000000000,"mayCancel":true,"mayProbe":true,"mayTell":false,"mostTries":6,"openCap":{open_cap},"retryAfter":true,"secondCopies":false}},
"localities":["dc1"],"me":0,"myZone":0,"nInstances":1,"overShareWorth":0.2,"registryMode":"pushed",
"reporting":{{"names":[],"source":"off"}},"resolutionNs":5000000,
"rules":{{"answerSlackNs":20000000,"coldFrom":0.2,"fallMultiple":2.0,"mustAskInNs":10000000000,"orderPauseNs":0,"rampTimeNs":9000000000,"stopSendingWithinNs":250000000,"tipAfterNs":1500000000}},
"tenants":[{{"name":"north","quotaRps":40.0,"share":1.0}}],"valueBy":"request","weightKind":"nominal"}}"#,
        classes.join(",")
    )
}

/// What the platform tells a forwarder.
#[derive(Clone)]
pub struct Configuration {
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub known: String,
    pub settings: String,
}

impl Configuration {
    /// Writes the configuration file.
    pub fn write(&self, folder: &Folder) -> PathBuf {
        let Configuration { listen, discovery, known, settings } = self;
        let text = format!(
            r#"{{"name":"n0","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":192,"sockets":1024,"disk_mb":3}},"known":{known},"settings":{settings}}}"#
        );
        folder.write("config.json", &text)
    }
}

/// A process of the forwarder, started with the command of the deploy file. It is killed when this value is dropped.
pub struct Process {
    pub name: String,
    child: Child,
    listen: SocketAddr,
    record: Record,
}

impl Process {
    /// Starts a process. `variables` are set besides those of the deploy page.
    pub fn start(
        record: &Record, name: &str, folder: &Folder, configuration: &Configuration,
        variables: &[(&str, String)],
    ) -> Process {
        let run = std::env::var("RUN_COMMAND").unwrap_or_else(|_| cannot_run("RUN_COMMAND is not set"));
        let log = File::create(folder.0.join(format!("{name}.log"))).expect("a log file");
        let mut command = Command::new("/bin/sh");
        command
            .args(["-c", &run])
            .env("RELAY_NAME", "n0")
            .env("RELAY_LISTEN", configuration.listen.to_string())
            .env("RELAY_DISCOVERY", configuration.discovery.to_string())
            .env("RELAY_STATE", folder.0.join("state"))
            .env("RELAY_CONFIG", folder.0.join("config.json"))
            .env("MICALADDER_LOG", "debug")
            .env("MICALADDER_LOG_BURST", "0")
            .envs(variables.iter().map(|(name, value)| (*name, value.clone())))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log);
        let child = command.spawn().unwrap_or_else(|e| cannot_run(&e.to_string()));
        record.line(&format!("process {name}: started"));
        Process { name: name.to_string(), child, listen: configuration.listen, record: record.clone() }
    }

    /// Waits until the forwarder answers `GET /ready` with 200.
    pub fn wait_ready(&mut self) {
        self.wait_yes(self.listen, "/ready");
    }

    /// Waits until this address answers `GET path` with 200.
    pub fn wait_yes(&mut self, address: SocketAddr, path: &str) {
        let until = Instant::now() + READY_TIMEOUT;
        while get(address, path) != Some(200) {
            if Instant::now() >= until {
                cannot_run(&format!("process {} does not become ready", self.name));
            }
            if let Ok(Some(status)) = self.child.try_wait() {
                cannot_run(&format!("process {} ended: {status}", self.name));
            }
            thread::sleep(Duration::from_millis(5));
        }
        self.record.line(&format!("process {}: GET {path} is answered with 200", self.name));
    }

    /// Sends a signal, such as `TERM`.
    pub fn signal(&self, name: &str) {
        let sent =
            Command::new("/bin/sh").args(["-c", &format!("kill -{name} {}", self.child.id())]).status();
        self.record.line(&format!("process {}: SIG{name} ({sent:?})", self.name));
    }

    /// Sends SIGKILL and waits for the end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        self.record.line(&format!("process {}: SIGKILL, ended", self.name));
    }

    /// Waits until the process has ended; returns whether it has within this time.
    pub fn wait_end(&mut self, within: Duration) -> bool {
        let until = Instant::now() + within;
        while Instant::now() < until {
            if let Ok(Some(status)) = self.child.try_wait() {
                self.record.line(&format!("process {}: ended with {status}", self.name));
                return true;
            }
            thread::sleep(Duration::from_millis(5));
        }
        false
    }

    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns the status of the answer to a GET request.
pub fn get(address: SocketAddr, path: &str) -> Option<u16> {
    send_call(address, "GET", path).map(|answer| answer.status())
}

/// Makes a call without a body on a connection of its own.
pub fn send_call(address: SocketAddr, method: &str, path: &str) -> Option<HttpMessage> {
    let mut socket = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    socket.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
    let request = format!("{method} {path} HTTP/1.1\r\nHost: o\r\nContent-Length: 0\r\n\r\n");
    socket.write_all(request.as_bytes()).ok()?;
    read_http(&mut BufReader::new(socket))
}

/// Ends the case with the verdict: exit code 1 if the rule was broken, 0 if it held.
pub fn verdict(record: &Record, broken: &[String]) -> i32 {
    for line in broken {
        record.line(&format!("BROKEN: {line}"));
        eprintln!("BROKEN: {line}");
    }
    let text = if broken.is_empty() { "the rule held" } else { "the rule was broken" };
    record.line(text);
    println!("{text}");
    i32::from(!broken.is_empty())
}

/// Reads until the other side closes or the time is over; used by proxies.
pub fn is_closed(socket: &mut TcpStream) -> bool {
    let _ = socket.set_nonblocking(true);
    let read = socket.read(&mut [0; 1]);
    let _ = socket.set_nonblocking(false);
    match read {
        Ok(0) => true,
        Ok(_) => false,
        Err(e) => e.kind() != ErrorKind::WouldBlock,
    }
}

/// Returns the folder of the case, from its first argument.
pub fn case_folder() -> PathBuf {
    let folder = std::env::args().nth(1).unwrap_or_else(|| cannot_run("the folder of the case is not given"));
    Path::new(&folder).to_path_buf()
}
