//! One run: a forwarder whose processes are replaced, its callers, its endpoint and its platform.
use crate::callers::processes::{kill, start_second, KilledOwner};
use crate::callers::{unix_time, CallerKind, Callers, ConnectGate, Connections};
use crate::checks::{self, Observations};
use crate::crowd::{Crowd, CrowdKind};
use crate::operations::{self, Operation};
use crate::stalls::StallDetector;
use crate::stand::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::fmt::Write as _;
use std::io::{BufReader, Write as _};
use std::net::TcpStream;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// The documented limit for a second process to serve during an upgrade.
const TAKEOVER_TIMEOUT: Duration = Duration::from_secs(6);
/// How long clients may still open connections after SIGTERM.
const CONNECTS_AFTER_TERM: Duration = Duration::from_millis(400);
/// Time from SIGTERM to the SIGKILL of the platform.
const KILL_AFTER_TERM: Duration = Duration::from_millis(3700);
/// Pause between two operations.
const PAUSE: Duration = Duration::from_millis(300);
/// Number of descriptors of a process, a third of which is for clients.
const SOCKETS: u32 = 384;

const CALLERS: [CallerKind; 6] = [
    CallerKind { class: "payout", connections: Connections::New, key: None },
    CallerKind { class: "payout", connections: Connections::KeepAlive, key: None },
    CallerKind { class: "stats", connections: Connections::New, key: None },
    CallerKind { class: "stats", connections: Connections::KeepAlive, key: None },
    CallerKind { class: "sync", connections: Connections::New, key: Some("00aa") },
    CallerKind { class: "sync", connections: Connections::KeepAlive, key: Some("00bb") },
];

/// Starts an endpoint that answers some calls late. The message's id selects them, so they are the same in each run.
fn start_endpoint() -> Server {
    Server::start(|request, _| {
        let number: usize =
            request.request_id().rsplit('-').next().and_then(|number| number.parse().ok()).unwrap_or(0);
        if number % 50 == 17 {
            sleep(Duration::from_millis(400));
        }
        respond("200 OK", "", "")
    })
}

/// The processes of a forwarder, its endpoint and its platform, and a record of the operations.
pub struct SoakRun {
    seed: u64,
    endpoint: Server,
    discovery: Server,
    /// All processes so far; the last one serves or is about to serve.
    processes: Vec<Daemon>,
    gate: ConnectGate,
    killed_owners: Vec<KilledOwner>,
    /// The operations and their effects with times, one per line.
    event_log: String,
    problems: Vec<String>,
}

/// Runs the operations of a seed.
///
/// # Errors
///
/// The problems that were found, and the operations with their times.
pub fn run_seed(seed: u64) -> Result<(), String> {
    let mut random = StdRng::seed_from_u64(seed);
    let crowd_kinds = [CrowdKind::None, CrowdKind::Idle, CrowdKind::Disconnecting, CrowdKind::InPieces];
    let crowd_kind = crowd_kinds[random.random_range(0..crowd_kinds.len())];
    let operations = operations::draw(&mut random);
    let mut run = SoakRun::start(seed);
    let files_at_start = count_files(run.current());
    let stall_detector = StallDetector::start();
    let callers = Callers::start_kinds(run.current().addr, &CALLERS, &run.gate);
    let crowd = Crowd::start(crowd_kind, run.current().addr);
    sleep(PAUSE);
    for operation in operations {
        run.record(&format!("{operation:?}"));
        run.execute(operation);
        sleep(PAUSE);
    }
    let requests = callers.stop();
    let stalls = stall_detector.stop();
    crowd.stop();
    run.check_descriptors(files_at_start);
    let observations = Observations {
        requests: &requests,
        killed_owners: &run.killed_owners,
        stalls: &stalls,
        endpoint: &run.endpoint,
        discovery: &run.discovery,
    };
    let mut problems = std::mem::take(&mut run.problems);
    problems.extend(checks::check(&observations));
    println!("seed {seed}, crowd {crowd_kind:?}: {}", observations.summary());
    if problems.is_empty() {
        return Ok(());
    }
    run.save_logs();
    Err(format!("{}\n{}", problems.join("\n"), run.event_log))
}

