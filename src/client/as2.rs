//! The AS2 front: messages that partners send, and their receipts for what was sent to them.
use super::Limits;
use crate::as2::mdn::{self, Mdn};
use crate::as2::smime::{self, Entity};
use crate::as2::{As2Settings, Partner};
use crate::clock;
use crate::core::{Answer, Callback};
use crate::exchange::Exchange;
use crate::journal::Completion;
use crate::request::RequestContext;
use crate::settings::DeploymentSettings;
use axum::body::Bytes;
use axum::extract::State;
use axum::http::header::CONTENT_TYPE;
use axum::http::{HeaderMap, StatusCode};
use axum::response::{IntoResponse, Response};
use axum::routing::post;
use axum::Router;
use http_body_util::Full;
use hyper::Request;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use miniserde::{json, Deserialize, Serialize};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedReceiver;

/// Partners are far away. A body is 64 KiB, signed, encrypted and in base64.
pub const LIMITS: Limits = Limits {
    head_timeout: Duration::from_secs(10),
    body_timeout: Duration::from_secs(30),
    body_limit: 192 * 1024,
};
const PAYLOAD_LIMIT: usize = 64 * 1024;
/// How long a receipt is offered to a partner that does not take it, and the pauses between.
const OFFERS: u32 = 60;
const OFFER_PAUSE: Duration = Duration::from_secs(1);
const OFFER_FOR: Duration = Duration::from_secs(2);

pub struct As2Front {
    pub site: Arc<DeploymentSettings>,
    pub book: Arc<As2Settings>,
    pub exchange: Exchange,
}

/// What is kept with a message whose partner wants its receipt once it is over.
#[derive(Serialize, Deserialize)]
struct Origin {
    partner: String,
    message: String,
    mic: String,
    signed: bool,
}

/// The routes of this front.
pub fn routes(front: As2Front) -> Router {
    Router::new().route("/as2", post(hand_in)).route("/receipts", post(receipt)).with_state(Arc::new(front))
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    headers.get(name).and_then(|v| v.to_str().ok()).unwrap_or_default().trim().trim_matches('"')
}

async fn hand_in(State(front): State<Arc<As2Front>>, headers: HeaderMap, body: Bytes) -> Response {
    let (from, message) = (text(&headers, "as2-from"), text(&headers, "message-id"));
    if message.is_empty() || text(&headers, "as2-to") != front.book.name {
        return (StatusCode::BAD_REQUEST, "Message-ID is missing or AS2-To is not us").into_response();
    }
    // An unknown partner gets no receipt: nobody could check it, and nothing was taken on.
    let Some(partner) = front.book.partner(from) else {
        log::warn!("AS2: message {message} from {from:?}, who is no partner");
        return (StatusCode::FORBIDDEN, "no such partner").into_response();
    };
    let entity = Entity { content_type: text(&headers, "content-type").to_string(), body: body.to_vec() };
    let part = smime::decrypt_and_verify(entity, &front.book.identity, &partner.certificate);
    let mic = part.as_ref().ok().map(|p| smime::message_integrity_check(p));
    let wants = Wants {
        receipt: headers.contains_key("disposition-notification-to"),
        signed: headers.contains_key("disposition-notification-options"),
        later: headers.contains_key("receipt-delivery-option"),
    };
    if wants.later && partner.receipts_to.as_deref() != Some(text(&headers, "receipt-delivery-option")) {
        return (StatusCode::BAD_REQUEST, "receipts go to no such place").into_response();
    }
    let payload = match part.map(|p| smime::decoded_body(&p)) {
        Ok(Some(payload)) if payload.len() <= PAYLOAD_LIMIT => payload,
        Ok(_) => return front.receipt(partner, message, "unexpected-processing-error", mic, &wants),
        Err(why) => {
            log::warn!("AS2: message {message} from {from} is refused: {}", why.disposition_modifier());
            return front.receipt(partner, message, why.disposition_modifier(), mic, &wants);
        }
    };
    let mic = mic.unwrap_or_default();
    let origin =
        Origin { partner: from.into(), message: message.into(), mic: mic.clone(), signed: wants.signed };
    let origin = if wants.receipt && wants.later { json::to_string(&origin) } else { String::new() };
    let Some(context) = front.context(partner, message, text(&headers, "subject"), origin, payload) else {
        return front.receipt(partner, message, "unexpected-processing-error", Some(mic), &wants);
    };
    match front.exchange.submit(context).await {
        // Who wants the receipt later gets it when the message is over: one answer, and the final one.
        Answer::Accepted if wants.later => StatusCode::OK.into_response(),
        Answer::Accepted | Answer::Delivered => front.receipt(partner, message, "", Some(mic), &wants),
        Answer::Reject(after) => super::platform::rejection(after),
        Answer::UnknownDestination | Answer::Failed => {
            front.receipt(partner, message, "unexpected-processing-error", Some(mic), &wants)
        }
    }
}

/// What kind of receipt a message asks for.
struct Wants {
    receipt: bool,
    signed: bool,
    later: bool,
}

