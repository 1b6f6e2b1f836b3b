//! The parts of AS2 (RFC 4130) that both directions use: settings and partners, S/MIME (RFC 8551) and message disposition
//! notifications (MDN; RFC 8098).
#![warn(missing_docs)]
pub mod check;
mod error;
mod file;
pub mod mdn;
mod mime;
pub mod smime;

pub use error::As2Error;
pub use file::AcmeSettings;

use crate::config_error::explain_parse_failure;
use crate::core::Endpoint;
use crate::EndpointState;
use der::DecodePem;
use file::{As2File, PartnerEntry};
use miniserde::json;
use smime::Identity;
use std::path::{Path, PathBuf};
use x509_cert::Certificate;

/// Prefix of the uid and the address of an endpoint that is an AS2 partner.
const ENDPOINT_PREFIX: &str = "as2:";

/// The AS2 settings, with keys and certificates loaded.
pub struct As2Settings {
    /// The address that partners connect to, `IP:PORT`.
    pub listen: String,
    /// The local AS2 name.
    pub name: String,
    /// The local private key and certificate.
    pub identity: Identity,
    /// The URL that partners send asynchronous MDNs to.
    pub mdn_url: String,
    /// The trading partners.
    pub partners: Vec<Partner>,
    /// The authority that issues the listener's TLS certificate; `None` if the listener uses plain HTTP.
    pub acme: Option<AcmeSettings>,
}

/// How an MDN is returned to the sender of the message (RFC 4130, section 7.2).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MdnDelivery {
    /// In the response to the HTTP request that carries the message.
    Synchronous,
    /// In a separate HTTP request to the MDN URL of the message's sender.
    Asynchronous,
}

/// A trading partner.
pub struct Partner {
    /// The partner's AS2 name.
    pub name: String,
    /// The certificate that verifies the partner's signatures and encrypts messages to it.
    pub certificate: Certificate,
    /// The URL that messages to the partner are sent to; empty if the partner only sends messages.
    pub url: String,
    /// The destination that the partner serves; `None` if the partner only sends messages.
    pub destination: Option<u64>,
    /// The partner's nominal capacity in messages per second.
    pub rate: f64,
    /// Whether messages to the partner are encrypted.
    pub encrypt: bool,
    /// How the partner returns MDNs.
    pub mdn_delivery: MdnDelivery,
    /// The class of messages from the partner.
    pub class: Option<String>,
    /// The tenant of messages from the partner.
    pub tenant: Option<String>,
    /// The destination to which messages from the partner are forwarded.
    pub forward_to: Option<u64>,
    /// The URL that asynchronous MDNs for the partner's messages are sent to.
    pub mdn_url: Option<String>,
}

impl Partner {
    /// Returns whether the partner returns MDNs in separate HTTP requests.
    pub fn is_mdn_asynchronous(&self) -> bool {
        self.mdn_delivery == MdnDelivery::Asynchronous
    }

    /// Returns the partner as an endpoint; `None` if the partner serves no destination.
    fn endpoint(&self) -> Option<Endpoint> {
        let uid = format!("{ENDPOINT_PREFIX}{}", self.name);
        Some(Endpoint {
            address: uid.clone(),
            uid,
            zone: 0,
            kind: 0,
            dest: self.destination?,
            state: EndpointState::Running,
            rate: self.rate,
        })
    }
}

impl As2Settings {
    /// Loads the settings file and the keys and certificates that it names. Returns `None` if the file cannot be read or AS2
    /// is not enabled.
    ///
    /// # Errors
    ///
    /// The file cannot be parsed, or a key or certificate cannot be read or parsed.
    pub fn load(path: &Path) -> Result<Option<As2Settings>, As2Error> {
        let Ok(text) = std::fs::read_to_string(path) else { return Ok(None) };
        let file: As2File = json::from_str(&text)
            .map_err(|_| As2Error::Parse(explain_parse_failure::<As2File>(path, &text)))?;
        if !file.enabled {
            return Ok(None);
        }
        let loader = KeyLoader { settings: path };
        let identity = loader.identity(&file.key, &file.certificate)?;
        let partners = file.partners.into_iter().map(|entry| loader.partner(entry));
        Ok(Some(As2Settings {
            listen: file.listen,
            name: file.name,
            identity,
            mdn_url: file.receipt_url,
            partners: partners.collect::<Result<_, _>>()?,
            acme: file.acme,
        }))
    }

    /// Returns the partner with this AS2 name.
    pub fn partner(&self, name: &str) -> Option<&Partner> {
        self.partners.iter().find(|p| p.name == name)
    }

    /// Returns the partners that serve a destination, as endpoints.
    pub fn endpoints(&self) -> Vec<Endpoint> {
        self.partners.iter().filter_map(Partner::endpoint).collect()
    }

    /// Returns the partner at an endpoint's address; `None` if the address is not that of an AS2 partner.
    pub fn partner_at(&self, address: &str) -> Option<&Partner> {
        let name = address.strip_prefix(ENDPOINT_PREFIX)?;
        self.partner(name)
    }
}

/// Returns the directory that file names in the settings are relative to.
fn key_dir(settings: &Path) -> &Path {
    settings.parent().unwrap_or(Path::new("."))
}

/// Loads the keys and certificates that the settings file names.
struct KeyLoader<'a> {
    settings: &'a Path,
}

impl KeyLoader<'_> {
    fn settings(&self) -> PathBuf {
        self.settings.to_path_buf()
    }

    fn read(&self, name: &str) -> Result<String, As2Error> {
        let path = key_dir(self.settings).join(name);
        std::fs::read_to_string(path).map_err(|source| As2Error::Read {
            settings: self.settings(),
            name: name.to_string(),
            source,
        })
    }

    fn certificate(&self, name: &str) -> Result<Certificate, As2Error> {
        let pem = self.read(name)?;
        Certificate::from_pem(pem).map_err(|source| As2Error::Certificate {
            settings: self.settings(),
            name: name.to_string(),
            source,
        })
    }

    fn identity(&self, key: &str, certificate: &str) -> Result<Identity, As2Error> {
        let pem = self.read(key)?;
        let certificate = self.certificate(certificate)?;
        Identity::new(&pem, certificate).map_err(|source| As2Error::PrivateKey {
            settings: self.settings(),
            name: key.to_string(),
            source,
        })
    }

    fn partner(&self, entry: PartnerEntry) -> Result<Partner, As2Error> {
        let certificate = self.certificate(&entry.certificate)?;
        let mdn_delivery = match entry.receipt.as_deref() {
            Some("async") => MdnDelivery::Asynchronous,
            _ => MdnDelivery::Synchronous,
        };
        Ok(Partner {
            name: entry.name,
            certificate,
            url: entry.url.unwrap_or_default(),
            destination: entry.dest,
            rate: entry.rate.unwrap_or(0.0),
            encrypt: entry.encrypt.unwrap_or(false),
            mdn_delivery,
            class: entry.class,
            tenant: entry.tenant,
            forward_to: entry.forward_to,
            mdn_url: entry.receipts_to,
        })
    }
}
