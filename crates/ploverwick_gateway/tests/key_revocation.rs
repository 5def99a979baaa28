//! A key that may have been revoked must be rejected within the bound, even if the store is unreachable.

mod common;

use std::net::Ipv4Addr;
use std::time::Duration;

use anyhow::Result;
use common::{Gateway, HOST, Instance, free_port};
use googletest::prelude::*;
use http::StatusCode;
use ploverwick_platform::OPERATOR_TOPIC;
use ploverwick_platform_standin::client::{self, ClientRequest};
use ploverwick_platform_standin::endpoint::Endpoint;
use ploverwick_platform_standin::settings;
use ploverwick_platform_standin::store::Store;
use serde_json::{Value, json};
use tokio::time::Instant;

const KEY: &str = "the-key-of-one";
/// A fifth of the usual bound.
const BOUND: Duration = Duration::from_secs(1);

fn config(version: u64) -> Value {
    let mut config = settings::config(version);
    settings::add_organisations(&mut config, &[("one", &[KEY], json!({}))]);
    settings::exempt_route(&mut config, 2);
    config
}

async fn start_gateway(endpoint: &Endpoint) -> Result<Gateway> {
    let store = Store::start().await?;
    store.list(endpoint.id(), &endpoint.entry("ready"));
    store.configure(&config(1));
    let gateway =
        Gateway::with_settings(store, |settings| settings.revocation = Some(BOUND)).await?;
    gateway.wait_until_ready(true).await?;
    Ok(gateway)
}

async fn status(gateway: &Gateway, path: &str) -> Result<StatusCode> {
    let request = ClientRequest::new("r", HOST, path).key(KEY);
    Ok(client::send(gateway.front, &request).await?.status)
}

/// Guards against refusals while the store is reachable, over several times the bound.
#[gtest]
#[tokio::test]
async fn proof_is_renewed() -> Result<()> {
    let endpoint = Endpoint::start("i-a", "app", None, "d1").await?;
    let gateway = start_gateway(&endpoint).await?;
    let until = Instant::now() + BOUND * 3;
    while Instant::now() < until {
        let status = status(&gateway, "/safe/").await?;
        expect_that!(status, not(eq(StatusCode::UNAUTHORIZED)));
        let is_stale = status == StatusCode::SERVICE_UNAVAILABLE
            && client::send(
                gateway.front,
                &ClientRequest::new("r", HOST, "/safe/").key(KEY),
            )
            .await?
            .body
            .starts_with("PW3013");
        expect_false!(is_stale);
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    Ok(())
}

/// Guards against keyed requests that are served for longer than the bound during an outage of the store, while the
/// instance must report that it is not ready, still serve routes without keys, and recover once the store responds.
#[gtest]
#[tokio::test]
async fn outage_refuses_keyed_requests() -> Result<()> {
    let endpoint = Endpoint::start("i-a", "app", None, "d1").await?;
    let gateway = start_gateway(&endpoint).await?;
    while status(&gateway, "/safe/").await? != StatusCode::OK {}
    gateway.store.set_unavailable(true);
    gateway.wait_until_ready(false).await?;
    let got = loop {
        let request = ClientRequest::new("r", HOST, "/safe/").key(KEY);
        let got = client::send(gateway.front, &request).await?;
        if got.status != StatusCode::OK {
            break got;
        }
    };
    expect_that!(got.status, eq(StatusCode::SERVICE_UNAVAILABLE));
    expect_that!(got.body, starts_with("PW3013"));
    expect_that!(got.retry_after, some(anything()));
    expect_true!(got.closes);
    expect_that!(status(&gateway, "/slow/").await?, eq(StatusCode::OK));
    gateway.store.set_unavailable(false);
    gateway.wait_until_ready(true).await?;
    expect_that!(status(&gateway, "/safe/").await?, eq(StatusCode::OK));
    Ok(())
}

/// Guards against a response of the store that ends before its records and is taken for the end of the topic, so that a
/// revoked key is accepted for longer than the bound.
#[gtest]
#[tokio::test]
async fn short_reads_prove_nothing() -> Result<()> {
    let endpoint = Endpoint::start("i-a", "app", None, "d1").await?;
    let gateway = start_gateway(&endpoint).await?;
    while status(&gateway, "/safe/").await? != StatusCode::OK {}
    gateway.store.withhold_records(OPERATOR_TOPIC);
    gateway.store.configure(&settings::config(2));
    let until = Instant::now() + BOUND * 5;
    let mut last = StatusCode::OK;
    while last == StatusCode::OK && Instant::now() < until {
        tokio::time::sleep(Duration::from_millis(20)).await;
        last = status(&gateway, "/safe/").await?;
    }
    expect_that!(last, eq(StatusCode::SERVICE_UNAVAILABLE));
    Ok(())
}

/// Guards against idle client connections that stay open during an outage, which would keep clients from sending their
/// next request to another instance.
#[gtest]
#[tokio::test]
async fn idle_connections_are_closed() -> Result<()> {
    let endpoint = Endpoint::start("i-a", "app", None, "d1").await?;
    let gateway = start_gateway(&endpoint).await?;
    let mut connection = client::Connection::open(gateway.front).await?;
    let request = ClientRequest::new("r", HOST, "/slow/");
    expect_that!(connection.send(&request).await?.status, eq(StatusCode::OK));
    gateway.store.set_unavailable(true);
    connection.closed().await;
    gateway.wait_until_ready(false).await
}

/// Guards against instances that do not read the store and get no proof from those that do, and against extra reads.
#[gtest]
#[tokio::test]
async fn readers_send_proofs() -> Result<()> {
    let endpoint = Endpoint::start("i-a", "app", None, "d1").await?;
    let store = Store::start().await?;
    store.list(endpoint.id(), &endpoint.entry("ready"));
    store.configure(&config(1));
    let port = free_port()?;
    let mut instances = Vec::new();
    for (host, name) in (1..).zip(["a", "b", "c", "d", "e", "f"]) {
        let ip = Ipv4Addr::new(127, 0, 0, host);
        let mut settings = settings::of(name, ip, port, store.address());
        settings.revocation = Some(BOUND * 5);
        instances.push(Instance::start(settings).await?);
    }
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    let before = store.immediate_reads(OPERATOR_TOPIC);
    tokio::time::sleep(BOUND * 6).await;
    // The target is one read per fifth of the bound. It would be six times as many if each instance read the store.
    expect_that!(store.immediate_reads(OPERATOR_TOPIC) - before, le(6 * 2));
    for instance in &instances {
        let request = ClientRequest::new("r", HOST, "/safe/").key(KEY);
        let got = client::send(instance.front, &request).await?;
        expect_that!(got.status, eq(StatusCode::OK));
    }
    // If the topic cannot be read, responses of its readers prove nothing either.
    store.set_unreadable(OPERATOR_TOPIC, true);
    tokio::time::sleep(BOUND * 6).await;
    for instance in &instances {
        let request = ClientRequest::new("r", HOST, "/safe/").key(KEY);
        let got = client::send(instance.front, &request).await?;
        expect_that!(got.body, starts_with("PW3013"));
    }
    Ok(())
}
