//! Errors in clients' requests, and the responses to them.
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};

/// Why a client's request is invalid. The error's text is the body of the response. The client must correct the request,
/// which has had no effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ClientError {
    /// A header value contains bytes other than visible ASCII.
    #[error("a header value contains bytes other than visible ASCII")]
    HeaderNotText,
    /// A header value is empty or longer than 256 bytes.
    #[error("a header value is empty or longer than 256 bytes")]
    HeaderLength,
    /// The request has no `X-Request-Id`.
    #[error("header X-Request-Id is missing")]
    MissingRequestId,
    /// The request has no `X-Class`.
    #[error("header X-Class is missing")]
    MissingClass,
    /// `X-Class` differs from the class in the path.
    #[error("header X-Class differs from the class in the path")]
    ClassMismatch,
    /// The class is not in the settings.
    #[error("header X-Class names a class that is not in the settings")]
    UnknownClass,
    /// The deployment has tenants, and the request has no `X-Tenant`.
    #[error("header X-Tenant is missing")]
    MissingTenant,
    /// The tenant is not in the settings.
    #[error("header X-Tenant names a tenant that is not in the settings")]
    UnknownTenant,
    /// The request has no `X-Deadline`, or its value is not a number of milliseconds (`480m`) or microseconds (`480000u`).
    #[error("header X-Deadline is missing or not a number of milliseconds (480m) or microseconds (480000u)")]
    InvalidDeadline,
    /// `X-Deadline` is zero.
    #[error("header X-Deadline leaves no time: the deadline has passed")]
    DeadlinePassed,
    /// The request has no `X-Envelope`, or its value contains no `dest=NUMBER`.
    #[error("header X-Envelope is missing or contains no dest=NUMBER")]
    NoDestination,
    /// The class requires an `Idempotency-Key`, and the request has none.
    #[error("header Idempotency-Key is missing; the class requires it")]
    MissingIdempotencyKey,
    /// An AS2 message has no `Message-ID`, or its `AS2-To` is not the local AS2 name.
    #[error("header Message-ID is missing, or AS2-To is not the AS2 name of this server")]
    InvalidMessageIdOrRecipient,
    /// `AS2-From` is not a partner in the AS2 settings.
    #[error("header AS2-From names no known trading partner")]
    UnknownPartner,
    /// `Receipt-Delivery-Option` is not the MDN URL that the AS2 settings have for the partner.
    #[error("header Receipt-Delivery-Option is not the MDN URL agreed with the partner")]
    UnknownMdnUrl,
    /// The body contains no message disposition notification (MDN).
    #[error("the body contains no message disposition notification (MDN)")]
    InvalidMdn,
}

impl ClientError {
    /// Returns the status of the response.
    pub fn status(self) -> StatusCode {
        match self {
            ClientError::UnknownClass => StatusCode::NOT_FOUND,
            ClientError::DeadlinePassed => StatusCode::GONE,
            ClientError::UnknownPartner => StatusCode::FORBIDDEN,
            ClientError::HeaderNotText
            | ClientError::HeaderLength
            | ClientError::MissingRequestId
            | ClientError::MissingClass
            | ClientError::ClassMismatch
            | ClientError::MissingTenant
            | ClientError::UnknownTenant
            | ClientError::InvalidDeadline
            | ClientError::NoDestination
            | ClientError::MissingIdempotencyKey
            | ClientError::InvalidMessageIdOrRecipient
            | ClientError::UnknownMdnUrl
            | ClientError::InvalidMdn => StatusCode::BAD_REQUEST,
        }
    }
}

impl IntoResponse for ClientError {
    fn into_response(self) -> Response {
        (self.status(), self.to_string()).into_response()
    }
}
