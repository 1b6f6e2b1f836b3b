//! The platform's encoding of an attempt: a call to an endpoint, and what its answer means.
use super::pool::{Fault, Pool, Seat};
use super::tap::{Listener, Watch};
use super::Ending;
use crate::core::Attempt;
use crate::exchange::Exchange;
use crate::{DestinationId, LoadReport, Nanos, Outcome};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{HeaderMap, CONNECTION, RETRY_AFTER};
use hyper::{Request, Response, StatusCode};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;

/// An answer's body means nothing. It is read so far, for the connection to be used again.
const BODY_MOST: usize = 64 * 1024;
const BODY_FOR: Duration = Duration::from_millis(100);
/// Once the first line says 200, the rest is waited for only so long: mostly it is there, and its connection is
/// free for the next call before that is decided.
pub const LINGER: Duration = Duration::from_millis(3);

/// The header with a destination's word on its limit, and the largest figure in it that is believed.
const REPORT: &str = "x-load";
const REPORT_MOST: f64 = 1e6;

/// The longest wait that is heeded as it is told, in seconds: past any message's time, and short enough to be waited out.
const WAIT_MOST: f64 = 3600.0;

/// Makes the call; dropping it closes its connection.
pub async fn call(pool: Arc<Pool>, one: &Attempt, exchange: &Exchange) -> Ending {
    let context = &one.context;
    let mut request = Request::post(format!("http://{}/v1/messages", one.address))
        .header("x-request-id", &context.name)
        .header("x-deadline", format!("{}m", one.timeout.0 / 1_000_000));
    if !context.idempotency_key.is_empty() {
        request = request.header("idempotency-key", &context.idempotency_key);
    }
    let request = match request.body(Full::new(context.body.clone())) {
        Ok(request) => request,
        Err(e) => {
            log::error!("try of {} cannot be put into words: {e}", context.name);
            return Outcome::Skipped.into();
        }
    };
    let to = request.uri().clone();
    let make = || exchange.may_send(one.id, one.attempt).then_some(request);
    let mut call = match pool.call(to, make, listener(one, false, exchange)).await {
        Ok(call) => call,
        Err(fault) => return broken(&one.address, &fault),
    };
    let watch = call.watch.clone();
    let done = tokio::select! {
        biased;
        done = call.head() => Some(done),
        () = watch.settled() => timeout(LINGER, call.head()).await.ok(),
    };
    match done {
        Some(done) => judge(done, &watch, &one.address).await,
        None if watch.says_ok() => {
            tokio::spawn(timeout(BODY_FOR, async move {
                let (answer, seat) = call.head().await?;
                read_out(answer, seat).await
            }));
            Outcome::Ok.into()
        }
        None => spoilt(&one.address, "its head does not end"),
    }
}

/// Hears the wait that an answer tells, line by line as its head comes, and passes it on at once. A wait belongs to the
/// partner and not to the message: it counts also where the head never ends or cannot be read, and where nobody waits
/// for the answer any more.
pub fn listener(one: &Attempt, several: bool, exchange: &Exchange) -> Listener {
    let (host, dest, exchange) = (one.host, DestinationId(one.context.dest), exchange.clone());
    // An answer for several may turn some of them away.
    let several = move |status| several && status == 200;
    Box::new(move |status, line| {
        let said = line.split_once(':').filter(|l| l.0.trim().eq_ignore_ascii_case(RETRY_AFTER.as_str()));
        if let Some(wait) = said.filter(|_| turns_away(status) || several(status)).and_then(|l| span(l.1)) {
            exchange.retry_after_received(host, dest, wait);
        }
    })
}

/// Whether this status says that the call never ran, so that a wait beside it is the partner's word on when to come.
fn turns_away(status: u16) -> bool {
    matches!(status, 429 | 503)
}

/// What came of a call. Guards the truth of it against answers that are spoilt: the call has run, and where the
/// first line says 200 it is a delivery, whatever comes behind.
async fn judge(done: Result<(Response<Incoming>, Seat), Fault>, watch: &Watch, place: &str) -> Ending {
    match done {
        Ok((answer, _)) if answer.status() == StatusCode::SWITCHING_PROTOCOLS => spoilt(place, "it is a 101"),
        Ok((answer, seat)) => {
            let mut ending = ending(answer.status(), answer.headers());
            if ending.outcome == Outcome::Rejected(None) && watch.is_first() && closes(&answer) {
                ending.outcome = Outcome::ConnectionLimit;
            }
            // Its body means nothing, and may never end. Guards against surplus connections: mostly it is there,
            // and the next call finds this connection free instead of opening another.
            let mut rest = tokio::spawn(timeout(BODY_FOR, read_out(answer, seat)));
            let _ = timeout(LINGER, &mut rest).await;
            ending
        }
        Err(_) if watch.says_ok() => Outcome::Ok.into(),
        Err(e) => no_head(watch, place, &e),
    }
}

