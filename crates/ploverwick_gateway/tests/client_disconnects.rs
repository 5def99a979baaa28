//! Requests of clients that disconnect are cancelled at the endpoint.

mod common;

use std::time::Duration;

use anyhow::Result;
use common::{Gateway, HOST, two_app_endpoints};
use googletest::prelude::*;
use ploverwick_platform_standin::client::{self, ClientRequest};
use ploverwick_platform_standin::endpoint::{Action, Endpoint};

/// Sends a request and disconnects once the endpoint runs it.
async fn request_and_disconnect(gateway: &Gateway, request: ClientRequest, endpoint: &Endpoint) {
    let front = gateway.front;
    let before = endpoint.runs().len();
    let client = tokio::spawn(async move { client::send(front, &request).await });
    while endpoint.runs().len() == before {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    client.abort();
}

async fn wait_until_abandoned(endpoint: &Endpoint, count: usize) {
    while endpoint.abandoned() < count {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

#[tokio::test]
async fn run_is_cancelled() -> Result<()> {
    let (a, _b) = two_app_endpoints().await?;
    let gateway = Gateway::with_endpoints(&[&a]).await?;
    a.script(&[Action::Hang]);
    request_and_disconnect(&gateway, ClientRequest::new("r1", HOST, "/once/"), &a).await;
    wait_until_abandoned(&a, 1).await;
    // The request is not retried.
    assert_that!(common::count_runs(&[&a], "r1"), eq(1));
    Ok(())
}

#[tokio::test]
async fn stream_is_cancelled() -> Result<()> {
    let engine = Endpoint::start("i-a", "lm", Some("base"), "d1").await?;
    let gateway = Gateway::with_endpoints(&[&engine]).await?;
    gateway.stream("r1", "/live/", "a1").await?;
    engine.script(&[Action::Hang]);
    let request = ClientRequest::new("r2", HOST, "/live/").model("base/a1");
    request_and_disconnect(&gateway, request, &engine).await;
    wait_until_abandoned(&engine, 1).await;
    Ok(())
}
