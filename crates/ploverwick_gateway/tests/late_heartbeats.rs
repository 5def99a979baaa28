//! Late heartbeats of removed endpoints, as read by a process that does not know their newest heartbeat.
//!
//! Guards against requests to an endpoint seconds after its removal from the list. Heartbeat 4 of the endpoint arrived
//! after heartbeat 5 and the removal, and restored its entry. The newest heartbeat is kept in the memory of the process
//! that read it, so a process that has just started, or that received the list from a peer, accepted the old one.

mod common;

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use anyhow::Result;
use common::{Gateway, HOST, Instance, free_port, two_app_endpoints};
use googletest::prelude::*;
use http::StatusCode;
use ploverwick_platform_standin::client::{self, ClientRequest};
use ploverwick_platform_standin::endpoint::Endpoint;
use ploverwick_platform_standin::settings;
use ploverwick_platform_standin::store::Store;

/// Longer than two polls of the list and a heartbeat interval of the running endpoint.
const LIST_DELAY: Duration = Duration::from_millis(2_400);
/// Longer than three heartbeat intervals plus a margin.
const EXPIRY_DELAY: Duration = Duration::from_millis(7_500);
/// The heartbeat interval of the running endpoint.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);

/// Writes a list entry for an endpoint with the given heartbeat number.
fn write_heartbeat(store: &Store, endpoint: &Endpoint, number: u64) {
    let mut entry = endpoint.entry("ready");
    entry["seq"] = number.into();
    store.list(endpoint.id(), &entry);
}

/// Writes heartbeats of an endpoint until the test ends.
fn spawn_heartbeats(store: &Store, endpoint: &Endpoint) {
    let (store, id) = (store.clone(), endpoint.id().to_owned());
    let mut entry = endpoint.entry("ready");
    tokio::spawn(async move {
        for number in 10_u64.. {
            entry["seq"] = number.into();
            store.list(&id, &entry);
            tokio::time::sleep(HEARTBEAT_INTERVAL).await;
        }
    });
}

/// Removes an endpoint after heartbeat 5, and then writes heartbeat 4.
fn remove_before_late_heartbeat(store: &Store, endpoint: &Endpoint) {
    write_heartbeat(store, endpoint, 5);
    store.unlist(endpoint.id());
    write_heartbeat(store, endpoint, 4);
}

async fn request(front: SocketAddr, times: usize) -> Result<()> {
    for number in 0..times {
        client::send(
            front,
            &ClientRequest::new(&format!("r{number}"), HOST, "/safe/"),
        )
        .await?;
    }
    Ok(())
}

/// Guards against a process that accepts, when it starts, a heartbeat from before the removal of the endpoint.
#[tokio::test]
async fn started_process_ignores_late_heartbeat() -> Result<()> {
    let store = Store::start().await?;
    let (a, b) = two_app_endpoints().await?;
    remove_before_late_heartbeat(&store, &a);
    spawn_heartbeats(&store, &b);
    store.configure(&settings::config(1));
    let gateway = Gateway::start(store, false).await?;
    gateway.wait_until_ready(true).await?;
    tokio::time::sleep(LIST_DELAY).await;
    request(gateway.front, 20).await?;
    assert_that!(a.requests_received(), eq(0));
    assert_that!(b.requests_received(), gt(0));
    Ok(())
}

/// Guards against the instance that takes over reading the list, and knows only an older heartbeat than the previous
/// reader.
#[tokio::test]
async fn new_reader_ignores_late_heartbeat() -> Result<()> {
    let store = Store::start().await?;
    let (a, b) = two_app_endpoints().await?;
    write_heartbeat(&store, &a, 5);
    spawn_heartbeats(&store, &b);
    store.configure(&settings::config(1));
    let port = free_port()?;
    let settings = |name, host| {
        let ip = Ipv4Addr::new(127, 0, 0, host);
        settings::of(name, ip, port, store.address())
    };
    let reader = Instance::start(settings("one", 1)).await?;
    let front = Instance::start(settings("two", 2)).await?.front;
    tokio::time::sleep(LIST_DELAY).await;
    write_heartbeat(&store, &a, 7);
    tokio::time::sleep(LIST_DELAY).await;
    store.unlist(a.id());
    tokio::time::sleep(LIST_DELAY).await;
    write_heartbeat(&store, &a, 6);
    tokio::time::sleep(LIST_DELAY).await;
    reader.stop();
    tokio::time::sleep(LIST_DELAY).await;
    let before = a.requests_received();
    request(front, 20).await?;
    assert_that!(a.requests_received(), eq(before));
    assert_that!(b.requests_received(), gt(0));
    Ok(())
}

/// Guards against an endpoint that stays listed without heartbeats because the service has no other endpoint.
#[tokio::test]
async fn silent_endpoint_is_removed() -> Result<()> {
    let store = Store::start().await?;
    let a = Endpoint::start("i-a", "app", None, "d1").await?;
    let other = Endpoint::start("i-b", "lm", Some("base"), "d1").await?;
    remove_before_late_heartbeat(&store, &a);
    spawn_heartbeats(&store, &other);
    store.configure(&settings::config(1));
    let gateway = Gateway::start(store, false).await?;
    gateway.wait_until_ready(true).await?;
    tokio::time::sleep(EXPIRY_DELAY).await;
    let got = gateway.request("late", "/safe/").await?;
    assert_that!(got.status, eq(StatusCode::SERVICE_UNAVAILABLE));
    assert_that!(a.requests_received(), eq(0));
    Ok(())
}
