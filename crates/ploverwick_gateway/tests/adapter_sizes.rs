//! Adapters are loaded as far as the memory of an endpoint holds them.

mod common;

use anyhow::Result;
use common::{Gateway, HOST};
use googletest::prelude::*;
use http::StatusCode;
use ploverwick_platform_standin::client::{self, ClientRequest};
use ploverwick_platform_standin::endpoint::Endpoint;
use ploverwick_platform_standin::settings;
use ploverwick_platform_standin::store::Store;
use serde_json::{Value, json};

const REQUESTS: usize = 20;
/// Twice as many as fit.
const ADAPTERS: usize = 4;

/// Returns a configuration in which the memory holds two adapters of one model and none of another, and there are three slots.
fn config() -> Value {
    let mut config = settings::config(1);
    let engine = &mut config["services"][1]["engine"];
    engine["weights_mb"] = json!(1_350);
    engine["models"] = json!([
        {"name": "base", "weights_mb": 1_000, "adapter_mb": 160},
        {"name": "huge", "weights_mb": 1_000, "adapter_mb": 400},
    ]);
    config
}

async fn start() -> Result<(Gateway, Endpoint)> {
    let endpoint = Endpoint::start("i-lm", "lm", Some("base"), "d1").await?;
    let gateway = Gateway::with_settings(Store::start().await?, |_| {}).await?;
    gateway.store.list(endpoint.id(), &endpoint.entry("ready"));
    gateway.store.configure(&config());
    gateway.wait_until_ready(true).await?;
    Ok((gateway, endpoint))
}

/// Guards against orders to load more adapters than the memory holds, where there are slots for them.
#[gtest]
#[tokio::test]
async fn loads_stay_within_memory() -> Result<()> {
    let (gateway, endpoint) = start().await?;
    let mut served = 0;
    for number in 0..REQUESTS {
        let adapter = format!("a{}", number % ADAPTERS);
        let got = gateway
            .stream(&format!("r{number}"), "/live/x", &adapter)
            .await?;
        served += usize::from(got.status == StatusCode::OK);
        expect_that!(endpoint.held().len(), le(2));
    }
    // The first ones may arrive before the endpoint is listed.
    expect_that!(served, gt(REQUESTS / 2));
    Ok(())
}

/// Guards against a request that waits for an adapter that no endpoint can hold, while others are served.
#[gtest]
#[tokio::test]
async fn oversized_adapters_are_refused() -> Result<()> {
    let (gateway, _endpoint) = start().await?;
    while gateway.stream("warm", "/live/x", "a1").await?.status != StatusCode::OK {}
    let request = ClientRequest::new("r1", HOST, "/live/x");
    let request = request.model("huge/a1");
    let got = client::send(gateway.front, &request).await?;
    expect_that!(got.code, some(eq("3007")));
    expect_that!(got.body, contains_substring("does not fit"));
    Ok(())
}
