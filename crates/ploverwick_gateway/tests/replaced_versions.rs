//! A replaced version of an adapter may serve only for a bounded time after the first newer version was declared.
//!
//! Guards against requests that start on version 1 of an adapter 7 s to 19 s after version 2 came into force, with
//! a bound of 5 s. Loads of version 2 were delayed, so endpoints still held version 1 when version 3 was declared
//! or an instance restarted. Instances kept only one declaration per adapter, with the time at which they had read
//! it, so each newer version, each restart and each read after an outage restarted the grace period of all older
//! versions. Instances that had not learned of the declaration counted from the time at which they sent the
//! request.

mod common;

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use anyhow::Result;
use common::{Gateway, HOST, Instance, count_runs, free_port};
use googletest::prelude::*;
use http::StatusCode;
use ploverwick_platform_standin::client::{self, ClientRequest};
use ploverwick_platform_standin::endpoint::{Action, Endpoint};
use ploverwick_platform_standin::proxy::Proxy;
use ploverwick_platform_standin::settings;
use ploverwick_platform_standin::store::Store;
use serde_json::json;

/// The bound in tests that wait until it has passed.
const BOUND: Duration = Duration::from_secs(2);

/// Starts a listed engine that holds version 1 of `a1` and rejects all orders.
async fn start_holder(store: &Store) -> Result<Endpoint> {
    let engine = Endpoint::start("i-a", "lm", Some("base"), "d1").await?;
    let mut entry = engine.entry("ready");
    store.list(engine.id(), &entry);
    let mut config = settings::config(1);
    for route in config["routes"].as_array_mut().into_iter().flatten() {
        route["timeout_ms"] = 12_000.into();
    }
    store.configure(&config);
    let mut gateway = Gateway::start(store.clone(), true).await?;
    gateway.wait_until_ready(true).await?;
    while gateway.stream("warm", "/live/", "a1").await?.status != StatusCode::OK {}
    gateway.stop();
    gateway.served.await?;
    entry["models"][0]["adapters"] = json!(["a1@1"]);
    store.list(engine.id(), &entry);
    engine.set_busy(true);
    Ok(engine)
}

/// Starts a gateway with the bound `BOUND`.
async fn start_gateway(store: &Store) -> Result<Gateway> {
    let gateway =
        Gateway::with_settings(store.clone(), |settings| settings.version = BOUND).await?;
    gateway.wait_until_ready(true).await?;
    Ok(gateway)
}

/// Guards against refusing requests while the newest version is being loaded and an older one can serve.
#[tokio::test]
async fn older_version_serves_meanwhile() -> Result<()> {
    let store = Store::start().await?;
    let engine = start_holder(&store).await?;
    let gateway = Gateway::start(store.clone(), true).await?;
    gateway.wait_until_ready(true).await?;
    gateway.store.declare("base", "a1", 2);
    tokio::time::sleep(Duration::from_millis(300)).await;
    let got = gateway.stream("r1", "/live/", "a1").await?;
    assert_that!(got.status, eq(StatusCode::OK));
    assert_that!(count_runs(&[&engine], "r1"), eq(1));
    Ok(())
}

/// Guards against a further version that restarts the grace period of version 1.
#[tokio::test]
async fn further_version_renews_nothing() -> Result<()> {
    let store = Store::start().await?;
    let engine = start_holder(&store).await?;
    let gateway = start_gateway(&store).await?;
    store.declare("base", "a1", 2);
    // The grace period of version 1 ends while version 2 cannot be loaded.
    tokio::time::sleep(BOUND + Duration::from_millis(200)).await;
    store.declare("base", "a1", 3);
    tokio::time::sleep(Duration::from_millis(100)).await;
    let got = gateway.stream("r1", "/live/", "a1").await?;
    assert_that!(count_runs(&[&engine], "r1"), eq(0));
    assert_that!(got.status, eq(StatusCode::SERVICE_UNAVAILABLE));
    Ok(())
}

/// Guards against a restart that restarts the grace period.
#[tokio::test]
async fn restart_renews_nothing() -> Result<()> {
    let store = Store::start().await?;
    let engine = start_holder(&store).await?;
    store.declare("base", "a1", 2);
    // An instance that starts now cannot know how long ago the declaration was.
    let gateway = start_gateway(&store).await?;
    let got = gateway.stream("r1", "/live/", "a1").await?;
    assert_that!(count_runs(&[&engine], "r1"), eq(0));
    assert_that!(got.status, eq(StatusCode::SERVICE_UNAVAILABLE));
    Ok(())
}

