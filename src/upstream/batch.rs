//! Batch calls, which carry several messages for one endpoint. A batch call occupies one slot and one connection, and its
//! response contains the result of each message. Each message has a separate deadline and can be cancelled separately. This
//! module decides what that means for the rest of the batch.
use super::connection::UpstreamRequest;
use super::platform;
use super::pool::Pool;
use super::response::{self, CallKind};
use super::{attempt_timeout, report};
use crate::core::Attempt;
use crate::exchange::{AttemptId, AttemptResult, Exchange};
use crate::Outcome;
use bytes::{BufMut, Bytes, BytesMut};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::HeaderMap;
use hyper::{Request, Response, StatusCode, Uri};
use std::collections::HashMap;
use std::sync::Arc;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::{sleep_until, timeout, Instant};

/// Makes a call with several messages and reports the result of each. Dropping this future cancels the call.
pub(super) async fn run(
    pool: Arc<Pool>, attempts: Vec<Attempt>, exchange: Exchange,
    mut cancellations: UnboundedReceiver<AttemptId>,
) {
    let mut batch = Batch::new(&attempts, &exchange);
    let call = call(pool, &attempts, &exchange);
    tokio::pin!(call);
    while let Some(deadline) = batch.next_deadline() {
        let is_finished = tokio::select! {
            biased;
            results = &mut call => batch.finish(&results),
            Some(id) = cancellations.recv() => batch.cancel(id),
            () = sleep_until(deadline) => batch.expire(Instant::now()),
        };
        if is_finished {
            return;
        }
    }
}

/// An attempt whose result has not been reported yet.
struct PendingAttempt<'a> {
    attempt: &'a Attempt,
    deadline: Instant,
    is_cancelled: bool,
}

/// The attempts of a call whose results have not been reported yet.
struct Batch<'a> {
    exchange: &'a Exchange,
    pending: Vec<PendingAttempt<'a>>,
}

impl<'a> Batch<'a> {
    fn new(attempts: &'a [Attempt], exchange: &'a Exchange) -> Batch<'a> {
        let now = Instant::now();
        let pending = attempts.iter().map(|attempt| {
            let deadline = now + attempt_timeout(attempt);
            PendingAttempt { attempt, deadline, is_cancelled: false }
        });
        Batch { exchange, pending: pending.collect() }
    }

    fn next_deadline(&self) -> Option<Instant> {
        self.pending.iter().map(|pending| pending.deadline).min()
    }

    /// Reports the result of each pending attempt after the call has ended. Returns `true`, as nothing is pending any more.
    fn finish(&mut self, results: &BatchResults) -> bool {
        for pending in self.pending.drain(..) {
            report(self.exchange, pending.attempt, results.result_for(pending.attempt));
        }
        true
    }

    /// Marks an attempt as cancelled. The call continues for the other attempts, and the cancelled attempt gets its outcome with
    /// them. If all attempts are cancelled, ends the call. Returns whether the call has ended.
    fn cancel(&mut self, id: AttemptId) -> bool {
        for pending in &mut self.pending {
            pending.is_cancelled |= AttemptId::from(pending.attempt) == id;
        }
        let are_all_cancelled = self.pending.iter().all(|pending| pending.is_cancelled);
        if are_all_cancelled {
            self.end_all(Outcome::Cancelled);
        }
        are_all_cancelled
    }

    /// Reports a timeout for each attempt whose deadline has passed. Returns whether the call has ended as well.
    fn expire(&mut self, now: Instant) -> bool {
        let expired: Vec<PendingAttempt<'_>> = self.pending.extract_if(.., |p| p.deadline <= now).collect();
        // Preserves the order by key: the next message with the key of an expired one may be sent as soon as the expiry is
        // reported, so the call must not stay in flight on an open connection.
        let has_ordering_key = expired.iter().any(|pending| pending.attempt.context.ordering_key.is_some());
        for pending in expired {
            report(self.exchange, pending.attempt, Outcome::Timeout.into());
        }
        // Cancelling the call would forfeit its at-most-once messages, which must not be sent again. The deadline of another
        // message is no reason to cancel them.
        let must_continue = self.pending.iter().any(|pending| pending.attempt.at_most_once);
        let is_finished = has_ordering_key || !must_continue;
        if is_finished {
            self.end_all(Outcome::Cancelled);
        }
        is_finished
    }

    fn end_all(&mut self, outcome: Outcome) {
        for pending in self.pending.drain(..) {
            report(self.exchange, pending.attempt, outcome.into());
        }
    }
}

/// The results of the messages of a call.
struct BatchResults {
    /// The results of messages that the response contains or that were not sent, by message name.
    by_name: HashMap<String, AttemptResult>,
    /// The result of all other messages.
    others: AttemptResult,
}

impl BatchResults {
    fn same_for_all(result: AttemptResult) -> BatchResults {
        BatchResults { by_name: HashMap::new(), others: result }
    }

    fn result_for(&self, attempt: &Attempt) -> AttemptResult {
        *self.by_name.get(&attempt.context.name).unwrap_or(&self.others)
    }
}

