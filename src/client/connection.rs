//! Serves one client connection: reads complete requests within their limits, has them answered, and closes without
//! losing a response.
use super::limiter::{ConnectionLimiter, ConnectionPermit, ConnectionState, Phase};
use super::socket::{ClientSocket, DISCARD_TIMEOUT};
use super::{reached, FINAL_RESPONSE_TIMEOUT};
use crate::exchange::ClientConnections;
use axum::body::Body;
use axum::response::{IntoResponse, Response};
use axum::Router;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body as _, Incoming};
use hyper::header::{HeaderValue, CONNECTION, TRANSFER_ENCODING};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, AsyncWriteExt};
use tokio::sync::watch;
use tokio::time::timeout;
use tower::ServiceExt;

/// What a client connection may use.
#[derive(Clone, Copy)]
pub struct Limits {
    /// How long a request head may take, the first and each further one; so long a connection may also stand idle.
    pub head_timeout: Duration,
    /// How long a request's body may take, from the end of its head.
    pub body_timeout: Duration,
    /// The most bytes of a request's body.
    pub body_limit: usize,
}

/// The most bytes of a request head; clients send a dozen short lines.
const HEAD_BYTES_LIMIT: usize = 16 * 1024;
/// The most header lines of a request.
const HEADER_LINES_LIMIT: usize = 64;
/// Once the process ends: how long one waits for the rest of a request that is arriving. Shorter than
/// `FINAL_RESPONSE_TIMEOUT`, so that the request still gets its response.
const CLOSING_GRACE: Duration = Duration::from_millis(100);

const _: () = assert!(
    CLOSING_GRACE.as_millis() + DISCARD_TIMEOUT.as_millis() < FINAL_RESPONSE_TIMEOUT.as_millis(),
    "an arriving request has its response, and its connection is closed, before the process stops waiting"
);

/// Serves one client connection until it ends, is closed or is evicted.
pub(super) async fn serve(
    io: impl AsyncRead + AsyncWrite + Unpin, routes: Router, limits: Limits, permit: ConnectionPermit,
    connections: watch::Receiver<ClientConnections>,
) {
    let state = permit.state().clone();
    let handler = RequestHandler {
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
        .max_buf_size(HEAD_BYTES_LIMIT)
        .max_headers(HEADER_LINES_LIMIT)
        .serve_connection(io, service);
    let mut may_close = pin!(may_close(connections, state.clone()));
    let mut shutting_down = false;
    loop {
        tokio::select! {
            // Eviction first, or a request could begin between the eviction and the close. Then what has arrived
            // already.
            biased;
            () = state.evicted() => break,
            ended = &mut connection => {
                if let Err(error) = ended {
                    log::debug!("client connection: {error}");
                }
                break;
            }
            () = may_close.as_mut(), if !shutting_down => {
                shutting_down = true;
                std::pin::Pin::new(&mut connection).graceful_shutdown();
            }
        }
    }
    // Whatever ended it, every connection is closed here. This returns at once if hyper has closed it already.
    let mut socket = connection.into_parts().io.into_inner();
    if let Err(error) = socket.shutdown().await {
        log::debug!("client connection: {error}");
    }
}

/// Returns when connections are being closed and no request is arriving on this one, or one that is arriving is given up.
async fn may_close(mut connections: watch::Receiver<ClientConnections>, state: Arc<ConnectionState>) {
    reached(&mut connections, ClientConnections::Draining).await;
    tokio::select! {
        () = state.head_settled() => {}
        () = given_up(connections) => {}
    }
}

/// Returns when the process ends so soon that a request that is still arriving is given up.
async fn given_up(mut connections: watch::Receiver<ClientConnections>) {
    reached(&mut connections, ClientConnections::Closing).await;
    tokio::time::sleep(CLOSING_GRACE).await;
}

/// Handles the requests of one connection.
#[derive(Clone)]
struct RequestHandler {
    routes: Router,
    limits: Limits,
    state: Arc<ConnectionState>,
    limiter: Arc<ConnectionLimiter>,
    connections: watch::Receiver<ClientConnections>,
}

impl RequestHandler {
    async fn handle(self, request: Request<Incoming>) -> Result<Response, Infallible> {
        self.state.enter(Phase::InRequest);
        let chunked = request.headers().contains_key(TRANSFER_ENCODING);
        let complete = if chunked && !self.state.head().has_transfer_encoding_alone() {
            Err(StatusCode::BAD_REQUEST)
        } else {
            read_complete(request, self.limits, self.connections).await
        };
        let (mut response, body_size) = match complete {
            Ok((request, size)) => {
                let response = self.routes.oneshot(request).await.into_response();
                (response, Some(size))
            }
            Err(status) => (status.into_response(), None),
        };
        // The end of the request is not certain, or its unread rest would be taken for the next request (RFC 9112,
        // section 6.3), or the connection's place is needed.
        if chunked || body_size.is_none() || self.limiter.is_crowded() {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        let more_arrived = self.state.head().next_request(body_size.unwrap_or_default());
        self.state.enter(if more_arrived { Phase::ReadingHead } else { Phase::Idle });
        Ok(response)
    }
}

/// Reads a request's body; returns the complete request and the body's size. A body that is too long is not stored, one
/// that does not arrive in time is given up, and while the process ends it is given up soon: the request was not
/// accepted.
async fn read_complete(
    request: Request<Incoming>, limits: Limits, connections: watch::Receiver<ClientConnections>,
) -> Result<(Request<Body>, usize), StatusCode> {
    let (head, body) = request.into_parts();
    if body.size_hint().lower() > limits.body_limit as u64 {
        return Err(StatusCode::PAYLOAD_TOO_LARGE);
    }
    let body = Limited::new(body, limits.body_limit).collect();
    let body = tokio::select! {
        biased;
        body = timeout(limits.body_timeout, body) => body.map_err(|_| StatusCode::REQUEST_TIMEOUT)?,
        () = given_up(connections) => return Err(StatusCode::SERVICE_UNAVAILABLE),
    };
    let body = body.map_err(|error| match error.is::<LengthLimitError>() {
        true => StatusCode::PAYLOAD_TOO_LARGE,
        false => StatusCode::BAD_REQUEST,
    })?;
    let body = body.to_bytes();
    let size = body.len();
    Ok((Request::from_parts(head, body.into()), size))
}
