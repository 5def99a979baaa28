//! Adapters are loaded on demand, in their newest declared version.

mod common;

use std::collections::HashSet;

use anyhow::Result;
use common::Gateway;
use googletest::prelude::*;
use http::StatusCode;
use ploverwick_platform_standin::endpoint::Endpoint;

#[tokio::test]
async fn missing_adapter_is_loaded() -> Result<()> {
    let engine = Endpoint::start("i-a", "lm", Some("base"), "d1").await?;
    let gateway = Gateway::with_endpoints(&[&engine]).await?;
    let got = gateway.stream("r1", "/live/", "a7").await?;
    assert_that!(got.status, eq(StatusCode::OK));
    assert_that!(engine.held(), eq(&HashSet::from(["a7@1".to_owned()])));
    // Every order carries a fencing token, and the tokens never decrease.
    let tokens = engine.tokens();
    assert_that!(tokens.is_sorted(), eq(true));
    assert_that!(tokens.first(), some(gt(&0)));
    Ok(())
}

#[tokio::test]
async fn slots_are_not_exceeded() -> Result<()> {
    let engine = Endpoint::start("i-a", "lm", Some("base"), "d1").await?;
    let gateway = Gateway::with_endpoints(&[&engine]).await?;
    for number in 0..8 {
        let id = format!("r{number}");
        let got = gateway.stream(&id, "/live/", &format!("a{number}")).await?;
        assert_that!(got.status, eq(StatusCode::OK));
        assert_that!(engine.held().len(), le(3));
    }
    Ok(())
}

#[tokio::test]
async fn newer_version_runs() -> Result<()> {
    let engine = Endpoint::start("i-a", "lm", Some("base"), "d1").await?;
    let gateway = Gateway::with_endpoints(&[&engine]).await?;
    gateway.stream("r1", "/live/", "a1").await?;
    gateway.store.declare("base", "a1", 2);
    let mut number = 0;
    loop {
        number += 1;
        let id = format!("n{number}");
        gateway.stream(&id, "/live/", "a1").await?;
        let runs = engine.runs();
        let run = runs.iter().find(|run| run.id == id);
        if run.and_then(|run| run.version) == Some(2) {
            return Ok(());
        }
    }
}

#[tokio::test]
async fn missing_base_model_is_503() -> Result<()> {
    // An adapter cannot be placed if no endpoint has its base model.
    let engine = Endpoint::start("i-a", "lm", Some("another"), "d1").await?;
    let gateway = Gateway::with_endpoints(&[&engine]).await?;
    let got = gateway.stream("r1", "/live/", "a1").await?;
    assert_that!(got.status, eq(StatusCode::SERVICE_UNAVAILABLE));
    assert_that!(got.retry_after, some(anything()));
    assert_that!(engine.runs().len(), eq(0));
    Ok(())
}
