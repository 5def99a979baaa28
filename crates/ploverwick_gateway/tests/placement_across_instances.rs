//! Placement of adapters with more than one failure domain or many instances.

mod common;

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use anyhow::Result;
use common::{HOST, Instance, free_port};
use googletest::prelude::*;
use http::StatusCode;
use ploverwick_platform::placer_group;
use ploverwick_platform_standin::client::{self, ClientRequest};
use ploverwick_platform_standin::endpoint::Endpoint;
use ploverwick_platform_standin::settings;
use ploverwick_platform_standin::store::Store;

/// Starts an instance that runs until the test ends, and returns its client address.
async fn start(name: &str, domain: &str, host: u8, port: u16, store: &Store) -> Result<SocketAddr> {
    let ip = Ipv4Addr::new(127, 0, 0, host);
    let mut settings = settings::of(name, ip, port, store.address());
    settings.domain = Arc::from(domain);
    Ok(Instance::start(settings).await?.front)
}

async fn stream(front: SocketAddr, id: &str, adapter: &str) -> Result<StatusCode> {
    let request = ClientRequest::new(id, HOST, "/live/").model(&format!("base/{adapter}"));
    Ok(client::send(front, &request).await?.status)
}

/// Guards against redundant load orders from an instance of another failure domain, which learns of a load through the
/// placer of its own domain.
#[tokio::test]
async fn other_domain_learns_of_load() -> Result<()> {
    let store = Store::start().await?;
    let engine = Endpoint::start("i-a", "lm", Some("base"), "d1").await?;
    store.list(engine.id(), &engine.entry("ready"));
    store.configure(&settings::config(1));
    let port = free_port()?;
    let one = start("one", "d1", 1, port, &store).await?;
    start("two", "d2", 2, port, &store).await?;
    let three = start("three", "d2", 3, port, &store).await?;
    // Long enough for the instances to discover each other and the placer of each failure domain.
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    assert_that!(stream(one, "r1", "a1").await?, eq(StatusCode::OK));
    let orders = engine.tokens().len();
    // The instance learns of the load from an update or from the next digest, and sends no order of its own.
    assert_that!(stream(three, "r2", "a1").await?, eq(StatusCode::OK));
    assert_that!(engine.tokens().len(), eq(orders));
    Ok(())
}

/// Guards against all instances of a large failure domain joining the placer group, because each call to the store is
/// billed.
#[tokio::test]
async fn few_instances_join_placer_group() -> Result<()> {
    let store = Store::start().await?;
    store.configure(&settings::config(1));
    let port = free_port()?;
    for (host, name) in (1..).zip(["a", "b", "c", "d", "e"]) {
        start(name, "d1", host, port, &store).await?;
    }
    let members = || store.members(&placer_group("d1"));
    while members().len() > 3 {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    // The members stay the same afterwards: the current placer and the first two instances by name.
    tokio::time::sleep(Duration::from_secs(1)).await;
    let mut members = members();
    members.sort_unstable();
    assert_that!(members, contains(eq("a")));
    assert_that!(members, contains(eq("b")));
    assert_that!(members.len(), le(3));
    Ok(())
}
