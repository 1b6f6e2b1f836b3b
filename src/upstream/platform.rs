//! The platform's HTTP encoding of calls with one message.
use super::connection::{UpstreamError, UpstreamRequest};
use super::monitored_stream::CallMonitor;
use super::pool::{Call, Pool, PooledConnection};
use super::response::{self, CallKind};
use crate::body;
use crate::core::Attempt;
use crate::exchange::{AttemptResult, Exchange};
use crate::Outcome;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{HeaderMap, CONNECTION};
use hyper::{Request, Response, StatusCode};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;

/// How long to wait for the rest of a response once the outcome is known. Usually the rest has already arrived, and the wait
/// makes the connection available before the next call is decided.
pub(super) const COMPLETION_GRACE_PERIOD: Duration = Duration::from_millis(3);

/// How long to read the rest of a response to a message that is already delivered.
const DELIVERED_READ_TIMEOUT: Duration = Duration::from_millis(100);

/// Makes a call that carries one attempt. Dropping this future cancels the call and closes its connection.
pub(super) async fn call(pool: Arc<Pool>, attempt: &Attempt, exchange: &Exchange) -> AttemptResult {
    let request = match encode(attempt) {
        Ok(request) => request,
        Err(e) => {
            log::error!("cannot encode an attempt of message {}: {e}", attempt.context.name);
            return Outcome::Skipped.into();
        }
    };
    let to = request.uri().clone();
    let make_request = || exchange.may_send(attempt.into()).then_some(request);
    let listener = response::retry_after_listener(attempt, CallKind::Single, exchange);
    let mut call = match pool.call(to, make_request, listener).await {
        Ok(call) => call,
        Err(error) => return result_of_failed_call(&attempt.address, &error),
    };
    let monitor = call.monitor.clone();
    let head = tokio::select! {
        biased;
        head = call.head() => Some(head),
        () = monitor.outcome_decided() => timeout(COMPLETION_GRACE_PERIOD, call.head()).await.ok(),
    };
    match head {
        Some(Ok((response, connection))) => {
            handle_response(response, connection, &monitor, &attempt.address).await
        }
        // With status 200 the message is delivered, even if the rest of the response cannot be read.
        Some(Err(_)) if monitor.has_status_ok() => Outcome::Ok.into(),
        Some(Err(error)) => result_of_failed_head(&monitor, &attempt.address, &error),
        None if monitor.has_status_ok() => {
            tokio::spawn(timeout(DELIVERED_READ_TIMEOUT, read_head_and_body(call)));
            Outcome::Ok.into()
        }
        None => response::result_of_malformed_response(&attempt.address, None, "its head is incomplete"),
    }
}

fn encode(attempt: &Attempt) -> Result<UpstreamRequest, hyper::http::Error> {
    let context = &attempt.context;
    let mut request = Request::post(format!("http://{}/v1/messages", attempt.address))
        .header("x-request-id", &context.name)
        .header("x-deadline", format!("{}m", attempt.timeout.0 / 1_000_000));
    if !context.idempotency_key.is_empty() {
        request = request.header("idempotency-key", &context.idempotency_key);
    }
    request.body(Full::new(context.body.clone()))
}

/// Interprets a response whose head was parsed, and reads its body.
async fn handle_response(
    response: Response<Incoming>, connection: PooledConnection, monitor: &CallMonitor, address: &str,
) -> AttemptResult {
    let (head, body) = response.into_parts();
    if head.status == StatusCode::SWITCHING_PROTOCOLS {
        return response::result_of_malformed_response(address, Some(head.status), "unexpected status 101");
    }
    if response::is_decided_by_head(CallKind::Single, head.status) {
        // The body is ignored and may never end, so it is read in the background. Usually it has already arrived, and the short
        // wait lets the next call reuse this connection instead of opening another.
        let mut end = tokio::spawn(timeout(DELIVERED_READ_TIMEOUT, finish_response(body, connection)));
        let _ = timeout(COMPLETION_GRACE_PERIOD, &mut end).await;
        return response::result_of_complete_response(CallKind::Single, head.status, &head.headers);
    }
    if let Err(result) = response::discard_body(address, head.status, body).await {
        return result;
    }
    let _ = timeout(COMPLETION_GRACE_PERIOD, connection.release_when_ready()).await;
    let mut result = response::result_of_complete_response(CallKind::Single, head.status, &head.headers);
    // A rejection without Retry-After that closes a new connection means that the endpoint has reached its connection limit.
    let is_rejected = result.outcome == Outcome::Rejected(None);
    if is_rejected && monitor.is_first_on_connection() && closes_connection(&head.headers) {
        result.outcome = Outcome::ConnectionLimit;
    }
    result
}

/// Returns whether the endpoint closes the connection after this response (RFC 9112, section 9.6).
fn closes_connection(headers: &HeaderMap) -> bool {
    headers.get(CONNECTION).is_some_and(|c| c.as_bytes().eq_ignore_ascii_case(b"close"))
}

/// Returns the result of an attempt whose response head could not be read.
pub(super) fn result_of_failed_head(
    monitor: &CallMonitor, address: &str, error: &UpstreamError,
) -> AttemptResult {
    if monitor.has_response_bytes() {
        return response::result_of_malformed_response(address, None, &error.to_string());
    }
    // The connection was unusable before the first byte was written, which says nothing about the health of the endpoint.
    if monitor.is_unwritten() {
        log::debug!("{address}: {error}; the call was not sent");
        return Outcome::Skipped.into();
    }
    result_of_failed_call(address, error)
}

/// Reads the rest of a response whose call is already decided.
async fn read_head_and_body(mut call: Call) -> Result<(), UpstreamError> {
    let (response, connection) = call.head().await?;
    finish_response(response.into_body(), connection).await;
    Ok(())
}

/// Reads a response body so that the connection can be reused. A body that is not complete closes the connection.
async fn finish_response(body: Incoming, connection: PooledConnection) {
    if body::discard(body, response::MAX_BODY_BYTES).await.is_ok() {
        connection.release_when_ready().await;
    }
}

/// Returns the result of an attempt whose call failed. The call has not run if no connection was established or the request was
/// returned before it was written. Otherwise its last byte may have been sent, so the call may have run.
pub(super) fn result_of_failed_call(address: &str, error: &UpstreamError) -> AttemptResult {
    log::debug!("{address}: {error}");
    let outcome = match error {
        UpstreamError::Connect(_) | UpstreamError::NotWritten(_) => Outcome::ConnectFailed,
        UpstreamError::NotSent => Outcome::NotSent,
        UpstreamError::Broken(_) => Outcome::Reset,
    };
    outcome.into()
}
