//! Several messages for one endpoint in one call: it holds one slot and one connection, and its whole answer says how each
//! of them ended. Each keeps its own time and can be called off alone; what that means for the others is settled here.
use super::platform::{self, ending};
use super::pool::Pool;
use super::{limit, tell, Ending};
use crate::core::Attempt;
use crate::exchange::Exchange;
use crate::{MessageId, Outcome};
use bytes::{BufMut, Bytes, BytesMut};
use http_body_util::{BodyExt, Full, Limited};
use hyper::header::HeaderMap;
use hyper::{Request, StatusCode, Uri};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::{sleep_until, timeout, Instant};

/// An answer has a short line for each message.
const ANSWER_MOST: usize = 64 * 1024;
/// An endpoint writes an answer at once. So long after its head, the rest is not waited for: a payout's slot would be held
/// until its time is up.
const REST_FOR: Duration = Duration::from_secs(1);

/// Which try of which message.
pub type Place = (MessageId, u32);

/// One message of the call, until its end is told.
struct Open<'a> {
    one: &'a Attempt,
    until: Instant,
    called_off: bool,
}

/// Carries out one call with several messages, and tells the end of each.
pub async fn run(
    pool: Arc<Pool>, attempts: Vec<Attempt>, exchange: Exchange, mut off: UnboundedReceiver<Place>,
) {
    let now = Instant::now();
    let begin = |one| Open { one, until: now + limit(one), called_off: false };
    let mut open: Vec<Open<'_>> = attempts.iter().map(begin).collect();
    let call = call(pool, &attempts, &exchange);
    tokio::pin!(call);
    loop {
        let Some(next) = open.iter().map(|o| o.until).min() else { return };
        let (gone, outcome): (Vec<Open<'_>>, Outcome) = tokio::select! {
            biased;
            endings = &mut call => {
                for o in open {
                    tell(&exchange, o.one, endings.of(o.one));
                }
                return;
            }
            Some(place) = off.recv() => {
                // Guards the others: what is called off alone does not end the call that carries them; its outcome comes with
                // theirs, or once all are called off.
                let here = |o: &&mut Open<'_>| (o.one.id, o.one.attempt) == place;
                open.iter_mut().filter(here).for_each(|o| o.called_off = true);
                if open.iter().any(|o| !o.called_off) {
                    continue;
                }
                (std::mem::take(&mut open), Outcome::Cancelled)
            }
            () = sleep_until(next) => {
                let now = Instant::now();
                (open.extract_if(.., |o| o.until <= now).collect(), Outcome::Timeout)
            }
        };
        // Out of its time. Guards "order by key": its next message may not go while this one is still out on an open
        // connection.
        let keyed = gone.iter().any(|o| o.one.context.ordering_key.is_some());
        gone.into_iter().for_each(|o| tell(&exchange, o.one, outcome.into()));
        // Guards what must not run twice: giving the call up forfeits it, so the others' time is no reason to.
        if keyed || !open.iter().any(|o| o.one.at_most_once) {
            open.into_iter().for_each(|o| tell(&exchange, o.one, Outcome::Cancelled.into()));
            return;
        }
    }
}

/// How the messages of a call ended.
struct Endings {
    /// Those of which the answer speaks, and those that did not go.
    each: HashMap<String, Ending>,
    /// All others.
    rest: Ending,
}

impl Endings {
    fn all(rest: Ending) -> Endings {
        Endings { each: HashMap::new(), rest }
    }

    fn of(&self, one: &Attempt) -> Ending {
        *self.each.get(&one.context.name).unwrap_or(&self.rest)
    }
}

/// Makes the call; dropping it closes its connection.
async fn call(pool: Arc<Pool>, attempts: &[Attempt], exchange: &Exchange) -> Endings {
    let Some(first) = attempts.first() else { return Endings::all(Outcome::Skipped.into()) };
    let place = &first.address;
    let Ok(to) = format!("http://{place}/v1/messages:batch").parse::<Uri>() else {
        log::error!("{place} is no address: what goes there is not sent");
        return Endings::all(Outcome::Skipped.into());
    };
    let mut unsent = HashMap::new();
    let make = || {
        // Each is asked anew, as in a call of its own, and journalled before the first byte.
        let (go, stay): (Vec<&Attempt>, Vec<&Attempt>) =
            attempts.iter().partition(|one| exchange.may_send(one.id, one.attempt));
        unsent.extend(stay.iter().map(|one| (one.context.name.clone(), Outcome::NotSent.into())));
        if go.is_empty() {
            return None;
        }
        let longest = go.iter().map(|one| one.timeout).max().unwrap_or_default();
        let request = Request::post(to.clone()).header("x-deadline", format!("{}m", longest.0 / 1_000_000));
        request.body(Full::new(body(&go))).ok()
    };
    let listener = platform::listener(first, true, exchange);
    let mut call = match pool.call(to.clone(), make, listener).await {
        Ok(call) => call,
        Err(fault) => return Endings { each: unsent, rest: platform::broken(place, &fault) },
    };
    let watch = call.watch.clone();
    let (answer, seat) = match call.head().await {
        Ok(done) => done,
        Err(e) => return Endings { each: unsent, rest: platform::no_head(&watch, place, &e) },
    };
    let (head, text) = answer.into_parts();
    let whole = timeout(REST_FOR, Limited::new(text, ANSWER_MOST).collect()).await;
    let whole = whole.unwrap_or_else(|_| Err("the rest of it does not come".into()));
    let rest = match (head.status, &whole) {
        (StatusCode::OK, Ok(_)) => platform::spoilt(place, "it does not say how this message ended"),
        // Its answer counts as a whole or not at all.
        (StatusCode::OK, Err(e)) => platform::spoilt(place, &e.to_string()),
        (StatusCode::BAD_REQUEST | StatusCode::PAYLOAD_TOO_LARGE, _) => {
            log::error!("{place}: a call with several messages was answered {}; none has run", head.status);
            Outcome::Skipped.into()
        }
        (status, _) => ending(status, &head.headers),
    };
    if let (StatusCode::OK, Ok(text)) = (head.status, whole) {
        unsent.extend(read(&text.to_bytes(), &head.headers));
    }
    let _ = timeout(platform::LINGER, seat.settle()).await;
    Endings { each: unsent, rest }
}

/// A line with id, key and length for each message, and its bytes.
fn body(attempts: &[&Attempt]) -> Bytes {
    let mut body = BytesMut::new();
    for one in attempts {
        let c = &one.context;
        let key = if c.idempotency_key.is_empty() { "-" } else { &c.idempotency_key };
        body.put_slice(format!("{} {key} {}\r\n", c.name, c.body.len()).as_bytes());
        body.put_slice(&c.body);
        body.put_slice(b"\r\n");
    }
    body.freeze()
}

/// How each message ended, by its name; words that mean nothing are passed over.
fn read(text: &[u8], headers: &HeaderMap) -> HashMap<String, Ending> {
    let text = String::from_utf8_lossy(text);
    let report = ending(StatusCode::OK, headers).report;
    let one = |line: &str| {
        let (name, word) = line.trim().split_once(' ')?;
        let (outcome, over) = match word.trim() {
            "done" => (Outcome::Ok, false),
            "failed" => (Outcome::Error, false),
            "busy" => (Outcome::Rejected(platform::wait(headers)), false),
            "void" => (Outcome::Skipped, true),
            "used_up" => (Outcome::Skipped, false),
            _ => return None,
        };
        Some((name.to_string(), Ending { outcome, over, report }))
    };
    text.lines().filter_map(one).collect()
}
