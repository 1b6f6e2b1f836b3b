//! Orders the AS2 listener's TLS certificate from an ACME authority (RFC 8555), renews it, and replaces it while the
//! listener runs.
#![warn(missing_docs)]
use crate::as2::AcmeSettings;
use axum::extract::{Path, State};
use axum::http::StatusCode;
use axum::routing::get;
use axum::Router;
use hyper_rustls::HttpsConnectorBuilder;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use instant_acme::{
    Account, AuthorizationStatus, ChallengeType, Identifier, NewAccount, NewOrder, Order, OrderStatus,
    RetryPolicy,
};
use std::collections::BTreeMap;
use std::path::{Path as FilePath, PathBuf};
use std::sync::{Arc, RwLock};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio_rustls::rustls;
use tokio_rustls::rustls::crypto::ring::{default_provider, sign::any_supported_type};
use tokio_rustls::rustls::pki_types::pem::{self, PemObject};
use tokio_rustls::rustls::pki_types::{CertificateDer, PrivateKeyDer};
use tokio_rustls::rustls::server::{ClientHello, ResolvesServerCert};
use tokio_rustls::rustls::sign::CertifiedKey;

/// File in the state folder that holds the latest certificate and its key (PEM).
const CERTIFICATE_FILE: &str = "certificate.pem";

/// Time limit for the authority to validate the challenge, and again to issue the certificate.
const POLL_TIMEOUT: Duration = Duration::from_secs(60);

/// Minimum delay between two orders, which protects the authority if the settings contain a delay of 0.
const MIN_ORDER_DELAY: Duration = Duration::from_millis(100);

