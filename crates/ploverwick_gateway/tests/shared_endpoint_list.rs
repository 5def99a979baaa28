//! Two instances of one failure domain, of which one reads the endpoint list for both.

mod common;

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use anyhow::Result;
use common::{HOST, Instance, free_port, two_app_endpoints};
use googletest::prelude::*;
use ploverwick_platform_standin::client::{self, ClientRequest};
use ploverwick_platform_standin::endpoint::Endpoint;
use ploverwick_platform_standin::settings;
use ploverwick_platform_standin::store::Store;

/// Starts an instance that runs until the test ends, and returns its client address.
async fn start(name: &str, ip: Ipv4Addr, port: u16, store: &Store) -> Result<SocketAddr> {
    let settings = settings::of(name, ip, port, store.address());
    Ok(Instance::start(settings).await?.front)
}

/// Starts two instances at two loopback addresses that use the same port for messages between instances.
async fn start_two(store: &Store) -> Result<[SocketAddr; 2]> {
    let port = free_port()?;
    let one = start("one", Ipv4Addr::LOCALHOST, port, store).await?;
    let two = start("two", Ipv4Addr::new(127, 0, 0, 2), port, store).await?;
    Ok([one, two])
}

async fn request(front: SocketAddr, id: &str) -> Result<()> {
    client::send(front, &ClientRequest::new(id, HOST, "/safe/")).await?;
    Ok(())
}

async fn drain(store: &Store, a: &Endpoint) {
    store.list(a.id(), &a.entry("draining"));
    // Long enough for two reads of the list and the messages between the instances.
    tokio::time::sleep(Duration::from_millis(1_900)).await;
}

#[tokio::test]
async fn both_learn_of_draining() -> Result<()> {
    let store = Store::start().await?;
    let (a, b) = two_app_endpoints().await?;
    for endpoint in [&a, &b] {
        store.list(endpoint.id(), &endpoint.entry("ready"));
    }
    store.configure(&settings::config(1));
    let fronts = start_two(&store).await?;
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    drain(&store, &a).await;
    let before = a.requests_received();
    for (number, front) in fronts.iter().cycle().take(20).enumerate() {
        request(*front, &format!("r{number}")).await?;
    }
    assert_that!(a.requests_received(), eq(before));
    assert_that!(b.requests_received(), gt(0));
    Ok(())
}
