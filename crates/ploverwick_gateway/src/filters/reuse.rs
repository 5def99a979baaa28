//! Keeps connections to endpoints for later requests once their answers are complete.

use std::sync::Arc;
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::body::Incoming;
use ploverwick_platform::answer::Head;

use crate::pool::Connection;
use crate::shared::Shared;

/// The time for the rest of a refusal, so that its connection can be used again.
const DRAIN: Duration = Duration::from_millis(200);

/// Reads the rest of a refusal aside.
pub(super) fn drain(
    shared: &Arc<Shared>,
    endpoint: &Arc<str>,
    connection: Connection,
    head: Head,
    body: Incoming,
) {
    let shared = Arc::clone(shared);
    let endpoint = Arc::clone(endpoint);
    tokio::spawn(async move {
        if let Ok(Ok(_)) = tokio::time::timeout(DRAIN, body.collect()).await {
            keep(&shared, &endpoint, connection, &head);
        }
    });
}

/// Keeps a connection whose answer is complete.
pub(super) fn keep(shared: &Shared, endpoint: &Arc<str>, mut connection: Connection, head: &Head) {
    if head.closes {
        return;
    }
    connection.idle_timeout = head.keep_alive.or(connection.idle_timeout);
    shared.pool.keep(endpoint, connection);
}
