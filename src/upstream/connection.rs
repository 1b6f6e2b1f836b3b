//! An HTTP/1.1 connection to an endpoint, implemented as a service that carries one call at a time.
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

/// The longest head of a response in bytes. Endpoints send shorter ones.
const MAX_HEAD_BYTES: usize = 16 * 1024;

pub(super) type UpstreamRequest = Request<Full<Bytes>>;
pub(super) type BoxFuture<T> = Pin<Box<dyn Future<Output = T> + Send>>;

/// The reason why a call has no response.
#[derive(Debug, thiserror::Error)]
pub(super) enum UpstreamError {
    /// No connection could be established.
    #[error("cannot connect: {0}; check that the endpoint listens at this address")]
    Connect(Box<dyn std::error::Error + Send + Sync>),
    /// The connection was established, but the attempt may no longer be sent.
    #[error("not sent: the attempt was no longer permitted once it had a connection")]
    NotSent,
    /// The connection was already closed. The request was returned unsent, so the call has not run.
    #[error("request not written: {0}")]
    NotWritten(hyper::Error),
    /// The connection broke or the response was malformed after the request was written, so the call may have run.
    #[error("call failed after the request was written: {0}")]
    Broken(hyper::Error),
}

/// The head of a response, whose body is still unread.
pub(super) type ResponseResult = Result<Response<Incoming>, UpstreamError>;

/// A command to a connection.
pub(super) enum ConnectionCommand {
    /// Sends this request and reports the header lines of the response to the listener.
    Send(Box<UpstreamRequest>, HeaderListener),
    /// Marks the connection as closed: it carries no further call and closes when it is dropped.
    Close,
}

/// A request that was passed to its connection.
pub(super) struct SentRequest {
    pub(super) monitor: CallMonitor,
    pub(super) response: BoxFuture<ResponseResult>,
}

/// The connection is closed or marked as closed.
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
    /// Returns whether the connection can carry another call and has been idle for less than `max_idle_time`.
    pub(super) fn is_reusable(&self, max_idle_time: Duration) -> bool {
        self.sender.is_ready() && self.idle_since.elapsed() < max_idle_time
    }
}

impl Service<ConnectionCommand> for Connection {
    type Response = SentRequest;
    type Error = Closed;
    type Future = Ready<Result<SentRequest, Closed>>;

    /// Returns ready if the connection can carry a call, an error if it is closed, and pending while it carries a call.
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
        // The monitor must record the call before the connection writes its first byte.
        let monitor = self.monitor.start_call(listener);
        let sent = self.sender.try_send_request(*request);
        let response = async move {
            sent.await.map_err(|mut error| match error.take_message() {
                Some(_) => UpstreamError::NotWritten(error.into_error()),
                None => UpstreamError::Broken(error.into_error()),
            })
        };
        ready(Ok(SentRequest { monitor, response: Box::pin(response) }))
    }
}

/// Opens a connection and spawns its task, which runs until the connection closes.
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

/// Converts the request target to origin form (RFC 9112, section 3.2.1) and moves the host to the `Host` header.
pub(super) fn into_origin_form(mut request: UpstreamRequest) -> UpstreamRequest {
    if let Some(host) = host_header(request.uri()) {
        request.headers_mut().entry(HOST).or_insert(host);
    }
    let path = request.uri().path_and_query().cloned();
    *request.uri_mut() = path.map(Uri::from).unwrap_or_default();
    request
}

/// Returns the value of the `Host` header. User information is left out, as RFC 9112, section 3.2 requires.
fn host_header(uri: &Uri) -> Option<HeaderValue> {
    let authority = uri.authority()?.as_str();
    let host = authority.rsplit('@').next().unwrap_or_default();
    HeaderValue::from_str(host).ok()
}