/// Guards against a declaration that is missed because it was written just after another record. 31 of 79 instances
/// learned of a version about 7 s late, and a request started on the older one 5.1 s after it was replaced. The
/// version was declared 20 ms after a configuration, while instances were sending their next reads. The store did
/// not wake reads sent within 3 ms of the declaration, and they returned only when their wait had expired.
#[tokio::test]
async fn missed_record_is_found() -> Result<()> {
    let store = Store::start().await?;
    let engine = start_holder(&store).await?;
    let gateway = start_gateway(&store).await?;
    let mut config = settings::config(2);
    for route in config["routes"].as_array_mut().into_iter().flatten() {
        route["timeout_ms"] = 12_000.into();
    }
    store.configure_and_declare(&config, "base", "a1", 2);
    tokio::time::sleep(BOUND * 2).await;
    let got = gateway.stream("r1", "/live/", "a1").await?;
    assert_that!(count_runs(&[&engine], "r1"), eq(0));
    assert_that!(got.status, eq(StatusCode::SERVICE_UNAVAILABLE));
    Ok(())
}

/// Starts an instance that runs until the test ends, and returns its client address.
async fn start(
    name: &str,
    ip: Ipv4Addr,
    port: u16,
    store: SocketAddr,
    bound: Duration,
) -> Result<SocketAddr> {
    let mut settings = settings::of(name, ip, port, store);
    settings.version = bound;
    Ok(Instance::start(settings).await?.front)
}

/// Starts two instances, and returns the client address of the second and the proxy between it and the store.
async fn start_behind_proxy(store: &Store, bound: Duration) -> Result<(SocketAddr, Proxy)> {
    let port = free_port()?;
    let proxy = Proxy::start(store.address()).await?;
    start("one", Ipv4Addr::LOCALHOST, port, store.address(), bound).await?;
    let second = Ipv4Addr::new(127, 0, 0, 2);
    let front = start("two", second, port, proxy.address(), bound).await?;
    // Long enough for the instances to discover each other.
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    Ok((front, proxy))
}

fn request(id: &str) -> ClientRequest {
    let request = ClientRequest::new(id, HOST, "/live/").model("base/a1");
    request.timeout(Duration::from_secs(11))
}

/// Guards against an instance with a silent connection to the store that does not learn of a declaration from its
/// peers.
#[tokio::test]
async fn peers_relay_declaration() -> Result<()> {
    let store = Store::start().await?;
    let engine = start_holder(&store).await?;
    let (front, proxy) = start_behind_proxy(&store, BOUND).await?;
    client::send(front, &request("before")).await?;
    assert_that!(count_runs(&[&engine], "before"), eq(1));
    proxy.silence();
    store.declare("base", "a1", 2);
    tokio::time::sleep(BOUND * 3).await;
    client::send(front, &request("r1")).await?;
    assert_that!(count_runs(&[&engine], "r1"), eq(0));
    Ok(())
}

/// Guards against reads that wait forever when all connections to the store are silent and no peer has newer records.
/// Periodic calls must detect this, and pending reads must then be sent again.
#[tokio::test]
async fn silent_reads_are_sent_again() -> Result<()> {
    let store = Store::start().await?;
    let engine = start_holder(&store).await?;
    let proxy = Proxy::start(store.address()).await?;
    let front = start("one", Ipv4Addr::LOCALHOST, 0, proxy.address(), BOUND).await?;
    client::send(front, &request("before")).await?;
    assert_that!(count_runs(&[&engine], "before"), eq(1));
    proxy.silence();
    tokio::time::sleep(Duration::from_secs(5)).await;
    store.declare("base", "a1", 2);
    tokio::time::sleep(BOUND * 2).await;
    client::send(front, &request("r1")).await?;
    assert_that!(count_runs(&[&engine], "r1"), eq(0));
    Ok(())
}

/// Guards against a request that exceeds the bound because it was sent before the instance learned of the
/// declaration.
#[tokio::test]
async fn sent_request_is_cancelled() -> Result<()> {
    let store = Store::start().await?;
    let engine = start_holder(&store).await?;
    let bound = Duration::from_secs(9);
    let (front, proxy) = start_behind_proxy(&store, bound).await?;
    engine.script(&[Action::Hang]);
    proxy.silence();
    let sent = tokio::spawn(async move { client::send(front, &request("r1")).await });
    while count_runs(&[&engine], "r1") == 0 {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    store.declare("base", "a1", 2);
    // Counted from the time of sending, the request would be cancelled after 8.4 s. Counted from the last time at which
    // the instance knew that there was no newer version, it is cancelled 1.5 s earlier.
    tokio::time::sleep(Duration::from_millis(7_700)).await;
    assert_that!(count_runs(&[&engine], "r1"), eq(1));
    assert_that!(engine.abandoned(), eq(1));
    sent.abort();
    Ok(())
}
