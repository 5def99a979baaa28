//! Endpoints that leave, instances that stop, and a store that is away.

mod common;

use std::time::Duration;

use anyhow::Result;
use common::{HOST, World, two_plain};
use googletest::prelude::*;
use http::StatusCode;
use ploverwick_platform_standin::client::{self, ClientRequest};
use ploverwick_platform_standin::endpoint::Endpoint;

/// Longer than the pause between two reads of the list of endpoints.
const READ: Duration = Duration::from_millis(1_800);

#[tokio::test]
async fn draining_gets_none() -> Result<()> {
    let (a, b) = two_plain().await?;
    let world = World::with(&[&a, &b]).await?;
    world.store.list(a.id(), &a.entry("draining"));
    // The list is read within the drain time.
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    let before = a.requests_received();
    for number in 0..20 {
        world.ask(&format!("r{number}"), "/safe/").await?;
    }
    assert_that!(a.requests_received(), eq(before));
    Ok(())
}

#[tokio::test]
async fn unlisted_gets_none() -> Result<()> {
    let (a, b) = two_plain().await?;
    let world = World::with(&[&a, &b]).await?;
    world.store.unlist(a.id());
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    let before = a.requests_received();
    for number in 0..20 {
        world.ask(&format!("r{number}"), "/safe/").await?;
    }
    assert_that!(a.requests_received(), eq(before));
    Ok(())
}

/// A leave that was heard binds also while the store is away, and when it comes back with an old line.
#[tokio::test]
async fn leave_outlasts_store() -> Result<()> {
    let (a, b) = two_plain().await?;
    let world = World::with(&[&a, &b]).await?;
    world.store.list(a.id(), &a.entry("draining"));
    tokio::time::sleep(READ).await;
    let before = a.requests_received();
    world.store.set_unavailable(true);
    for number in 0..10 {
        world.ask(&format!("away-{number}"), "/safe/x").await?;
    }
    world.store.list(a.id(), &a.entry("ready"));
    world.store.set_unavailable(false);
    tokio::time::sleep(READ).await;
    for number in 0..10 {
        world.ask(&format!("back-{number}"), "/safe/x").await?;
    }
    assert_that!(a.requests_received(), eq(before));
    Ok(())
}

#[tokio::test]
async fn serves_without_store() -> Result<()> {
    let (a, b) = two_plain().await?;
    let world = World::with(&[&a, &b]).await?;
    world.store.set_unavailable(true);
    for number in 0..20 {
        let got = world.ask(&format!("r{number}"), "/once/").await?;
        assert_that!(got.status, eq(StatusCode::OK));
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert_that!(client::is_ready(world.ready).await?, eq(true));
    Ok(())
}

#[tokio::test]
async fn starts_without_store() -> Result<()> {
    let world = World::bare().await?;
    world.store.set_unavailable(true);
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_that!(client::is_ready(world.ready).await?, eq(false));
    world.store.set_unavailable(false);
    world
        .store
        .configure(&ploverwick_platform_standin::settings::config(1));
    world.until_ready(true).await
}

#[tokio::test]
async fn stop_cuts_nobody() -> Result<()> {
    let (a, b) = two_plain().await?;
    let mut world = World::with(&[&a, &b]).await?;
    let mut kept = client::Connection::open(world.front).await?;
    let ask = |id: &str| ClientRequest::new(id, HOST, "/once/");
    kept.send(&ask("before")).await?;
    world.stop();
    world.until_ready(false).await?;
    // A kept connection serves once more and says that it closes; new ones are served, too.
    let got = kept.send(&ask("kept")).await?;
    assert_that!(got.status, eq(StatusCode::OK));
    assert_that!(got.closes, eq(true));
    let got = client::send(world.front, &ask("new")).await?;
    assert_that!(got.status, eq(StatusCode::OK));
    (&mut world.served).await?;
    Ok(())
}

/// An endpoint's line of the list with the number of its heartbeat.
fn beat(endpoint: &Endpoint, state: &str, number: u64) -> serde_json::Value {
    let mut entry = endpoint.entry(state);
    entry["seq"] = number.into();
    entry
}

/// Heartbeats may arrive out of order: what an older one says is past.
#[tokio::test]
async fn old_heartbeat_ignored() -> Result<()> {
    let (a, b) = two_plain().await?;
    let world = World::with(&[&a, &b]).await?;
    world.store.list(a.id(), &beat(&a, "draining", 7));
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    world.store.list(a.id(), &beat(&a, "ready", 6));
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    let before = a.requests_received();
    for number in 0..20 {
        world.ask(&format!("r{number}"), "/safe/").await?;
    }
    assert_that!(a.requests_received(), eq(before));
    Ok(())
}

/// A heartbeat that arrives after its endpoint was taken off the list does not bring it back.
#[tokio::test]
async fn late_heartbeat_ignored() -> Result<()> {
    let (a, b) = two_plain().await?;
    let world = World::with(&[&a, &b]).await?;
    world.store.list(a.id(), &beat(&a, "ready", 7));
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    world.store.unlist(a.id());
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    world.store.list(a.id(), &beat(&a, "ready", 7));
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    let before = a.requests_received();
    for number in 0..20 {
        world.ask(&format!("r{number}"), "/safe/").await?;
    }
    assert_that!(a.requests_received(), eq(before));
    // A newer one does: the endpoint had lapsed and is well.
    world.store.list(a.id(), &beat(&a, "ready", 8));
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    for number in 0..20 {
        world.ask(&format!("back-{number}"), "/safe/").await?;
    }
    assert_that!(a.requests_received(), gt(before));
    Ok(())
}
