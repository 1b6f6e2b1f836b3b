//! The platform's HTTP encoding of calls with one message, and the interpretation of the responses.
use super::connection::UpstreamError;
use super::monitored_stream::{CallMonitor, HeaderListener};
use super::pool::{Call, Pool, PooledConnection};
use crate::body;
use crate::core::Attempt;
use crate::exchange::{AttemptResult, Exchange};
use crate::{DestinationId, LoadReport, Nanos, Outcome};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{HeaderMap, CONNECTION, RETRY_AFTER};
use hyper::{Request, Response, StatusCode};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;

/// Number of bytes of a response body that are read. The body is ignored and is read only so that the connection can be reused.
const MAX_BODY_BYTES: usize = 64 * 1024;
/// How long to read a response body.
const BODY_TIMEOUT: Duration = Duration::from_millis(100);
/// How long to wait for the rest of a response once the outcome is known. Usually the rest has already arrived, and the wait
/// makes the connection available before the next call is decided.
pub(super) const COMPLETION_GRACE_PERIOD: Duration = Duration::from_millis(3);

/// The response header with the load report of a destination.
const LOAD_REPORT_HEADER: &str = "x-load";
/// The largest plausible value in a load report.
const MAX_LOAD_VALUE: f64 = 1e6;
/// The header of a 503 that indicates that the endpoint has no free slot and has not run the call.
const NO_SLOT_HEADER: &str = "x-no-slot";

/// The longest Retry-After that is respected, in seconds. Longer than the deadline of any message, and short enough to wait out.
const MAX_RETRY_AFTER_SECS: f64 = 3600.0;

/// Whether a call carries one message or several.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum CallKind {
    Single,
    Batch,
}

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
    let listener = retry_after_listener(attempt, CallKind::Single, exchange);
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
            tokio::spawn(timeout(BODY_TIMEOUT, read_head_and_body(call)));
            Outcome::Ok.into()
        }
        None => unreadable_response(&attempt.address, "its head is incomplete"),
    }
}

fn encode(attempt: &Attempt) -> Result<Request<Full<bytes::Bytes>>, hyper::http::Error> {
    let context = &attempt.context;
    let mut request = Request::post(format!("http://{}/v1/messages", attempt.address))
        .header("x-request-id", &context.name)
        .header("x-deadline", format!("{}m", attempt.timeout.0 / 1_000_000));
    if !context.idempotency_key.is_empty() {
        request = request.header("idempotency-key", &context.idempotency_key);
    }
    request.body(Full::new(context.body.clone()))
}

/// Returns a listener that reports the Retry-After of a response as soon as its header line arrives. A Retry-After applies to the
/// partner and not to the message, so it is respected even if the head is incomplete or malformed or the call was cancelled.
pub(super) fn retry_after_listener(attempt: &Attempt, kind: CallKind, exchange: &Exchange) -> HeaderListener {
    let (host, dest, exchange) = (attempt.host, DestinationId(attempt.context.dest), exchange.clone());
    Box::new(move |status, line| {
        let Some((name, value)) = line.split_once(':') else { return };
        if !name.trim().eq_ignore_ascii_case(RETRY_AFTER.as_str()) || !may_reject(status, kind) {
            return;
        }
        if let Some(wait) = parse_retry_after(value) {
            exchange.retry_after_received(host, dest, wait);
        }
    })
}

/// Returns whether a response with this status may mean that a message never ran, so that its Retry-After applies (RFC 9110,
/// section 10.2.3). A 200 response to a batch may reject some of its messages.
fn may_reject(status: u16, kind: CallKind) -> bool {
    match status {
        429 | 503 => true,
        200 => kind == CallKind::Batch,
        _ => false,
    }
}

/// Interprets a response whose head was parsed, and reads its body.
async fn handle_response(
    response: Response<Incoming>, connection: PooledConnection, monitor: &CallMonitor, address: &str,
) -> AttemptResult {
    if response.status() == StatusCode::SWITCHING_PROTOCOLS {
        return unreadable_response(address, "unexpected status 101");
    }
    let mut result = result_of_head(response.status(), response.headers());
    // A rejection without Retry-After that closes a new connection means that the endpoint has reached its connection limit.
    let is_rejected = result.outcome == Outcome::Rejected(None);
    if is_rejected && monitor.is_first_on_connection() && closes_connection(&response) {
        result.outcome = Outcome::ConnectionLimit;
    }
    // The body is ignored and may never end, so it is read in the background. Usually it has already arrived, and the short wait
    // lets the next call reuse this connection instead of opening another.
    let mut body = tokio::spawn(timeout(BODY_TIMEOUT, read_body(response, connection)));
    let _ = timeout(COMPLETION_GRACE_PERIOD, &mut body).await;
    result
}

