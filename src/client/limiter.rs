//! Limits the number of client connections. While the limit is reached and a new client waits, the connection that is
//! least likely to carry a request is evicted.
use super::head::HeadScanner;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{timeout, Instant};

/// How long a connection that has carried a request stands idle before it may be evicted.
const EVICT_IDLE_AFTER: Duration = Duration::from_secs(2);
/// How long a connection may stay without a first byte before it may be evicted: a client with a request sends it at
/// once.
const EVICT_SILENT_AFTER: Duration = Duration::from_millis(100);
/// How long a connection may stop in the middle of a head before it may be evicted: a client waits 400 ms for its
/// response and gives up after that.
const EVICT_PARTIAL_HEAD_AFTER: Duration = Duration::from_millis(500);
/// Share of the limit beyond which responses close their connections.
const CROWDED_SHARE: f64 = 0.75;
/// How often a connection is evicted while the limit is reached.
const EVICTION_INTERVAL: Duration = Duration::from_millis(10);

/// What a client connection is doing. The order is that in which connections are evicted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Phase {
    /// Its permit is there, and the connection is still to be accepted.
    Reserved,
    /// Between two requests.
    Idle,
    /// No byte has arrived yet.
    Connected,
    /// Part of a request head has arrived.
    ReadingHead,
    /// A request is being read or handled.
    InRequest,
    /// Being closed: no further request is read from it.
    Closing,
}

impl Phase {
    /// How long a connection has to be in this phase before it may be evicted; `None`: it may not.
    fn evictable_after(self) -> Option<Duration> {
        match self {
            Phase::Idle => Some(EVICT_IDLE_AFTER),
            Phase::Connected => Some(EVICT_SILENT_AFTER),
            Phase::ReadingHead => Some(EVICT_PARTIAL_HEAD_AFTER),
            Phase::Reserved | Phase::InRequest | Phase::Closing => None,
        }
    }
}

/// One client connection, as seen by its own task and by the limiter.
pub(super) struct ConnectionState {
    phase: Mutex<(Phase, Instant)>,
    head: Mutex<HeadScanner>,
    evicted: Notify,
    phase_changed: Notify,
}

impl ConnectionState {
    fn new() -> ConnectionState {
        ConnectionState {
            phase: Mutex::new((Phase::Connected, Instant::now())),
            head: Mutex::default(),
            evicted: Notify::new(),
            phase_changed: Notify::new(),
        }
    }

    pub(super) fn phase(&self) -> Phase {
        lock(&self.phase).0
    }

    pub(super) fn head(&self) -> MutexGuard<'_, HeadScanner> {
        lock(&self.head)
    }

    /// Enters a phase. `Closing` is final.
    pub(super) fn enter(&self, next: Phase) {
        let mut phase = lock(&self.phase);
        if phase.0 == Phase::Closing {
            return;
        }
        if (phase.0, next) == (Phase::InRequest, Phase::Closing) {
            // Either the client left, or this process closed a connection that it must not close.
            log::debug!("client connection: ended under a request");
        }
        *phase = (next, Instant::now());
        self.phase_changed.notify_one();
    }

    /// Bytes have arrived from the client.
    pub(super) fn bytes_read(&self, bytes: &[u8]) {
        let mut head = self.head();
        head.scan(bytes);
        let phase = self.phase();
        if head.is_partial() && matches!(phase, Phase::Idle | Phase::Connected) {
            self.enter(Phase::ReadingHead);
        }
    }

    /// Bytes of a response were sent: the connection has only been idle since now.
    pub(super) fn bytes_written(&self) {
        let mut phase = lock(&self.phase);
        if phase.0 == Phase::Idle {
            phase.1 = Instant::now();
        }
    }

    /// Evicts the connection: no further request is read from it.
    pub(super) fn evict(&self) {
        self.enter(Phase::Closing);
        self.evicted.notify_one();
    }

    /// Waits until the limiter evicts this connection.
    pub(super) async fn evicted(&self) {
        self.evicted.notified().await;
    }

    /// Waits until the connection is neither expecting a first request nor in the middle of a head.
    pub(super) async fn head_settled(&self) {
        while matches!(self.phase(), Phase::Connected | Phase::ReadingHead) {
            self.phase_changed.notified().await;
        }
    }

    /// The connection's rank among those that may be evicted, lowest first; `None`: it may not be evicted yet.
    fn eviction_rank(&self) -> Option<(Phase, Instant)> {
        let (phase, since) = *lock(&self.phase);
        let allowed = phase.evictable_after()?;
        (since.elapsed() >= allowed).then_some((phase, since))
    }
}

/// The open connections, by the ids of their permits.
#[derive(Default)]
struct OpenConnections {
    last_id: u64,
    by_id: BTreeMap<u64, Arc<ConnectionState>>,
}

/// All client connections of the process, over all listeners.
pub struct ConnectionLimiter {
    limit: usize,
    open: Mutex<OpenConnections>,
    released: Notify,
}

impl ConnectionLimiter {
    /// A limiter for `limit` connections, at least one.
    pub fn new(limit: usize) -> Arc<ConnectionLimiter> {
        Arc::new(ConnectionLimiter { limit: limit.max(1), open: Mutex::default(), released: Notify::new() })
    }

    /// Waits for a permit and evicts connections that carry no request meanwhile. Guards the file descriptors against
    /// clients that connect and send nothing.
    pub async fn acquire(self: &Arc<ConnectionLimiter>) -> ConnectionPermit {
        loop {
            if let Some(permit) = self.try_acquire() {
                return permit;
            }
            if let Some(connection) = self.eviction_candidate() {
                connection.evict();
            }
            let _ = timeout(EVICTION_INTERVAL, self.released.notified()).await;
        }
    }

    fn try_acquire(self: &Arc<ConnectionLimiter>) -> Option<ConnectionPermit> {
        let mut open = lock(&self.open);
        if open.by_id.len() >= self.limit {
            return None;
        }
        open.last_id += 1;
        let id = open.last_id;
        let state = Arc::new(ConnectionState::new());
        open.by_id.insert(id, state.clone());
        Some(ConnectionPermit { id, state, limiter: self.clone() })
    }

    fn eviction_candidate(&self) -> Option<Arc<ConnectionState>> {
        let open = lock(&self.open);
        let ranked = open.by_id.values().filter_map(|state| Some((state.eviction_rank()?, state)));
        ranked.min_by_key(|(rank, _)| *rank).map(|(_, state)| state.clone())
    }

    /// Whether idle connections would soon block new ones. They may not be evicted for 2 s, but a response may say that
    /// it is the last one on its connection (RFC 9112, section 9.6).
    pub(super) fn is_crowded(&self) -> bool {
        lock(&self.open).by_id.len() as f64 > self.limit as f64 * CROWDED_SHARE
    }

    /// Whether client connections are open.
    pub fn has_connections(&self) -> bool {
        lock(&self.open).by_id.values().any(|state| state.phase() != Phase::Reserved)
    }

    /// Returns when no client connection is open.
    pub async fn all_closed(&self) {
        while !lock(&self.open).by_id.is_empty() {
            self.released.notified().await;
        }
    }
}

/// The permit of one connection, released when it is dropped.
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
        lock(&self.limiter.open).by_id.remove(&self.id);
        self.limiter.released.notify_one();
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
