//! The platform's front: converts HTTP requests into request contexts, and the exchange's answers into HTTP responses.
use super::connection::CONNECTION_OVERHEAD_BYTES;
use super::limiter::ConnectionShare;
use super::{ClientError, Limits};
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

/// Limits on the platform's requests. Clients send at full speed and wait 400 ms for their response. An incomplete request
/// gets an error within 3 s of the connect.
pub const LIMITS: Limits = Limits {
    head_timeout: Duration::from_millis(2200),
    body_timeout: Duration::from_millis(500),
    body_limit: MAX_BODY_BYTES,
    share: ConnectionShare {
        connection_bytes: (MAX_BODY_BYTES + CONNECTION_OVERHEAD_BYTES) as u64,
        limit_divisor: 1,
    },
};
/// Maximum size of a body, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024;

/// Maximum size of a header value, in bytes. No client of the platform uses longer names or keys.
const MAX_HEADER_VALUE_BYTES: usize = 256;

const SECONDS_PER_MILLISECOND: f64 = 1e-3;
const SECONDS_PER_MICROSECOND: f64 = 1e-6;

struct PlatformFront {
    deployment: Arc<DeploymentSettings>,
    exchange: Exchange,
}

/// Returns the routes of the platform's front.
pub fn routes(deployment: Arc<DeploymentSettings>, exchange: Exchange) -> Router {
    Router::new()
        .route("/ready", get(|| async { StatusCode::OK }))
        .route("/{class}", post(submit))
        .with_state(Arc::new(PlatformFront { deployment, exchange }))
}

/// Returns routes that reject every request, with this time as `Retry-After`.
pub fn rejecting_routes(retry_after: Option<Nanos>) -> Router {
    Router::new().fallback(move || async move { rejection(retry_after) })
}

async fn submit(
    State(front): State<Arc<PlatformFront>>, Path(class_in_path): Path<String>, headers: HeaderMap,
    body: Bytes,
) -> Response {
    match request_context(&front.deployment, &class_in_path, &headers, body) {
        Ok(context) => response(front.exchange.submit(context).await),
        Err(error) => error.into_response(),
    }
}

fn response(answer: Answer) -> Response {
    match answer {
        Answer::Accepted => StatusCode::ACCEPTED.into_response(),
        Answer::Delivered => StatusCode::OK.into_response(),
        Answer::Reject(retry_after) => rejection(retry_after),
        Answer::UnknownDestination => StatusCode::NOT_FOUND.into_response(),
        Answer::Failed => StatusCode::INTERNAL_SERVER_ERROR.into_response(),
    }
}

/// Returns the response to a rejected request: 503, and a `Retry-After` in seconds with three decimals if `retry_after` is
/// given. The request has had no effect, so the client may repeat it.
pub fn rejection(retry_after: Option<Nanos>) -> Response {
    let mut response = StatusCode::SERVICE_UNAVAILABLE.into_response();
    let Some(retry_after) = retry_after else { return response };
    if let Ok(value) = format!("{:.3}", retry_after.secs()).parse() {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}

/// Validates a request and converts it into a request context. Missing, malformed or unknown values are errors with a 4xx
/// response, so that the exchange receives only valid requests.
fn request_context(
    deployment: &DeploymentSettings, class_in_path: &str, headers: &HeaderMap, body: Bytes,
) -> Result<RequestContext, ClientError> {
    let header = |name: &str| header_text(headers, name);
    let name = header("x-request-id")?.ok_or(ClientError::MissingRequestId)?;
    let class_name = header("x-class")?.ok_or(ClientError::MissingClass)?;
    if class_name != class_in_path {
        return Err(ClientError::ClassMismatch);
    }
    let class = deployment.classes.iter().position(|c| c == class_name).ok_or(ClientError::UnknownClass)?;
    let tenant = tenant(deployment, header("x-tenant")?)?;
    let time_left = header("x-deadline")?.and_then(parse_duration).ok_or(ClientError::InvalidDeadline)?;
    if time_left == Nanos(0) {
        return Err(ClientError::DeadlinePassed);
    }
    let dest = header("x-envelope")?.and_then(destination).ok_or(ClientError::NoDestination)?;
    let rules = &deployment.module.classes[class];
    let ordering_key = header("x-key")?.filter(|_| rules.fifo_by_key).map(ordering_key);
    let idempotency_key = header("idempotency-key")?.unwrap_or_default();
    if idempotency_key.is_empty() && matches!(rules.effect, Effect::IdempotentByKey { .. }) {
        return Err(ClientError::MissingIdempotencyKey);
    }
    Ok(RequestContext {
        name: name.to_string(),
        origin: String::new(),
        class,
        tenant,
        ordering_key,
        dest,
        deadline: clock::now() + time_left.min(rules.deadline),
        idempotency_key: idempotency_key.to_string(),
        body,
        tags: Vec::new(),
    })
}

/// Returns the value of a header; `None` if it is absent.
fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, ClientError> {
    let Some(value) = headers.get(name) else { return Ok(None) };
    let value = value.to_str().map_err(|_| ClientError::HeaderNotText)?;
    if value.is_empty() || value.len() > MAX_HEADER_VALUE_BYTES {
        return Err(ClientError::HeaderLength);
    }
    Ok(Some(value))
}

/// Returns the index of the tenant that a request names. A deployment without tenants assigns all requests to tenant 0 and
/// ignores the name.
fn tenant(deployment: &DeploymentSettings, name: Option<&str>) -> Result<usize, ClientError> {
    if deployment.tenants.is_empty() {
        return Ok(0);
    }
    let name = name.ok_or(ClientError::MissingTenant)?;
    deployment.tenants.iter().position(|t| t == name).ok_or(ClientError::UnknownTenant)
}

/// Parses `480m` (milliseconds) or `480000u` (microseconds).
fn parse_duration(text: &str) -> Option<Nanos> {
    let (value, unit) = text.split_at_checked(text.len() - 1)?;
    let seconds_per_unit = match unit {
        "m" => SECONDS_PER_MILLISECOND,
        "u" => SECONDS_PER_MICROSECOND,
        _ => return None,
    };
    let seconds = value.parse::<f64>().ok()? * seconds_per_unit;
    if !seconds.is_finite() || seconds < 0.0 {
        return None;
    }
    Some(Nanos::from_secs(seconds))
}

/// Returns the first number after a `dest=` in an envelope, whose items are separated by commas, semicolons or spaces.
fn destination(envelope: &str) -> Option<u64> {
    let items = envelope.split([',', ';', ' ']);
    items.filter_map(|item| item.trim().strip_prefix("dest=")).find_map(|number| number.parse().ok())
}

/// Converts a client's ordering key to the number that the decision module uses. The same key has the same number after a
/// restart.
fn ordering_key(key: &str) -> u64 {
    if let Ok(number) = u64::from_str_radix(key, 16) {
        return number;
    }
    let mut hasher = DefaultHasher::new();
    key.hash(&mut hasher);
    hasher.finish()
}
