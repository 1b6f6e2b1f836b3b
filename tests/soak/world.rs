//! One run: a forwarder whose processes come and go, its callers, its endpoint and its platform.
use crate::callers::processes::{kill, start_second, KilledOwner};
use crate::callers::{unix_time, CallerKind, Callers, ConnectGate, Connections};
use crate::checks::{self, Seen};
use crate::crowd::{Crowd, CrowdKind};
use crate::operations::{self, Operation};
use crate::stalls::StallWatch;
use crate::stand::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::fmt::Write as _;
use std::io::{BufReader, Write as _};
use std::net::TcpStream;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// A second process has so long to serve, by the page on upgrades.
const TAKEOVER_TIMEOUT: Duration = Duration::from_secs(6);
/// New connections still come for so long after SIGTERM.
const CONNECTS_AFTER_TERM: Duration = Duration::from_millis(400);
/// SIGKILL comes so long after SIGTERM.
const KILL_AFTER_TERM: Duration = Duration::from_millis(3700);
/// Between two operations.
const PAUSE: Duration = Duration::from_millis(300);
/// Descriptors of a process, of which a third is for clients.
const SOCKETS: u32 = 384;

const CALLERS: [CallerKind; 6] = [
    CallerKind { class: "payout", connections: Connections::New, key: None },
    CallerKind { class: "payout", connections: Connections::Kept, key: None },
    CallerKind { class: "stats", connections: Connections::New, key: None },
    CallerKind { class: "stats", connections: Connections::Kept, key: None },
    CallerKind { class: "sync", connections: Connections::New, key: Some("00aa") },
    CallerKind { class: "sync", connections: Connections::Kept, key: Some("00bb") },
];

/// An endpoint that answers at once or late; by the message's id, the same in each play.
fn endpoint() -> Server {
    Server::start(|heard, _| {
        let number: usize =
            heard.request_id().rsplit('-').next().and_then(|number| number.parse().ok()).unwrap_or(0);
        if number % 50 == 17 {
            sleep(Duration::from_millis(400));
        }
        respond("200 OK", "", "")
    })
}

/// The processes of the forwarder, and what was done to them.
pub struct World {
    seed: u64,
    endpoint: Server,
    discovery: Server,
    /// Each process so far; the last one serves, or is about to.
    processes: Vec<Daemon>,
    gate: ConnectGate,
    killed_owners: Vec<KilledOwner>,
    diary: String,
    problems: Vec<String>,
}

/// Plays a seed.
pub fn play(seed: u64) -> Result<(), String> {
    let mut random = StdRng::seed_from_u64(seed);
    let kinds = [CrowdKind::None, CrowdKind::Idle, CrowdKind::Leaving, CrowdKind::InPieces];
    let crowd = kinds[random.random_range(0..kinds.len())];
    let operations = operations::draw(&mut random);
    let mut world = World::start(seed);
    let files = count_files(world.current());
    let machine = StallWatch::start();
    let callers = Callers::start_kinds(world.current().addr, &CALLERS, &world.gate);
    let crowd_at_work = Crowd::start(crowd, world.current().addr);
    sleep(PAUSE);
    for operation in operations {
        world.note(&format!("{operation:?}"));
        world.carry_out(operation);
        sleep(PAUSE);
    }
    let calls = callers.stop();
    let stalls = machine.stop();
    crowd_at_work.stop();
    world.check_descriptors(files);
    let seen = Seen {
        calls: &calls,
        killed_owners: &world.killed_owners,
        stalls: &stalls,
        endpoint: &world.endpoint,
        discovery: &world.discovery,
    };
    let mut problems = std::mem::take(&mut world.problems);
    problems.extend(checks::check(&seen));
    println!("seed {seed}, crowd {crowd:?}: {}", seen.summary());
    if problems.is_empty() {
        return Ok(());
    }
    world.save_logs();
    Err(format!("{}\n{}", problems.join("\n"), world.diary))
}

