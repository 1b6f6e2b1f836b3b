//! The platform's front: its headers in, a request context out, and the answer back.
use super::Limits;
use crate::clock;
use crate::core::Answer;
use crate::exchange::Exchange;
use crate::request::RequestContext;
use crate::settings::DeploymentSettings;
use crate::{Effect, Nanos};
use axum::body::Bytes;
use axum::extract::{Path, State};
use axum::http::header::RETRY_AFTER;
use axum::http::{HeaderMap, StatusCode};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::Router;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;
use std::time::Duration;

/// Clients send at full speed and wait 400 ms for their answer; what cannot be read has its end within 3 s of
/// connecting.
pub const LIMITS: Limits = Limits {
    head_timeout: Duration::from_millis(2200),
    body_timeout: Duration::from_millis(500),
    body_limit: 64 * 1024,
};
/// Longer names and keys than any client of the platform uses.
const TEXT_LIMIT: usize = 256;

struct Front {
    site: Arc<DeploymentSettings>,
    exchange: Exchange,
}

/// The routes of this front.
pub fn routes(site: Arc<DeploymentSettings>, exchange: Exchange) -> Router {
    Router::new()
        .route("/ready", get(|| async { StatusCode::OK }))
        .route("/{class}", post(hand_in))
        .with_state(Arc::new(Front { site, exchange }))
}

async fn hand_in(
    State(front): State<Arc<Front>>, Path(path): Path<String>, headers: HeaderMap, body: Bytes,
) -> Response {
    match context(&front.site, &path, &headers, body) {
        Ok(context) => answer(front.exchange.submit(context).await),
        Err((status, why)) => (status, why).into_response(),
    }
}

fn answer(answer: Answer) -> Response {
    match answer {
        Answer::Accepted => StatusCode::ACCEPTED.into_response(),
        Answer::Delivered => StatusCode::OK.into_response(),
        Answer::Reject(after) => rejection(after),
        Answer::UnknownDestination => StatusCode::NOT_FOUND.into_response(),
        Answer::Failed => StatusCode::INTERNAL_SERVER_ERROR.into_response(),
    }
}

/// Refused; coming again is harmless.
pub fn rejection(after: Option<Nanos>) -> Response {
    let mut answer = StatusCode::SERVICE_UNAVAILABLE.into_response();
    if let Some(value) = after.and_then(|a| format!("{:.3}", a.secs()).parse().ok()) {
        answer.headers_mut().insert(RETRY_AFTER, value);
    }
    answer
}

type Fault = (StatusCode, &'static str);

fn bad(why: &'static str) -> Fault {
    (StatusCode::BAD_REQUEST, why)
}

/// Guards against bad input: whatever is missing, malformed or unknown is a plain 4xx.
fn context(
    site: &DeploymentSettings, path: &str, headers: &HeaderMap, body: Bytes,
) -> Result<RequestContext, Fault> {
    let text = |name: &str| -> Result<Option<&str>, Fault> {
        let Some(value) = headers.get(name) else { return Ok(None) };
        let value = value.to_str().map_err(|_| bad("a header is no plain text"))?;
        if value.is_empty() || value.len() > TEXT_LIMIT {
            return Err(bad("a header is empty or too long"));
        }
        Ok(Some(value))
    };
    let name = text("x-request-id")?.ok_or(bad("X-Request-Id is missing"))?;
    let class = text("x-class")?.ok_or(bad("X-Class is missing"))?;
    if class != path {
        return Err(bad("X-Class is not the class of the path"));
    }
    let class = site.classes.iter().position(|c| c == class);
    let class = class.ok_or((StatusCode::NOT_FOUND, "unknown class"))?;
    let tenant = tenant(site, text("x-tenant")?)?;
    let deadline = text("x-deadline")?.and_then(span).ok_or(bad("X-Deadline is missing or malformed"))?;
    if deadline == Nanos(0) {
        return Err((StatusCode::GONE, "the deadline has passed"));
    }
    let dest = text("x-envelope")?.and_then(dest).ok_or(bad("X-Envelope names no dest"))?;
    let rules = &site.module.classes[class];
    let ordering_key = text("x-key")?.filter(|_| rules.fifo_by_key).map(number);
    let idempotency_key = text("idempotency-key")?.unwrap_or_default();
    if idempotency_key.is_empty() && matches!(rules.effect, Effect::IdempotentByKey { .. }) {
        return Err(bad("Idempotency-Key is missing"));
    }
    Ok(RequestContext {
        name: name.to_string(),
        origin: String::new(),
        class,
        tenant,
        ordering_key,
        dest,
        deadline: clock::now() + deadline.min(rules.deadline),
        idempotency_key: idempotency_key.to_string(),
        body,
        tags: Vec::new(),
    })
}

/// The number of the tenant that a request names. A deployment without tenants has none to name: all its messages are
/// counted under number 0.
fn tenant(site: &DeploymentSettings, name: Option<&str>) -> Result<usize, Fault> {
    if site.tenants.is_empty() {
        return Ok(0);
    }
    let name = name.ok_or(bad("X-Tenant is missing"))?;
    site.tenants.iter().position(|t| t == name).ok_or(bad("unknown tenant"))
}

/// `480m` or `480000u`.
fn span(text: &str) -> Option<Nanos> {
    let (value, unit) = text.split_at_checked(text.len() - 1)?;
    let unit = match unit {
        "m" => 1e-3,
        "u" => 1e-6,
        _ => return None,
    };
    let secs = value.parse::<f64>().ok()? * unit;
    (secs.is_finite() && secs >= 0.0).then(|| Nanos::from_secs(secs))
}

fn dest(envelope: &str) -> Option<u64> {
    let parts = envelope.split([',', ';', ' ']);
    parts.filter_map(|p| p.trim().strip_prefix("dest=")).find_map(|d| d.parse().ok())
}

/// Keys are texts to clients and numbers to the module; the same text is the same number after a restart.
fn number(key: &str) -> u64 {
    u64::from_str_radix(key, 16).unwrap_or_else(|_| {
        let mut hasher = DefaultHasher::new();
        key.hash(&mut hasher);
        hasher.finish()
    })
}
