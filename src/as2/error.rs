//! Errors in the AS2 settings, and in signing or encrypting outgoing AS2 entities.
use crate::config_error::ConfigError;
use std::io;
use std::path::PathBuf;

/// Why the AS2 settings cannot be loaded, or an outgoing message or MDN cannot be created. `micaladder check` reports all
/// errors in the settings, each with its file and key.
#[derive(Debug, thiserror::Error)]
pub enum As2Error {
    /// The settings file is not JSON, or a key is missing or has the wrong type: correct the key that the error names.
    #[error(transparent)]
    Parse(ConfigError),
    /// A key or certificate file cannot be read: correct its name in the settings or its permissions.
    #[error("{}: {name}: {source}", settings.display())]
    Read {
        /// The AS2 settings file.
        settings: PathBuf,
        /// The file name in the settings.
        name: String,
        /// The operating system's error.
        source: io::Error,
    },
    /// A certificate file is not an X.509 certificate in PEM: replace the file.
    #[error("{}: {name}: {source}", settings.display())]
    Certificate {
        /// The AS2 settings file.
        settings: PathBuf,
        /// The file name in the settings.
        name: String,
        /// The parser's error.
        source: der::Error,
    },
    /// The local private key is not an RSA key in PKCS #8 PEM: replace the file.
    #[error("{}: {name}: {source}", settings.display())]
    PrivateKey {
        /// The AS2 settings file.
        settings: PathBuf,
        /// The file name in the settings.
        name: String,
        /// The parser's error.
        source: rsa::pkcs8::Error,
    },
    /// An entity cannot be signed or encrypted: check the local key and the partner's certificate.
    #[error("cannot sign or encrypt: {0}")]
    Cms(String),
    /// A partner's certificate contains no RSA key, so messages cannot be encrypted for the partner: request another
    /// certificate.
    #[error("the partner's certificate contains no RSA key; request another certificate")]
    NoRsaKey,
}

impl From<cms::builder::Error> for As2Error {
    fn from(error: cms::builder::Error) -> As2Error {
        As2Error::Cms(error.to_string())
    }
}
