//! Established connections that stop carrying data without being closed, while new connections work.

mod common;

use std::time::Duration;

use anyhow::Result;
use common::{Gateway, HOST, count_runs};
use googletest::prelude::*;
use http::StatusCode;
use ploverwick_platform_standin::client;
use ploverwick_platform_standin::endpoint::{Action, EVENTS, Endpoint};
use ploverwick_platform_standin::proxy::Proxy;
use ploverwick_platform_standin::settings;

/// The number of concurrent requests, before and after the connections become silent.
const CONCURRENCY: usize = 8;

/// Starts a gateway that connects to an endpoint of the service `app` through a proxy.
async fn start_behind_proxy(endpoint: &Endpoint) -> Result<(Gateway, Proxy)> {
    let mut entry = endpoint.entry("ready");
    let address = entry["address"].as_str().unwrap_or_default().parse()?;
    let proxy = Proxy::start(address).await?;
    entry["address"] = proxy.address().to_string().into();
    let gateway = Gateway::unconfigured().await?;
    gateway.store.list(endpoint.id(), &entry);
    gateway.store.configure(&settings::config(1));
    gateway.wait_until_ready(true).await?;
    while endpoint.requests_received() == 0 {
        drop(gateway.request("warm", "/safe/warm").await);
    }
    Ok((gateway, proxy))
}

/// Sends `CONCURRENCY` concurrent requests and returns the number that were served.
async fn count_served(gateway: &Gateway, path: &str, from: usize) -> Result<usize> {
    let requests = (from..from + CONCURRENCY).map(|number| {
        let id = format!("r{number}");
        async move { gateway.request(&id, path).await }
    });
    let responses = futures_util::future::join_all(requests).await;
    let mut served = 0;
    for response in responses {
        served += usize::from(response?.status == StatusCode::OK);
    }
    Ok(served)
}

/// Guards against failed idempotent requests when all pooled connections are silent. They must be retried on new
/// connections, and later requests must not use a silent connection.
#[tokio::test]
async fn idempotent_requests_are_retried() -> Result<()> {
    let endpoint = Endpoint::start("i-a", "app", None, "d1").await?;
    let other = Endpoint::start("i-b", "app", None, "d1").await?;
    let (gateway, proxy) = start_behind_proxy(&endpoint).await?;
    gateway.store.list(other.id(), &other.entry("ready"));
    while other.requests_received() == 0 {
        drop(gateway.request("warm-b", "/safe/warm").await);
    }
    assert_that!(count_served(&gateway, "/safe/x", 0).await?, eq(CONCURRENCY));
    proxy.silence();
    assert_that!(
        count_served(&gateway, "/safe/x", 100).await?,
        eq(CONCURRENCY)
    );
    let before = endpoint.requests_received() + other.requests_received();
    assert_that!(
        count_served(&gateway, "/safe/x", 200).await?,
        eq(CONCURRENCY)
    );
    assert_that!(
        endpoint.requests_received() + other.requests_received() - before,
        eq(CONCURRENCY)
    );
    Ok(())
}

/// Guards against each request finding out separately that a pooled connection is silent: once one has, all idle
/// connections to that endpoint must be closed.
#[tokio::test]
async fn one_failure_closes_idle_connections() -> Result<()> {
    let endpoint = Endpoint::start("i-a", "app", None, "d1").await?;
    let (gateway, proxy) = start_behind_proxy(&endpoint).await?;
    assert_that!(count_served(&gateway, "/safe/x", 0).await?, eq(CONCURRENCY));
    proxy.silence();
    // The request cannot be retried at another endpoint, because there is none.
    drop(gateway.request("r100", "/safe/x").await?);
    assert_that!(
        count_served(&gateway, "/safe/x", 200).await?,
        eq(CONCURRENCY)
    );
    Ok(())
}

/// Guards against sending a request that must not be retried on a connection that has been idle for some time, because
/// it may have become silent.
#[tokio::test]
async fn non_retryable_request_uses_new_connection() -> Result<()> {
    let endpoint = Endpoint::start("i-a", "app", None, "d1").await?;
    let (gateway, proxy) = start_behind_proxy(&endpoint).await?;
    assert_that!(
        gateway.request("r1", "/once/").await?.status,
        eq(StatusCode::OK)
    );
    proxy.silence();
    tokio::time::sleep(Duration::from_millis(600)).await;
    assert_that!(
        gateway.request("r2", "/once/").await?.status,
        eq(StatusCode::OK)
    );
    assert_that!(count_runs(&[&endpoint], "r2"), eq(1));
    Ok(())
}

/// Guards against a stalled stream that is not resumed at another endpoint before its client gives up.
#[tokio::test]
async fn stalled_stream_is_resumed() -> Result<()> {
    let a = Endpoint::start("i-a", "lm", Some("base"), "d1").await?;
    let b = Endpoint::start("i-b", "lm", Some("base"), "d1").await?;
    let gateway = Gateway::with_retry_ratio(&[&a], 2.0).await?;
    gateway.stream("warm", "/resume/", "a1").await?;
    gateway.store.list(b.id(), &b.entry("ready"));
    // Long enough for the next read of the endpoint list.
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    a.script(&[Action::Stall(1)]);
    let got = gateway.stream("r1", "/resume/", "a1").await?;
    assert_that!(got.is_whole, eq(true));
    let ids = got.body.lines().filter(|line| line.starts_with("id: "));
    assert_that!(ids.count(), eq(usize::try_from(EVENTS)?));
    assert_that!(count_runs(&[&a, &b], "r1"), eq(2));
    Ok(())
}

/// Guards against forwarding requests whose client disconnected before the gateway read them, as after a pause of the
/// whole process.
#[tokio::test]
async fn disconnected_client_is_ignored() -> Result<()> {
    let endpoint = Endpoint::start("i-a", "app", None, "d1").await?;
    let gateway = Gateway::with_endpoints(&[&endpoint]).await?;
    let before = endpoint.requests_received();
    for number in 0..8 {
        client::send_and_disconnect(gateway.front, &format!("g{number}"), HOST)?;
    }
    // This request is served after the earlier ones were read.
    assert_that!(
        gateway.request("r1", "/safe/x").await?.status,
        eq(StatusCode::OK)
    );
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert_that!(endpoint.requests_received() - before, eq(1));
    Ok(())
}
