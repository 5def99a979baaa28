//! A process that has just started knows neither the table, nor who shares its limits, nor what its
//! earlier life spent of them, and admits nothing on the strength of that.
//!
//! Seen: a bound over the whole system was passed when instances were restarted, one after the other
//! or at once, while demand stayed above the bound. How it came about: each process keeps in its own
//! memory what it spent of its share, and its successor began with a whole share. Cause here: buckets
//! began full at each start and after each publication; before the instance list was read, an
//! instance divided a limit by one; before the table was read, there were no limits at all. Proof:
//! each test below admits a request that the limit does not cover on code that believes so.

mod common;

use std::time::Duration;

use anyhow::Result;
use common::World;
use googletest::prelude::*;
use http::StatusCode;
use ploverwick_gateway::table;
use ploverwick_platform::{INSTANCE_TOPIC, TABLE_TOPIC};
use ploverwick_platform_standin::client::ClientResponse;
use ploverwick_platform_standin::endpoint::Endpoint;
use ploverwick_platform_standin::settings;
use ploverwick_platform_standin::store::Store;

/// A limit of one request in a hundred seconds: no test lives to see the second one.
const RARE: &str = "name,limit\na1,0.01\n";
const LINE: &[u8] = br#"{"ip":"127.0.0.1","domain":"d1","token":1}"#;

/// Makes a store with an engine and a table that limits `a1`.
async fn limited() -> Result<(Store, Endpoint)> {
    let store = Store::start().await?;
    let engine = Endpoint::start("i-a", "lm", Some("base"), "d1").await?;
    store.list(engine.id(), &engine.entry("ready"));
    store.configure(&settings::config(1));
    table::publish(store.address(), RARE, 0).await?;
    Ok((store, engine))
}

/// Asks for an adapter until there is an answer that is not "try again soon" for want of knowledge.
async fn settled(world: &World, id: &str, adapter: &str) -> Result<ClientResponse> {
    for number in 0.. {
        let got = world
            .stream(&format!("{id}-{number}"), "/live/", adapter)
            .await?;
        if got.status != StatusCode::SERVICE_UNAVAILABLE {
            return Ok(got);
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    unreachable!("the numbers do not end")
}

/// Asks for `a1` until one request is admitted.
async fn admitted(world: &World) -> Result<()> {
    for number in 0.. {
        let id = format!("first-{number}");
        if world.stream(&id, "/live/", "a1").await?.status == StatusCode::OK {
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    unreachable!("the numbers do not end")
}

#[tokio::test]
async fn restart_spends_nothing() -> Result<()> {
    let (store, engine) = limited().await?;
    store.write(INSTANCE_TOPIC, "one", LINE);
    let world = World::of(store, false).await?;
    world.until_ready(true).await?;
    let got = settled(&world, "r", "a1").await?;
    assert_that!(got.status, eq(StatusCode::TOO_MANY_REQUESTS));
    assert_that!(engine.runs(), is_empty());
    Ok(())
}

#[tokio::test]
async fn publication_spends_nothing() -> Result<()> {
    let (store, engine) = limited().await?;
    let world = World::of(store, true).await?;
    world.until_ready(true).await?;
    admitted(&world).await?;
    let text = "name,limit,priority\na1,0.01,\na2,,9\n";
    let store = world.store.address();
    let version = table::show(store).await?.version;
    table::publish(store, text, version).await?;
    for number in 0.. {
        let id = format!("other-{number}");
        world.stream(&id, "/live/", "a2").await?;
        let runs = engine.runs();
        if runs
            .iter()
            .any(|run| run.id == id && run.priority == Some(0))
        {
            break;
        }
    }
    let got = world.stream("again", "/live/", "a1").await?;
    assert_that!(got.status, eq(StatusCode::TOO_MANY_REQUESTS));
    Ok(())
}

#[tokio::test]
async fn sharers_are_awaited() -> Result<()> {
    let (store, engine) = limited().await?;
    store.set_unreadable(INSTANCE_TOPIC, true);
    let world = World::of(store, true).await?;
    world.until_ready(true).await?;
    let got = settled(&world, "r", "a1").await?;
    assert_that!(got.status, eq(StatusCode::TOO_MANY_REQUESTS));
    assert_that!(engine.runs(), is_empty());
    world.store.set_unreadable(INSTANCE_TOPIC, false);
    admitted(&world).await?;
    Ok(())
}

#[tokio::test]
async fn table_is_awaited() -> Result<()> {
    let (store, engine) = limited().await?;
    store.set_unreadable(TABLE_TOPIC, true);
    let world = World::of(store, true).await?;
    // Long enough for all other topics to be read.
    tokio::time::sleep(Duration::from_millis(500)).await;
    let got = world.stream("r1", "/live/", "a1").await?;
    assert_that!(got.status, eq(StatusCode::SERVICE_UNAVAILABLE));
    assert_that!(engine.runs(), is_empty());
    world.store.set_unreadable(TABLE_TOPIC, false);
    admitted(&world).await?;
    Ok(())
}
