//! Follows the endpoint list: keeps one watch open, opens further ones beside one that has fallen silent, and keeps whichever
//! sends first. Knows nothing of what the list is for; its connections come from a [`Connector`], which tests replace.
use super::list_parser::{ListParser, ListTooLong, WatchEvent};
use super::timing::{Pollers, POLL_INTERVAL, POLL_TIMEOUT, SILENCE_TIMEOUT};
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
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::{JoinError, JoinSet};
use tokio::time::{sleep_until, timeout, Instant};

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
    /// Nothing was received within [`POLL_TIMEOUT`].
    #[error("a poll was not answered in time")]
    TimedOut,
    /// What came is too long for a list.
    #[error(transparent)]
    TooLong(#[from] ListTooLong),
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
        // Guards a server that many forwarders poll against all of them polling again at the same moment.
        let is_spread = self.pollers == Pollers::Many && !is_first_poll;
        let delay = if is_spread { self.backoff.next_delay() } else { Duration::ZERO };
        let poll = open_watch(self.connector.clone(), self.current_address.clone(), self.version);
        self.polls.spawn(poll);
        self.next_poll_at = Instant::now() + POLL_INTERVAL + delay;
    }

    fn failed(&mut self, error: &WatchError) {
        let delay = self.backoff.next_delay();
        let pause_ms = delay.as_millis() as u64;
        log::warn!(pause_ms; "discovery: {error}; watching again after version {}", self.version);
        if self.polls.is_empty() {
            self.next_poll_at = Instant::now() + delay;
        }
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

/// Opens a watch and waits for its first event.
async fn open_watch<C: Connector>(connector: C, address: String, after_version: u64) -> PollResult {
    let poll = async {
        let mut watch = start_watch(&connector, &address, after_version).await?;
        let event = watch.next().await?;
        Ok((watch, event))
    };
    timeout(POLL_TIMEOUT, poll).await.unwrap_or(Err(WatchError::TimedOut))
}

async fn start_watch<C: Connector>(
    connector: &C, address: &str, after_version: u64,
) -> Result<Watch, WatchError> {
    let socket = connector.connect(address).await?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(socket)).await?;
    let mut connection_task = JoinSet::new();
    connection_task.spawn(connection);
    let request = Request::get(format!("/v1/endpoints?watch=1&after={after_version}"))
        .header("host", address)
        .body(Empty::<Bytes>::new())?;
    let answer = sender.send_request(request).await?;
    if answer.status() != StatusCode::OK {
        return Err(WatchError::Status(answer.status()));
    }
    Ok(Watch { body: answer.into_body(), parser: ListParser::default(), _connection: connection_task })
}
