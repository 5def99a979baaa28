//! Streams while endpoints of a second build have just been listed.

mod common;

use std::net::Ipv4Addr;
use std::time::Duration;

use anyhow::Result;
use common::{Gateway, HOST, Instance, count_runs, free_port};
use googletest::prelude::*;
use http::StatusCode;
use ploverwick_platform::{ENDPOINT_TOPIC, INSTANCE_TOPIC};
use ploverwick_platform_standin::client::{self, ClientRequest};
use ploverwick_platform_standin::endpoint::{Action, Endpoint};
use ploverwick_platform_standin::settings;
use ploverwick_platform_standin::store::Store;

/// Ends a test that would hang.
const HANG_LIMIT: Duration = Duration::from_secs(10);
/// Long enough for instances to discover each other.
const DISCOVERY: Duration = Duration::from_millis(2_500);
/// Long enough for an instance to regard its list of endpoints as out of date.
const OUTAGE: Duration = Duration::from_secs(4);
/// The number of requests at which an endpoint with four slots takes no more.
const FULL: usize = 10;
/// The time limit of the streams.
const TIMEOUT: Duration = Duration::from_secs(20);

fn stream(id: &str) -> ClientRequest {
    ClientRequest::new(id, HOST, "/resume/").timeout(TIMEOUT)
}

async fn endpoint(id: &str, software: &str) -> Result<Endpoint> {
    let endpoint = Endpoint::start(id, "lm", Some("base"), "d1").await?;
    endpoint.set_software(software);
    Ok(endpoint)
}

/// Starts a gateway with one endpoint, for streams that last.
async fn start(old: &Endpoint) -> Result<Gateway> {
    let store = Store::start().await?;
    let mut config = settings::config(1);
    settings::set_timeout(&mut config, "/resume/", TIMEOUT);
    store.configure(&config);
    store.list(old.id(), &old.entry("ready"));
    let gateway = Gateway::start(store, true).await?;
    gateway.wait_until_ready(true).await?;
    wait_until_used(&gateway, old).await?;
    Ok(gateway)
}