/// Sends a message and returns the status of the response, or 0 without a response.
fn submit(process: &Daemon, class: &str, id: &str) -> u16 {
    let Ok(mut socket) = TcpStream::connect(process.addr) else { return 0 };
    let request = message_request(class, id, "20000m", "");
    if socket.write_all(&request).is_err() || socket.set_read_timeout(Some(EVENT_TIMEOUT)).is_err() {
        return 0;
    }
    read_http(&mut BufReader::new(socket)).map_or(0, |response| response.status())
}

/// Counts the descriptors of a process that are not sockets.
fn count_files(process: &Daemon) -> usize {
    process.descriptors().iter().filter(|target| !target.starts_with("socket:")).count()
}

impl SoakRun {
    fn start(seed: u64) -> SoakRun {
        let endpoint = start_endpoint();
        let known = endpoint_list(1, &[(7, endpoint.addr)]);
        let discovery = start_discovery(known.clone());
        let env = vec![("RELAY_MGMT".to_string(), free_address().to_string())];
        let base = setup(&discovery, known);
        let setup = Setup { env, max_pending: 1000, sockets: SOCKETS, ..base };
        let first = setup.start();
        let (gate, killed_owners) = (ConnectGate::default(), Vec::new());
        let (event_log, problems) = (String::new(), Vec::new());
        SoakRun {
            seed,
            endpoint,
            discovery,
            processes: vec![first],
            gate,
            killed_owners,
            event_log,
            problems,
        }
    }

    fn current(&mut self) -> &mut Daemon {
        self.processes.last_mut().expect("no process was started")
    }

    /// Adds an event with its time to the event log.
    fn record(&mut self, event: &str) {
        let _ = writeln!(self.event_log, "{:.4}  {event}", unix_time().as_secs_f64());
    }

    fn report_problem(&mut self, problem: &str) {
        self.record(problem);
        self.problems.push(problem.to_string());
    }

    fn start_second(&mut self) -> Daemon {
        start_second(self.current())
    }

