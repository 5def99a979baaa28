//! Calls of this instance's own to endpoints: orders and requests for reports.
//!
//! Their answers do not name them, so that a second answer to an earlier exchange on the connection could not be recognised.
//! Calls therefore share no connection with requests.

use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full, Limited};
use ploverwick_endpoints::Entry;
use ploverwick_platform::answer;

use super::{draining, reachability};
use crate::pool::Connection;
use crate::shared::Shared;

type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// The maximum size of an answer in bytes. A report lists the adapters and the requests of one endpoint.
const MAX_ANSWER_BYTES: usize = 64 * 1_024;

/// Sends a call and reads the whole answer; returns `None` on an error or a timeout, after which the connection is closed.
pub(super) async fn exchange(
    shared: &Shared,
    entry: &Entry,
    connection: &mut Connection,
    mut call: Request<Full<Bytes>>,
    timeout: Duration,
) -> Option<Response<Bytes>> {
    connection.begin(&mut call);
    let exchange = async {
        let response = connection.sender.send_request(call).await?;
        let (head, body) = response.into_parts();
        let body = Limited::new(body, MAX_ANSWER_BYTES).collect().await?;
        Ok::<_, BoxError>(Response::from_parts(head, body.to_bytes()))
    };
    match tokio::time::timeout(timeout, exchange).await {
        Ok(Ok(response)) => {
            reachability::handle_answer(shared, entry, connection);
            let reported = answer::state(response.headers());
            draining::handle_answer(shared, &entry.id, reported, &"call");
            Some(response)
        }
        Ok(Err(error)) => {
            reachability::handle_break(shared, entry, connection);
            spdlog::debug!("call_failed endpoint={} cause=\"{}\"", entry.id, error);
            None
        }
        Err(_) => None,
    }
}
