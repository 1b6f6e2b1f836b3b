//! The operators' address: whether this process serves, what it counts, and endpoints taken out by hand. It has a
//! thread of its own, so that no load on the path of requests delays an answer here, and no caller here holds up a
//! message. Absent from the configuration, there is no listener and no thread.
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
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::timeout;
use tower::ServiceExt;

/// Callers at once. Guards the descriptors: beyond it, the one that has been there longest makes way.
const CALLERS_MOST: usize = 32;
/// A caller writes its call at once: so long it may take for the head, and for all of it with its answer.
const HEAD_FOR: Duration = Duration::from_secs(2);
const CALL_FOR: Duration = Duration::from_secs(4);
/// A head is a line and a few short ones.
const HEAD_MOST: usize = 8 * 1024;
/// The process has an answer to a call for an endpoint within this, or it says that it has none.
const HAND_FOR: Duration = Duration::from_millis(900);
/// After a caller that could not be taken in.
const ACCEPT_AGAIN: Duration = Duration::from_millis(20);

/// Whom calls for endpoints go to, and what is shown.
type Serving = (Exchange, Arc<Metrics>);

/// What the operators' address shows: nothing yet, until the process serves.
#[derive(Clone)]
pub struct ManagementServer {
    serving: Arc<Mutex<Option<Serving>>>,
    /// What is shown before that.
    none: Arc<Metrics>,
}

impl ManagementServer {
    /// Listens at this address, for a forwarder with these classes. The listener ends with the process.
    ///
    /// # Errors
    ///
    /// The address cannot be listened at, or no thread can be made.
    pub fn start(at: SocketAddr, classes: &[String]) -> io::Result<ManagementServer> {
        let mgmt = ManagementServer { serving: Arc::default(), none: Arc::new(Metrics::new(classes)) };
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        // Before the thread, so that who starts it hears of an address that is taken.
        let listener = std::net::TcpListener::bind(at)?;
        listener.set_nonblocking(true)?;
        let routes = routes(mgmt.clone());
        std::thread::Builder::new()
            .name("mgmt".to_string())
            .spawn(move || runtime.block_on(serve(listener, routes)))?;
        log::info!("operators' address: {at}");
        Ok(mgmt)
    }

    /// From now on this process takes clients, or it does so no longer.
    pub fn set_serving(&self, exchange: Option<Exchange>) {
        let serving = exchange.map(|e| (e.clone(), e.metrics()));
        *self.serving.lock().unwrap_or_else(PoisonError::into_inner) = serving;
    }

    fn serving(&self) -> Option<Serving> {
        self.serving.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

fn routes(mgmt: ManagementServer) -> Router {
    Router::new()
        .route("/v1/readyz", get(ready))
        .route("/v1/metrics", get(metrics))
        .route("/v1/endpoints/{id}/suspend", post(|s, p| hand(s, p, Suspension::Suspend)))
        .route("/v1/endpoints/{id}/resume", post(|s, p| hand(s, p, Suspension::Resume)))
        .with_state(mgmt)
}

async fn ready(State(mgmt): State<ManagementServer>) -> StatusCode {
    match mgmt.serving() {
        Some(_) => StatusCode::OK,
        None => StatusCode::SERVICE_UNAVAILABLE,
    }
}

async fn metrics(State(mgmt): State<ManagementServer>) -> Response {
    let metrics = mgmt.serving().map_or(mgmt.none.clone(), |s| s.1);
    let text = miniserde::json::to_string(&metrics.snapshot());
    ([(CONTENT_TYPE, "application/json")], text).into_response()
}

async fn hand(
    State(mgmt): State<ManagementServer>, Path(id): Path<String>, suspension: Suspension,
) -> Response {
    let no = |status: StatusCode, why: &'static str| (status, why).into_response();
    let Some((exchange, _)) = mgmt.serving() else {
        return no(StatusCode::SERVICE_UNAVAILABLE, "this process does not serve; ask the one that does\n");
    };
    match timeout(HAND_FOR, exchange.set_suspension(id, suspension)).await {
        Ok(SuspensionResult::Applied) => StatusCode::NO_CONTENT.into_response(),
        Ok(SuspensionResult::UnknownEndpoint) => {
            no(StatusCode::NOT_FOUND, "no such endpoint was ever listed here\n")
        }
        Ok(SuspensionResult::LimitReached) => {
            no(StatusCode::CONFLICT, "too many are out by hand; call one back first\n")
        }
        Ok(SuspensionResult::NotPersisted) => {
            no(StatusCode::SERVICE_UNAVAILABLE, "not written; see the log, ask again\n")
        }
        Err(_) => no(StatusCode::GATEWAY_TIMEOUT, "no answer in time; it may hold: ask again\n"),
    }
}

async fn serve(listener: std::net::TcpListener, routes: Router) {
    let listener = match TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(e) => return log::error!("the operators' address cannot be served: {e}; start anew"),
    };
    let mut callers = JoinSet::new();
    let mut order: VecDeque<AbortHandle> = VecDeque::new();
    loop {
        match listener.accept().await {
            Ok((socket, _)) => {
                while callers.try_join_next().is_some() {}
                order.retain(|caller| !caller.is_finished());
                if order.len() >= CALLERS_MOST {
                    order.pop_front().into_iter().for_each(|longest| longest.abort());
                }
                order.push_back(callers.spawn(timeout(CALL_FOR, answer(socket, routes.clone()))));
            }
            Err(e) => {
                log::warn!("an operator's call not taken in: {e}");
                tokio::time::sleep(ACCEPT_AGAIN).await;
            }
        }
    }
}

/// One call to a connection.
async fn answer(socket: TcpStream, routes: Router) {
    let _ = socket.set_nodelay(true);
    let service = service_fn(move |request: Request<_>| {
        let answer = routes.clone().oneshot(request);
        async move { Ok::<_, Infallible>(answer.await.into_response()) }
    });
    let mut server = http1::Builder::new();
    server.timer(TokioTimer::new()).header_read_timeout(HEAD_FOR).max_buf_size(HEAD_MOST).keep_alive(false);
    if let Err(e) = server.serve_connection(TokioIo::new(socket), service).await {
        log::debug!("an operator's connection: {e}");
    }
}
