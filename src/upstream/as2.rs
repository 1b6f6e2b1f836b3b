//! The AS2 encoding of an attempt: a signed message to a partner, and what its receipt means.
use super::pool::Pool;
use super::{platform, Ending};
use crate::as2::mdn::{self, DispositionOutcome};
use crate::as2::smime::{self, Entity};
use crate::as2::{As2Settings, Partner};
use crate::core::Attempt;
use crate::exchange::Exchange;
use crate::Outcome;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::header::CONTENT_TYPE;
use hyper::Request;
use std::sync::Arc;

const RECEIPT_MOST: usize = 256 * 1024;

type Fault = Box<dyn std::error::Error + Send + Sync>;

/// The id that a message keeps in all its attempts, so that the partner knows a repeat.
fn message_id(name: &str, us: &str) -> String {
    let plain = |c: char| if c.is_ascii_alphanumeric() || "._-".contains(c) { c } else { '-' };
    format!("<{}@{us}>", name.chars().map(plain).collect::<String>())
}

/// Makes the call and waits for its receipt; dropping it closes its connection.
pub async fn call(
    pool: Arc<Pool>, one: &Attempt, book: &As2Settings, partner: &Partner, exchange: &Exchange,
) -> Ending {
    let id = message_id(&one.context.name, &book.name);
    let (request, mic) = match request(one, book, partner, &id) {
        Ok(made) => made,
        Err(e) => {
            log::error!("AS2: message {id} to {} cannot be made: {e}", partner.name);
            return Outcome::Skipped.into();
        }
    };
    // Known before the first byte goes out: a receipt may overtake the answer.
    let receipt = exchange.await_receipt(&id);
    let to = request.uri().clone();
    let make = || exchange.may_send(one.id, one.attempt).then_some(request);
    let mut call = match pool.call(to, make, platform::listener(one, false, exchange)).await {
        Ok(call) => call,
        Err(fault) => return platform::broken(&partner.url, &fault),
    };
    let (head, body, seat) = match call.head().await {
        Ok((answer, seat)) => {
            let (head, body) = answer.into_parts();
            (head, body, seat)
        }
        Err(fault) => return platform::broken(&partner.url, &fault),
    };
    if !head.status.is_success() {
        return platform::ending(head.status, &head.headers);
    }
    let received = if partner.is_mdn_asynchronous() {
        receipt.await.ok()
    } else {
        let kind =
            head.headers.get(CONTENT_TYPE).and_then(|t| t.to_str().ok()).unwrap_or_default().to_string();
        match Limited::new(body, RECEIPT_MOST).collect().await {
            Ok(text) => {
                let _ = tokio::time::timeout(platform::LINGER, seat.settle()).await;
                Some(as_text(&kind, &text.to_bytes()))
            }
            // Silent or gone before its receipt: it may have run.
            Err(_) => return Outcome::Reset.into(),
        }
    };
    judge(received.as_deref().unwrap_or_default(), &id, &mic, book, partner)
}

/// A received entity as one MIME text, its type in front.
fn as_text(content_type: &str, body: &[u8]) -> Bytes {
    [format!("Content-Type: {content_type}\r\n\r\n").as_bytes(), body].concat().into()
}

fn request(
    one: &Attempt, book: &As2Settings, partner: &Partner, id: &str,
) -> Result<(Request<Full<Bytes>>, String), Fault> {
    let mut part =
        b"Content-Type: application/octet-stream\r\nContent-Transfer-Encoding: binary\r\n\r\n".to_vec();
    part.extend_from_slice(&one.context.body);
    let mic = smime::message_integrity_check(&part);
    let signed = smime::sign(&part, &book.identity)?;
    let entity = if partner.encrypt { smime::encrypt(&signed, &partner.certificate)? } else { signed };
    let Entity { content_type, body } = entity;
    let mut request = Request::post(&partner.url)
        .header("as2-version", "1.2")
        .header("as2-from", &book.name)
        .header("as2-to", &partner.name)
        .header("message-id", id)
        .header("mime-version", "1.0")
        .header("subject", "message")
        .header(CONTENT_TYPE, content_type)
        .header("disposition-notification-to", &book.mdn_url)
        .header(
            "disposition-notification-options",
            "signed-receipt-protocol=required, pkcs7-signature; signed-receipt-micalg=required, sha-256",
        );
    if partner.is_mdn_asynchronous() {
        request = request.header("receipt-delivery-option", &book.mdn_url);
    }
    Ok((request.body(Full::new(body.into()))?, mic))
}

/// Only a receipt that the partner signed, for this message and with its digest, is a delivery.
fn judge(text: &[u8], id: &str, mic: &str, book: &As2Settings, partner: &Partner) -> Ending {
    let fault = |why: &str, outcome: Outcome| {
        log::warn!("AS2: message {id} to {}: {why}", partner.name);
        Ending::from(outcome)
    };
    let Some(entity) = smime::parse_entity(text) else { return fault("no receipt came", Outcome::Error) };
    let part = match smime::decrypt_and_verify(entity, &book.identity, &partner.certificate) {
        Ok(part) => part,
        Err(why) => {
            return fault(&format!("its receipt is not good: {}", why.disposition_modifier()), Outcome::Error)
        }
    };
    match mdn::parse(&part) {
        None => fault("its receipt cannot be read", Outcome::Error),
        Some(r) if r.original_message_id != id => fault("its receipt is for another message", Outcome::Error),
        Some(r) => match r.outcome() {
            DispositionOutcome::Processed if r.received_content_mic.as_deref() == Some(mic) => {
                Outcome::Ok.into()
            }
            DispositionOutcome::Processed => fault("its receipt has another digest", Outcome::Error),
            DispositionOutcome::NotProcessed => fault(&r.disposition, Outcome::Rejected(None)),
            DispositionOutcome::MayBeProcessed => fault(&r.disposition, Outcome::Error),
        },
    }
}
