//! Organisations use what their quotas allow over all instances together, and no more.

mod common;

use std::net::Ipv4Addr;
use std::time::Duration;

use anyhow::Result;
use common::{HOST, Instance, World, free_port, runs};
use googletest::prelude::*;
use http::StatusCode;
use ploverwick_platform_standin::client::{self, ClientRequest, ClientResponse};
use ploverwick_platform_standin::endpoint::{Action, Endpoint};
use ploverwick_platform_standin::settings;
use ploverwick_platform_standin::store::Store;
use serde_json::{Value, json};

const KEY: &str = "the-key-of-one";
/// The time over which quotas hold here.
const WINDOW: Duration = Duration::from_secs(1);

/// A quota of so many tokens in any window, half of them as a burst.
fn quota(tokens: u32) -> Value {
    let half = f64::from(tokens) / 2.0;
    json!({"rate_per_s": half, "burst": half, "unit": "tokens", "plain_tokens": 100})
}

fn config(version: u64, quota: Value) -> Value {
    let mut config = settings::config(version);
    settings::add_organisations(&mut config, &[("one", &[KEY], quota)]);
    config
}

async fn world(quota: Value) -> Result<(World, Endpoint)> {
    let endpoint = Endpoint::start("i-a", "app", None, "d1").await?;
    let store = Store::start().await?;
    store.list(endpoint.id(), &endpoint.entry("ready"));
    store.configure(&config(1, quota));
    let world = World::changed(store, |settings| settings.quota_window = WINDOW).await?;
    world.until_ready(true).await?;
    while ask(&world, "first", 0).await?.status != StatusCode::OK {}
    Ok((world, endpoint))
}

async fn ask(world: &World, id: &str, tokens: u32) -> Result<ClientResponse> {
    let ask = ClientRequest::new(id, HOST, "/once/")
        .key(KEY)
        .tokens(tokens, 0);
    client::send(world.front, &ask).await
}

/// Asks until a request of so many tokens is served.
async fn until_served(world: &World, what: &str, tokens: u32) -> Result<()> {
    for number in 0.. {
        let got = ask(world, &format!("{what}-{number}"), tokens).await?;
        if got.status == StatusCode::OK {
            break;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    Ok(())
}

#[gtest]
#[tokio::test]
async fn over_is_refused() -> Result<()> {
    let (world, endpoint) = world(quota(8_000)).await?;
    until_served(&world, "most", 7_000).await?;
    let got = ask(&world, "over", 7_000).await?;
    expect_that!(got.status, eq(StatusCode::TOO_MANY_REQUESTS));
    expect_that!(got.body, starts_with("PW3014"));
    let wait: f64 = got.retry_after.expect("it says when").parse()?;
    expect_that!(wait, gt(0.05));
    expect_that!(runs(&[&endpoint], "over"), eq(0));
    // What is larger than a window may hold passes once nothing else was used in one.
    until_served(&world, "large", 20_000).await
}

/// A quota that cannot be read lets nothing pass, and costs no other organisation anything.
#[gtest]
#[tokio::test]
async fn malformed_is_nothing() -> Result<()> {
    let endpoint = Endpoint::start("i-a", "app", None, "d1").await?;
    let world = World::with(&[&endpoint]).await?;
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
    world.store.configure(&config);
    while world.ask("before", "/safe/").await?.status != StatusCode::UNAUTHORIZED {}
    for (name, _) in &wrong {
        let ask = ClientRequest::new(name, HOST, "/once/")
            .key(name)
            .tokens(1, 0);
        let got = client::send(world.front, &ask).await?;
        expect_that!(got.body, starts_with("PW3014"), "{name}");
        expect_that!(runs(&[&endpoint], name), eq(0));
    }
    let ask = ClientRequest::new("zero", HOST, "/once/")
        .key("zero")
        .tokens(9, 0);
    let got = client::send(world.front, &ask).await?;
    expect_that!(got.status, eq(StatusCode::OK));
    Ok(())
}

/// What certainly did not run is given back.
#[gtest]
#[tokio::test]
async fn unrun_is_returned() -> Result<()> {
    /// Most of what a window may hold.
    const COST: u32 = 150;
    let (world, endpoint) = world(quota(200)).await?;
    let refused = async |id: String| {
        endpoint.script(&[Action::Refuse; 4]);
        let got = ask(&world, &id, COST).await?;
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

/// An organisation that one of six instances sees has the whole quota there, and all six together have it
/// once.
#[gtest]
#[tokio::test]
async fn fleet_shares_one() -> Result<()> {
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
    let ask = |id: &str, tokens: u32| {
        ClientRequest::new(id, HOST, "/once/")
            .key(KEY)
            .tokens(tokens, 0)
    };
    let last = instances.last().expect("there are six").front;
    let got = client::send(last, &ask("most", 7_000)).await?;
    expect_that!(got.status, eq(StatusCode::OK), "{}", got.body);
    // In two windows all six ask for about six times what one may hold.
    let mut served = 0;
    let until = tokio::time::Instant::now() + WINDOW * 2;
    let mut number = 0;
    while tokio::time::Instant::now() < until {
        for instance in &instances {
            number += 1;
            let got = client::send(instance.front, &ask(&format!("n{number}"), 200)).await?;
            served += u32::from(got.status == StatusCode::OK) * 200;
        }
        tokio::time::sleep(Duration::from_millis(25)).await;
    }
    // Two windows touch three of the quota's at most.
    expect_that!(served, le(3 * 8_000));
    expect_that!(served, ge(8_000));
    Ok(())
}
