//! Endpoints that restart with the same identifier. The new incarnation has none of the state of the earlier one, so
//! neither what is known of the earlier incarnation nor its late heartbeats apply to it.

mod common;

use std::time::Duration;

use anyhow::Result;
use common::{Gateway, HOST};
use googletest::prelude::*;
use http::StatusCode;
use ploverwick_platform_standin::client::{self, ClientRequest};
use ploverwick_platform_standin::endpoint::Endpoint;

/// Longer than two polls of the list.
const LIST_DELAY: Duration = Duration::from_millis(2_400);

async fn status(gateway: &Gateway, id: &str) -> Result<StatusCode> {
    let got = client::send(gateway.front, &ClientRequest::new(id, HOST, "/safe/")).await?;
    Ok(got.status)
}

/// Guards against an endpoint that gets no requests because its earlier incarnation was draining. The heartbeat numbers
/// of the new one restart at 1.
#[tokio::test]
async fn serves_after_draining() -> Result<()> {
    let endpoint = Endpoint::start("i-a", "app", None, "d1").await?;
    endpoint.restart(1_000);
    let gateway = Gateway::with_endpoints(&[&endpoint]).await?;
    gateway.store.list("i-a", &endpoint.entry("ready"));
    gateway.store.list("i-a", &endpoint.entry("draining"));
    tokio::time::sleep(LIST_DELAY).await;
    assert_that!(
        status(&gateway, "left").await?,
        eq(StatusCode::SERVICE_UNAVAILABLE)
    );
    endpoint.restart(2_000);
    gateway.store.list("i-a", &endpoint.entry("ready"));
    tokio::time::sleep(LIST_DELAY).await;
    assert_that!(status(&gateway, "second").await?, eq(StatusCode::OK));
    Ok(())
}

/// Guards against a late heartbeat of the earlier incarnation that overrides the state of the new one because of its
/// higher number.
#[tokio::test]
async fn earlier_incarnation_is_ignored() -> Result<()> {
    let endpoint = Endpoint::start("i-a", "app", None, "d1").await?;
    endpoint.restart(1_000);
    let gateway = Gateway::with_endpoints(&[&endpoint]).await?;
    for _ in 0..5 {
        gateway.store.list("i-a", &endpoint.entry("ready"));
    }
    let late = endpoint.entry("ready");
    endpoint.restart(2_000);
    gateway.store.list("i-a", &endpoint.entry("ready"));
    tokio::time::sleep(LIST_DELAY).await;
    gateway.store.list("i-a", &endpoint.entry("draining"));
    tokio::time::sleep(LIST_DELAY).await;
    gateway.store.list("i-a", &late);
    tokio::time::sleep(LIST_DELAY).await;
    let before = endpoint.requests_received();
    assert_that!(
        status(&gateway, "late").await?,
        eq(StatusCode::SERVICE_UNAVAILABLE)
    );
    assert_that!(endpoint.requests_received(), eq(before));
    Ok(())
}

/// Guards against requests for adapters that only the earlier incarnation had loaded. The order numbers of the new one
/// restart at 0.
#[tokio::test]
async fn adapters_are_loaded_again() -> Result<()> {
    let endpoint = Endpoint::start("i-a", "lm", Some("base"), "d1").await?;
    endpoint.restart(1_000);
    let gateway = Gateway::with_endpoints(&[&endpoint]).await?;
    for adapter in ["a1", "a2"] {
        let got = gateway.stream(adapter, "/live/", adapter).await?;
        assert_that!(got.status, eq(StatusCode::OK));
    }
    endpoint.restart(2_000);
    gateway.store.list("i-a", &endpoint.entry("ready"));
    tokio::time::sleep(LIST_DELAY).await;
    let got = gateway.stream("again", "/live/", "a2").await?;
    assert_that!(got.status, eq(StatusCode::OK));
    assert_that!(endpoint.held(), unordered_elements_are![eq("a2@1")]);
    Ok(())
}
