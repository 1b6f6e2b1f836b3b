//! Serves one client connection: reads each request within its limits, passes it to the routes, and closes the connection
//! without losing a response.
use super::limiter::{ConnectionLimiter, ConnectionPermit, ConnectionShare, ConnectionState, Phase};
use super::peer::Peer;
use super::socket::{ClientSocket, DISCARD_TIMEOUT};
use super::{reached, FINAL_RESPONSE_TIMEOUT};
use crate::body::{self, BodyError};
use crate::exchange::ClientConnections;
use axum::body::Body;
use axum::response::{IntoResponse, Response};
use axum::Router;
use hyper::body::Incoming;
use hyper::header::{HeaderValue, CONNECTION, TRANSFER_ENCODING};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, AsyncWriteExt};
use tokio::sync::watch;
use tokio::time::timeout;
use tower::ServiceExt;

/// Limits on the requests of a client connection.
#[derive(Clone, Copy)]
pub struct Limits {
    /// Time within which each request head must be complete. It also limits how long a connection may be idle.
    pub head_timeout: Duration,
    /// Time within which a request's body must be complete, from the end of the head.
    pub body_timeout: Duration,
    /// Maximum size of a request's body, in bytes.
    pub body_limit: usize,
    /// What a connection takes of the limits on all client connections.
    pub share: ConnectionShare,
}

/// Maximum size of a request head, in bytes. Clients send a dozen short lines.
pub(super) const MAX_HEAD_BYTES: usize = 8 * 1024;
/// The most memory that a connection takes beside the body of its request, in bytes: hyper's buffers for reading and writing, the
/// parsed head, trailers, and the connection's task.
pub(super) const CONNECTION_OVERHEAD_BYTES: usize = 3 * MAX_HEAD_BYTES;
/// Maximum number of header lines of a request.
const MAX_HEADER_LINES: usize = 64;
/// How long a connection waits for the rest of a partly received request once `ClientConnections::Closing` is set. Shorter
/// than [`FINAL_RESPONSE_TIMEOUT`], so that the request still gets its response.
const CLOSING_GRACE: Duration = Duration::from_millis(100);

const _: () = assert!(
    CLOSING_GRACE.as_millis() + DISCARD_TIMEOUT.as_millis() < FINAL_RESPONSE_TIMEOUT.as_millis(),
    "a partly received request must get its response, and its connection must close, within FINAL_RESPONSE_TIMEOUT"
);

/// Why a client connection is closed.
#[derive(Debug, thiserror::Error)]
enum CloseReason {
    /// The limiter needs its permit for a new connection.
    #[error("evicted for a new connection")]
    Evicted,
    /// The client closed it, the last response closed it, or the process closes its client connections.
    #[error("ended after a response or by the client")]
    Ended,
    /// A request was malformed or late, or the connection broke.
    #[error("{0}")]
    Failed(hyper::Error),
}

/// Serves one client connection until the client closes it, `connections` closes it, or the limiter evicts it.
pub(super) async fn serve(
    io: impl AsyncRead + AsyncWrite + Unpin, peer: Peer, routes: Router, limits: Limits,
    permit: ConnectionPermit, connections: watch::Receiver<ClientConnections>,
) {
    let state = permit.state().clone();
    let handler = RequestHandler {
        peer,
        routes,
        limits,
        state: state.clone(),
        limiter: permit.limiter().clone(),
        connections: connections.clone(),
    };
    let service = service_fn(|request| handler.clone().handle(request));
    let io = TokioIo::new(ClientSocket::new(io, state.clone()));
    let mut connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_timeout)
        .max_buf_size(MAX_HEAD_BYTES)
        .max_headers(MAX_HEADER_LINES)
        .serve_connection(io, service);
    let mut may_close = pin!(may_close(connections, state.clone()));
    let mut shutting_down = false;
    let reason = loop {
        tokio::select! {
            // Polls the eviction first: otherwise a request could begin between the eviction and the close. Polls the
            // connection before `may_close`, so that bytes that have arrived already are read first.
            biased;
            () = state.evicted() => break CloseReason::Evicted,
            ended = &mut connection => match ended {
                Ok(()) => break CloseReason::Ended,
                Err(error) => break CloseReason::Failed(error),
            },
            () = may_close.as_mut(), if !shutting_down => {
                shutting_down = true;
                std::pin::Pin::new(&mut connection).graceful_shutdown();
            }
        }
    };
    log::debug!(reason:%, phase:? = state.phase(), is_draining = shutting_down; "client connection closed");
    if state.is_head_dropped() {
        return;
    }
    // Closes the connection in all cases. Returns at once if hyper has closed it already.
    let mut socket = connection.into_parts().io.into_inner();
    if let Err(error) = socket.shutdown().await {
        log::debug!("client connection: {error}");
    }
}