/// Hands a message in, and gives the status of its answer; 0 where there is none.
fn submit(process: &Daemon, class: &str, id: &str) -> u16 {
    let Ok(mut socket) = TcpStream::connect(process.addr) else { return 0 };
    let request = message_request(class, id, "20000m", "");
    if socket.write_all(&request).is_err() || socket.set_read_timeout(Some(EVENT_TIMEOUT)).is_err() {
        return 0;
    }
    read_http(&mut BufReader::new(socket)).map_or(0, |answer| answer.status())
}

/// Descriptors that are no sockets.
fn count_files(process: &Daemon) -> usize {
    process.descriptors().iter().filter(|target| !target.starts_with("socket:")).count()
}

impl World {
    fn start(seed: u64) -> World {
        let endpoint = endpoint();
        let known = endpoint_list(1, &[(7, endpoint.addr)]);
        let discovery = start_discovery(known.clone());
        let env = vec![("RELAY_MGMT".to_string(), free_address().to_string())];
        let base = setup(&discovery, known);
        let setup = Setup { env, max_pending: 1000, sockets: SOCKETS, ..base };
        let first = setup.start();
        let (gate, killed_owners) = (ConnectGate::default(), Vec::new());
        let (diary, problems) = (String::new(), Vec::new());
        World { seed, endpoint, discovery, processes: vec![first], gate, killed_owners, diary, problems }
    }

    fn current(&mut self) -> &mut Daemon {
        self.processes.last_mut().expect("one was started")
    }

    fn note(&mut self, what: &str) {
        let _ = writeln!(self.diary, "{:.4}  {what}", unix_time().as_secs_f64());
    }

    fn problem(&mut self, what: &str) {
        self.note(what);
        self.problems.push(what.to_string());
    }

    fn start_second(&mut self) -> Daemon {
        start_second(self.current())
    }

    fn carry_out(&mut self, operation: Operation) {
        match operation {
            Operation::Reload => self.current().signal("-HUP"),
            Operation::TakeOver => self.take_over(1),
            Operation::TakeOverTwice => self.take_over(2),
            Operation::KillSuccessor(after) => self.kill_successor(after),
            Operation::TerminateSuccessor(after) => self.terminate_successor(after),
            Operation::TerminateDuringTakeover(after) => self.terminate_during_takeover(after),
            Operation::Restart => self.restart(),
            Operation::Kill => self.kill(),
        }
    }

    /// So many processes take over from each other; the earlier ones are told to end afterwards.
    fn take_over(&mut self, times: usize) {
        let earlier = self.processes.len() - 1;
        for _ in 0..times {
            let second = self.start_second();
            self.await_ready(&second);
            self.processes.push(second);
        }
        let last = self.processes.len() - 1;
        for process in earlier..last {
            self.end(process, |_| {});
        }
    }

    fn await_ready(&mut self, process: &Daemon) {
        let started = Instant::now();
        while !process.log().contains("ready:") {
            if started.elapsed() > TAKEOVER_TIMEOUT {
                return self.problem("the second process does not serve within 6 s");
            }
            sleep(Duration::from_millis(5));
        }
        self.note(&format!("it serves after {:?}", started.elapsed()));
    }

    /// SIGTERM to this process, which has to be gone before the SIGKILL of the platform. `meanwhile` runs 0.4 s later.
    fn end(&mut self, process: usize, meanwhile: impl FnOnce(&mut World)) {
        self.processes[process].terminate();
        self.await_end(process, meanwhile);
    }

    fn await_end(&mut self, process: usize, meanwhile: impl FnOnce(&mut World)) {
        let told = Instant::now();
        sleep(CONNECTS_AFTER_TERM);
        meanwhile(self);
        while self.processes[process].is_running() {
            if told.elapsed() > KILL_AFTER_TERM {
                self.problem("it has not ended 3.7 s after SIGTERM");
                self.processes[process].kill();
                return;
            }
            sleep(Duration::from_millis(5));
        }
        self.note(&format!("process {process} ended after {:?}", told.elapsed()));
    }

    fn kill_successor(&mut self, after: Duration) {
        let mut second = self.start_second();
        sleep(after);
        self.kill_process(&mut second, "its successor");
        self.ended_beside(second);
        self.await_service("stats", "probe");
    }

