//! Adapters are loaded where they are asked for, in the version that is in force.

mod common;

use std::collections::HashSet;

use anyhow::Result;
use common::World;
use googletest::prelude::*;
use http::StatusCode;
use ploverwick_platform_standin::endpoint::Endpoint;

#[tokio::test]
async fn cold_is_loaded() -> Result<()> {
    let engine = Endpoint::start("i-a", "lm", Some("base"), "d1").await?;
    let world = World::with(&[&engine]).await?;
    let got = world.stream("r1", "/live/", "a7").await?;
    assert_that!(got.status, eq(StatusCode::OK));
    assert_that!(engine.held(), eq(&HashSet::from(["a7@1".to_owned()])));
    // Every order carried a token, and the tokens never fall.
    let tokens = engine.tokens();
    assert_that!(tokens.is_sorted(), eq(true));
    assert_that!(tokens.first(), some(gt(&0)));
    Ok(())
}

#[tokio::test]
async fn places_are_kept() -> Result<()> {
    let engine = Endpoint::start("i-a", "lm", Some("base"), "d1").await?;
    let world = World::with(&[&engine]).await?;
    for number in 0..8 {
        let id = format!("r{number}");
        let got = world.stream(&id, "/live/", &format!("a{number}")).await?;
        assert_that!(got.status, eq(StatusCode::OK));
        assert_that!(engine.held().len(), le(3));
    }
    Ok(())
}

#[tokio::test]
async fn newer_version_runs() -> Result<()> {
    let engine = Endpoint::start("i-a", "lm", Some("base"), "d1").await?;
    let world = World::with(&[&engine]).await?;
    world.stream("r1", "/live/", "a1").await?;
    world.store.declare("base", "a1", 2);
    let mut number = 0;
    loop {
        number += 1;
        let id = format!("n{number}");
        world.stream(&id, "/live/", "a1").await?;
        let runs = engine.runs();
        let run = runs.iter().find(|run| run.id == id);
        if run.and_then(|run| run.version) == Some(2) {
            return Ok(());
        }
    }
}

#[tokio::test]
async fn unknown_adapter_refused() -> Result<()> {
    // Nobody can place an adapter where no endpoint has the base model.
    let engine = Endpoint::start("i-a", "lm", Some("another"), "d1").await?;
    let world = World::with(&[&engine]).await?;
    let got = world.stream("r1", "/live/", "a1").await?;
    assert_that!(got.status, eq(StatusCode::SERVICE_UNAVAILABLE));
    assert_that!(got.retry_after, some(anything()));
    assert_that!(engine.runs().len(), eq(0));
    Ok(())
}
