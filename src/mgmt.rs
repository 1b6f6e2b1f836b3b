//! The management address for operators: readiness, metrics, and endpoints that are suspended by hand. It runs on a thread
//! of its own, so that load on the request path delays no answer here, and no caller here delays a message. Where the
//! configuration names no address, there is neither a listener nor a thread.
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

/// Connections at once. Guards the file descriptors: beyond it, the oldest connection is closed.
const MAX_CONNECTIONS: usize = 32;
/// How long a caller may take for the head of its request. It writes it at once.
const HEAD_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a connection may last, from its accept to the end of its answer.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(4);
/// Bytes of a request's head, which has a request line and a few short headers.
const MAX_HEAD_BYTES: usize = 8 * 1024;
/// How long the exchange may take to suspend or resume an endpoint, before the caller is told that it has not answered.
const SUSPENSION_TIMEOUT: Duration = Duration::from_millis(900);
/// Pause after an accept that failed, for descriptors to become free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// What the management address works on while this process serves clients.
#[derive(Clone)]
struct Serving {
    exchange: Exchange,
    metrics: Arc<Metrics>,
}

/// The management address.
#[derive(Clone)]
pub struct ManagementServer {
    /// Nothing while this process does not serve clients.
    serving: Arc<Mutex<Option<Serving>>>,
    /// What is shown while it does not.
    empty_metrics: Arc<Metrics>,
}

impl ManagementServer {
    /// Listens at this address, for a forwarder with these message classes. The listener ends with the process.
    ///
    /// # Errors
    ///
    /// The address cannot be bound, or no thread or runtime can be created.
    pub fn start(address: SocketAddr, classes: &[String]) -> io::Result<ManagementServer> {
        let server =
            ManagementServer { serving: Arc::default(), empty_metrics: Arc::new(Metrics::new(classes)) };
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        // Bound before the thread starts, so that the caller learns of an address that is in use.
        let listener = std::net::TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let routes = routes(server.clone());
        std::thread::Builder::new()
            .name("mgmt".to_string())
            .spawn(move || runtime.block_on(serve(listener, routes)))?;
        log::info!("management address: {address}");
        Ok(server)
    }

    /// Sets the exchange by which this process serves clients from now on, or that it serves them no longer.
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
        let text = "this process does not serve; ask the one that does\n";
        return (StatusCode::SERVICE_UNAVAILABLE, text).into_response();
    };
    let Ok(result) = timeout(SUSPENSION_TIMEOUT, exchange.set_suspension(uid, suspension)).await else {
        let text = "no answer in time; it may hold: ask again\n";
        return (StatusCode::GATEWAY_TIMEOUT, text).into_response();
    };
    match result {
        Ok(SuspensionResult::Applied) => StatusCode::NO_CONTENT.into_response(),
        Ok(SuspensionResult::UnknownEndpoint) => {
            (StatusCode::NOT_FOUND, "no such endpoint was ever listed here\n").into_response()
        }
        Ok(SuspensionResult::LimitReached) => {
            (StatusCode::CONFLICT, "too many are out by hand; call one back first\n").into_response()
        }
        Ok(SuspensionResult::NotPersisted) | Err(_) => {
            (StatusCode::SERVICE_UNAVAILABLE, "not written; see the log, ask again\n").into_response()
        }
    }
}

/// Accepts connections for as long as the process runs.
async fn serve(listener: std::net::TcpListener, routes: Router) {
    let listener = match TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(e) => {
            log::error!("the management address cannot be served: {e}; restart the process");
            return;
        }
    };
    let mut connections = Connections::default();
    loop {
        match listener.accept().await {
            Ok((socket, _)) => connections.add(socket, routes.clone()),
            Err(e) => {
                log::warn!("management connection not accepted: {e}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// The open connections, at most [`MAX_CONNECTIONS`].
#[derive(Default)]
struct Connections {
    tasks: JoinSet<Result<(), tokio::time::error::Elapsed>>,
    /// The oldest first.
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

/// Serves the one request of a connection.
async fn serve_connection(socket: TcpStream, routes: Router) {
    // Without it answers come later, and that is all.
    let _ = socket.set_nodelay(true);
    let service = service_fn(move |request: Request<_>| {
        let answer = routes.clone().oneshot(request);
        async move { Ok::<_, Infallible>(answer.await.into_response()) }
    });
    let mut server = http1::Builder::new();
    server
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(MAX_HEAD_BYTES)
        .keep_alive(false);
    if let Err(e) = server.serve_connection(TokioIo::new(socket), service).await {
        log::debug!("management connection: {e}");
    }
}
