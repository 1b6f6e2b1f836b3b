//! A fleet of real processes, and a network between them that does as it is told. Each member listens on a loopback
//! address of its own and tells the others of another one, its front: what they send there passes a relay, which knows
//! by the address that it comes from who sent it. So each ordered pair of members is a link of its own, for datagrams and
//! for connections, and each can lose, delay, double, hold, cut or reset. Chance comes from a seed. Loopback only, and
//! bounded: each wait ends, each delay is short.
//!
//! The rig knows of a member's view what its log says, with the log's own stamps: a time is when something happened, not
//! when the rig looked.
#![allow(dead_code)]
use crate::peers_common::Authority;
use crate::stand::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::watch;

/// A front holds so many connections at once at the most.
const CONNECTIONS: usize = 256;
/// How often the logs are looked at while something is waited for.
const LOOK: Duration = Duration::from_millis(5);

/// What a link does to what passes it, one way.
#[derive(Clone, Copy, Debug, Default)]
pub struct Link {
    /// Nothing passes: datagrams are lost, connections stand and are silent, new ones do not come up.
    pub cut: bool,
    /// Share of the datagrams that are lost, and that come twice.
    pub lost: f64,
    pub doubled: f64,
    /// Delay, and what chance adds to it at the most, in milliseconds: what is delayed differently changes places.
    pub delay_ms: u64,
    pub jitter_ms: u64,
    /// Connections pass so many bytes more in all, and are then reset in the midst of whatever they carry.
    pub bytes_left: Option<u64>,
}

/// One moment for all links; `turn` rises with each change, so that what is held goes on.
struct Wires {
    links: Mutex<BTreeMap<(usize, usize), Link>>,
    turn: watch::Sender<u64>,
    /// Connections of an earlier age are reset.
    age: AtomicU64,
    random: Mutex<StdRng>,
    /// Bytes of datagrams that reached each member.
    bytes: Vec<AtomicU64>,
    members: BTreeMap<IpAddr, usize>,
}

fn lock<T>(of: &Mutex<T>) -> MutexGuard<'_, T> {
    of.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Wires {
    fn link(&self, from: usize, to: usize) -> Link {
        lock(&self.links).get(&(from, to)).copied().unwrap_or_default()
    }

    /// How long what is sent now takes on a link.
    fn delay(&self, link: &Link) -> Duration {
        let jitter = if link.jitter_ms > 0 { lock(&self.random).random_range(0..=link.jitter_ms) } else { 0 };
        Duration::from_millis(link.delay_ms + jitter)
    }

    /// How often a datagram arrives.
    fn copies(&self, link: &Link) -> usize {
        let mut random = lock(&self.random);
        match link.cut || random.random_bool(link.lost) {
            true => 0,
            false => 1 + usize::from(random.random_bool(link.doubled)),
        }
    }

    /// Whether so many bytes of a connection may pass; uses them up.
    fn spend(&self, from: usize, to: usize, bytes: u64) -> bool {
        let mut links = lock(&self.links);
        let Some(left) = links.get_mut(&(from, to)).and_then(|l| l.bytes_left.as_mut()) else { return true };
        let passes = *left >= bytes;
        *left = left.saturating_sub(bytes);
        passes
    }
}

/// Datagrams to one member.
async fn datagrams(wires: Arc<Wires>, to: usize, front: UdpSocket, real: SocketAddr) {
    let front = Arc::new(front);
    let mut bytes = vec![0; 64 * 1024];
    loop {
        let Ok((size, from)) = front.recv_from(&mut bytes).await else { continue };
        let Some(from) = wires.members.get(&from.ip()).copied() else { continue };
        let link = wires.link(from, to);
        for _ in 0..wires.copies(&link) {
            let (wires, front, text, wait) =
                (wires.clone(), front.clone(), bytes[..size].to_vec(), wires.delay(&link));
            tokio::spawn(async move {
                tokio::time::sleep(wait).await;
                wires.bytes[to].fetch_add(text.len() as u64, Ordering::Relaxed);
                let _ = front.send_to(&text, real).await;
            });
        }
    }
}

