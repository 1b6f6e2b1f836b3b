//! The platform's encoding of an attempt: a call to an endpoint, and what its answer means.
use super::connection::UpstreamError;
use super::monitored_stream::{CallMonitor, HeaderListener};
use super::pool::{Call, Pool, PooledConnection};
use crate::core::Attempt;
use crate::exchange::{AttemptResult, Exchange};
use crate::{DestinationId, LoadReport, Nanos, Outcome};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{HeaderMap, CONNECTION, RETRY_AFTER};
use hyper::{Request, Response, StatusCode};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;

/// Bytes of an answer's body that are read. It means nothing, and is read for the connection to be used again.
const MAX_BODY_BYTES: usize = 64 * 1024;
/// How long an answer's body is read.
const BODY_TIMEOUT: Duration = Duration::from_millis(100);
/// How long the rest of an answer is waited for once its outcome is known. Mostly it is there, and then its connection is
/// free for the next call before that is decided.
pub(super) const COMPLETION_GRACE_PERIOD: Duration = Duration::from_millis(3);

/// The header in which a destination reports its load.
const LOAD_REPORT_HEADER: &str = "x-load";
/// The largest value of a load report that is believed.
const MAX_LOAD_VALUE: f64 = 1e6;
/// The header of a 503 that says that the endpoint has no slot free and has not run the call.
const NO_SLOT_HEADER: &str = "x-no-slot";

/// The longest Retry-After that is heeded, in seconds: past any message's deadline, and short enough to be waited out.
const MAX_RETRY_AFTER_SECS: f64 = 3600.0;

/// How many messages a call carries.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum CallKind {
    Single,
    Batch,
}

