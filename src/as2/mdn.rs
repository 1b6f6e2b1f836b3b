//! Composes and parses message disposition notifications (MDN; RFC 8098) as AS2 uses them (RFC 4130, section 7).
use super::mime;
use super::smime::{self, Entity, Identity};
use super::As2Error;

/// The MIME boundary of the report. No part of an MDN contains this text.
const BOUNDARY: &str = "=_receipt";

/// The media type of the machine-readable part (RFC 8098, section 3.1).
const NOTIFICATION_TYPE: &str = "message/disposition-notification";

/// Disposition modifiers of errors that occur before a partner processes the message (RFC 4130, section 7.5.3).
const ERRORS_BEFORE_PROCESSING: [&str; 7] = [
    "authentication-failed",
    "decryption-failed",
    "decompression-failed",
    "integrity-check-failed",
    "insufficient-message-security",
    "unknown-trading-relationship",
    "unknown-trading-partner",
];

/// The fields of an MDN that AS2 needs.
#[derive(Clone, Debug, PartialEq)]
pub struct Mdn {
    /// `Original-Message-ID`: the `Message-ID` of the message that the MDN reports on.
    pub original_message_id: String,
    /// The disposition type and its modifier, if any: `processed`, or `processed/error: decryption-failed`.
    pub disposition: String,
    /// `Received-Content-MIC`: the message integrity check in base64, without the algorithm (RFC 4130, section 7.4.3).
    pub received_content_mic: Option<String>,
}

/// Whether the partner processed the message, according to the disposition.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DispositionOutcome {
    /// The message was processed.
    Processed,
    /// The partner rejected the message before it could have an effect.
    NotProcessed,
    /// The partner reports an error that does not rule out that the message had an effect.
    MayBeProcessed,
}

impl Mdn {
    /// Returns whether the partner processed the message, according to the disposition.
    pub fn outcome(&self) -> DispositionOutcome {
        let disposition = self.disposition.to_ascii_lowercase();
        let (disposition_type, modifier) = disposition.split_once('/').unwrap_or((&disposition, ""));
        let has_no_error = modifier.is_empty() || modifier.trim_start().starts_with("warning");
        if disposition_type.trim() == "processed" && has_no_error {
            return DispositionOutcome::Processed;
        }
        if ERRORS_BEFORE_PROCESSING.iter().any(|error| modifier.contains(error)) {
            return DispositionOutcome::NotProcessed;
        }
        DispositionOutcome::MayBeProcessed
    }
}

/// Composes an MDN as a MIME entity, with `local_name` as the recipient of the original message. Signs the MDN if an
/// identity is given.
///
/// # Errors
///
/// The MDN cannot be signed.
pub fn compose(mdn: &Mdn, local_name: &str, signer: Option<&Identity>) -> Result<Entity, As2Error> {
    let mic_line = match &mdn.received_content_mic {
        Some(mic) => format!("Received-Content-MIC: {mic}, sha-256\r\n"),
        None => String::new(),
    };
    let Mdn { original_message_id, disposition, .. } = mdn;
    let body = format!(
        "--{BOUNDARY}\r\nContent-Type: text/plain\r\n\r\nThe message {original_message_id} is {disposition}.\r\n\
         --{BOUNDARY}\r\nContent-Type: {NOTIFICATION_TYPE}\r\n\r\n\
         Reporting-UA: micaladder\r\nOriginal-Recipient: rfc822; {local_name}\r\nFinal-Recipient: rfc822; {local_name}\r\n\
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

/// Parses the MDN in a `multipart/report`, signed or not. Does not verify the signature.
pub fn parse(text: &[u8]) -> Option<Mdn> {
    let text = mime::with_unix_line_ends(text);
    let (_, notification) = text.split_once(NOTIFICATION_TYPE)?;
    let fields = mime::unfold(notification);
    // The field has the form `action-mode/sending-mode; disposition`.
    let disposition = mime::header(&fields, "disposition")?;
    let (_, disposition) = disposition.split_once(';')?;
    Some(Mdn {
        original_message_id: mime::header(&fields, "original-message-id")?,
        disposition: disposition.trim().to_string(),
        received_content_mic: mime::header(&fields, "received-content-mic")
            .map(|mic| without_algorithm(&mic)),
    })
}

/// Returns the digest of a `Received-Content-MIC` value, which has the form `digest, algorithm`.
fn without_algorithm(mic: &str) -> String {
    let (digest, _) = mic.split_once(',').unwrap_or((mic, ""));
    digest.trim().to_string()
}
