//! Relays between the members of a test fleet: one for datagrams and one for connections to each member, and a link with
//! its own faults for each ordered pair of members.
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::{watch, Semaphore};

/// Connections that a relay holds at a time.
const MAX_CONNECTIONS: usize = 256;
/// Longest datagram that a relay passes on, in bytes.
const MAX_DATAGRAM_BYTES: usize = 64 * 1024;
/// Bytes of a connection that are passed on at once.
const CHUNK_BYTES: usize = 16 * 1024;

/// What a link does to traffic in one direction.
#[derive(Clone, Copy, Debug, Default)]
pub struct Link {
    /// Nothing passes: datagrams are lost, established connections stay silent, new ones are not completed.
    pub cut: bool,
    /// Share of datagrams that are lost.
    pub lost: f64,
    /// Share of the remaining datagrams that are duplicated.
    pub doubled: f64,
    /// Delay in milliseconds.
    pub delay_ms: u64,
    /// Largest random addition to the delay, in milliseconds: different delays reorder datagrams.
    pub jitter_ms: u64,
    /// Bytes that connections may still pass in total; the one that exceeds it is reset, wherever it is in a frame.
    pub bytes_left: Option<u64>,
}

/// A direction between two members, by their indices.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Direction {
    pub from: usize,
    pub to: usize,
}

impl Direction {
    fn reversed(self) -> Direction {
        Direction { from: self.to, to: self.from }
    }
}

/// All links of a fleet.
pub struct Network {
    links: Mutex<BTreeMap<Direction, Link>>,
    /// Rises with each change, which wakes up connections that wait on a cut link.
    changes: watch::Sender<u64>,
    /// Connections of an earlier generation are reset.
    generation: AtomicU64,
    random: Mutex<StdRng>,
    /// Bytes of datagrams that reached each member.
    received_bytes: Vec<AtomicU64>,
    /// Members by the address that they send from.
    members: BTreeMap<IpAddr, usize>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Network {
    pub fn new(random_seed: u64, members: &[IpAddr]) -> Network {
        Network {
            links: Mutex::default(),
            changes: watch::channel(0).0,
            generation: AtomicU64::new(0),
            random: Mutex::new(StdRng::seed_from_u64(random_seed)),
            received_bytes: members.iter().map(|_| AtomicU64::new(0)).collect(),
            members: members.iter().enumerate().map(|(index, ip)| (*ip, index)).collect(),
        }
    }

    /// Sets the link of each direction.
    pub fn set(&self, directions: impl IntoIterator<Item = Direction>, link: Link) {
        lock(&self.links).extend(directions.into_iter().map(|direction| (direction, link)));
        self.notify();
    }

    /// Removes all faults.
    pub fn heal(&self) {
        lock(&self.links).clear();
        self.notify();
    }

    /// Resets all established connections.
    pub fn reset_connections(&self) {
        self.generation.fetch_add(1, Ordering::SeqCst);
        self.notify();
    }

    /// Bytes of datagrams that reached a member.
    pub fn received_bytes(&self, member: usize) -> u64 {
        self.received_bytes[member].load(Ordering::Relaxed)
    }

    fn notify(&self) {
        self.changes.send_modify(|count| *count += 1);
    }

    fn link(&self, direction: Direction) -> Link {
        lock(&self.links).get(&direction).copied().unwrap_or_default()
    }

    fn generation(&self) -> u64 {
        self.generation.load(Ordering::SeqCst)
    }

    fn delay(&self, link: &Link) -> Duration {
        let jitter_ms = match link.jitter_ms {
            0 => 0,
            most => lock(&self.random).random_range(0..=most),
        };
        Duration::from_millis(link.delay_ms + jitter_ms)
    }

    /// How many times a datagram arrives.
    fn copies(&self, link: &Link) -> usize {
        let mut random = lock(&self.random);
        if link.cut || random.random_bool(link.lost) {
            return 0;
        }
        1 + usize::from(random.random_bool(link.doubled))
    }

    /// Takes bytes of a connection from the link's budget; false if it is exceeded.
    fn spend(&self, direction: Direction, bytes: u64) -> bool {
        let mut links = lock(&self.links);
        let Some(left) = links.get_mut(&direction).and_then(|link| link.bytes_left.as_mut()) else {
            return true;
        };
        let is_within = *left >= bytes;
        *left = left.saturating_sub(bytes);
        is_within
    }

    /// Waits while a link is cut, unless its connections are reset meanwhile.
    async fn wait_while_cut(&self, direction: Direction, generation: u64) {
        let mut changes = self.changes.subscribe();
        while self.link(direction).cut && self.generation() == generation {
            if changes.changed().await.is_err() {
                return;
            }
        }
    }
}

/// Relays datagrams to one member.
pub async fn relay_datagrams(network: Arc<Network>, to: usize, front: UdpSocket, target: SocketAddr) {
    let front = Arc::new(front);
    let mut bytes = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((size, sender)) = front.recv_from(&mut bytes).await else { continue };
        let Some(from) = network.members.get(&sender.ip()).copied() else { continue };
        let link = network.link(Direction { from, to });
        for _ in 0..network.copies(&link) {
            let delay = network.delay(&link);
            let network = network.clone();
            let front = front.clone();
            let datagram = bytes[..size].to_vec();
            tokio::spawn(async move {
                tokio::time::sleep(delay).await;
                network.received_bytes[to].fetch_add(datagram.len() as u64, Ordering::Relaxed);
                // A member that is down receives nothing.
                let _ = front.send_to(&datagram, target).await;
            });
        }
    }
}

/// Relays connections to one member.
pub async fn relay_connections(network: Arc<Network>, to: usize, front: TcpListener, target: SocketAddr) {
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let Ok((socket, sender)) = front.accept().await else { continue };
        let Some(from) = network.members.get(&sender.ip()).copied() else { continue };
        let Ok(permit) = permits.clone().try_acquire_owned() else { continue };
        let network = network.clone();
        tokio::spawn(async move {
            relay_connection(&network, Direction { from, to }, socket, target).await;
            drop(permit);
        });
    }
}

async fn relay_connection(network: &Network, direction: Direction, near: TcpStream, target: SocketAddr) {
    let generation = network.generation();
    // As on a cut line: the connection is established, and nothing comes.
    network.wait_while_cut(direction, generation).await;
    let Ok(far) = TcpStream::connect(target).await else { return };
    let _ = near.set_nodelay(true);
    let _ = far.set_nodelay(true);
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    // The end of one direction drops both, which resets what is left.
    tokio::select! {
        () = copy(network, direction, generation, near_read, far_write) => {}
        () = copy(network, direction.reversed(), generation, far_read, near_write) => {}
    }
}

async fn copy(
    network: &Network, direction: Direction, generation: u64, mut source: OwnedReadHalf,
    mut sink: OwnedWriteHalf,
) {
    let mut changes = network.changes.subscribe();
    let mut bytes = vec![0; CHUNK_BYTES];
    loop {
        let read = tokio::select! {
            read = source.read(&mut bytes) => read,
            _ = changes.changed() => match network.generation() == generation {
                true => continue,
                false => return,
            },
        };
        let Some(size) = read.ok().filter(|size| *size > 0) else { return };
        network.wait_while_cut(direction, generation).await;
        tokio::time::sleep(network.delay(&network.link(direction))).await;
        if network.generation() != generation || !network.spend(direction, size as u64) {
            return;
        }
        if sink.write_all(&bytes[..size]).await.is_err() {
            return;
        }
    }
}
