//! The AS2 front (RFC 4130): receives partners' messages, and the asynchronous MDNs for messages that were sent to
//! partners. `mdn` composes and sends the MDNs for received messages.
mod mdn;

pub use mdn::send_mdns;

use super::connection::CONNECTION_OVERHEAD_BYTES;
use super::limiter::ConnectionShare;
use super::{platform, ClientError, Limits};
use crate::as2::mdn as mdn_format;
use crate::as2::smime::{self, Entity};
use crate::as2::{As2Settings, MdnDelivery, Partner};
use crate::clock;
use crate::core::Answer;
use crate::exchange::Exchange;
use crate::request::{RequestContext, AS2_NAME_PREFIX};
use crate::settings::DeploymentSettings;
use axum::body::Bytes;
use axum::extract::State;
use axum::http::{HeaderMap, StatusCode};
use axum::response::{IntoResponse, Response};
use axum::routing::post;
use axum::Router;
use mdn::{MdnOutcome, MdnRequest, Origin};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Semaphore;

/// Limits on partners' requests. The timeouts allow for distant partners; the size limit allows for a message of 64 KiB that
/// is signed, encrypted and encoded in base64.
pub const LIMITS: Limits = Limits {
    head_timeout: Duration::from_secs(10),
    body_timeout: Duration::from_secs(30),
    body_limit: MAX_BODY_BYTES,
    share: ConnectionShare {
        connection_bytes: (COPIES_OF_A_BODY * MAX_BODY_BYTES + CONNECTION_OVERHEAD_BYTES + TLS_BYTES) as u64,
        limit_divisor: 8,
    },
};

/// Maximum size of a body, in bytes.
const MAX_BODY_BYTES: usize = 192 * 1024;
/// Number of copies of a body that a request holds: as read, and the payload in the message made of it.
const COPIES_OF_A_BODY: usize = 2;
/// Memory of a TLS session and its buffers, in bytes.
const TLS_BYTES: usize = 64 * 1024;

/// Maximum size of a message's payload, in bytes; the same as for the platform's messages.
const MAX_PAYLOAD_BYTES: usize = 64 * 1024;

/// Maximum number of asynchronous MDNs for messages that were not accepted.
const MAX_UNDELIVERED_MDNS: usize = 64;

/// The AS2 front: its settings, and the exchange that receives its messages.
pub struct As2Front {
    /// The names of classes and tenants, and the rules of each class.
    pub deployment: Arc<DeploymentSettings>,
    /// The local AS2 identity and the trading partners.
    pub settings: Arc<As2Settings>,
    /// Receives each valid message.
    pub exchange: Exchange,
    /// Bounds the asynchronous MDNs for messages that were not accepted. Each is sent for up to a minute.
    undelivered_mdns: Arc<Semaphore>,
}

impl As2Front {
    /// Creates the front.
    pub fn new(
        deployment: Arc<DeploymentSettings>, settings: Arc<As2Settings>, exchange: Exchange,
    ) -> As2Front {
        let undelivered_mdns = Arc::new(Semaphore::new(MAX_UNDELIVERED_MDNS));
        As2Front { deployment, settings, exchange, undelivered_mdns }
    }
}

/// Returns the routes of the AS2 front.
pub fn routes(front: As2Front) -> Router {
    Router::new()
        .route("/as2", post(receive_message))
        .route("/receipts", post(receive_mdn))
        .with_state(Arc::new(front))
}

async fn receive_message(
    State(front): State<Arc<As2Front>>, headers: HeaderMap, body: Bytes,
) -> Result<Response, ClientError> {
    let message_id = header(&headers, "message-id");
    if message_id.is_empty() || header(&headers, "as2-to") != front.settings.name {
        return Err(ClientError::InvalidMessageIdOrRecipient);
    }
    let from = header(&headers, "as2-from");
    // An unknown sender gets no MDN: it could not verify one, and the message was not accepted.
    let Some(partner) = front.settings.partner(from) else {
        log::warn!("AS2: message {message_id} rejected: {from:?} is not a partner");
        return Err(ClientError::UnknownPartner);
    };
    let entity = Entity { content_type: header(&headers, "content-type").to_string(), body: body.to_vec() };
    let part = smime::decrypt_and_verify(entity, &front.settings.identity, &partner.certificate);
    let request = mdn_request(&headers, partner, message_id)?;
    let part = match part {
        Ok(part) => part,
        Err(error) => {
            log::warn!("AS2: message {message_id} from {from} rejected: {error}");
            return Ok(front.mdn_response(&request, MdnOutcome::Rejected(error), None));
        }
    };
    let mic = smime::message_integrity_check(&part);
    let context = front.request_context(&request, header(&headers, "subject"), &mic, &part);
    Ok(match context {
        Some(context) => front.submit(context, &request, mic).await,
        None => front.mdn_response(&request, MdnOutcome::Failed, Some(mic)),
    })
}

