//! Tests that requests are refused if their prompts share a part that crashes the endpoints running them.
//!
//! Guards against a failure in which one part of the prompts of many requests crashed 48 endpoints of a service, two per
//! second. No two of the requests were alike, so that each crash seemed to be the first of its kind.

mod common;
mod crashing;

use anyhow::Result;
use common::HOST;
use crashing::{ATTEMPT_INTERVAL, Deployment};
use googletest::prelude::*;
use http::StatusCode;
use ploverwick_platform_standin::client::ClientRequest;
use ploverwick_platform_standin::crashing::FATAL_PART;

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
