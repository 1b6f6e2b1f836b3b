//! Mutual TLS between forwarders. Each has a certificate that is signed by the authority which a file names and that
//! carries the one DNS name which all forwarders share; rustls' standard verifiers check both sides. The files are read
//! again when they change, so a certificate is renewed without a restart; new files that cannot be used change nothing.
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

/// The DNS name in each forwarder's certificate. One name is enough: the authority signs for forwarders alone, and it
/// makes no difference which of them is at the other end.
pub const CERTIFICATE_NAME: &str = "micaladder-neighbour";

/// Paths of the PEM files.
#[derive(Clone, Debug)]
pub struct CredentialFiles {
    /// This forwarder's certificate, followed by the intermediate ones.
    pub certificate: PathBuf,
    /// Its private key.
    pub key: PathBuf,
    /// The authority's certificate, or several.
    pub authority: PathBuf,
}

/// TLS configurations for both directions.
#[derive(Clone)]
pub struct TlsConfigs {
    /// For accepted connections.
    pub server: Arc<ServerConfig>,
    /// For outgoing connections.
    pub client: Arc<ClientConfig>,
}

/// Modification time and length of each file; none for a file that cannot be read.
type FileStamps = [Option<(SystemTime, u64)>; 3];

struct LoadedConfigs {
    stamps: FileStamps,
    configs: TlsConfigs,
}

/// The TLS configurations in use, and the files that they come from.
pub struct Credentials {
    files: CredentialFiles,
    loaded: Mutex<LoadedConfigs>,
}

impl Credentials {
    /// Loads the files.
    ///
    /// # Errors
    ///
    /// A file that cannot be read or used, named.
    pub fn new(files: CredentialFiles) -> Result<Credentials, ConfigError> {
        let loaded = LoadedConfigs { stamps: files.stamps(), configs: files.load()? };
        Ok(Credentials { files, loaded: Mutex::new(loaded) })
    }

    /// The configurations for a new connection. Checks whether the files have changed, and reloads them if so.
    pub fn current(&self) -> TlsConfigs {
        let mut loaded = self.loaded.lock().unwrap_or_else(PoisonError::into_inner);
        let stamps = self.files.stamps();
        if stamps != loaded.stamps {
            // Also where loading fails: a file that is half written is read again once it has changed once more.
            loaded.stamps = stamps;
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
                log::error!("peer exchange: certificates not reloaded, the old ones stay: {error}");
            }
        }
    }
}

/// The name that a peer's certificate has to carry.
pub fn server_name() -> ServerName<'static> {
    ServerName::try_from(CERTIFICATE_NAME).expect("a constant that a test holds to be a DNS name")
}

impl CredentialFiles {
    /// The files that the command line names; none unless it names all of them.
    pub fn from_flags(flags: &flags::PeerIdentityFlags) -> Option<CredentialFiles> {
        Some(CredentialFiles {
            certificate: flags.certificate.clone()?,
            key: flags.key.clone()?,
            authority: flags.authority.clone()?,
        })
    }

    fn stamps(&self) -> FileStamps {
        [&self.certificate, &self.key, &self.authority].map(|path| stamp(path))
    }

    /// Reads the files and builds the TLS configurations.
    ///
    /// # Errors
    ///
    /// A file that cannot be read or used, named.
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
            return Err(error(&"holds no certificate"));
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

fn stamp(path: &Path) -> Option<(SystemTime, u64)> {
    let metadata = std::fs::metadata(path).ok()?;
    Some((metadata.modified().ok()?, metadata.len()))
}

fn file_error(path: &Path, what: &dyn Display) -> ConfigError {
    ConfigError { file: path.into(), key: String::new(), message: what.to_string() }
}

#[cfg(test)]
mod tests;
