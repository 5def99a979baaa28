//! A second answer to a request that arrives where the answer to the next one is expected belongs to no request.

mod common;
#[expect(dead_code, reason = "each test file uses only some of the helpers")]
mod partitioned;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use anyhow::Result;
use common::{Gateway, HOST};
use googletest::prelude::*;
use http::StatusCode;
use partitioned::Deployment;
use ploverwick_platform::settings::Settings;
use ploverwick_platform_standin::client::{self, ClientRequest};
use ploverwick_platform_standin::raw::{RawAnswer, RawEndpoint, RawRequest};
use ploverwick_platform_standin::settings;
use ploverwick_platform_standin::store::Store;
use serde_json::Value;

const REQUESTS: usize = 20;
/// The path of a call that may run once, and the attempts at it that wait until the endpoint is in use.
const PATH: &str = "/raw/x";
const WARM: &str = "warm";

/// How often attempts were sent to an endpoint, and how often they ran.
#[derive(Debug, Default)]
struct Ledger {
    sends: Mutex<HashMap<String, usize>>,
    runs: Mutex<HashMap<String, usize>>,
}

impl Ledger {
    /// Counts a send; returns how many there were before it.
    fn record_send(&self, id: &str) -> usize {
        increment(&self.sends, id)
    }

    fn run(&self, id: &str) -> RawAnswer {
        increment(&self.runs, id);
        RawAnswer::framed("text/plain", b"done")
    }

    fn runs(&self, id: &str) -> usize {
        let runs = self.runs.lock().expect("no holder of the lock panics");
        runs.get(id).copied().unwrap_or_default()
    }
}

/// Increments the counter of an attempt; returns its value before.
fn increment(counts: &Mutex<HashMap<String, usize>>, id: &str) -> usize {
    let mut counts = counts.lock().expect("no holder of the lock panics");
    let count = counts.entry(id.to_owned()).or_default();
    *count += 1;
    *count - 1
}

/// Lets each request earn enough retries for all its sends.
fn allow_retries(settings: &mut Settings) {
    settings.repeat_ratio = 4.0;
}

fn config() -> Value {
    let mut config = settings::config(1);
    settings::add_service(&mut config, "raw", &[("/raw/", "non_idempotent")]);
    config
}

/// Refuses the first send of each attempt. If the next request on the connection is the same attempt, its answer follows
/// the second copy of the refusal.
fn refuse_first_sends(ledger: &Ledger, request: &RawRequest) -> RawAnswer {
    let id = &request.id;
    let is_first = ledger.record_send(id) == 0;
    if is_first && !id.starts_with(WARM) {
        return RawAnswer::refusal();
    }
    let answer = ledger.run(id);
    match &request.previous {
        Some(previous) if previous == id => answer.after_second(&RawAnswer::refusal(), id),
        Some(_) | None => answer,
    }
}

async fn send(front: SocketAddr, id: &str) -> Result<StatusCode> {
    let got = client::send(front, &ClientRequest::new(id, HOST, PATH)).await?;
    Ok(got.status)
}

async fn wait_until_served(front: SocketAddr) -> Result<()> {
    for number in 0.. {
        if send(front, &format!("{WARM}{number}")).await? == StatusCode::OK {
            break;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    Ok(())
}

/// Sends attempts that the endpoint refuses at first. Expects that each is served and runs once.
async fn expect_single_runs(front: SocketAddr, ledger: &Ledger) -> Result<()> {
    for number in 0..REQUESTS {
        let id = format!("r{number}");
        let status = send(front, &id).await?;
        expect_that!(status, eq(StatusCode::OK), "{id}");
        expect_that!(ledger.runs(&id), eq(1), "{id}");
    }
    Ok(())
}

async fn start_endpoint(
    answer: impl Fn(&Ledger, &RawRequest) -> RawAnswer + Send + Sync + 'static,
) -> Result<(RawEndpoint, Arc<Ledger>)> {
    let ledger = Arc::<Ledger>::default();
    let of_endpoint = Arc::clone(&ledger);
    let answer = move |request: &RawRequest| answer(&of_endpoint, request);
    Ok((RawEndpoint::start("i-raw", "raw", answer).await?, ledger))
}

/// Guards against a second run, or a refusal of what has run: the second copy of a refusal was taken for the answer to the
/// next send of the same attempt.
#[gtest]
#[tokio::test]
async fn refused_attempts_run_once() -> Result<()> {
    let gateway = Gateway::with_settings(Store::start().await?, allow_retries).await?;
    let (endpoint, ledger) = start_endpoint(refuse_first_sends).await?;
    gateway.store.list(endpoint.id(), &endpoint.entry());
    gateway.store.configure(&config());
    gateway.wait_until_ready(true).await?;
    wait_until_served(gateway.front).await?;
    expect_single_runs(gateway.front, &ledger).await
}

/// Guards against the same on connections that another instance relays.
#[gtest]
#[tokio::test]
async fn relayed_attempts_run_once() -> Result<()> {
    let deployment =
        Deployment::with_settings(config(), |_, settings| allow_retries(settings)).await?;
    let (endpoint, ledger) = start_endpoint(refuse_first_sends).await?;
    let (ip, front) = deployment.fronts[0];
    endpoint.cut(ip);
    deployment.store.list(endpoint.id(), &endpoint.entry());
    wait_until_served(front).await?;
    expect_single_runs(front, &ledger).await
}
