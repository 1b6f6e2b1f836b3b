//! Notices to the platform: what was taken on and is not delivered. Sent again until they are answered.
use crate::core::Callback;
use crate::exchange::Exchange;
use crate::journal::Completion;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, StatusCode};
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{sleep_until, Instant};

/// How long a platform that answers at once is waited for before the same notice goes out once more, while the
/// first is still listened to. A notice must be there 300 ms after its message's time, and a connection may fall
/// silent: so three of them may, one after the other.
const AGAIN_AFTER: Duration = Duration::from_millis(40);
/// The longest such time: doubled with each attempt, for a platform that is slow or down.
const AGAIN_MOST: Duration = Duration::from_secs(1);
/// How long one attempt is listened to at the most.
const LISTEN_FOR: Duration = Duration::from_secs(2);
/// Batches on their way at once. Guards those that end later against one whose connections are silent: only when
/// all are taken do notices wait, and then they travel together.
const BATCHES_MOST: usize = 8;

type Platform = Client<HttpConnector, Full<Bytes>>;

/// The ways to the platform. The first attempt takes the connection that served last: it costs nothing, and comes
/// through while new ones do not. Further ones have a new connection each. Guards against connections that fell
/// silent while they stood idle: a pool would hand out one such after the other, until the time of a notice is over.
#[derive(Clone)]
struct Ways {
    first: Platform,
    further: Platform,
}

impl Ways {
    fn open() -> Ways {
        let way = |idle| Client::builder(TokioExecutor::new()).pool_max_idle_per_host(idle).build_http();
        Ways { first: way(1), further: way(0) }
    }
}

/// Sends notices as they come; those that come together travel together.
pub async fn run(
    discovery: watch::Receiver<String>, exchange: Exchange, mut notices: UnboundedReceiver<Callback>,
) {
    let ways = Ways::open();
    let mut under_way = JoinSet::new();
    while let Some(first) = notices.recv().await {
        let mut batch = vec![first];
        while let Ok(next) = notices.try_recv() {
            batch.push(next);
        }
        while under_way.len() >= BATCHES_MOST && under_way.join_next().await.is_some() {}
        while let Ok(next) = notices.try_recv() {
            batch.push(next);
        }
        while under_way.try_join_next().is_some() {}
        under_way.spawn(tell(ways.clone(), discovery.clone(), exchange.clone(), batch));
    }
}

/// Sends one batch until it is answered.
async fn tell(ways: Ways, mut discovery: watch::Receiver<String>, exchange: Exchange, batch: Vec<Callback>) {
    let text: Bytes = batch.iter().map(line).collect::<String>().into();
    let begun = Instant::now();
    let mut attempts = JoinSet::new();
    let (mut patience, mut next) = (AGAIN_AFTER, begun);
    let mut at = Arc::new(discovery.borrow_and_update().clone());
    loop {
        tokio::select! {
            biased;
            Some(done) = attempts.join_next() => match done {
                Ok(Heard::Taken) => break,
                // It would be refused again for ever.
                Ok(Heard::Refused) => {
                    log::error!("notices: the platform cannot read {text:?}");
                    break;
                }
                Ok(Heard::Other(why)) => {
                    log::warn!("notices: {why}, sent again");
                    next = next.min(Instant::now() + patience / 3);
                }
                Err(_) => {}
            },
            // After a reload, a batch that is still to be answered goes to the new place at once.
            Ok(()) = discovery.changed() => {
                at = Arc::new(discovery.borrow_and_update().clone());
                (patience, next) = (AGAIN_AFTER, Instant::now());
            }
            () = sleep_until(next) => {
                if next > begun {
                    log::warn!("notices: no answer after {} ms, sent once more", begun.elapsed().as_millis());
                }
                let way = if next > begun { &ways.further } else { &ways.first };
                attempts.spawn(attempt(way.clone(), at.clone(), text.clone()));
                next = Instant::now() + patience;
                patience = (patience * 2).min(AGAIN_MOST);
            }
        }
    }
    for notice in &batch {
        log::debug!(
            "told of {}: {:?}, after {} ms",
            notice.name,
            notice.completion,
            begun.elapsed().as_millis()
        );
        exchange.callback_acknowledged(notice.id);
    }
}

/// What came of one attempt.
enum Heard {
    Taken,
    Refused,
    Other(String),
}

async fn attempt(client: Platform, at: Arc<String>, text: Bytes) -> Heard {
    let request = Request::post(format!("http://{at}/reports"))
        .header("content-type", "application/x-ndjson")
        .body(Full::new(text));
    let Ok(request) = request else { return Heard::Other(format!("{at} is no address")) };
    match tokio::time::timeout(LISTEN_FOR, client.request(request)).await {
        Ok(Ok(answer)) if answer.status() == StatusCode::NO_CONTENT => Heard::Taken,
        Ok(Ok(answer)) if answer.status() == StatusCode::BAD_REQUEST => Heard::Refused,
        Ok(Ok(answer)) => Heard::Other(format!("answered {}", answer.status())),
        Ok(Err(e)) => Heard::Other(e.to_string()),
        Err(_) => Heard::Other("no answer".to_string()),
    }
}

fn line(notice: &Callback) -> String {
    let id = miniserde::json::to_string(&notice.name);
    match notice.completion {
        Completion::Deferred(Some(ms)) => {
            format!("{{\"id\":{id},\"status\":\"deferred\",\"again_ms\":{ms}}}\n")
        }
        Completion::Deferred(None) => format!("{{\"id\":{id},\"status\":\"deferred\"}}\n"),
        _ => format!("{{\"id\":{id},\"status\":\"undeliverable\"}}\n"),
    }
}
