//! Reads bodies of HTTP messages in a bounded amount of memory.
//!
//! hyper returns a body in the pieces in which it was read, and each piece keeps the whole buffer that it was read into. A list of
//! pieces therefore takes a multiple of the body's size if the sender writes in small pieces. Both functions copy or drop each
//! piece before they read the next one.
#![warn(missing_docs)]
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

/// Why a body was not read to its end.
#[derive(Debug, thiserror::Error)]
pub enum BodyError {
    /// The body is longer than the limit.
    #[error("the body is longer than {0} bytes")]
    TooLong(usize),
    /// The connection broke, or the body is malformed.
    #[error(transparent)]
    Broken(#[from] hyper::Error),
}

/// Reads a body of at most `limit` bytes. Calls `on_piece` with the length of each piece.
///
/// # Errors
///
/// The body is longer, broken or malformed.
pub async fn read(mut body: Incoming, limit: usize, on_piece: impl Fn(usize)) -> Result<Bytes, BodyError> {
    let announced = body.size_hint().exact().unwrap_or(0);
    if announced > limit as u64 {
        return Err(BodyError::TooLong(limit));
    }
    let mut bytes = BytesMut::with_capacity(announced as usize);
    while let Some(frame) = body.frame().await {
        let Ok(piece) = frame?.into_data() else { continue };
        if bytes.len() + piece.len() > limit {
            return Err(BodyError::TooLong(limit));
        }
        bytes.extend_from_slice(&piece);
        on_piece(piece.len());
    }
    if bytes.len() == bytes.capacity() {
        return Ok(bytes.freeze());
    }
    // A body of unknown length was read into a buffer of up to twice its size.
    Ok(Bytes::copy_from_slice(&bytes))
}

/// Reads a body of at most `limit` bytes and drops it, so that its connection can carry another message.
///
/// # Errors
///
/// The body is longer, broken or malformed.
pub async fn discard(mut body: Incoming, limit: usize) -> Result<(), BodyError> {
    let mut length = 0;
    while let Some(frame) = body.frame().await {
        length += frame?.data_ref().map_or(0, Bytes::len);
        if length > limit {
            return Err(BodyError::TooLong(limit));
        }
    }
    Ok(())
}
