//! A process that starts again does not know which base models its earlier life, and those that were
//! killed with it, began to load: for a window it begins none.
//!
//! What was seen: nothing yet; the code started each process with an empty count. How it would
//! come about: a failure domain begins its part of the loads that a window allows, its instances are
//! killed, and the new placer begins as many again in the same window.

mod common;

use std::time::Duration;

use anyhow::Result;
use common::World;
use googletest::prelude::*;
use http::StatusCode;
use ploverwick_platform::settings::Settings;
use ploverwick_platform_standin::endpoint::Endpoint;
use ploverwick_platform_standin::settings;
use ploverwick_platform_standin::store::Store;

/// Starts an instance before an endpoint that has its base model and one that has none.
async fn started(change: impl FnOnce(&mut Settings)) -> Result<(World, Endpoint)> {
    let store = Store::start().await?;
    let whole = Endpoint::start("i-a", "lm", Some("base"), "d1").await?;
    let empty = Endpoint::start("i-b", "lm", None, "d1").await?;
    for endpoint in [&whole, &empty] {
        store.list(endpoint.id(), &endpoint.entry("ready"));
    }
    store.configure(&settings::config(1));
    let world = World::changed(store, |settings| {
        settings.calm = settings.lease;
        settings.load_window = Duration::from_mins(10);
        change(settings);
    })
    .await?;
    world.until_ready(true).await?;
    Ok((world, empty))
}

async fn until_ordered(endpoint: &Endpoint) {
    while endpoint.tokens().is_empty() {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

#[tokio::test]
async fn restart_waits() -> Result<()> {
    let (world, empty) = started(|settings| settings.first_start = false).await?;
    // Adapters are placed meanwhile, so that orders are given.
    let got = world.stream("r1", "/live/", "a1").await?;
    assert_that!(got.status, eq(StatusCode::OK));
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_that!(empty.tokens(), is_empty());
    Ok(())
}

#[tokio::test]
async fn window_ends() -> Result<()> {
    let (_world, empty) = started(|settings| {
        settings.first_start = false;
        settings.load_window = Duration::from_millis(300);
    })
    .await?;
    until_ordered(&empty).await;
    Ok(())
}

#[tokio::test]
async fn first_start_loads() -> Result<()> {
    let (_world, empty) = started(|_| {}).await?;
    until_ordered(&empty).await;
    Ok(())
}
