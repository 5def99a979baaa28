//! A process that has just started repeats only what requests to it have earned: what an earlier one
//! spent of the fixed allowance may still count.

mod common;

use anyhow::Result;
use common::{World, runs, two_plain};
use googletest::prelude::*;
use http::StatusCode;
use ploverwick_platform_standin::endpoint::Act;

#[tokio::test]
async fn nothing_earned_refuses() -> Result<()> {
    let (a, b) = two_plain().await?;
    let world = World::earning(&[&a, &b], 0.0).await?;
    a.script(&[Act::Refuse]);
    b.script(&[Act::Refuse]);
    let got = world.ask("r1", "/once/").await?;
    assert_that!(got.status, eq(StatusCode::SERVICE_UNAVAILABLE));
    assert_that!(got.retry_after, some(anything()));
    assert_that!(runs(&[&a, &b], "r1"), eq(0));
    Ok(())
}
