//! The network: members that start, end, stand still and come back, and links that lose, delay and are cut.
use micaladder::fleet::member::Member;
use micaladder::fleet::node::{Node, NodeConfig};
use micaladder::fleet::view::{FleetView, MemberState};
use micaladder::fleet::wire::Attributes;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap, HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

/// A datagram's way: as between two machines of one site.
const WAY: Duration = Duration::from_micros(300);
/// How often a member visits those that have not shown a certificate, and how many at a time: as `neighbours::meet`.
const VISITS: Duration = Duration::from_millis(250);
const VISITED: usize = 20;
/// A visit takes so long.
const VISIT: Duration = Duration::from_millis(5);
/// More events a second and a member are a storm, which ends a run: a healthy one has some hundred in its worst second.
const STORM: u64 = 5000;
/// How often a settled fleet is looked for.
const LOOK: Duration = Duration::from_millis(20);

/// How links are, for all alike; cuts come beside it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Weather {
    /// Share of the datagrams that are lost, and that come twice.
    pub lost: f64,
    pub doubled: f64,
    /// What chance adds to a datagram's way at the most.
    pub jitter: Duration,
}

enum What {
    Bytes(Vec<u8>),
    Wake,
    Visits,
    /// Both have shown each other a certificate.
    Met(Member, Member),
}

struct Process {
    node: Node,
    /// The life that it began with.
    began: u64,
    /// What comes while it stands still.
    stopped: Option<Vec<Vec<u8>>>,
    wake: Duration,
    /// Rises with each start: what was meant for an earlier process is nobody's.
    start: u64,
    /// What outlasts it.
    remembered: Vec<SocketAddr>,
    agreed: BTreeSet<String>,
}

/// A word on who did what, for a run that fails.
pub type Deed = (Duration, String);

/// All of it.
pub struct Net {
    pub now: Duration,
    pub weather: Weather,
    /// The group of those that start.
    pub group: String,
    /// Extra way of all datagrams to and from a member, up to that with luck.
    pub slow: HashMap<usize, (Duration, Duration)>,
    /// Links that pass nothing, one way.
    pub cut: HashSet<(usize, usize)>,
    /// Bytes of datagrams that were sent by each.
    pub bytes: Vec<u64>,
    /// Deeds of the schedule.
    pub deeds: Vec<Deed>,
    processes: Vec<Option<Process>>,
    /// What is left of those that have ended: their last life, whom they remember, what was agreed.
    left: HashMap<usize, (u64, Vec<SocketAddr>, BTreeSet<String>)>,
    queue: BinaryHeap<Reverse<(Duration, u64, usize, u64)>>,
    events: HashMap<u64, What>,
    next: u64,
    /// What has happened in this second.
    second: (u64, u64),
    seeds: Vec<SocketAddr>,
    size: usize,
    random: StdRng,
    /// Times that members were taken for dead and came back, of processes that have ended too.
    deaths: u64,
}

/// Where a member is.
pub fn address(n: usize) -> SocketAddr {
    ([10, 0, (n >> 8) as u8, n as u8], 7000).into()
}

fn number(of: SocketAddr) -> Option<usize> {
    match of {
        SocketAddr::V4(a) => {
            let [ten, _, high, low] = a.ip().octets();
            (ten == 10).then_some(usize::from(high) << 8 | usize::from(low))
        }
        SocketAddr::V6(_) => None,
    }
}

pub fn name(n: usize) -> String {
    format!("n{n}")
}

impl Net {
    /// Nobody yet. `size` is about how many there will be, `seeds` whom all know.
    pub fn new(seed: u64, size: usize, seeds: &[usize]) -> Net {
        Net {
            now: Duration::ZERO,
            weather: Weather::default(),
            group: "lab".into(),
            slow: HashMap::new(),
            cut: HashSet::new(),
            bytes: vec![0; size + 64],
            deeds: Vec::new(),
            processes: (0..size + 64).map(|_| None).collect(),
            left: HashMap::new(),
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            next: 0,
            second: (0, 0),
            seeds: seeds.iter().map(|n| address(*n)).collect(),
            size,
            random: StdRng::seed_from_u64(seed),
            deaths: 0,
        }
    }

    fn did(&mut self, what: String) {
        self.deeds.push((self.now, what));
    }

