//! The store is restored from a backup that lacks its newest records and assigns their offsets again.

mod common;

use std::net::Ipv4Addr;
use std::time::Duration;

use anyhow::Result;
use common::{Gateway, HOST, Instance, free_port, two_app_endpoints};
use googletest::prelude::*;
use http::StatusCode;
use ploverwick_gateway::table;
use ploverwick_platform::{
    self as platform, ENDPOINT_TOPIC, INSTANCE_TOPIC, OPERATOR_TOPIC, TABLE_TOPIC,
};
use ploverwick_platform_standin::client::{self, ClientRequest};
use ploverwick_platform_standin::endpoint::Endpoint;
use ploverwick_platform_standin::settings;
use ploverwick_platform_standin::store::Store;

/// The names of the instances, which share one failure domain so that only some of them read the store.
const INSTANCE_NAMES: [&str; 5] = ["a", "b", "c", "d", "e"];
/// Longer than the instances take to discover each other and to rely on those that read the store.
const SETTLED: Duration = Duration::from_millis(2_500);
/// The bound within which a configuration must be in force at all instances.
const IN_FORCE: Duration = Duration::from_secs(2);
/// How long the store is unavailable during a restore.
const OUTAGE_DURATION: Duration = Duration::from_millis(300);
/// The number of records that the backup lacks.
const LOST_RECORDS: usize = 4;

fn with_route(version: u64, path: &str) -> serde_json::Value {
    let mut config = settings::config(version);
    settings::add_route(&mut config, path);
    config
}

/// Makes the store unavailable and restores it without the last records of a topic.
async fn restore(store: &Store, topic: &str, records: usize) {
    store.set_unavailable(true);
    tokio::time::sleep(OUTAGE_DURATION).await;
    store.restore(topic, records);
    store.set_unavailable(false);
}

/// Returns the indices of the instances that do not serve a path.
async fn without_route(instances: &[Instance], path: &str) -> Result<Vec<usize>> {
    let mut without = Vec::new();
    for (index, instance) in instances.iter().enumerate() {
        let got = client::send(instance.front, &ClientRequest::new("new", HOST, path)).await?;
        if got.status != StatusCode::OK {
            without.push(index);
        }
    }
    Ok(without)
}

async fn start_all(store: &Store) -> Result<Vec<Instance>> {
    let port = free_port()?;
    let mut instances = Vec::new();
    for (host, name) in (1..).zip(INSTANCE_NAMES) {
        let ip = Ipv4Addr::new(127, 0, 0, host);
        let settings = settings::of(name, ip, port, store.address());
        instances.push(Instance::start(settings).await?);
    }
    tokio::time::sleep(SETTLED).await;
    Ok(instances)
}

