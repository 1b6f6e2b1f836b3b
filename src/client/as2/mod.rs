//! The AS2 front (RFC 4130): receives partners' messages, and their asynchronous receipts for messages that were sent to
//! them. `mdn` composes and delivers our own receipts.
mod mdn;

pub use mdn::send_mdns;

use super::{platform, ClientError, Limits};
use crate::as2::mdn as mdn_format;
use crate::as2::smime::{self, Entity};
use crate::as2::{As2Settings, MdnDelivery, Partner};
use crate::clock;
use crate::core::Answer;
use crate::exchange::Exchange;
use crate::request::RequestContext;
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

/// Partners may be far away. A message of 64 KiB is signed, encrypted and in base64.
pub const LIMITS: Limits = Limits {
    head_timeout: Duration::from_secs(10),
    body_timeout: Duration::from_secs(30),
    body_limit: 192 * 1024,
};

/// The most bytes of a message, as for the platform's messages.
const PAYLOAD_LIMIT: usize = 64 * 1024;

/// Prefix of the name under which a partner's message is accepted; it keeps them apart from the platform's names.
const MESSAGE_NAME_PREFIX: &str = "as2:";

/// What the AS2 front works with.
pub struct As2Front {
    /// Names of classes and tenants, and the classes' rules.
    pub deployment: Arc<DeploymentSettings>,
    /// Our identity and the partners.
    pub settings: Arc<As2Settings>,
    /// Where accepted messages go.
    pub exchange: Exchange,
}

/// The routes of the AS2 front.
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
        return Err(ClientError::NotAddressedToUs);
    }
    let from = header(&headers, "as2-from");
    // An unknown sender gets no receipt: it could not verify one, and nothing was accepted.
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

/// An asynchronous receipt for a message that was sent earlier. The attempt that sent the message verifies it.
async fn receive_mdn(
    State(front): State<Arc<As2Front>>, headers: HeaderMap, body: Bytes,
) -> Result<StatusCode, ClientError> {
    let mdn = mdn_format::parse(&body).ok_or(ClientError::InvalidMdn)?;
    let content_type = format!("Content-Type: {}\r\n\r\n", header(&headers, "content-type"));
    let entity = [content_type.as_bytes(), &body[..]].concat();
    front.exchange.receipt_received(mdn.original_message_id, entity.into());
    Ok(StatusCode::OK)
}

/// A header's value without quotes; empty if it is absent or not text.
fn header<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    let value = headers.get(name).and_then(|v| v.to_str().ok()).unwrap_or_default();
    value.trim().trim_matches('"')
}

/// Reads which receipt a message requests (RFC 4130, section 7.3).
fn mdn_request<'a>(
    headers: &HeaderMap, partner: &'a Partner, message_id: &'a str,
) -> Result<MdnRequest<'a>, ClientError> {
    let delivery = if headers.contains_key("receipt-delivery-option") {
        // Guards against receipts to any URL that a message names.
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
            // An asynchronous receipt is sent when the message is complete: one receipt, and the final one.
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

    /// The context of a partner's message. `None` if its body cannot be decoded or is too long, or if the settings have no
    /// class, tenant or destination for the partner's messages.
    fn request_context(
        &self, request: &MdnRequest, subject: &str, mic: &str, part: &[u8],
    ) -> Option<RequestContext> {
        let body = smime::decoded_body(part).filter(|body| body.len() <= PAYLOAD_LIMIT)?;
        let partner = request.partner;
        let class = index_of(&self.deployment.classes, &partner.class)?;
        let rules = &self.deployment.module.classes[class];
        let name = format!("{MESSAGE_NAME_PREFIX}{}:{}", partner.name, request.message_id);
        let in_order = rules.fifo_by_key && !subject.is_empty();
        Some(RequestContext {
            idempotency_key: name.clone(),
            name,
            origin: origin(request, mic),
            class,
            tenant: index_of(&self.deployment.tenants, &partner.tenant)?,
            ordering_key: in_order.then(|| ordering_key(partner, subject)),
            dest: partner.forward_to?,
            deadline: clock::now() + rules.deadline,
            body: body.into(),
            tags: Vec::new(),
        })
    }
}

/// What is stored with a message to compose its receipt once it is complete; empty if no receipt is due then.
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

/// A partner's messages with the same subject are delivered in order, where their class is.
fn ordering_key(partner: &Partner, subject: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    (&partner.name, subject).hash(&mut hasher);
    hasher.finish()
}
