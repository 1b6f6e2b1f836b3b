//! One HTTP/1.1 connection to an endpoint, as a service that carries one call at a time.
use super::monitored_stream::{CallMonitor, HeaderListener, MonitoredStream, StreamMonitor};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{HeaderValue, HOST};
use hyper::{Request, Response, Uri};
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioIo;
use std::future::{ready, Future, Ready};
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::time::Instant;
use tower::{Service, ServiceExt};

/// Bytes of an answer's head; those of endpoints are shorter.
const MAX_HEAD_BYTES: usize = 16 * 1024;

pub(super) type UpstreamRequest = Request<Full<Bytes>>;
pub(super) type BoxFuture<T> = Pin<Box<dyn Future<Output = T> + Send>>;

/// Why a call has no answer.
#[derive(Debug, thiserror::Error)]
pub(super) enum UpstreamError {
    /// No connection could be opened: see whether the endpoint listens at that address.
    #[error("no connection: {0}")]
    Connect(Box<dyn std::error::Error + Send + Sync>),
    /// There is a connection, but by now the attempt may not be sent any more.
    #[error("not sent: the attempt was reconsidered after the connect")]
    NotSent,
    /// The connection was found closed; the request was handed back complete, so it never ran.
    #[error("not written: {0}")]
    NotWritten(hyper::Error),
    /// The connection broke after the request was written: the call may have run.
    #[error("{0}")]
    Broken(hyper::Error),
}

/// The head of an answer, its body still to be read.
pub(super) type Answer = Result<Response<Incoming>, UpstreamError>;

/// What a connection is to do.
pub(super) enum ConnectionCommand {
    /// Sends this request and reports the lines of its answer's head.
    Send(Box<UpstreamRequest>, HeaderListener),
    /// Carries no further call and closes once dropped.
    Close,
}

/// A request that was handed to its connection.
pub(super) struct SentRequest {
    pub(super) monitor: CallMonitor,
    pub(super) answer: BoxFuture<Answer>,
}

/// The connection is closed, or is to be.
#[derive(Debug)]
pub(super) struct Closed;

/// An open connection.
pub(super) struct Connection {
    sender: SendRequest<Full<Bytes>>,
    monitor: StreamMonitor,
    idle_since: Instant,
    is_closed: bool,
}

impl Connection {
    /// Whether it can carry another call, and has not been idle for this long.
    pub(super) fn is_reusable(&self, max_idle_time: Duration) -> bool {
        self.sender.is_ready() && self.idle_since.elapsed() < max_idle_time
    }
}

impl Service<ConnectionCommand> for Connection {
    type Response = SentRequest;
    type Error = Closed;
    type Future = Ready<Result<SentRequest, Closed>>;

    /// Ready for a call, or closed; pending while it carries one.
    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), Closed>> {
        if self.is_closed {
            return Poll::Ready(Err(Closed));
        }
        self.idle_since = Instant::now();
        self.sender.poll_ready(cx).map_err(|_| Closed)
    }

    fn call(&mut self, command: ConnectionCommand) -> Self::Future {
        let ConnectionCommand::Send(request, listener) = command else {
            self.is_closed = true;
            return ready(Err(Closed));
        };
        // The monitor starts before the connection writes.
        let monitor = self.monitor.start_call(listener);
        let sent = self.sender.try_send_request(*request);
        let answer = async move {
            sent.await.map_err(|mut error| match error.take_message() {
                Some(_) => UpstreamError::NotWritten(error.into_error()),
                None => UpstreamError::Broken(error.into_error()),
            })
        };
        ready(Ok(SentRequest { monitor, answer: Box::pin(answer) }))
    }
}

/// Opens a connection, whose task runs until it closes.
pub(super) async fn connect(connector: HttpConnector, to: Uri) -> Result<Connection, UpstreamError> {
    let io = connector.oneshot(to).await.map_err(|e| UpstreamError::Connect(e.into()))?;
    let stream = MonitoredStream::new(io.into_inner());
    let monitor = stream.monitor();
    let handshake = http1::Builder::new().max_buf_size(MAX_HEAD_BYTES).handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) = handshake.map_err(|e| UpstreamError::Connect(e.into()))?;
    tokio::spawn(async move {
        if let Err(e) = connection.with_upgrades().await {
            log::trace!("connection: {e}");
        }
    });
    sender.ready().await.map_err(|e| UpstreamError::Connect(e.into()))?;
    Ok(Connection { sender, monitor, idle_since: Instant::now(), is_closed: false })
}

/// The request with its target in origin form (RFC 9112, section 3.2.1) and its host in a header.
pub(super) fn into_origin_form(mut request: UpstreamRequest) -> UpstreamRequest {
    if let Some(host) = host_header(request.uri()) {
        request.headers_mut().entry(HOST).or_insert(host);
    }
    let path = request.uri().path_and_query().cloned();
    *request.uri_mut() = path.map(Uri::from).unwrap_or_default();
    request
}

/// The host without user information, which RFC 9112, section 3.2 excludes from the header.
fn host_header(uri: &Uri) -> Option<HeaderValue> {
    let authority = uri.authority()?.as_str();
    let host = authority.rsplit('@').next().unwrap_or_default();
    HeaderValue::from_str(host).ok()
}