/// An error that prevents a certificate from being ordered or used. The current certificate stays in use, and the order is
/// repeated after `acme.retry_s`.
#[derive(Debug, thiserror::Error)]
pub enum AcmeError {
    /// The authority cannot be reached or has rejected a request: check `acme.directory` and `acme.domain`.
    #[error(transparent)]
    Protocol(#[from] instant_acme::Error),
    /// The private key cannot be used or does not belong to the certificate: if the error recurs, contact the authority's
    /// operator.
    #[error(transparent)]
    Tls(#[from] rustls::Error),
    /// The certificate or its key is not valid PEM: if the error recurs, contact the authority's operator.
    #[error(transparent)]
    Pem(#[from] pem::Error),
    /// The PEM text contains no certificate: if the error recurs, contact the authority's operator.
    #[error("the PEM text contains no certificate")]
    NoCertificate,
    /// The authority does not offer HTTP-01 validation (RFC 8555, section 8.3): choose another one in `acme.directory`.
    #[error("the authority does not offer the HTTP-01 challenge; choose another one in acme.directory")]
    NoHttp01Challenge,
    /// The authority did not validate the domain: check that it can reach `acme.challenge_listen` on port 80 of the
    /// domain.
    #[error(
        "the order's status is {0:?} instead of Ready; check that port 80 of the domain leads to acme.challenge_listen"
    )]
    OrderNotReady(OrderStatus),
}

/// The certificate in use. Each TLS handshake uses the certificate that is stored at that moment.
#[derive(Debug, Default)]
pub struct CertificateStore(RwLock<Option<Arc<CertifiedKey>>>);

impl CertificateStore {
    /// Replaces the certificate with the chain and the private key in `pem`.
    fn replace(&self, pem: &str) -> Result<(), AcmeError> {
        let chain = CertificateDer::pem_slice_iter(pem.as_bytes()).collect::<Result<Vec<_>, _>>()?;
        if chain.is_empty() {
            return Err(AcmeError::NoCertificate);
        }
        let key = any_supported_type(&PrivateKeyDer::from_pem_slice(pem.as_bytes())?)?;
        let certified = CertifiedKey::new(chain, key);
        // With a key that does not belong to the certificate, every handshake would fail.
        certified.keys_match()?;
        if let Ok(mut current) = self.0.write() {
            *current = Some(Arc::new(certified));
        }
        Ok(())
    }
}

impl ResolvesServerCert for CertificateStore {
    fn resolve(&self, _: ClientHello<'_>) -> Option<Arc<CertifiedKey>> {
        self.0.read().ok()?.clone()
    }
}

/// Key authorizations of the pending challenges by token (RFC 8555, section 8.1).
type Challenges = Arc<RwLock<BTreeMap<String, String>>>;

/// Orders a certificate and renews it until the process ends. The latest certificate is saved in `state_dir`, so that a
/// restart does not depend on the authority. If an order fails, the current certificate stays in use.
pub async fn run(settings: AcmeSettings, state_dir: PathBuf, store: Arc<CertificateStore>) {
    let saved = state_dir.join(CERTIFICATE_FILE);
    if load_saved(&saved, &store) {
        log::info!("ACME: the saved certificate is in use");
    }
    let challenges = Challenges::default();
    if let Err(error) = serve_challenges(&settings.challenge_listen, challenges.clone()).await {
        let address = &settings.challenge_listen;
        return log::error!("ACME: cannot listen for challenges on {address}: {error}");
    }
    loop {
        let delay_secs = match renew(&settings, &challenges, &store).await {
            Ok(pem) => {
                log::info!("ACME: a new certificate for {} is in use", settings.domain);
                if let Err(error) = std::fs::write(&saved, pem) {
                    log::warn!("ACME: cannot save the certificate to {}: {error}", saved.display());
                }
                settings.renew_s
            }
            Err(error) => {
                log::warn!("ACME: certificate renewal failed, the current one stays in use: {error}");
                settings.retry_s
            }
        };
        tokio::time::sleep(Duration::from_secs_f64(delay_secs.max(MIN_ORDER_DELAY.as_secs_f64()))).await;
    }
}

/// Loads the saved certificate into `store`. Returns `false` if there is no usable certificate.
fn load_saved(path: &FilePath, store: &CertificateStore) -> bool {
    let Ok(pem) = std::fs::read_to_string(path) else { return false };
    store.replace(&pem).is_ok()
}

/// Listens for the authority's validation requests (RFC 8555, section 8.3) and serves them in a separate task.
async fn serve_challenges(address: &str, challenges: Challenges) -> std::io::Result<()> {
    let listener = TcpListener::bind(address).await?;
    let routes = Router::new()
        .route("/.well-known/acme-challenge/{token}", get(key_authorization))
        .with_state(challenges);
    tokio::spawn(async move { axum::serve(listener, routes).await });
    Ok(())
}

async fn key_authorization(
    State(challenges): State<Challenges>, Path(token): Path<String>,
) -> Result<String, StatusCode> {
    let challenges = challenges.read().map_err(|_| StatusCode::NOT_FOUND)?;
    challenges.get(&token).cloned().ok_or(StatusCode::NOT_FOUND)
}

/// Orders a certificate and stores it in `store`. Returns its chain and its private key as PEM.
async fn renew(
    settings: &AcmeSettings, challenges: &Challenges, store: &CertificateStore,
) -> Result<String, AcmeError> {
    let pem = order_certificate(settings, challenges).await?;
    store.replace(&pem)?;
    Ok(pem)
}

/// Completes one order (RFC 8555, section 7.4). Returns the certificate chain and its private key as PEM.
async fn order_certificate(settings: &AcmeSettings, challenges: &Challenges) -> Result<String, AcmeError> {
    let account = create_account(&settings.directory).await?;
    let names = [Identifier::Dns(settings.domain.clone())];
    let mut order = account.new_order(&NewOrder::new(&names)).await?;
    accept_challenges(&mut order, challenges).await?;
    let poll = RetryPolicy::default().timeout(POLL_TIMEOUT);
    match order.poll_ready(&poll).await? {
        OrderStatus::Ready => {}
        other => return Err(AcmeError::OrderNotReady(other)),
    }
    let key = order.finalize().await?;
    let chain = order.poll_certificate(&poll).await?;
    Ok(format!("{chain}\n{key}"))
}

/// Creates an account for one order (RFC 8555, section 7.3).
async fn create_account(directory: &str) -> Result<Account, AcmeError> {
    let connector = HttpsConnectorBuilder::new()
        .with_provider_and_webpki_roots(default_provider())?
        .https_or_http()
        .enable_http1()
        .build();
    let http = Box::new(Client::builder(TokioExecutor::new()).build(connector));
    let new_account = NewAccount { contact: &[], terms_of_service_agreed: true, only_return_existing: false };
    let builder = Account::builder_with_http(http);
    let (account, _credentials) = builder.create(&new_account, directory.to_string(), None).await?;
    Ok(account)
}

/// Publishes the key authorization of each pending challenge and requests its validation (RFC 8555, section 7.5.1).
async fn accept_challenges(order: &mut Order, challenges: &Challenges) -> Result<(), AcmeError> {
    let mut authorizations = order.authorizations();
    while let Some(authorization) = authorizations.next().await {
        let mut authorization = authorization?;
        if authorization.status == AuthorizationStatus::Valid {
            continue;
        }
        let challenge = authorization.challenge(ChallengeType::Http01);
        let mut challenge = challenge.ok_or(AcmeError::NoHttp01Challenge)?;
        let key_authorization = challenge.key_authorization().as_str().to_string();
        if let Ok(mut challenges) = challenges.write() {
            // An order has one domain, so tokens of earlier challenges are no longer requested.
            challenges.clear();
            challenges.insert(challenge.token.clone(), key_authorization);
        }
        challenge.set_ready().await?;
    }
    Ok(())
}