    fn push(&mut self, after: Duration, to: usize, start: u64, what: What) {
        self.next += 1;
        self.events.insert(self.next, what);
        self.queue.push(Reverse((self.now + after, self.next, to, start)));
    }

    // ---- Processes.

    /// Starts one, for the first time or again; what outlasts a process is there unless `empty`.
    pub fn start(&mut self, n: usize, empty: bool) {
        let (life, remembered, agreed) = self.left.get(&n).filter(|_| !empty).cloned().unwrap_or_default();
        // A first life is from the clock, as in the daemon.
        let life = if life == 0 { 1 + self.now.as_millis() as u64 } else { life + 1 };
        self.start_as(n, &name(n), life, remembered, agreed);
    }

    /// Starts one under a name and with a life of the schedule's choice.
    pub fn start_as(
        &mut self, n: usize, name: &str, life: u64, remembered: Vec<SocketAddr>, agreed: BTreeSet<String>,
    ) {
        self.did(format!("{name} starts at {} with life {life}", address(n)));
        self.next += 1;
        let start = self.next;
        let setup = NodeConfig {
            local: Member { address: address(n), name: name.into(), incarnation: life },
            group: self.group.clone(),
            expected_members: self.size as u32,
            random_seed: self.random.random(),
            seed_addresses: self.seeds.clone(),
            remembered_addresses: remembered.clone(),
            agreed_fleet: agreed.clone(),
            attributes: Attributes {
                version: "lab".into(),
                settings_epoch: 1,
                started: self.now.as_secs(),
                ..Attributes::default()
            },
        };
        let node = Node::new(setup, self.now);
        let process =
            Process { node, began: life, stopped: None, wake: Duration::MAX, start, remembered, agreed };
        self.processes[n] = Some(process);
        let first = VISITS.mul_f64(self.random.random_range(0.0..1.0));
        self.push(first, n, start, What::Visits);
        self.settle(n);
    }

    fn end(&mut self, n: usize) -> Option<Process> {
        let process = self.processes[n].take()?;
        let life = process.node.local_member().incarnation;
        self.deaths += life - process.began;
        let mut seen: Vec<SocketAddr> = process.node.available_members().iter().map(|m| m.address).collect();
        seen.extend(
            process
                .remembered
                .iter()
                .filter(|a| !process.node.available_members().iter().any(|m| m.address == **a)),
        );
        seen.truncate(micaladder::fleet::member::MAX_MEMBERS);
        let agreed = match process.node.agreed_fleet().is_empty() {
            true => process.agreed.clone(),
            false => process.node.agreed_fleet().clone(),
        };
        self.left.insert(n, (life, seen, agreed));
        Some(process)
    }

    /// SIGKILL.
    pub fn kill(&mut self, n: usize) {
        self.did(format!("{} is killed", name(n)));
        self.end(n);
    }

    /// SIGTERM of one that holds nothing: it says goodbye, four times.
    pub fn terminate(&mut self, n: usize) {
        self.did(format!("{} is told to end", name(n)));
        let Some(mut process) = self.end(n) else { return };
        let goodbye = process.node.leave(self.now);
        for round in 0..4 {
            for (to, bytes) in &goodbye {
                self.send(n, *to, bytes.clone(), Duration::from_millis(30 * round));
            }
        }
        if let Some(left) = self.left.get_mut(&n) {
            left.2.clear();
        }
    }

    /// SIGSTOP.
    pub fn stop(&mut self, n: usize) {
        self.did(format!("{} stands still", name(n)));
        if let Some(p) = self.processes[n].as_mut() {
            p.stopped = Some(Vec::new());
        }
    }

    /// SIGCONT: what came meanwhile lies in its socket, as much as a socket holds.
    pub fn go_on(&mut self, n: usize) {
        self.did(format!("{} goes on", name(n)));
        let Some(p) = self.processes[n].as_mut() else { return };
        let now = self.now;
        // It may find its clock first or what came.
        let clock_first = self.random.random_bool(0.5);
        if clock_first {
            p.node.handle_wakeup(now);
        }
        for bytes in p.stopped.take().unwrap_or_default() {
            p.node.handle_datagram(now, &bytes);
        }
        p.node.handle_wakeup(now);
        self.settle(n);
        let start = self.processes[n].as_ref().map_or(0, |p| p.start);
        self.push(VISITS, n, start, What::Visits);
    }

    /// Those that run, standing still or not.
    pub fn running(&self) -> Vec<usize> {
        (0..self.processes.len()).filter(|n| self.processes[*n].is_some()).collect()
    }