/// What it means that no head of an answer could be read.
pub(super) fn no_head(watch: &Watch, place: &str, fault: &Fault) -> Ending {
    if watch.heard() {
        return spoilt(place, &fault.to_string());
    }
    // Found closed before the first byte went out: that is no word on its endpoint, only on a connection.
    if watch.unsent() {
        log::debug!("{place}: {fault}: not sent");
        return Outcome::Skipped.into();
    }
    broken(place, fault)
}

/// Whether its connection ends with this answer. On a new one, beside a refusal without a wait, that is the word of
/// an endpoint that holds as many connections as it takes.
fn closes(answer: &Response<Incoming>) -> bool {
    answer.headers().get(CONNECTION).is_some_and(|c| c.as_bytes().eq_ignore_ascii_case(b"close"))
}

pub(super) fn spoilt(place: &str, why: &str) -> Ending {
    log::debug!("{place}: an answer that cannot be read: {why}");
    Outcome::UnreadableAnswer.into()
}

/// Reads an answer's body, for the connection to be used again. One that is too long closes it.
async fn read_out(answer: Response<Incoming>, seat: Seat) -> Result<(), Fault> {
    let _ = Limited::new(answer.into_body(), BODY_MOST).collect().await;
    seat.settle().await;
    Ok(())
}

/// Never ran: no connection came up, or the request was handed back before it was written. After that the last
/// byte may have gone out, so the call may have run.
pub fn broken(place: &str, fault: &Fault) -> Ending {
    log::debug!("{place}: {fault}");
    match fault {
        Fault::Connect(_) | Fault::Unwritten(_) => Outcome::ConnectFailed,
        Fault::Unsent => Outcome::NotSent,
        Fault::Broken(_) => Outcome::Reset,
    }
    .into()
}

/// What an answer's head means.
pub fn ending(status: StatusCode, headers: &HeaderMap) -> Ending {
    let outcome = match status.as_u16() {
        200 => Outcome::Ok,
        429 => Outcome::Rejected(wait(headers)),
        503 if headers.contains_key("x-no-slot") => Outcome::Skipped,
        503 => Outcome::Rejected(wait(headers)),
        504 | 410 => Outcome::Skipped,
        _ => Outcome::Error,
    };
    let report = headers.get(REPORT).and_then(|r| report(r.to_str().ok()?));
    Ending { outcome, over: status == StatusCode::GONE, report }
}

/// What an answer tells of its destination's limit: the share of it that is left, and the calls a second that it allows,
/// 0 for none. Guards the paces against what no endpoint can mean: it counts as no report.
fn report(said: &str) -> Option<LoadReport> {
    let field = |name: &str| {
        let fields = said.split(',').filter_map(|f| f.split_once('='));
        let value = fields.filter(|f| f.0.trim() == name).map(|f| f.1).next()?;
        value.trim().parse::<f64>().ok().filter(|v| (0.0..=REPORT_MOST).contains(v))
    };
    Some(LoadReport { left: field("x0")?, limit: field("x1")? })
}

/// The wait that an answer tells. Guards against what no endpoint can mean: one that is no number, or not ahead, is
/// none, and a longer one than an hour is an hour, or a slip would shut a partner out until the next restart.
pub(super) fn wait(headers: &HeaderMap) -> Option<Nanos> {
    span(headers.get(RETRY_AFTER)?.to_str().unwrap_or_default())
}

fn span(said: &str) -> Option<Nanos> {
    let said = said.trim();
    match said.parse::<f64>() {
        Ok(secs) if secs > WAIT_MOST => {
            log::warn!(said; "told to wait longer than {WAIT_MOST} s: taken for that");
            Some(Nanos::from_secs(WAIT_MOST))
        }
        Ok(secs) if secs > 0.0 => Some(Nanos::from_secs(secs)),
        Ok(0.0) => None,
        Ok(_) | Err(_) => {
            log::warn!(said; "told to wait for no time that can be read: taken for none");
            None
        }
    }
}

#[cfg(test)]
mod tests;
