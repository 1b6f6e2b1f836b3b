//! Management server for operators: readiness, metrics, and manual suspension of endpoints. It runs on a separate thread,
//! so that load on the request path does not delay its responses, and its callers do not delay messages. Without a
//! management address in the configuration, neither the listener nor the thread is created.
#![warn(missing_docs)]
use crate::core::SuspensionResult;
use crate::exchange::{Exchange, Suspension};
use crate::metrics::Metrics;
use axum::extract::{Path, State};
use axum::http::header::CONTENT_TYPE;
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::Router;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::Request;
use hyper_util::rt::{TokioIo, TokioTimer};
use std::collections::VecDeque;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::timeout;
use tower::ServiceExt;

/// Maximum number of open connections, which bounds the use of file descriptors. A connection over the limit closes the
/// oldest one.
const MAX_CONNECTIONS: usize = 32;
/// Time limit for a request's head, which a caller normally sends at once.
const HEAD_TIMEOUT: Duration = Duration::from_secs(2);
/// Time limit for a connection, from its accept to the end of the response.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(4);
/// Size limit of a request's head, which has a request line and a few short headers.
const MAX_HEAD_BYTES: usize = 8 * 1024;
/// Time limit for the exchange to suspend or resume an endpoint, after which the caller receives a 504 response.
const SUSPENSION_TIMEOUT: Duration = Duration::from_millis(900);
/// Delay after a failed accept, in which file descriptors may become free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// The exchange and the metrics of a process that serves clients.
#[derive(Clone)]
struct Serving {
    exchange: Exchange,
    metrics: Arc<Metrics>,
}

/// Handle to the management server.
#[derive(Clone)]
pub struct ManagementServer {
    /// `None` while this process does not serve clients, for instance as a standby.
    serving: Arc<Mutex<Option<Serving>>>,
    /// Metrics that are reported while this process does not serve clients, all zero.
    empty_metrics: Arc<Metrics>,
}

impl ManagementServer {
    /// Starts the management server of a forwarder with these message classes. It listens on `address` until the process
    /// ends.
    ///
    /// # Errors
    ///
    /// The address cannot be bound, or the thread or the runtime cannot be created.
    pub fn start(address: SocketAddr, classes: &[String]) -> io::Result<ManagementServer> {
        let server =
            ManagementServer { serving: Arc::default(), empty_metrics: Arc::new(Metrics::new(classes)) };
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        // Bind before the thread starts, so that the caller receives the error if the address is in use.
        let listener = std::net::TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let routes = routes(server.clone());
        std::thread::Builder::new()
            .name("mgmt".to_string())
            .spawn(move || runtime.block_on(serve(listener, routes)))?;
        log::info!("management address: {address}");
        Ok(server)
    }

    /// Sets the exchange through which this process serves clients, or `None` once it no longer serves them.
    pub fn set_serving(&self, exchange: Option<Exchange>) {
        let serving = exchange.map(|exchange| {
            let metrics = exchange.metrics();
            Serving { exchange, metrics }
        });
        *self.lock() = serving;
    }

    fn serving(&self) -> Option<Serving> {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, Option<Serving>> {
        self.serving.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn routes(server: ManagementServer) -> Router {
    Router::new()
        .route("/v1/readyz", get(ready))
        .route("/v1/metrics", get(metrics))
        .route("/v1/endpoints/{id}/suspend", post(suspend))
        .route("/v1/endpoints/{id}/resume", post(resume))
        .with_state(server)
}

async fn ready(State(server): State<ManagementServer>) -> StatusCode {
    match server.serving() {
        Some(_) => StatusCode::OK,
        None => StatusCode::SERVICE_UNAVAILABLE,
    }
}

async fn metrics(State(server): State<ManagementServer>) -> Response {
    let metrics = match server.serving() {
        Some(serving) => serving.metrics,
        None => server.empty_metrics.clone(),
    };
    let text = miniserde::json::to_string(&metrics.snapshot());
    ([(CONTENT_TYPE, "application/json")], text).into_response()
}

async fn suspend(State(server): State<ManagementServer>, Path(uid): Path<String>) -> Response {
    set_suspension(&server, uid, Suspension::Suspend).await
}

async fn resume(State(server): State<ManagementServer>, Path(uid): Path<String>) -> Response {
    set_suspension(&server, uid, Suspension::Resume).await
}

async fn set_suspension(server: &ManagementServer, uid: String, suspension: Suspension) -> Response {
    let Some(Serving { exchange, .. }) = server.serving() else {
        let text = "this process does not serve clients; send the request to the process that does\n";
        return (StatusCode::SERVICE_UNAVAILABLE, text).into_response();
    };
    let Ok(result) = timeout(SUSPENSION_TIMEOUT, exchange.set_suspension(uid, suspension)).await else {
        let text = "timed out; the change may still take effect: send the request again\n";
        return (StatusCode::GATEWAY_TIMEOUT, text).into_response();
    };
    match result {
        Ok(SuspensionResult::Applied) => StatusCode::NO_CONTENT.into_response(),
        Ok(SuspensionResult::UnknownEndpoint) => (
            StatusCode::NOT_FOUND,
            "unknown endpoint id: it has never been in this forwarder's endpoint list\n",
        )
            .into_response(),
        Ok(SuspensionResult::LimitReached) => {
            (StatusCode::CONFLICT, "too many endpoints are suspended; resume one first\n").into_response()
        }
        Ok(SuspensionResult::NotPersisted) | Err(_) => (
            StatusCode::SERVICE_UNAVAILABLE,
            "the change was not persisted; see the log and send the request again\n",
        )
            .into_response(),
    }
}

/// Accepts connections until the process ends.
async fn serve(listener: std::net::TcpListener, routes: Router) {
    let listener = match TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(e) => {
            log::error!("management server: cannot use the listener: {e}; restart the process");
            return;
        }
    };
    let mut connections = Connections::default();
    loop {
        match listener.accept().await {
            Ok((socket, _)) => connections.add(socket, routes.clone()),
            Err(e) => {
                log::warn!("management server: cannot accept a connection: {e}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// The open connections, at most [`MAX_CONNECTIONS`].
#[derive(Default)]
struct Connections {
    tasks: JoinSet<Result<(), tokio::time::error::Elapsed>>,
    /// Handles of the tasks, the oldest connection first.
    by_age: VecDeque<AbortHandle>,
}

impl Connections {
    fn add(&mut self, socket: TcpStream, routes: Router) {
        while self.tasks.try_join_next().is_some() {}
        self.by_age.retain(|connection| !connection.is_finished());
        if self.by_age.len() >= MAX_CONNECTIONS {
            if let Some(oldest) = self.by_age.pop_front() {
                oldest.abort();
            }
        }
        let connection = timeout(CONNECTION_TIMEOUT, serve_connection(socket, routes));
        self.by_age.push_back(self.tasks.spawn(connection));
    }
}

/// Serves one request on a connection and closes the connection.
async fn serve_connection(socket: TcpStream, routes: Router) {
    // A failure only delays responses.
    let _ = socket.set_nodelay(true);
    let service = service_fn(move |request: Request<_>| {
        let response = routes.clone().oneshot(request);
        async move { Ok::<_, Infallible>(response.await.into_response()) }
    });
    let mut server = http1::Builder::new();
    server
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(MAX_HEAD_BYTES)
        .keep_alive(false);
    if let Err(e) = server.serve_connection(TokioIo::new(socket), service).await {
        log::debug!("management server: connection failed: {e}");
    }
}
