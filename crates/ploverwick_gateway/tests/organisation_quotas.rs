//! Enforcement of the quotas of organisations over all instances.

mod common;

use std::net::Ipv4Addr;
use std::time::Duration;

use anyhow::Result;
use common::{Gateway, HOST, Instance, count_runs, free_port};
use googletest::prelude::*;
use http::StatusCode;
use ploverwick_platform_standin::client::{self, ClientRequest, ClientResponse};
use ploverwick_platform_standin::endpoint::{Action, Endpoint};
use ploverwick_platform_standin::settings;
use ploverwick_platform_standin::store::Store;
use serde_json::{Value, json};

const KEY: &str = "the-key-of-one";
/// The quota window of these tests.
const WINDOW: Duration = Duration::from_secs(1);

/// Returns a quota of this many tokens in any window, half of them as a burst.
fn quota(tokens: u32) -> Value {
    let half = f64::from(tokens) / 2.0;
    json!({"rate_per_s": half, "burst": half, "unit": "tokens", "plain_tokens": 100})
}

fn config(version: u64, quota: Value) -> Value {
    let mut config = settings::config(version);
    settings::add_organisations(&mut config, &[("one", &[KEY], quota)]);
    config
}

/// Starts a gateway and an endpoint, and waits until requests with the key are served.
async fn start_gateway(quota: Value) -> Result<(Gateway, Endpoint)> {
    let endpoint = Endpoint::start("i-a", "app", None, "d1").await?;
    let store = Store::start().await?;
    store.list(endpoint.id(), &endpoint.entry("ready"));
    store.configure(&config(1, quota));
    let gateway = Gateway::with_settings(store, |settings| settings.quota_window = WINDOW).await?;
    gateway.wait_until_ready(true).await?;
    while request(&gateway, "first", 0).await?.status != StatusCode::OK {}
    Ok((gateway, endpoint))
}

/// Sends a request with a prompt of this many tokens.
async fn request(gateway: &Gateway, id: &str, tokens: u32) -> Result<ClientResponse> {
    let request = ClientRequest::new(id, HOST, "/once/")
        .key(KEY)
        .tokens(tokens, 0);
    client::send(gateway.front, &request).await
}