/// Sends requests that streams of new builds do not concern until an endpoint has run one.
async fn wait_until_used(gateway: &Gateway, endpoint: &Endpoint) -> Result<()> {
    tokio::time::timeout(HANG_LIMIT, async {
        for number in 0.. {
            let id = format!("probe-{}-{number}", endpoint.id());
            gateway.request(&id, "/live/").await?;
            if count_runs(&[endpoint], &id) > 0 {
                break;
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        Ok(())
    })
    .await?
}

/// Guards against keeping requests that nobody takes up again from the endpoints of a new build.
#[gtest]
#[tokio::test]
async fn other_requests_reach_a_new_build_at_once() -> Result<()> {
    let (old, new) = (endpoint("i-a", "v1").await?, endpoint("i-x", "v2").await?);
    let gateway = start(&old).await?;
    gateway.store.list(new.id(), &new.entry("ready"));
    wait_until_used(&gateway, &new).await?;
    // The build has not settled yet.
    let ids: Vec<String> = (0..FULL / 2).map(|number| format!("r{number}")).collect();
    let streams = ids
        .iter()
        .map(|id| async { client::send(gateway.front, &stream(id)).await });
    for got in futures_util::future::try_join_all(streams).await? {
        expect_that!(got.status, eq(StatusCode::OK), "{got:?}");
    }
    for id in &ids {
        expect_that!(count_runs(&[&old], id), eq(1), "{id}");
    }
    Ok(())
}

/// Guards against refusing streams because the endpoints of the other build are full, while those of a new build are idle.
#[gtest]
#[tokio::test]
async fn full_endpoints_leave_streams_to_a_new_build() -> Result<()> {
    let (old, new) = (endpoint("i-a", "v1").await?, endpoint("i-x", "v2").await?);
    let gateway = start(&old).await?;
    old.script(&[Action::Stall(0); FULL]);
    let mut held = Vec::new();
    for number in 0..FULL {
        let id = format!("held-{number}");
        let (front, request) = (gateway.front, stream(&id));
        held.push(tokio::spawn(
            async move { client::send(front, &request).await },
        ));
        tokio::time::timeout(HANG_LIMIT, async {
            while count_runs(&[&old], &id) == 0 {
                tokio::time::sleep(Duration::from_millis(2)).await;
            }
        })
        .await?;
    }
    gateway.store.list(new.id(), &new.entry("ready"));
    wait_until_used(&gateway, &new).await?;
    let got = client::send(gateway.front, &stream("r1")).await?;
    expect_that!(got.status, eq(StatusCode::OK), "{got:?}");
    expect_that!(count_runs(&[&new], "r1"), eq(1));
    held.iter().for_each(tokio::task::JoinHandle::abort);
    Ok(())
}

/// Guards against refusing streams because the endpoints of the other build refuse them, while those of a new build are idle.
#[gtest]
#[tokio::test]
async fn refusing_endpoints_leave_streams_to_a_new_build() -> Result<()> {
    let (old, new) = (endpoint("i-a", "v1").await?, endpoint("i-x", "v2").await?);
    let gateway = start(&old).await?;
    gateway.store.list(new.id(), &new.entry("ready"));
    wait_until_used(&gateway, &new).await?;
    old.script(&[Action::Refuse; FULL]);
    let got = client::send(gateway.front, &stream("r1")).await?;
    expect_that!(got.status, eq(StatusCode::OK), "{got:?}");
    expect_that!(count_runs(&[&new], "r1"), eq(1));
    Ok(())
}

/// Guards against taking a response of the store that holds fewer records than the topic has for the whole list, and so an older
/// build for the only one: at the instance that reads the list, and at the one that it sends the list to.
#[gtest]
#[tokio::test]
async fn short_reads_infer_nothing() -> Result<()> {
    let (old, new) = (endpoint("i-a", "v1").await?, endpoint("i-x", "v2").await?);
    let store = Store::start().await?;
    store.configure(&settings::config(1));
    store.list(old.id(), &old.entry("ready"));
    let port = free_port()?;
    let mut instances = Vec::new();
    for (host, name) in (11..).zip(["one", "two"]) {
        let ip = Ipv4Addr::new(127, 0, 0, host);
        let settings = settings::of(name, ip, port, store.address());
        instances.push(Instance::start(settings).await?);
    }
    tokio::time::sleep(DISCOVERY).await;
    store.withhold_records(ENDPOINT_TOPIC);
    store.list(new.id(), &new.entry("ready"));
    tokio::time::sleep(OUTAGE).await;
    for (number, instance) in instances.iter().enumerate() {
        let id = format!("next-{number}");
        let next = stream(&id).resumes("begun-elsewhere").after_event(0);
        let got = client::send(instance.front, &next).await?;
        expect_that!(got.status, eq(StatusCode::SERVICE_UNAVAILABLE), "{got:?}");
        expect_that!(got.code.as_deref(), some(eq("3017")));
        expect_that!(count_runs(&[&old, &new], &id), eq(0));
    }
    Ok(())
}

/// Guards against taking it for agreement that nobody could be asked, as the list of instances was not read yet.
#[gtest]
#[tokio::test]
async fn unread_instances_are_not_agreement() -> Result<()> {
    let (old, new) = (endpoint("i-a", "v1").await?, endpoint("i-x", "v2").await?);
    let gateway = start(&old).await?;
    let got = client::send(gateway.front, &stream("r1")).await?;
    expect_that!(got.status, eq(StatusCode::OK), "{got:?}");
    gateway.store.list(new.id(), &new.entry("ready"));
    gateway.store.unlist(old.id());
    wait_until_used(&gateway, &new).await?;
    // An instance that starts now finds nothing of the older build.
    gateway.store.compact();
    gateway.store.set_unreadable(INSTANCE_TOPIC, true);
    let ip = Ipv4Addr::new(127, 0, 0, 12);
    let mut settings = settings::of("two", ip, free_port()?, gateway.store.address());
    settings.first_start = false;
    let second = Instance::start(settings).await?;
    let next = stream("next").resumes("r1").after_event(0);
    let got = client::send(second.front, &next).await?;
    expect_that!(got.status, eq(StatusCode::SERVICE_UNAVAILABLE), "{got:?}");
    expect_that!(got.code.as_deref(), some(eq("3017")));
    expect_that!(count_runs(&[&new], "next"), eq(0));
    Ok(())
}
