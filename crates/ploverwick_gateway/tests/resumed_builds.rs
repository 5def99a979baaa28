//! A stream holds events of one build only over the attempts of a client.

mod builds;
mod common;

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Result, bail};
use builds::{Fleet, HANG_LIMIT, config, events, expect_complete, expect_one_build, send, stream};
use common::{count_runs, free_port};
use googletest::prelude::*;
use http::StatusCode;
use ploverwick_platform_standin::client::{ClientRequest, ClientResponse};
use ploverwick_platform_standin::endpoint::{Action, EVENTS, Endpoint};
use ploverwick_platform_standin::proxy::{Cut, Proxy};
use ploverwick_platform_standin::store::Store;
use serde_json::Value;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Long enough for instances to tell each other of a stream.
const EXCHANGE: Duration = Duration::from_millis(500);
/// Long enough for an instance to regard its list of endpoints as out of date.
const OUTAGE: Duration = Duration::from_secs(4);
/// The result code for a stream of whose build no endpoint is left.
const BUILD_GONE: &str = "3016";
/// The result code for a stream whose build is not known.
const BUILD_UNKNOWN: &str = "3017";
/// The result code for a header that cannot be read.
const HEADER_MALFORMED: &str = "2004";

/// Sends streams until one runs at a build, and returns its identifier. Its client may take it up again, since it may have
/// lost its connection to the instance.
async fn begin_at(
    fleet: &Fleet,
    software: &str,
    front: SocketAddr,
    request: ClientRequest,
) -> Result<String> {
    let until = Instant::now() + HANG_LIMIT;
    for number in 0.. {
        let mut request = request.clone();
        request.id = format!("{}-{number}", request.id);
        send(front, &request).await?;
        if fleet.software(&request.id).contains(&Arc::from(software)) {
            return Ok(request.id);
        }
        if Instant::now() >= until {
            break;
        }
    }
    bail!("no stream began at {software}")
}

