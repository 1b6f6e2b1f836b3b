//! Follows the endpoint list. Keeps one watch open; when the watch falls silent, opens further watches in parallel and keeps the
//! first one that receives data. Does not depend on how the list is used. A [`Connector`] opens the connections, so that tests
//! can replace them.
use super::list_parser::{ListParser, ListTooLong, WatchEvent};
use super::timing::{Pollers, POLL_INTERVAL, POLL_TIMEOUT, SHARED_PROBE_DELAY, SILENCE_TIMEOUT};
use crate::backoff::Backoff;
use crate::settings::EndpointListUpdate;
use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::future::Future;
use std::io;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::{JoinError, JoinSet};
use tokio::time::{sleep_until, timeout, timeout_at, Instant};

/// The failure of a poll or of an open watch. The watcher retries after each failure.
#[derive(Debug, thiserror::Error)]
pub(super) enum WatchError {
    /// The connection to discovery cannot be established.
    #[error("cannot connect: {0}; check that discovery runs at the configured address")]
    Connect(#[from] io::Error),
    /// The response is not HTTP, or the connection broke.
    #[error("the connection failed: {0}")]
    Http(#[from] hyper::Error),
    /// The address cannot be used in a request.
    #[error("invalid address: {0}; check the setting \"discovery\"")]
    Address(#[from] hyper::http::Error),
    /// Discovery responded with a status other than 200.
    #[error("the watch request was answered with status {0}")]
    Status(StatusCode),
    /// The response body ended.
    #[error("discovery ended the watch")]
    Ended,
    /// A poll received no list or keep-alive in time.
    #[error("a poll timed out without a response")]
    TimedOut,
    /// The response contains a value that is too long for a list.
    #[error(transparent)]
    TooLong(#[from] ListTooLong),
    /// The connection was not established within [`POLL_TIMEOUT`].
    #[error("the connect timed out; check that discovery is reachable at the configured address")]
    ConnectTimedOut,
    /// The task of the poll panicked.
    #[error("the poll task failed: {0}")]
    Task(#[from] JoinError),
}

/// Opens connections to discovery.
pub(super) trait Connector: Clone + Send + Sync + 'static {
    /// The type of a connection.
    type Stream: AsyncRead + AsyncWrite + Unpin + Send + 'static;
    /// Opens a connection to this address.
    fn connect(&self, address: &str) -> impl Future<Output = io::Result<Self::Stream>> + Send;
}

/// Opens TCP connections.
#[derive(Clone)]
pub(super) struct TcpConnector;

impl Connector for TcpConnector {
    type Stream = TcpStream;

    async fn connect(&self, address: &str) -> io::Result<TcpStream> {
        TcpStream::connect(address).await
    }
}

/// The initial state of a watcher.
pub(super) struct WatchStart {
    /// The version of the list in use.
    pub(super) version: u64,
    /// Whether the forwarder can serve from the list in use until the first response.
    pub(super) can_serve: bool,
    /// How many forwarders poll the same server.
    pub(super) pollers: Pollers,
    /// Maximum size of a value that discovery sends, in bytes.
    pub(super) max_list_bytes: usize,
}

/// An event that the watcher reacts to.
enum WatcherEvent {
    AddressChanged,
    Received(WatchEvent),
    Failed(WatchError),
    PollDue,
}

type PollResult = Result<(Watch, WatchEvent), WatchError>;

/// Follows the endpoint list of one discovery address.
pub(super) struct Watcher<C: Connector> {
    connector: C,
    address: watch::Receiver<String>,
    current_address: String,
    version: u64,
    pollers: Pollers,
    max_list_bytes: usize,
    backoff: Backoff,
    watch: Option<Watch>,
    /// Watches that have not received anything yet.
    polls: JoinSet<PollResult>,
    /// The number of those with an established connection.
    connected_polls: ConnectedPolls,
    next_poll_at: Instant,
}

impl<C: Connector> Watcher<C> {
    /// Creates a watcher of the list at `address`, which may change.
    pub(super) fn new(
        connector: C, mut address: watch::Receiver<String>, start: WatchStart, mut backoff: Backoff,
    ) -> Watcher<C> {
        let WatchStart { version, can_serve, pollers, max_list_bytes } = start;
        let current_address = address.borrow_and_update().clone();
        // In a rollout all forwarders start at the same time and would overload a shared discovery server. A forwarder that has
        // a usable list therefore delays its first poll and serves from that list meanwhile.
        let delay = if can_serve { backoff.initial_delay(pollers.max_start_delay()) } else { Duration::ZERO };
        Watcher {
            connector,
            address,
            current_address,
            version,
            pollers,
            max_list_bytes,
            backoff,
            watch: None,
            polls: JoinSet::new(),
            connected_polls: ConnectedPolls::default(),
            next_poll_at: Instant::now() + delay,
        }
    }

    /// Follows the list until the process exits. `apply` takes the address of the server and its update, applies the update and
    /// returns the version in use afterwards, from which each new watch resumes.
    pub(super) async fn run(mut self, mut apply: impl FnMut(&str, EndpointListUpdate) -> u64) {
        loop {
            match self.next_event().await {
                WatcherEvent::AddressChanged => self.handle_address_change(),
                WatcherEvent::PollDue => self.start_poll(),
                WatcherEvent::Failed(error) => self.handle_failure(&error),
                WatcherEvent::Received(event) => {
                    self.handle_received();
                    match event {
                        WatchEvent::KeepAlive => {}
                        WatchEvent::List(update) => self.version = apply(&self.current_address, update),
                    }
                }
            }
        }
    }

    async fn next_event(&mut self) -> WatcherEvent {
        tokio::select! {
            biased;
            Ok(()) = self.address.changed() => WatcherEvent::AddressChanged,
            received = next_watch_event(&mut self.watch) => match received {
                Ok(event) => WatcherEvent::Received(event),
                Err(error) => {
                    self.watch = None;
                    WatcherEvent::Failed(error)
                }
            },
            Some(polled) = self.polls.join_next() => match polled {
                Ok(Ok((watch, event))) => {
                    self.watch = Some(watch);
                    WatcherEvent::Received(event)
                }
                Ok(Err(error)) => WatcherEvent::Failed(error),
                Err(error) => WatcherEvent::Failed(error.into()),
            },
            () = sleep_until(self.next_poll_at) => WatcherEvent::PollDue,
        }
    }

    /// Restarts at the new address from version 0, which requests the complete list. The old server sends no further updates,
    /// and the new one may number its versions differently, so resuming from the version in use could miss updates.
    fn handle_address_change(&mut self) {
        self.current_address = self.address.borrow_and_update().clone();
        self.watch = None;
        self.polls = JoinSet::new();
        self.version = 0;
        self.backoff.reset();
        let delay = self.backoff.initial_delay(self.pollers.max_address_change_delay());
        self.next_poll_at = Instant::now() + delay;
    }

    /// Handles data received on a watch, which shows that the watch works: drops the other polls, resets the backoff and
    /// schedules the next poll for the time at which the watch counts as silent.
    fn handle_received(&mut self) {
        self.polls = JoinSet::new();
        self.backoff.reset();
        self.next_poll_at = Instant::now() + SILENCE_TIMEOUT;
    }

    fn start_poll(&mut self) {
        let is_first_poll = self.polls.is_empty();
        if self.watch.is_some() && is_first_poll {
            log::warn!(
                "discovery: nothing received for {} ms; opening another watch",
                SILENCE_TIMEOUT.as_millis()
            );
        }
        let poll = Poll {
            connector: self.connector.clone(),
            address: self.current_address.clone(),
            after_version: self.version,
            response_timeout: self.pollers.poll_timeout(),
            max_list_bytes: self.max_list_bytes,
            connected_polls: self.connected_polls.clone(),
        };
        // A connected poll without a response indicates a server that is slow because many forwarders poll it. That poll stays
        // open, and further polls follow at increasing intervals.
        let is_slow = self.pollers == Pollers::Many && self.connected_polls.any();
        self.polls.spawn(poll.run());
        let delay = match self.pollers {
            Pollers::One => POLL_INTERVAL,
            // The time of the first poll is already randomized.
            Pollers::Many if is_first_poll => SHARED_PROBE_DELAY,
            Pollers::Many if is_slow => self.backoff.overload_delay(),
            Pollers::Many => self.backoff.probe_delay(SHARED_PROBE_DELAY),
        };
        self.next_poll_at = Instant::now() + delay;
    }

    fn handle_failure(&mut self, error: &WatchError) {
        let delay = self.delay_after(error);
        let pause_ms = delay.as_millis() as u64;
        log::warn!(pause_ms; "discovery: {error}; the next watch resumes from version {}", self.version);
        if self.polls.is_empty() {
            self.next_poll_at = Instant::now() + delay;
        }
    }

    /// Returns the delay before the next poll after a failure. Applies if no other poll is in flight.
    fn delay_after(&mut self, error: &WatchError) -> Duration {
        if self.pollers == Pollers::One {
            return self.backoff.next_delay();
        }
        match error {
            WatchError::Connect(_) | WatchError::ConnectTimedOut => {
                self.backoff.probe_delay(SHARED_PROBE_DELAY)
            }
            WatchError::Status(_) => self.backoff.rejection_delay(SHARED_PROBE_DELAY),
            WatchError::TimedOut => self.backoff.overload_delay(),
            WatchError::Http(_)
            | WatchError::Address(_)
            | WatchError::Ended
            | WatchError::TooLong(_)
            | WatchError::Task(_) => self.backoff.broken_connection_delay(SHARED_PROBE_DELAY),
        }
    }
}

/// The number of polls with an established connection and no response yet.
#[derive(Clone, Default)]
struct ConnectedPolls(Arc<AtomicUsize>);

impl ConnectedPolls {
    fn any(&self) -> bool {
        self.0.load(Ordering::Relaxed) > 0
    }

    fn add(&self) -> ConnectedPoll {
        self.0.fetch_add(1, Ordering::Relaxed);
        ConnectedPoll(self.clone())
    }
}

/// Counts a poll with an established connection until it is dropped.
struct ConnectedPoll(ConnectedPolls);

impl Drop for ConnectedPoll {
    fn drop(&mut self) {
        self.0 .0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// An open watch. Dropping it closes its connection.
struct Watch {
    body: Incoming,
    parser: ListParser,
    _connection: JoinSet<hyper::Result<()>>,
}

/// Returns the next event of the watch. Stays pending if there is no watch.
async fn next_watch_event(watch: &mut Option<Watch>) -> Result<WatchEvent, WatchError> {
    match watch {
        Some(watch) => watch.next().await,
        None => std::future::pending().await,
    }
}

impl Watch {
    async fn next(&mut self) -> Result<WatchEvent, WatchError> {
        loop {
            if let Some(event) = self.parser.next()? {
                return Ok(event);
            }
            let Some(frame) = self.body.frame().await else { return Err(WatchError::Ended) };
            if let Ok(data) = frame?.into_data() {
                self.parser.push(&data);
            }
        }
    }
}

/// A poll, which opens a watch and waits for its first event.
struct Poll<C> {
    connector: C,
    address: String,
    after_version: u64,
    response_timeout: Duration,
    max_list_bytes: usize,
    connected_polls: ConnectedPolls,
}

impl<C: Connector> Poll<C> {
    async fn run(self) -> PollResult {
        let started = Instant::now();
        let connect = timeout(POLL_TIMEOUT, self.connector.connect(&self.address));
        let socket = connect.await.map_err(|_| WatchError::ConnectTimedOut)??;
        let _connected = self.connected_polls.add();
        let first_event = async {
            let mut watch = self.start_watch(socket).await?;
            let event = watch.next().await?;
            Ok((watch, event))
        };
        let response = timeout_at(started + self.response_timeout, first_event);
        response.await.unwrap_or(Err(WatchError::TimedOut))
    }

    async fn start_watch(&self, socket: C::Stream) -> Result<Watch, WatchError> {
        let (mut sender, connection) = http1::handshake(TokioIo::new(socket)).await?;
        let mut connection_task = JoinSet::new();
        connection_task.spawn(connection);
        let request = Request::get(format!("/v1/endpoints?watch=1&after={}", self.after_version))
            .header("host", &self.address)
            .body(Empty::<Bytes>::new())?;
        let response = sender.send_request(request).await?;
        if response.status() != StatusCode::OK {
            return Err(WatchError::Status(response.status()));
        }
        Ok(Watch {
            body: response.into_body(),
            parser: ListParser::new(self.max_list_bytes),
            _connection: connection_task,
        })
    }
}
