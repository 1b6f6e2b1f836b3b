//! Message disposition notifications (MDNs) for partners' messages: sent in the response to the message or in a separate
//! HTTP request (RFC 4130, section 7.2).
use super::As2Front;
use crate::as2::mdn::{self, Mdn};
use crate::as2::smime::{Entity, SmimeError};
use crate::as2::{As2Error, As2Settings, MdnDelivery, Partner};
use crate::core::Callback;
use crate::exchange::Exchange;
use crate::journal::Completion;
use axum::body::Bytes;
use axum::http::header::CONTENT_TYPE;
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use http_body_util::Full;
use hyper::Request;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use miniserde::{json, Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::{sleep, timeout};

/// Maximum number of attempts to send an MDN: a minute of retries, and longer if the partner responds slowly.
const MAX_ATTEMPTS: u32 = 60;
/// Pause between two attempts to send an MDN.
const ATTEMPT_PAUSE: Duration = Duration::from_secs(1);
/// Timeout of an attempt to send an MDN.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum size of the head of a partner's response, in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;

type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// Why no asynchronous MDN is sent for a message. The operator must inform the partner by other means.
#[derive(Debug, thiserror::Error)]
enum MdnError {
    /// The journal's record of the message is damaged: keep the journal and report the fault.
    #[error(
        "the journal's record of the message has an invalid origin; keep the journal and report the fault"
    )]
    InvalidOrigin,
    /// The partner was removed from the AS2 settings after the message was received.
    #[error("the sender is no longer a partner in the AS2 settings")]
    UnknownPartner,
    /// `receipts_to` was removed from the partner's settings after the message was received.
    #[error("the sender no longer has a receipts_to URL in the AS2 settings")]
    NoMdnUrl,
    /// The MDN cannot be signed: check the local private key.
    #[error(transparent)]
    Compose(#[from] As2Error),
}

/// The data that is stored with a message whose MDN is sent once the message is complete. It is stored in the journal, so
/// the names of its fields must not change.
#[derive(Serialize, Deserialize)]
pub(super) struct Origin {
    /// The sender's AS2 name.
    pub(super) partner: String,
    /// The message's `Message-ID`.
    pub(super) message: String,
    /// The message integrity check.
    pub(super) mic: String,
    /// Whether a signed MDN was requested.
    pub(super) signed: bool,
}

/// The MDN that a message requests.
pub(super) struct MdnRequest<'a> {
    /// The message's sender.
    pub(super) partner: &'a Partner,
    /// The message's `Message-ID`.
    pub(super) message_id: &'a str,
    /// Whether an MDN is requested at all.
    pub(super) requested: bool,
    /// Whether the MDN must be signed.
    pub(super) signed: bool,
    /// Whether the MDN is sent in the response or in a separate request.
    pub(super) delivery: MdnDelivery,
}

impl MdnRequest<'_> {
    pub(super) fn is_asynchronous(&self) -> bool {
        self.delivery == MdnDelivery::Asynchronous
    }
}

/// The outcome of a message that its MDN reports.
#[derive(Clone, Copy)]
pub(super) enum MdnOutcome {
    Processed,
    /// The signature or the encryption of the message is not valid.
    Rejected(SmimeError),
    /// The message could not be delivered.
    Failed,
}

impl MdnOutcome {
    /// Returns the disposition type with its modifier (RFC 4130, section 7.4.3).
    fn disposition(self) -> String {
        match self {
            MdnOutcome::Processed => "processed".to_string(),
            MdnOutcome::Rejected(error) => format!("processed/error: {}", error.disposition_modifier()),
            MdnOutcome::Failed => "processed/error: unexpected-processing-error".to_string(),
        }
    }

    /// Returns the status of the response to a message that requests no MDN.
    fn status(self) -> StatusCode {
        match self {
            MdnOutcome::Processed => StatusCode::OK,
            MdnOutcome::Rejected(_) | MdnOutcome::Failed => StatusCode::BAD_REQUEST,
        }
    }
}