/// Waits until connections are being closed and this one is not in the middle of receiving a request head, or the time
/// for receiving that head is over.
async fn may_close(mut connections: watch::Receiver<ClientConnections>, state: Arc<ConnectionState>) {
    reached(&mut connections, ClientConnections::Draining).await;
    tokio::select! {
        () = state.no_head_pending() => {}
        () = closing_grace_over(connections) => {}
    }
}

/// Waits until `ClientConnections::Closing` has been set for [`CLOSING_GRACE`]. After that, the rest of a partly received
/// request is not awaited any longer, because the process is about to exit.
async fn closing_grace_over(mut connections: watch::Receiver<ClientConnections>) {
    reached(&mut connections, ClientConnections::Closing).await;
    tokio::time::sleep(CLOSING_GRACE).await;
}

/// The client closed its side while its request was being handled. The request is withdrawn, and none behind it is read.
#[derive(Debug, thiserror::Error)]
#[error("the client closed the connection before its response")]
struct ClientGone;

/// Handles the requests of one connection.
#[derive(Clone)]
struct RequestHandler {
    peer: Peer,
    routes: Router,
    limits: Limits,
    state: Arc<ConnectionState>,
    limiter: Arc<ConnectionLimiter>,
    connections: watch::Receiver<ClientConnections>,
}

impl RequestHandler {
    async fn handle(self, request: Request<Incoming>) -> Result<Response, ClientGone> {
        self.state.enter(Phase::InRequest);
        let chunked = request.headers().contains_key(TRANSFER_ENCODING);
        let complete = if chunked && !self.state.head().has_no_content_length() {
            Err(StatusCode::BAD_REQUEST)
        } else {
            self.state.body_started();
            let complete = read_complete(request, self.limits, &self.state, self.connections).await;
            self.state.body_ended();
            complete
        };
        let (mut response, body_size) = match complete {
            Ok((request, size)) => {
                // Polls the routes first: a response that needs no wait may still be read by a client that sends nothing more.
                let response = tokio::select! {
                    biased;
                    response = self.routes.oneshot(request) => response.into_response(),
                    () = self.peer.closed() => return Err(ClientGone),
                };
                (response, Some(size))
            }
            Err(status) => {
                log::debug!(status = status.as_u16(); "client request not complete");
                (status.into_response(), None)
            }
        };
        // Closes the connection after the response if the end of the request is not certain, if an unread part of the body
        // would be parsed as the next request (RFC 9112, section 6.3), or if new connections need its permit.
        if chunked || body_size.is_none() || self.limiter.is_nearly_full() {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        let more_arrived = self.state.head().next_request(body_size.unwrap_or_default());
        self.state.enter(if more_arrived { Phase::ReadingHead } else { Phase::Idle });
        Ok(response)
    }
}

/// Reads a request's body, and returns the complete request and the body's size. Fails with the status of the response if
/// the body is too long (it is not stored), does not arrive in time, or is incomplete when the process is about to exit or a new
/// connection needs its permit.
/// Such a request is not accepted.
async fn read_complete(
    request: Request<Incoming>, limits: Limits, state: &ConnectionState,
    connections: watch::Receiver<ClientConnections>,
) -> Result<(Request<Body>, usize), StatusCode> {
    let (head, body) = request.into_parts();
    let body = body::read(body, limits.body_limit, |length| state.body_read(length));
    let body = tokio::select! {
        biased;
        body = timeout(limits.body_timeout, body) => {
            body.map_err(|_| StatusCode::REQUEST_TIMEOUT)?
        }
        () = closing_grace_over(connections) => return Err(StatusCode::SERVICE_UNAVAILABLE),
        () = state.body_evicted() => return Err(StatusCode::SERVICE_UNAVAILABLE),
    };
    let body = body.map_err(|error| match error {
        BodyError::TooLong(_) => StatusCode::PAYLOAD_TOO_LARGE,
        BodyError::Broken(_) => StatusCode::BAD_REQUEST,
    })?;
    let size = body.len();
    Ok((Request::from_parts(head, body.into()), size))
}
