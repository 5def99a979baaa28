//! The store comes back from a copy that lacks its newest records, and gives their offsets out again.

mod common;

use std::net::Ipv4Addr;
use std::time::Duration;

use anyhow::Result;
use common::{HOST, Instance, free_port};
use googletest::prelude::*;
use http::StatusCode;
use ploverwick_platform::OPERATOR;
use ploverwick_platform_standin::client::{self, Ask};
use ploverwick_platform_standin::endpoint::Endpoint;
use ploverwick_platform_standin::settings;
use ploverwick_platform_standin::store::Store;

/// The instances of one failure domain; few of them read the store.
const INSTANCES_OF_DOMAIN: [&str; 5] = ["a", "b", "c", "d", "e"];
/// Longer than it takes until all have heard each other and most rely on others.
const SETTLED: Duration = Duration::from_millis(2_500);
/// How long a configuration may take to be in force everywhere.
const IN_FORCE: Duration = Duration::from_secs(2);
/// How long the store is away for a restore.
const AWAY: Duration = Duration::from_millis(300);
/// The configurations that the copy lacks.
const LOST: usize = 4;

fn with_route(version: u64, path: &str) -> serde_json::Value {
    let mut config = settings::config(version);
    settings::add_route(&mut config, path);
    config
}

/// Restores the store without the last records of a topic.
async fn restore(store: &Store, topic: &str, records: usize) {
    store.away(true);
    tokio::time::sleep(AWAY).await;
    store.restore(topic, records);
    store.away(false);
}

/// Returns the instances that do not serve a path.
async fn without_route(instances: &[Instance], path: &str) -> Result<Vec<usize>> {
    let mut without = Vec::new();
    for (number, instance) in instances.iter().enumerate() {
        let got = client::send(instance.front, &Ask::new("new", HOST, path)).await?;
        if got.status != StatusCode::OK {
            without.push(number);
        }
    }
    Ok(without)
}

async fn start_all(store: &Store) -> Result<Vec<Instance>> {
    let port = free_port()?;
    let mut instances = Vec::new();
    for (host, name) in (1..).zip(INSTANCES_OF_DOMAIN) {
        let ip = Ipv4Addr::new(127, 0, 0, host);
        let settings = settings::of(name, ip, port, store.address());
        instances.push(Instance::start(settings).await?);
    }
    tokio::time::sleep(SETTLED).await;
    Ok(instances)
}

async fn domain() -> Result<(Store, Endpoint, Vec<Instance>)> {
    let store = Store::start().await?;
    let endpoint = Endpoint::start("i-a", "app", None, "d1").await?;
    store.list(endpoint.id(), &endpoint.entry("ready"));
    store.configure(&settings::config(1));
    let instances = start_all(&store).await?;
    for version in 2..=6 {
        store.configure(&settings::config(version));
    }
    tokio::time::sleep(IN_FORCE).await;
    Ok((store, endpoint, instances))
}

/// Guards against instances that take what their peers read after a restore for known, as its offsets are
/// lower than those of before.
#[tokio::test]
async fn told_after_restore() -> Result<()> {
    let (store, _endpoint, instances) = domain().await?;
    restore(&store, OPERATOR, LOST).await;
    tokio::time::sleep(IN_FORCE).await;
    store.configure(&with_route(7, "/seventh/"));
    tokio::time::sleep(IN_FORCE).await;
    assert_that!(
        without_route(&instances, "/seventh/").await?,
        elements_are![]
    );
    Ok(())
}
