//! Departure of endpoints, shutdown of instances, and outages of the store.

mod common;

use std::time::Duration;

use anyhow::Result;
use common::{Gateway, HOST, two_app_endpoints};
use googletest::prelude::*;
use http::StatusCode;
use ploverwick_platform_standin::client::{self, ClientRequest};
use ploverwick_platform_standin::endpoint::Endpoint;

/// Longer than the interval between two reads of the endpoint list.
const LIST_DELAY: Duration = Duration::from_millis(1_800);

#[tokio::test]
async fn draining_endpoint_gets_no_requests() -> Result<()> {
    let (a, b) = two_app_endpoints().await?;
    let gateway = Gateway::with_endpoints(&[&a, &b]).await?;
    gateway.store.list(a.id(), &a.entry("draining"));
    // The list is read within the drain period.
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    let before = a.requests_received();
    for number in 0..20 {
        gateway.request(&format!("r{number}"), "/safe/").await?;
    }
    assert_that!(a.requests_received(), eq(before));
    Ok(())
}

#[tokio::test]
async fn unlisted_endpoint_gets_no_requests() -> Result<()> {
    let (a, b) = two_app_endpoints().await?;
    let gateway = Gateway::with_endpoints(&[&a, &b]).await?;
    gateway.store.unlist(a.id());
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    let before = a.requests_received();
    for number in 0..20 {
        gateway.request(&format!("r{number}"), "/safe/").await?;
    }
    assert_that!(a.requests_received(), eq(before));
    Ok(())
}

/// Guards against requests to a draining endpoint during an outage of the store, and after it when the list has an
/// outdated entry.
#[tokio::test]
async fn draining_outlasts_outage() -> Result<()> {
    let (a, b) = two_app_endpoints().await?;
    let gateway = Gateway::with_endpoints(&[&a, &b]).await?;
    gateway.store.list(a.id(), &a.entry("draining"));
    tokio::time::sleep(LIST_DELAY).await;
    let before = a.requests_received();
    gateway.store.set_unavailable(true);
    for number in 0..10 {
        gateway
            .request(&format!("away-{number}"), "/safe/x")
            .await?;
    }
    gateway.store.list(a.id(), &a.entry("ready"));
    gateway.store.set_unavailable(false);
    tokio::time::sleep(LIST_DELAY).await;
    for number in 0..10 {
        gateway
            .request(&format!("back-{number}"), "/safe/x")
            .await?;
    }
    assert_that!(a.requests_received(), eq(before));
    Ok(())
}

#[tokio::test]
async fn serves_without_store() -> Result<()> {
    let (a, b) = two_app_endpoints().await?;
    let gateway = Gateway::with_endpoints(&[&a, &b]).await?;
    gateway.store.set_unavailable(true);
    for number in 0..20 {
        let got = gateway.request(&format!("r{number}"), "/once/").await?;
        assert_that!(got.status, eq(StatusCode::OK));
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert_that!(client::is_ready(gateway.ready).await?, eq(true));
    Ok(())
}

#[tokio::test]
async fn starts_without_store() -> Result<()> {
    let gateway = Gateway::unconfigured().await?;
    gateway.store.set_unavailable(true);
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_that!(client::is_ready(gateway.ready).await?, eq(false));
    gateway.store.set_unavailable(false);
    gateway
        .store
        .configure(&ploverwick_platform_standin::settings::config(1));
    gateway.wait_until_ready(true).await
}

#[tokio::test]
async fn shutdown_is_graceful() -> Result<()> {
    let (a, b) = two_app_endpoints().await?;
    let mut gateway = Gateway::with_endpoints(&[&a, &b]).await?;
    let mut kept = client::Connection::open(gateway.front).await?;
    let request = |id: &str| ClientRequest::new(id, HOST, "/once/");
    kept.send(&request("before")).await?;
    gateway.stop();
    gateway.wait_until_ready(false).await?;
    // An open connection serves one more request and announces that it closes; new connections are still served.
    let got = kept.send(&request("kept")).await?;
    assert_that!(got.status, eq(StatusCode::OK));
    assert_that!(got.closes, eq(true));
    let got = client::send(gateway.front, &request("new")).await?;
    assert_that!(got.status, eq(StatusCode::OK));
    (&mut gateway.served).await?;
    Ok(())
}

/// Returns a list entry of an endpoint with the given heartbeat number.
fn heartbeat(endpoint: &Endpoint, state: &str, number: u64) -> serde_json::Value {
    let mut entry = endpoint.entry(state);
    entry["seq"] = number.into();
    entry
}

/// Guards against an older heartbeat that arrives late and overrides a newer one.
#[tokio::test]
async fn older_heartbeat_is_ignored() -> Result<()> {
    let (a, b) = two_app_endpoints().await?;
    let gateway = Gateway::with_endpoints(&[&a, &b]).await?;
    gateway.store.list(a.id(), &heartbeat(&a, "draining", 7));
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    gateway.store.list(a.id(), &heartbeat(&a, "ready", 6));
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    let before = a.requests_received();
    for number in 0..20 {
        gateway.request(&format!("r{number}"), "/safe/").await?;
    }
    assert_that!(a.requests_received(), eq(before));
    Ok(())
}

/// Guards against a late heartbeat that restores a removed endpoint, and against ignoring newer heartbeats.
#[tokio::test]
async fn late_heartbeat_is_ignored() -> Result<()> {
    let (a, b) = two_app_endpoints().await?;
    let gateway = Gateway::with_endpoints(&[&a, &b]).await?;
    gateway.store.list(a.id(), &heartbeat(&a, "ready", 7));
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    gateway.store.unlist(a.id());
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    gateway.store.list(a.id(), &heartbeat(&a, "ready", 7));
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    let before = a.requests_received();
    for number in 0..20 {
        gateway.request(&format!("r{number}"), "/safe/").await?;
    }
    assert_that!(a.requests_received(), eq(before));
    // A newer heartbeat restores the endpoint: its entry had expired, but it still runs.
    gateway.store.list(a.id(), &heartbeat(&a, "ready", 8));
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    for number in 0..20 {
        gateway.request(&format!("back-{number}"), "/safe/").await?;
    }
    assert_that!(a.requests_received(), gt(before));
    Ok(())
}
