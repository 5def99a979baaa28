//! An endpoint whose answer is late is given up only if another one is certain to run the request.

mod common;

use anyhow::Result;
use common::{Gateway, count_runs, two_app_endpoints};
use googletest::prelude::*;
use http::StatusCode;
use ploverwick_platform_standin::endpoint::{Action, Endpoint};

/// Guards against an error although the endpoint would have answered: it was given up, and then the retry budget
/// refused another send.
#[tokio::test]
async fn late_answer_without_budget() -> Result<()> {
    let (a, b) = two_app_endpoints().await?;
    let gateway = Gateway::with_retry_ratio(&[&a, &b], 0.0).await?;
    a.script(&[Action::Delay]);
    b.script(&[Action::Delay]);
    let got = gateway.request("r1", "/safe/").await?;
    assert_that!(got.status, eq(StatusCode::OK));
    assert_that!(count_runs(&[&a, &b], "r1"), eq(1));
    Ok(())
}

/// Guards against an error although the only endpoint would have answered.
#[tokio::test]
async fn late_answer_without_other_endpoint() -> Result<()> {
    let a = Endpoint::start("i-a", "app", None, "d1").await?;
    let gateway = Gateway::with_retry_ratio(&[&a], 4.0).await?;
    a.script(&[Action::Delay]);
    let got = gateway.request("r1", "/safe/").await?;
    assert_that!(got.status, eq(StatusCode::OK));
    assert_that!(count_runs(&[&a], "r1"), eq(1));
    Ok(())
}

#[tokio::test]
async fn silent_endpoint_is_replaced() -> Result<()> {
    let (a, b) = two_app_endpoints().await?;
    let gateway = Gateway::with_retry_ratio(&[&a, &b], 4.0).await?;
    a.script(&[Action::Hang]);
    let mut number = 0;
    while a.abandoned() == 0 {
        number += 1;
        let got = gateway.request(&format!("r{number}"), "/safe/").await?;
        assert_that!(got.status, eq(StatusCode::OK));
    }
    assert_that!(count_runs(&[&a, &b], &format!("r{number}")), eq(2));
    Ok(())
}
