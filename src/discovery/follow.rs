//! Follows the list: keeps one watch open, opens it anew beside one that has fallen silent, and takes whichever speaks
//! first. Knows nothing of what the list is for; its connections come from a `Connect`, so that a test can stand in.
use super::timing::{
    ASK_INTERVAL, ASK_TIMEOUT, LONGEST_MOVE_PAUSE, LONGEST_PAUSE, SHARED_FIRST_PAUSE, SHARED_MOVE_PAUSE,
    SILENCE,
};
use super::values::{Said, Values};
use crate::backoff::Backoff;
use crate::settings::EndpointListUpdate;
use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::future::Future;
use std::io;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{sleep_until, timeout, Instant};

/// Why an ask brought nothing. The next one follows by itself.
#[derive(Debug, thiserror::Error)]
pub enum AskError {
    /// Discovery cannot be reached, or the connection broke: see whether it runs at the configured address.
    #[error("no connection: {0}; see whether discovery runs at that address")]
    Connect(#[from] io::Error),
    /// What came is no HTTP, or it broke off.
    #[error("the connection failed: {0}")]
    Http(#[from] hyper::Error),
    /// The address cannot stand in a request.
    #[error("the address cannot be asked: {0}; see the key \"discovery\"")]
    Address(#[from] hyper::http::Error),
    /// It answered, though not with a list.
    #[error("the watch was answered {0}")]
    Status(StatusCode),
    /// The answer came to its end.
    #[error("the watch ended")]
    Ended,
    /// Nothing was heard in time.
    #[error("an ask without an answer")]
    Silent,
    /// What came is too long for a list.
    #[error(transparent)]
    Endless(#[from] super::values::Endless),
    /// The task that asked has failed.
    #[error("the ask failed: {0}")]
    Task(#[from] tokio::task::JoinError),
}

/// How connections to discovery come about.
pub trait Connect: Clone + Send + Sync + 'static {
    /// A connection.
    type Stream: AsyncRead + AsyncWrite + Unpin + Send + 'static;
    /// Connects to this address.
    fn connect(&self, address: &str) -> impl Future<Output = io::Result<Self::Stream>> + Send;
}

/// Connections over TCP.
#[derive(Clone)]
pub struct Tcp;

impl Connect for Tcp {
    type Stream = TcpStream;

    async fn connect(&self, address: &str) -> io::Result<TcpStream> {
        TcpStream::connect(address).await
    }
}

/// What the follower knows at its start.
pub struct Start {
    /// The version of the list that is held.
    pub version: u64,
    /// The list that is held can be served from until the first answer.
    pub may_wait: bool,
    /// Several forwarders ask the same place.
    pub shared: bool,
}

/// What happens next to the follower.
enum Event {
    Moved,
    Heard(Result<Said, AskError>),
    AskDue,
}

/// Keeps the watch on the list.
pub struct Follower<C: Connect> {
    connect: C,
    address: watch::Receiver<String>,
    at: String,
    version: u64,
    shared: bool,
    backoff: Backoff,
    watch: Option<Watch>,
    /// Further watches that have not said a word yet.
    asks: JoinSet<Result<(Watch, Said), AskError>>,
    next_ask: Instant,
}

impl<C: Connect> Follower<C> {
    /// A follower of the list at this address, which may change.
    pub fn new(
        connect: C, mut address: watch::Receiver<String>, start: Start, mut backoff: Backoff,
    ) -> Follower<C> {
        let at = address.borrow_and_update().clone();
        // Guards a discovery that all ask against a release: they start at once, and what each knows is good enough to
        // serve from until its turn has come.
        let longest = if start.shared { SHARED_FIRST_PAUSE } else { LONGEST_PAUSE };
        let pause = if start.may_wait { backoff.initial_delay(longest) } else { Duration::ZERO };
        Follower {
            connect,
            address,
            at,
            version: start.version,
            shared: start.shared,
            backoff,
            watch: None,
            asks: JoinSet::new(),
            next_ask: Instant::now() + pause,
        }
    }

    /// Follows the list for as long as the process runs. `apply` takes each update in and returns the version that is held
    /// from then on; each new watch goes on from that.
    pub async fn run(mut self, mut apply: impl FnMut(EndpointListUpdate) -> u64) {
        loop {
            match self.next_event().await {
                Event::Moved => self.moved(),
                Event::AskDue => self.ask(),
                Event::Heard(Ok(said)) => {
                    self.asks = JoinSet::new();
                    self.backoff.reset();
                    self.next_ask = Instant::now() + SILENCE;
                    if let Said::List(update) = said {
                        self.version = apply(update);
                    }
                }
                Event::Heard(Err(error)) => self.failed(&error),
            }
        }
    }

    async fn next_event(&mut self) -> Event {
        tokio::select! {
            biased;
            Ok(()) = self.address.changed() => Event::Moved,
            said = hear(&mut self.watch) => {
                if said.is_err() {
                    self.watch = None;
                }
                Event::Heard(said)
            }
            Some(done) = self.asks.join_next() => Event::Heard(match done {
                Ok(Ok((watch, said))) => {
                    self.watch = Some(watch);
                    Ok(said)
                }
                Ok(Err(error)) => Err(error),
                Err(error) => Err(error.into()),
            }),
            () = sleep_until(self.next_ask) => Event::AskDue,
        }
    }

    /// Guards against an update that is missed: the old place says nothing more, and the new one may count its versions in
    /// another way, so it is asked for the whole list.
    fn moved(&mut self) {
        self.at = self.address.borrow_and_update().clone();
        self.watch = None;
        self.asks = JoinSet::new();
        self.version = 0;
        self.backoff.reset();
        let longest = if self.shared { SHARED_MOVE_PAUSE } else { LONGEST_MOVE_PAUSE };
        self.next_ask = Instant::now() + self.backoff.initial_delay(longest);
    }

    fn ask(&mut self) {
        if self.watch.is_some() && self.asks.is_empty() {
            log::warn!("discovery: silent for {} ms; opening the watch anew", SILENCE.as_millis());
        }
        // One alone is no herd; those that ask the same place again go apart.
        let is_herd = self.shared && !self.asks.is_empty();
        let apart = if is_herd { self.backoff.next_delay() } else { Duration::ZERO };
        self.asks.spawn(open(self.connect.clone(), self.at.clone(), self.version));
        self.next_ask = Instant::now() + ASK_INTERVAL + apart;
    }

    fn failed(&mut self, error: &AskError) {
        let pause = self.backoff.next_delay();
        let pause_ms = pause.as_millis() as u64;
        log::warn!(pause_ms; "discovery: {error}; watching again after version {}", self.version);
        if self.asks.is_empty() {
            self.next_ask = Instant::now() + pause;
        }
    }
}

/// An open watch. Dropped, its connection closes.
struct Watch {
    body: Incoming,
    values: Values,
    _connection: JoinSet<hyper::Result<()>>,
}

/// What the watch says next; nothing ever where there is none.
async fn hear(watch: &mut Option<Watch>) -> Result<Said, AskError> {
    match watch {
        Some(watch) => watch.next().await,
        None => std::future::pending().await,
    }
}

impl Watch {
    async fn next(&mut self) -> Result<Said, AskError> {
        loop {
            if let Some(said) = self.values.next()? {
                return Ok(said);
            }
            let Some(frame) = self.body.frame().await else { return Err(AskError::Ended) };
            if let Ok(data) = frame?.into_data() {
                self.values.push(&data);
            }
        }
    }
}

/// Opens a watch and waits for its first word.
async fn open<C: Connect>(connect: C, at: String, after: u64) -> Result<(Watch, Said), AskError> {
    let ask = async {
        let socket = connect.connect(&at).await?;
        let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(socket)).await?;
        let mut running = JoinSet::new();
        running.spawn(connection);
        let request = Request::get(format!("/v1/endpoints?watch=1&after={after}"))
            .header("host", &at)
            .body(Empty::<Bytes>::new())?;
        let answer = sender.send_request(request).await?;
        if answer.status() != StatusCode::OK {
            return Err(AskError::Status(answer.status()));
        }
        let mut watch = Watch { body: answer.into_body(), values: Values::default(), _connection: running };
        let said = watch.next().await?;
        Ok((watch, said))
    };
    timeout(ASK_TIMEOUT, ask).await.unwrap_or(Err(AskError::Silent))
}
