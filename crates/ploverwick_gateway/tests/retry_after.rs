//! Tests that an instance sends no more requests to an endpoint during the pause that its `Retry-After` requests.

mod common;

use std::time::{Duration, Instant};

use anyhow::Result;
use common::{Gateway, HOST, two_app_endpoints};
use googletest::prelude::*;
use http::StatusCode;
use ploverwick_platform_standin::client::{self, ClientRequest, ClientResponse};
use ploverwick_platform_standin::endpoint::{Action, Endpoint};

/// The pause that endpoints request.
const PAUSE: Duration = Duration::from_secs(3);
/// The time after the first refusal in which requests that were already in flight may arrive.
const IN_FLIGHT_WINDOW: Duration = Duration::from_millis(500);
/// The number of requests that may reach an endpoint in the rest of its pause.
const MAX_IN_PAUSE: usize = 2;
/// The number of scripted refusals; more than the requests that a test sends.
const REFUSALS: usize = 1_000;

fn refuse_all(endpoint: &Endpoint) {
    let ms = u64::try_from(PAUSE.as_millis()).expect("a few seconds");
    endpoint.script(&[Action::RefuseWithRetryAfter(ms); REFUSALS]);
}

/// Sends requests one after another for `duration` and returns their responses.
async fn send_requests_for(
    gateway: &Gateway,
    duration: Duration,
    path: &str,
    model: Option<&str>,
) -> Result<Vec<ClientResponse>> {
    let started = Instant::now();
    let mut got = Vec::new();
    while started.elapsed() < duration {
        let mut request = ClientRequest::new(&format!("r{}-{path}", got.len()), HOST, path);
        request.model = model.map(str::to_owned);
        got.push(client::send(gateway.front, &request).await?);
        tokio::time::sleep(Duration::from_millis(15)).await;
    }
    Ok(got)
}

/// Counts the requests that reached an endpoint during the pause that its first refusal requested, without those
/// that arrived within `IN_FLIGHT_WINDOW`. `before` is the number of requests that it got before it refused any.
fn count_in_pause(endpoint: &Endpoint, before: usize) -> usize {
    let arrivals = endpoint.arrivals();
    let Some(first) = arrivals.get(before) else {
        return 0;
    };
    let within = arrivals.iter().filter(|at| {
        let since = at.saturating_duration_since(*first);
        since > IN_FLIGHT_WINDOW && since < PAUSE
    });
    within.count()
}

/// Guards against requests to a pausing endpoint, and requests refused to clients, while another endpoint has room.
#[tokio::test]
async fn other_endpoint_serves() -> Result<()> {
    let (a, b) = two_app_endpoints().await?;
    let gateway = Gateway::with_retry_ratio(&[&a, &b], 1.0).await?;
    refuse_all(&a);
    let before = a.requests_received();
    let got = send_requests_for(&gateway, PAUSE, "/safe/", None).await?;
    let served = got.iter().filter(|got| got.status == StatusCode::OK);
    assert_that!(served.count(), eq(got.len()));
    assert_that!(a.requests_received(), gt(before));
    assert_that!(count_in_pause(&a, before), le(MAX_IN_PAUSE));
    Ok(())
}

/// Guards against requests to endpoints that are all pausing, and refusals without `Retry-After` meanwhile.
#[tokio::test]
async fn all_pause() -> Result<()> {
    let (a, b) = two_app_endpoints().await?;
    let gateway = Gateway::with_endpoints(&[&a, &b]).await?;
    let before = [&a, &b].map(|endpoint| {
        refuse_all(endpoint);
        endpoint.requests_received()
    });
    let got = send_requests_for(&gateway, PAUSE, "/once/", None).await?;
    let refused = got.iter().filter(|got| {
        matches!(
            got.status,
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE
        )
    });
    let with_retry_after = refused.filter(|got| got.retry_after.is_some());
    assert_that!(with_retry_after.count(), eq(got.len()));
    for (endpoint, before) in [&a, &b].into_iter().zip(before) {
        assert_that!(count_in_pause(endpoint, before), le(MAX_IN_PAUSE));
    }
    Ok(())
}

/// Guards against an endpoint that gets no requests after its pause has ended.
#[tokio::test]
async fn pause_ends() -> Result<()> {
    let (a, b) = two_app_endpoints().await?;
    let gateway = Gateway::with_endpoints(&[&a, &b]).await?;
    a.script(&[Action::RefuseWithRetryAfter(700)]);
    send_requests_for(&gateway, Duration::from_millis(300), "/safe/", None).await?;
    tokio::time::sleep(Duration::from_millis(700)).await;
    let before = a.requests_received();
    send_requests_for(&gateway, Duration::from_millis(600), "/safe/", None).await?;
    assert_that!(a.requests_received(), gt(before));
    Ok(())
}

/// Guards against an adapter that is not loaded at another endpoint while its only holder is pausing, and against
/// requests to that holder.
#[tokio::test]
async fn adapter_is_loaded_elsewhere() -> Result<()> {
    let a = Endpoint::start("i-a", "lm", Some("base"), "d1").await?;
    let b = Endpoint::start("i-b", "lm", Some("base"), "d1").await?;
    let gateway = Gateway::with_retry_ratio(&[&a, &b], 1.0).await?;
    let model = Some("base/a1");
    send_requests_for(&gateway, Duration::from_millis(100), "/live/", model).await?;
    let holder = if a.requests_received() > 0 { &a } else { &b };
    refuse_all(holder);
    let before = holder.requests_received();
    let got = send_requests_for(&gateway, PAUSE, "/live/", model).await?;
    let served = got.iter().filter(|got| got.status == StatusCode::OK);
    assert_that!(served.count(), eq(got.len()));
    assert_that!(count_in_pause(holder, before), le(MAX_IN_PAUSE));
    Ok(())
}

/// Guards against orders to a pausing endpoint, which would load adapters that cannot serve requests during the pause.
#[tokio::test]
async fn no_orders_in_pause() -> Result<()> {
    let a = Endpoint::start("i-a", "lm", Some("base"), "d1").await?;
    let b = Endpoint::start("i-b", "lm", Some("base"), "d1").await?;
    let gateway = Gateway::with_retry_ratio(&[&a, &b], 1.0).await?;
    send_requests_for(
        &gateway,
        Duration::from_millis(100),
        "/live/",
        Some("base/a1"),
    )
    .await?;
    let holder = if a.requests_received() > 0 { &a } else { &b };
    refuse_all(holder);
    send_requests_for(
        &gateway,
        Duration::from_millis(100),
        "/live/",
        Some("base/a1"),
    )
    .await?;
    let orders_before = holder.tokens().len();
    for adapter in ["a2", "a3", "a4", "a5", "a6"] {
        let got = gateway.stream(adapter, "/live/", adapter).await?;
        assert_that!(got.status, eq(StatusCode::OK));
    }
    assert_that!(holder.tokens().len(), eq(orders_before));
    Ok(())
}