/// Receives an asynchronous MDN for a message that was sent earlier. The attempt that sent the message verifies the MDN.
async fn receive_mdn(
    State(front): State<Arc<As2Front>>, headers: HeaderMap, body: Bytes,
) -> Result<StatusCode, ClientError> {
    let mdn = mdn_format::parse(&body).ok_or(ClientError::InvalidMdn)?;
    let content_type = format!("Content-Type: {}\r\n\r\n", header(&headers, "content-type"));
    let entity = [content_type.as_bytes(), &body[..]].concat();
    front.exchange.mdn_received(mdn.original_message_id, entity.into());
    Ok(StatusCode::OK)
}

/// Returns a header's value without quotes; an empty string if the header is absent or contains bytes other than visible
/// ASCII.
fn header<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    let value = headers.get(name).and_then(|v| v.to_str().ok()).unwrap_or_default();
    value.trim().trim_matches('"')
}

/// Reads from the headers which MDN a message requests (RFC 4130, section 7.3).
fn mdn_request<'a>(
    headers: &HeaderMap, partner: &'a Partner, message_id: &'a str,
) -> Result<MdnRequest<'a>, ClientError> {
    let delivery = if headers.contains_key("receipt-delivery-option") {
        // Without this check, a message could direct MDNs to any URL.
        if partner.mdn_url.as_deref() != Some(header(headers, "receipt-delivery-option")) {
            return Err(ClientError::UnknownMdnUrl);
        }
        MdnDelivery::Asynchronous
    } else {
        MdnDelivery::Synchronous
    };
    Ok(MdnRequest {
        partner,
        message_id,
        requested: headers.contains_key("disposition-notification-to"),
        signed: headers.contains_key("disposition-notification-options"),
        delivery,
    })
}

impl As2Front {
    async fn submit(&self, context: RequestContext, request: &MdnRequest<'_>, mic: String) -> Response {
        match self.exchange.submit(context).await {
            // An asynchronous MDN is sent once the message is complete, so that the only MDN reports the final outcome.
            Answer::Accepted if request.is_asynchronous() => StatusCode::OK.into_response(),
            Answer::Accepted | Answer::Delivered => {
                self.mdn_response(request, MdnOutcome::Processed, Some(mic))
            }
            Answer::Reject(retry_after) => platform::rejection(retry_after),
            Answer::UnknownDestination | Answer::Failed => {
                self.mdn_response(request, MdnOutcome::Failed, Some(mic))
            }
        }
    }

    /// Returns the request context of a partner's message. Returns `None` if the body cannot be decoded or is too long, or if
    /// the settings have no class, tenant or destination for the partner's messages.
    fn request_context(
        &self, request: &MdnRequest, subject: &str, mic: &str, part: &[u8],
    ) -> Option<RequestContext> {
        let body = smime::decoded_body(part).filter(|body| body.len() <= MAX_PAYLOAD_BYTES)?;
        let partner = request.partner;
        let class = index_of(&self.deployment.classes, &partner.class)?;
        let rules = &self.deployment.module.classes[class];
        let name = format!("{AS2_NAME_PREFIX}{}:{}", partner.name, request.message_id);
        let is_ordered = rules.fifo_by_key && !subject.is_empty();
        Some(RequestContext {
            idempotency_key: name.clone(),
            name,
            origin: origin(request, mic),
            class,
            tenant: index_of(&self.deployment.tenants, &partner.tenant)?,
            ordering_key: is_ordered.then(|| ordering_key(partner, subject)),
            dest: partner.forward_to?,
            deadline: clock::now() + rules.deadline,
            body: body.into(),
            tags: Vec::new(),
        })
    }
}

/// Returns the data that is stored with a message to compose its asynchronous MDN; empty if the message requests none.
fn origin(request: &MdnRequest, mic: &str) -> String {
    if !request.requested || !request.is_asynchronous() {
        return String::new();
    }
    let origin = Origin {
        partner: request.partner.name.clone(),
        message: request.message_id.to_string(),
        mic: mic.to_string(),
        signed: request.signed,
    };
    miniserde::json::to_string(&origin)
}

fn index_of(names: &[String], name: &Option<String>) -> Option<usize> {
    let name = name.as_ref()?;
    names.iter().position(|n| n == name)
}

/// Returns the ordering key of a message. In a class with ordered delivery, a partner's messages with the same subject are
/// delivered in order.
fn ordering_key(partner: &Partner, subject: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    (&partner.name, subject).hash(&mut hasher);
    hasher.finish()
}
