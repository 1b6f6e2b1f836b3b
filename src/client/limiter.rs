//! Limits the number of client connections. While a new client waits at the limit, the limiter evicts the connections that
//! are least likely to carry a request.
use super::head::HeadScanner;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{timeout, Instant};

/// Idle time after which a connection that has carried a request may be evicted.
const EVICT_IDLE_AFTER: Duration = Duration::from_secs(2);
/// Time after which a connection on which no byte has arrived may be evicted. A client sends its request as soon as it is
/// connected.
const EVICT_SILENT_AFTER: Duration = Duration::from_millis(100);
/// Time after which a connection on which only part of a head has arrived may be evicted. Longer than the 400 ms that a
/// client waits for its response.
const EVICT_PARTIAL_HEAD_AFTER: Duration = Duration::from_millis(500);
/// Time after which a connection whose request's body has not arrived may be evicted. A client sends its body at full speed, and the
/// request is rejected, so that the client may repeat it.
const EVICT_PARTIAL_BODY_AFTER: Duration = Duration::from_millis(200);
/// Share of the limit above which each response closes its connection.
const NEARLY_FULL_SHARE: f64 = 0.75;
/// How long a new connection waits for a released permit before another connection is evicted.
const EVICTION_INTERVAL: Duration = Duration::from_millis(2);

/// The phase of a client connection. The variants are in the order of eviction.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Phase {
    /// A permit is held, but no connection is accepted yet.
    Reserved,
    /// Between two requests of the connection.
    Idle,
    /// No byte has arrived yet.
    Connected,
    /// Part of a request head has arrived.
    ReadingHead,
    /// A request is being read or handled.
    InRequest,
    /// Being closed: no further request is read from the connection.
    Closing,
}

impl Phase {
    /// Returns how long a connection must be in this phase before it may be evicted; `None` if it may never be.
    fn evictable_after(self) -> Option<Duration> {
        match self {
            Phase::Idle => Some(EVICT_IDLE_AFTER),
            Phase::Connected => Some(EVICT_SILENT_AFTER),
            Phase::ReadingHead => Some(EVICT_PARTIAL_HEAD_AFTER),
            Phase::Reserved | Phase::InRequest | Phase::Closing => None,
        }
    }
}

/// The state of one client connection, shared by its task and the limiter.
pub(super) struct ConnectionState {
    /// The phase, and since when the connection has been in it.
    phase: Mutex<(Phase, Instant)>,
    head: Mutex<HeadScanner>,
    /// Bytes received since the last response.
    request_bytes: AtomicUsize,
    evicted: Notify,
    /// Since when the body of the current request is being read.
    body_since: Mutex<Option<Instant>>,
    /// Bytes of that body, without the framing of its chunks.
    body_bytes: AtomicUsize,
    body_evicted: Notify,
    /// Whether the connection was evicted in the middle of a head, which has no response that a reset could lose.
    is_head_dropped: AtomicBool,
    phase_changed: Notify,
}

impl ConnectionState {
    fn new() -> ConnectionState {
        ConnectionState {
            phase: Mutex::new((Phase::Connected, Instant::now())),
            head: Mutex::default(),
            request_bytes: AtomicUsize::new(0),
            evicted: Notify::new(),
            body_since: Mutex::default(),
            body_bytes: AtomicUsize::new(0),
            body_evicted: Notify::new(),
            is_head_dropped: AtomicBool::new(false),
            phase_changed: Notify::new(),
        }
    }

    pub(super) fn phase(&self) -> Phase {
        lock(&self.phase).0
    }

