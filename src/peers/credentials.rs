//! Certificates and TLS configurations for mutual TLS between forwarders. Each forwarder has a certificate that the
//! configured authority signed and that contains the DNS name shared by all forwarders. The standard verifiers of rustls
//! check both sides. Changed files are reloaded, so a certificate is renewed without a restart; if the new files are
//! invalid, the loaded configurations stay in use.
use crate::config_error::ConfigError;
use crate::flags;
use std::fmt::Display;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::SystemTime;
use tokio_rustls::rustls;
use tokio_rustls::rustls::crypto::ring::default_provider;
use tokio_rustls::rustls::pki_types::pem::PemObject;
use tokio_rustls::rustls::pki_types::{CertificateDer, PrivateKeyDer, ServerName};
use tokio_rustls::rustls::server::WebPkiClientVerifier;
use tokio_rustls::rustls::version::TLS13;
use tokio_rustls::rustls::{ClientConfig, RootCertStore, ServerConfig};

/// DNS name in each forwarder's certificate. All forwarders share one name, because the authority signs only for
/// forwarders and a session does not depend on which of them the peer is.
pub const CERTIFICATE_NAME: &str = "micaladder-neighbour";

/// Paths of the PEM files.
#[derive(Clone, Debug)]
pub struct CredentialFiles {
    /// This forwarder's certificate, followed by the intermediate certificates.
    pub certificate: PathBuf,
    /// Private key of this forwarder's certificate.
    pub key: PathBuf,
    /// One or more certificates of trusted authorities.
    pub authority: PathBuf,
}

/// TLS configurations for accepted and outgoing connections.
#[derive(Clone)]
pub struct TlsConfigs {
    /// Configuration for accepted connections.
    pub server: Arc<ServerConfig>,
    /// Configuration for outgoing connections.
    pub client: Arc<ClientConfig>,
}

/// Modification time and length of each file, by which a change is detected; `None` for a file that cannot be read.
type FileVersions = [Option<(SystemTime, u64)>; 3];

struct LoadedConfigs {
    versions: FileVersions,
    configs: TlsConfigs,
}

/// The TLS configurations in use and the files from which they were loaded.
pub struct Credentials {
    files: CredentialFiles,
    loaded: Mutex<LoadedConfigs>,
}

impl Credentials {
    /// Loads the files.
    ///
    /// # Errors
    ///
    /// Returns an error that names the first file that cannot be read or is invalid.
    pub fn new(files: CredentialFiles) -> Result<Credentials, ConfigError> {
        let loaded = LoadedConfigs { versions: files.versions(), configs: files.load()? };
        Ok(Credentials { files, loaded: Mutex::new(loaded) })
    }

    /// Returns the configurations for a new connection. Reloads the files first if they have changed.
    pub fn current(&self) -> TlsConfigs {
        let mut loaded = self.loaded.lock().unwrap_or_else(PoisonError::into_inner);
        let versions = self.files.versions();
        if versions != loaded.versions {
            // Stored even if the reload fails: a partially written file is loaded after its next change.
            loaded.versions = versions;
            self.reload(&mut loaded.configs);
        }
        loaded.configs.clone()
    }

    fn reload(&self, configs: &mut TlsConfigs) {
        match self.files.load() {
            Ok(new) => {
                log::info!("peer exchange: new certificates are in use");
                *configs = new;
            }
            Err(error) => {
                log::error!(
                    "peer exchange: cannot reload the certificates, the previous ones stay in use: {error}"
                );
            }
        }
    }
}

/// Returns the DNS name that a peer's certificate must contain.
pub fn server_name() -> ServerName<'static> {
    ServerName::try_from(CERTIFICATE_NAME).expect("CERTIFICATE_NAME is a valid DNS name")
}

impl CredentialFiles {
    /// Returns the files of the command line or the environment; `None` unless all three are set.
    pub fn from_flags(flags: &flags::PeerIdentityFlags) -> Option<CredentialFiles> {
        Some(CredentialFiles {
            certificate: flags.certificate.clone()?,
            key: flags.key.clone()?,
            authority: flags.authority.clone()?,
        })
    }

    fn versions(&self) -> FileVersions {
        [&self.certificate, &self.key, &self.authority].map(|path| file_version(path))
    }

    /// Reads the files and builds the TLS configurations.
    ///
    /// # Errors
    ///
    /// Returns an error that names the first file that cannot be read or is invalid.
    pub fn load(&self) -> Result<TlsConfigs, ConfigError> {
        let chain = self.read_chain()?;
        let key = PrivateKeyDer::from_pem_file(&self.key).map_err(|e| file_error(&self.key, &e))?;
        let roots = Arc::new(self.read_roots()?);
        let server = self.server_config(roots.clone(), chain.clone(), key.clone_key())?;
        let client = self.client_config(roots, chain, key)?;
        Ok(TlsConfigs { server: Arc::new(server), client: Arc::new(client) })
    }

    fn read_chain(&self) -> Result<Vec<CertificateDer<'static>>, ConfigError> {
        CertificateDer::pem_file_iter(&self.certificate)
            .and_then(Iterator::collect)
            .map_err(|e| file_error(&self.certificate, &e))
    }

    fn read_roots(&self) -> Result<RootCertStore, ConfigError> {
        let error = |e: &dyn Display| file_error(&self.authority, e);
        let mut roots = RootCertStore::empty();
        for certificate in CertificateDer::pem_file_iter(&self.authority).map_err(|e| error(&e))? {
            let certificate = certificate.map_err(|e| error(&e))?;
            roots.add(certificate).map_err(|e| error(&e))?;
        }
        if roots.is_empty() {
            return Err(error(&"file contains no certificate"));
        }
        Ok(roots)
    }

    fn server_config(
        &self, roots: Arc<RootCertStore>, chain: Vec<CertificateDer<'static>>, key: PrivateKeyDer<'static>,
    ) -> Result<ServerConfig, ConfigError> {
        let certificate_error = |e: rustls::Error| file_error(&self.certificate, &e);
        let provider = Arc::new(default_provider());
        let client_verifier = WebPkiClientVerifier::builder_with_provider(roots, provider.clone())
            .build()
            .map_err(|e| file_error(&self.authority, &e))?;
        ServerConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&TLS13])
            .map_err(certificate_error)?
            .with_client_cert_verifier(client_verifier)
            .with_single_cert(chain, key)
            .map_err(certificate_error)
    }

    fn client_config(
        &self, roots: Arc<RootCertStore>, chain: Vec<CertificateDer<'static>>, key: PrivateKeyDer<'static>,
    ) -> Result<ClientConfig, ConfigError> {
        let certificate_error = |e: rustls::Error| file_error(&self.certificate, &e);
        ClientConfig::builder_with_provider(Arc::new(default_provider()))
            .with_protocol_versions(&[&TLS13])
            .map_err(certificate_error)?
            .with_root_certificates(roots)
            .with_client_auth_cert(chain, key)
            .map_err(certificate_error)
    }
}

fn file_version(path: &Path) -> Option<(SystemTime, u64)> {
    let metadata = std::fs::metadata(path).ok()?;
    Some((metadata.modified().ok()?, metadata.len()))
}

fn file_error(path: &Path, reason: &dyn Display) -> ConfigError {
    ConfigError { file: path.into(), key: String::new(), message: reason.to_string() }
}

#[cfg(test)]
mod tests;
