//! The connection pool of one endpoint, based on hyper-util's cache. An attempt first gets its connection, and only then the pool
//! checks whether the attempt may still be sent, because a connect may take seconds and the decision may be outdated by the end.
//! If the attempt may not be sent, its connection serves the next attempt.
use super::connection::{
    connect, into_origin_form, BoxFuture, Closed, Connection, ConnectionCommand, ResponseResult, SentRequest,
    UpstreamError, UpstreamRequest,
};
use super::monitored_stream::{CallMonitor, HeaderListener};
use crate::settings::DeploymentSettings;
use hyper::body::Incoming;
use hyper::{Response, Uri};
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::pool::cache;
use hyper_util::rt::TokioExecutor;
use std::future::{poll_fn, ready, Ready};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use tokio::runtime::Handle;
use tokio::time::timeout;
use tower::{service_fn, Service, ServiceExt};

/// Share of the endpoint's idle timeout after which this side closes an idle connection.
const IDLE_TIME_SHARE: f64 = 0.7;
/// The number of idle connections to one endpoint that stay open.
const MAX_IDLE_CONNECTIONS: usize = 3;
/// The shortest interval between two checks for expired idle connections.
const MIN_EXPIRY_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// How long the response to a cancelled call is still read. An endpoint may have responded with a Retry-After before it noticed
/// the cancellation, and that Retry-After must be respected. Such a response arrives within one round trip, also on a slow
/// network.
const CANCELLED_READ_TIMEOUT: Duration = Duration::from_millis(500);

/// A call whose request has been passed to its connection. Dropping it before the head of the response arrives cancels the call:
/// the sending side is shut down at once, and a response that is already on its way is still read.
pub(super) struct Call {
    pub(super) monitor: CallMonitor,
    in_flight: Option<InFlight>,
}

struct InFlight {
    response: BoxFuture<ResponseResult>,
    connection: PooledConnection,
}

impl Call {
    /// Waits for the head of the response. Returns the response with its connection. The connection can be reused once the body
    /// has been read. Dropping it earlier closes it.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection broke or the head cannot be parsed.
    pub(super) async fn head(&mut self) -> Result<(Response<Incoming>, PooledConnection), UpstreamError> {
        let Some(in_flight) = &mut self.in_flight else { return Err(UpstreamError::NotSent) };
        let response = (&mut in_flight.response).await;
        let InFlight { connection, .. } = self.in_flight.take().ok_or(UpstreamError::NotSent)?;
        Ok((response?, connection))
    }
}

impl Drop for Call {
    fn drop(&mut self) {
        let Some(InFlight { response, mut connection }) = self.in_flight.take() else { return };
        self.monitor.cancel();
        let Ok(runtime) = Handle::try_current() else { return };
        runtime.spawn(async move {
            let _ = timeout(CANCELLED_READ_TIMEOUT, response).await;
            // The sending side is shut down, so the connection cannot be reused.
            connection.close();
        });
    }
}

type PooledService = dyn Service<
        ConnectionCommand,
        Response = SentRequest,
        Error = Closed,
        Future = Ready<Result<SentRequest, Closed>>,
    > + Send;

/// Closes expired idle connections, and all idle connections beyond the given number.
type CloseIdle = Arc<dyn Fn(usize) + Send + Sync>;

/// A connection in use. Dropping it returns it to the pool if it can carry another call.
pub(super) struct PooledConnection {
    service: Option<Box<PooledService>>,
    close_idle: CloseIdle,
}

impl PooledConnection {
    /// Waits until the connection can carry another call or is closed, and then returns it to the pool.
    pub(super) async fn release_when_ready(mut self) {
        let _ = poll_fn(|cx| self.poll_ready(cx)).await;
    }

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), Closed>> {
        match &mut self.service {
            Some(service) => service.poll_ready(cx),
            None => Poll::Ready(Err(Closed)),
        }
    }

    fn is_ready(&mut self) -> bool {
        matches!(self.poll_ready(&mut Context::from_waker(Waker::noop())), Poll::Ready(Ok(())))
    }

    fn call(&mut self, command: ConnectionCommand) -> Ready<Result<SentRequest, Closed>> {
        match &mut self.service {
            Some(service) => service.call(command),
            None => ready(Err(Closed)),
        }
    }

    /// Marks the connection as closed, so that it does not return to the pool.
    fn close(&mut self) {
        drop(self.call(ConnectionCommand::Close));
    }
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        // A connection that still carries a call must not serve the next one. Closing it cancels the call.
        if !self.is_ready() {
            self.close();
            // The pool uses the readiness that was polled last, so the connection is polled again after it was marked as closed.
            self.is_ready();
        }
        // Some endpoints accept only a few connections, including idle ones. Each call uses a separate connection, so without
        // this limit a burst would leave many connections open, and the endpoint would reject all further ones.
        drop(self.service.take());
        (self.close_idle)(MAX_IDLE_CONNECTIONS);
    }
}

