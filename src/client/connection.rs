//! Serves one client connection: reads whole requests within their bounds, has them answered, and closes in order.
use super::limiter::{ConnectionLimiter, ConnectionPermit, ConnectionState, Phase};
use super::socket::{ClientSocket, DISCARD_TIMEOUT};
use super::FINAL_RESPONSES;
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
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, AsyncWriteExt};
use tokio::sync::watch;
use tokio::time::timeout;
use tower::ServiceExt;

/// What one listener allows a client connection.
#[derive(Clone, Copy)]
pub struct Limits {
    /// For a head, the first and each next one: so long a connection may also stand idle.
    pub head_timeout: Duration,
    /// For the body of a request, from the end of its head.
    pub body_timeout: Duration,
    /// Bytes of a body.
    pub body_limit: usize,
}

/// A head holds a dozen short lines.
const HEAD_BYTES_LIMIT: usize = 16 * 1024;
const HEADER_LINES_LIMIT: usize = 64;
/// Once connections are being closed: how long one waits for the rest of a request that is on its way. Shorter than
/// `FINAL_RESPONSES`, so that the request still gets its answer.
const CLOSING_GRACE: Duration = Duration::from_millis(100);

const _: () = assert!(
    CLOSING_GRACE.as_millis() + DISCARD_TIMEOUT.as_millis() < FINAL_RESPONSES.as_millis(),
    "what is on its way has its answer, and its connection its close, before the process stops waiting"
);

/// Serves one client connection until it ends, is closed or is evicted.
pub(super) async fn serve(
    io: impl AsyncRead + AsyncWrite + Unpin, routes: Router, limits: Limits, permit: ConnectionPermit,
    closing: watch::Receiver<bool>,
) {
    let state = permit.state().clone();
    let context = AnswerContext {
        routes,
        limits,
        state: state.clone(),
        limiter: permit.limiter().clone(),
        closing: closing.clone(),
    };
    let service = service_fn(|request| answer(request, context.clone()));
    let io = TokioIo::new(ClientSocket::new(io, state.clone()));
    let mut connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_timeout)
        .max_buf_size(HEAD_BYTES_LIMIT)
        .max_headers(HEADER_LINES_LIMIT)
        .serve_connection(io, service);
    let mut may_close = std::pin::pin!(may_close(closing, state.clone()));
    let mut told = false;
    loop {
        tokio::select! {
            // Evicted first, or a request could begin between the eviction and this. Then what has come already.
            biased;
            () = state.evicted() => break,
            end = &mut connection => {
                if let Err(e) = end {
                    log::debug!("client connection: {e}");
                }
                break;
            }
            () = may_close.as_mut(), if !told => {
                told = true;
                std::pin::Pin::new(&mut connection).graceful_shutdown();
            }
        }
    }
    // Whatever ended it: one close for all. It returns at once where hyper has closed the connection already.
    let mut socket = connection.into_parts().io.into_inner();
    if let Err(e) = socket.shutdown().await {
        log::debug!("client connection: {e}");
    }
}

/// Returns when connections are to be closed and this one expects no request that is on its way already.
async fn may_close(closing: watch::Receiver<bool>, state: Arc<ConnectionState>) {
    told_to_close(closing).await;
    let _ = timeout(CLOSING_GRACE, state.head_settled()).await;
}

/// Returns when connections are to be closed.
async fn told_to_close(mut closing: watch::Receiver<bool>) {
    if closing.wait_for(|closing| *closing).await.is_err() {
        // Nobody is left to say so.
        std::future::pending::<()>().await;
    }
}

/// What a request of a connection is answered with.
#[derive(Clone)]
struct AnswerContext {
    routes: Router,
    limits: Limits,
    state: Arc<ConnectionState>,
    limiter: Arc<ConnectionLimiter>,
    closing: watch::Receiver<bool>,
}

async fn answer(request: Request<Incoming>, context: AnswerContext) -> Result<Response, Infallible> {
    let AnswerContext { routes, limits, state, limiter, closing } = context;
    state.enter(Phase::InRequest);
    let chunked = request.headers().contains_key(TRANSFER_ENCODING);
    let whole = if chunked && !state.head().has_transfer_encoding_alone() {
        Err(StatusCode::BAD_REQUEST)
    } else {
        read_whole(request, limits, closing).await
    };
    let (mut response, body_size) = match whole {
        Ok((request, size)) => (routes.oneshot(request).await.into_response(), Some(size)),
        Err(status) => (status.into_response(), None),
    };
    // Where a request ends is not sure, or what was not read of it lies in the way of the next one.
    if chunked || body_size.is_none() || limiter.is_crowded() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    let more = state.head().next_request(body_size.unwrap_or_default());
    state.enter(if more { Phase::ReadingHead } else { Phase::Idle });
    Ok(response)
}

/// Waits for a whole body. One that is too long is answered without being kept, one without end is not waited for, and
/// while connections are being closed one that does not come soon is refused: it was never taken on.
async fn read_whole(
    request: Request<Incoming>, limits: Limits, closing: watch::Receiver<bool>,
) -> Result<(Request<Body>, usize), StatusCode> {
    let (head, body) = request.into_parts();
    if body.size_hint().lower() > limits.body_limit as u64 {
        return Err(StatusCode::PAYLOAD_TOO_LARGE);
    }
    let body = Limited::new(body, limits.body_limit).collect();
    let closed = async {
        told_to_close(closing).await;
        tokio::time::sleep(CLOSING_GRACE).await;
    };
    let body = tokio::select! {
        biased;
        body = timeout(limits.body_timeout, body) => body.map_err(|_| StatusCode::REQUEST_TIMEOUT)?,
        () = closed => return Err(StatusCode::SERVICE_UNAVAILABLE),
    };
    let body = body.map_err(|e| match e.is::<LengthLimitError>() {
        true => StatusCode::PAYLOAD_TOO_LARGE,
        false => StatusCode::BAD_REQUEST,
    })?;
    let body = body.to_bytes();
    let size = body.len();
    Ok((Request::from_parts(head, body.into()), size))
}
