//! Tests that endpoints whose answers report that they are leaving get no more requests, regardless of the list.

mod common;

use std::time::{Duration, Instant};

use anyhow::Result;
use common::{Gateway, HOST, Instance, free_port, two_app_endpoints};
use googletest::prelude::*;
use http::StatusCode;
use ploverwick_platform_standin::client::{self, ClientRequest};
use ploverwick_platform_standin::endpoint::Endpoint;
use ploverwick_platform_standin::settings;
use ploverwick_platform_standin::store::Store;

/// The time after which an endpoint that reported that it is leaving must get no more requests.
const DRAIN_DEADLINE: Duration = Duration::from_secs(2);

/// Sends requests until one more has reached the endpoint.
async fn request_until_received(gateway: &Gateway, endpoint: &Endpoint) -> Result<()> {
    let before = endpoint.requests_received();
    let mut number = 0;
    while endpoint.requests_received() == before {
        number += 1;
        gateway
            .request(&format!("until-{number}"), "/safe/")
            .await?;
    }
    Ok(())
}

/// Guards against requests to a leaving endpoint while the store is unavailable and the list cannot be updated.
#[tokio::test]
async fn store_unavailable() -> Result<()> {
    let (a, b) = two_app_endpoints().await?;
    let gateway = Gateway::with_endpoints(&[&a, &b]).await?;
    gateway.store.set_unavailable(true);
    a.set_leaving();
    request_until_received(&gateway, &a).await?;
    tokio::time::sleep(DRAIN_DEADLINE).await;
    let before = a.requests_received();
    for number in 0..20 {
        let got = gateway.request(&format!("r{number}"), "/safe/").await?;
        assert_that!(got.status, eq(StatusCode::OK));
    }
    assert_that!(a.requests_received(), eq(before));
    Ok(())
}

/// Guards against an outdated list entry that makes a leaving endpoint ready again.
#[tokio::test]
async fn listed_as_ready() -> Result<()> {
    let (a, b) = two_app_endpoints().await?;
    let gateway = Gateway::with_endpoints(&[&a, &b]).await?;
    a.set_leaving();
    request_until_received(&gateway, &a).await?;
    let until = Instant::now() + DRAIN_DEADLINE;
    while Instant::now() < until {
        gateway.store.list(a.id(), &a.entry("ready"));
        tokio::time::sleep(DRAIN_DEADLINE / 8).await;
    }
    let before = a.requests_received();
    for number in 0..20 {
        let got = gateway.request(&format!("r{number}"), "/safe/").await?;
        assert_that!(got.status, eq(StatusCode::OK));
    }
    assert_that!(a.requests_received(), eq(before));
    Ok(())
}

/// Guards against an adapter that is not placed elsewhere when its only holder is leaving.
#[tokio::test]
async fn adapter_moves() -> Result<()> {
    let a = Endpoint::start("i-a", "lm", Some("base"), "d1").await?;
    let b = Endpoint::start("i-b", "lm", Some("base"), "d1").await?;
    let gateway = Gateway::with_endpoints(&[&a, &b]).await?;
    let got = gateway.stream("first", "/live/", "a1").await?;
    assert_that!(got.status, eq(StatusCode::OK));
    let (holder, other) = if a.requests_received() > 0 {
        (&a, &b)
    } else {
        (&b, &a)
    };
    gateway.store.set_unavailable(true);
    holder.set_leaving();
    gateway.stream("told", "/live/", "a1").await?;
    tokio::time::sleep(DRAIN_DEADLINE).await;
    let before = holder.requests_received();
    for number in 0..5 {
        let got = gateway
            .stream(&format!("r{number}"), "/live/", "a1")
            .await?;
        assert_that!(got.status, eq(StatusCode::OK));
    }
    assert_that!(holder.requests_received(), eq(before));
    assert_that!(other.requests_received(), ge(5));
    Ok(())
}

/// Guards against requests from an instance that can learn of the departure only from another instance.
#[tokio::test]
async fn peer_is_notified() -> Result<()> {
    let store = Store::start().await?;
    store.configure(&settings::config(1));
    let (a, b) = two_app_endpoints().await?;
    for endpoint in [&a, &b] {
        store.list(endpoint.id(), &endpoint.entry("ready"));
    }
    let port = free_port()?;
    let mut instances = Vec::new();
    for (name, host) in [("one", 1), ("two", 2)] {
        let settings = settings::of(name, [127, 0, 0, host].into(), port, store.address());
        instances.push(Instance::start(settings).await?);
    }
    // Long enough for the instances to discover each other.
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    store.set_unavailable(true);
    a.set_leaving();
    let mut number = 0;
    let before = a.requests_received();
    while a.requests_received() == before {
        number += 1;
        let request = ClientRequest::new(&format!("until-{number}"), HOST, "/safe/");
        client::send(instances[0].front, &request).await?;
    }
    tokio::time::sleep(DRAIN_DEADLINE).await;
    let before = a.requests_received();
    for number in 0..20 {
        let request = ClientRequest::new(&format!("r{number}"), HOST, "/safe/");
        let got = client::send(instances[1].front, &request).await?;
        assert_that!(got.status, eq(StatusCode::OK));
    }
    assert_that!(a.requests_received(), eq(before));
    Ok(())
}