async fn wait_until_closed(front: SocketAddr) {
    while TcpStream::connect(front).await.is_ok() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

fn expect_refused(got: &ClientResponse, status: StatusCode, code: &str, what: &str) {
    expect_that!(got.status, eq(status), "{what}");
    expect_that!(got.code.as_deref(), some(eq(code)), "{what}");
}

/// Guards against a client's new attempt that takes a stream up at an endpoint of another build than the one that began
/// it, at the same instance or another, also after the first one has ended.
#[gtest]
#[tokio::test]
async fn one_build_over_attempts() -> Result<()> {
    let mut fleet = Fleet::start(3, 1).await?;
    let [a, b, c] = [0, 1, 2].map(|number| fleet.old[number].clone());
    let [x, y, z] = [0, 1, 2].map(|number| fleet.new[number].clone());
    let [one, two, three] = [0, 1, 2].map(|number| fleet.fronts[number]);
    for (id, adapter) in [("r1", false), ("s1", true)] {
        a.script(&[Action::Truncate(0)]);
        let request = stream(id);
        let request = if adapter {
            request.model("base/a1")
        } else {
            request
        };
        let got = send(one, &request).await?;
        expect_that!(events(&got).first(), some(eq(&0)), "{id}: {got:?}");
        expect_that!(got.is_whole, eq(false), "{id}");
    }

    // Attempts at all instances, each of which breaks off after another event, but for the last ones.
    fleet.add(&x).await?;
    fleet.add(&b).await?;
    for (round, last) in [(1, 1), (2, 2), (3, EVENTS - 1)] {
        for (name, front) in [("one", one), ("two", two), ("three", three)] {
            let id = &format!("r1-{name}-{round}");
            let is_broken = last < EVENTS - 1;
            let action = if is_broken {
                Action::Truncate(last)
            } else {
                Action::Answer
            };
            fleet.script(&[action]);
            let got = send(front, &stream(id).resumes("r1").after_event(last - 1)).await?;
            expect_that!(events(&got).first(), some(eq(&last)), "{id}: {got:?}");
            expect_that!(got.is_whole, eq(!is_broken), "{id}");
            expect_one_build(&fleet, &["r1", id]);
        }
    }
    fleet.script(&[]);

    // The adapter is loaded at an endpoint of the build, though one of another build has it.
    fleet.store.unlist(a.id());
    fleet.store.unlist(b.id());
    fleet.add(&y).await?;
    for (name, front) in [("one", one), ("two", two), ("three", three)] {
        let warm = stream(&format!("warm-{name}")).model("base/a1");
        expect_complete(&send(front, &warm).await?, 0, "warm");
    }
    fleet.add(&b).await?;
    for (name, front) in [("one", one), ("two", two), ("three", three)] {
        let id = &format!("s1-{name}");
        let request = stream(id).model("base/a1").resumes("s1").after_event(0);
        expect_complete(&send(front, &request).await?, 1, id);
        expect_one_build(&fleet, &["s1", id]);
    }

    // Streams whose beginning is not known, and malformed requests.
    let unknown = [
        stream("unknown").resumes("never").after_event(0),
        stream("unnamed").after_event(0),
    ];
    for request in &unknown {
        let got = send(three, request).await?;
        let id = &request.id;
        expect_refused(&got, StatusCode::SERVICE_UNAVAILABLE, BUILD_UNKNOWN, id);
        expect_that!(fleet.runs(id), eq(0), "{id} ran");
    }
    let malformed = [
        stream("empty").resumes("").after_event(0),
        stream("twice").resumes("r1").resumes("s1").after_event(0),
    ];
    for request in &malformed {
        let got = send(three, request).await?;
        let id = &request.id;
        expect_refused(&got, StatusCode::BAD_REQUEST, HEADER_MALFORMED, id);
        expect_that!(fleet.runs(id), eq(0), "{id} ran");
    }

    // No endpoint of the build is left. The endpoint listed last shows that the others are gone from the instance's list.
    fleet.add(&a).await?;
    let plain = begin_at(&fleet, "v1", three, stream("old-plain")).await?;
    let adapter = stream("old-adapter").model("base/a1");
    let adapter = begin_at(&fleet, "v1", three, adapter).await?;
    fleet.store.unlist(a.id());
    fleet.store.unlist(b.id());
    fleet.add(&z).await?;
    let gone = [
        stream("gone").resumes(&plain),
        stream("gone-adapter").model("base/a1").resumes(&adapter),
    ];
    for request in gone {
        let id = request.id.clone();
        let got = send(three, &request.after_event(0)).await?;
        expect_refused(&got, StatusCode::SERVICE_UNAVAILABLE, BUILD_GONE, &id);
        expect_that!(
            fleet.runs(&id),
            eq(0),
            "{id} ran at {:?}",
            fleet.software(&id)
        );
    }

    // Streams that begin while both builds serve, and whose first instance is killed or stopped.
    fleet.add(&b).await?;
    fleet.add(&c).await?;
    for instance in [0, 1] {
        let ids = (0..4).map(|number| format!("k{instance}-{number}"));
        let ids: Vec<String> = ids.collect();
        for id in &ids {
            fleet.script(&[Action::Truncate(0)]);
            let got = send(fleet.fronts[instance], &stream(id)).await?;
            expect_that!(events(&got).first(), some(eq(&0)), "{id}: {got:?}");
        }
        fleet.script(&[]);
        tokio::time::sleep(EXCHANGE).await;
        let ended = fleet.instances[instance].take().expect("it is running");
        if instance == 0 {
            ended.served.abort();
            wait_until_closed(ended.front).await;
        } else {
            ended.stop().await?;
        }
        for id in &ids {
            let next = &format!("{id}-next");
            let got = send(three, &stream(next).resumes(id).after_event(0)).await?;
            expect_complete(&got, 1, next);
            expect_one_build(&fleet, &[id, next]);
        }
    }
    Ok(())
}

/// Guards against refusing streams while one build serves, whatever the client states of their beginning.
#[gtest]
#[tokio::test]
async fn one_build_needs_no_beginning() -> Result<()> {
    let mut fleet = Fleet::start(2, 2).await?;
    let b = fleet.old[1].clone();
    fleet.add(&b).await?;
    for (number, front) in fleet.fronts.iter().enumerate() {
        let requests = [
            stream("named").resumes("never"),
            stream("unnamed"),
            stream("adapter").model("base/a1"),
            stream("named-adapter").model("base/a1").resumes("never"),
        ];
        for mut request in requests {
            request.id = format!("{}-{number}", request.id);
            let got = send(*front, &request.clone().after_event(0)).await?;
            expect_complete(&got, 1, &request.id);
        }
    }
    let got = fleet.send_breaking(stream("r1"), 1, true).await?;
    expect_complete(&got, 0, "r1");
    Ok(())
}

/// Guards against losing the beginning of a stream with its first instance while the list of endpoints cannot be read, so that
/// nothing can be inferred.
#[gtest]
#[tokio::test]
async fn stream_before_an_outage_of_the_store() -> Result<()> {
    let mut fleet = Fleet::start(3, 1).await?;
    let b = fleet.old[1].clone();
    fleet.add(&b).await?;
    fleet.script(&[Action::Truncate(0)]);
    let got = send(fleet.fronts[0], &stream("r1")).await?;
    expect_that!(events(&got).first(), some(eq(&0)), "{got:?}");
    fleet.script(&[]);
    fleet.store.set_unavailable(true);
    tokio::time::sleep(OUTAGE).await;
    let ended = fleet.instances[0].take().expect("it is running");
    ended.served.abort();
    wait_until_closed(ended.front).await;
    let next = stream("r1-next").resumes("r1").after_event(0);
    let got = send(fleet.fronts[2], &next).await?;
    expect_complete(&got, 1, "r1-next");
    Ok(())
}

/// Guards against an instance that does not know of a build yet and cannot ask others, and continues the stream of a client
/// at the only build that it knows.
#[gtest]
#[tokio::test]
async fn stream_at_a_cut_off_instance() -> Result<()> {
    let store = Store::start().await?;
    let path = Proxy::start(store.address()).await?;
    // Each instance listens at another port than the others send to.
    let mut fleet = Fleet::start_with(store, 2, 1, |settings| {
        settings.peer_port = free_port().expect("a port is free");
        if &*settings.instance == "two" {
            settings.store = path.address();
        }
    })
    .await?;
    let x = fleet.new[0].clone();
    path.cut(Ipv4Addr::LOCALHOST.into(), Cut::Silent);
    fleet.list(&x);
    fleet.wait_until_used_by(0, &x).await?;
    let id = &begin_at(&fleet, "v1.1", fleet.fronts[0], stream("r1")).await?;
    let next = stream("next").resumes(id).after_event(0);
    let got = send(fleet.fronts[1], &next).await?;
    expect_refused(&got, StatusCode::SERVICE_UNAVAILABLE, BUILD_UNKNOWN, "next");
    expect_that!(
        fleet.runs("next"),
        eq(0),
        "ran at {:?}",
        fleet.software("next")
    );
    Ok(())
}

/// Guards against continuing a stream at another build because its route uses another service by then.
#[gtest]
#[tokio::test]
async fn route_moved_to_another_service() -> Result<()> {
    let mut fleet = Fleet::start(2, 1).await?;
    let [one, two] = [0, 1].map(|number| fleet.fronts[number]);
    let id = &begin_at(&fleet, "v1", one, stream("r1")).await?;
    let mut moved = Vec::new();
    for (id, software) in [("m-new", "v1.1"), ("m-old", "v1")] {
        let endpoint = Endpoint::start(id, "moved", Some("base"), "d1").await?;
        endpoint.set_software(software);
        moved.push(endpoint);
    }
    fleet.store.configure(&moved_config());
    let mut resumed = Vec::new();
    for endpoint in &moved {
        fleet.add(endpoint).await?;
        for (name, front) in [("one", one), ("two", two)] {
            let id = format!("{name}-{}", endpoint.id());
            let next = stream(&id).resumes("r1-0").after_event(0);
            resumed.push((id, send(front, &next).await?));
        }
    }
    expect_that!(id.as_str(), eq("r1-0"));
    for (id, got) in &resumed[..2] {
        expect_refused(got, StatusCode::SERVICE_UNAVAILABLE, BUILD_GONE, id);
        expect_that!(count_runs(&[&moved[0], &moved[1]], id), eq(0), "{id}");
    }
    for (id, got) in &resumed[2..] {
        expect_complete(got, 1, id);
        expect_that!(count_runs(&[&moved[1]], id), eq(1), "{id}");
    }
    Ok(())
}

/// Returns a configuration that moves the routes of the engine to another service.
fn moved_config() -> Value {
    let mut config = config(1);
    config["version"] = 2.into();
    let services = config["services"].as_array_mut().expect("a list");
    let engine = services.iter().find(|service| service["name"] == "lm");
    let mut moved = engine.expect("an engine").clone();
    moved["name"] = "moved".into();
    services.push(moved);
    let routes = config["routes"].as_array_mut().expect("a list");
    for route in routes.iter_mut().filter(|route| route["service"] == "lm") {
        route["service"] = "moved".into();
    }
    config
}
