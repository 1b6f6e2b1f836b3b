//! Errors in clients' requests, and the responses that they get.
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};

/// Why a client's request cannot be accepted. The text is the response's body; the client has to correct the request. None
/// of these requests has taken effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ClientError {
    /// A header's value has bytes that are not visible ASCII.
    #[error("a header is no plain text")]
    HeaderNotText,
    /// A header's value is empty or longer than 256 bytes.
    #[error("a header is empty or too long")]
    HeaderLength,
    /// There is no `X-Request-Id`.
    #[error("X-Request-Id is missing")]
    MissingRequestId,
    /// There is no `X-Class`.
    #[error("X-Class is missing")]
    MissingClass,
    /// `X-Class` differs from the path.
    #[error("X-Class is not the class of the path")]
    ClassMismatch,
    /// The class is not in the settings.
    #[error("unknown class")]
    UnknownClass,
    /// There is no `X-Tenant` in a deployment with tenants.
    #[error("X-Tenant is missing")]
    MissingTenant,
    /// The tenant is not in the settings.
    #[error("unknown tenant")]
    UnknownTenant,
    /// There is no `X-Deadline`, or it is not a number of milliseconds (`480m`) or microseconds (`480000u`).
    #[error("X-Deadline is missing or malformed")]
    InvalidDeadline,
    /// No time is left.
    #[error("the deadline has passed")]
    DeadlinePassed,
    /// `X-Envelope` has no `dest=NUMBER`.
    #[error("X-Envelope names no dest")]
    NoDestination,
    /// The class requires an `Idempotency-Key`.
    #[error("Idempotency-Key is missing")]
    MissingIdempotencyKey,
    /// An AS2 message has no `Message-ID`, or its `AS2-To` is not our name.
    #[error("Message-ID is missing or AS2-To is not us")]
    NotAddressedToUs,
    /// `AS2-From` is not a partner in the AS2 settings.
    #[error("no such partner")]
    UnknownPartner,
    /// `Receipt-Delivery-Option` is not the URL in the AS2 settings.
    #[error("receipts go to no such place")]
    UnknownMdnUrl,
    /// The body has no message disposition notification.
    #[error("not a receipt")]
    InvalidMdn,
}

impl ClientError {
    /// The status of the response.
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
            | ClientError::NotAddressedToUs
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