    pub(super) fn head(&self) -> MutexGuard<'_, HeadScanner> {
        lock(&self.head)
    }

    /// Enters a phase. `Closing` is final: later calls have no effect.
    pub(super) fn enter(&self, next: Phase) {
        let mut phase = lock(&self.phase);
        if phase.0 == Phase::Closing {
            return;
        }
        if (phase.0, next) == (Phase::InRequest, Phase::Closing) {
            // Either the client disconnected, or this process wrongly closed the connection.
            log::debug!("client connection: closed during a request");
        }
        if phase.0 == Phase::InRequest {
            self.request_bytes.store(0, Relaxed);
        }
        *phase = (next, Instant::now());
        self.phase_changed.notify_one();
    }

    /// Records bytes that were read from the client.
    pub(super) fn bytes_read(&self, bytes: &[u8]) {
        self.request_bytes.fetch_add(bytes.len(), Relaxed);
        let mut head = self.head();
        head.scan(bytes);
        let phase = self.phase();
        if head.is_partial() && matches!(phase, Phase::Idle | Phase::Connected) {
            self.enter(Phase::ReadingHead);
        }
    }

    /// Records that bytes of a response were written: an idle connection's idle time restarts.
    pub(super) fn bytes_written(&self) {
        let mut phase = lock(&self.phase);
        if phase.0 == Phase::Idle {
            phase.1 = Instant::now();
        }
    }

    /// Evicts the connection: its task reads no further request and closes it. A request whose body is being read is rejected first.
    pub(super) fn evict(&self) {
        let (phase, since) = *lock(&self.phase);
        let for_ms = since.elapsed().as_millis() as u64;
        let bytes = self.request_bytes.load(Relaxed);
        log::info!(phase:?, for_ms, bytes; "client connection evicted for a new one");
        if phase == Phase::InRequest {
            *lock(&self.body_since) = None;
            self.body_evicted.notify_one();
            return;
        }
        self.is_head_dropped.store(phase == Phase::ReadingHead, Relaxed);
        self.enter(Phase::Closing);
        self.evicted.notify_one();
    }

    /// Returns whether the connection is to be closed at once, without waiting for the client's close.
    pub(super) fn is_head_dropped(&self) -> bool {
        self.is_head_dropped.load(Relaxed)
    }

    /// Records that the body of a request is being read from now on.
    pub(super) fn body_started(&self) {
        *lock(&self.body_since) = Some(Instant::now());
        self.body_bytes.store(0, Relaxed);
    }

    /// Records a piece of the body.
    pub(super) fn body_read(&self, length: usize) {
        self.body_bytes.fetch_add(length, Relaxed);
    }

    /// Returns the bytes of the current request's body that were read, without the framing of its chunks.
    pub(super) fn body_bytes(&self) -> usize {
        self.body_bytes.load(Relaxed)
    }

    /// Records that the body of a request is complete, or is read no further.
    pub(super) fn body_ended(&self) {
        *lock(&self.body_since) = None;
    }

    /// Waits until the limiter evicts the request whose body is being read.
    pub(super) async fn body_evicted(&self) {
        self.body_evicted.notified().await;
    }

    /// Waits until the limiter evicts this connection.
    pub(super) async fn evicted(&self) {
        self.evicted.notified().await;
    }

    /// Waits until the phase is neither `Connected` nor `ReadingHead`, so that no request head is expected or partly read.
    pub(super) async fn no_head_pending(&self) {
        while matches!(self.phase(), Phase::Connected | Phase::ReadingHead) {
            self.phase_changed.notified().await;
        }
    }

    /// Returns the connection's rank in the order of eviction, lowest first; `None` if it may not be evicted now.
    fn eviction_rank(&self) -> Option<(Phase, Instant)> {
        let (phase, since) = *lock(&self.phase);
        if phase == Phase::InRequest {
            let since = (*lock(&self.body_since))?;
            return (since.elapsed() >= EVICT_PARTIAL_BODY_AFTER).then_some((phase, since));
        }
        let evictable_after = phase.evictable_after()?;
        (since.elapsed() >= evictable_after).then_some((phase, since))
    }
}

/// What the client connections of the process hold.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConnectionUsage {
    /// Number of open connections.
    pub connections: usize,
    /// Number of those on which a request is being read or handled.
    pub in_request: usize,
    /// Bytes received on all of them since the last response of each.
    pub request_bytes: usize,
}

/// What a connection of a front takes of the limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionShare {
    /// The most memory that it takes, with the request that is read on it, in bytes.
    pub connection_bytes: u64,
    /// The part of both limits that all connections of the front together may take, as a divisor.
    pub limit_divisor: u64,
}

/// An open connection.
struct OpenConnection {
    state: Arc<ConnectionState>,
    share: ConnectionShare,
}

/// Number of connections, and the memory that they may take.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Load {
    connections: u64,
    bytes: u64,
}

impl Load {
    fn add(&mut self, share: ConnectionShare) {
        self.connections += 1;
        self.bytes += share.connection_bytes;
    }

    fn remove(&mut self, share: ConnectionShare) {
        self.connections -= 1;
        self.bytes -= share.connection_bytes;
    }

    /// Returns whether one more connection stays within a part of the limit. The first one always does.
    fn has_room(mut self, share: ConnectionShare, limit: Load, divisor: u64) -> bool {
        self.add(share);
        self.connections == 1
            || (self.connections <= limit.connections / divisor && self.bytes <= limit.bytes / divisor)
    }
}

/// The open connections, by the ids of their permits, and their loads.
#[derive(Default)]
struct OpenConnections {
    last_id: u64,
    by_id: BTreeMap<u64, OpenConnection>,
    all: Load,
    /// The load of each front, by the share of its connections.
    fronts: Vec<(ConnectionShare, Load)>,
}

impl OpenConnections {
    fn insert(&mut self, connection: OpenConnection) -> u64 {
        self.last_id += 1;
        self.all.add(connection.share);
        self.front_mut(connection.share).add(connection.share);
        self.by_id.insert(self.last_id, connection);
        self.last_id
    }

    fn remove(&mut self, id: u64) {
        let Some(OpenConnection { share, .. }) = self.by_id.remove(&id) else { return };
        self.all.remove(share);
        self.front_mut(share).remove(share);
    }

