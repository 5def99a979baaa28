//! The limit on loads of base models must hold across restarts.
//!
//! Guards against a new placer that starts as many loads again in the same window, after all instances of its
//! failure domain were killed. Each process started with an empty count of loads. Because it does not know which
//! loads its earlier process and the other killed instances started, it must start none for a whole window.

mod common;

use std::time::Duration;

use anyhow::Result;
use common::Gateway;
use googletest::prelude::*;
use http::StatusCode;
use ploverwick_platform::settings::Settings;
use ploverwick_platform_standin::endpoint::Endpoint;
use ploverwick_platform_standin::settings;
use ploverwick_platform_standin::store::Store;

/// Starts an instance, an endpoint that has loaded its base model and one that has not; returns the latter.
async fn start(change: impl FnOnce(&mut Settings)) -> Result<(Gateway, Endpoint)> {
    let store = Store::start().await?;
    let loaded = Endpoint::start("i-a", "lm", Some("base"), "d1").await?;
    let empty = Endpoint::start("i-b", "lm", None, "d1").await?;
    for endpoint in [&loaded, &empty] {
        store.list(endpoint.id(), &endpoint.entry("ready"));
    }
    store.configure(&settings::config(1));
    let gateway = Gateway::with_settings(store, |settings| {
        settings.calm = settings.lease;
        settings.load_window = Duration::from_mins(10);
        change(settings);
    })
    .await?;
    gateway.wait_until_ready(true).await?;
    Ok((gateway, empty))
}

async fn wait_until_ordered(endpoint: &Endpoint) {
    while endpoint.tokens().is_empty() {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

#[tokio::test]
async fn restart_awaits_window() -> Result<()> {
    let (gateway, empty) = start(|settings| settings.first_start = false).await?;
    // Adapters are still placed meanwhile, which shows that orders are sent.
    let got = gateway.stream("r1", "/live/", "a1").await?;
    assert_that!(got.status, eq(StatusCode::OK));
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_that!(empty.tokens(), is_empty());
    Ok(())
}

#[tokio::test]
async fn loads_after_window() -> Result<()> {
    let (_gateway, empty) = start(|settings| {
        settings.first_start = false;
        settings.load_window = Duration::from_millis(300);
    })
    .await?;
    wait_until_ordered(&empty).await;
    Ok(())
}

#[tokio::test]
async fn first_start_loads() -> Result<()> {
    let (_gateway, empty) = start(|_| {}).await?;
    wait_until_ordered(&empty).await;
    Ok(())
}
