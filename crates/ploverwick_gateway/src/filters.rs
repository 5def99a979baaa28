//! The chain of filters that takes a request from a client to an endpoint and back.
//!
//! `admit` reads it and finds its route, `identify` who calls, `quota` counts it for them, `terms` applies the operators' table, `place` finds an endpoint, `send` hands it over, `relay`
//! passes the answer on, and `attempt` repeats the last three where that is safe.

mod admit;
mod attempt;
mod flight;
mod identify;
mod place;
mod quarantine;
mod quota;
mod relay;
mod reply;
mod reuse;
mod seek;
mod send;
mod task;
mod terms;

use std::sync::Arc;
use std::time::Instant;

use http::{HeaderValue, Request, Response, header};
use hyper::body::Incoming;

use crate::connection::Activity;
use crate::metrics;
use crate::shared::Shared;
use reply::Body;

/// Serves one request.
pub(crate) async fn run(
    shared: Arc<Shared>,
    activity: Activity,
    request: Request<Incoming>,
) -> Response<Body> {
    activity.begin();
    // Bytes that waited while this process stood still may end with the client's close. The connection is
    // read once more before anything is done for a client that has left.
    tokio::task::yield_now().await;
    let started = Instant::now();
    let mut response = match admit::run(&shared, request).await {
        Ok(task) => attempt::run(&shared, task).await,
        Err(refusal) => refusal.into_response(),
    };
    metrics::request(response.status(), started.elapsed());
    if shared.is_stopping() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    let ended = relay::Ended::new(activity, shared.clock.clone());
    response.map(|body| relay::watched(body, ended))
}