/// Makes the call. Dropping this future closes the connection.
async fn call(pool: Arc<Pool>, attempts: &[Attempt], exchange: &Exchange) -> BatchResults {
    let Some(first) = attempts.first() else {
        return BatchResults::same_for_all(Outcome::Skipped.into());
    };
    let address = &first.address;
    let Ok(to) = format!("http://{address}/v1/messages:batch").parse::<Uri>() else {
        log::error!("invalid endpoint address {address}; its messages are not sent");
        return BatchResults::same_for_all(Outcome::Skipped.into());
    };
    let mut by_name = HashMap::new();
    let make_request = || {
        // As in a single call, each attempt is checked again and recorded in the journal before the first byte is sent.
        let (sendable, unsendable): (Vec<&Attempt>, Vec<&Attempt>) =
            attempts.iter().partition(|attempt| exchange.may_send(AttemptId::from(*attempt)));
        for attempt in unsendable {
            by_name.insert(attempt.context.name.clone(), Outcome::NotSent.into());
        }
        encode(&to, &sendable)
    };
    let listener = response::retry_after_listener(first, CallKind::Batch, exchange);
    let mut call = match pool.call(to.clone(), make_request, listener).await {
        Ok(call) => call,
        Err(error) => {
            return BatchResults { by_name, others: platform::result_of_failed_call(address, &error) }
        }
    };
    let monitor = call.monitor.clone();
    let (response, connection) = match call.head().await {
        Ok(response_and_connection) => response_and_connection,
        Err(error) => {
            return BatchResults {
                by_name,
                others: platform::result_of_failed_head(&monitor, address, &error),
            };
        }
    };
    let results = read_response(response, attempts, address, by_name).await;
    let _ = timeout(platform::COMPLETION_GRACE_PERIOD, connection.release_when_ready()).await;
    results
}

/// Reads the results from a response.
async fn read_response(
    response: Response<Incoming>, attempts: &[Attempt], address: &str,
    mut by_name: HashMap<String, AttemptResult>,
) -> BatchResults {
    let (head, body) = response.into_parts();
    let body = match response::read_body(address, head.status, body).await {
        Ok(body) => body,
        Err(others) => return BatchResults { by_name, others },
    };
    if head.status == StatusCode::OK {
        add_results(&mut by_name, parse_results(&body, &head.headers));
        if attempts.iter().any(|attempt| !by_name.contains_key(&attempt.context.name)) {
            log::info!(address; "unreadable response: a message of the batch has no result and may have run");
        }
        return BatchResults { by_name, others: Outcome::UnreadableAnswer.into() };
    }
    if matches!(head.status, StatusCode::BAD_REQUEST | StatusCode::PAYLOAD_TOO_LARGE) {
        let status = head.status;
        log::error!("{address}: batch call rejected with status {status}; none of its messages has run");
    }
    let others = response::result_of_complete_response(CallKind::Batch, head.status, &head.headers);
    BatchResults { by_name, others }
}

/// Adds the results of a response. A message that already has a result was not sent, so the response cannot have one for it.
fn add_results(unsent: &mut HashMap<String, AttemptResult>, results: HashMap<String, AttemptResult>) {
    for (name, result) in results {
        unsent.entry(name).or_insert(result);
    }
}

/// Encodes a request with these messages. Returns `None` if there are none.
fn encode(to: &Uri, attempts: &[&Attempt]) -> Option<UpstreamRequest> {
    let longest = attempts.iter().map(|attempt| attempt.timeout).max()?;
    let request = Request::post(to.clone()).header("x-deadline", format!("{}m", longest.0 / 1_000_000));
    request.body(Full::new(encode_body(attempts))).ok()
}

/// Encodes each message as a line with its id, idempotency key and length, followed by its body.
fn encode_body(attempts: &[&Attempt]) -> Bytes {
    let mut body = BytesMut::new();
    for attempt in attempts {
        let context = &attempt.context;
        let key = if context.idempotency_key.is_empty() { "-" } else { &context.idempotency_key };
        body.put_slice(format!("{} {key} {}\r\n", context.name, context.body.len()).as_bytes());
        body.put_slice(&context.body);
        body.put_slice(b"\r\n");
    }
    body.freeze()
}

/// Parses lines of the form `NAME RESULT` and returns the result of each message by name. Ignores unknown results. A message with
/// two different results may have run.
fn parse_results(text: &[u8], headers: &HeaderMap) -> HashMap<String, AttemptResult> {
    let text = String::from_utf8_lossy(text);
    let mut results: HashMap<String, AttemptResult> = HashMap::new();
    for line in text.lines() {
        let Some((name, result)) = parse_result(line, headers) else { continue };
        let first = results.entry(name).or_insert(result);
        if first.outcome != result.outcome || first.is_message_over != result.is_message_over {
            *first = Outcome::UnreadableAnswer.into();
        }
    }
    results
}

/// Parses a line of the form `NAME RESULT`. Returns `None` if the result is unknown.
fn parse_result(line: &str, headers: &HeaderMap) -> Option<(String, AttemptResult)> {
    let (name, result) = line.trim().split_once(' ')?;
    let (outcome, is_message_over) = match result.trim() {
        "done" => (Outcome::Ok, false),
        "failed" => (Outcome::Error, false),
        "busy" => (Outcome::Rejected(response::retry_after(headers)), false),
        "void" => (Outcome::Skipped, true),
        "used_up" => (Outcome::Skipped, false),
        _ => return None,
    };
    let report = response::load_report(headers);
    Some((name.to_string(), AttemptResult { outcome, is_message_over, report }))
}

#[cfg(test)]
mod tests;
