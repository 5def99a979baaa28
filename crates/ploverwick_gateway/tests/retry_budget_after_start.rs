//! A process that has just started may only use retries that its own requests have earned, because what an earlier
//! process spent of the fixed allowance may still be within the window.

mod common;

use std::time::Duration;

use anyhow::Result;
use common::{Gateway, count_runs, two_app_endpoints};
use googletest::prelude::*;
use http::StatusCode;
use ploverwick_platform::INSTANCE_TOPIC;
use ploverwick_platform_standin::endpoint::Action;

#[tokio::test]
async fn unearned_retry_is_refused() -> Result<()> {
    let (a, b) = two_app_endpoints().await?;
    let gateway = Gateway::with_retry_ratio(&[&a, &b], 0.0).await?;
    a.script(&[Action::Refuse]);
    b.script(&[Action::Refuse]);
    let got = gateway.request("r1", "/once/").await?;
    assert_that!(got.status, eq(StatusCode::SERVICE_UNAVAILABLE));
    assert_that!(got.retry_after, some(anything()));
    assert_that!(count_runs(&[&a, &b], "r1"), eq(0));
    Ok(())
}

/// Guards against an instance that stays unlisted after a late call of its earlier process has removed its entry. The
/// other instances would then divide the allowance by one instance too few permanently.
#[tokio::test]
async fn lost_entry_is_rewritten() -> Result<()> {
    let (a, b) = two_app_endpoints().await?;
    let gateway = Gateway::with_endpoints(&[&a, &b]).await?;
    while gateway.store.newest_of(INSTANCE_TOPIC, "one").is_none() {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    gateway.store.write(INSTANCE_TOPIC, "one", b"");
    while gateway.store.newest_of(INSTANCE_TOPIC, "one").is_none() {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    Ok(())
}
