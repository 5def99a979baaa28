//! In a failure domain of many instances a few read the store's topics and tell the others, who hear all
//! the same, also of what is too long for a message and when those that read are gone.

mod common;

use std::net::Ipv4Addr;
use std::time::Duration;

use anyhow::Result;
use common::{HOST, Instance, free_port};
use googletest::prelude::*;
use http::StatusCode;
use ploverwick_platform::{INSTANCE_TOPIC, OPERATOR_TOPIC, TABLE_TOPIC, placer_group};
use ploverwick_platform_standin::client::{self, ClientRequest};
use ploverwick_platform_standin::endpoint::Endpoint;
use ploverwick_platform_standin::settings;
use ploverwick_platform_standin::store::Store;

/// The instances, by name.
const NAMES: [&str; 6] = ["a", "b", "c", "d", "e", "f"];
/// Longer than it takes until all have heard each other and most rely on others.
const SETTLED: Duration = Duration::from_millis(2_500);
/// How long a route may take to be in force everywhere: half of the shortest bound.
const IN_FORCE: Duration = Duration::from_secs(1);

async fn start(name: &str, host: u8, port: u16, store: &Store) -> Result<Instance> {
    let ip = Ipv4Addr::new(127, 0, 0, host);
    Instance::start(settings::of(name, ip, port, store.address())).await
}

/// Starts an instance of a system that ran before.
async fn start_again(name: &str, host: u8, port: u16, store: &Store) -> Result<Instance> {
    let ip = Ipv4Addr::new(127, 0, 0, host);
    let mut settings = settings::of(name, ip, port, store.address());
    settings.first_start = false;
    Instance::start(settings).await
}

async fn start_all(store: &Store) -> Result<Vec<Instance>> {
    let port = free_port()?;
    let mut instances = Vec::new();
    for (host, name) in (1..).zip(NAMES) {
        instances.push(start(name, host, port, store).await?);
    }
    tokio::time::sleep(SETTLED).await;
    Ok(instances)
}

