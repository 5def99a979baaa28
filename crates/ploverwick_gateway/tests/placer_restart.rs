//! A restarted placer resumes immediately if no other instance was the placer meanwhile, or if the leases of its
//! earlier process do not count as alternating.

mod common;

use std::time::Duration;

use anyhow::Result;
use common::Gateway;
use googletest::prelude::*;
use http::StatusCode;
use ploverwick_platform::INSTANCE_TOPIC;
use ploverwick_platform::settings::Settings;
use ploverwick_platform_standin::endpoint::Endpoint;
use ploverwick_platform_standin::settings;
use ploverwick_platform_standin::store::Store;

/// Starts an instance during an outage of the store. Its entry in the instance list contains the fencing token of
/// its earlier process, if it had one.
async fn restart(token: Option<u64>) -> Result<(Gateway, Endpoint)> {
    restart_with(token, |_| {}).await
}

async fn restart_with(
    token: Option<u64>,
    change: impl FnOnce(&mut Settings),
) -> Result<(Gateway, Endpoint)> {
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
    let gateway = Gateway::with_settings(store, |settings| {
        settings.first_start = false;
        change(settings);
    })
    .await?;
    tokio::time::sleep(Duration::from_millis(200)).await;
    gateway.store.set_unavailable(false);
    gateway.wait_until_ready(true).await?;
    Ok((gateway, engine))
}

/// Guards against a process that starts during an outage of the store and gives up reading its earlier token, so that
/// no instance loads adapters for a lease of three seconds. The scenario `scale-2` showed this failure.
#[tokio::test]
async fn same_token_resumes() -> Result<()> {
    // In the stand-in store, the first member of a group has generation 1.
    let (gateway, _engine) = restart(Some(1)).await?;
    let got = gateway.stream("r1", "/live/", "a1").await?;
    assert_that!(got.status, eq(StatusCode::OK));
    Ok(())
}

#[tokio::test]
async fn other_token_waits() -> Result<()> {
    let (gateway, engine) = restart(Some(7)).await?;
    let got = gateway.stream("r1", "/live/", "a1").await?;
    assert_that!(got.status, eq(StatusCode::SERVICE_UNAVAILABLE));
    assert_that!(engine.tokens(), is_empty());
    Ok(())
}

#[tokio::test]
async fn no_token_waits() -> Result<()> {
    let (gateway, _engine) = restart(None).await?;
    let got = gateway.stream("r1", "/live/", "a1").await?;
    assert_that!(got.status, eq(StatusCode::SERVICE_UNAVAILABLE));
    Ok(())
}

#[tokio::test]
async fn resumes_if_leases_do_not_count() -> Result<()> {
    let min_stable = |settings: &mut Settings| settings.calm = settings.lease;
    let (gateway, _engine) = restart_with(Some(7), min_stable).await?;
    let got = gateway.stream("r1", "/live/", "a1").await?;
    assert_that!(got.status, eq(StatusCode::OK));
    Ok(())
}
