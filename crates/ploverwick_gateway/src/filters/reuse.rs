//! Returns connections to endpoints to the pool once their answers are complete.

use std::sync::Arc;
use std::time::Duration;

use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use ploverwick_platform::answer::Head;

use crate::pool::Connection;
use crate::shared::Shared;

/// The time within which the rest of a refusal must arrive for its connection to be reused.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(200);
/// The size of the rest of a refusal, in bytes, up to which its connection is reused.
const MAX_DRAINED_BYTES: usize = 16 * 1_024;

/// Reads the rest of a refusal in the background, then returns its connection to the pool.
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
        let rest = Limited::new(body, MAX_DRAINED_BYTES).collect();
        if let Ok(Ok(_)) = tokio::time::timeout(DRAIN_TIMEOUT, rest).await {
            keep(&shared, &endpoint, connection, &head);
        }
    });
}

/// Returns a connection to the pool after a complete answer, unless the endpoint closes it.
pub(super) fn keep(shared: &Shared, endpoint: &Arc<str>, mut connection: Connection, head: &Head) {
    if head.closes {
        return;
    }
    connection.idle_timeout = head.keep_alive.or(connection.idle_timeout);
    let pool = match connection.relay {
        None => &shared.pool,
        Some(_) => &shared.relayed_pool,
    };
    pool.keep(endpoint, connection);
}
