//! A fleet of real processes on a network whose links the tests control. Each member listens on a separate loopback address
//! and advertises another port there, on which a relay receives the traffic of the other members. The relay identifies the
//! sender by the source address, so each ordered pair of members has a separate link for datagrams and connections, which
//! can lose, delay, duplicate, hold back or reset traffic. Random decisions come from a seed. All traffic stays on the
//! loopback interface, and all waits and delays are bounded.
//!
//! A member's view is read from its log with the log's timestamps, so a time says when an event happened, not when the test
//! detected it.
#![allow(dead_code)]
mod relay;

pub use relay::Link;

use crate::peers_common::Authority;
use crate::stand::*;
use relay::{relay_connections, relay_datagrams, Direction, Network};
use std::collections::BTreeSet;
use std::net::{IpAddr, SocketAddr};
use std::process::{Command, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::net::{TcpListener, UdpSocket};
use tokio::runtime::Runtime;

/// Interval at which the logs are read while a test waits for something.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Ports on each member's address: of the relay, of the member itself, and for the member's clients.
const RELAY_PORT: u16 = 7000;
const MEMBER_PORT: u16 = 7001;
const CLIENT_PORT: u16 = 7002;
/// Unit of the CPU times in `/proc`: the kernel reports clock ticks as hundredths of a second.
const TICKS_PER_SEC: f64 = 100.0;

/// A line of a member's log, or an action of the test.
#[derive(Clone, Debug)]
pub struct LogLine {
    /// Seconds since 1970, by the log's timestamp.
    pub at: f64,
    /// Index of the member.
    pub member: usize,
    pub text: String,
}

/// A running fleet and its network.
pub struct Fleet {
    pub seed: u64,
    pub members: Vec<Daemon>,
    /// The address of each member's relay, which the member advertises.
    pub relay_addresses: Vec<SocketAddr>,
    network: Arc<Network>,
    /// Log lines of processes that have ended.
    earlier_logs: Vec<LogLine>,
    /// Actions of the test, such as signals and faults.
    actions: Vec<LogLine>,
    authority: Authority,
    /// The discovery server of all members.
    discovery: Server,
    _runtime: Runtime,
}

/// Returns the seconds since 1970.
pub fn now() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("the clock is set before 1970").as_secs_f64()
}

impl Fleet {
    /// Starts all members at once. `seeds` holds the indices of the members that all members use as gossip seeds.
    pub fn start(seed: u64, count: usize, seeds: &[usize]) -> Fleet {
        let ips: Vec<IpAddr> = (0..count).map(|_| unique_address()).collect();
        let network = Arc::new(Network::new(seed, &ips));
        let runtime = start_relays(&network, &ips);
        let mut fleet = Fleet {
            seed,
            members: Vec::new(),
            relay_addresses: ips.iter().map(|ip| (*ip, RELAY_PORT).into()).collect(),
            network,
            earlier_logs: Vec::new(),
            actions: Vec::new(),
            authority: Authority::new(),
            discovery: start_discovery(endpoint_list(1, &[])),
            _runtime: runtime,
        };
        let seeds: Vec<SocketAddr> = seeds.iter().map(|index| fleet.relay_addresses[*index]).collect();
        for (index, ip) in ips.iter().enumerate() {
            let member = fleet.start_member(index, *ip, &seeds, count);
            fleet.members.push(member);
        }
        fleet.members.iter().for_each(|member| drop(member.wait_log("ready:")));
        fleet
    }

    fn start_member(&self, index: usize, ip: IpAddr, seeds: &[SocketAddr], count: usize) -> Daemon {
        let name = format!("n{index}");
        self.authority.write(&name, false);
        let mut flags = self.authority.flags(&name, (ip, MEMBER_PORT).into(), seeds);
        flags.push(format!("--neighbours-advertise={}", self.relay_addresses[index]));
        flags.push(format!("--neighbours-size={count}"));
        // Turns off the limit on log lines, because the view is read from the log.
        flags.push("--log-burst=0".into());
        let listen = Some((ip, CLIENT_PORT).into());
        Setup { flags, listen, ..setup(&self.discovery, endpoint_list(1, &[])) }.start_without_waiting()
    }

