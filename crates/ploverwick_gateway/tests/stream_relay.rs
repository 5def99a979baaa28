//! Streams: events pass in order, once, and a broken stream looks broken or goes on elsewhere.

mod common;

use anyhow::Result;
use common::{World, runs};
use googletest::prelude::*;
use http::StatusCode;
use ploverwick_platform_standin::endpoint::{Action, EVENTS, Endpoint};

async fn two_engines() -> Result<(Endpoint, Endpoint)> {
    let a = Endpoint::start("i-a", "lm", Some("base"), "d1").await?;
    let b = Endpoint::start("i-b", "lm", Some("base"), "d1").await?;
    Ok((a, b))
}

/// Reads the numbers of the events of a body.
fn numbers(body: &str) -> Vec<u64> {
    let ids = body.lines().filter_map(|line| line.strip_prefix("id: "));
    ids.filter_map(|id| id.parse().ok()).collect()
}

fn all() -> Vec<u64> {
    (0..EVENTS).collect()
}

#[tokio::test]
async fn events_in_order() -> Result<()> {
    let (a, b) = two_engines().await?;
    let world = World::with(&[&a, &b]).await?;
    let got = world.stream("r1", "/live/", "a1").await?;
    assert_that!(got.status, eq(StatusCode::OK));
    assert_that!(got.is_whole, eq(true));
    assert_that!(numbers(&got.body), eq(&all()));
    assert_that!(runs(&[&a, &b], "r1"), eq(1));
    Ok(())
}

#[tokio::test]
async fn cut_looks_cut() -> Result<()> {
    let (a, b) = two_engines().await?;
    let world = World::with(&[&a, &b]).await?;
    a.script(&[Action::Truncate(1)]);
    b.script(&[Action::Truncate(1)]);
    let got = world.stream("r1", "/live/", "a1").await?;
    assert_that!(got.is_whole, eq(false));
    assert_that!(runs(&[&a, &b], "r1"), eq(1));
    Ok(())
}

#[tokio::test]
async fn resumable_goes_on() -> Result<()> {
    let (a, b) = two_engines().await?;
    let world = World::with(&[&a, &b]).await?;
    // Both hold the adapter, so that either may go on.
    for number in 0..6 {
        world
            .stream(&format!("warm-{number}"), "/resume/", "a1")
            .await?;
    }
    a.script(&[Action::Truncate(1)]);
    b.script(&[Action::Truncate(1)]);
    let got = world.stream("r1", "/resume/", "a1").await?;
    let all_runs = [a.runs(), b.runs()].concat();
    let ours: Vec<_> = all_runs.iter().filter(|run| run.id == "r1").collect();
    assert_that!(ours.len(), eq(2));
    assert_that!(
        ours.iter().filter_map(|run| run.after_event).max(),
        some(eq(1))
    );
    // The second run is cut, too: what came is in order and without repeats.
    let came = numbers(&got.body);
    assert_that!(came, eq(&(0..came.len() as u64).collect::<Vec<_>>()));
    b.script(&[]);
    a.script(&[]);
    Ok(())
}

#[tokio::test]
async fn resumed_is_whole() -> Result<()> {
    let (a, b) = two_engines().await?;
    let world = World::earning(&[&a, &b], 2.0).await?;
    world.stream("warm", "/resume/", "a1").await?;
    let first = if a.runs().is_empty() { &b } else { &a };
    first.script(&[Action::Truncate(2)]);
    let got = world.stream("r1", "/resume/", "a1").await?;
    assert_that!(got.is_whole, eq(true));
    assert_that!(numbers(&got.body), eq(&all()));
    assert_that!(runs(&[&a, &b], "r1"), eq(2));
    Ok(())
}
