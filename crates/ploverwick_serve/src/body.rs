//! Reads request bodies with a size limit and a timeout.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;

/// The reason why a body could not be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadError {
    /// The body exceeds the size limit.
    TooLarge,
    /// The body did not arrive within the timeout.
    Timeout,
    /// The client closed the connection.
    Disconnected,
}

/// Reads a whole body.
///
/// # Errors
/// Fails if the body exceeds `limit`, does not arrive within `timeout`, or ends early.
pub async fn read_body(
    body: Incoming,
    limit: usize,
    timeout: Duration,
) -> Result<Bytes, ReadError> {
    let whole = Limited::new(body, limit).collect();
    match tokio::time::timeout(timeout, whole).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(ReadError::TooLarge),
        Ok(Err(_)) => Err(ReadError::Disconnected),
        Err(_) => Err(ReadError::Timeout),
    }
}
