//! Interprets the responses of endpoints and AS2 partners. This module alone decides what a response proves about its call, and
//! from which moment on.
//!
//! | part of the response | what it proves | from which moment on |
//! | --- | --- | --- |
//! | status line 200 of a call with one message | the message is delivered | the line is complete |
//! | `Retry-After` of a status that may reject | the endpoint takes no call for that time | its line is complete, in any response |
//! | every other status, header field and body | what [`result_of_complete_response`] returns | head and body are complete |
//!
//! A response that is malformed, ends early or does not arrive in time proves nothing else: the call may have run, whatever its
//! status line says.
use super::monitored_stream::HeaderListener;
use crate::body::{self, BodyError};
use crate::core::Attempt;
use crate::exchange::{AttemptResult, Exchange};
use crate::{DestinationId, LoadReport, Nanos, Outcome};
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::{HeaderMap, RETRY_AFTER};
use hyper::StatusCode;
use std::future::Future;
use std::time::Duration;
use tokio::time::timeout;

/// The longest body of a response in bytes. A longer one makes the response malformed.
pub(super) const MAX_BODY_BYTES: usize = 64 * 1024;
/// How long to wait for the body of a response after its head. Endpoints write the body at once. Without this timeout, a call
/// with an at-most-once message would occupy its slot until the deadline of that message.
const BODY_TIMEOUT: Duration = Duration::from_secs(1);

/// The response header with the load report of a destination.
const LOAD_REPORT_HEADER: &str = "x-load";
/// The largest plausible value in a load report.
const MAX_LOAD_VALUE: f64 = 1e6;
/// The header of a 503 that indicates that the endpoint has no free slot and has not run the call.
const NO_SLOT_HEADER: &str = "x-no-slot";
/// The longest Retry-After that is respected, in seconds. Longer than the deadline of any message, and short enough to wait out.
const MAX_RETRY_AFTER_SECS: f64 = 3600.0;

/// The encoding of a call, which defines what the statuses of its response mean.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallKind {
    /// The platform's call with one message.
    Single,
    /// The platform's call with several messages.
    Batch,
    /// An AS2 message (RFC 4130).
    As2,
}

/// The reason why the body of a response is not complete.
#[derive(Debug, thiserror::Error)]
enum IncompleteBody {
    /// The body did not end in time.
    #[error("its body did not end within {BODY_TIMEOUT:?}")]
    TimedOut,
    /// The body is malformed, too long or ended early.
    #[error("its body is malformed, too long or ended early: {0}")]
    Malformed(#[from] BodyError),
}

/// Waits for the end of a response's body and returns the body.
///
/// # Errors
///
/// Returns the result of the call if the body is malformed, is longer than 64 KiB, ends early or does not end within a second.
pub(super) async fn read_body(
    address: &str, status: StatusCode, body: Incoming,
) -> Result<Bytes, AttemptResult> {
    await_end(address, status, body::read(body, MAX_BODY_BYTES, |_| {})).await
}

/// Waits for the end of a response's body and drops the body.
///
/// # Errors
///
/// As [`read_body`].
pub(super) async fn discard_body(
    address: &str, status: StatusCode, body: Incoming,
) -> Result<(), AttemptResult> {
    await_end(address, status, body::discard(body, MAX_BODY_BYTES)).await
}

async fn await_end<T>(
    address: &str, status: StatusCode, end: impl Future<Output = Result<T, BodyError>>,
) -> Result<T, AttemptResult> {
    let incomplete = match timeout(BODY_TIMEOUT, end).await {
        Ok(Ok(body)) => return Ok(body),
        Ok(Err(error)) => error.into(),
        Err(_) => IncompleteBody::TimedOut,
    };
    Err(result_of_malformed_response(address, Some(status), &incomplete.to_string()))
}

/// Returns whether the head of this response alone decides the result of its call.
pub(super) fn is_decided_by_head(kind: CallKind, status: StatusCode) -> bool {
    kind == CallKind::Single && status == StatusCode::OK
}

/// Returns the result that the status and the headers of a complete response indicate. Only the statuses that the protocol of the
/// call defines as "never ran" prove that. A batch with status 200 and an AS2 message with a 2xx status get their results from the
/// body instead.
///
/// A gateway in front of an AS2 partner may answer 502, 503 or 504 for a message that the partner has processed, and only a signed
/// MDN proves what became of it. 429 states that a rate limit was applied instead (RFC 6585, section 4).
pub(super) fn result_of_complete_response(
    kind: CallKind, status: StatusCode, headers: &HeaderMap,
) -> AttemptResult {
    use CallKind::{Batch, Single};
    let outcome = match (kind, status.as_u16()) {
        (Single, 200) => Outcome::Ok,
        (_, 429) => Outcome::Rejected(retry_after(headers)),
        (Single | Batch, 503) if headers.contains_key(NO_SLOT_HEADER) => Outcome::Skipped,
        (Single | Batch, 503) => Outcome::Rejected(retry_after(headers)),
        (Single, 504 | 410) => Outcome::Skipped,
        (Batch, 400 | 413) => Outcome::Skipped,
        _ => Outcome::Error,
    };
    let is_message_over = kind == Single && status == StatusCode::GONE;
    AttemptResult { outcome, is_message_over, report: load_report(headers) }
}

/// Returns the result of a call whose response is malformed or incomplete. The call may have run.
pub(super) fn result_of_malformed_response(
    address: &str, status: Option<StatusCode>, reason: &str,
) -> AttemptResult {
    let status = status.map(|status| status.as_u16());
    log::info!(address, status:?, reason; "unreadable response: the call may have run");
    Outcome::UnreadableAnswer.into()
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

/// Returns the load report in the headers of a response.
pub(super) fn load_report(headers: &HeaderMap) -> Option<LoadReport> {
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