    /// Records an action of the test and returns its time.
    fn record(&mut self, member: usize, action: &str) -> f64 {
        let at = now();
        self.actions.push(LogLine { at, member, text: format!("TEST {action}") });
        at
    }

    // ---- The network

    /// Sets all links from one group of members to another, in this direction only.
    pub fn set_links(&mut self, from: &[usize], to: &[usize], link: Link) -> f64 {
        let pairs = from.iter().flat_map(|a| to.iter().map(|b| Direction { from: *a, to: *b }));
        self.network.set(pairs.filter(|direction| direction.from != direction.to), link);
        self.record(from[0], &format!("{from:?} to {to:?}: {link:?}"))
    }

    /// Cuts both directions between two groups of members.
    pub fn partition(&mut self, one: &[usize], other: &[usize]) -> f64 {
        let link = Link { cut: true, ..Link::default() };
        self.set_links(one, other, link);
        self.set_links(other, one, link)
    }

    /// Removes all faults.
    pub fn heal(&mut self) -> f64 {
        self.network.heal();
        self.record(0, "all links healed")
    }

    /// Resets all established connections.
    pub fn reset_connections(&mut self) -> f64 {
        self.network.reset_connections();
        self.record(0, "all connections reset")
    }

    /// Returns the bytes of datagrams that reached a member.
    pub fn received_bytes(&self, member: usize) -> u64 {
        self.network.received_bytes(member)
    }

    /// Returns the address on which a member itself listens, for clients that are not members and use no relay.
    pub fn listen_address(&self, member: usize) -> SocketAddr {
        (self.relay_addresses[member].ip(), MEMBER_PORT).into()
    }

    /// Returns the credential flags for a client such as `micaladder fleet`.
    pub fn client_credentials(&self) -> Vec<String> {
        self.authority.write("client", false);
        let flags = self.authority.flags("client", self.relay_addresses[0], &[]);
        flags.into_iter().filter(|f| !f.starts_with("--name") && !f.contains("-listen")).collect()
    }

    // ---- The processes

    fn save_log(&mut self, member: usize) {
        self.earlier_logs.extend(parse_log(member, &self.members[member].log()));
    }

    pub fn kill(&mut self, member: usize) -> f64 {
        let at = self.record(member, "SIGKILL");
        self.members[member].kill();
        at
    }

    pub fn terminate(&mut self, member: usize) -> f64 {
        let at = self.record(member, "SIGTERM");
        self.members[member].terminate();
        at
    }

    pub fn pause(&mut self, member: usize) -> f64 {
        let at = self.record(member, "SIGSTOP");
        self.members[member].signal("-STOP");
        at
    }

    pub fn resume(&mut self, member: usize) -> f64 {
        let at = self.record(member, "SIGCONT");
        self.members[member].signal("-CONT");
        at
    }

    /// Starts a member again that has ended; empties its state folder first if `empty`.
    pub fn restart(&mut self, member: usize, empty: bool) -> f64 {
        self.save_log(member);
        let state = self.members[member].folder.join("state");
        if empty {
            std::fs::remove_dir_all(&state).expect("cannot empty the state folder");
            std::fs::create_dir_all(&state).expect("cannot empty the state folder");
        }
        let at = self.record(member, if empty { "starts with an empty folder" } else { "starts" });
        self.members[member].restart_without_waiting();
        at
    }

