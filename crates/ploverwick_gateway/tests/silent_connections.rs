//! Connections that fall silent for good, without a close, while new ones work.

mod common;

use std::time::Duration;

use anyhow::Result;
use common::{HOST, World, runs};
use googletest::prelude::*;
use http::StatusCode;
use ploverwick_platform_standin::client;
use ploverwick_platform_standin::endpoint::{Action, EVENTS, Endpoint};
use ploverwick_platform_standin::proxy::Proxy;
use ploverwick_platform_standin::settings;

/// Requests at once before connections fall silent, and after.
const CROWD: usize = 8;

/// Starts a gateway that reaches an endpoint of the plain service through a proxy.
async fn behind_proxy(endpoint: &Endpoint) -> Result<(World, Proxy)> {
    let mut entry = endpoint.entry("ready");
    let address = entry["address"].as_str().unwrap_or_default().parse()?;
    let proxy = Proxy::start(address).await?;
    entry["address"] = proxy.address().to_string().into();
    let world = World::bare().await?;
    world.store.list(endpoint.id(), &entry);
    world.store.configure(&settings::config(1));
    world.until_ready(true).await?;
    while endpoint.requests_received() == 0 {
        drop(world.ask("warm", "/safe/warm").await);
    }
    Ok((world, proxy))
}

async fn crowd(world: &World, path: &str, from: usize) -> Result<usize> {
    let asks = (from..from + CROWD).map(|number| {
        let id = format!("r{number}");
        async move { world.ask(&id, path).await }
    });
    let answers = futures_util::future::join_all(asks).await;
    let mut answered = 0;
    for answer in answers {
        answered += usize::from(answer?.status == StatusCode::OK);
    }
    Ok(answered)
}

/// Every kept connection is silent when a crowd comes: whatever may be sent again is served over new
/// ones, and the crowd after it meets no silent one.
#[tokio::test]
async fn idempotent_go_round() -> Result<()> {
    let endpoint = Endpoint::start("i-a", "app", None, "d1").await?;
    let other = Endpoint::start("i-b", "app", None, "d1").await?;
    let (world, proxy) = behind_proxy(&endpoint).await?;
    world.store.list(other.id(), &other.entry("ready"));
    while other.requests_received() == 0 {
        drop(world.ask("warm-b", "/safe/warm").await);
    }
    assert_that!(crowd(&world, "/safe/x", 0).await?, eq(CROWD));
    proxy.silence();
    assert_that!(crowd(&world, "/safe/x", 100).await?, eq(CROWD));
    let before = endpoint.requests_received() + other.requests_received();
    assert_that!(crowd(&world, "/safe/x", 200).await?, eq(CROWD));
    assert_that!(
        endpoint.requests_received() + other.requests_received() - before,
        eq(CROWD)
    );
    Ok(())
}

/// The first request that meets a silent connection spares the others the same.
#[tokio::test]
async fn one_finds_all() -> Result<()> {
    let endpoint = Endpoint::start("i-a", "app", None, "d1").await?;
    let (world, proxy) = behind_proxy(&endpoint).await?;
    assert_that!(crowd(&world, "/safe/x", 0).await?, eq(CROWD));
    proxy.silence();
    // There is no other endpoint for it to go on to.
    drop(world.ask("r100", "/safe/x").await?);
    assert_that!(crowd(&world, "/safe/x", 200).await?, eq(CROWD));
    Ok(())
}

/// A request that may run once only does not ride on a connection of which nothing was heard lately.
#[tokio::test]
async fn once_takes_new() -> Result<()> {
    let endpoint = Endpoint::start("i-a", "app", None, "d1").await?;
    let (world, proxy) = behind_proxy(&endpoint).await?;
    assert_that!(world.ask("r1", "/once/").await?.status, eq(StatusCode::OK));
    proxy.silence();
    tokio::time::sleep(Duration::from_millis(600)).await;
    assert_that!(world.ask("r2", "/once/").await?.status, eq(StatusCode::OK));
    assert_that!(runs(&[&endpoint], "r2"), eq(1));
    Ok(())
}

/// A stream that pauses for too long goes on elsewhere before its client leaves.
#[tokio::test]
async fn stalled_stream_goes_on() -> Result<()> {
    let a = Endpoint::start("i-a", "lm", Some("base"), "d1").await?;
    let b = Endpoint::start("i-b", "lm", Some("base"), "d1").await?;
    let world = World::earning(&[&a], 2.0).await?;
    world.stream("warm", "/resume/", "a1").await?;
    world.store.list(b.id(), &b.entry("ready"));
    // Until the list of endpoints was read again.
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    a.script(&[Action::Stall(1)]);
    let got = world.stream("r1", "/resume/", "a1").await?;
    assert_that!(got.is_whole, eq(true));
    let ids = got.body.lines().filter(|line| line.starts_with("id: "));
    assert_that!(ids.count(), eq(usize::try_from(EVENTS)?));
    assert_that!(runs(&[&a, &b], "r1"), eq(2));
    Ok(())
}

/// A client that has left before its request was read, as after a pause of the whole process, costs an
/// endpoint nothing.
#[tokio::test]
async fn gone_before_read() -> Result<()> {
    let endpoint = Endpoint::start("i-a", "app", None, "d1").await?;
    let world = World::with(&[&endpoint]).await?;
    let before = endpoint.requests_received();
    for number in 0..8 {
        client::send_and_disconnect(world.front, &format!("g{number}"), HOST)?;
    }
    // The next request is served after those before it were read.
    assert_that!(world.ask("r1", "/safe/x").await?.status, eq(StatusCode::OK));
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert_that!(endpoint.requests_received() - before, eq(1));
    Ok(())
}
