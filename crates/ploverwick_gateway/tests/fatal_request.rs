//! Tests that a request that crashes the endpoints running it is quarantined after a few crashes.
//!
//! Guards against a failure in which one request crashed eighteen endpoints of a service, about one per second,
//! each while it was responding to up to thirteen callers. The caller resent the request with another identifier
//! through another instance after each crash. Each instance knew the outcome of its own attempts only, so none
//! recognised that the same content was in progress at every endpoint that crashed.

mod common;
mod crashing;

use anyhow::Result;
use common::HOST;
use crashing::{ATTEMPT_INTERVAL, Deployment, INSTANCES, SETTLED};
use googletest::prelude::*;
use http::StatusCode;
use ploverwick_gateway::quarantine;
use ploverwick_platform_standin::client::{self, ClientRequest};
use ploverwick_platform_standin::crashing::FATAL;
use ploverwick_platform_standin::endpoint::{Action, Endpoint};

/// The crashes that prove that a request is fatal, and those that may happen before all instances know it.
const MAX_CRASHES: u64 = 3 + 3;

fn request(id: &str, path: &str, body: &str) -> ClientRequest {
    ClientRequest::new(id, HOST, path).body(body.to_owned())
}

/// Sends the fatal request repeatedly, through the instances in turn.
async fn send_fatal_repeatedly(deployment: &Deployment, path: &str, times: usize) -> Result<()> {
    for number in 0..times {
        let request = request(&format!("again-{number}"), path, FATAL);
        // The response is truncated, or the request is rejected.
        deployment
            .send(number % deployment.instances.len(), &request)
            .await?;
        tokio::time::sleep(ATTEMPT_INTERVAL).await;
    }
    Ok(())
}

/// Guards against a fatal request that crashes more endpoints than necessary to identify it.
#[tokio::test]
async fn few_endpoints_crash() -> Result<()> {
    let deployment = Deployment::start("lm").await?;
    send_fatal_repeatedly(&deployment, "/live/", 24).await?;
    assert_that!(deployment.crashes(), all![ge(3), le(MAX_CRASHES)]);
    Ok(())
}

/// Guards against crashes caused by retries, on a route whose requests the gateway retries.
#[tokio::test]
async fn retries_crash_few_endpoints() -> Result<()> {
    let deployment = Deployment::start("app").await?;
    send_fatal_repeatedly(&deployment, "/safe/", 16).await?;
    assert_that!(deployment.crashes(), all![ge(3), le(MAX_CRASHES)]);
    Ok(())
}

/// Guards against a quarantined request that runs at some instance, and against rejecting requests of other content or
/// from other callers.
#[tokio::test]
async fn other_requests_are_served() -> Result<()> {
    let deployment = Deployment::start("lm").await?;
    send_fatal_repeatedly(&deployment, "/live/", 8).await?;
    let before = deployment.runs(FATAL);
    for instance in 0..INSTANCES.len() {
        let got = deployment
            .send(instance, &request("same", "/live/", FATAL))
            .await?;
        assert_that!(got.status, eq(StatusCode::BAD_REQUEST));
        assert_that!(got.is_signed, eq(false));
        assert_that!(got.retry_after, none());
        assert_that!(got.body, starts_with("PW2014"));
    }
    assert_that!(deployment.runs(FATAL), eq(before));
    for (id, path, body) in [
        ("other", "/live/", "another body"),
        ("path", "/live/x", ""),
        ("empty", "/live/", ""),
    ] {
        let got = deployment.send(0, &request(id, path, body)).await?;
        assert_that!(got.status, eq(StatusCode::OK), "{id}");
        assert_that!(got.is_whole, eq(true), "{id}");
    }
    // Another body or another caller counts as another request, so it reaches an endpoint.
    let spaced = format!("{FATAL} ");
    deployment
        .send(0, &request("spaced", "/live/", &spaced))
        .await?;
    assert_that!(deployment.runs(&spaced), eq(1));
    let caller = request("caller", "/live/", FATAL).caller("Bearer other");
    deployment.send(0, &caller).await?;
    assert_that!(deployment.runs(FATAL), eq(before + 2));
    Ok(())
}

/// Guards against a quarantine because of broken connections to endpoints that have not crashed.
#[tokio::test]
async fn broken_connections_prove_no_crash() -> Result<()> {
    let endpoint = Endpoint::start("i-a", "app", None, "d1").await?;
    let gateway = common::Gateway::with_endpoints(&[&endpoint]).await?;
    endpoint.script(&[Action::Disconnect; 6]);
    for number in 0..6 {
        let request = request(&format!("broken-{number}"), "/once/", "body");
        let got = client::send(gateway.front, &request).await?;
        assert_that!(got.status, eq(StatusCode::BAD_GATEWAY));
    }
    // Longer than the gateway waits for evidence of a crash.
    tokio::time::sleep(SETTLED).await;
    let got = client::send(gateway.front, &request("served", "/once/", "body")).await?;
    assert_that!(got.status, eq(StatusCode::OK));
    Ok(())
}

/// Guards against an instance that starts without the quarantine that its peers know.
#[tokio::test]
async fn started_instance_knows_quarantine() -> Result<()> {
    let mut deployment = Deployment::start("lm").await?;
    send_fatal_repeatedly(&deployment, "/live/", 8).await?;
    let before = deployment.runs(FATAL);
    deployment.kill(2);
    deployment.start_one(2, false).await?;
    tokio::time::sleep(SETTLED).await;
    let got = deployment
        .send(2, &request("late", "/live/", FATAL))
        .await?;
    assert_that!(got.status, eq(StatusCode::BAD_REQUEST));
    assert_that!(deployment.runs(FATAL), eq(before));
    Ok(())
}

/// Guards against a quarantine that is lost when all instances restart, or that an operator cannot lift.
#[tokio::test]
async fn quarantine_outlasts_restart() -> Result<()> {
    let mut deployment = Deployment::start("lm").await?;
    send_fatal_repeatedly(&deployment, "/live/", 8).await?;
    let before = deployment.runs(FATAL);
    while !deployment.instances.is_empty() {
        deployment.kill(0);
    }
    deployment.start_all(false).await?;
    let got = deployment
        .send(0, &request("after", "/live/", FATAL))
        .await?;
    assert_that!(got.status, eq(StatusCode::BAD_REQUEST));
    assert_that!(deployment.runs(FATAL), eq(before));
    let store = deployment.store.address();
    let refused = quarantine::list(store).await?;
    assert_that!(refused, len(eq(1)));
    quarantine::release(store, &refused[0].key()).await?;
    assert_that!(quarantine::list(store).await?, is_empty());
    tokio::time::sleep(SETTLED).await;
    deployment
        .send(1, &request("released", "/live/", FATAL))
        .await?;
    assert_that!(deployment.runs(FATAL), eq(before + 1));
    let again = quarantine::release(store, &refused[0].key()).await;
    assert_that!(
        again,
        err(displays_as(contains_substring("is not refused")))
    );
    Ok(())
}
