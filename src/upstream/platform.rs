//! The platform's encoding of a try: a call to an endpoint, and what its answer means.
use super::{Ending, Pool};
use crate::core::Try;
use http_body_util::{BodyExt, Full, Limited};
use hyper::header::{HeaderMap, RETRY_AFTER};
use hyper::{Request, StatusCode};
use micaladder::{Nanos, Outcome};
use std::time::Duration;

/// An answer's body means nothing. It is read so far, for the connection to be used again.
const BODY_MOST: usize = 64 * 1024;
const BODY_FOR: Duration = Duration::from_millis(100);

/// Makes the call; dropping it closes its connection.
pub async fn call(pool: &Pool, one: &Try) -> Ending {
    let context = &one.context;
    let mut request = Request::post(format!("http://{}/v1/messages", one.address))
        .header("x-request-id", &context.name)
        .header("x-deadline", format!("{}m", one.timeout.0 / 1_000_000));
    if !context.repeat_key.is_empty() {
        request = request.header("idempotency-key", &context.repeat_key);
    }
    let request = match request.body(Full::new(context.body.clone())) {
        Ok(request) => request,
        Err(e) => {
            log::error!("try of {} cannot be put into words: {e}", context.name);
            return Outcome::Moot.into();
        }
    };
    match pool.request(request).await {
        Ok(response) => {
            let (head, body) = response.into_parts();
            let rest = Limited::new(body, BODY_MOST).collect();
            if tokio::time::timeout(BODY_FOR, rest).await.is_err() {
                log::debug!("{}: the body of an answer did not end", one.address);
            }
            ending(head.status, &head.headers)
        }
        Err(e) => broken(&one.address, &e),
    }
}

/// Never ran: no connection came up, or the request was handed back before it was written. After that the last
/// byte may have gone out, so the call may have run.
pub fn broken(place: &str, e: &hyper_util::client::legacy::Error) -> Ending {
    let unsent = e.is_connect() || cause(e).is_some_and(|h| h.is_canceled());
    log::debug!("{place}: {e}");
    if unsent { Outcome::ConnectFailed } else { Outcome::Reset }.into()
}

fn cause(e: &hyper_util::client::legacy::Error) -> Option<&hyper::Error> {
    std::error::Error::source(e)?.downcast_ref()
}

/// What an answer's head means.
pub fn ending(status: StatusCode, headers: &HeaderMap) -> Ending {
    let outcome = match status.as_u16() {
        200 => Outcome::Ok,
        429 => Outcome::Full(wait(headers)),
        503 if headers.contains_key("x-no-slot") => Outcome::Moot,
        503 => Outcome::Full(wait(headers)),
        504 | 410 => Outcome::Moot,
        _ => Outcome::Error,
    };
    Ending { outcome, over: status == StatusCode::GONE }
}

fn wait(headers: &HeaderMap) -> Option<Nanos> {
    let secs: f64 = headers.get(RETRY_AFTER)?.to_str().ok()?.trim().parse().ok()?;
    (secs.is_finite() && secs > 0.0).then(|| Nanos::from_secs(secs))
}