/// Connections to one member.
async fn connections(wires: Arc<Wires>, to: usize, front: TcpListener, real: SocketAddr) {
    let seats = Arc::new(tokio::sync::Semaphore::new(CONNECTIONS));
    loop {
        let Ok((socket, from)) = front.accept().await else { continue };
        let Some(from) = wires.members.get(&from.ip()).copied() else { continue };
        let Ok(seat) = seats.clone().try_acquire_owned() else { continue };
        let wires = wires.clone();
        tokio::spawn(async move {
            let _seat = seat;
            let age = wires.age.load(Ordering::SeqCst);
            // As on a cut line: it stands, and nothing comes.
            held(&wires, from, to, age).await;
            let Ok(far) = TcpStream::connect(real).await else { return };
            let _ = (socket.set_nodelay(true), far.set_nodelay(true));
            let ((near_in, near_out), (far_in, far_out)) = (socket.into_split(), far.into_split());
            // One way's end ends the other: the ways are dropped together, which resets what is left.
            tokio::select! {
                () = pass(&wires, (from, to), age, near_in, far_out) => {}
                () = pass(&wires, (to, from), age, far_in, near_out) => {}
            }
        });
    }
}

/// Waits while a link is cut, unless its connections are reset.
async fn held(wires: &Wires, from: usize, to: usize, age: u64) {
    let mut turn = wires.turn.subscribe();
    while wires.link(from, to).cut && wires.age.load(Ordering::SeqCst) == age {
        if turn.changed().await.is_err() {
            return;
        }
    }
}

async fn pass(
    wires: &Wires, (from, to): (usize, usize), age: u64, mut source: tokio::net::tcp::OwnedReadHalf,
    mut sink: tokio::net::tcp::OwnedWriteHalf,
) {
    let mut turn = wires.turn.subscribe();
    let mut bytes = vec![0; 16 * 1024];
    loop {
        let read = tokio::select! {
            read = source.read(&mut bytes) => read,
            _ = turn.changed() => match wires.age.load(Ordering::SeqCst) == age {
                true => continue,
                false => return,
            },
        };
        let Some(size) = read.ok().filter(|n| *n > 0) else { return };
        held(wires, from, to, age).await;
        tokio::time::sleep(wires.delay(&wires.link(from, to))).await;
        if wires.age.load(Ordering::SeqCst) != age || !wires.spend(from, to, size as u64) {
            return;
        }
        if sink.write_all(&bytes[..size]).await.is_err() {
            return;
        }
    }
}

/// A word on a member's view, as its log has it.
#[derive(Clone, Debug)]
pub struct Word {
    /// Seconds since 1970, by the log's stamp.
    pub at: f64,
    pub of: usize,
    pub text: String,
}

pub struct Fleet {
    pub seed: u64,
    pub members: Vec<Daemon>,
    /// Where each is told to be.
    pub fronts: Vec<SocketAddr>,
    wires: Arc<Wires>,
    /// Logs of processes that have ended.
    past: Vec<Word>,
    /// What the rig did.
    deeds: Vec<Word>,
    authority: Authority,
    /// Discovery, which is the same for all.
    disco: Server,
    _runtime: tokio::runtime::Runtime,
}

pub fn now() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_secs_f64()
}

const FRONT: u16 = 7000;
const REAL: u16 = 7001;
const CLIENTS: u16 = 7002;

