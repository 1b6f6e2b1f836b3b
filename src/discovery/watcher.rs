//! Follows the endpoint list: keeps one watch open, opens further ones beside one that has fallen silent, and keeps whichever
//! sends first. Knows nothing of what the list is for; its connections come from a [`Connector`], which tests replace.
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

/// Why a poll or an open watch brought nothing. The next poll follows by itself.
#[derive(Debug, thiserror::Error)]
pub(super) enum WatchError {
    /// Discovery cannot be reached, or the connection broke.
    #[error("no connection: {0}; see whether discovery runs at that address")]
    Connect(#[from] io::Error),
    /// What came is not HTTP, or it broke off.
    #[error("the connection failed: {0}")]
    Http(#[from] hyper::Error),
    /// The address cannot be part of a request.
    #[error("not a valid address: {0}; see the key \"discovery\"")]
    Address(#[from] hyper::http::Error),
    /// It answered, though not with a list.
    #[error("the watch was answered {0}")]
    Status(StatusCode),
    /// The answer came to its end.
    #[error("the watch ended")]
    Ended,
    /// Nothing was received in time.
    #[error("a poll was not answered in time")]
    TimedOut,
    /// What came is too long for a list.
    #[error(transparent)]
    TooLong(#[from] ListTooLong),
    /// No connection came up within [`POLL_TIMEOUT`].
    #[error("no connection in time; see whether discovery can be reached at that address")]
    ConnectTimedOut,
    /// The task of the poll panicked.
    #[error("the poll failed: {0}")]
    Task(#[from] JoinError),
}

/// How connections to discovery are opened.
pub(super) trait Connector: Clone + Send + Sync + 'static {
    /// A connection.
    type Stream: AsyncRead + AsyncWrite + Unpin + Send + 'static;
    /// Connects to this address.
    fn connect(&self, address: &str) -> impl Future<Output = io::Result<Self::Stream>> + Send;
}

/// Connections over TCP.
#[derive(Clone)]
pub(super) struct TcpConnector;

impl Connector for TcpConnector {
    type Stream = TcpStream;

    async fn connect(&self, address: &str) -> io::Result<TcpStream> {
        TcpStream::connect(address).await
    }
}

/// What the watcher starts from.
pub(super) struct WatchStart {
    /// The version of the list in use.
    pub(super) version: u64,
    /// The list in use can be served from until the first answer.
    pub(super) can_serve: bool,
    /// How many forwarders poll the same server.
    pub(super) pollers: Pollers,
}

/// What happens next to the watcher.
enum WatcherEvent {
    AddressChanged,
    Received(WatchEvent),
    Failed(WatchError),
    PollDue,
}

type PollResult = Result<(Watch, WatchEvent), WatchError>;

/// Keeps the watch on the list.
pub(super) struct Watcher<C: Connector> {
    connector: C,
    address: watch::Receiver<String>,
    current_address: String,
    version: u64,
    pollers: Pollers,
    backoff: Backoff,
    watch: Option<Watch>,
    /// Further watches that have not sent anything yet.
    polls: JoinSet<PollResult>,
    /// How many of them have their connection.
    connected_polls: ConnectedPolls,
    next_poll_at: Instant,
}

impl<C: Connector> Watcher<C> {
    /// A watcher of the list at this address, which may change.
    pub(super) fn new(
        connector: C, mut address: watch::Receiver<String>, start: WatchStart, mut backoff: Backoff,
    ) -> Watcher<C> {
        let WatchStart { version, can_serve, pollers } = start;
        let current_address = address.borrow_and_update().clone();
        // Guards a discovery that all forwarders poll against a rollout: they start at once, and the list that each has is good
        // enough to serve from until its own poll.
        let delay = if can_serve { backoff.initial_delay(pollers.max_start_delay()) } else { Duration::ZERO };
        Watcher {
            connector,
            address,
            current_address,
            version,
            pollers,
            backoff,
            watch: None,
            polls: JoinSet::new(),
            connected_polls: ConnectedPolls::default(),
            next_poll_at: Instant::now() + delay,
        }
    }

    /// Follows the list for as long as the process runs. `apply` applies each update and returns the version in use from then
    /// on; each new watch goes on from that.
    pub(super) async fn run(mut self, mut apply: impl FnMut(EndpointListUpdate) -> u64) {
        loop {
            match self.next_event().await {
                WatcherEvent::AddressChanged => self.address_changed(),
                WatcherEvent::PollDue => self.poll(),
                WatcherEvent::Failed(error) => self.failed(&error),
                WatcherEvent::Received(event) => {
                    self.received();
                    match event {
                        WatchEvent::KeepAlive => {}
                        WatchEvent::List(update) => self.version = apply(update),
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

    /// Guards against an update that is missed: the old server sends nothing more, and the new one may count its versions in
    /// another way, so it is polled for the complete list.
    fn address_changed(&mut self) {
        self.current_address = self.address.borrow_and_update().clone();
        self.watch = None;
        self.polls = JoinSet::new();
        self.version = 0;
        self.backoff.reset();
        let delay = self.backoff.initial_delay(self.pollers.max_move_delay());
        self.next_poll_at = Instant::now() + delay;
    }

    /// The watch is alive: further ones are dropped, and the next poll is due once it has been silent for too long.
    fn received(&mut self) {
        self.polls = JoinSet::new();
        self.backoff.reset();
        self.next_poll_at = Instant::now() + SILENCE_TIMEOUT;
    }

    fn poll(&mut self) {
        let is_first_poll = self.polls.is_empty();
        if self.watch.is_some() && is_first_poll {
            log::warn!("discovery: silent for {} ms; reopening the watch", SILENCE_TIMEOUT.as_millis());
        }
        let poll = Poll {
            connector: self.connector.clone(),
            address: self.current_address.clone(),
            after_version: self.version,
            answer_timeout: self.pollers.poll_timeout(),
            connected_polls: self.connected_polls.clone(),
        };
        // Guards a server that answers slowly because many forwarders poll it: the poll that it has is kept, and further ones
        // follow more and more seldom.
        let is_slow = self.pollers == Pollers::Many && self.connected_polls.any();
        self.polls.spawn(poll.run());
        let delay = match self.pollers {
            Pollers::One => POLL_INTERVAL,
            // The first poll has come by chance already.
            Pollers::Many if is_first_poll => SHARED_PROBE_DELAY,
            Pollers::Many if is_slow => self.backoff.overload_delay(),
            Pollers::Many => self.backoff.probe_delay(SHARED_PROBE_DELAY),
        };
        self.next_poll_at = Instant::now() + delay;
    }

    fn failed(&mut self, error: &WatchError) {
        let delay = self.delay_after(error);
        let pause_ms = delay.as_millis() as u64;
        log::warn!(pause_ms; "discovery: {error}; watching again after version {}", self.version);
        if self.polls.is_empty() {
            self.next_poll_at = Instant::now() + delay;
        }
    }

    /// How long to wait after a poll or watch that failed, where no other is in flight.
    fn delay_after(&mut self, error: &WatchError) -> Duration {
        if self.pollers == Pollers::One {
            return self.backoff.next_delay();
        }
        match error {
            WatchError::Connect(_) | WatchError::ConnectTimedOut => {
                self.backoff.probe_delay(SHARED_PROBE_DELAY)
            }
            WatchError::Status(_) | WatchError::TimedOut => self.backoff.overload_delay(),
            WatchError::Http(_)
            | WatchError::Address(_)
            | WatchError::Ended
            | WatchError::TooLong(_)
            | WatchError::Task(_) => self.backoff.next_delay(),
        }
    }
}

/// The number of polls that have their connection and no answer yet.
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

/// A poll that has its connection.
struct ConnectedPoll(ConnectedPolls);

impl Drop for ConnectedPoll {
    fn drop(&mut self) {
        self.0 .0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// An open watch. Dropped, its connection closes.
struct Watch {
    body: Incoming,
    parser: ListParser,
    _connection: JoinSet<hyper::Result<()>>,
}

/// The next event of the watch; never one where there is none.
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

/// One poll: opens a watch and waits for its first event.
struct Poll<C> {
    connector: C,
    address: String,
    after_version: u64,
    answer_timeout: Duration,
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
        let answered = timeout_at(started + self.answer_timeout, first_event);
        answered.await.unwrap_or(Err(WatchError::TimedOut))
    }

    async fn start_watch(&self, socket: C::Stream) -> Result<Watch, WatchError> {
        let (mut sender, connection) = http1::handshake(TokioIo::new(socket)).await?;
        let mut connection_task = JoinSet::new();
        connection_task.spawn(connection);
        let request = Request::get(format!("/v1/endpoints?watch=1&after={}", self.after_version))
            .header("host", &self.address)
            .body(Empty::<Bytes>::new())?;
        let answer = sender.send_request(request).await?;
        if answer.status() != StatusCode::OK {
            return Err(WatchError::Status(answer.status()));
        }
        Ok(Watch { body: answer.into_body(), parser: ListParser::default(), _connection: connection_task })
    }
}