/// Waits until all instances serve a path that came with a configuration.
async fn until_served(instances: &[Instance], path: &str) -> Result<()> {
    for instance in instances {
        let ask = ClientRequest::new("new", HOST, path);
        while client::send(instance.front, &ask).await?.status != StatusCode::OK {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }
    Ok(())
}

/// The configuration with one more route, and with `idle` routes besides that nobody asks for.
fn with_route(version: u64, path: &str, idle: usize) -> serde_json::Value {
    let mut config = settings::config(version);
    settings::add_route(&mut config, path);
    for number in 0..idle {
        settings::add_route(&mut config, &format!("/idle-{number}/"));
    }
    config
}

async fn world() -> Result<(Store, Endpoint, Vec<Instance>)> {
    let store = Store::start().await?;
    let endpoint = Endpoint::start("i-a", "app", None, "d1").await?;
    store.list(endpoint.id(), &endpoint.entry("ready"));
    store.configure(&settings::config(1));
    let instances = start_all(&store).await?;
    Ok((store, endpoint, instances))
}

#[tokio::test]
async fn all_hear() -> Result<()> {
    let (store, _endpoint, instances) = world().await?;
    let before = store.calls();
    // The first one is pushed, in several datagrams; the second one is too long for that.
    store.configure(&with_route(2, "/second/", 0));
    let heard = until_served(&instances, "/second/");
    tokio::time::timeout(IN_FORCE * 4, heard).await??;
    store.configure(&with_route(3, "/third/", 500));
    let heard = until_served(&instances, "/third/");
    tokio::time::timeout(IN_FORCE * 4, heard).await??;
    assert_that!(store.calls(), gt(before));
    Ok(())
}

/// Once all have heard each other, only those that read wait at the store.
#[tokio::test]
async fn few_read() -> Result<()> {
    let (store, _endpoint, _instances) = world().await?;
    for topic in [OPERATOR_TOPIC, TABLE_TOPIC, INSTANCE_TOPIC] {
        while store.waiting_reads(topic) < 2 {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        assert_that!(store.waiting_reads(topic), le(3), "{topic}");
    }
    Ok(())
}

/// Those that read end, and the others hear all the same.
#[tokio::test]
async fn readers_end() -> Result<()> {
    let (store, _endpoint, mut instances) = world().await?;
    for reader in instances.drain(..3) {
        reader.stop();
    }
    store.configure(&with_route(2, "/second/", 0));
    let heard = until_served(&instances, "/second/");
    tokio::time::timeout(IN_FORCE * 4, heard).await??;
    Ok(())
}

/// An instance that starts is told what the topics hold and asks the store for little.
#[tokio::test]
async fn start_is_told() -> Result<()> {
    let store = Store::start().await?;
    let endpoint = Endpoint::start("i-a", "app", None, "d1").await?;
    store.list(endpoint.id(), &endpoint.entry("ready"));
    store.configure(&with_route(1, "/first/", 2_000));
    let port = free_port()?;
    let mut instances = Vec::new();
    for (host, name) in (1..).zip(&NAMES[..3]) {
        instances.push(start(name, host, port, &store).await?);
    }
    tokio::time::sleep(SETTLED).await;
    let whole = store.snapshot_reads(OPERATOR_TOPIC) + store.snapshot_reads(TABLE_TOPIC);
    instances.push(start("d", 4, port, &store).await?);
    until_served(&instances[3..], "/first/").await?;
    assert_that!(
        store.snapshot_reads(OPERATOR_TOPIC) + store.snapshot_reads(TABLE_TOPIC),
        eq(whole)
    );
    Ok(())
}

/// An instance that starts while the store is away serves by what its peers know.
#[tokio::test]
async fn starts_without_store() -> Result<()> {
    let store = Store::start().await?;
    let endpoint = Endpoint::start("i-a", "app", None, "d1").await?;
    store.list(endpoint.id(), &endpoint.entry("ready"));
    store.configure(&with_route(1, "/first/", 0));
    let port = free_port()?;
    let mut instances = Vec::new();
    for (host, name) in (1..).zip(&NAMES[..3]) {
        instances.push(start(name, host, port, &store).await?);
    }
    tokio::time::sleep(SETTLED).await;
    // The first by name starts again: whoever comes first has nobody to ask while the store answers.
    let first = instances.remove(0);
    first.stop().await?;
    store.set_unavailable(true);
    let again = start("a", 1, port, &store).await?;
    until_served(&[again], "/first/").await?;
    Ok(())
}

/// All instances start again at once, as after a loss of power: their lines stand on the list, and nobody
/// knows what the topics hold. The first read it, and the others are told.
#[tokio::test]
async fn all_start_again() -> Result<()> {
    let store = Store::start().await?;
    let endpoint = Endpoint::start("i-a", "app", None, "d1").await?;
    store.list(endpoint.id(), &endpoint.entry("ready"));
    store.configure(&with_route(1, "/first/", 2_000));
    for (host, name) in (1..).zip(NAMES) {
        let line = format!(r#"{{"ip":"127.0.0.{host}","domain":"d1","capacity":250}}"#);
        store.write(INSTANCE_TOPIC, name, line.as_bytes());
    }
    let port = free_port()?;
    let starts = (1..).zip(NAMES).map(|(host, name)| {
        let store = store.clone();
        tokio::spawn(async move { start_again(name, host, port, &store).await })
    });
    let mut instances = Vec::new();
    for started in starts.collect::<Vec<_>>() {
        instances.push(started.await??);
    }
    until_served(&instances, "/first/").await?;
    assert_that!(store.snapshot_reads(OPERATOR_TOPIC), lt(NAMES.len()));
    Ok(())
}

/// Where all start again at once, those with more of a processor stand by for the right to place adapters.
#[tokio::test]
async fn large_ones_place() -> Result<()> {
    let store = Store::start().await?;
    store.configure(&settings::config(1));
    let sizes = [("a", 120), ("b", 120), ("c", 500), ("d", 500)];
    for (host, (name, capacity)) in (1..).zip(sizes) {
        let line = format!(r#"{{"ip":"127.0.0.{host}","domain":"d1","capacity":{capacity}}}"#);
        store.write(INSTANCE_TOPIC, name, line.as_bytes());
    }
    let port = free_port()?;
    let starts = (1..).zip(sizes).map(|(host, (name, capacity))| {
        let ip = Ipv4Addr::new(127, 0, 0, host);
        let mut settings = settings::of(name, ip, port, store.address());
        settings.first_start = false;
        settings.capacity = capacity;
        tokio::spawn(Instance::start(settings))
    });
    let mut instances = Vec::new();
    for started in starts.collect::<Vec<_>>() {
        instances.push(started.await??);
    }
    tokio::time::sleep(SETTLED).await;
    let members = store.members(&placer_group("d1"));
    assert_that!(members, unordered_elements_are![eq("c"), eq("d")]);
    Ok(())
}
