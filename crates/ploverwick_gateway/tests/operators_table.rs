//! The operators' table acts on the platform's path.

mod common;

use anyhow::Result;
use common::World;
use googletest::prelude::*;
use http::StatusCode;
use ploverwick_gateway::table;
use ploverwick_platform_standin::endpoint::Endpoint;

async fn world() -> Result<(World, Endpoint)> {
    let engine = Endpoint::start("i-a", "lm", Some("base"), "d1").await?;
    let world = World::with(&[&engine]).await?;
    Ok((world, engine))
}

/// Asks until an answer fits; the table is in force soon after its publication.
async fn until(world: &World, adapter: &str, fits: impl Fn(&str) -> bool) -> Result<()> {
    for number in 0.. {
        let id = format!("{adapter}-{number}");
        world.stream(&id, "/live/", adapter).await?;
        if fits(&id) {
            return Ok(());
        }
    }
    unreachable!("the numbers do not end")
}

#[tokio::test]
async fn none_allows_all() -> Result<()> {
    let (world, engine) = world().await?;
    let got = world.stream("r1", "/live/", "a1").await?;
    assert_that!(got.status, eq(StatusCode::OK));
    assert_that!(engine.runs()[0].priority, some(eq(1)));
    let published = table::show(world.store.address()).await?;
    assert_that!(published.text, none());
    Ok(())
}

#[tokio::test]
async fn priority_is_told() -> Result<()> {
    let (world, engine) = world().await?;
    let text = "name,priority\na1,9\n";
    table::publish(world.store.address(), text, 0).await?;
    until(&world, "a1", |id| {
        let runs = engine.runs();
        let run = runs.iter().find(|run| run.id == id);
        run.is_some_and(|run| run.priority == Some(0))
    })
    .await
}

#[tokio::test]
async fn limit_refuses() -> Result<()> {
    let (world, engine) = world().await?;
    let text = "name,limit\na1,1\n";
    table::publish(world.store.address(), text, 0).await?;
    until(&world, "a1", |id| {
        engine.runs().iter().all(|run| run.id != id)
    })
    .await?;
    let got = world.stream("refused", "/live/", "a1").await?;
    assert_that!(got.status, eq(StatusCode::TOO_MANY_REQUESTS));
    assert_that!(got.retry_after, some(anything()));
    let got = world.stream("other", "/live/", "a2").await?;
    assert_that!(got.status, eq(StatusCode::OK));
    Ok(())
}

#[tokio::test]
async fn two_operators() -> Result<()> {
    let (world, _engine) = world().await?;
    let store = world.store.address();
    let version = table::publish(store, "name,weight\na1,2\n", 0).await?;
    let late = table::publish(store, "name,weight\na1,3\n", 0).await;
    assert_that!(
        late.map_err(|e| e.to_string()),
        err(contains_substring("another table"))
    );
    table::publish(store, "name,weight\na1,4\n", version).await?;
    let published = table::show(store).await?;
    assert_that!(published.text, some(contains_substring("a1,4")));
    Ok(())
}

#[tokio::test]
async fn faults_are_listed() -> Result<()> {
    let (world, _engine) = world().await?;
    let bad = table::publish(world.store.address(), "name,weight\na1,-3\n", 0).await;
    assert_that!(
        bad.map_err(|e| e.to_string()),
        err(contains_substring("faults"))
    );
    assert_that!(table::show(world.store.address()).await?.text, none());
    Ok(())
}

#[tokio::test]
async fn long_table() -> Result<()> {
    let (world, _engine) = world().await?;
    let rows = (0..15_000).map(|n| format!("a{n},{},{}\n", n % 7 + 1, n % 10));
    let text: String = std::iter::once("name,weight,priority\n".to_owned())
        .chain(rows)
        .collect();
    table::publish(world.store.address(), &text, 0).await?;
    let published = table::show(world.store.address()).await?;
    assert_that!(published.text, some(eq(&text)));
    Ok(())
}
