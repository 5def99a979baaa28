//! A placer that was restarted goes on at once if nobody else had its right in between, or if it
//! comes back too late for its turns to count.

mod common;

use std::time::Duration;

use anyhow::Result;
use common::World;
use googletest::prelude::*;
use http::StatusCode;
use ploverwick_platform::INSTANCE_TOPIC;
use ploverwick_platform::settings::Settings;
use ploverwick_platform_standin::endpoint::Endpoint;
use ploverwick_platform_standin::settings;
use ploverwick_platform_standin::store::Store;

/// Restarts an instance whose line says that it had this token, while the store is away.
async fn restarted(token: Option<u64>) -> Result<(World, Endpoint)> {
    restarted_with(token, |_| {}).await
}

async fn restarted_with(
    token: Option<u64>,
    change: impl FnOnce(&mut Settings),
) -> Result<(World, Endpoint)> {
    let store = Store::start().await?;
    let engine = Endpoint::start("i-a", "lm", Some("base"), "d1").await?;
    store.list(engine.id(), &engine.entry("ready"));
    store.configure(&settings::config(1));
    let line = match token {
        Some(token) => format!(r#"{{"ip":"127.0.0.1","domain":"d1","token":{token}}}"#),
        None => r#"{"ip":"127.0.0.1","domain":"d1"}"#.to_owned(),
    };
    store.write(INSTANCE_TOPIC, "one", line.as_bytes());
    store.set_unavailable(true);
    let world = World::changed(store, |settings| {
        settings.first_start = false;
        change(settings);
    })
    .await?;
    tokio::time::sleep(Duration::from_millis(200)).await;
    world.store.set_unavailable(false);
    world.until_ready(true).await?;
    Ok((world, engine))
}

/// Found by scale-2: a start while the store was away gave up on recalling its token, and nobody
/// loaded adapters for a turn of three seconds.
#[tokio::test]
async fn same_token_goes_on() -> Result<()> {
    // The stand-in's first member of a group has generation 1.
    let (world, _engine) = restarted(Some(1)).await?;
    let got = world.stream("r1", "/live/", "a1").await?;
    assert_that!(got.status, eq(StatusCode::OK));
    Ok(())
}

#[tokio::test]
async fn other_token_waits() -> Result<()> {
    let (world, engine) = restarted(Some(7)).await?;
    let got = world.stream("r1", "/live/", "a1").await?;
    assert_that!(got.status, eq(StatusCode::SERVICE_UNAVAILABLE));
    assert_that!(engine.tokens(), is_empty());
    Ok(())
}

#[tokio::test]
async fn no_token_waits() -> Result<()> {
    let (world, _engine) = restarted(None).await?;
    let got = world.stream("r1", "/live/", "a1").await?;
    assert_that!(got.status, eq(StatusCode::SERVICE_UNAVAILABLE));
    Ok(())
}

#[tokio::test]
async fn calm_restart_goes_on() -> Result<()> {
    let calm = |settings: &mut Settings| settings.calm = settings.lease;
    let (world, _engine) = restarted_with(Some(7), calm).await?;
    let got = world.stream("r1", "/live/", "a1").await?;
    assert_that!(got.status, eq(StatusCode::OK));
    Ok(())
}
