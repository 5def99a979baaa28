//! Tests that a request that crashes the endpoints running it is quarantined after a few crashes.
//!
//! Guards against a failure in which one request crashed eighteen endpoints of a service, about one per second,
//! each while it was responding to up to thirteen callers. The caller resent the request with another identifier
//! through another instance after each crash. Each instance knew the outcome of its own attempts only, so none
//! recognised that the same content was in progress at every endpoint that crashed.

mod common;

use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Result;
use common::{HOST, Instance, free_port};
use googletest::prelude::*;
use http::StatusCode;
use ploverwick_gateway::quarantine;
use ploverwick_platform_standin::client::{self, ClientRequest, ClientResponse};
use ploverwick_platform_standin::crashing::{CrashingEndpoint, FATAL};
use ploverwick_platform_standin::endpoint::{Action, Endpoint};
use ploverwick_platform_standin::settings;
use ploverwick_platform_standin::store::Store;

/// The names and failure domains of the instances.
const INSTANCES: [(&str, &str); 3] = [("a", "d1"), ("b", "d1"), ("c", "d2")];
/// The number of endpoints; more than may crash.
const ENDPOINTS: usize = 8;
/// The crashes that prove that a request is fatal, and those that may happen before all instances know it.
const MAX_CRASHES: u64 = 3 + 3;
/// Longer than the instances take to discover each other and a restarted endpoint.
const SETTLED: Duration = Duration::from_millis(2_500);
/// The pause between two attempts of a caller; an endpoint crashes well within it.
const ATTEMPT_INTERVAL: Duration = Duration::from_millis(150);

/// Endpoints of one service, and instances in two failure domains that forward requests to them.
struct Deployment {
    store: Store,
    endpoints: Vec<CrashingEndpoint>,
    port: u16,
    /// The last octet of the IP address of the most recently started instance.
    host: u8,
    instances: Vec<Instance>,
}

impl Deployment {
    async fn start(service: &str) -> Result<Self> {
        let store = Store::start().await?;
        store.configure(&settings::config(1));
        let mut endpoints = Vec::new();
        for number in 0..ENDPOINTS {
            let domain = if number % 2 == 0 { "d1" } else { "d2" };
            let name = format!("i-{number}");
            endpoints.push(CrashingEndpoint::start(&name, service, domain, &store).await?);
        }
        let port = free_port()?;
        let mut deployment = Self {
            store,
            endpoints,
            port,
            host: 0,
            instances: Vec::new(),
        };
        deployment.start_all(true).await?;
        Ok(deployment)
    }

    /// Starts all instances; `is_first` is whether the whole deployment starts for the first time.
    async fn start_all(&mut self, is_first: bool) -> Result<()> {
        for number in 0..INSTANCES.len() {
            self.start_one(number, is_first).await?;
        }
        tokio::time::sleep(SETTLED).await;
        Ok(())
    }

    /// Starts an instance at a new IP address, as the platform does.
    async fn start_one(&mut self, number: usize, is_first: bool) -> Result<()> {
        let (name, domain) = INSTANCES[number];
        self.host += 1;
        let ip = Ipv4Addr::new(127, 0, 0, self.host);
        let mut settings = settings::of(name, ip, self.port, self.store.address());
        settings.domain = Arc::from(domain);
        settings.first_start = is_first;
        self.instances.push(Instance::start(settings).await?);
        Ok(())
    }

    /// Aborts an instance without a graceful shutdown.
    fn kill(&mut self, number: usize) {
        let instance = self.instances.remove(number);
        instance.served.abort();
    }

    async fn send(&self, instance: usize, request: &ClientRequest) -> Result<ClientResponse> {
        client::send(self.instances[instance].front, request).await
    }

    /// Sends the fatal request repeatedly, through the instances in turn.
    async fn send_fatal_repeatedly(&self, path: &str, times: usize) -> Result<()> {
        for number in 0..times {
            let request = request(&format!("again-{number}"), path, FATAL);
            // The response is truncated, or the request is rejected.
            self.send(number % self.instances.len(), &request).await?;
            tokio::time::sleep(ATTEMPT_INTERVAL).await;
        }
        Ok(())
    }

    fn crashes(&self) -> u64 {
        self.endpoints.iter().map(CrashingEndpoint::crashes).sum()
    }

    fn runs(&self, text: &str) -> usize {
        let endpoints = self.endpoints.iter();
        endpoints.map(|endpoint| endpoint.runs(text)).sum()
    }
}

fn request(id: &str, path: &str, body: &str) -> ClientRequest {
    ClientRequest::new(id, HOST, path).body(body.to_owned())
}

/// Guards against a fatal request that crashes more endpoints than necessary to identify it.
#[tokio::test]
async fn few_endpoints_crash() -> Result<()> {
    let deployment = Deployment::start("lm").await?;
    deployment.send_fatal_repeatedly("/live/", 24).await?;
    assert_that!(deployment.crashes(), all![ge(3), le(MAX_CRASHES)]);
    Ok(())
}

/// Guards against crashes caused by retries, on a route whose requests the gateway retries.
#[tokio::test]
async fn retries_crash_few_endpoints() -> Result<()> {
    let deployment = Deployment::start("app").await?;
    deployment.send_fatal_repeatedly("/safe/", 16).await?;
    assert_that!(deployment.crashes(), all![ge(3), le(MAX_CRASHES)]);
    Ok(())
}

/// Guards against a quarantined request that runs at some instance, and against rejecting requests of other content or
/// from other callers.
#[tokio::test]
async fn other_requests_are_served() -> Result<()> {
    let deployment = Deployment::start("lm").await?;
    deployment.send_fatal_repeatedly("/live/", 8).await?;
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
    deployment.send_fatal_repeatedly("/live/", 8).await?;
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
    deployment.send_fatal_repeatedly("/live/", 8).await?;
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
    quarantine::release(store, refused[0].fingerprint).await?;
    assert_that!(quarantine::list(store).await?, is_empty());
    tokio::time::sleep(SETTLED).await;
    deployment
        .send(1, &request("released", "/live/", FATAL))
        .await?;
    assert_that!(deployment.runs(FATAL), eq(before + 1));
    let again = quarantine::release(store, refused[0].fingerprint).await;
    assert_that!(
        again,
        err(displays_as(contains_substring("is not refused")))
    );
    Ok(())
}
