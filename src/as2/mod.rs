//! What both sides of the AS2 front share (RFC 4130): its partners, S/MIME and receipts.
pub mod check;
pub mod mdn;
pub mod smime;

use crate::core::Endpoint;
use crate::EndpointState;
use der::DecodePem;
use miniserde::{json, Deserialize};
use smime::Identity;
use std::error::Error;
use std::path::Path;
use x509_cert::Certificate;

const PREFIX: &str = "as2:";

/// The AS2 front's file. It is off unless `enabled` says otherwise.
#[derive(Deserialize, serde::Deserialize)]
struct File {
    enabled: bool,
    listen: String,
    name: String,
    key: String,
    certificate: String,
    receipt_url: String,
    partners: Vec<FilePartner>,
    acme: Option<AcmeSettings>,
}

/// From whom the listener's TLS certificate comes. Without it, the listener speaks plain HTTP.
#[derive(Deserialize, serde::Deserialize, Clone)]
pub struct AcmeSettings {
    pub directory: String,
    pub domain: String,
    /// Where the authority finds the proof (HTTP-01).
    pub challenge_listen: String,
    /// Seconds from one renewal to the next, and after a failed one.
    pub renew_s: f64,
    pub retry_s: f64,
}

#[derive(Deserialize, serde::Deserialize)]
struct FilePartner {
    name: String,
    certificate: String,
    /// Messages to this partner: where, to which of our dests, how many a second.
    url: Option<String>,
    dest: Option<u64>,
    rate: Option<f64>,
    encrypt: Option<bool>,
    /// `sync` or `async`.
    receipt: Option<String>,
    /// Messages from this partner: what they are to us, and where their receipts go if they are asked for later.
    class: Option<String>,
    tenant: Option<String>,
    forward_to: Option<u64>,
    receipts_to: Option<String>,
}

/// The AS2 front's settings, read once.
pub struct As2Settings {
    pub listen: String,
    pub name: String,
    pub identity: Identity,
    pub mdn_url: String,
    pub partners: Vec<Partner>,
    pub acme: Option<AcmeSettings>,
}

/// How a partner returns the receipt (MDN) for a message sent to it (RFC 4130, section 7).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MdnDelivery {
    /// In the response to the message's own HTTP request.
    Synchronous,
    /// In a separate HTTP request to our receipt URL.
    Asynchronous,
}

pub struct Partner {
    pub name: String,
    pub certificate: Certificate,
    pub url: String,
    pub dest: Option<u64>,
    pub rate: f64,
    pub encrypt: bool,
    pub mdn_delivery: MdnDelivery,
    pub class: Option<String>,
    pub tenant: Option<String>,
    pub forward_to: Option<u64>,
    pub receipts_to: Option<String>,
}

impl Partner {
    /// Whether the partner returns its receipts (MDNs) in separate HTTP requests.
    pub fn is_mdn_asynchronous(&self) -> bool {
        self.mdn_delivery == MdnDelivery::Asynchronous
    }
}

impl As2Settings {
    /// Reads the file; none if there is none or it says that the front is off.
    ///
    /// # Errors
    ///
    /// A file, a key or a certificate that cannot be read, named.
    pub fn load(path: &Path) -> Result<Option<As2Settings>, Box<dyn Error>> {
        let Ok(text) = std::fs::read_to_string(path) else { return Ok(None) };
        let file: File = json::from_str(&text)
            .map_err(|_| crate::config_error::explain_parse_failure::<File>(path, &text))?;
        if !file.enabled {
            return Ok(None);
        }
        // Keys lie beside the file unless they say where.
        let folder = path.parent().unwrap_or(Path::new("."));
        let read = |name: &str| {
            std::fs::read_to_string(folder.join(name)).map_err(|e| format!("{}: {name}: {e}", path.display()))
        };
        let certificate = |name: &str| -> Result<Certificate, Box<dyn Error>> {
            Certificate::from_pem(read(name)?).map_err(|e| format!("{}: {name}: {e}", path.display()).into())
        };
        let identity = Identity::new(&read(&file.key)?, certificate(&file.certificate)?)?;
        let mut partners = Vec::new();
        for p in file.partners {
            partners.push(Partner {
                certificate: certificate(&p.certificate)?,
                name: p.name,
                url: p.url.unwrap_or_default(),
                dest: p.dest,
                rate: p.rate.unwrap_or(0.0),
                encrypt: p.encrypt.unwrap_or(false),
                mdn_delivery: match p.receipt.as_deref() {
                    Some("async") => MdnDelivery::Asynchronous,
                    _ => MdnDelivery::Synchronous,
                },
                class: p.class,
                tenant: p.tenant,
                forward_to: p.forward_to,
                receipts_to: p.receipts_to,
            });
        }
        let File { listen, name, receipt_url, acme, .. } = file;
        Ok(Some(As2Settings { listen, name, identity, mdn_url: receipt_url, partners, acme }))
    }

    pub fn partner(&self, name: &str) -> Option<&Partner> {
        self.partners.iter().find(|p| p.name == name)
    }

    /// Partners to which messages go, as members of the upstream group.
    pub fn endpoints(&self) -> Vec<Endpoint> {
        let member = |p: &Partner| {
            Some(Endpoint {
                uid: format!("{PREFIX}{}", p.name),
                address: format!("{PREFIX}{}", p.name),
                zone: 0,
                kind: 0,
                dest: p.dest?,
                state: EndpointState::Running,
                rate: p.rate,
            })
        };
        self.partners.iter().filter_map(member).collect()
    }

    /// The partner that an address of the upstream group stands for.
    pub fn partner_at(&self, address: &str) -> Option<&Partner> {
        self.partner(address.strip_prefix(PREFIX)?)
    }
}
