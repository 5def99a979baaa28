//! A version of an adapter serves for a bounded time after the first newer one, and no longer.
//!
//! Seen: requests began on version 1 of an adapter 7 s to 19 s after version 2 was in force, with a bound
//! of 5 s. How it came about: loads of version 2 came through late, so that endpoints still held version
//! 1 when version 3 was declared, or when an instance started again. Cause: an instance remembered one
//! declaration for each adapter, with the moment at which it had read it, so that every newer version,
//! every start and every read after an outage began the time of grace of all older ones anew; and an
//! instance that had not heard counted from its own send. Proof: the traces of such requests; the log of
//! the instance that sent them has a declaration of a newer version, or its own start, just before.

mod common;

use std::time::Duration;

use anyhow::Result;
use common::{World, runs};
use googletest::prelude::*;
use http::StatusCode;
use ploverwick_platform_standin::endpoint::Endpoint;
use ploverwick_platform_standin::settings;
use ploverwick_platform_standin::store::Store;
use serde_json::json;

/// The bound of the tests that wait until it is over.
const BOUND: Duration = Duration::from_secs(2);

/// Starts an engine of the store's list that holds the first version of `a1`.
async fn holder(store: &Store) -> Result<Endpoint> {
    let engine = Endpoint::start("i-a", "lm", Some("base"), "d1").await?;
    let mut entry = engine.entry("ready");
    store.list(engine.id(), &entry);
    let mut config = settings::config(1);
    for route in config["routes"].as_array_mut().into_iter().flatten() {
        route["timeout_ms"] = 12_000.into();
    }
    store.configure(&config);
    let mut world = World::of(store.clone(), true).await?;
    world.until_ready(true).await?;
    while world.stream("warm", "/live/", "a1").await?.status != StatusCode::OK {}
    world.stop();
    world.served.await?;
    entry["models"][0]["adapters"] = json!(["a1@1"]);
    store.list(engine.id(), &entry);
    engine.busy(true);
    Ok(engine)
}

async fn world(store: &Store) -> Result<World> {
    let world = World::changed(store.clone(), |settings| settings.version = BOUND).await?;
    world.until_ready(true).await?;
    Ok(world)
}

/// What an older version is for: it serves while the newest is being loaded.
#[tokio::test]
async fn older_serves_meanwhile() -> Result<()> {
    let store = Store::start().await?;
    let engine = holder(&store).await?;
    let world = World::of(store.clone(), true).await?;
    world.until_ready(true).await?;
    world.store.declare("base", "a1", 2);
    tokio::time::sleep(Duration::from_millis(300)).await;
    let got = world.stream("r1", "/live/", "a1").await?;
    assert_that!(got.status, eq(StatusCode::OK));
    assert_that!(runs(&[&engine], "r1"), eq(1));
    Ok(())
}

#[tokio::test]
async fn replaced_stays_replaced() -> Result<()> {
    let store = Store::start().await?;
    let engine = holder(&store).await?;
    let world = world(&store).await?;
    store.declare("base", "a1", 2);
    // The time of version 1 runs out while no load of version 2 comes through.
    tokio::time::sleep(BOUND + Duration::from_millis(200)).await;
    store.declare("base", "a1", 3);
    tokio::time::sleep(Duration::from_millis(100)).await;
    let got = world.stream("r1", "/live/", "a1").await?;
    assert_that!(runs(&[&engine], "r1"), eq(0));
    assert_that!(got.status, eq(StatusCode::SERVICE_UNAVAILABLE));
    Ok(())
}

#[tokio::test]
async fn start_renews_nothing() -> Result<()> {
    let store = Store::start().await?;
    let engine = holder(&store).await?;
    store.declare("base", "a1", 2);
    // Nothing tells the instance that starts now how long ago that was.
    let world = world(&store).await?;
    let got = world.stream("r1", "/live/", "a1").await?;
    assert_that!(runs(&[&engine], "r1"), eq(0));
    assert_that!(got.status, eq(StatusCode::SERVICE_UNAVAILABLE));
    Ok(())
}