async fn start_domain() -> Result<(Store, Endpoint, Vec<Instance>)> {
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

/// Guards against instances that ignore records from their peers after a restore because the offsets are lower
/// than those already read.
#[tokio::test]
async fn records_are_relayed_after_restore() -> Result<()> {
    let (store, _endpoint, instances) = start_domain().await?;
    restore(&store, OPERATOR_TOPIC, LOST_RECORDS).await;
    tokio::time::sleep(IN_FORCE).await;
    store.configure(&with_route(7, "/seventh/"));
    tokio::time::sleep(IN_FORCE).await;
    assert_that!(
        without_route(&instances, "/seventh/").await?,
        elements_are![]
    );
    Ok(())
}

/// Guards against records that are skipped because the offset reached before the restore exists again.
#[tokio::test]
async fn offsets_are_reused() -> Result<()> {
    let (store, _endpoint, instances) = start_domain().await?;
    store.set_unavailable(true);
    tokio::time::sleep(OUTAGE_DURATION).await;
    store.restore(OPERATOR_TOPIC, LOST_RECORDS);
    store.configure(&with_route(7, "/seventh/"));
    for version in 1..=LOST_RECORDS as u64 + 2 {
        store.declare("base", "a1", version);
    }
    store.set_unavailable(false);
    tokio::time::sleep(IN_FORCE).await;
    assert_that!(
        without_route(&instances, "/seventh/").await?,
        elements_are![]
    );
    Ok(())
}

/// Guards against calls that are retried without a pause because peers report offsets that the store does not have.
#[tokio::test]
async fn calls_stay_few() -> Result<()> {
    let (store, _endpoint, _instances) = start_domain().await?;
    let before = store.calls();
    tokio::time::sleep(IN_FORCE).await;
    let calls_before_restore = store.calls() - before;
    restore(&store, OPERATOR_TOPIC, LOST_RECORDS).await;
    tokio::time::sleep(IN_FORCE).await;
    let before = store.calls();
    tokio::time::sleep(IN_FORCE).await;
    assert_that!(store.calls() - before, le(calls_before_restore * 2));
    Ok(())
}

/// Guards against a departure that is missed because reading continues at an offset from before the restore.
#[tokio::test]
async fn departure_is_read() -> Result<()> {
    let (a, b) = two_app_endpoints().await?;
    let gateway = Gateway::with_endpoints(&[&a, &b]).await?;
    for _ in 0..LOST_RECORDS {
        gateway.store.list(b.id(), &b.entry("ready"));
    }
    tokio::time::sleep(SETTLED).await;
    gateway.store.set_unavailable(true);
    tokio::time::sleep(OUTAGE_DURATION).await;
    gateway.store.restore(ENDPOINT_TOPIC, LOST_RECORDS);
    gateway.store.list(a.id(), &a.entry("draining"));
    for _ in 0..LOST_RECORDS + 2 {
        gateway.store.list(b.id(), &b.entry("ready"));
    }
    gateway.store.set_unavailable(false);
    tokio::time::sleep(SETTLED).await;
    let before = a.requests_received();
    for number in 0..20 {
        gateway.request(&format!("r{number}"), "/safe/").await?;
    }
    assert_that!(a.requests_received(), eq(before));
    Ok(())
}

/// Guards against endpoints that are considered removed because the backup lacks their entries.
#[tokio::test]
async fn missing_endpoints_are_awaited() -> Result<()> {
    let (a, b) = two_app_endpoints().await?;
    let gateway = Gateway::with_endpoints(&[&a, &b]).await?;
    gateway.store.restore(ENDPOINT_TOPIC, usize::MAX);
    // Longer than the pause between two reads of the list, shorter than the wait for missing endpoints.
    tokio::time::sleep(Duration::from_millis(1_300)).await;
    let got = gateway.request("meanwhile", "/safe/").await?;
    assert_that!(got.status, eq(StatusCode::OK));
    for endpoint in [&a, &b] {
        gateway.store.list(endpoint.id(), &endpoint.entry("ready"));
    }
    tokio::time::sleep(SETTLED).await;
    let got = gateway.request("back", "/safe/").await?;
    assert_that!(got.status, eq(StatusCode::OK));
    Ok(())
}

/// Guards against running instances that stay unlisted because the backup lacks their entries.
#[tokio::test]
async fn instances_are_listed_again() -> Result<()> {
    let (store, _endpoint, _instances) = start_domain().await?;
    restore(&store, INSTANCE_TOPIC, usize::MAX).await;
    tokio::time::sleep(IN_FORCE * 2).await;
    for name in INSTANCE_NAMES {
        assert_that!(
            store.newest_of(INSTANCE_TOPIC, name),
            some(anything()),
            "{name}"
        );
    }
    Ok(())
}

/// Guards against orders that endpoints refuse because the group's generations restart.
#[tokio::test]
async fn fencing_tokens_rise() -> Result<()> {
    let store = Store::start().await?;
    store.configure(&settings::config(1));
    let endpoint = Endpoint::start("i-a", "lm", Some("base"), "d1").await?;
    store.list(endpoint.id(), &endpoint.entry("ready"));
    // Raises the generation above the one that the group has after the restore.
    let other = platform::store::Store::new(store.address(), 1);
    let group = platform::placer_group("d1");
    for _ in 0..5 {
        other.join(&group, "other", SETTLED, 0).await?;
        other.leave(&group, "other").await?;
    }
    let port = free_port()?;
    let start = |name, host| {
        let ip = Ipv4Addr::new(127, 0, 0, host);
        Instance::start(settings::of(name, ip, port, store.address()))
    };
    let first = start("one", 1).await?;
    let request = |id: &str, adapter: &str| {
        ClientRequest::new(id, HOST, "/live/").model(&format!("base/{adapter}"))
    };
    let got = client::send(first.front, &request("before", "a1")).await?;
    assert_that!(got.status, eq(StatusCode::OK));
    restore(&store, OPERATOR_TOPIC, 0).await;
    first.stop().await?;
    let second = start("two", 2).await?;
    tokio::time::sleep(SETTLED).await;
    let got = client::send(second.front, &request("after", "a2")).await?;
    assert_that!(got.status, eq(StatusCode::OK));
    assert_that!(endpoint.tokens().is_sorted(), eq(true));
    Ok(())
}

/// Sends a request for adapter `a1` and returns the priority with which the engine ran it.
async fn priority(gateway: &Gateway, engine: &Endpoint, id: &str) -> Result<Option<u64>> {
    gateway.stream(id, "/live/", "a1").await?;
    let runs = engine.runs();
    let run = runs.iter().find(|run| run.id == id);
    Ok(run.and_then(|run| run.priority))
}

/// Guards against an operators' table that reverts to an older one, or that instances cannot read when they start,
/// because the backup lacks the newest one.
#[tokio::test]
async fn table_stays() -> Result<()> {
    let engine = Endpoint::start("i-a", "lm", Some("base"), "d1").await?;
    let gateway = Gateway::with_endpoints(&[&engine]).await?;
    let address = gateway.store.address();
    let first_version = table::publish(address, "name,priority\na1,9\n", 0).await?;
    tokio::time::sleep(IN_FORCE).await;
    let first = priority(&gateway, &engine, "first").await?;
    let newest_text = "name,priority\na1,1\n";
    table::publish(address, newest_text, first_version).await?;
    tokio::time::sleep(IN_FORCE).await;
    let newest = priority(&gateway, &engine, "newest").await?;
    assert_that!(newest, some(anything()));
    assert_that!(newest, not(eq(first)));
    // The newest table consists of two records: a part and the head.
    restore(&gateway.store, TABLE_TOPIC, 2).await;
    tokio::time::sleep(IN_FORCE).await;
    let restored = priority(&gateway, &engine, "restored").await?;
    assert_that!(restored, eq(newest));
    let published = table::show(address).await?;
    assert_that!(published.text.as_deref(), some(eq(newest_text)));
    Ok(())
}
