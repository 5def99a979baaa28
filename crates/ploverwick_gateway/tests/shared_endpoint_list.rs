//! Two instances of one failure domain: one reads the list of endpoints for both.

mod common;

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use anyhow::Result;
use common::{HOST, Instance, free_port, two_plain};
use googletest::prelude::*;
use ploverwick_platform_standin::client::{self, ClientRequest};
use ploverwick_platform_standin::endpoint::Endpoint;
use ploverwick_platform_standin::settings;
use ploverwick_platform_standin::store::Store;

/// Starts an instance and returns where it listens; it runs as long as the test.
async fn start(name: &str, ip: Ipv4Addr, port: u16, store: &Store) -> Result<SocketAddr> {
    let settings = settings::of(name, ip, port, store.address());
    Ok(Instance::start(settings).await?.front)
}

/// Starts two instances that use one port for messages, on two addresses of the loopback.
async fn two(store: &Store) -> Result<[SocketAddr; 2]> {
    let port = free_port()?;
    let one = start("one", Ipv4Addr::LOCALHOST, port, store).await?;
    let two = start("two", Ipv4Addr::new(127, 0, 0, 2), port, store).await?;
    Ok([one, two])
}

async fn ask(front: SocketAddr, id: &str) -> Result<()> {
    client::send(front, &ClientRequest::new(id, HOST, "/safe/")).await?;
    Ok(())
}

async fn leave(store: &Store, a: &Endpoint) {
    store.list(a.id(), &a.entry("draining"));
    // Two reads of the list, and the messages between.
    tokio::time::sleep(Duration::from_millis(1_900)).await;
}

#[tokio::test]
async fn both_hear_of_a_leave() -> Result<()> {
    let store = Store::start().await?;
    let (a, b) = two_plain().await?;
    for endpoint in [&a, &b] {
        store.list(endpoint.id(), &endpoint.entry("ready"));
    }
    store.configure(&settings::config(1));
    let fronts = two(&store).await?;
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    leave(&store, &a).await;
    let before = a.requests_received();
    for (number, front) in fronts.iter().cycle().take(20).enumerate() {
        ask(*front, &format!("r{number}")).await?;
    }
    assert_that!(a.requests_received(), eq(before));
    assert_that!(b.requests_received(), gt(0));
    Ok(())
}
