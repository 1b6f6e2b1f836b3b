//! The certificate of the AS2 listener: ordered from an authority (RFC 8555), renewed, and swapped in place.
use crate::as2::AcmeSettings;
use axum::extract::{Path, State};
use axum::http::StatusCode;
use axum::routing::get;
use axum::Router;
use hyper_rustls::HttpsConnectorBuilder;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use instant_acme::{
    Account, AuthorizationStatus, ChallengeType, Identifier, NewAccount, NewOrder, OrderStatus, RetryPolicy,
};
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::sync::{Arc, RwLock};
use std::time::Duration;
use tokio_rustls::rustls::crypto::ring::{default_provider, sign::any_supported_type};
use tokio_rustls::rustls::pki_types::pem::PemObject;
use tokio_rustls::rustls::pki_types::{CertificateDer, PrivateKeyDer};
use tokio_rustls::rustls::server::{ClientHello, ResolvesServerCert};
use tokio_rustls::rustls::sign::CertifiedKey;

type Fault = Box<dyn std::error::Error + Send + Sync>;

/// How long an authority may take to look at the proof, and to write the certificate.
const PATIENCE: Duration = Duration::from_secs(60);

/// Holds the certificate in use. Each new connection gets the one that is held at that moment.
#[derive(Debug, Default)]
pub struct CertificateStore(RwLock<Option<Arc<CertifiedKey>>>);

impl CertificateStore {
    fn swap(&self, pem: &str) -> Result<(), Fault> {
        let chain = CertificateDer::pem_slice_iter(pem.as_bytes()).collect::<Result<Vec<_>, _>>()?;
        if chain.is_empty() {
            return Err("no certificate came".into());
        }
        let key = any_supported_type(&PrivateKeyDer::from_pem_slice(pem.as_bytes())?)?;
        let certified = CertifiedKey::new(chain, key);
        // Guards against a certificate that is not for this key: it would end every handshake.
        certified.keys_match()?;
        if let Ok(mut held) = self.0.write() {
            *held = Some(Arc::new(certified));
        }
        Ok(())
    }
}

impl ResolvesServerCert for CertificateStore {
    fn resolve(&self, _: ClientHello<'_>) -> Option<Arc<CertifiedKey>> {
        self.0.read().ok()?.clone()
    }
}

type Proofs = Arc<RwLock<BTreeMap<String, String>>>;

/// Orders a certificate, and again each time that it is to be renewed. What fails leaves the old one in use.
pub async fn run(acme: AcmeSettings, folder: PathBuf, keeper: Arc<CertificateStore>) {
    // The last one outlives the process, so that a restart needs no authority.
    let kept = folder.join("certificate.pem");
    if let Some(Ok(())) = std::fs::read_to_string(&kept).ok().map(|pem| keeper.swap(&pem)) {
        log::info!("ACME: the certificate kept from before is in use");
    }
    let proofs = Proofs::default();
    let listener = match tokio::net::TcpListener::bind(&acme.challenge_listen).await {
        Ok(listener) => listener,
        Err(e) => return log::error!("ACME: no proof can be shown on {}: {e}", acme.challenge_listen),
    };
    let route =
        Router::new().route("/.well-known/acme-challenge/{token}", get(proof)).with_state(proofs.clone());
    tokio::spawn(async move { axum::serve(listener, route).await });
    loop {
        let pause = match order(&acme, &proofs).await.and_then(|pem| keeper.swap(&pem).map(|()| pem)) {
            Ok(pem) => {
                log::info!("ACME: a new certificate for {} is in use", acme.domain);
                if let Err(e) = std::fs::write(&kept, pem) {
                    log::warn!("ACME: the certificate is not kept: {e}");
                }
                acme.renew_s
            }
            Err(e) => {
                log::warn!("ACME: no new certificate, what is in use stays: {e}");
                acme.retry_s
            }
        };
        tokio::time::sleep(Duration::from_secs_f64(pause.max(0.1))).await;
    }
}

async fn proof(State(proofs): State<Proofs>, Path(token): Path<String>) -> Result<String, StatusCode> {
    proofs.read().ok().and_then(|p| p.get(&token).cloned()).ok_or(StatusCode::NOT_FOUND)
}

/// One order, from the account to the certificate and its key, as PEM.
async fn order(acme: &AcmeSettings, proofs: &Proofs) -> Result<String, Fault> {
    let connector = HttpsConnectorBuilder::new()
        .with_provider_and_webpki_roots(default_provider())?
        .https_or_http()
        .enable_http1()
        .build();
    let http = Box::new(Client::builder(TokioExecutor::new()).build(connector));
    let who = NewAccount { contact: &[], terms_of_service_agreed: true, only_return_existing: false };
    let (account, _) = Account::builder_with_http(http).create(&who, acme.directory.clone(), None).await?;
    let names = [Identifier::Dns(acme.domain.clone())];
    let mut order = account.new_order(&NewOrder::new(&names)).await?;
    let mut authorizations = order.authorizations();
    while let Some(authorization) = authorizations.next().await {
        let mut authorization = authorization?;
        if authorization.status == AuthorizationStatus::Valid {
            continue;
        }
        let mut challenge =
            authorization.challenge(ChallengeType::Http01).ok_or("the authority offers no HTTP-01")?;
        let (token, text) = (challenge.token.clone(), challenge.key_authorization().as_str().to_string());
        if let Ok(mut proofs) = proofs.write() {
            proofs.clear();
            proofs.insert(token, text);
        }
        challenge.set_ready().await?;
    }
    let patience = RetryPolicy::default().timeout(PATIENCE);
    match order.poll_ready(&patience).await? {
        OrderStatus::Ready => {}
        other => return Err(format!("the order is {other:?}").into()),
    }
    let key = order.finalize().await?;
    let chain = order.poll_certificate(&patience).await?;
    Ok(format!("{chain}\n{key}"))
}
