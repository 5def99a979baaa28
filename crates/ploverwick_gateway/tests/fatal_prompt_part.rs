//! Tests that requests are refused if their prompts share a part that crashes the endpoints running them.
//!
//! Guards against a failure in which one part of the prompts of many requests crashed 48 endpoints of a service, two per
//! second. No two of the requests were alike, so that each crash seemed to be the first of its kind.

mod common;
mod crashing;

use anyhow::Result;
use common::HOST;
use crashing::{ATTEMPT_INTERVAL, Deployment, INSTANCES, SETTLED};
use googletest::prelude::*;
use http::StatusCode;
use ploverwick_gateway::quarantine;
use ploverwick_platform::quarantine::Stored;
use ploverwick_platform_standin::client::ClientRequest;
use ploverwick_platform_standin::crashing::{FATAL, FATAL_PART, QUEUED, UNFRAMED};

/// The crashes that prove that a part is fatal, and those that may happen before all instances know it.
const MAX_CRASHES: u64 = 3 + 3;
/// The first part of all prompts.
const FIRST: &str = "f1";

/// Returns a request whose content is unlike that of any other.
fn request(id: &str, path: &str, parts: &[&str]) -> ClientRequest {
    let own = format!("{:x}", xxhash_rust::xxh3::xxh3_64(id.as_bytes()));
    let parts = [parts, &[own.as_str()]].concat();
    let request = ClientRequest::new(id, HOST, path).parts(&parts);
    request.body(format!("body of {id}"))
}

/// Sends requests that share the fatal part, through the instances in turn, and after each a sound one of the same caller
/// through the next instance. Returns how many of the sound ones were served.
async fn send_in_turn(deployment: &Deployment, path: &str, times: usize) -> Result<usize> {
    let mut served = 0;
    for number in 0..times {
        let instance = |step: usize| (number + step) % deployment.instances.len();
        let fatal = request(&format!("fatal-{number}"), path, &[FIRST, FATAL_PART]);
        // The response is truncated, or the request is rejected.
        deployment.send(instance(0), &fatal).await?;
        let subject = format!("5{:x}", number % 4);
        let sound = request(&format!("sound-{number}"), path, &[FIRST, &subject]);
        let got = deployment.send(instance(1), &sound).await?;
        served += usize::from(got.status == StatusCode::OK && got.is_whole);
        tokio::time::sleep(ATTEMPT_INTERVAL).await;
    }
    Ok(served)
}

/// Guards against a prompt part that crashes more endpoints than necessary to identify it.
#[tokio::test]
async fn fatal_part_crashes_few_endpoints() -> Result<()> {
    let deployment = Deployment::start("lm").await?;
    send_in_turn(&deployment, "/live/", 24).await?;
    assert_that!(deployment.crashes(), all![ge(3), le(MAX_CRASHES)]);
    Ok(())
}

/// Guards against crashes caused by streams that the gateway resumes at another endpoint.
#[tokio::test]
async fn resumed_streams_crash_few_endpoints() -> Result<()> {
    let deployment = Deployment::start("lm").await?;
    send_in_turn(&deployment, "/resume/", 16).await?;
    assert_that!(deployment.crashes(), all![ge(3), le(MAX_CRASHES)]);
    Ok(())
}