    /// Returns the CPU time that a member's process has used, in seconds.
    pub fn cpu_secs(&self, member: usize) -> f64 {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.members[member].pid()))
            .expect("the member is not running");
        let fields = stat.rsplit(')').next().unwrap_or_default().split_whitespace();
        let ticks: u64 = fields.skip(11).take(2).filter_map(|f| f.parse::<u64>().ok()).sum();
        ticks as f64 / TICKS_PER_SEC
    }

    // ---- The members' views

    /// Returns the names of the members that a member sees as present, and the time of the last change.
    pub fn view(&self, member: usize) -> (BTreeSet<String>, f64) {
        let mut present = BTreeSet::new();
        let mut changed_at = 0.0;
        for line in parse_log(member, &self.members[member].log()) {
            let Some((text, name)) = line.text.split_once(" neighbour=") else { continue };
            let name = name.split(' ').next().unwrap_or_default().to_string();
            let has_changed = match text.rsplit(": ").next().unwrap_or_default() {
                "member is up" | "member restarted" => present.insert(name),
                "member is down" => present.remove(&name),
                _ => false,
            };
            if has_changed {
                changed_at = line.at;
            }
        }
        (present, changed_at)
    }

    /// Waits until each of these members sees exactly the others, and returns the time at which the last view became
    /// complete. Returns `None` if that takes longer than `within`.
    pub fn wait_for_agreement(&self, among: &[usize], within: Duration) -> Option<f64> {
        let until = Instant::now() + within;
        loop {
            let views: Vec<(BTreeSet<String>, f64)> = among.iter().map(|n| self.view(*n)).collect();
            let is_agreed = |(n, view): (&usize, &(BTreeSet<String>, f64))| {
                let others = among.iter().filter(|o| *o != n).map(|o| format!("n{o}"));
                view.0 == others.collect()
            };
            if among.iter().zip(&views).all(is_agreed) {
                return views.iter().map(|v| v.1).max_by(f64::total_cmp);
            }
            if Instant::now() >= until {
                return None;
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Returns the membership lines of all logs and the actions of the test in order of time, for the output of a failed
    /// test.
    pub fn timeline(&self) -> String {
        let logs = self.members.iter().enumerate().flat_map(|(n, m)| parse_log(n, &m.log()));
        let mut all: Vec<LogLine> =
            logs.chain(self.earlier_logs.iter().cloned()).chain(self.actions.iter().cloned()).collect();
        all.sort_by(|a, b| a.at.total_cmp(&b.at));
        let began = all.first().map_or(0.0, |line| line.at);
        let format_line =
            |line: &LogLine| format!("{:9.3} n{:<3} {}\n", line.at - began, line.member, line.text);
        let is_relevant = |line: &&LogLine| {
            let text = &line.text;
            text.contains("neighbour")
                || text.contains("peer")
                || text.contains("leaving the fleet")
                || text.starts_with("TEST")
        };
        let lines = all.iter().filter(is_relevant);
        format!("seed {}\n{}", self.seed, lines.map(format_line).collect::<String>())
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("{}", self.timeline());
        }
        // A suspended process handles no SIGTERM, so all are resumed.
        for member in &self.members {
            // Fails for members that have ended.
            let arguments = ["-CONT".to_string(), member.pid().to_string()];
            let _ = Command::new("kill").args(arguments).stderr(Stdio::null()).status();
        }
    }
}

/// Parses the lines of a log that begin with a timestamp.
fn parse_log(member: usize, log: &str) -> Vec<LogLine> {
    let parse = |line: &str| {
        let (stamp, text) = line.split_once(' ')?;
        Some(LogLine { at: stamp.parse().ok()?, member, text: text.to_string() })
    };
    log.lines().filter_map(parse).collect()
}

/// Binds the relay sockets of all members and starts the relays.
fn start_relays(network: &Arc<Network>, ips: &[IpAddr]) -> Runtime {
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    let runtime = runtime.expect("cannot start a runtime");
    for (to, ip) in ips.iter().enumerate() {
        let relay_address = (*ip, RELAY_PORT);
        let target: SocketAddr = (*ip, MEMBER_PORT).into();
        let datagrams =
            runtime.block_on(UdpSocket::bind(relay_address)).expect("cannot bind the datagram socket");
        let listener = runtime.block_on(TcpListener::bind(relay_address)).expect("cannot bind the listener");
        runtime.spawn(relay_datagrams(network.clone(), to, datagrams, target));
        runtime.spawn(relay_connections(network.clone(), to, listener, target));
    }
    runtime
}
