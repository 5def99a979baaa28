//! A process that has just started repeats only what requests to it have earned: what an earlier one
//! spent of the fixed allowance may still count.

mod common;

use std::time::Duration;

use anyhow::Result;
use common::{World, runs, two_plain};
use googletest::prelude::*;
use http::StatusCode;
use ploverwick_platform::INSTANCE_TOPIC;
use ploverwick_platform_standin::endpoint::Action;

#[tokio::test]
async fn nothing_earned_refuses() -> Result<()> {
    let (a, b) = two_plain().await?;
    let world = World::earning(&[&a, &b], 0.0).await?;
    a.script(&[Action::Refuse]);
    b.script(&[Action::Refuse]);
    let got = world.ask("r1", "/once/").await?;
    assert_that!(got.status, eq(StatusCode::SERVICE_UNAVAILABLE));
    assert_that!(got.retry_after, some(anything()));
    assert_that!(runs(&[&a, &b], "r1"), eq(0));
    Ok(())
}

/// A late call of an earlier life may take the line away that the next life wrote; the others would then
/// divide the allowance by one less for good.
#[tokio::test]
async fn lost_line_is_written_again() -> Result<()> {
    let (a, b) = two_plain().await?;
    let world = World::with(&[&a, &b]).await?;
    while world.store.newest_of(INSTANCE_TOPIC, "one").is_none() {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    world.store.write(INSTANCE_TOPIC, "one", b"");
    while world.store.newest_of(INSTANCE_TOPIC, "one").is_none() {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    Ok(())
}
