//! A key stands for its organisation: endpoints get the name and never the key, whatever the client wrote.

mod common;

use anyhow::Result;
use common::{HOST, World, runs};
use googletest::prelude::*;
use http::StatusCode;
use ploverwick_platform_standin::client::{self, ClientRequest};
use ploverwick_platform_standin::endpoint::Endpoint;
use ploverwick_platform_standin::settings;
use serde_json::{Value, json};

const KEY: &str = "the-key-of-one";

/// The configuration with organisations; the route of slow requests needs no key.
fn config(version: u64, organisations: &[(&str, &[&str], Value)]) -> Value {
    let mut config = settings::config(version);
    settings::add_organisations(&mut config, organisations);
    settings::exempt_route(&mut config, 2);
    config
}

async fn world(endpoints: &[&Endpoint], config: &Value) -> Result<World> {
    let world = World::with(endpoints).await?;
    world.store.configure(config);
    // Requests without a key are refused once it is in force.
    while world.ask("before", "/safe/").await?.status != StatusCode::UNAUTHORIZED {}
    Ok(world)
}

async fn plain(organisations: &[(&str, &[&str], Value)]) -> Result<(World, Endpoint)> {
    let endpoint = Endpoint::start("i-a", "app", None, "d1").await?;
    let world = world(&[&endpoint], &config(2, organisations)).await?;
    Ok((world, endpoint))
}

fn ask(id: &str) -> ClientRequest {
    ClientRequest::new(id, HOST, "/once/")
}

#[gtest]
#[tokio::test]
async fn name_is_told() -> Result<()> {
    let (world, endpoint) = plain(&[("one", &[KEY], json!({}))]).await?;
    let forged = ask("r1")
        .key(KEY)
        .header("Ploverwick-Tenant", "other")
        .header("PLOVERWICK-TENANT", "another")
        .header("Connection", "Api-Key, Ploverwick-Tenant");
    let got = client::send(world.front, &forged).await?;
    assert_that!(got.status, eq(StatusCode::OK));
    let runs = endpoint.runs();
    let run = runs.iter().find(|run| run.id == "r1").expect("it ran");
    expect_that!(run.organisation.as_deref(), some(eq("one")));
    expect_that!(run.key, none());
    Ok(())
}

#[gtest]
#[tokio::test]
async fn unknown_is_refused() -> Result<()> {
    let organisations: [(&str, &[&str], Value); 3] = [
        ("one", &[KEY, "shared", ""], json!({})),
        ("two", &["shared"], json!({})),
        ("\n", &["of-a-bad-name"], json!({})),
    ];
    let (world, endpoint) = plain(&organisations).await?;
    let wrong = [
        ask("none"),
        ask("empty").key(""),
        ask("wrong").key("the-key-of-on"),
        ask("long").key(&"k".repeat(4_000)),
        ask("shared").key("shared"),
        ask("nameless").key("of-a-bad-name"),
        ask("two").key(KEY).key(KEY),
        ask("bearer").caller(&format!("Bearer {KEY}")),
        ask("name").header("Ploverwick-Tenant", "one"),
    ];
    for ask in wrong {
        let got = client::send(world.front, &ask).await?;
        expect_that!(got.status, eq(StatusCode::UNAUTHORIZED), "{}", ask.id);
        expect_that!(got.body, starts_with("PW2015"));
        expect_that!(got.retry_after, none());
        expect_that!(runs(&[&endpoint], &ask.id), eq(0));
    }
    Ok(())
}

/// A route that needs no key takes any, and passes none on.
#[gtest]
#[tokio::test]
async fn exempt_needs_none() -> Result<()> {
    let (world, endpoint) = plain(&[("one", &[KEY], json!({}))]).await?;
    let bare = ClientRequest::new("bare", HOST, "/slow/").header("Ploverwick-Tenant", "one");
    let wrong = ClientRequest::new("wrong", HOST, "/slow/").key("wrong");
    for ask in [bare, wrong] {
        let got = client::send(world.front, &ask).await?;
        expect_that!(got.status, eq(StatusCode::OK));
        let runs = endpoint.runs();
        let run = runs.iter().find(|run| run.id == ask.id).expect("it ran");
        expect_that!(run.organisation, none());
        expect_that!(run.key, none());
    }
    Ok(())
}

#[gtest]
#[tokio::test]
async fn priority_goes_first() -> Result<()> {
    let engine = Endpoint::start("i-a", "lm", Some("base"), "d1").await?;
    let organisations: [(&str, &[&str], Value); 2] = [
        ("one", &[KEY], json!({"priority": 4})),
        ("two", &["of-two"], json!({})),
    ];
    let world = world(&[&engine], &config(2, &organisations)).await?;
    for (id, key) in [("r1", KEY), ("r2", "of-two")] {
        let ask = ClientRequest::new(id, HOST, "/live/")
            .model("base/a1")
            .key(key);
        let got = client::send(world.front, &ask).await?;
        expect_that!(got.status, eq(StatusCode::OK));
    }
    let priorities: Vec<_> = engine.runs().iter().map(|run| run.priority).collect();
    expect_that!(priorities, elements_are![some(eq(&4)), some(eq(&1))]);
    Ok(())
}

/// A key that is taken away does not work any more, and one that is added does.
#[gtest]
#[tokio::test]
async fn keys_change() -> Result<()> {
    let (world, endpoint) = plain(&[("one", &[KEY], json!({}))]).await?;
    world
        .store
        .configure(&config(3, &[("one", &["new"], json!({}))]));
    let ask_with = |id: String, key: &str| ask(&id).key(key);
    for number in 0.. {
        let ask = ask_with(format!("n{number}"), "new");
        if client::send(world.front, &ask).await?.status == StatusCode::OK {
            break;
        }
    }
    let got = client::send(world.front, &ask_with("late".into(), KEY)).await?;
    expect_that!(got.status, eq(StatusCode::UNAUTHORIZED));
    expect_that!(runs(&[&endpoint], "late"), eq(0));
    Ok(())
}

/// A request that waits for its adapter while its key is taken away is not sent.
#[gtest]
#[tokio::test]
async fn waits_in_vain() -> Result<()> {
    let engine = Endpoint::start("i-a", "lm", Some("base"), "d1").await?;
    let world = world(&[&engine], &config(2, &[("one", &[KEY], json!({}))])).await?;
    engine.set_busy(true);
    let ask = ClientRequest::new("r1", HOST, "/live/")
        .model("base/a1")
        .key(KEY);
    let front = world.front;
    let waiting = tokio::spawn(async move { client::send(front, &ask).await });
    tokio::time::sleep(std::time::Duration::from_millis(100)).await;
    world
        .store
        .configure(&config(3, &[("one", &[], json!({}))]));
    let probe = || ClientRequest::new("probe", HOST, "/safe/").key(KEY);
    while client::send(world.front, &probe()).await?.status != StatusCode::UNAUTHORIZED {}
    engine.set_busy(false);
    let got = waiting.await??;
    expect_that!(got.status, eq(StatusCode::UNAUTHORIZED));
    expect_that!(runs(&[&engine], "r1"), eq(0));
    Ok(())
}