    pub fn node(&self, n: usize) -> &Node {
        &self.processes[n].as_ref().expect("it runs").node
    }

    pub fn view(&self, n: usize) -> FleetView {
        self.node(n).view(self.now)
    }

    /// A member has something new to say of itself.
    pub fn write(&mut self, n: usize, facts: Attributes) {
        let now = self.now;
        if let Some(p) = self.processes[n].as_mut() {
            p.node.publish_attributes(now, facts);
        }
        self.settle(n);
    }

    /// A datagram from nowhere: noise, a replay, a forgery.
    pub fn inject(&mut self, to: usize, bytes: Vec<u8>) {
        let start = self.processes[to].as_ref().map_or(0, |p| p.start);
        self.push(Duration::ZERO, to, start, What::Bytes(bytes));
    }

    // ---- Links.

    /// Cuts both ways between two sides.
    pub fn cut_apart(&mut self, one: &[usize], other: &[usize]) {
        self.cut_one_way(one, other);
        self.cut_one_way(other, one);
    }

    pub fn cut_one_way(&mut self, from: &[usize], to: &[usize]) {
        self.did(format!("{} members are not heard by {}", from.len(), to.len()));
        for a in from {
            self.cut.extend(to.iter().filter(|b| *b != a).map(|b| (*a, *b)));
        }
    }

    pub fn heal(&mut self) {
        self.did("all links are well".into());
        self.cut.clear();
    }

    fn send(&mut self, from: usize, to: SocketAddr, bytes: Vec<u8>, after: Duration) {
        self.bytes[from] += bytes.len() as u64;
        let Some(to) = number(to).filter(|n| *n < self.processes.len()) else { return };
        if self.cut.contains(&(from, to)) {
            return;
        }
        let copies =
            1 + usize::from(self.weather.doubled > 0.0 && self.random.random_bool(self.weather.doubled));
        for _ in 0..copies {
            if self.weather.lost > 0.0 && self.random.random_bool(self.weather.lost) {
                continue;
            }
            let mut way = WAY + after;
            for (base, jitter) in [from, to].iter().filter_map(|n| self.slow.get(n)) {
                way += *base + jitter.mul_f64(self.random.random_range(0.0..1.0));
            }
            way += self.weather.jitter.mul_f64(self.random.random_range(0.0..1.0));
            let start = self.processes[to].as_ref().map_or(0, |p| p.start);
            self.push(way, to, start, What::Bytes(bytes.clone()));
        }
    }

    // ---- Time.

    /// Sends what a member has to send, and sees to its clock.
    fn settle(&mut self, n: usize) {
        let Some(process) = self.processes[n].as_mut() else { return };
        let out = process.node.take_outgoing();
        let next = process.node.next_wakeup();
        let (start, fresh) = (process.start, next != process.wake);
        process.wake = next;
        for (to, bytes) in out {
            self.send(n, to, bytes, Duration::ZERO);
        }
        if fresh {
            // A node that asks for a moment that is past would hold time up.
            let at = next.max(self.now + Duration::from_millis(1));
            if let Some(p) = self.processes[n].as_mut() {
                p.wake = at;
            }
            self.push(at - self.now, n, start, What::Wake);
        }
    }

    fn visits(&mut self, n: usize, start: u64) {
        let Some(process) = self.processes[n].as_ref() else { return };
        let me = process.node.local_member().clone();
        for who in process.node.unauthenticated_members().into_iter().take(VISITED) {
            let Some(to) = number(who.address) else { continue };
            let open = !self.cut.contains(&(n, to)) && !self.cut.contains(&(to, n));
            let there = self.processes.get(to).and_then(Option::as_ref).filter(|p| p.stopped.is_none());
            if let Some(other) = there.filter(|_| open).map(|p| p.node.local_member().clone()) {
                self.push(VISIT, n, start, What::Met(me.clone(), other));
            }
        }
        self.push(VISITS, n, start, What::Visits);
    }

    fn met(&mut self, one: &Member, other: &Member) {
        for (at, whom) in [(one, other), (other, one)] {
            let Some(n) = number(at.address) else { continue };
            if let Some(p) = self.processes[n].as_mut().filter(|p| p.stopped.is_none()) {
                p.node.mark_authenticated(self.now, whom);
                self.settle(n);
            }
        }
    }

