//! Reads request bodies within bounds.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;

/// Says why a body was not read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadError {
    /// It is larger than allowed.
    TooLarge,
    /// It did not arrive in time.
    Slow,
    /// The client went away.
    Broken,
}

/// Reads a whole body.
///
/// # Errors
/// Fails if the body is too large, too slow, or breaks off.
pub async fn read(body: Incoming, limit: usize, timeout: Duration) -> Result<Bytes, ReadError> {
    let whole = Limited::new(body, limit).collect();
    match tokio::time::timeout(timeout, whole).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(ReadError::TooLarge),
        Ok(Err(_)) => Err(ReadError::Broken),
        Err(_) => Err(ReadError::Slow),
    }
}
