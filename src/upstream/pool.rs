//! The connections to one endpoint, on hyper-util's cache. An attempt gets its connection first, then it is asked anew
//! whether it may go, and only then its request is handed over: a connect may take seconds, and much may be told
//! meanwhile. A connection whose attempt may not go any more serves the next one.
use super::tap::{Listener, Tapped, Watch};
use crate::settings::DeploymentSettings;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{HeaderValue, HOST};
use hyper::{Request, Response, Uri};
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::pool::cache;
use hyper_util::rt::{TokioExecutor, TokioIo};
use std::future::{poll_fn, ready, Future, Ready};
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use tokio::runtime::Handle;
use tokio::time::{timeout, Instant};
use tower::{service_fn, Service, ServiceExt};

/// Idle connections are closed after this share of the time after which the endpoint's machine does so.
const IDLE_SHARE: f64 = 0.7;
/// Connections to one endpoint that are kept while they stand idle.
const IDLE_MOST: usize = 3;
/// The least time between two looks for those that have stood idle for too long.
const SWEEP_LEAST: Duration = Duration::from_millis(100);
/// How long a call that was given up is still listened to. Guards told waits: an answer that was written before the
/// endpoint could know is a word to heed, and it is here within the time of one round through a
/// slow network.
const LATE_FOR: Duration = Duration::from_millis(500);
/// The head of an answer is shorter.
const HEAD_MOST: usize = 16 * 1024;

type Post = Request<Full<Bytes>>;
type Later<T> = Pin<Box<dyn Future<Output = T> + Send>>;

/// Why a call has no answer.
#[derive(Debug, thiserror::Error)]
pub enum Fault {
    #[error("no connection: {0}")]
    Connect(Box<dyn std::error::Error + Send + Sync>),
    /// Its connection stands, but nothing of it may go any more.
    #[error("decided anew")]
    Unsent,
    /// Its connection was found closed; the request was handed back whole.
    #[error("not written: {0}")]
    Unwritten(hyper::Error),
    /// What is out may have run.
    #[error("{0}")]
    Broken(hyper::Error),
}

pub type Answer = Result<Response<Incoming>, Fault>;

/// A call whose request is on its way. Dropped before its head has come, it is given up: its sending ends at once, and
/// the connection is still listened to, for a word that crossed this.
pub struct Call {
    pub watch: Watch,
    out: Option<(Later<Answer>, Seat)>,
}

impl Call {
    /// Waits for the head of its answer; with it comes the seat, whose connection goes back to the others once the body
    /// has been read and the seat is let go. Let go before, it is closed.
    pub async fn head(&mut self) -> Result<(Response<Incoming>, Seat), Fault> {
        let Some((answer, _)) = &mut self.out else { return Err(Fault::Unsent) };
        let done = answer.await;
        let seat = self.out.take().map(|out| out.1).ok_or(Fault::Unsent)?;
        Ok((done?, seat))
    }
}

impl Drop for Call {
    fn drop(&mut self) {
        let Some((answer, mut seat)) = self.out.take() else { return };
        self.watch.give_up();
        let Ok(runtime) = Handle::try_current() else { return };
        runtime.spawn(async move {
            let _ = timeout(LATE_FOR, answer).await;
            // Nothing more can be written on it.
            drop(seat.call(None));
        });
    }
}

/// What a connection is asked to carry, and who hears of the answer; nothing: it is to be closed.
type Ask = Option<(Post, Listener)>;

#[derive(Debug)]
struct Closed;

/// One connection.
struct Line {
    send: SendRequest<Full<Bytes>>,
    tapped: super::tap::Tap,
    /// Since when it has stood idle.
    idle: Instant,
    closed: bool,
}

impl Service<Ask> for Line {
    type Response = (Watch, Later<Answer>);
    type Error = Closed;
    type Future = Ready<Result<Self::Response, Closed>>;

    /// Ready for a call, or closed; pending while it carries one.
    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), Closed>> {
        if self.closed {
            return Poll::Ready(Err(Closed));
        }
        self.idle = Instant::now();
        self.send.poll_ready(cx).map_err(|_| Closed)
    }

    fn call(&mut self, ask: Ask) -> Self::Future {
        let Some((request, listener)) = ask else {
            self.closed = true;
            return ready(Err(Closed));
        };
        // The watch begins before the connection writes.
        let watch = self.tapped.watch(listener);
        let sent = self.send.try_send_request(request);
        let answer = async move {
            sent.await.map_err(|mut e| match e.take_message() {
                Some(_) => Fault::Unwritten(e.into_error()),
                None => Fault::Broken(e.into_error()),
            })
        };
        ready(Ok((watch, Box::pin(answer))))
    }
}

type Held = dyn Service<
        Ask,
        Response = (Watch, Later<Answer>),
        Error = Closed,
        Future = Ready<Result<(Watch, Later<Answer>), Closed>>,
    > + Send;

/// Closes idle connections that stood so for too long, and all beyond this number.
type Keep = Arc<dyn Fn(usize) + Send + Sync>;

/// A connection that is taken. Dropped, it goes back to the others, if it can carry another call.
pub struct Seat {
    line: Option<Box<Held>>,
    keep: Keep,
}