impl As2Front {
    fn context(
        &self, partner: &Partner, message: &str, subject: &str, origin: String, payload: Vec<u8>,
    ) -> Option<RequestContext> {
        let place =
            |names: &[String], name: &Option<String>| names.iter().position(|n| Some(n) == name.as_ref());
        let class = place(&self.site.classes, &partner.class)?;
        let rules = &self.site.module.classes[class];
        let name = format!("{PREFIX}{}:{message}", partner.name);
        let ordering_key = (rules.fifo_by_key && !subject.is_empty()).then(|| {
            let mut hasher = DefaultHasher::new();
            (&partner.name, subject).hash(&mut hasher);
            hasher.finish()
        });
        Some(RequestContext {
            idempotency_key: name.clone(),
            name,
            origin,
            class,
            tenant: place(&self.site.tenants, &partner.tenant)?,
            ordering_key,
            dest: partner.forward_to?,
            deadline: clock::now() + rules.deadline,
            body: payload.into(),
            tags: Vec::new(),
        })
    }

    /// The receipt, in the answer or on its way of its own; `error` is empty for a message that was accepted.
    fn receipt(
        &self, to: &Partner, message: &str, error: &str, mic: Option<String>, wants: &Wants,
    ) -> Response {
        if !wants.receipt {
            let status = if error.is_empty() { StatusCode::OK } else { StatusCode::BAD_REQUEST };
            return status.into_response();
        }
        let entity = match written(&self.book, message, error, mic, wants.signed) {
            Ok(entity) => entity,
            Err(e) => {
                log::error!("AS2: no receipt for {message}: {e}");
                return StatusCode::INTERNAL_SERVER_ERROR.into_response();
            }
        };
        if wants.later {
            if let Some(url) = to.receipts_to.clone() {
                let (message, book) = (message.to_string(), self.book.clone());
                tokio::spawn(async move { offer(&client(), &book, &url, &message, entity).await });
            }
            return StatusCode::OK.into_response();
        }
        ([(CONTENT_TYPE, entity.content_type)], entity.body).into_response()
    }
}

const PREFIX: &str = "as2:";

type Sender = Client<HttpConnector, Full<Bytes>>;
type Fault = Box<dyn std::error::Error + Send + Sync>;

fn client() -> Sender {
    Client::builder(TokioExecutor::new()).build_http()
}

fn written(
    book: &As2Settings, message: &str, error: &str, mic: Option<String>, signed: bool,
) -> Result<Entity, Fault> {
    let disposition = if error.is_empty() { "processed".into() } else { format!("processed/error: {error}") };
    mdn::compose(
        &Mdn { original_message_id: message.into(), disposition, received_content_mic: mic },
        &book.name,
        signed.then_some(&book.identity),
    )
}

/// Passes on the ends of messages whose partners wait for them.
pub async fn send_mdns(book: Arc<As2Settings>, exchange: Exchange, mut words: UnboundedReceiver<Callback>) {
    let client = client();
    while let Some(notice) = words.recv().await {
        let (book, exchange, client) = (book.clone(), exchange.clone(), client.clone());
        // One partner that is away must not hold up the others.
        tokio::spawn(async move {
            if let Err(e) = pass_on(&client, &book, &notice).await {
                log::error!("AS2: no receipt for {}: {e}", notice.name);
            }
            exchange.callback_acknowledged(notice.id);
        });
    }
}

async fn pass_on(client: &Sender, book: &As2Settings, notice: &Callback) -> Result<(), Fault> {
    let origin: Origin = json::from_str(&notice.origin).map_err(|_| "its origin cannot be read")?;
    let partner = book.partner(&origin.partner).ok_or("its sender is a partner no more")?;
    let url = partner.receipts_to.as_deref().ok_or("its sender has no place for receipts any more")?;
    let error = if notice.completion == Completion::Delivered { "" } else { "unexpected-processing-error" };
    let entity = written(book, &origin.message, error, Some(origin.mic), origin.signed)?;
    offer(client, book, url, &origin.message, entity).await;
    Ok(())
}

/// Sends a receipt until it is answered.
async fn offer(client: &Sender, book: &As2Settings, url: &str, message: &str, entity: Entity) {
    let body: Bytes = entity.body.into();
    for _ in 0..OFFERS {
        let request = Request::post(url)
            .header("as2-version", "1.2")
            .header("as2-from", &book.name)
            .header("mime-version", "1.0")
            .header(CONTENT_TYPE, &entity.content_type)
            .body(Full::new(body.clone()));
        let Ok(request) = request else { return log::error!("AS2: receipts cannot go to {url}") };
        match tokio::time::timeout(OFFER_FOR, client.request(request)).await {
            Ok(Ok(answer)) if answer.status().is_success() => return,
            Ok(Ok(answer)) => log::warn!("AS2: receipt for {message} answered {}", answer.status()),
            Ok(Err(e)) => log::warn!("AS2: receipt for {message}: {e}"),
            Err(_) => log::warn!("AS2: receipt for {message} not answered"),
        }
        tokio::time::sleep(OFFER_PAUSE).await;
    }
    log::error!("AS2: receipt for {message} given up");
}

/// A receipt for what was sent earlier. Its attempt judges it, signature and all.
async fn receipt(State(front): State<Arc<As2Front>>, headers: HeaderMap, body: Bytes) -> Response {
    let Some(receipt) = mdn::parse(&body) else {
        return (StatusCode::BAD_REQUEST, "not a receipt").into_response();
    };
    let head = format!("Content-Type: {}\r\n\r\n", text(&headers, "content-type"));
    front
        .exchange
        .receipt_received(receipt.original_message_id, [head.as_bytes(), &body[..]].concat().into());
    StatusCode::OK.into_response()
}