impl As2Front {
    /// Returns the response to a message. The response contains a synchronous MDN; a separate task sends an asynchronous one.
    pub(super) fn mdn_response(
        &self, request: &MdnRequest, outcome: MdnOutcome, mic: Option<String>,
    ) -> Response {
        if !request.requested {
            return outcome.status().into_response();
        }
        let message_id = request.message_id;
        let entity = match compose(&self.settings, message_id, outcome, mic, request.signed) {
            Ok(entity) => entity,
            Err(error) => {
                log::error!("AS2: cannot compose the MDN for {message_id}: {error}");
                return StatusCode::INTERNAL_SERVER_ERROR.into_response();
            }
        };
        if !request.is_asynchronous() {
            return ([(CONTENT_TYPE, entity.content_type)], entity.body).into_response();
        }
        let Some(url) = request.partner.mdn_url.clone() else { return StatusCode::OK.into_response() };
        let Ok(permit) = self.undelivered_mdns.clone().try_acquire_owned() else {
            log::warn!("AS2: message {message_id} refused: too many MDNs wait for their partners");
            return StatusCode::SERVICE_UNAVAILABLE.into_response();
        };
        let (message_id, settings) = (message_id.to_string(), self.settings.clone());
        tokio::spawn(async move {
            deliver(&http_client(), &settings, &url, &message_id, entity).await;
            drop(permit);
        });
        StatusCode::OK.into_response()
    }
}

/// Sends the asynchronous MDNs of complete messages until the channel closes. Notifies the exchange once an MDN needs no
/// further attempt.
pub async fn send_mdns(
    settings: Arc<As2Settings>, exchange: Exchange, mut callbacks: UnboundedReceiver<Callback>,
) {
    let client = http_client();
    while let Some(callback) = callbacks.recv().await {
        let (settings, exchange, client) = (settings.clone(), exchange.clone(), client.clone());
        // A separate task for each MDN, so that an unreachable partner does not delay the MDNs for other partners.
        tokio::spawn(async move {
            if let Err(error) = send_mdn(&client, &settings, &callback).await {
                log::error!("AS2: cannot send the MDN for {}: {error}", callback.name);
            }
            exchange.callback_acknowledged(callback.id);
        });
    }
}

async fn send_mdn(client: &HttpClient, settings: &As2Settings, callback: &Callback) -> Result<(), MdnError> {
    let origin: Origin = json::from_str(&callback.origin).map_err(|_| MdnError::InvalidOrigin)?;
    let partner = settings.partner(&origin.partner).ok_or(MdnError::UnknownPartner)?;
    let url = partner.mdn_url.as_deref().ok_or(MdnError::NoMdnUrl)?;
    let outcome = match callback.completion {
        Completion::Delivered => MdnOutcome::Processed,
        _ => MdnOutcome::Failed,
    };
    let entity = compose(settings, &origin.message, outcome, Some(origin.mic), origin.signed)?;
    deliver(client, settings, url, &origin.message, entity).await;
    Ok(())
}

fn compose(
    settings: &As2Settings, message_id: &str, outcome: MdnOutcome, mic: Option<String>, signed: bool,
) -> Result<Entity, As2Error> {
    let mdn = Mdn {
        original_message_id: message_id.to_string(),
        disposition: outcome.disposition(),
        received_content_mic: mic,
    };
    let signer = signed.then_some(&settings.identity);
    mdn::compose(&mdn, &settings.name, signer)
}

fn http_client() -> HttpClient {
    Client::builder(TokioExecutor::new()).http1_max_buf_size(MAX_HEAD_BYTES).build_http()
}

/// Sends an MDN until the partner accepts it or [`MAX_ATTEMPTS`] attempts have failed.
async fn deliver(client: &HttpClient, settings: &As2Settings, url: &str, message_id: &str, entity: Entity) {
    let body: Bytes = entity.body.into();
    for _ in 0..MAX_ATTEMPTS {
        let request = Request::post(url)
            .header("as2-version", "1.2")
            .header("as2-from", &settings.name)
            .header("mime-version", "1.0")
            .header(CONTENT_TYPE, &entity.content_type)
            .body(Full::new(body.clone()));
        let Ok(request) = request else {
            return log::error!("AS2: cannot send the MDN for {message_id}: invalid URL or header for {url}");
        };
        match timeout(ATTEMPT_TIMEOUT, client.request(request)).await {
            Ok(Ok(response)) if response.status().is_success() => return,
            Ok(Ok(response)) => {
                log::warn!("AS2: MDN for {message_id} rejected by {url}: {}", response.status());
            }
            Ok(Err(error)) => log::warn!("AS2: cannot send the MDN for {message_id} to {url}: {error}"),
            Err(_) => log::warn!("AS2: MDN for {message_id} to {url} timed out"),
        }
        sleep(ATTEMPT_PAUSE).await;
    }
    log::error!("AS2: MDN for {message_id} not sent: {url} accepted none of {MAX_ATTEMPTS} attempts");
}
