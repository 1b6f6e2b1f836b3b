//! Receipts: message disposition notifications (MDN; RFC 8098), as AS2 uses them (RFC 4130, section 7).
use super::mime;
use super::smime::{self, Entity, Identity};
use super::As2Error;

/// No part of a receipt contains this text.
const BOUNDARY: &str = "=_receipt";

/// The media type of the machine-readable part (RFC 8098, section 3.1).
const NOTIFICATION_TYPE: &str = "message/disposition-notification";

/// Disposition modifiers of errors that a partner finds before it processes the message (RFC 4130, section 7.5.3).
const ERRORS_BEFORE_PROCESSING: [&str; 7] = [
    "authentication-failed",
    "decryption-failed",
    "decompression-failed",
    "integrity-check-failed",
    "insufficient-message-security",
    "unknown-trading-relationship",
    "unknown-trading-partner",
];

/// The fields of a receipt that AS2 needs.
#[derive(Clone, Debug, PartialEq)]
pub struct Mdn {
    /// `Original-Message-ID`: the message that the receipt is for.
    pub original_message_id: String,
    /// The disposition type, and its modifier if any: `processed`, or `processed/error: decryption-failed`.
    pub disposition: String,
    /// `Received-Content-MIC` without the algorithm, in base64 (RFC 4130, section 7.4.3).
    pub received_content_mic: Option<String>,
}

/// What a disposition says of the message.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DispositionOutcome {
    /// The message was processed.
    Processed,
    /// The message was rejected before it could take effect.
    NotProcessed,
    /// An error from which it does not follow that the message took no effect.
    MayBeProcessed,
}

impl Mdn {
    /// What the disposition says of the message.
    pub fn outcome(&self) -> DispositionOutcome {
        let disposition = self.disposition.to_ascii_lowercase();
        let (kind, modifier) = disposition.split_once('/').unwrap_or((&disposition, ""));
        let only_warns = modifier.is_empty() || modifier.trim_start().starts_with("warning");
        if kind.trim() == "processed" && only_warns {
            return DispositionOutcome::Processed;
        }
        if ERRORS_BEFORE_PROCESSING.iter().any(|error| modifier.contains(error)) {
            return DispositionOutcome::NotProcessed;
        }
        DispositionOutcome::MayBeProcessed
    }
}

/// Composes a receipt as a MIME entity; `our_name` is the recipient that it names. It is signed if an identity is given.
///
/// # Errors
///
/// The receipt cannot be signed.
pub fn compose(mdn: &Mdn, our_name: &str, signer: Option<&Identity>) -> Result<Entity, As2Error> {
    let mic_line = match &mdn.received_content_mic {
        Some(mic) => format!("Received-Content-MIC: {mic}, sha-256\r\n"),
        None => String::new(),
    };
    let Mdn { original_message_id, disposition, .. } = mdn;
    let body = format!(
        "--{BOUNDARY}\r\nContent-Type: text/plain\r\n\r\nThe message {original_message_id} is {disposition}.\r\n\
         --{BOUNDARY}\r\nContent-Type: {NOTIFICATION_TYPE}\r\n\r\n\
         Reporting-UA: micaladder\r\nOriginal-Recipient: rfc822; {our_name}\r\nFinal-Recipient: rfc822; {our_name}\r\n\
         Original-Message-ID: {original_message_id}\r\n\
         Disposition: automatic-action/MDN-sent-automatically; {disposition}\r\n{mic_line}\r\n--{BOUNDARY}--\r\n"
    );
    let content_type =
        format!("multipart/report; report-type=disposition-notification; boundary=\"{BOUNDARY}\"");
    match signer {
        Some(signer) => smime::sign(format!("Content-Type: {content_type}\r\n\r\n{body}").as_bytes(), signer),
        None => Ok(Entity { content_type, body: body.into_bytes() }),
    }
}

/// Parses the receipt in a `multipart/report`, signed or not. The signature is not verified here.
pub fn parse(text: &[u8]) -> Option<Mdn> {
    let text = mime::with_unix_line_ends(text);
    let (_, notification) = text.split_once(NOTIFICATION_TYPE)?;
    let fields = mime::unfold(notification);
    // The field reads `action-mode/sending-mode; disposition`.
    let disposition = mime::header(&fields, "disposition")?;
    let (_, disposition) = disposition.split_once(';')?;
    Some(Mdn {
        original_message_id: mime::header(&fields, "original-message-id")?,
        disposition: disposition.trim().to_string(),
        received_content_mic: mime::header(&fields, "received-content-mic")
            .map(|mic| without_algorithm(&mic)),
    })
}

/// `MIC, algorithm` as `MIC`.
fn without_algorithm(mic: &str) -> String {
    let (digest, _) = mic.split_once(',').unwrap_or((mic, ""));
    digest.trim().to_string()
}