    /// Goes on to a moment.
    pub fn run_to(&mut self, until: Duration) {
        while let Some(Reverse((at, id, to, start))) = self.queue.peek().copied().filter(|e| e.0 .0 <= until)
        {
            self.queue.pop();
            self.now = at;
            if at.as_secs() != self.second.0 {
                self.second = (at.as_secs(), 0);
            }
            self.second.1 += 1;
            assert!(self.second.1 < STORM * self.size as u64, "a storm of datagrams at {at:?}");
            let Some(what) = self.events.remove(&id) else { continue };
            let now = self.now;
            let Some(process) = self.processes[to].as_mut().filter(|p| p.start == start) else { continue };
            match (what, &mut process.stopped) {
                (What::Bytes(bytes), Some(held)) => {
                    // What a socket holds.
                    if held.len() < 512 {
                        held.push(bytes);
                    }
                    continue;
                }
                (_, Some(_)) => continue,
                (What::Bytes(bytes), None) => process.node.handle_datagram(now, &bytes),
                (What::Wake, None) => {
                    if process.wake != at {
                        continue;
                    }
                    process.wake = Duration::MAX;
                    process.node.handle_wakeup(now);
                }
                (What::Visits, None) => {
                    self.visits(to, start);
                    continue;
                }
                (What::Met(one, other), None) => {
                    self.met(&one, &other);
                    continue;
                }
            }
            if self.processes[to].as_ref().is_some_and(|p| p.node.has_withdrawn()) {
                self.terminate(to);
                continue;
            }
            self.settle(to);
        }
        self.now = until;
    }

    pub fn run_for(&mut self, time: Duration) {
        self.run_to(self.now + time);
    }

    // ---- What is seen.

    /// All of these have one view, which holds just these.
    pub fn settled(&self, among: &[usize]) -> bool {
        let Some(first) = among.first() else { return true };
        let digest = self.node(*first).digest();
        if !among.iter().all(|n| self.node(*n).digest() == digest) {
            return false;
        }
        let mut there: Vec<Member> = self.node(*first).available_members();
        there.push(self.node(*first).local_member().clone());
        let there: BTreeSet<SocketAddr> = there.iter().map(|m| m.address).collect();
        there == among.iter().map(|n| address(*n)).collect()
    }

    /// Goes on until these are settled: how long that took, none if longer than `within`.
    pub fn until_settled(&mut self, among: &[usize], within: Duration) -> Option<Duration> {
        let began = self.now;
        while !self.settled(among) {
            if self.now - began > within {
                return None;
            }
            self.run_for(LOOK);
        }
        Some(self.now - began)
    }

    /// How often a member that ran was taken for dead so that it had to come back, up to now.
    pub fn false_deaths(&self) -> u64 {
        let rose = |p: &Process| p.node.local_member().incarnation - p.began;
        self.deaths + self.processes.iter().flatten().map(rose).sum::<u64>()
    }

    /// How often anybody was suspected.
    pub fn suspicions(&self) -> u64 {
        self.processes.iter().flatten().map(|p| p.node.suspicion_count()).sum()
    }

    /// What the members that run say of one.
    pub fn states(&self, of: usize) -> Vec<Option<MemberState>> {
        let at = address(of).to_string();
        let state = |n: &usize| self.view(*n).members.iter().find(|m| m.address == at).map(|m| m.state);
        self.running().iter().filter(|n| **n != of).map(state).collect()
    }

    /// Who differs from whom, for a run that fails.
    pub fn story(&self, among: &[usize]) -> String {
        let mut out: Vec<String> =
            self.deeds.iter().map(|(at, what)| format!("{:9.3} {what}", at.as_secs_f64())).collect();
        let all: BTreeSet<SocketAddr> = among.iter().map(|n| address(*n)).collect();
        for n in among.iter().take(60) {
            let node = self.node(*n);
            let there: BTreeSet<SocketAddr> =
                node.available_members().iter().map(|m| m.address).chain([address(*n)]).collect();
            let (lacks, more) = (all.difference(&there).count(), there.difference(&all).count());
            out.push(format!(
                "{:9.3} {} digest {:016x} lacks {lacks}, has {more} too many, of its own: {:?}",
                self.now.as_secs_f64(),
                name(*n),
                node.digest(),
                all.difference(&there).take(3).collect::<Vec<_>>(),
            ));
        }
        out.join("\n")
    }
}