impl Fleet {
    /// Starts them all at once; those in `seeds` are told to all as seeds.
    pub fn start(seed: u64, count: usize, seeds: &[usize]) -> Fleet {
        let ips: Vec<IpAddr> = (0..count).map(|_| own_address()).collect();
        let fronts: Vec<SocketAddr> = ips.iter().map(|ip| (*ip, FRONT).into()).collect();
        let wires = Arc::new(Wires {
            links: Mutex::default(),
            turn: watch::channel(0).0,
            age: AtomicU64::new(0),
            random: Mutex::new(StdRng::seed_from_u64(seed)),
            bytes: (0..count).map(|_| AtomicU64::new(0)).collect(),
            members: ips.iter().enumerate().map(|(n, ip)| (*ip, n)).collect(),
        });
        let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
        let runtime = runtime.expect("a runtime");
        for (to, ip) in ips.iter().enumerate() {
            let sockets =
                async { (UdpSocket::bind((*ip, FRONT)).await, TcpListener::bind((*ip, FRONT)).await) };
            let (Ok(udp), Ok(tcp)) = runtime.block_on(sockets) else { panic!("{ip}: its front") };
            runtime.spawn(datagrams(wires.clone(), to, udp, (*ip, REAL).into()));
            runtime.spawn(connections(wires.clone(), to, tcp, (*ip, REAL).into()));
        }
        let authority = Authority::new();
        let disco = discovery(list(1, &[]));
        let mut fleet = Fleet {
            seed,
            members: Vec::new(),
            fronts,
            wires,
            past: Vec::new(),
            deeds: Vec::new(),
            authority,
            disco,
            _runtime: runtime,
        };
        let seeds: Vec<SocketAddr> = seeds.iter().map(|n| fleet.fronts[*n]).collect();
        for (n, ip) in ips.iter().enumerate() {
            let name = format!("n{n}");
            fleet.authority.write(&name, false);
            let mut flags = fleet.authority.flags(&name, (*ip, REAL).into(), &seeds);
            flags.push(format!("--neighbours-advertise={}", fleet.fronts[n]));
            flags.push(format!("--neighbours-size={count}"));
            // The view is read from the log.
            flags.push("--log-burst=0".into());
            let listen = Some((*ip, CLIENTS).into());
            let setup = Setup { flags, listen, ..setup(&fleet.disco, list(1, &[])) };
            fleet.members.push(setup.start_anyhow());
        }
        fleet.members.iter().for_each(|m| drop(m.wait_log("ready:")));
        fleet
    }

    fn did(&mut self, of: usize, text: &str) -> f64 {
        let at = now();
        self.deeds.push(Word { at, of, text: format!("RIG {text}") });
        at
    }

    // ---- The network.

    /// Sets all links from one side to the other, one way.
    pub fn set(&mut self, from: &[usize], to: &[usize], link: Link) -> f64 {
        for a in from {
            for b in to.iter().filter(|b| *b != a) {
                lock(&self.wires.links).insert((*a, *b), link);
            }
        }
        self.wires.turn.send_modify(|t| *t += 1);
        self.did(from[0], &format!("{from:?} to {to:?}: {link:?}"))
    }

    /// Both ways between two sides.
    pub fn cut(&mut self, one: &[usize], other: &[usize]) -> f64 {
        let link = Link { cut: true, ..Link::default() };
        self.set(one, other, link);
        self.set(other, one, link)
    }

    /// All links are well again.
    pub fn heal(&mut self) -> f64 {
        lock(&self.wires.links).clear();
        self.wires.turn.send_modify(|t| *t += 1);
        self.did(0, "all links are well")
    }

    /// Resets all connections that stand.
    pub fn reset(&mut self) -> f64 {
        self.wires.age.fetch_add(1, Ordering::SeqCst);
        self.wires.turn.send_modify(|t| *t += 1);
        self.did(0, "all connections are reset")
    }

    /// Bytes of datagrams that have reached a member.
    pub fn bytes(&self, of: usize) -> u64 {
        self.wires.bytes[of].load(Ordering::Relaxed)
    }

    /// Where a member itself listens: for those that are no members, which pass no relay.
    pub fn real(&self, of: usize) -> SocketAddr {
        (self.fronts[of].ip(), REAL).into()
    }

    /// Flags that name the certificate of one that asks.
    pub fn papers(&self) -> Vec<String> {
        self.authority.write("asks", false);
        let flags = self.authority.flags("asks", self.fronts[0], &[]);
        flags.into_iter().filter(|f| !f.starts_with("--name") && !f.contains("-listen")).collect()
    }

    // ---- The processes.

    fn keep_log(&mut self, of: usize) {
        self.past.extend(words(of, &self.members[of].log()));
    }

    pub fn kill(&mut self, of: usize) -> f64 {
        let at = self.did(of, "SIGKILL");
        self.members[of].kill();
        at
    }

    pub fn terminate(&mut self, of: usize) -> f64 {
        let at = self.did(of, "SIGTERM");
        self.members[of].terminate();
        at
    }

    pub fn stop(&mut self, of: usize) -> f64 {
        let at = self.did(of, "SIGSTOP");
        self.members[of].signal("-STOP");
        at
    }

