//! Whether a failed attempt proves that the request did not run, and which requests may be retried.

mod common;

use anyhow::Result;
use common::{Gateway, count_runs, two_app_endpoints};
use googletest::prelude::*;
use http::StatusCode;
use ploverwick_platform_standin::endpoint::Action;

#[tokio::test]
async fn broken_connection_is_not_retried() -> Result<()> {
    let (a, b) = two_app_endpoints().await?;
    let gateway = Gateway::with_endpoints(&[&a, &b]).await?;
    a.script(&[Action::Disconnect]);
    b.script(&[Action::Disconnect]);
    let got = gateway.request("r1", "/once/").await?;
    assert_that!(got.status, eq(StatusCode::BAD_GATEWAY));
    assert_that!(count_runs(&[&a, &b], "r1"), eq(1));
    Ok(())
}

#[tokio::test]
async fn refused_request_is_retried() -> Result<()> {
    let (a, b) = two_app_endpoints().await?;
    let gateway = Gateway::with_retry_ratio(&[&a, &b], 2.0).await?;
    a.script(&[Action::Refuse]);
    b.script(&[Action::Refuse]);
    let got = gateway.request("r1", "/once/").await?;
    assert_that!(got.status, eq(StatusCode::OK));
    assert_that!(count_runs(&[&a, &b], "r1"), eq(1));
    Ok(())
}

#[tokio::test]
async fn refused_by_all() -> Result<()> {
    let (a, b) = two_app_endpoints().await?;
    let gateway = Gateway::with_endpoints(&[&a, &b]).await?;
    a.script(&[Action::Refuse; 8]);
    b.script(&[Action::Refuse; 8]);
    let got = gateway.request("r1", "/once/").await?;
    assert_that!(got.status, eq(StatusCode::SERVICE_UNAVAILABLE));
    assert_that!(got.retry_after, some(anything()));
    assert_that!(count_runs(&[&a, &b], "r1"), eq(0));
    Ok(())
}

/// Guards against forwarding a 503 that lacks the endpoint's not-executed header: it does not prove that the request
/// did not run.
#[tokio::test]
async fn unproven_refusal_is_not_forwarded() -> Result<()> {
    let (a, b) = two_app_endpoints().await?;
    let gateway = Gateway::with_endpoints(&[&a, &b]).await?;
    a.script(&[Action::Unavailable]);
    b.script(&[Action::Unavailable]);
    let got = gateway.request("r1", "/once/").await?;
    assert_that!(got.status, eq(StatusCode::BAD_GATEWAY));
    assert_that!(count_runs(&[&a, &b], "r1"), eq(1));
    Ok(())
}

#[tokio::test]
async fn idempotent_request_is_retried() -> Result<()> {
    let (a, b) = two_app_endpoints().await?;
    let gateway = Gateway::with_retry_ratio(&[&a, &b], 2.0).await?;
    for act in [
        Action::Disconnect,
        Action::Fail,
        Action::Unsigned,
        Action::WrongAttemptId,
    ] {
        a.script(&[act]);
        b.script(&[act]);
        let id = format!("{act:?}");
        let got = gateway.request(&id, "/safe/").await?;
        // The request is retried at the second endpoint, which fails in the same way.
        assert_that!(count_runs(&[&a, &b], &id), eq(2));
        assert_that!(got.status, not(eq(StatusCode::OK)));
        a.script(&[act]);
        b.script(&[]);
        let id = format!("{act:?}-once");
        let got = gateway.request(&id, "/safe/").await?;
        assert_that!(got.status, eq(StatusCode::OK));
    }
    Ok(())
}

#[tokio::test]
async fn endpoint_failure_is_forwarded() -> Result<()> {
    let (a, b) = two_app_endpoints().await?;
    let gateway = Gateway::with_endpoints(&[&a, &b]).await?;
    a.script(&[Action::Fail]);
    b.script(&[Action::Fail]);
    let got = gateway.request("r1", "/once/").await?;
    assert_that!(got.status, eq(StatusCode::INTERNAL_SERVER_ERROR));
    assert_that!(got.is_signed, eq(true));
    assert_that!(got.body, eq("own failure"));
    Ok(())
}

#[tokio::test]
async fn unverified_success_is_not_forwarded() -> Result<()> {
    let (a, b) = two_app_endpoints().await?;
    let gateway = Gateway::with_endpoints(&[&a, &b]).await?;
    for act in [Action::Unsigned, Action::WrongAttemptId] {
        a.script(&[act]);
        b.script(&[act]);
        let id = format!("{act:?}");
        let got = gateway.request(&id, "/once/").await?;
        assert_that!(got.status, eq(StatusCode::BAD_GATEWAY));
        assert_that!(count_runs(&[&a, &b], &id), eq(1));
    }
    Ok(())
}

#[tokio::test]
async fn timeout_is_504() -> Result<()> {
    let (a, b) = two_app_endpoints().await?;
    let gateway = Gateway::with_endpoints(&[&a, &b]).await?;
    a.script(&[Action::Hang]);
    b.script(&[Action::Hang]);
    let got = gateway.request("r1", "/slow/").await?;
    assert_that!(got.status, eq(StatusCode::GATEWAY_TIMEOUT));
    assert_that!(count_runs(&[&a, &b], "r1"), eq(1));
    Ok(())
}
