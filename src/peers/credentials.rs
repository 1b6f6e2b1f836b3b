//! Whom to believe: mutual TLS between forwarders. Each has a certificate of the authority that a file names, made out
//! to the one name that all forwarders share; the standard verifiers check both sides. The files are read again when
//! they change, so a certificate is renewed without a restart; new files that cannot be used change nothing.
use crate::config_error::ConfigError;
use crate::flags;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::SystemTime;
use tokio_rustls::rustls::crypto::ring::default_provider;
use tokio_rustls::rustls::pki_types::pem::PemObject;
use tokio_rustls::rustls::pki_types::{CertificateDer, PrivateKeyDer, ServerName};
use tokio_rustls::rustls::server::WebPkiClientVerifier;
use tokio_rustls::rustls::version::TLS13;
use tokio_rustls::rustls::{ClientConfig, RootCertStore, ServerConfig};

/// The DNS name that each forwarder's certificate carries. The authority is for forwarders alone, and which of them one
/// talks to makes no difference.
pub const CERTIFICATE_NAME: &str = "micaladder-neighbour";

/// Where the certificates lie (PEM).
#[derive(Clone, Debug)]
pub struct CredentialFiles {
    /// This forwarder's certificate, with those that lead to the authority behind it.
    pub certificate: PathBuf,
    /// Its key.
    pub key: PathBuf,
    /// The authority's certificate, or several.
    pub authority: PathBuf,
}

/// Both sides' settings.
#[derive(Clone)]
pub struct TlsConfigs {
    /// For those who come.
    pub server: Arc<ServerConfig>,
    /// For those to whom this one goes.
    pub client: Arc<ClientConfig>,
}

/// When a file was written, and how long it is.
type Stamp = Vec<Option<(SystemTime, u64)>>;

struct Held {
    stamp: Stamp,
    sides: TlsConfigs,
}

/// What is in use, and from where.
pub struct Credentials {
    files: CredentialFiles,
    held: Mutex<Held>,
}

impl Credentials {
    /// Reads the files.
    ///
    /// # Errors
    ///
    /// A file that cannot be read or used, named.
    pub fn new(files: CredentialFiles) -> Result<Credentials, ConfigError> {
        let held = Held { stamp: files.stamp(), sides: files.load()? };
        Ok(Credentials { files, held: Mutex::new(held) })
    }

    /// What is in use now. Asked for each connection: the files are looked at, and read where they changed.
    pub fn current(&self) -> TlsConfigs {
        let mut held = self.held.lock().unwrap_or_else(PoisonError::into_inner);
        let stamp = self.files.stamp();
        if stamp != held.stamp {
            // Also after a fault: a file that is half written is tried again when it has changed once more.
            held.stamp = stamp;
            match self.files.load() {
                Ok(sides) => {
                    log::info!("neighbours: new certificates are in use");
                    held.sides = sides;
                }
                Err(fault) => {
                    log::error!("neighbours: certificates not reloaded, the old ones stay: {fault}")
                }
            }
        }
        held.sides.clone()
    }
}

/// The name that is asked for.
pub fn server_name() -> ServerName<'static> {
    // A constant that is a name: the test below holds it to that.
    ServerName::try_from(CERTIFICATE_NAME)
        .unwrap_or(ServerName::IpAddress(std::net::Ipv4Addr::UNSPECIFIED.into()))
}

impl CredentialFiles {
    /// Those that the command line names, where it names all.
    pub fn from_flags(flags: &flags::PeerIdentityFlags) -> Option<CredentialFiles> {
        let (certificate, key, authority) =
            (flags.certificate.clone()?, flags.key.clone()?, flags.authority.clone()?);
        Some(CredentialFiles { certificate, key, authority })
    }

    fn stamp(&self) -> Stamp {
        let of = |path: &Path| std::fs::metadata(path).ok().and_then(|m| Some((m.modified().ok()?, m.len())));
        [&self.certificate, &self.key, &self.authority].into_iter().map(|path| of(path)).collect()
    }

    /// Both sides' settings.
    ///
    /// # Errors
    ///
    /// A file that cannot be read or used, named.
    pub fn load(&self) -> Result<TlsConfigs, ConfigError> {
        let said = |path: &Path, e: &dyn std::fmt::Display| ConfigError {
            file: path.into(),
            key: String::new(),
            message: e.to_string(),
        };
        let chain = CertificateDer::pem_file_iter(&self.certificate).and_then(Iterator::collect);
        let chain: Vec<CertificateDer<'static>> = chain.map_err(|e| said(&self.certificate, &e))?;
        let key = PrivateKeyDer::from_pem_file(&self.key).map_err(|e| said(&self.key, &e))?;
        let mut roots = RootCertStore::empty();
        let read = CertificateDer::pem_file_iter(&self.authority).map_err(|e| said(&self.authority, &e))?;
        for certificate in read {
            let certificate = certificate.map_err(|e| said(&self.authority, &e))?;
            roots.add(certificate).map_err(|e| said(&self.authority, &e))?;
        }
        if roots.is_empty() {
            return Err(said(&self.authority, &"holds no certificate"));
        }
        let (roots, provider) = (Arc::new(roots), Arc::new(default_provider()));
        let own = |e: tokio_rustls::rustls::Error| said(&self.certificate, &e);
        let verifier = WebPkiClientVerifier::builder_with_provider(roots.clone(), provider.clone());
        let verifier = verifier.build().map_err(|e| said(&self.authority, &e))?;
        let server = ServerConfig::builder_with_provider(provider.clone()).with_protocol_versions(&[&TLS13]);
        let server = server.map_err(own)?.with_client_cert_verifier(verifier);
        let server = server.with_single_cert(chain.clone(), key.clone_key()).map_err(own)?;
        let client = ClientConfig::builder_with_provider(provider).with_protocol_versions(&[&TLS13]);
        let client = client.map_err(own)?.with_root_certificates(roots);
        let client = client.with_client_auth_cert(chain, key).map_err(own)?;
        Ok(TlsConfigs { server: Arc::new(server), client: Arc::new(client) })
    }
}

#[cfg(test)]
mod tests;
