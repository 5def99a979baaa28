//! A process that has just started must not admit requests over the limits of the table.
//!
//! Guards against exceeding a fleet-wide limit when instances restart, one by one or all at once, while demand is above
//! the limit. A process tracks what it used of its share in memory, so its successor started with a full share:
//! token buckets were full after each start and each publication of a table, an instance divided the limit by one until
//! it had read the instance list, and no limit applied until it had read the table.

mod common;

use std::time::Duration;

use anyhow::Result;
use common::Gateway;
use googletest::prelude::*;
use http::StatusCode;
use ploverwick_gateway::table;
use ploverwick_platform::{INSTANCE_TOPIC, TABLE_TOPIC};
use ploverwick_platform_standin::client::ClientResponse;
use ploverwick_platform_standin::endpoint::Endpoint;
use ploverwick_platform_standin::settings;
use ploverwick_platform_standin::store::Store;

/// A table with a limit of one request per hundred seconds, so that no test reaches the second one.
const LIMITED_TABLE: &str = "name,limit\na1,0.01\n";
/// The list entry of the only instance.
const INSTANCE_ENTRY: &[u8] = br#"{"ip":"127.0.0.1","domain":"d1","token":1}"#;

/// Starts a store with a table that limits `a1`, and an engine.
async fn start_limited() -> Result<(Store, Endpoint)> {
    let store = Store::start().await?;
    let engine = Endpoint::start("i-a", "lm", Some("base"), "d1").await?;
    store.list(engine.id(), &engine.entry("ready"));
    store.configure(&settings::config(1));
    table::publish(store.address(), LIMITED_TABLE, 0).await?;
    Ok((store, engine))
}

/// Sends requests for an adapter until the status is not 503, which the gateway returns while it lacks information.
async fn first_definite_response(
    gateway: &Gateway,
    id: &str,
    adapter: &str,
) -> Result<ClientResponse> {
    for number in 0.. {
        let got = gateway
            .stream(&format!("{id}-{number}"), "/live/", adapter)
            .await?;
        if got.status != StatusCode::SERVICE_UNAVAILABLE {
            return Ok(got);
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    unreachable!("the range is infinite")
}

/// Sends requests for `a1` until one is admitted.
async fn wait_until_admitted(gateway: &Gateway) -> Result<()> {
    for number in 0.. {
        let id = format!("first-{number}");
        if gateway.stream(&id, "/live/", "a1").await?.status == StatusCode::OK {
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    unreachable!("the range is infinite")
}

#[tokio::test]
async fn restart_admits_nothing() -> Result<()> {
    let (store, engine) = start_limited().await?;
    store.write(INSTANCE_TOPIC, "one", INSTANCE_ENTRY);
    let gateway = Gateway::start(store, false).await?;
    gateway.wait_until_ready(true).await?;
    let got = first_definite_response(&gateway, "r", "a1").await?;
    assert_that!(got.status, eq(StatusCode::TOO_MANY_REQUESTS));
    assert_that!(engine.runs(), is_empty());
    Ok(())
}

#[tokio::test]
async fn publication_admits_nothing() -> Result<()> {
    let (store, engine) = start_limited().await?;
    let gateway = Gateway::start(store, true).await?;
    gateway.wait_until_ready(true).await?;
    wait_until_admitted(&gateway).await?;
    let text = "name,limit,priority\na1,0.01,\na2,,9\n";
    let store = gateway.store.address();
    let version = table::show(store).await?.version;
    table::publish(store, text, version).await?;
    for number in 0.. {
        let id = format!("other-{number}");
        gateway.stream(&id, "/live/", "a2").await?;
        let runs = engine.runs();
        if runs
            .iter()
            .any(|run| run.id == id && run.priority == Some(0))
        {
            break;
        }
    }
    let got = gateway.stream("again", "/live/", "a1").await?;
    assert_that!(got.status, eq(StatusCode::TOO_MANY_REQUESTS));
    Ok(())
}

#[tokio::test]
async fn instance_list_is_awaited() -> Result<()> {
    let (store, engine) = start_limited().await?;
    store.set_unreadable(INSTANCE_TOPIC, true);
    let gateway = Gateway::start(store, true).await?;
    gateway.wait_until_ready(true).await?;
    let got = first_definite_response(&gateway, "r", "a1").await?;
    assert_that!(got.status, eq(StatusCode::TOO_MANY_REQUESTS));
    assert_that!(engine.runs(), is_empty());
    gateway.store.set_unreadable(INSTANCE_TOPIC, false);
    wait_until_admitted(&gateway).await?;
    Ok(())
}

#[tokio::test]
async fn table_is_awaited() -> Result<()> {
    let (store, engine) = start_limited().await?;
    store.set_unreadable(TABLE_TOPIC, true);
    let gateway = Gateway::start(store, true).await?;
    // Long enough to read all other topics.
    tokio::time::sleep(Duration::from_millis(500)).await;
    let got = gateway.stream("r1", "/live/", "a1").await?;
    assert_that!(got.status, eq(StatusCode::SERVICE_UNAVAILABLE));
    assert_that!(engine.runs(), is_empty());
    gateway.store.set_unreadable(TABLE_TOPIC, false);
    wait_until_admitted(&gateway).await?;
    Ok(())
}
