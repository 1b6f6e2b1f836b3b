//! Several messages for one endpoint in one call: it takes one slot and one connection, and its complete answer says how each
//! of them ended. Each message keeps its own deadline and can be cancelled alone; what that means for the others is decided
//! here.
use super::connection::UpstreamRequest;
use super::platform::{self, CallKind};
use super::pool::Pool;
use super::{attempt_timeout, report};
use crate::core::Attempt;
use crate::exchange::{AttemptId, AttemptResult, Exchange};
use crate::Outcome;
use bytes::{BufMut, Bytes, BytesMut};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::HeaderMap;
use hyper::{Request, Response, StatusCode, Uri};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::{sleep_until, timeout, Instant};

/// Bytes of an answer, which has a short line for each message.
const MAX_ANSWER_BYTES: usize = 64 * 1024;
/// How long the rest of an answer is waited for after its head. An endpoint writes it at once; without this bound the slot of
/// a message that must not run twice would be taken until its deadline.
const BODY_TIMEOUT: Duration = Duration::from_secs(1);

/// Makes one call with several messages and reports the end of each. Dropping this future cancels the call.
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

/// A message of the call whose end has not been reported.
struct Pending<'a> {
    attempt: &'a Attempt,
    deadline: Instant,
    is_cancelled: bool,
}

/// The messages of the call that are pending.
struct Batch<'a> {
    exchange: &'a Exchange,
    pending: Vec<Pending<'a>>,
}

