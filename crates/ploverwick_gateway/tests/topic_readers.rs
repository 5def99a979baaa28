//! In a failure domain with many instances, a few read the store's topics and relay records to the others. All
//! instances must get all records, including those that are too long for a message, also after the readers stop.

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

/// The names of the instances.
const INSTANCE_NAMES: [&str; 6] = ["a", "b", "c", "d", "e", "f"];
/// Longer than the instances take to discover each other and to rely on the readers.
const SETTLED: Duration = Duration::from_millis(2_500);
/// How long a route may take to be in force at all instances; half of the shortest bound.
const IN_FORCE: Duration = Duration::from_secs(1);

async fn start(name: &str, host: u8, port: u16, store: &Store) -> Result<Instance> {
    let ip = Ipv4Addr::new(127, 0, 0, host);
    Instance::start(settings::of(name, ip, port, store.address())).await
}

/// Starts an instance of a deployment that ran before.
async fn start_again(name: &str, host: u8, port: u16, store: &Store) -> Result<Instance> {
    let ip = Ipv4Addr::new(127, 0, 0, host);
    let mut settings = settings::of(name, ip, port, store.address());
    settings.first_start = false;
    Instance::start(settings).await
}

async fn start_all(store: &Store) -> Result<Vec<Instance>> {
    let port = free_port()?;
    let mut instances = Vec::new();
    for (host, name) in (1..).zip(INSTANCE_NAMES) {
        instances.push(start(name, host, port, store).await?);
    }
    tokio::time::sleep(SETTLED).await;
    Ok(instances)
}

/// Waits until all instances serve the path of a new route.
async fn wait_until_served(instances: &[Instance], path: &str) -> Result<()> {
    for instance in instances {
        let request = ClientRequest::new("new", HOST, path);
        while client::send(instance.front, &request).await?.status != StatusCode::OK {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }
    Ok(())
}

/// Returns the configuration with one more route and `idle` additional routes that get no requests.
fn with_route(version: u64, path: &str, idle: usize) -> serde_json::Value {
    let mut config = settings::config(version);
    settings::add_route(&mut config, path);
    for number in 0..idle {
        settings::add_route(&mut config, &format!("/idle-{number}/"));
    }
    config
}

async fn start_domain() -> Result<(Store, Endpoint, Vec<Instance>)> {
    let store = Store::start().await?;
    let endpoint = Endpoint::start("i-a", "app", None, "d1").await?;
    store.list(endpoint.id(), &endpoint.entry("ready"));
    store.configure(&settings::config(1));
    let instances = start_all(&store).await?;
    Ok((store, endpoint, instances))
}

#[tokio::test]
async fn all_instances_get_records() -> Result<()> {
    let (store, _endpoint, instances) = start_domain().await?;
    let before = store.calls();
    // The first configuration is relayed in several datagrams; the second one is too long for that.
    store.configure(&with_route(2, "/second/", 0));
    let served = wait_until_served(&instances, "/second/");
    tokio::time::timeout(IN_FORCE * 4, served).await??;
    store.configure(&with_route(3, "/third/", 500));
    let served = wait_until_served(&instances, "/third/");
    tokio::time::timeout(IN_FORCE * 4, served).await??;
    assert_that!(store.calls(), gt(before));
    Ok(())
}

/// Guards against more than a few instances that wait for records at the store.
#[tokio::test]
async fn few_instances_read() -> Result<()> {
    let (store, _endpoint, _instances) = start_domain().await?;
    for topic in [OPERATOR_TOPIC, TABLE_TOPIC, INSTANCE_TOPIC] {
        while store.waiting_reads(topic) < 2 {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        assert_that!(store.waiting_reads(topic), le(3), "{topic}");
    }
    Ok(())
}

/// Guards against instances that get no records after the readers have stopped.
#[tokio::test]
async fn readers_are_replaced() -> Result<()> {
    let (store, _endpoint, mut instances) = start_domain().await?;
    for reader in instances.drain(..3) {
        reader.stop();
    }
    store.configure(&with_route(2, "/second/", 0));
    let served = wait_until_served(&instances, "/second/");
    tokio::time::timeout(IN_FORCE * 4, served).await??;
    Ok(())
}

/// Guards against an instance that reads whole topics from the store at its start, although its peers have them.
#[tokio::test]
async fn started_instance_asks_peers() -> Result<()> {
    let store = Store::start().await?;
    let endpoint = Endpoint::start("i-a", "app", None, "d1").await?;
    store.list(endpoint.id(), &endpoint.entry("ready"));
    store.configure(&with_route(1, "/first/", 2_000));
    let port = free_port()?;
    let mut instances = Vec::new();
    for (host, name) in (1..).zip(&INSTANCE_NAMES[..3]) {
        instances.push(start(name, host, port, &store).await?);
    }
    tokio::time::sleep(SETTLED).await;
    let reads_before = store.snapshot_reads(OPERATOR_TOPIC) + store.snapshot_reads(TABLE_TOPIC);
    instances.push(start("d", 4, port, &store).await?);
    wait_until_served(&instances[3..], "/first/").await?;
    assert_that!(
        store.snapshot_reads(OPERATOR_TOPIC) + store.snapshot_reads(TABLE_TOPIC),
        eq(reads_before)
    );
    Ok(())
}

/// Guards against an instance that cannot start during an outage of the store, although its peers have the topics.
#[tokio::test]
async fn starts_without_store() -> Result<()> {
    let store = Store::start().await?;
    let endpoint = Endpoint::start("i-a", "app", None, "d1").await?;
    store.list(endpoint.id(), &endpoint.entry("ready"));
    store.configure(&with_route(1, "/first/", 0));
    let port = free_port()?;
    let mut instances = Vec::new();
    for (host, name) in (1..).zip(&INSTANCE_NAMES[..3]) {
        instances.push(start(name, host, port, &store).await?);
    }
    tokio::time::sleep(SETTLED).await;
    // The first instance by name restarts: while the store responds, the first ones read it instead of asking peers.
    let first = instances.remove(0);
    first.stop().await?;
    store.set_unavailable(true);
    let again = start("a", 1, port, &store).await?;
    wait_until_served(&[again], "/first/").await?;
    Ok(())
}

/// Guards against each instance reading whole topics from the store when all restart at once, as after a power loss:
/// they are listed, but no instance has the topics. The first ones must read them and relay them to the others.
#[tokio::test]
async fn all_instances_restart() -> Result<()> {
    let store = Store::start().await?;
    let endpoint = Endpoint::start("i-a", "app", None, "d1").await?;
    store.list(endpoint.id(), &endpoint.entry("ready"));
    store.configure(&with_route(1, "/first/", 2_000));
    for (host, name) in (1..).zip(INSTANCE_NAMES) {
        let line = format!(r#"{{"ip":"127.0.0.{host}","domain":"d1","capacity":250}}"#);
        store.write(INSTANCE_TOPIC, name, line.as_bytes());
    }
    let port = free_port()?;
    let starts = (1..).zip(INSTANCE_NAMES).map(|(host, name)| {
        let store = store.clone();
        tokio::spawn(async move { start_again(name, host, port, &store).await })
    });
    let mut instances = Vec::new();
    for started in starts.collect::<Vec<_>>() {
        instances.push(started.await??);
    }
    wait_until_served(&instances, "/first/").await?;
    assert_that!(
        store.snapshot_reads(OPERATOR_TOPIC),
        lt(INSTANCE_NAMES.len())
    );
    Ok(())
}

/// Guards against instances with a small CPU share joining the placer group when all restart at once.
#[tokio::test]
async fn larger_instances_join_placer_group() -> Result<()> {
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