impl Seat {
    /// Waits until the connection can carry another call, or is closed.
    pub async fn settle(mut self) {
        let _ = poll_fn(|cx| self.poll_ready(cx)).await;
    }

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), Closed>> {
        self.line.as_mut().map_or(Poll::Ready(Err(Closed)), |line| line.poll_ready(cx))
    }

    fn is_free(&mut self) -> bool {
        matches!(self.poll_ready(&mut Context::from_waker(Waker::noop())), Poll::Ready(Ok(())))
    }

    fn call(&mut self, ask: Ask) -> Ready<Result<(Watch, Later<Answer>), Closed>> {
        self.line.as_mut().map_or(ready(Err(Closed)), |line| line.call(ask))
    }
}

impl Drop for Seat {
    fn drop(&mut self) {
        // Guards the next call against a connection on which this one is still out: giving it up closes it.
        if !self.is_free() {
            drop(self.call(None));
            self.is_free();
        }
        // Guards endpoints that hold few connections, idle ones counted: each call has one of its own here, so a
        // burst would leave as many standing, and the endpoint would turn all further ones away.
        drop(self.line.take());
        (self.keep)(IDLE_MOST);
    }
}

/// How often `trim` is to be called, so that what stands idle is closed before the endpoint's machine does so.
pub fn sweep(site: &DeploymentSettings) -> Duration {
    Duration::from_secs_f64(site.module.connection_idle_timeout.secs() * (1.0 - IDLE_SHARE)).max(SWEEP_LEAST)
}

/// The connections to one endpoint at one address.
pub struct Pool {
    pub address: String,
    take: Box<dyn Fn(Uri) -> Later<Result<Seat, Fault>> + Send + Sync>,
    keep: Keep,
}

impl Pool {
    pub fn new(site: &DeploymentSettings, address: String) -> Pool {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(Duration::from_nanos(site.connect_timeout.0)));
        let connect = service_fn(move |to: Uri| -> Later<Result<Line, Fault>> {
            Box::pin(connect(connector.clone(), to))
        });
        // A connect that another connection overtakes is finished, and stands by for the next call.
        let cache = cache::builder().executor(TokioExecutor::new()).build(connect);
        // Guards against connections that the endpoint drops while they stand idle: a request written to such
        // a one is a reset.
        let most = Duration::from_secs_f64(site.module.connection_idle_timeout.secs() * IDLE_SHARE);
        let kept = Mutex::new(cache.clone());
        let keep: Keep = Arc::new(move |number: usize| {
            let mut left = number;
            kept.lock().unwrap_or_else(PoisonError::into_inner).retain(|line: &mut Line| {
                let keep = left > 0 && line.send.is_ready() && line.idle.elapsed() < most;
                left -= usize::from(keep);
                keep
            });
        });
        let keeps = keep.clone();
        let take = move |to: Uri| -> Later<Result<Seat, Fault>> {
            let keep = keeps.clone();
            let seat = |line| Seat { line: Some(Box::new(line)), keep };
            Box::pin(cache.clone().map_response(seat).oneshot(to))
        };
        Pool { address, take: Box::new(take), keep }
    }

    /// Closes what has stood idle for too long.
    pub fn trim(&self) {
        (self.keep)(IDLE_MOST);
    }

    /// Closes all idle connections; calls that are out go on.
    pub fn close(&self) {
        (self.keep)(0);
    }

    /// Gets a connection to this place, has the request made of what may still go, if anything may, and hands it over: the
    /// one place where a request meets its connection, for all fronts.
    pub async fn call(
        self: Arc<Pool>, to: Uri, make: impl FnOnce() -> Option<Post>, listener: Listener,
    ) -> Result<Call, Fault> {
        // Those that were closed meanwhile are no longer among them after this.
        self.trim();
        let mut seat = (self.take)(to).await?;
        // A new one that is closed as soon as it stands is a connect that failed. Guards the endpoint against a loop of
        // connects that the module knows nothing of.
        if !seat.is_free() {
            return Err(Fault::Connect("closed as soon as it stood".into()));
        }
        let Some(request) = make() else { return Err(Fault::Unsent) };
        match seat.call(Some((on_line(request), listener))).await {
            Ok((watch, answer)) => Ok(Call { watch, out: Some((answer, seat)) }),
            Err(Closed) => Err(Fault::Unsent),
        }
    }
}

/// The request as it stands on a connection: its path alone, and the host in a header.
fn on_line(mut request: Post) -> Post {
    let authority = request.uri().authority();
    let host = authority.map(|a| a.as_str().rsplit('@').next().unwrap_or_default());
    if let Some(host) = host.and_then(|h| HeaderValue::from_str(h).ok()) {
        request.headers_mut().entry(HOST).or_insert(host);
    }
    let path = request.uri().path_and_query().cloned();
    *request.uri_mut() = path.map(Uri::from).unwrap_or_default();
    request
}

async fn connect(connector: HttpConnector, to: Uri) -> Result<Line, Fault> {
    let io = connector.oneshot(to).await.map_err(|e| Fault::Connect(e.into()))?;
    let tapped = Tapped::new(io.into_inner());
    let tap = tapped.tap();
    let made = http1::Builder::new().max_buf_size(HEAD_MOST).handshake(TokioIo::new(tapped)).await;
    let (mut send, connection) = made.map_err(|e| Fault::Connect(e.into()))?;
    tokio::spawn(async move {
        if let Err(e) = connection.with_upgrades().await {
            log::trace!("connection: {e}");
        }
    });
    send.ready().await.map_err(|e| Fault::Connect(e.into()))?;
    Ok(Line { send, tapped: tap, idle: Instant::now(), closed: false })
}
