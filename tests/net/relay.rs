//! Relays between the members of a test fleet. Each member has one relay for datagrams and one for connections to it, and
//! each ordered pair of members has a link with separately set faults.
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

/// Maximum number of connections that a relay holds at a time.
const MAX_CONNECTIONS: usize = 256;
/// Size of the longest datagram that a relay forwards.
const MAX_DATAGRAM_BYTES: usize = 64 * 1024;
/// Maximum number of bytes of a connection that are forwarded at once.
const CHUNK_BYTES: usize = 16 * 1024;

/// The faults of a link in one direction.
#[derive(Clone, Copy, Debug, Default)]
pub struct Link {
    /// Drops all traffic: datagrams are lost, established connections carry no data, new ones are not completed.
    pub cut: bool,
    /// Share of datagrams that are lost, from 0 to 1.
    pub loss: f64,
    /// Share of the remaining datagrams that are duplicated, from 0 to 1.
    pub duplication: f64,
    /// Delay in milliseconds.
    pub delay_ms: u64,
    /// Maximum random addition to the delay, in milliseconds. Different delays reorder datagrams.
    pub jitter_ms: u64,
    /// Bytes that all connections of the link may still carry. A connection that exceeds the rest is reset, also within a
    /// frame.
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
    /// Counts the changes, and wakes up connections that wait on a cut link.
    changes: watch::Sender<u64>,
    /// Connections that were established in an earlier generation are reset.
    generation: AtomicU64,
    random: Mutex<StdRng>,
    /// Bytes of datagrams that each member received.
    received_bytes: Vec<AtomicU64>,
    /// Index of each member by the address that it sends from.
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

    /// Returns the bytes of datagrams that a member received.
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
            max => lock(&self.random).random_range(0..=max),
        };
        Duration::from_millis(link.delay_ms + jitter_ms)
    }

    /// Draws how many copies of a datagram arrive.
    fn draw_copies(&self, link: &Link) -> usize {
        let mut random = lock(&self.random);
        if link.cut || random.random_bool(link.loss) {
            return 0;
        }
        1 + usize::from(random.random_bool(link.duplication))
    }

    /// Subtracts bytes of a connection from the link's byte limit; returns `false` if they exceed it.
    fn spend(&self, direction: Direction, bytes: u64) -> bool {
        let mut links = lock(&self.links);
        let Some(left) = links.get_mut(&direction).and_then(|link| link.bytes_left.as_mut()) else {
            return true;
        };
        let is_within = *left >= bytes;
        *left = left.saturating_sub(bytes);
        is_within
    }

    /// Waits while a link is cut; returns early if all connections are reset.
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
pub async fn relay_datagrams(network: Arc<Network>, to: usize, socket: UdpSocket, target: SocketAddr) {
    let socket = Arc::new(socket);
    let mut bytes = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((size, sender)) = socket.recv_from(&mut bytes).await else { continue };
        let Some(from) = network.members.get(&sender.ip()).copied() else { continue };
        let link = network.link(Direction { from, to });
        for _ in 0..network.draw_copies(&link) {
            let delay = network.delay(&link);
            let network = network.clone();
            let socket = socket.clone();
            let datagram = bytes[..size].to_vec();
            tokio::spawn(async move {
                tokio::time::sleep(delay).await;
                network.received_bytes[to].fetch_add(datagram.len() as u64, Ordering::Relaxed);
                // Fails while the member is down, which is a lost datagram.
                let _ = socket.send_to(&datagram, target).await;
            });
        }
    }
}

/// Relays connections to one member.
pub async fn relay_connections(network: Arc<Network>, to: usize, listener: TcpListener, target: SocketAddr) {
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let Ok((socket, sender)) = listener.accept().await else { continue };
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
    // The relay has accepted the connection, but carries no data while the link is cut.
    network.wait_while_cut(direction, generation).await;
    let Ok(far) = TcpStream::connect(target).await else { return };
    let _ = near.set_nodelay(true);
    let _ = far.set_nodelay(true);
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    // When one direction ends, both are dropped, which resets the rest of the connection.
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