/// Makes the call of one attempt. Dropping this future cancels it, which closes its connection.
pub(super) async fn call(pool: Arc<Pool>, attempt: &Attempt, exchange: &Exchange) -> AttemptResult {
    let request = match encode(attempt) {
        Ok(request) => request,
        Err(e) => {
            log::error!("attempt of {} cannot be encoded: {e}", attempt.context.name);
            return Outcome::Skipped.into();
        }
    };
    let to = request.uri().clone();
    let make_request = || exchange.may_send(attempt.into()).then_some(request);
    let listener = retry_after_listener(attempt, CallKind::Single, exchange);
    let mut call = match pool.call(to, make_request, listener).await {
        Ok(call) => call,
        Err(error) => return call_failed(&attempt.address, &error),
    };
    let monitor = call.monitor.clone();
    let head = tokio::select! {
        biased;
        head = call.head() => Some(head),
        () = monitor.answer_decided() => timeout(COMPLETION_GRACE_PERIOD, call.head()).await.ok(),
    };
    match head {
        Some(Ok((answer, connection))) => answered(answer, connection, &monitor, &attempt.address).await,
        // The call has run: where its status line says 200 it is a delivery, whatever follows.
        Some(Err(_)) if monitor.has_status_ok() => Outcome::Ok.into(),
        Some(Err(error)) => head_failed(&monitor, &attempt.address, &error),
        None if monitor.has_status_ok() => {
            tokio::spawn(timeout(BODY_TIMEOUT, read_head_and_body(call)));
            Outcome::Ok.into()
        }
        None => unreadable_answer(&attempt.address, "its head does not end"),
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

/// Reports the Retry-After of an answer as its head comes, line by line. It belongs to the partner and not to the message, so
/// it counts also where the head never ends or cannot be read, and where nobody waits for the answer any more.
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

/// Whether an answer with this status may say that a message never ran, so that its Retry-After counts (RFC 9110, section
/// 10.2.3). The answer to a batch may reject some of its messages.
fn may_reject(status: u16, kind: CallKind) -> bool {
    match status {
        429 | 503 => true,
        200 => kind == CallKind::Batch,
        _ => false,
    }
}

/// What an answer means whose head could be read.
async fn answered(
    answer: Response<Incoming>, connection: PooledConnection, monitor: &CallMonitor, address: &str,
) -> AttemptResult {
    if answer.status() == StatusCode::SWITCHING_PROTOCOLS {
        return unreadable_answer(address, "it is a 101");
    }
    let mut result = result_of_head(answer.status(), answer.headers());
    // A new connection that ends with a rejection without Retry-After: the endpoint holds as many connections as it takes.
    let is_rejected = result.outcome == Outcome::Rejected(None);
    if is_rejected && monitor.is_first_on_connection() && closes_connection(&answer) {
        result.outcome = Outcome::ConnectionLimit;
    }
    // The body means nothing, and may never end. Guards against surplus connections: mostly it is there, and then the next
    // call finds this connection free instead of opening another.
    let mut body = tokio::spawn(timeout(BODY_TIMEOUT, read_body(answer, connection)));
    let _ = timeout(COMPLETION_GRACE_PERIOD, &mut body).await;
    result
}

/// What it means that the head of an answer could not be read.
pub(super) fn head_failed(monitor: &CallMonitor, address: &str, error: &UpstreamError) -> AttemptResult {
    if monitor.has_answer_bytes() {
        return unreadable_answer(address, &error.to_string());
    }
    // Found closed before the first byte was written: that says nothing about the endpoint, only about a connection.
    if monitor.is_unwritten() {
        log::debug!("{address}: {error}: not sent");
        return Outcome::Skipped.into();
    }
    call_failed(address, error)
}

/// Whether the connection ends with this answer (RFC 9112, section 9.6).
fn closes_connection(answer: &Response<Incoming>) -> bool {
    answer.headers().get(CONNECTION).is_some_and(|c| c.as_bytes().eq_ignore_ascii_case(b"close"))
}

/// An answer came that cannot be read: the call may have run.
pub(super) fn unreadable_answer(address: &str, reason: &str) -> AttemptResult {
    log::debug!("{address}: unreadable answer: {reason}");
    Outcome::UnreadableAnswer.into()
}

async fn read_head_and_body(mut call: Call) -> Result<(), UpstreamError> {
    let (answer, connection) = call.head().await?;
    read_body(answer, connection).await;
    Ok(())
}

/// Reads an answer's body, for the connection to be used again. One that is too long closes it.
async fn read_body(answer: Response<Incoming>, connection: PooledConnection) {
    let _ = Limited::new(answer.into_body(), MAX_BODY_BYTES).collect().await;
    connection.release_when_ready().await;
}

/// What it means that a call failed. It never ran where no connection came up, or where the request was handed back before it
/// was written. After that its last byte may have been sent, so it may have run.
pub(super) fn call_failed(address: &str, error: &UpstreamError) -> AttemptResult {
    log::debug!("{address}: {error}");
    let outcome = match error {
        UpstreamError::Connect(_) | UpstreamError::NotWritten(_) => Outcome::ConnectFailed,
        UpstreamError::NotSent => Outcome::NotSent,
        UpstreamError::Broken(_) => Outcome::Reset,
    };
    outcome.into()
}

/// What the head of an answer means.
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

/// A destination's load report: the share of its limit that is left, and the calls a second that it allows, 0 for none.
/// Guards the pacing against values that no endpoint can mean: then it counts as no report.
fn parse_load_report(value: &str) -> Option<LoadReport> {
    Some(LoadReport { left: load_value(value, "x0")?, limit: load_value(value, "x1")? })
}

/// The value of this field in a list of the form `x0=0.4,x1=25`.
fn load_value(list: &str, name: &str) -> Option<f64> {
    let mut fields = list.split(',').filter_map(|field| field.split_once('='));
    let (_, value) = fields.find(|(field, _)| field.trim() == name)?;
    let value = value.trim().parse::<f64>().ok()?;
    (0.0..=MAX_LOAD_VALUE).contains(&value).then_some(value)
}

/// The Retry-After of an answer, as the platform writes it: in seconds, with a fraction (RFC 9110, section 10.2.3 knows whole
/// seconds).
pub(super) fn retry_after(headers: &HeaderMap) -> Option<Nanos> {
    parse_retry_after(headers.get(RETRY_AFTER)?.to_str().unwrap_or_default())
}

/// Guards against values that no endpoint can mean: what is no number or not positive is none, and what is longer than an
/// hour is an hour, or a slip would shut a partner out until the next restart.
fn parse_retry_after(value: &str) -> Option<Nanos> {
    let value = value.trim();
    match value.parse::<f64>() {
        Ok(secs) if secs > MAX_RETRY_AFTER_SECS => {
            log::warn!(value; "retry-after is longer than {MAX_RETRY_AFTER_SECS} s: taken for that");
            Some(Nanos::from_secs(MAX_RETRY_AFTER_SECS))
        }
        Ok(secs) if secs > 0.0 => Some(Nanos::from_secs(secs)),
        Ok(0.0) => None,
        Ok(_) | Err(_) => {
            log::warn!(value; "retry-after is no time that can be waited: ignored");
            None
        }
    }
}

#[cfg(test)]
mod tests;
