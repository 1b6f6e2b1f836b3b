//! The AS2 encoding of attempts (RFC 4130) as signed messages to a partner, and the interpretation of the partner's MDNs.
use super::connection::UpstreamRequest;
use super::platform;
use super::pool::Pool;
use super::response::{self, CallKind};
use crate::as2::mdn::{self, DispositionOutcome};
use crate::as2::smime::{self, Entity};
use crate::as2::{As2Settings, Partner};
use crate::body;
use crate::core::Attempt;
use crate::exchange::{AttemptResult, Exchange};
use crate::Outcome;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderMap, CONTENT_TYPE};
use hyper::Request;
use std::sync::Arc;
use tokio::time::timeout;

/// The longest synchronous MDN in bytes. A signed MDN has about ten thousand.
const MAX_MDN_BYTES: usize = 256 * 1024;

type EncodeError = Box<dyn std::error::Error + Send + Sync>;

/// An encoded request, and the digest that its MDN must contain.
struct SignedRequest {
    request: UpstreamRequest,
    /// The message integrity check (MIC) of the message, a digest (RFC 4130, section 7.3.1).
    mic: String,
}

/// Returns the message id. It is the same in all attempts of a message, so that the partner can recognize duplicates.
fn message_id(name: &str, local_name: &str) -> String {
    let sanitize = |c: char| if c.is_ascii_alphanumeric() || "._-".contains(c) { c } else { '-' };
    format!("<{}@{local_name}>", name.chars().map(sanitize).collect::<String>())
}

/// Makes the call and waits for its MDN. Dropping this future cancels the call and closes its connection.
pub(super) async fn call(
    pool: Arc<Pool>, attempt: &Attempt, settings: &As2Settings, partner: &Partner, exchange: &Exchange,
) -> AttemptResult {
    let id = message_id(&attempt.context.name, &settings.name);
    let SignedRequest { request, mic } = match encode(attempt, settings, partner, &id) {
        Ok(signed) => signed,
        Err(e) => {
            log::error!("AS2: cannot encode message {id} to {}: {e}", partner.name);
            return Outcome::Skipped.into();
        }
    };
    // Registered before the first byte is sent, because an asynchronous MDN may arrive before the response.
    let asynchronous_mdn = exchange.await_mdn(&id);
    let to = request.uri().clone();
    let make_request = || exchange.may_send(attempt.into()).then_some(request);
    let listener = response::retry_after_listener(attempt, CallKind::As2, exchange);
    let mut call = match pool.call(to, make_request, listener).await {
        Ok(call) => call,
        Err(error) => return platform::result_of_failed_call(&partner.url, &error),
    };
    let (response, connection) = match call.head().await {
        Ok(response_and_connection) => response_and_connection,
        Err(error) => return platform::result_of_failed_call(&partner.url, &error),
    };
    let (head, body) = response.into_parts();
    if !head.status.is_success() {
        if let Err(result) = response::discard_body(&partner.url, head.status, body).await {
            return result;
        }
        return response::result_of_complete_response(CallKind::As2, head.status, &head.headers);
    }
    let mdn = if partner.is_mdn_asynchronous() {
        asynchronous_mdn.await.unwrap_or_default()
    } else {
        let Ok(body) = body::read(body, MAX_MDN_BYTES, |_| {}).await else {
            // The connection broke or the body is too long, so there is no MDN. The call may have run.
            return Outcome::Reset.into();
        };
        let _ = timeout(platform::COMPLETION_GRACE_PERIOD, connection.release_when_ready()).await;
        into_mime_entity(&head.headers, &body)
    };
    result_of_mdn(&mdn, &id, &mic, settings, partner)
}

/// Converts a response body to a MIME entity with the content type of the response.
fn into_mime_entity(headers: &HeaderMap, body: &[u8]) -> Bytes {
    let content_type = headers.get(CONTENT_TYPE).and_then(|value| value.to_str().ok()).unwrap_or_default();
    [format!("Content-Type: {content_type}\r\n\r\n").as_bytes(), body].concat().into()
}

fn encode(
    attempt: &Attempt, settings: &As2Settings, partner: &Partner, id: &str,
) -> Result<SignedRequest, EncodeError> {
    let mut part =
        b"Content-Type: application/octet-stream\r\nContent-Transfer-Encoding: binary\r\n\r\n".to_vec();
    part.extend_from_slice(&attempt.context.body);
    let mic = smime::message_integrity_check(&part);
    let signed = smime::sign(&part, &settings.identity)?;
    let entity = if partner.encrypt { smime::encrypt(&signed, &partner.certificate)? } else { signed };
    let Entity { content_type, body } = entity;
    let mut request = Request::post(&partner.url)
        .header("as2-version", "1.2")
        .header("as2-from", &settings.name)
        .header("as2-to", &partner.name)
        .header("message-id", id)
        .header("mime-version", "1.0")
        .header("subject", "message")
        .header(CONTENT_TYPE, content_type)
        .header("disposition-notification-to", &settings.mdn_url)
        .header(
            "disposition-notification-options",
            "signed-receipt-protocol=required, pkcs7-signature; signed-receipt-micalg=required, sha-256",
        );
    if partner.is_mdn_asynchronous() {
        request = request.header("receipt-delivery-option", &settings.mdn_url);
    }
    Ok(SignedRequest { request: request.body(Full::new(body.into()))?, mic })
}

/// Returns the result that an MDN indicates. The message counts as delivered only if the partner signed the MDN and the MDN
/// contains the id and the digest of the message.
fn result_of_mdn(
    text: &[u8], id: &str, mic: &str, settings: &As2Settings, partner: &Partner,
) -> AttemptResult {
    let failed = |reason: &str, outcome: Outcome| {
        log::warn!("AS2: message {id} to {}: {reason}", partner.name);
        AttemptResult::from(outcome)
    };
    let Some(entity) = smime::parse_entity(text) else {
        return failed("no receipt received", Outcome::Error);
    };
    let part = match smime::decrypt_and_verify(entity, &settings.identity, &partner.certificate) {
        Ok(part) => part,
        Err(error) => {
            return failed(
                &format!("the receipt cannot be verified: {}", error.disposition_modifier()),
                Outcome::Error,
            )
        }
    };
    let Some(mdn) = mdn::parse(&part) else {
        return failed("the receipt cannot be parsed", Outcome::Error);
    };
    if mdn.original_message_id != id {
        return failed("the receipt is for another message", Outcome::Error);
    }
    match mdn.outcome() {
        DispositionOutcome::Processed if mdn.received_content_mic.as_deref() == Some(mic) => {
            Outcome::Ok.into()
        }
        DispositionOutcome::Processed => failed("the receipt has a different digest", Outcome::Error),
        DispositionOutcome::NotProcessed => failed(&mdn.disposition, Outcome::Rejected(None)),
        DispositionOutcome::MayBeProcessed => failed(&mdn.disposition, Outcome::Error),
    }
}
