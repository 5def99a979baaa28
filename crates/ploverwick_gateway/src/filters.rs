//! The filter chain that processes a request from a client.
//!
//! `admit` reads the request and finds its route, `authenticate` identifies the caller, `terms` applies the
//! operators' table, `quota` charges the organisation's quota, `origin` finds
//! the build that may continue a stream, `select` chooses an endpoint, `send` sends the
//! request to it, `forward` forwards the answer, and `retry` retries the last three steps where that is safe.

mod activity_guard;
mod admit;
mod admitted_request;
mod answer_wait;
mod authenticate;
mod copy_demand;
mod event_splitter;
mod evidence_log;
mod forward;
mod in_flight;
mod intake;
mod missing_adapter;
mod origin;
mod quarantine;
mod quota;
mod reply;
mod resume;
mod retry;
mod reuse;
mod select;
mod send;
mod send_evidence;
mod slot_wait;
mod source;
mod stream_timing;
mod terms;

use std::sync::Arc;
use std::time::Instant;

use http::{HeaderValue, Request, Response, header};
use hyper::body::{Body as _, Incoming};

use crate::connection::Activity;
use crate::metrics;
use crate::shared::Shared;
use reply::{Body, ReadDeadline};

/// Serves one request.
pub(crate) async fn run(
    shared: Arc<Shared>,
    activity: Activity,
    request: Request<Incoming>,
) -> Response<Body> {
    activity.begin();
    activity.set_unread_body(!request.body().is_end_stream());
    // If the process was suspended, the client may have closed the connection after sending the request.
    // Yield once so that the connection is read again before any work is done for a disconnected client.
    tokio::task::yield_now().await;
    let started = Instant::now();
    let admission = admit::run(&shared, &activity, request);
    let mut response = match intake::bounded(&shared, admission).await {
        Ok(mut request) => match origin::run(&shared, &mut request).await {
            Ok(()) => retry::run(&shared, request).await,
            Err(reply) => reply.into_response(),
        },
        Err(reply) => reply.into_response(),
    };
    metrics::request(response.status(), started.elapsed());
    if shared.is_stopping() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    let read_deadline = response.extensions_mut().remove::<ReadDeadline>();
    let guard = activity_guard::ActivityGuard::new(activity, shared.clock.clone(), read_deadline);
    response.map(|body| activity_guard::guarded(body, guard))
}
