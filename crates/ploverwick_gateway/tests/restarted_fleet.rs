//! Clients take streams up again after all instances were killed at once.

mod builds;
mod common;

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Result;
use builds::{Fleet, config, events, send, stream};
use common::count_runs;
use googletest::prelude::*;
use http::StatusCode;
use ploverwick_endpoints::Build;
use ploverwick_platform::INSTANCE_TOPIC;
use ploverwick_platform_standin::endpoint::{Action, EVENTS, Endpoint};
use ploverwick_platform_standin::settings;

/// The number of streams that begin at each instance.
const STREAMS: usize = 12;
/// Long enough for the store to record a build, and for all instances to read it.
const RECORDING: Duration = Duration::from_secs(6);

/// Begins streams at all instances, each of which breaks off after its first event, and returns their identifiers.
async fn begin_streams(fleet: &Fleet, name: &str) -> Result<Vec<String>> {
    let mut ids = Vec::new();
    for (number, front) in fleet.fronts.iter().enumerate() {
        for stream_number in 0..STREAMS {
            let id = format!("{name}-{number}-{stream_number}");
            fleet.script(&[Action::Truncate(0)]);
            let got = send(*front, &stream(&id)).await?;
            expect_that!(events(&got).first(), some(eq(&0)), "{id}: {got:?}");
            ids.push(id);
        }
    }
    fleet.script(&[]);
    Ok(ids)
}

/// What became of streams that their clients took up again.
#[derive(Debug, Default, PartialEq, Eq)]
struct Outcome {
    continued: usize,
    joined: usize,
    refused: usize,
}

/// Takes streams up again, in turn at the instances.
async fn take_up(fleet: &Fleet, ids: &[String], fronts: &[SocketAddr]) -> Result<Outcome> {
    let mut outcome = Outcome::default();
    for (id, front) in ids.iter().zip(fronts.iter().cycle()) {
        let next = format!("{id}-next");
        let request = stream(&next).resumes(id).after_event(0);
        let got = send(*front, &request).await?;
        if got.status != StatusCode::OK {
            expect_that!(got.status, eq(StatusCode::SERVICE_UNAVAILABLE), "{next}");
            expect_that!(fleet.runs(&next), eq(0), "{next}");
            outcome.refused += 1;
            continue;
        }
        expect_that!(events(&got).last(), some(eq(&(EVENTS - 1))), "{next}");
        if fleet.software(&next) == fleet.software(id) {
            outcome.continued += 1;
        } else {
            outcome.joined += 1;
        }
    }
    Ok(outcome)
}

/// Returns clones of the endpoints of both builds.
fn endpoints(fleet: &Fleet) -> (Vec<Endpoint>, Vec<Endpoint>) {
    (fleet.old.clone(), fleet.new.clone())
}

async fn list_all(fleet: &mut Fleet, endpoints: &[Endpoint]) -> Result<()> {
    for endpoint in endpoints {
        fleet.add(endpoint).await?;
    }
    tokio::time::sleep(RECORDING).await;
    Ok(())
}

/// Removes endpoints from the list until no instance uses them.
async fn unlist_all(fleet: &Fleet, endpoints: &[Endpoint]) {
    for endpoint in endpoints {
        fleet.store.unlist(endpoint.id());
    }
    tokio::time::sleep(Duration::from_millis(2_500)).await;
}

/// Guards against streams that go on at another build since the one that began them has left the list, and the history of the
/// list with it, when all instances start again.
#[gtest]
#[tokio::test]
async fn old_build_is_gone() -> Result<()> {
    let mut fleet = Fleet::start(2, 1).await?;
    let (old, new) = endpoints(&fleet);
    list_all(&mut fleet, &old).await?;
    list_all(&mut fleet, &new).await?;
    let ids = begin_streams(&fleet, "r").await?;
    unlist_all(&fleet, &old).await;
    fleet.store.compact();
    fleet.restart(&[0, 1]).await?;
    let outcome = take_up(&fleet, &ids, &fleet.fronts).await?;
    expect_that!(outcome.joined, eq(0), "{outcome:?}");
    Ok(())
}

/// Guards against the same while endpoints of the older build still serve.
#[gtest]
#[tokio::test]
async fn both_builds_serve() -> Result<()> {
    let mut fleet = Fleet::start(2, 1).await?;
    let (_, new) = endpoints(&fleet);
    list_all(&mut fleet, &new).await?;
    let ids = begin_streams(&fleet, "r").await?;
    fleet.store.compact();
    fleet.restart(&[0, 1]).await?;
    let outcome = take_up(&fleet, &ids, &fleet.fronts).await?;
    expect_that!(outcome.joined, eq(0), "{outcome:?}");
    Ok(())
}

/// Guards against the same when a release is taken back, so that the build before it is the only one again.
#[gtest]
#[tokio::test]
async fn release_is_taken_back() -> Result<()> {
    let mut fleet = Fleet::start(2, 1).await?;
    let (_, new) = endpoints(&fleet);
    let before = begin_streams(&fleet, "before").await?;
    list_all(&mut fleet, &new).await?;
    let during = begin_streams(&fleet, "during").await?;
    unlist_all(&fleet, &new).await;
    let after = begin_streams(&fleet, "after").await?;
    fleet.store.compact();
    fleet.restart(&[0, 1]).await?;
    let ids = [before, during, after].concat();
    let outcome = take_up(&fleet, &ids, &fleet.fronts).await?;
    expect_that!(outcome.joined, eq(0), "{outcome:?}");
    Ok(())
}