    fn terminate_successor(&mut self, after: Duration) {
        let second = self.start_second();
        sleep(after);
        second.terminate();
        // One that serves by now ends like any other, and the first process takes over from it.
        let index = self.processes.len() - 1;
        self.processes.insert(index, second);
        self.await_end(index, |_| {});
        self.await_service("stats", "probe");
    }

    /// Whichever process goes on serves.
    fn terminate_during_takeover(&mut self, after: Duration) {
        let second = self.start_second();
        sleep(after);
        let first = self.processes.len() - 1;
        self.processes.push(second);
        let told = Instant::now();
        self.processes[first].terminate();
        while !self.current().log().contains("ready:") && told.elapsed() < TAKEOVER_TIMEOUT {
            sleep(Duration::from_millis(5));
        }
        if !self.current().log().contains("ready:") {
            self.problem("the second process does not serve within 6 s");
        }
        while self.processes[first].is_running() && told.elapsed() < KILL_AFTER_TERM {
            sleep(Duration::from_millis(5));
        }
        if self.processes[first].is_running() {
            self.problem("it has not ended 3.7 s after SIGTERM");
            self.processes[first].kill();
        }
    }

    /// No second process beside it: for some time nobody listens, and callers open no connections.
    fn restart(&mut self) {
        for signal in ["-HUP", "-TERM", "-TERM"] {
            self.current().signal(signal);
        }
        let process = self.processes.len() - 1;
        self.await_end(process, |world| world.gate.close());
        self.start_next();
    }

    fn kill(&mut self) {
        // Under this load a message may be turned away.
        self.await_service("payout", "before-kill");
        self.gate.close();
        let mut process = self.processes.pop().expect("one runs");
        self.kill_process(&mut process, "it");
        self.processes.push(process);
        self.start_next();
    }

    fn start_next(&mut self) {
        let next = self.start_second();
        self.await_ready(&next);
        self.processes.push(next);
        self.gate.open();
    }

    fn kill_process(&mut self, process: &mut Daemon, which: &str) {
        let owner = kill(process);
        self.note(&format!("SIGKILL to {which}"));
        self.killed_owners.extend(owner);
    }

    /// A process that is gone goes before the one that serves.
    fn ended_beside(&mut self, process: Daemon) {
        let index = self.processes.len() - 1;
        self.processes.insert(index, process);
    }

    /// Waits until a message is taken on; until then it may only be turned away.
    fn await_service(&mut self, class: &str, prefix: &str) {
        let asked = Instant::now();
        for number in 0.. {
            let id = format!("{prefix}-{}-{number}", self.processes.len());
            match submit(self.current(), class, &id) {
                202 => break,
                503 if asked.elapsed() < TAKEOVER_TIMEOUT => sleep(Duration::from_millis(5)),
                status => {
                    return self.problem(&format!("{id} was answered {status} after {:?}", asked.elapsed()))
                }
            }
        }
        self.note(&format!("messages are taken on after {:?}", asked.elapsed()));
    }

    /// Once its callers are gone the process holds no connection of theirs, and no more files than one that has just
    /// started. Connections to endpoints and to the platform have bounds of their own.
    fn check_descriptors(&mut self, files_at_start: usize) {
        const SETTLED_WITHIN: Duration = Duration::from_secs(6);
        let begun = Instant::now();
        loop {
            let files = count_files(self.current());
            let clients = self.current().client_connections();
            if files <= files_at_start && clients == 0 {
                return;
            }
            if begun.elapsed() > SETTLED_WITHIN {
                let open = self.current().descriptors().join(", ");
                let left =
                    format!("{files} files are left, {files_at_start} at the start, and {clients} clients");
                return self.problem(&format!("{left}: {open}"));
            }
            sleep(Duration::from_millis(50));
        }
    }

    /// The logs of all processes of a seed that failed, for whoever looks for the cause.
    fn save_logs(&mut self) {
        for (number, process) in self.processes.iter().enumerate() {
            let path = std::env::temp_dir().join(format!("soak-{}-{number}.log", self.seed));
            if std::fs::write(&path, process.log()).is_ok() {
                let _ = writeln!(self.diary, "log: {}", path.display());
            }
        }
    }
}
