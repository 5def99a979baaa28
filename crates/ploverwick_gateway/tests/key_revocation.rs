//! A key that may have been revoked stops to work within its bound, also where the store is out of reach.

mod common;

use std::net::Ipv4Addr;
use std::time::Duration;

use anyhow::Result;
use common::{HOST, Instance, World, free_port};
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
/// A fifth of the usual one.
const BOUND: Duration = Duration::from_secs(1);

fn config(version: u64) -> Value {
    let mut config = settings::config(version);
    settings::add_organisations(&mut config, &[("one", &[KEY], json!({}))]);
    settings::exempt_route(&mut config, 2);
    config
}

async fn ready(endpoint: &Endpoint) -> Result<World> {
    let store = Store::start().await?;
    store.list(endpoint.id(), &endpoint.entry("ready"));
    store.configure(&config(1));
    let world = World::changed(store, |settings| settings.revocation = Some(BOUND)).await?;
    world.until_ready(true).await?;
    Ok(world)
}

async fn status(world: &World, path: &str) -> Result<StatusCode> {
    let ask = ClientRequest::new("r", HOST, path).key(KEY);
    Ok(client::send(world.front, &ask).await?.status)
}

/// While the store answers, nothing is refused for longer than the bound and more.
#[gtest]
#[tokio::test]
async fn proofs_renew() -> Result<()> {
    let endpoint = Endpoint::start("i-a", "app", None, "d1").await?;
    let world = ready(&endpoint).await?;
    let until = Instant::now() + BOUND * 3;
    while Instant::now() < until {
        let status = status(&world, "/safe/").await?;
        expect_that!(status, not(eq(StatusCode::UNAUTHORIZED)));
        let is_stale = status == StatusCode::SERVICE_UNAVAILABLE
            && client::send(
                world.front,
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

/// Without the store keyed requests are refused from the bound on, the instance says that it is not ready,
/// and it serves again once the store answers. Routes without keys are served all the while.
#[gtest]
#[tokio::test]
async fn outage_refuses() -> Result<()> {
    let endpoint = Endpoint::start("i-a", "app", None, "d1").await?;
    let world = ready(&endpoint).await?;
    while status(&world, "/safe/").await? != StatusCode::OK {}
    world.store.set_unavailable(true);
    world.until_ready(false).await?;
    let got = loop {
        let ask = ClientRequest::new("r", HOST, "/safe/").key(KEY);
        let got = client::send(world.front, &ask).await?;
        if got.status != StatusCode::OK {
            break got;
        }
    };
    expect_that!(got.status, eq(StatusCode::SERVICE_UNAVAILABLE));
    expect_that!(got.body, starts_with("PW3013"));
    expect_that!(got.retry_after, some(anything()));
    expect_true!(got.closes);
    expect_that!(status(&world, "/slow/").await?, eq(StatusCode::OK));
    world.store.set_unavailable(false);
    world.until_ready(true).await?;
    expect_that!(status(&world, "/safe/").await?, eq(StatusCode::OK));
    Ok(())
}

/// A client's idle connection is closed, so that its next request may go to another instance.
#[gtest]
#[tokio::test]
async fn idle_ones_close() -> Result<()> {
    let endpoint = Endpoint::start("i-a", "app", None, "d1").await?;
    let world = ready(&endpoint).await?;
    let mut connection = client::Connection::open(world.front).await?;
    let ask = ClientRequest::new("r", HOST, "/slow/");
    expect_that!(connection.send(&ask).await?.status, eq(StatusCode::OK));
    world.store.set_unavailable(true);
    connection.closed().await;
    world.until_ready(false).await
}

/// Instances that do not read the store themselves are proved to by those that do.
#[gtest]
#[tokio::test]
async fn peers_prove() -> Result<()> {
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
    // The aim is one read in a fifth of the bound; each instance by itself would make six times as many.
    expect_that!(store.immediate_reads(OPERATOR_TOPIC) - before, le(6 * 2));
    for instance in &instances {
        let ask = ClientRequest::new("r", HOST, "/safe/").key(KEY);
        let got = client::send(instance.front, &ask).await?;
        expect_that!(got.status, eq(StatusCode::OK));
    }
    // Where the topic cannot be read the word of those that read it proves no more either.
    store.set_unreadable(OPERATOR_TOPIC, true);
    tokio::time::sleep(BOUND * 6).await;
    for instance in &instances {
        let ask = ClientRequest::new("r", HOST, "/safe/").key(KEY);
        let got = client::send(instance.front, &ask).await?;
        expect_that!(got.body, starts_with("PW3013"));
    }
    Ok(())
}