    fn execute(&mut self, operation: Operation) {
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

    /// Starts processes that take over one after the other, then terminates the earlier ones.
    fn take_over(&mut self, times: usize) {
        let earlier = self.processes.len() - 1;
        for _ in 0..times {
            let second = self.start_second();
            self.wait_ready(&second);
            self.processes.push(second);
        }
        let last = self.processes.len() - 1;
        for process in earlier..last {
            self.terminate(process, |_| {});
        }
    }

    fn wait_ready(&mut self, process: &Daemon) {
        let started = Instant::now();
        while !process.log().contains("ready:") {
            if started.elapsed() > TAKEOVER_TIMEOUT {
                return self.report_problem("the second process does not serve within 6 s");
            }
            sleep(Duration::from_millis(5));
        }
        self.record(&format!("the second process serves after {:?}", started.elapsed()));
    }

    /// Sends SIGTERM to a process and waits until it has exited.
    fn terminate(&mut self, process: usize, after_last_connects: impl FnOnce(&mut SoakRun)) {
        self.processes[process].terminate();
        self.wait_exit(process, after_last_connects);
    }

    /// Waits until a process that has received SIGTERM exits; it must exit before the SIGKILL of the platform. Calls
    /// `after_last_connects` once clients open no more connections to it.
    fn wait_exit(&mut self, process: usize, after_last_connects: impl FnOnce(&mut SoakRun)) {
        let terminated_at = Instant::now();
        sleep(CONNECTS_AFTER_TERM);
        after_last_connects(self);
        while self.processes[process].is_running() {
            if terminated_at.elapsed() > KILL_AFTER_TERM {
                self.report_problem("the process has not exited 3.7 s after SIGTERM");
                self.processes[process].kill();
                return;
            }
            sleep(Duration::from_millis(5));
        }
        self.record(&format!("process {process} exited after {:?}", terminated_at.elapsed()));
    }

    fn kill_successor(&mut self, after: Duration) {
        let mut second = self.start_second();
        sleep(after);
        self.kill_process(&mut second, "the successor");
        self.insert_before_current(second);
        self.wait_accepted("stats", "probe");
    }

    fn terminate_successor(&mut self, after: Duration) {
        let second = self.start_second();
        sleep(after);
        second.terminate();
        // A successor that already serves shuts down like any process, and the first process takes over from it.
        let index = self.processes.len() - 1;
        self.processes.insert(index, second);
        self.wait_exit(index, |_| {});
        self.wait_accepted("stats", "probe");
    }

    /// Terminates the first process during a takeover; the second process must serve all the same.
    fn terminate_during_takeover(&mut self, after: Duration) {
        let second = self.start_second();
        sleep(after);
        let first = self.processes.len() - 1;
        self.processes.push(second);
        let terminated_at = Instant::now();
        self.processes[first].terminate();
        while !self.current().log().contains("ready:") && terminated_at.elapsed() < TAKEOVER_TIMEOUT {
            sleep(Duration::from_millis(5));
        }
        if !self.current().log().contains("ready:") {
            self.report_problem("the second process does not serve within 6 s");
        }
        while self.processes[first].is_running() && terminated_at.elapsed() < KILL_AFTER_TERM {
            sleep(Duration::from_millis(5));
        }
        if self.processes[first].is_running() {
            self.report_problem("the process has not exited 3.7 s after SIGTERM");
            self.processes[first].kill();
        }
    }

    /// Terminates the process without a second process beside it. For some time no process listens, so callers open no
    /// connections.
    fn restart(&mut self) {
        for signal in ["-HUP", "-TERM", "-TERM"] {
            self.current().signal(signal);
        }
        let process = self.processes.len() - 1;
        self.wait_exit(process, |run| run.gate.close());
        self.start_next();
    }

    fn kill(&mut self) {
        // Under this load a message may be rejected.
        self.wait_accepted("payout", "before-kill");
        self.gate.close();
        let mut process = self.processes.pop().expect("no process");
        self.kill_process(&mut process, "the serving process");
        self.processes.push(process);
        self.start_next();
    }

    fn start_next(&mut self) {
        let next = self.start_second();
        self.wait_ready(&next);
        self.processes.push(next);
        self.gate.open();
    }

    fn kill_process(&mut self, process: &mut Daemon, name: &str) {
        let owner = kill(process);
        self.record(&format!("SIGKILL to {name}"));
        self.killed_owners.extend(owner);
    }

    /// Adds a process that has ended before the one that serves.
    fn insert_before_current(&mut self, process: Daemon) {
        let index = self.processes.len() - 1;
        self.processes.insert(index, process);
    }

    /// Sends messages until the forwarder accepts one. Each earlier message must be rejected with 503.
    fn wait_accepted(&mut self, class: &str, prefix: &str) {
        let started = Instant::now();
        for number in 0.. {
            let id = format!("{prefix}-{}-{number}", self.processes.len());
            match submit(self.current(), class, &id) {
                202 => break,
                503 if started.elapsed() < TAKEOVER_TIMEOUT => sleep(Duration::from_millis(5)),
                status => {
                    return self
                        .report_problem(&format!("{id} was answered {status} after {:?}", started.elapsed()))
                }
            }
        }
        self.record(&format!("messages are accepted after {:?}", started.elapsed()));
    }

    /// Checks that the process, once its callers are gone, holds no client connection and no more files than at the start.
    /// Connections to endpoints and to the platform have other limits and are not checked here.
    fn check_descriptors(&mut self, files_at_start: usize) {
        const SETTLED_WITHIN: Duration = Duration::from_secs(6);
        let started = Instant::now();
        loop {
            let files = count_files(self.current());
            let clients = self.current().client_connections();
            if files <= files_at_start && clients == 0 {
                return;
            }
            if started.elapsed() > SETTLED_WITHIN {
                let descriptors = self.current().descriptors().join(", ");
                let leaked = format!(
                    "{files} files are open, {files_at_start} at the start, and {clients} client connections"
                );
                return self.report_problem(&format!("{leaked}: {descriptors}"));
            }
            sleep(Duration::from_millis(50));
        }
    }

    /// Saves the logs of all processes of a seed that failed.
    fn save_logs(&mut self) {
        for (number, process) in self.processes.iter().enumerate() {
            let path = std::env::temp_dir().join(format!("soak-{}-{number}.log", self.seed));
            if std::fs::write(&path, process.log()).is_ok() {
                let _ = writeln!(self.event_log, "log: {}", path.display());
            }
        }
    }
}
