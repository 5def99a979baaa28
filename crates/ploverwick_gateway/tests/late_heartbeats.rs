//! A heartbeat that arrives after its endpoint left proves nothing to a process that starts.
//!
//! Seen: a request was sent to an endpoint seconds after it was off the list. How it came about:
//! heartbeat 5 was read, the endpoint was taken off, heartbeat 4 arrived late and brought its line
//! back; a process that started then listed it as any other. Cause: the newest heartbeat of an
//! endpoint is kept in the memory of one process, and one that has just started, or that a peer told
//! the list meanwhile, knows none or an old one. Proof: in each test below the endpoint that left gets
//! requests on code that believes so, though another one is heard of all the time.

mod common;

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use anyhow::Result;
use common::{HOST, Instance, World, free_port, two_plain};
use googletest::prelude::*;
use http::StatusCode;
use ploverwick_platform_standin::client::{self, ClientRequest};
use ploverwick_platform_standin::endpoint::Endpoint;
use ploverwick_platform_standin::settings;
use ploverwick_platform_standin::store::Store;

/// Longer than two reads of the list with their pauses, and a heartbeat of the one that lives.
const HEARD: Duration = Duration::from_millis(2_400);
/// Longer than three intervals between heartbeats, and the room that is left.
const SILENT: Duration = Duration::from_millis(7_500);
/// The pause between the heartbeats of the one that lives.
const BEAT: Duration = Duration::from_millis(300);

/// Lists an endpoint with the number of its heartbeat.
fn beat(store: &Store, endpoint: &Endpoint, number: u64) {
    let mut entry = endpoint.entry("ready");
    entry["seq"] = number.into();
    store.list(endpoint.id(), &entry);
}

/// Writes heartbeats of an endpoint for as long as the test runs.
fn lives(store: &Store, endpoint: &Endpoint) {
    let (store, id) = (store.clone(), endpoint.id().to_owned());
    let mut entry = endpoint.entry("ready");
    tokio::spawn(async move {
        for number in 10_u64.. {
            entry["seq"] = number.into();
            store.list(&id, &entry);
            tokio::time::sleep(BEAT).await;
        }
    });
}

/// An endpoint leaves after five heartbeats, and the fourth arrives late.
fn leaves(store: &Store, endpoint: &Endpoint) {
    beat(store, endpoint, 5);
    store.unlist(endpoint.id());
    beat(store, endpoint, 4);
}

async fn ask(front: SocketAddr, times: usize) -> Result<()> {
    for number in 0..times {
        client::send(
            front,
            &ClientRequest::new(&format!("r{number}"), HOST, "/safe/"),
        )
        .await?;
    }
    Ok(())
}

#[tokio::test]
async fn fresh_process_waits() -> Result<()> {
    let store = Store::start().await?;
    let (a, b) = two_plain().await?;
    leaves(&store, &a);
    lives(&store, &b);
    store.configure(&settings::config(1));
    let world = World::of(store, false).await?;
    world.until_ready(true).await?;
    tokio::time::sleep(HEARD).await;
    ask(world.front, 20).await?;
    assert_that!(a.requests_received(), eq(0));
    assert_that!(b.requests_received(), gt(0));
    Ok(())
}

/// The one that takes over the reading knows an older heartbeat than the one that read.
#[tokio::test]
async fn taking_over_waits() -> Result<()> {
    let store = Store::start().await?;
    let (a, b) = two_plain().await?;
    beat(&store, &a, 5);
    lives(&store, &b);
    store.configure(&settings::config(1));
    let port = free_port()?;
    let settings = |name, host| {
        let ip = Ipv4Addr::new(127, 0, 0, host);
        settings::of(name, ip, port, store.address())
    };
    let reader = Instance::start(settings("one", 1)).await?;
    let front = Instance::start(settings("two", 2)).await?.front;
    tokio::time::sleep(HEARD).await;
    beat(&store, &a, 7);
    tokio::time::sleep(HEARD).await;
    store.unlist(a.id());
    tokio::time::sleep(HEARD).await;
    beat(&store, &a, 6);
    tokio::time::sleep(HEARD).await;
    reader.stop();
    tokio::time::sleep(HEARD).await;
    let before = a.requests_received();
    ask(front, 20).await?;
    assert_that!(a.requests_received(), eq(before));
    assert_that!(b.requests_received(), gt(0));
    Ok(())
}

/// Where nobody else could serve, what is not heard of is gone after a while.
#[tokio::test]
async fn silent_one_goes() -> Result<()> {
    let store = Store::start().await?;
    let a = Endpoint::start("i-a", "app", None, "d1").await?;
    let other = Endpoint::start("i-b", "lm", Some("base"), "d1").await?;
    leaves(&store, &a);
    lives(&store, &other);
    store.configure(&settings::config(1));
    let world = World::of(store, false).await?;
    world.until_ready(true).await?;
    tokio::time::sleep(SILENT).await;
    let got = world.ask("late", "/safe/").await?;
    assert_that!(got.status, eq(StatusCode::SERVICE_UNAVAILABLE));
    assert_that!(a.requests_received(), eq(0));
    Ok(())
}