/// Guards against refusing streams after a restart of all instances though one build served all the while.
#[gtest]
#[tokio::test]
async fn one_build_all_the_while() -> Result<()> {
    let mut fleet = Fleet::start(2, 1).await?;
    let (old, _) = endpoints(&fleet);
    list_all(&mut fleet, &old).await?;
    let ids = begin_streams(&fleet, "r").await?;
    fleet.store.compact();
    fleet.restart(&[0, 1]).await?;
    let outcome = take_up(&fleet, &ids, &fleet.fronts).await?;
    expect_that!(outcome.continued, eq(ids.len()), "{outcome:?}");
    Ok(())
}

/// Guards against streams that go on at another build as the store was restored from a backup that lacks the newer one.
#[gtest]
#[tokio::test]
async fn restored_store() -> Result<()> {
    let mut fleet = Fleet::start(2, 1).await?;
    let (_, new) = endpoints(&fleet);
    let backup = fleet.store.records(INSTANCE_TOPIC);
    list_all(&mut fleet, &new).await?;
    let ids = begin_streams(&fleet, "r").await?;
    unlist_all(&fleet, &new).await;
    fleet.kill(&[0, 1]).await;
    let lost = fleet.store.records(INSTANCE_TOPIC) - backup;
    fleet.store.restore(INSTANCE_TOPIC, lost);
    fleet.store.compact();
    fleet.start_again(&[0, 1]).await?;
    let outcome = take_up(&fleet, &ids, &fleet.fronts).await?;
    expect_that!(outcome.joined, eq(0), "{outcome:?}");
    Ok(())
}

/// Guards against the same if the store cannot be read when the instances start, but for the list of endpoints.
#[gtest]
#[tokio::test]
async fn unread_record() -> Result<()> {
    let mut fleet = Fleet::start(2, 1).await?;
    let (old, new) = endpoints(&fleet);
    list_all(&mut fleet, &new).await?;
    let ids = begin_streams(&fleet, "r").await?;
    unlist_all(&fleet, &old).await;
    fleet.store.compact();
    fleet.store.set_unreadable(INSTANCE_TOPIC, true);
    fleet.restart(&[0, 1]).await?;
    let outcome = take_up(&fleet, &ids, &fleet.fronts).await?;
    expect_that!(outcome.joined, eq(0), "{outcome:?}");
    Ok(())
}

/// Guards against taking it for proof of all services of a route that one of them is known to have had one build.
#[gtest]
#[tokio::test]
async fn services_that_share_a_route() -> Result<()> {
    let mut fleet = Fleet::start(2, 1).await?;
    let mut config = config(1);
    config["version"] = 2.into();
    settings::share_route(&mut config, "/resume/", "lm2");
    fleet.store.configure(&config);
    let endpoint = async |id, software| {
        let endpoint = Endpoint::start(id, "lm2", Some("base"), "d1").await?;
        endpoint.set_software(software);
        anyhow::Ok(endpoint)
    };
    let newer = endpoint("i-n", "v1.1").await?;
    let older = endpoint("i-o", "v1").await?;
    fleet.list(&newer);
    tokio::time::sleep(RECORDING).await;
    let ids = begin_streams(&fleet, "r").await?;
    let begun_at_newer: Vec<String> = ids
        .into_iter()
        .filter(|id| count_runs(&[&newer], id) > 0)
        .collect();
    expect_that!(begun_at_newer, not(is_empty()));
    fleet.list(&older);
    unlist_all(&fleet, &[newer]).await;
    fleet.kill(&[0, 1]).await;
    for software in ["v1", "v1.1"] {
        let key = format!("builds/lm2/{}", Build::of(software));
        fleet.store.write(INSTANCE_TOPIC, &key, b"");
    }
    fleet.store.compact();
    fleet.start_again(&[0, 1]).await?;
    for (id, front) in begun_at_newer.iter().zip(fleet.fronts.iter().cycle()) {
        let next = stream(&format!("{id}-next")).resumes(id).after_event(0);
        let got = send(*front, &next).await?;
        expect_that!(got.status, eq(StatusCode::SERVICE_UNAVAILABLE), "{id}");
    }
    Ok(())
}

/// Guards against refusing the streams of a restarted instance that others still know.
#[gtest]
#[tokio::test]
async fn one_of_two_domains() -> Result<()> {
    let mut fleet = Fleet::start(3, 1).await?;
    let (_, new) = endpoints(&fleet);
    list_all(&mut fleet, &new).await?;
    let ids = begin_streams(&fleet, "r").await?;
    fleet.store.compact();
    // The third instance is the only one of its failure domain.
    fleet.restart(&[0, 1]).await?;
    let outcome = take_up(&fleet, &ids, &fleet.fronts).await?;
    expect_that!(outcome.continued, eq(ids.len()), "{outcome:?}");
    Ok(())
}
