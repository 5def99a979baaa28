//! A request goes to an endpoint and its answer comes back.

mod common;

use anyhow::Result;
use common::{HOST, World, two_plain};
use googletest::prelude::*;
use http::StatusCode;
use ploverwick_platform_standin::client::{self, ClientRequest};
use ploverwick_platform_standin::settings;

#[tokio::test]
async fn passes_unchanged() -> Result<()> {
    let (a, b) = two_plain().await?;
    let world = World::with(&[&a, &b]).await?;
    let ask = ClientRequest::new("r1", HOST, "/once/x/y?z=1&z=2").body("some bytes");
    let got = client::send(world.front, &ask).await?;
    assert_that!(got.status, eq(StatusCode::OK));
    assert_that!(got.body, eq("the endpoint's bytes"));
    assert_that!(got.is_signed, eq(true));
    let all = [a.runs(), b.runs()].concat();
    let run = all.iter().find(|run| run.id == "r1").expect("it ran");
    assert_that!(run.path, eq("/once/x/y?z=1&z=2"));
    assert_that!(&run.body[..], eq(b"some bytes"));
    assert_that!(run.remaining_ms, some(le(2_000)));
    Ok(())
}

#[tokio::test]
async fn unknown_path() -> Result<()> {
    let (a, b) = two_plain().await?;
    let world = World::with(&[&a, &b]).await?;
    assert_that!(
        world.ask("r1", "/nothing/").await?.status,
        eq(StatusCode::NOT_FOUND)
    );
    let ask = ClientRequest::new("r2", "other.example", "/safe/");
    let got = client::send(world.front, &ask).await?;
    assert_that!(got.status, eq(StatusCode::NOT_FOUND));
    Ok(())
}

#[tokio::test]
async fn long_body() -> Result<()> {
    let (a, b) = two_plain().await?;
    let world = World::with(&[&a, &b]).await?;
    let ask = ClientRequest::new("r1", HOST, "/once/").body(vec![b'x'; 1_001]);
    let got = client::send(world.front, &ask).await?;
    assert_that!(got.status, eq(StatusCode::PAYLOAD_TOO_LARGE));
    assert_that!(common::runs(&[&a, &b], "r1"), eq(0));
    Ok(())
}

#[tokio::test]
async fn no_config_yet() -> Result<()> {
    let world = World::bare().await?;
    let got = world.ask("r1", "/safe/").await?;
    assert_that!(got.status, eq(StatusCode::SERVICE_UNAVAILABLE));
    assert_that!(got.retry_after, some(anything()));
    assert_that!(client::is_ready(world.ready).await?, eq(false));
    Ok(())
}

#[tokio::test]
async fn no_endpoint() -> Result<()> {
    let world = World::with(&[]).await?;
    let got = world.ask("r1", "/once/").await?;
    assert_that!(got.status, eq(StatusCode::SERVICE_UNAVAILABLE));
    assert_that!(got.retry_after, some(anything()));
    Ok(())
}

#[tokio::test]
async fn kept_connection() -> Result<()> {
    let (a, b) = two_plain().await?;
    let world = World::with(&[&a, &b]).await?;
    let mut connection = client::Connection::open(world.front).await?;
    for number in 0..5 {
        let ask = ClientRequest::new(&format!("r{number}"), HOST, "/safe/");
        assert_that!(connection.send(&ask).await?.status, eq(StatusCode::OK));
    }
    Ok(())
}

#[tokio::test]
async fn newer_config_in_force() -> Result<()> {
    let (a, b) = two_plain().await?;
    let world = World::with(&[&a, &b]).await?;
    let mut config = settings::config(5);
    settings::move_route(&mut config, 0, "/moved/");
    world.store.configure(&config);
    while world.ask("r1", "/moved/").await?.status != StatusCode::OK {
        tokio::task::yield_now().await;
    }
    // An older version that arrives later changes nothing.
    world.store.configure(&settings::config(4));
    world.store.compact();
    config["version"] = 6.into();
    settings::move_route(&mut config, 1, "/last/");
    world.store.configure(&config);
    while world.ask("r2", "/last/").await?.status != StatusCode::OK {
        tokio::task::yield_now().await;
    }
    assert_that!(world.ask("r3", "/moved/").await?.status, eq(StatusCode::OK));
    assert_that!(
        world.ask("r4", "/safe/").await?.status,
        eq(StatusCode::NOT_FOUND)
    );
    Ok(())
}
