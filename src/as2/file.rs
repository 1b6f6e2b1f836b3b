//! The format of the AS2 settings file, in JSON.
use miniserde::Deserialize;

/// The whole file. The AS2 front is off unless `enabled` is true.
#[derive(Deserialize, serde::Deserialize)]
pub(super) struct As2File {
    pub(super) enabled: bool,
    /// The address that partners connect to, `IP:PORT`.
    pub(super) listen: String,
    /// The local AS2 name (`AS2-From` and `AS2-To`; RFC 4130, section 6.2).
    pub(super) name: String,
    /// File name of the local private key (PKCS #8 PEM), relative to the directory of this file.
    pub(super) key: String,
    /// File name of the local certificate (PEM), relative to the directory of this file.
    pub(super) certificate: String,
    /// The URL that partners send asynchronous MDNs to.
    pub(super) receipt_url: String,
    pub(super) partners: Vec<PartnerEntry>,
    pub(super) acme: Option<AcmeSettings>,
}

/// `acme`: the authority that issues the listener's TLS certificate. Without it, the listener uses plain HTTP.
#[derive(Deserialize, serde::Deserialize, Clone)]
pub struct AcmeSettings {
    /// URL of the authority's directory (RFC 8555, section 7.1.1).
    pub directory: String,
    /// The domain name in the certificate.
    pub domain: String,
    /// The address at which the authority validates the HTTP-01 challenge, `IP:PORT` (RFC 8555, section 8.3).
    pub challenge_listen: String,
    /// Seconds from one renewal to the next.
    pub renew_s: f64,
    /// Seconds from a failed renewal to the next attempt.
    pub retry_s: f64,
}

/// `partners[]`: a trading partner.
#[derive(Deserialize, serde::Deserialize)]
pub(super) struct PartnerEntry {
    /// The partner's AS2 name.
    pub(super) name: String,
    /// File name of the partner's certificate (PEM), relative to the directory of this file.
    pub(super) certificate: String,
    /// Messages to the partner: the partner's URL.
    pub(super) url: Option<String>,
    /// Messages to the partner: the destination that the partner serves.
    pub(super) dest: Option<u64>,
    /// Messages to the partner: the partner's nominal capacity in messages per second.
    pub(super) rate: Option<f64>,
    /// Messages to the partner: whether they are encrypted.
    pub(super) encrypt: Option<bool>,
    /// Messages to the partner: how the partner returns MDNs, `sync` or `async`.
    pub(super) receipt: Option<String>,
    /// Messages from the partner: their class.
    pub(super) class: Option<String>,
    /// Messages from the partner: their tenant.
    pub(super) tenant: Option<String>,
    /// Messages from the partner: the destination to which they are forwarded.
    pub(super) forward_to: Option<u64>,
    /// Messages from the partner: the URL that asynchronous MDNs are sent to.
    pub(super) receipts_to: Option<String>,
}