/// Sends requests of this many tokens until one is served.
async fn wait_until_served(gateway: &Gateway, id_prefix: &str, tokens: u32) -> Result<()> {
    for number in 0.. {
        let got = request(gateway, &format!("{id_prefix}-{number}"), tokens).await?;
        if got.status == StatusCode::OK {
            break;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    Ok(())
}

/// Guards against serving requests over the quota, and against never serving a request larger than a window's quota.
#[gtest]
#[tokio::test]
async fn requests_over_quota_are_refused() -> Result<()> {
    let (gateway, endpoint) = start_gateway(quota(8_000)).await?;
    wait_until_served(&gateway, "most", 7_000).await?;
    let got = request(&gateway, "over", 7_000).await?;
    expect_that!(got.status, eq(StatusCode::TOO_MANY_REQUESTS));
    expect_that!(got.body, starts_with("PW3014"));
    let wait: f64 = got
        .retry_after
        .expect("a refusal has Retry-After")
        .parse()?;
    expect_that!(wait, gt(0.05));
    expect_that!(count_runs(&[&endpoint], "over"), eq(0));
    // A request larger than a window's quota is served once nothing was used for a whole window.
    wait_until_served(&gateway, "large", 20_000).await
}

/// Guards against a malformed quota that allows requests or that affects other organisations.
#[gtest]
#[tokio::test]
async fn malformed_quota_allows_nothing() -> Result<()> {
    let endpoint = Endpoint::start("i-a", "app", None, "d1").await?;
    let gateway = Gateway::with_endpoints(&[&endpoint]).await?;
    let mut config = settings::config(2);
    let wrong = [
        ("negative", json!({"rate_per_s": -1})),
        ("text", json!({"rate_per_s": "many"})),
        ("burst", json!({"rate_per_s": 1, "burst": []})),
        (
            "unit",
            json!({"rate_per_s": 1, "burst": 1, "unit": "pages"}),
        ),
    ];
    let keys: Vec<[&str; 1]> = wrong.iter().map(|(name, _)| [*name]).collect();
    let mut list: Vec<(&str, &[&str], Value)> = Vec::new();
    for ((name, quota), keys) in wrong.iter().zip(&keys) {
        list.push((name, keys, quota.clone()));
    }
    list.push(("zero", &["zero"], json!({"rate_per_s": 0, "burst": 5})));
    settings::add_organisations(&mut config, &list);
    gateway.store.configure(&config);
    while gateway.request("before", "/safe/").await?.status != StatusCode::UNAUTHORIZED {}
    for (name, _) in &wrong {
        let request = ClientRequest::new(name, HOST, "/once/")
            .key(name)
            .tokens(1, 0);
        let got = client::send(gateway.front, &request).await?;
        expect_that!(got.body, starts_with("PW3014"), "{name}");
        expect_that!(count_runs(&[&endpoint], name), eq(0));
    }
    let request = ClientRequest::new("zero", HOST, "/once/")
        .key("zero")
        .tokens(9, 0);
    let got = client::send(gateway.front, &request).await?;
    expect_that!(got.status, eq(StatusCode::OK));
    Ok(())
}

/// Guards against charging requests that provably did not run.
#[gtest]
#[tokio::test]
async fn unexecuted_requests_are_refunded() -> Result<()> {
    /// More than half of what a window may hold, so that a second request fits only if the first is refunded.
    const COST: u32 = 150;
    let (gateway, endpoint) = start_gateway(quota(200)).await?;
    let refused = async |id: String| {
        endpoint.script(&[Action::Refuse; 4]);
        let got = request(&gateway, &id, COST).await?;
        Ok::<_, anyhow::Error>(got.body.starts_with("PW3008"))
    };
    let mut number = 0;
    while !refused(format!("first-{number}")).await? {
        tokio::time::sleep(Duration::from_millis(20)).await;
        number += 1;
    }
    for number in 0..3 {
        expect_true!(refused(format!("again-{number}")).await?);
    }
    Ok(())
}

/// Guards against an instance that can use only its own share of the quota, and against instances that together use
/// more than the quota.
#[gtest]
#[tokio::test]
async fn instances_share_one_quota() -> Result<()> {
    let endpoint = Endpoint::start("i-a", "app", None, "d1").await?;
    let store = Store::start().await?;
    store.list(endpoint.id(), &endpoint.entry("ready"));
    store.configure(&config(1, quota(8_000)));
    let port = free_port()?;
    let mut instances = Vec::new();
    for (host, name) in (1..).zip(["a", "b", "c", "d", "e", "f"]) {
        let ip = Ipv4Addr::new(127, 0, 0, host);
        let mut settings = settings::of(name, ip, port, store.address());
        settings.quota_window = WINDOW;
        instances.push(Instance::start(settings).await?);
    }
    tokio::time::sleep(WINDOW * 3).await;
    let request = |id: &str, tokens: u32| {
        ClientRequest::new(id, HOST, "/once/")
            .key(KEY)
            .tokens(tokens, 0)
    };
    let last = instances.last().expect("there are six").front;
    let got = client::send(last, &request("most", 7_000)).await?;
    expect_that!(got.status, eq(StatusCode::OK), "{}", got.body);
    // In two windows, the requests through all six instances add up to about six times the quota of one window.
    let mut served = 0;
    let until = tokio::time::Instant::now() + WINDOW * 2;
    let mut number = 0;
    while tokio::time::Instant::now() < until {
        for instance in &instances {
            number += 1;
            let got = client::send(instance.front, &request(&format!("n{number}"), 200)).await?;
            served += u32::from(got.status == StatusCode::OK) * 200;
        }
        tokio::time::sleep(Duration::from_millis(25)).await;
    }
    // Two windows overlap at most three of the quota's windows.
    expect_that!(served, le(3 * 8_000));
    expect_that!(served, ge(8_000));
    Ok(())
}
