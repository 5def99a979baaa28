//! An endpoint may start again under the identifier that it had. It then holds and knows nothing of
//! before: what was believed of its earlier life, and late news of that life, say nothing of it.

mod common;

use std::time::Duration;

use anyhow::Result;
use common::{HOST, World};
use googletest::prelude::*;
use http::StatusCode;
use ploverwick_platform_standin::client::{self, ClientRequest};
use ploverwick_platform_standin::endpoint::Endpoint;

/// Longer than two reads of the list with their pauses.
const HEARD: Duration = Duration::from_millis(2_400);

async fn status(world: &World, id: &str) -> Result<StatusCode> {
    let got = client::send(world.front, &ClientRequest::new(id, HOST, "/safe/")).await?;
    Ok(got.status)
}

/// The first life drained; the second one is ready and counts from one.
#[tokio::test]
async fn serves_after_draining() -> Result<()> {
    let endpoint = Endpoint::start("i-a", "app", None, "d1").await?;
    endpoint.restart(1_000);
    let world = World::with(&[&endpoint]).await?;
    world.store.list("i-a", &endpoint.entry("ready"));
    world.store.list("i-a", &endpoint.entry("draining"));
    tokio::time::sleep(HEARD).await;
    assert_that!(
        status(&world, "left").await?,
        eq(StatusCode::SERVICE_UNAVAILABLE)
    );
    endpoint.restart(2_000);
    world.store.list("i-a", &endpoint.entry("ready"));
    tokio::time::sleep(HEARD).await;
    assert_that!(status(&world, "second").await?, eq(StatusCode::OK));
    Ok(())
}

/// A heartbeat of the first life says nothing of the second one, however high its number.
#[tokio::test]
async fn first_life_is_over() -> Result<()> {
    let endpoint = Endpoint::start("i-a", "app", None, "d1").await?;
    endpoint.restart(1_000);
    let world = World::with(&[&endpoint]).await?;
    for _ in 0..5 {
        world.store.list("i-a", &endpoint.entry("ready"));
    }
    let late = endpoint.entry("ready");
    endpoint.restart(2_000);
    world.store.list("i-a", &endpoint.entry("ready"));
    tokio::time::sleep(HEARD).await;
    world.store.list("i-a", &endpoint.entry("draining"));
    tokio::time::sleep(HEARD).await;
    world.store.list("i-a", &late);
    tokio::time::sleep(HEARD).await;
    let before = endpoint.requests_received();
    assert_that!(
        status(&world, "late").await?,
        eq(StatusCode::SERVICE_UNAVAILABLE)
    );
    assert_that!(endpoint.requests_received(), eq(before));
    Ok(())
}

/// Orders of the second life count from zero, and what the first one held must be loaded again.
#[tokio::test]
async fn loads_again() -> Result<()> {
    let endpoint = Endpoint::start("i-a", "lm", Some("base"), "d1").await?;
    endpoint.restart(1_000);
    let world = World::with(&[&endpoint]).await?;
    for adapter in ["a1", "a2"] {
        let got = world.stream(adapter, "/live/", adapter).await?;
        assert_that!(got.status, eq(StatusCode::OK));
    }
    endpoint.restart(2_000);
    world.store.list("i-a", &endpoint.entry("ready"));
    tokio::time::sleep(HEARD).await;
    let got = world.stream("again", "/live/", "a2").await?;
    assert_that!(got.status, eq(StatusCode::OK));
    assert_that!(endpoint.held(), unordered_elements_are![eq("a2@1")]);
    Ok(())
}