impl<'a> Batch<'a> {
    fn new(attempts: &'a [Attempt], exchange: &'a Exchange) -> Batch<'a> {
        let now = Instant::now();
        let pending = attempts.iter().map(|attempt| {
            let deadline = now + attempt_timeout(attempt);
            Pending { attempt, deadline, is_cancelled: false }
        });
        Batch { exchange, pending: pending.collect() }
    }

    fn next_deadline(&self) -> Option<Instant> {
        self.pending.iter().map(|pending| pending.deadline).min()
    }

    /// The call has ended: reports what became of each message. Returns that nothing is pending any more.
    fn finish(&mut self, results: &BatchResults) -> bool {
        for pending in self.pending.drain(..) {
            report(self.exchange, pending.attempt, results.of(pending.attempt));
        }
        true
    }

    /// Marks a message as cancelled. Guards the others: the call goes on, and the outcome of this message comes with theirs,
    /// unless all are cancelled. Returns whether they are.
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

    /// Ends the messages whose deadline has passed. Returns whether that ends the call as well.
    fn expire(&mut self, now: Instant) -> bool {
        let expired: Vec<Pending<'_>> = self.pending.extract_if(.., |p| p.deadline <= now).collect();
        // Guards the order by key: the next message of an expired one may not be sent while the call is still in flight on an
        // open connection.
        let has_ordering_key = expired.iter().any(|pending| pending.attempt.context.ordering_key.is_some());
        for pending in expired {
            report(self.exchange, pending.attempt, Outcome::Timeout.into());
        }
        // Guards messages that must not run twice: cancelling the call forfeits them, so the deadline of another is no reason
        // to.
        let must_go_on = self.pending.iter().any(|pending| pending.attempt.at_most_once);
        let is_finished = has_ordering_key || !must_go_on;
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

/// How the messages of a call ended.
struct BatchResults {
    /// Those of which the answer speaks and those that were not sent, by name.
    by_name: HashMap<String, AttemptResult>,
    /// All others.
    others: AttemptResult,
}

impl BatchResults {
    fn same_for_all(result: AttemptResult) -> BatchResults {
        BatchResults { by_name: HashMap::new(), others: result }
    }

    fn of(&self, attempt: &Attempt) -> AttemptResult {
        *self.by_name.get(&attempt.context.name).unwrap_or(&self.others)
    }
}

/// Makes the call; dropping it closes its connection.
async fn call(pool: Arc<Pool>, attempts: &[Attempt], exchange: &Exchange) -> BatchResults {
    let Some(first) = attempts.first() else {
        return BatchResults::same_for_all(Outcome::Skipped.into());
    };
    let address = &first.address;
    let Ok(to) = format!("http://{address}/v1/messages:batch").parse::<Uri>() else {
        log::error!("{address} is not a valid address: messages for it are not sent");
        return BatchResults::same_for_all(Outcome::Skipped.into());
    };
    let mut by_name = HashMap::new();
    let make_request = || {
        // Each message is checked again, as in a call of its own, and recorded in the journal before the first byte.
        let (sendable, unsendable): (Vec<&Attempt>, Vec<&Attempt>) =
            attempts.iter().partition(|attempt| exchange.may_send(AttemptId::from(*attempt)));
        for attempt in unsendable {
            by_name.insert(attempt.context.name.clone(), Outcome::NotSent.into());
        }
        encode(&to, &sendable)
    };
    let listener = platform::retry_after_listener(first, CallKind::Batch, exchange);
    let mut call = match pool.call(to.clone(), make_request, listener).await {
        Ok(call) => call,
        Err(error) => return BatchResults { by_name, others: platform::call_failed(address, &error) },
    };
    let monitor = call.monitor.clone();
    let (answer, connection) = match call.head().await {
        Ok(answered) => answered,
        Err(error) => {
            return BatchResults { by_name, others: platform::head_failed(&monitor, address, &error) };
        }
    };
    let results = read_answer(answer, address, by_name).await;
    let _ = timeout(platform::COMPLETION_GRACE_PERIOD, connection.release_when_ready()).await;
    results
}

/// Reads an answer. It counts as a whole or not at all.
async fn read_answer(
    answer: Response<Incoming>, address: &str, mut by_name: HashMap<String, AttemptResult>,
) -> BatchResults {
    let (head, body) = answer.into_parts();
    let body = match timeout(BODY_TIMEOUT, Limited::new(body, MAX_ANSWER_BYTES).collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) => Err(error.to_string()),
        Err(_) => Err("the rest of it does not come".to_string()),
    };
    let others = match (head.status, body) {
        (StatusCode::OK, Ok(text)) => {
            let others = platform::unreadable_answer(address, "it does not say how this message ended");
            by_name.extend(parse_results(&text, &head.headers));
            others
        }
        (StatusCode::OK, Err(reason)) => platform::unreadable_answer(address, &reason),
        (StatusCode::BAD_REQUEST | StatusCode::PAYLOAD_TOO_LARGE, _) => {
            log::error!("{address}: a call with several messages was answered {}; none has run", head.status);
            Outcome::Skipped.into()
        }
        (status, _) => platform::result_of_head(status, &head.headers),
    };
    BatchResults { by_name, others }
}

/// The request with these messages; none where there are none.
fn encode(to: &Uri, attempts: &[&Attempt]) -> Option<UpstreamRequest> {
    let longest = attempts.iter().map(|attempt| attempt.timeout).max()?;
    let request = Request::post(to.clone()).header("x-deadline", format!("{}m", longest.0 / 1_000_000));
    request.body(Full::new(encode_body(attempts))).ok()
}

/// For each message a line with its id, its idempotency key and its length, and then its bytes.
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

/// How each message ended, by name, from lines of the form `NAME RESULT`. Unknown results are passed over.
fn parse_results(text: &[u8], headers: &HeaderMap) -> HashMap<String, AttemptResult> {
    let text = String::from_utf8_lossy(text);
    let report = platform::result_of_head(StatusCode::OK, headers).report;
    let parse_line = |line: &str| {
        let (name, result) = line.trim().split_once(' ')?;
        let (outcome, is_message_over) = match result.trim() {
            "done" => (Outcome::Ok, false),
            "failed" => (Outcome::Error, false),
            "busy" => (Outcome::Rejected(platform::retry_after(headers)), false),
            "void" => (Outcome::Skipped, true),
            "used_up" => (Outcome::Skipped, false),
            _ => return None,
        };
        Some((name.to_string(), AttemptResult { outcome, is_message_over, report }))
    };
    text.lines().filter_map(parse_line).collect()
}