/// Returns the interval at which to call [`Pool::close_expired`], so that this side closes idle connections before the endpoint
/// does.
pub(super) fn expiry_check_interval(deployment: &DeploymentSettings) -> Duration {
    let idle_timeout = deployment.module.connection_idle_timeout.secs();
    Duration::from_secs_f64(idle_timeout * (1.0 - IDLE_TIME_SHARE)).max(MIN_EXPIRY_CHECK_INTERVAL)
}

/// The connections to one endpoint at one address.
pub(super) struct Pool {
    pub(super) address: String,
    acquire: Box<dyn Fn(Uri) -> BoxFuture<Result<PooledConnection, UpstreamError>> + Send + Sync>,
    close_idle: CloseIdle,
}

impl Pool {
    /// Creates an empty pool for the endpoint at this address.
    pub(super) fn new(deployment: &DeploymentSettings, address: String) -> Pool {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(Duration::from_nanos(deployment.connect_timeout.0)));
        let connect = service_fn(move |to: Uri| -> BoxFuture<Result<Connection, UpstreamError>> {
            Box::pin(connect(connector.clone(), to))
        });
        // If another connection becomes available during a connect, the connect is completed in the background, and the new
        // connection serves a later call.
        let cache = cache::builder().executor(TokioExecutor::new()).build(connect);
        // Idle connections are closed here before the endpoint closes them, because a request written to a connection that the
        // endpoint is closing is reset (RFC 9112, section 9.5).
        let idle_timeout = deployment.module.connection_idle_timeout.secs();
        let max_idle_time = Duration::from_secs_f64(idle_timeout * IDLE_TIME_SHARE);
        let cached = Mutex::new(cache.clone());
        let close_idle: CloseIdle = Arc::new(move |max_connections: usize| {
            let mut remaining = max_connections;
            let mut cached = cached.lock().unwrap_or_else(PoisonError::into_inner);
            cached.retain(|connection: &mut Connection| {
                let is_kept = remaining > 0 && connection.is_reusable(max_idle_time);
                remaining -= usize::from(is_kept);
                is_kept
            });
        });
        let close_idle_on_release = close_idle.clone();
        let acquire = move |to: Uri| -> BoxFuture<Result<PooledConnection, UpstreamError>> {
            let close_idle = close_idle_on_release.clone();
            let pooled = |service| PooledConnection { service: Some(Box::new(service)), close_idle };
            Box::pin(cache.clone().map_response(pooled).oneshot(to))
        };
        Pool { address, acquire: Box::new(acquire), close_idle }
    }

    /// Closes expired idle connections.
    pub(super) fn close_expired(&self) {
        (self.close_idle)(MAX_IDLE_CONNECTIONS);
    }

    /// Closes all idle connections. Calls in flight continue.
    pub(super) fn close_all_idle(&self) {
        (self.close_idle)(0);
    }

    /// Acquires a connection, then creates the request with `make_request` and passes it to the connection. `make_request`
    /// returns `None` if nothing may be sent any more. All transports send their requests through this method.
    ///
    /// # Errors
    ///
    /// Returns an error if no connection could be established or nothing may be sent any more.
    pub(super) async fn call(
        self: Arc<Pool>, to: Uri, make_request: impl FnOnce() -> Option<UpstreamRequest>,
        listener: HeaderListener,
    ) -> Result<Call, UpstreamError> {
        // Removes connections that have been closed in the meantime.
        self.close_expired();
        let mut connection = (self.acquire)(to).await?;
        // A new connection that is closed at once counts as a failed connect. Retrying it here could send the endpoint an endless
        // series of connects that the decision module does not see.
        if !connection.is_ready() {
            return Err(UpstreamError::Connect("closed as soon as it was established".into()));
        }
        let Some(request) = make_request() else { return Err(UpstreamError::NotSent) };
        let request = Box::new(into_origin_form(request));
        match connection.call(ConnectionCommand::Send(request, listener)).await {
            Ok(SentRequest { monitor, response }) => {
                Ok(Call { monitor, in_flight: Some(InFlight { response, connection }) })
            }
            Err(Closed) => Err(UpstreamError::NotSent),
        }
    }
}