    fn front_mut(&mut self, share: ConnectionShare) -> &mut Load {
        let index = self.fronts.iter().position(|(other, _)| *other == share).unwrap_or_else(|| {
            self.fronts.push((share, Load::default()));
            self.fronts.len() - 1
        });
        &mut self.fronts[index].1
    }

    fn front(&self, share: ConnectionShare) -> Load {
        self.fronts.iter().find(|(other, _)| *other == share).map_or_else(Load::default, |(_, load)| *load)
    }
}

/// Limits the client connections of the process, over all listeners, by their number and by the memory that they may take.
pub struct ConnectionLimiter {
    limit: Load,
    open: Mutex<OpenConnections>,
    released: Notify,
}

impl ConnectionLimiter {
    /// Creates a limiter for this number of connections, at least one, that may take `bytes` of memory together.
    pub fn new(connections: u64, bytes: u64) -> Arc<ConnectionLimiter> {
        let limit = Load { connections: connections.max(1), bytes };
        Arc::new(ConnectionLimiter { limit, open: Mutex::default(), released: Notify::new() })
    }

    /// Waits for a permit; while it waits, evicts connections that carry no request. Without evictions, clients that connect
    /// and send nothing could use up the permits.
    pub async fn acquire(self: &Arc<ConnectionLimiter>, share: ConnectionShare) -> ConnectionPermit {
        loop {
            if let Some(permit) = self.try_acquire(share) {
                return permit;
            }
            if let Some(connection) = self.eviction_candidate(share) {
                connection.evict();
            }
            let _ = timeout(EVICTION_INTERVAL, self.released.notified()).await;
        }
    }

    fn try_acquire(self: &Arc<ConnectionLimiter>, share: ConnectionShare) -> Option<ConnectionPermit> {
        let mut open = lock(&self.open);
        if !open.all.has_room(share, self.limit, 1) || !self.front_has_room(&open, share) {
            return None;
        }
        let state = Arc::new(ConnectionState::new());
        let id = open.insert(OpenConnection { state: state.clone(), share });
        Some(ConnectionPermit { id, state, limiter: self.clone() })
    }

    fn front_has_room(&self, open: &OpenConnections, share: ConnectionShare) -> bool {
        open.front(share).has_room(share, self.limit, share.limit_divisor)
    }

    /// Returns the connection to evict for one of this share: any, or one of the same front if that front has used up its part.
    fn eviction_candidate(&self, share: ConnectionShare) -> Option<Arc<ConnectionState>> {
        let open = lock(&self.open);
        let any_front = self.front_has_room(&open, share);
        let candidates = open.by_id.values().filter(|connection| any_front || connection.share == share);
        let ranked = candidates.filter_map(|connection| {
            let rank = connection.state.eviction_rank()?;
            Some((rank, &connection.state))
        });
        ranked.min_by_key(|(rank, _)| *rank).map(|(_, state)| state.clone())
    }

    /// Returns whether the number of connections is close to the limit, so that idle connections would soon block new ones:
    /// an idle connection may be evicted only after 2 s. A response can close its connection earlier with `Connection: close`
    /// (RFC 9112, section 9.6).
    pub(super) fn is_nearly_full(&self) -> bool {
        let Load { connections, bytes } = lock(&self.open).all;
        let exceeds_share = |used: u64, limit: u64| used as f64 > limit as f64 * NEARLY_FULL_SHARE;
        exceeds_share(connections, self.limit.connections) || exceeds_share(bytes, self.limit.bytes)
    }

    /// Returns what the open connections hold.
    pub fn usage(&self) -> ConnectionUsage {
        let mut usage = ConnectionUsage::default();
        let open = lock(&self.open);
        let states = open.by_id.values().map(|connection| &connection.state);
        for state in states.filter(|state| state.phase() != Phase::Reserved) {
            usage.connections += 1;
            usage.in_request += usize::from(state.phase() == Phase::InRequest);
            usage.request_bytes += state.request_bytes.load(Relaxed);
        }
        usage
    }

    /// Returns whether any client connection is open.
    pub fn has_connections(&self) -> bool {
        let open = lock(&self.open);
        open.by_id.values().any(|connection| connection.state.phase() != Phase::Reserved)
    }

    /// Waits until no permit is held, so that no client connection is open.
    pub async fn all_closed(&self) {
        while !lock(&self.open).by_id.is_empty() {
            self.released.notified().await;
        }
    }
}

/// The permit of one connection. Dropping it releases its place in the limit.
pub struct ConnectionPermit {
    id: u64,
    state: Arc<ConnectionState>,
    limiter: Arc<ConnectionLimiter>,
}

impl ConnectionPermit {
    pub(super) fn state(&self) -> &Arc<ConnectionState> {
        &self.state
    }

    pub(super) fn limiter(&self) -> &Arc<ConnectionLimiter> {
        &self.limiter
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.state.enter(Phase::Closing);
        lock(&self.limiter.open).remove(self.id);
        self.limiter.released.notify_one();
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