    pub fn go_on(&mut self, of: usize) -> f64 {
        let at = self.did(of, "SIGCONT");
        self.members[of].signal("-CONT");
        at
    }

    /// Starts one that has ended.
    pub fn start_again(&mut self, of: usize, empty: bool) -> f64 {
        self.keep_log(of);
        let state = self.members[of].folder.join("state");
        if empty {
            std::fs::remove_dir_all(&state).expect("its folder");
            std::fs::create_dir_all(&state).expect("its folder");
        }
        let at = self.did(of, if empty { "starts with an empty folder" } else { "starts" });
        self.members[of].launch_again();
        at
    }

    /// CPU that a member's process has used, in seconds.
    pub fn cpu(&self, of: usize) -> f64 {
        let stat =
            std::fs::read_to_string(format!("/proc/{}/stat", self.members[of].pid())).expect("it runs");
        let fields = stat.rsplit(')').next().unwrap_or_default().split_whitespace();
        let ticks: u64 = fields.skip(11).take(2).filter_map(|f| f.parse::<u64>().ok()).sum();
        // The kernel tells clock ticks to programs as hundredths of a second.
        ticks as f64 / 100.0
    }

    // ---- What is seen.

    /// Whom a member takes to be there, and since when its view stands so.
    pub fn view(&self, of: usize) -> (BTreeSet<String>, f64) {
        let (mut there, mut since) = (BTreeSet::new(), 0.0);
        for word in words(of, &self.members[of].log()) {
            let Some((what, name)) = word.text.split_once(" neighbour=") else { continue };
            let name = name.split(' ').next().unwrap_or_default().to_string();
            let changed = match what.rsplit(": ").next().unwrap_or_default() {
                "neighbour is there" | "neighbour started anew" => there.insert(name),
                "neighbour is gone" => there.remove(&name),
                _ => false,
            };
            since = if changed { word.at } else { since };
        }
        (there, since)
    }

    /// Waits until these see just each other: when the last of them did; none if not all do in that time.
    pub fn agree(&self, among: &[usize], within: Duration) -> Option<f64> {
        let until = Instant::now() + within;
        loop {
            let seen: Vec<(BTreeSet<String>, f64)> = among.iter().map(|n| self.view(*n)).collect();
            let good = |(n, view): (&usize, &(BTreeSet<String>, f64))| {
                let others = among.iter().filter(|o| *o != n).map(|o| format!("n{o}"));
                view.0 == others.collect()
            };
            if among.iter().zip(&seen).all(good) {
                return seen.iter().map(|v| v.1).max_by(f64::total_cmp);
            }
            if Instant::now() >= until {
                return None;
            }
            std::thread::sleep(LOOK);
        }
    }

    /// All that happened, of all processes and of the rig, by time; for a test that fails.
    pub fn timeline(&self) -> String {
        let logs = self.members.iter().enumerate().flat_map(|(n, m)| words(n, &m.log()));
        let mut all: Vec<Word> =
            logs.chain(self.past.iter().cloned()).chain(self.deeds.iter().cloned()).collect();
        all.sort_by(|a, b| a.at.total_cmp(&b.at));
        let began = all.first().map_or(0.0, |w| w.at);
        let line = |w: &Word| format!("{:9.3} n{:<3} {}\n", w.at - began, w.of, w.text);
        let lines = all.iter().filter(|w| w.text.contains("neighbour") || w.text.starts_with("RIG"));
        format!("seed {}\n{}", self.seed, lines.map(line).collect::<String>())
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("{}", self.timeline());
        }
        // One that stands still does not hear that it is to end.
        for member in &self.members {
            // Some have ended: nothing is asked of the answer.
            let words = ["-CONT".to_string(), member.pid().to_string()];
            let _ =
                std::process::Command::new("kill").args(words).stderr(std::process::Stdio::null()).status();
        }
    }
}

fn words(of: usize, log: &str) -> Vec<Word> {
    let word = |line: &str| {
        let (stamp, text) = line.split_once(' ')?;
        Some(Word { at: stamp.parse().ok()?, of, text: text.to_string() })
    };
    log.lines().filter_map(word).collect()
}
