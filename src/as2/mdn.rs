//! Receipts (message disposition notifications, RFC 8098 as AS2 uses it).
use super::smime::{self, Entity, Identity};

/// What a receipt says.
#[derive(Clone, Debug, PartialEq)]
pub struct Mdn {
    /// Id of the message that it is for.
    pub original_message_id: String,
    /// `processed`, or that and why not.
    pub disposition: String,
    pub received_content_mic: Option<String>,
}

/// What a disposition means for the message.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DispositionOutcome {
    Processed,
    /// Turned away before it could take effect.
    NotProcessed,
    MayBeProcessed,
}

/// Errors that a partner reports before it looks into the message.
const BEFORE: [&str; 7] = [
    "authentication-failed",
    "decryption-failed",
    "decompression-failed",
    "integrity-check-failed",
    "insufficient-message-security",
    "unknown-trading-relationship",
    "unknown-trading-partner",
];

impl Mdn {
    pub fn outcome(&self) -> DispositionOutcome {
        let words = self.disposition.to_ascii_lowercase();
        let (kind, detail) = words.split_once('/').unwrap_or((&words, ""));
        if kind.trim() == "processed" && (detail.is_empty() || detail.trim_start().starts_with("warning")) {
            DispositionOutcome::Processed
        } else if BEFORE.iter().any(|b| detail.contains(b)) {
            DispositionOutcome::NotProcessed
        } else {
            DispositionOutcome::MayBeProcessed
        }
    }
}

/// A receipt as an entity; signed where an identity is given.
pub fn compose(
    receipt: &Mdn, us: &str, me: Option<&Identity>,
) -> Result<Entity, Box<dyn std::error::Error + Send + Sync>> {
    let boundary = "=_receipt";
    let mic = receipt
        .received_content_mic
        .as_ref()
        .map(|m| format!("Received-Content-MIC: {m}, sha-256\r\n"))
        .unwrap_or_default();
    let (message, said) = (&receipt.original_message_id, &receipt.disposition);
    let body = format!(
        "--{boundary}\r\nContent-Type: text/plain\r\n\r\nThe message {message} is {said}.\r\n\
         --{boundary}\r\nContent-Type: message/disposition-notification\r\n\r\n\
         Reporting-UA: micaladder\r\nOriginal-Recipient: rfc822; {us}\r\nFinal-Recipient: rfc822; {us}\r\n\
         Original-Message-ID: {message}\r\n\
         Disposition: automatic-action/MDN-sent-automatically; {said}\r\n{mic}\r\n--{boundary}--\r\n"
    );
    let content_type =
        format!("multipart/report; report-type=disposition-notification; boundary=\"{boundary}\"");
    match me {
        Some(me) => smime::sign(format!("Content-Type: {content_type}\r\n\r\n{body}").as_bytes(), me),
        None => Ok(Entity { content_type, body: body.into_bytes() }),
    }
}

/// Reads the fields of a receipt out of a multipart/report, signed or not. Says nothing of its signature.
pub fn parse(text: &[u8]) -> Option<Mdn> {
    let text = String::from_utf8_lossy(text).replace("\r\n", "\n");
    let (_, report) = text.split_once("message/disposition-notification")?;
    let report = report.replace("\n ", " ").replace("\n\t", " ");
    let field = |name: &str| {
        let lines = report.lines().filter_map(|l| l.split_once(':'));
        lines.filter(|(n, _)| n.trim().eq_ignore_ascii_case(name)).map(|(_, v)| v.trim().to_string()).next()
    };
    let disposition = field("disposition")?.split_once(';')?.1.trim().to_string();
    let mic = field("received-content-mic").and_then(|m| Some(m.split(',').next()?.trim().to_string()));
    Some(Mdn { original_message_id: field("original-message-id")?, disposition, received_content_mic: mic })
}
