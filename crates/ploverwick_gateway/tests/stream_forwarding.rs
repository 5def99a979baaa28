//! Streams reach clients with each event once and in order. An interrupted stream resumes at another endpoint or is
//! visibly truncated.

mod common;

use anyhow::Result;
use common::{Gateway, count_runs};
use googletest::prelude::*;
use http::StatusCode;
use ploverwick_platform_standin::endpoint::{Action, EVENTS, Endpoint};

async fn two_engines() -> Result<(Endpoint, Endpoint)> {
    let a = Endpoint::start("i-a", "lm", Some("base"), "d1").await?;
    let b = Endpoint::start("i-b", "lm", Some("base"), "d1").await?;
    Ok((a, b))
}

/// Parses the identifiers of the events of a body.
fn event_ids(body: &str) -> Vec<u64> {
    let ids = body.lines().filter_map(|line| line.strip_prefix("id: "));
    ids.filter_map(|id| id.parse().ok()).collect()
}

fn all_ids() -> Vec<u64> {
    (0..EVENTS).collect()
}

#[tokio::test]
async fn events_are_in_order() -> Result<()> {
    let (a, b) = two_engines().await?;
    let gateway = Gateway::with_endpoints(&[&a, &b]).await?;
    let got = gateway.stream("r1", "/live/", "a1").await?;
    assert_that!(got.status, eq(StatusCode::OK));
    assert_that!(got.is_whole, eq(true));
    assert_that!(event_ids(&got.body), eq(&all_ids()));
    assert_that!(count_runs(&[&a, &b], "r1"), eq(1));
    Ok(())
}

#[tokio::test]
async fn truncation_is_visible() -> Result<()> {
    let (a, b) = two_engines().await?;
    let gateway = Gateway::with_endpoints(&[&a, &b]).await?;
    a.script(&[Action::Truncate(1)]);
    b.script(&[Action::Truncate(1)]);
    let got = gateway.stream("r1", "/live/", "a1").await?;
    assert_that!(got.is_whole, eq(false));
    assert_that!(count_runs(&[&a, &b], "r1"), eq(1));
    Ok(())
}

#[tokio::test]
async fn resumable_stream_is_retried() -> Result<()> {
    let (a, b) = two_engines().await?;
    let gateway = Gateway::with_endpoints(&[&a, &b]).await?;
    // Loads the adapter at both endpoints, so that either can resume the stream.
    for number in 0..6 {
        gateway
            .stream(&format!("warm-{number}"), "/resume/", "a1")
            .await?;
    }
    a.script(&[Action::Truncate(1)]);
    b.script(&[Action::Truncate(1)]);
    let got = gateway.stream("r1", "/resume/", "a1").await?;
    let all_runs = [a.runs(), b.runs()].concat();
    let ours: Vec<_> = all_runs.iter().filter(|run| run.id == "r1").collect();
    assert_that!(ours.len(), eq(2));
    assert_that!(
        ours.iter().filter_map(|run| run.after_event).max(),
        some(eq(1))
    );
    // The second run is truncated, too; the received events must be in order and without duplicates.
    let received = event_ids(&got.body);
    assert_that!(
        received,
        eq(&(0..received.len() as u64).collect::<Vec<_>>())
    );
    b.script(&[]);
    a.script(&[]);
    Ok(())
}

#[tokio::test]
async fn resumed_stream_is_complete() -> Result<()> {
    let (a, b) = two_engines().await?;
    let gateway = Gateway::with_retry_ratio(&[&a, &b], 2.0).await?;
    gateway.stream("warm", "/resume/", "a1").await?;
    let first = if a.runs().is_empty() { &b } else { &a };
    first.script(&[Action::Truncate(2)]);
    let got = gateway.stream("r1", "/resume/", "a1").await?;
    assert_that!(got.is_whole, eq(true));
    assert_that!(event_ids(&got.body), eq(&all_ids()));
    assert_that!(count_runs(&[&a, &b], "r1"), eq(2));
    Ok(())
}
