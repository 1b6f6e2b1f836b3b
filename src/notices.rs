//! Notices to the platform: what was taken on and is not delivered. Sent again until they are answered.
use crate::core::Notice;
use crate::exchange::Exchange;
use crate::journal::End;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::watch;

/// How long an answer is waited for: it comes at once, and a notice must be there 300 ms after its message's time.
/// Guards against a connection that has fallen silent; doubled with each attempt, for a platform that is slow.
const ANSWER_FOR: Duration = Duration::from_millis(80);
const ANSWER_MOST: Duration = Duration::from_secs(1);
/// The pause before the next attempt.
const PAUSE: Duration = Duration::from_millis(20);

/// Sends notices as they come; those that come together travel together.
pub async fn run(
    mut discovery: watch::Receiver<String>, exchange: Exchange, mut notices: UnboundedReceiver<Notice>,
) {
    let client = Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
    while let Some(first) = notices.recv().await {
        let mut batch = vec![first];
        while let Ok(next) = notices.try_recv() {
            batch.push(next);
        }
        let text: Bytes = batch.iter().map(line).collect::<String>().into();
        // Read anew for each attempt: after a reload, a batch that is still to be answered goes to the new place.
        let mut patience = ANSWER_FOR;
        loop {
            let at = discovery.borrow_and_update().clone();
            let request = Request::post(format!("http://{at}/reports"))
                .header("content-type", "application/x-ndjson")
                .body(Full::new(text.clone()));
            let Ok(request) = request else { break log::error!("notices: no address to send to") };
            let answer = tokio::select! {
                answer = tokio::time::timeout(patience, client.request(request)) => answer,
                Ok(()) = discovery.changed() => continue,
            };
            match answer {
                Ok(Ok(answer)) if answer.status() == StatusCode::NO_CONTENT => break,
                Ok(Ok(answer)) if answer.status() == StatusCode::BAD_REQUEST => {
                    // It would be refused again for ever, and hold up all that come after it.
                    break log::error!("notices: the platform cannot read {text:?}");
                }
                Ok(Ok(answer)) => log::warn!("notices: answered {}, sent again", answer.status()),
                Ok(Err(e)) => log::warn!("notices: {e}, sent again"),
                Err(_) => log::warn!("notices: no answer, sent again"),
            }
            patience = (patience * 2).min(ANSWER_MOST);
            tokio::time::sleep(PAUSE).await;
        }
        batch.iter().for_each(|n| exchange.notice_heard(n.id));
    }
}

fn line(notice: &Notice) -> String {
    let id = miniserde::json::to_string(&notice.name);
    match notice.end {
        End::Deferred(Some(ms)) => format!("{{\"id\":{id},\"status\":\"deferred\",\"again_ms\":{ms}}}\n"),
        End::Deferred(None) => format!("{{\"id\":{id},\"status\":\"deferred\"}}\n"),
        _ => format!("{{\"id\":{id},\"status\":\"undeliverable\"}}\n"),
    }
}
