//! Publication and enforcement of the operators' table.

mod common;

use anyhow::Result;
use common::Gateway;
use googletest::prelude::*;
use http::StatusCode;
use ploverwick_gateway::table;
use ploverwick_platform_standin::endpoint::Endpoint;

async fn start_gateway() -> Result<(Gateway, Endpoint)> {
    let engine = Endpoint::start("i-a", "lm", Some("base"), "d1").await?;
    let gateway = Gateway::with_endpoints(&[&engine]).await?;
    Ok((gateway, engine))
}

/// Sends requests until `fits` accepts the identifier of one: the table is in force soon after its publication.
async fn request_until(
    gateway: &Gateway,
    adapter: &str,
    fits: impl Fn(&str) -> bool,
) -> Result<()> {
    for number in 0.. {
        let id = format!("{adapter}-{number}");
        gateway.stream(&id, "/live/", adapter).await?;
        if fits(&id) {
            return Ok(());
        }
    }
    unreachable!("the range is infinite")
}

#[tokio::test]
async fn no_table_allows_all() -> Result<()> {
    let (gateway, engine) = start_gateway().await?;
    let got = gateway.stream("r1", "/live/", "a1").await?;
    assert_that!(got.status, eq(StatusCode::OK));
    assert_that!(engine.runs()[0].priority, some(eq(1)));
    let published = table::show(gateway.store.address()).await?;
    assert_that!(published.text, none());
    Ok(())
}

#[tokio::test]
async fn priority_is_applied() -> Result<()> {
    let (gateway, engine) = start_gateway().await?;
    let text = "name,priority\na1,9\n";
    table::publish(gateway.store.address(), text, 0).await?;
    request_until(&gateway, "a1", |id| {
        let runs = engine.runs();
        let run = runs.iter().find(|run| run.id == id);
        run.is_some_and(|run| run.priority == Some(0))
    })
    .await
}

#[tokio::test]
async fn limit_is_enforced() -> Result<()> {
    let (gateway, engine) = start_gateway().await?;
    let text = "name,limit\na1,1\n";
    table::publish(gateway.store.address(), text, 0).await?;
    request_until(&gateway, "a1", |id| {
        engine.runs().iter().all(|run| run.id != id)
    })
    .await?;
    let got = gateway.stream("refused", "/live/", "a1").await?;
    assert_that!(got.status, eq(StatusCode::TOO_MANY_REQUESTS));
    assert_that!(got.retry_after, some(anything()));
    let got = gateway.stream("other", "/live/", "a2").await?;
    assert_that!(got.status, eq(StatusCode::OK));
    Ok(())
}

#[tokio::test]
async fn concurrent_publication_is_rejected() -> Result<()> {
    let (gateway, _engine) = start_gateway().await?;
    let store = gateway.store.address();
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
async fn invalid_table_is_rejected() -> Result<()> {
    let (gateway, _engine) = start_gateway().await?;
    let bad = table::publish(gateway.store.address(), "name,weight\na1,-3\n", 0).await;
    assert_that!(
        bad.map_err(|e| e.to_string()),
        err(contains_substring("faults"))
    );
    assert_that!(table::show(gateway.store.address()).await?.text, none());
    Ok(())
}

#[tokio::test]
async fn long_table_is_published() -> Result<()> {
    let (gateway, _engine) = start_gateway().await?;
    let rows = (0..15_000).map(|n| format!("a{n},{},{}\n", n % 7 + 1, n % 10));
    let text: String = std::iter::once("name,weight,priority\n".to_owned())
        .chain(rows)
        .collect();
    table::publish(gateway.store.address(), &text, 0).await?;
    let published = table::show(gateway.store.address()).await?;
    assert_that!(published.text, some(eq(&text)));
    Ok(())
}