/// Returns the result of an attempt whose response head could not be read.
pub(super) fn result_of_failed_head(
    monitor: &CallMonitor, address: &str, error: &UpstreamError,
) -> AttemptResult {
    if monitor.has_response_bytes() {
        return unreadable_response(address, &error.to_string());
    }
    // The connection was unusable before the first byte was written, which says nothing about the health of the endpoint.
    if monitor.is_unwritten() {
        log::debug!("{address}: {error}; the call was not sent");
        return Outcome::Skipped.into();
    }
    result_of_failed_call(address, error)
}

/// Returns whether the endpoint closes the connection after this response (RFC 9112, section 9.6).
fn closes_connection(response: &Response<Incoming>) -> bool {
    response.headers().get(CONNECTION).is_some_and(|c| c.as_bytes().eq_ignore_ascii_case(b"close"))
}

/// Returns the result of an attempt whose response cannot be read. The call may have run.
pub(super) fn unreadable_response(address: &str, reason: &str) -> AttemptResult {
    log::debug!("{address}: unreadable response: {reason}");
    Outcome::UnreadableAnswer.into()
}

async fn read_head_and_body(mut call: Call) -> Result<(), UpstreamError> {
    let (response, connection) = call.head().await?;
    read_body(response, connection).await;
    Ok(())
}

/// Reads a response body so that the connection can be reused. A body that is too long closes the connection.
async fn read_body(response: Response<Incoming>, connection: PooledConnection) {
    let _ = body::discard(response.into_body(), MAX_BODY_BYTES).await;
    connection.release_when_ready().await;
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

/// Returns the result that the head of a response indicates.
pub(super) fn result_of_head(status: StatusCode, headers: &HeaderMap) -> AttemptResult {
    let outcome = match status.as_u16() {
        200 => Outcome::Ok,
        429 => Outcome::Rejected(retry_after(headers)),
        503 if headers.contains_key(NO_SLOT_HEADER) => Outcome::Skipped,
        503 => Outcome::Rejected(retry_after(headers)),
        504 | 410 => Outcome::Skipped,
        _ => Outcome::Error,
    };
    AttemptResult { outcome, is_message_over: status == StatusCode::GONE, report: load_report(headers) }
}

fn load_report(headers: &HeaderMap) -> Option<LoadReport> {
    let value = headers.get(LOAD_REPORT_HEADER)?.to_str().ok()?;
    parse_load_report(value)
}

/// Parses a load report: the unused share of the destination's limit, and its limit in calls per second, 0 for none. Returns
/// `None` for an implausible value, so that it cannot affect the pacing.
fn parse_load_report(value: &str) -> Option<LoadReport> {
    Some(LoadReport { left: load_value(value, "x0")?, limit: load_value(value, "x1")? })
}

/// Returns the value of this field in a list of the form `x0=0.4,x1=25`, if it is plausible.
fn load_value(list: &str, name: &str) -> Option<f64> {
    let mut fields = list.split(',').filter_map(|field| field.split_once('='));
    let (_, value) = fields.find(|(field, _)| field.trim() == name)?;
    let value = value.trim().parse::<f64>().ok()?;
    (0.0..=MAX_LOAD_VALUE).contains(&value).then_some(value)
}

/// Returns the Retry-After of a response. The platform writes seconds with a fraction, whereas RFC 9110, section 10.2.3 defines
/// whole seconds only.
pub(super) fn retry_after(headers: &HeaderMap) -> Option<Nanos> {
    parse_retry_after(headers.get(RETRY_AFTER)?.to_str().unwrap_or_default())
}

/// Parses a Retry-After value and bounds it. A value that is not a positive number is ignored. A value over an hour is reduced to
/// an hour, because an erroneous value could otherwise exclude a partner until the next restart.
fn parse_retry_after(value: &str) -> Option<Nanos> {
    let value = value.trim();
    match value.parse::<f64>() {
        Ok(secs) if secs > MAX_RETRY_AFTER_SECS => {
            log::warn!(value; "Retry-After exceeds {MAX_RETRY_AFTER_SECS} s; waiting {MAX_RETRY_AFTER_SECS} s instead");
            Some(Nanos::from_secs(MAX_RETRY_AFTER_SECS))
        }
        Ok(secs) if secs > 0.0 => Some(Nanos::from_secs(secs)),
        Ok(0.0) => None,
        Ok(_) | Err(_) => {
            log::warn!(value; "ignored a Retry-After that is not a positive number of seconds");
            None
        }
    }
}

#[cfg(test)]
mod tests;
