//! The connections to one endpoint, on hyper-util's cache. An attempt first gets its connection, then it is checked again
//! whether it may be sent, and only then its request is handed over: a connect may take seconds, and much may change
//! meanwhile. A connection whose attempt may not be sent any more serves the next one.
use super::connection::{
    connect, into_origin_form, Answer, BoxFuture, Closed, Connection, ConnectionCommand, SentRequest,
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

/// Idle connections are closed after this share of the time after which the endpoint's machine closes them.
const IDLE_TIME_SHARE: f64 = 0.7;
/// Connections to one endpoint that stay open while they are idle.
const MAX_IDLE_CONNECTIONS: usize = 3;
/// The shortest time between two checks for connections that have been idle for too long.
const MIN_EXPIRY_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// How long the answer to a cancelled call is still read. Guards retry-after times: an answer that was written before the
/// endpoint could learn of the cancellation counts, and arrives within one round trip through a slow network.
const CANCELLED_READ_TIMEOUT: Duration = Duration::from_millis(500);

/// A call whose request has been handed to its connection. Dropped before the head of its answer has come, it is cancelled:
/// the sending side is shut down at once, and the connection is still read for an answer that was under way.
pub(super) struct Call {
    pub(super) monitor: CallMonitor,
    in_flight: Option<InFlight>,
}

struct InFlight {
    answer: BoxFuture<Answer>,
    connection: PooledConnection,
}

impl Call {
    /// Waits for the head of the answer. Returns it with the connection, which can be used again once the body has been read;
    /// dropped before that, it is closed.
    ///
    /// # Errors
    ///
    /// The connection broke, or the head cannot be read.
    pub(super) async fn head(&mut self) -> Result<(Response<Incoming>, PooledConnection), UpstreamError> {
        let Some(in_flight) = &mut self.in_flight else { return Err(UpstreamError::NotSent) };
        let answer = (&mut in_flight.answer).await;
        let InFlight { connection, .. } = self.in_flight.take().ok_or(UpstreamError::NotSent)?;
        Ok((answer?, connection))
    }
}

impl Drop for Call {
    fn drop(&mut self) {
        let Some(InFlight { answer, mut connection }) = self.in_flight.take() else { return };
        self.monitor.cancel();
        let Ok(runtime) = Handle::try_current() else { return };
        runtime.spawn(async move {
            let _ = timeout(CANCELLED_READ_TIMEOUT, answer).await;
            // Nothing more can be written on it.
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

/// Closes idle connections that have been so for too long, and all beyond the given number.
type CloseIdle = Arc<dyn Fn(usize) + Send + Sync>;

/// A connection in use. Dropped, it goes back to the pool if it can carry another call.
pub(super) struct PooledConnection {
    service: Option<Box<PooledService>>,
    close_idle: CloseIdle,
}

impl PooledConnection {
    /// Waits until the connection can carry another call, or is closed, and gives it back.
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

    /// Marks it as closed, so that it does not go back to the pool.
    fn close(&mut self) {
        drop(self.call(ConnectionCommand::Close));
    }
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        // Guards the next call against a connection that still carries this one: cancelling it closes the connection.
        if !self.is_ready() {
            self.close();
            // The pool looks at the state that was polled last.
            self.is_ready();
        }
        // Guards endpoints that hold few connections, idle ones counted: each call has one of its own here, so a burst would
        // leave as many open, and the endpoint would reject all further ones.
        drop(self.service.take());
        (self.close_idle)(MAX_IDLE_CONNECTIONS);
    }
}

/// How often [`Pool::close_expired`] is to be called, so that idle connections are closed before the endpoint's machine
/// closes them.
pub(super) fn expiry_check_interval(site: &DeploymentSettings) -> Duration {
    let idle_timeout = site.module.connection_idle_timeout.secs();
    Duration::from_secs_f64(idle_timeout * (1.0 - IDLE_TIME_SHARE)).max(MIN_EXPIRY_CHECK_INTERVAL)
}

/// The connections to one endpoint at one address.
pub(super) struct Pool {
    pub(super) address: String,
    acquire: Box<dyn Fn(Uri) -> BoxFuture<Result<PooledConnection, UpstreamError>> + Send + Sync>,
    close_idle: CloseIdle,
}

impl Pool {
    /// An empty pool for the endpoint at this address.
    pub(super) fn new(site: &DeploymentSettings, address: String) -> Pool {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(Duration::from_nanos(site.connect_timeout.0)));
        let connect = service_fn(move |to: Uri| -> BoxFuture<Result<Connection, UpstreamError>> {
            Box::pin(connect(connector.clone(), to))
        });
        // A connect that another connection overtakes is completed, and serves the next call.
        let cache = cache::builder().executor(TokioExecutor::new()).build(connect);
        // Guards against connections that the endpoint closes while they are idle: a request written to such a one is reset
        // (RFC 9112, section 9.5).
        let idle_timeout = site.module.connection_idle_timeout.secs();
        let max_idle_time = Duration::from_secs_f64(idle_timeout * IDLE_TIME_SHARE);
        let cached = Mutex::new(cache.clone());
        let close_idle: CloseIdle = Arc::new(move |max_connections: usize| {
            let mut remaining = max_connections;
            let mut cached = cached.lock().unwrap_or_else(PoisonError::into_inner);
            cached.retain(|connection: &mut Connection| {
                let stays = remaining > 0 && connection.is_reusable(max_idle_time);
                remaining -= usize::from(stays);
                stays
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

    /// Closes connections that have been idle for too long.
    pub(super) fn close_expired(&self) {
        (self.close_idle)(MAX_IDLE_CONNECTIONS);
    }

    /// Closes all idle connections; calls in flight go on.
    pub(super) fn close_all_idle(&self) {
        (self.close_idle)(0);
    }

    /// Gets a connection, has the request made of what may still be sent, if anything may, and hands it over. The one place
    /// where a request meets its connection, for all transports.
    ///
    /// # Errors
    ///
    /// No connection could be opened, or nothing may be sent any more.
    pub(super) async fn call(
        self: Arc<Pool>, to: Uri, make_request: impl FnOnce() -> Option<UpstreamRequest>,
        listener: HeaderListener,
    ) -> Result<Call, UpstreamError> {
        // Removes connections that were closed meanwhile.
        self.close_expired();
        let mut connection = (self.acquire)(to).await?;
        // A new connection that is closed at once is a connect that failed. Guards the endpoint against a loop of connects of
        // which the decision module knows nothing.
        if !connection.is_ready() {
            return Err(UpstreamError::Connect("closed as soon as it was established".into()));
        }
        let Some(request) = make_request() else { return Err(UpstreamError::NotSent) };
        let request = Box::new(into_origin_form(request));
        match connection.call(ConnectionCommand::Send(request, listener)).await {
            Ok(SentRequest { monitor, answer }) => {
                Ok(Call { monitor, in_flight: Some(InFlight { answer, connection }) })
            }
            Err(Closed) => Err(UpstreamError::NotSent),
        }
    }
}
