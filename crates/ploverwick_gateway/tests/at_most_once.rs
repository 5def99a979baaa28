//! What an ending proves about having run, and what may be sent again.

mod common;

use anyhow::Result;
use common::{World, runs, two_plain};
use googletest::prelude::*;
use http::StatusCode;
use ploverwick_platform_standin::endpoint::Action;

#[tokio::test]
async fn vanished_is_unknown() -> Result<()> {
    let (a, b) = two_plain().await?;
    let world = World::with(&[&a, &b]).await?;
    a.script(&[Action::Disconnect]);
    b.script(&[Action::Disconnect]);
    let got = world.ask("r1", "/once/").await?;
    assert_that!(got.status, eq(StatusCode::BAD_GATEWAY));
    assert_that!(runs(&[&a, &b], "r1"), eq(1));
    Ok(())
}

#[tokio::test]
async fn refused_goes_on() -> Result<()> {
    let (a, b) = two_plain().await?;
    let world = World::earning(&[&a, &b], 2.0).await?;
    a.script(&[Action::Refuse]);
    b.script(&[Action::Refuse]);
    let got = world.ask("r1", "/once/").await?;
    assert_that!(got.status, eq(StatusCode::OK));
    assert_that!(runs(&[&a, &b], "r1"), eq(1));
    Ok(())
}

#[tokio::test]
async fn refused_by_all() -> Result<()> {
    let (a, b) = two_plain().await?;
    let world = World::with(&[&a, &b]).await?;
    a.script(&[Action::Refuse; 8]);
    b.script(&[Action::Refuse; 8]);
    let got = world.ask("r1", "/once/").await?;
    assert_that!(got.status, eq(StatusCode::SERVICE_UNAVAILABLE));
    assert_that!(got.retry_after, some(anything()));
    assert_that!(runs(&[&a, &b], "r1"), eq(0));
    Ok(())
}

/// A 503 without the endpoint's statement promises nothing, so the client must not see it.
#[tokio::test]
async fn unproved_promise() -> Result<()> {
    let (a, b) = two_plain().await?;
    let world = World::with(&[&a, &b]).await?;
    a.script(&[Action::Unavailable]);
    b.script(&[Action::Unavailable]);
    let got = world.ask("r1", "/once/").await?;
    assert_that!(got.status, eq(StatusCode::BAD_GATEWAY));
    assert_that!(runs(&[&a, &b], "r1"), eq(1));
    Ok(())
}

#[tokio::test]
async fn idempotent_tries_another() -> Result<()> {
    let (a, b) = two_plain().await?;
    let world = World::earning(&[&a, &b], 2.0).await?;
    for act in [
        Action::Disconnect,
        Action::Fail,
        Action::Unsigned,
        Action::WrongAttemptId,
    ] {
        a.script(&[act]);
        b.script(&[act]);
        let id = format!("{act:?}");
        let got = world.ask(&id, "/safe/").await?;
        // Two endpoints may run it; the second has the same trouble.
        assert_that!(runs(&[&a, &b], &id), eq(2));
        assert_that!(got.status, not(eq(StatusCode::OK)));
        a.script(&[act]);
        b.script(&[]);
        let id = format!("{act:?}-once");
        let got = world.ask(&id, "/safe/").await?;
        assert_that!(got.status, eq(StatusCode::OK));
    }
    Ok(())
}

#[tokio::test]
async fn own_failure_passes() -> Result<()> {
    let (a, b) = two_plain().await?;
    let world = World::with(&[&a, &b]).await?;
    a.script(&[Action::Fail]);
    b.script(&[Action::Fail]);
    let got = world.ask("r1", "/once/").await?;
    assert_that!(got.status, eq(StatusCode::INTERNAL_SERVER_ERROR));
    assert_that!(got.is_signed, eq(true));
    assert_that!(got.body, eq("own failure"));
    Ok(())
}

#[tokio::test]
async fn strange_success_withheld() -> Result<()> {
    let (a, b) = two_plain().await?;
    let world = World::with(&[&a, &b]).await?;
    for act in [Action::Unsigned, Action::WrongAttemptId] {
        a.script(&[act]);
        b.script(&[act]);
        let id = format!("{act:?}");
        let got = world.ask(&id, "/once/").await?;
        assert_that!(got.status, eq(StatusCode::BAD_GATEWAY));
        assert_that!(runs(&[&a, &b], &id), eq(1));
    }
    Ok(())
}

#[tokio::test]
async fn timeout_is_answered() -> Result<()> {
    let (a, b) = two_plain().await?;
    let world = World::with(&[&a, &b]).await?;
    a.script(&[Action::Hang]);
    b.script(&[Action::Hang]);
    let got = world.ask("r1", "/slow/").await?;
    assert_that!(got.status, eq(StatusCode::GATEWAY_TIMEOUT));
    assert_that!(runs(&[&a, &b], "r1"), eq(1));
    Ok(())
}