/// Guards against refusing sound requests that share the first part with the fatal ones: all are served once the fatal part
/// is known, also if none came while it was not.
#[tokio::test]
async fn sound_requests_are_served() -> Result<()> {
    let deployment = Deployment::start("lm").await?;
    for number in 0..8 {
        let fatal = request(&format!("alone-{number}"), "/live/", &[FIRST, FATAL_PART]);
        deployment.send(number % INSTANCES.len(), &fatal).await?;
        tokio::time::sleep(ATTEMPT_INTERVAL).await;
    }
    let before = deployment.runs_sharing(FATAL_PART);
    let served = send_in_turn(&deployment, "/live/", 9).await?;
    assert_that!(served, eq(9));
    assert_that!(deployment.runs_sharing(FATAL_PART), eq(before));
    for instance in 0..INSTANCES.len() {
        let fatal = request("same", "/live/", &[FATAL_PART]);
        let got = deployment.send(instance, &fatal).await?;
        assert_that!(got.status, eq(StatusCode::BAD_REQUEST));
        assert_that!(got.retry_after, none());
        assert_that!(
            got.body,
            all![starts_with("PW2014"), contains_substring(FATAL_PART)]
        );
    }
    // The last part belongs to the request itself.
    let last = request("last", "/live/", &[]).parts(&[FIRST, FATAL_PART]);
    let got = deployment.send(0, &last).await?;
    assert_that!(got.status, eq(StatusCode::OK));
    Ok(())
}

/// Guards against a refusal that is lost when all instances restart, or that an operator cannot lift.
#[tokio::test]
async fn refused_part_outlasts_restart() -> Result<()> {
    let mut deployment = Deployment::start("lm").await?;
    send_in_turn(&deployment, "/live/", 8).await?;
    let before = deployment.runs_sharing(FATAL_PART);
    while !deployment.instances.is_empty() {
        deployment.kill(0);
    }
    deployment.start_all(false).await?;
    let fatal = request("after", "/live/", &[FIRST, FATAL_PART]);
    let got = deployment.send(0, &fatal).await?;
    assert_that!(got.status, eq(StatusCode::BAD_REQUEST));
    let store = deployment.store.address();
    let refused: Vec<String> = quarantine::list(store)
        .await?
        .iter()
        .map(Stored::key)
        .collect();
    assert_that!(refused, elements_are![eq(&format!("part/{FATAL_PART}"))]);
    quarantine::release(store, &refused[0]).await?;
    assert_that!(quarantine::list(store).await?, is_empty());
    tokio::time::sleep(SETTLED).await;
    assert_that!(deployment.runs_sharing(FATAL_PART), eq(before));
    let released = request("released", "/live/", &[FIRST, FATAL_PART]);
    deployment.send(1, &released).await?;
    assert_that!(deployment.runs_sharing(FATAL_PART), eq(before + 1));
    Ok(())
}

/// Guards against crashes under requests that were sent before their part was refused and wait at endpoints.
#[tokio::test]
async fn queued_requests_are_withdrawn() -> Result<()> {
    let deployment = Deployment::start("lm").await?;
    let queued = request("queued", "/live/", &[FIRST, FATAL_PART]).body(QUEUED);
    let (got, served) = tokio::join!(
        deployment.send(0, &queued),
        send_in_turn(&deployment, "/live/", 3)
    );
    let got = got?;
    assert_that!(got.status, eq(StatusCode::BAD_GATEWAY));
    assert_that!(got.is_signed, eq(false));
    assert_that!(served?, eq(3));
    tokio::time::sleep(SETTLED).await;
    assert_that!(deployment.crashes(), eq(3));
    Ok(())
}

/// Guards against blaming a common part where sound answers end with their connections, as crashes may.
#[tokio::test]
async fn unframed_answers_clear_parts() -> Result<()> {
    let deployment = Deployment::start("lm").await?;
    for number in 0..5 {
        let own_fault = request(&format!("crash-{number}"), "/live/", &[FIRST]);
        let own_fault = own_fault.body(format!("{FATAL} {number}"));
        deployment
            .send(number % INSTANCES.len(), &own_fault)
            .await?;
        tokio::time::sleep(ATTEMPT_INTERVAL).await;
        let sound = request(&format!("sound-{number}"), "/live/", &[FIRST]).body(UNFRAMED);
        let got = deployment.send(0, &sound).await?;
        assert_that!(got.status, eq(StatusCode::OK), "{number}");
        tokio::time::sleep(ATTEMPT_INTERVAL).await;
    }
    assert_that!(deployment.crashes(), eq(5));
    Ok(())
}
