//! A client that leaves takes its request along: endpoints work for nobody.

mod common;

use std::time::Duration;

use anyhow::Result;
use common::{HOST, World, two_plain};
use googletest::prelude::*;
use ploverwick_platform_standin::client::{self, ClientRequest};
use ploverwick_platform_standin::endpoint::{Action, Endpoint};

/// Sends a request and leaves once an endpoint runs it.
async fn ask_and_leave(world: &World, ask: ClientRequest, endpoint: &Endpoint) {
    let front = world.front;
    let before = endpoint.runs().len();
    let client = tokio::spawn(async move { client::send(front, &ask).await });
    while endpoint.runs().len() == before {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    client.abort();
}

async fn until_abandoned(endpoint: &Endpoint, count: usize) {
    while endpoint.abandoned() < count {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

#[tokio::test]
async fn plain_run_ends() -> Result<()> {
    let (a, _b) = two_plain().await?;
    let world = World::with(&[&a]).await?;
    a.script(&[Action::Hang]);
    ask_and_leave(&world, ClientRequest::new("r1", HOST, "/once/"), &a).await;
    until_abandoned(&a, 1).await;
    // Nothing of it is sent again.
    assert_that!(common::runs(&[&a], "r1"), eq(1));
    Ok(())
}

#[tokio::test]
async fn stream_run_ends() -> Result<()> {
    let engine = Endpoint::start("i-a", "lm", Some("base"), "d1").await?;
    let world = World::with(&[&engine]).await?;
    world.stream("r1", "/live/", "a1").await?;
    engine.script(&[Action::Hang]);
    let ask = ClientRequest::new("r2", HOST, "/live/").model("base/a1");
    ask_and_leave(&world, ask, &engine).await;
    until_abandoned(&engine, 1).await;
    Ok(())
}
