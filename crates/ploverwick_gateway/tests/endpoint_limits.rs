//! Endpoints that report a rate limit in their responses.
//!
//! Guards against sending more requests than an endpoint's limit allows. Two endpoints reported limits of 2.5 and 2.1
//! requests per second and got 24 and 32 requests in four seconds from instances that had received such responses.
//! The instances ignored the reported limit, nothing counted requests across all instances, and the placer loaded more
//! adapters at the endpoints. Instances log `endpoint_limit` when they learn of a limit.

mod common;

use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use anyhow::Result;
use common::{HOST, Instance, free_port};
use googletest::prelude::*;
use http::StatusCode;
use ploverwick_platform_standin::client::{self, ClientRequest, ClientResponse};
use ploverwick_platform_standin::endpoint::Endpoint;
use ploverwick_platform_standin::settings;
use ploverwick_platform_standin::store::Store;

/// The names and failure domains of the instances.
const INSTANCES: [(&str, &str); 4] = [("a", "d1"), ("b", "d1"), ("c", "d2"), ("e", "d2")];
/// A delay after which the instances have discovered each other.
const DISCOVERY_DELAY: Duration = Duration::from_millis(2_500);
/// How long a limit takes to be in force at an instance that has forwarded a response that reports it.
const LIMIT_DELAY: Duration = Duration::from_millis(500);
/// The window over which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// The factor by which the requests in a window may exceed the limit, and the number of further requests allowed.
const MAX_EXCESS: (f64, f64) = (1.5, 5.0);
/// The pause between two requests; about 70 requests per second over all instances.
const REQUEST_INTERVAL: Duration = Duration::from_millis(14);

/// Endpoints of one service, and instances in two failure domains that forward requests to them.
struct Deployment {
    store: Store,
    port: u16,
    /// The last octet of the IP address of the most recently started instance.
    last_octet: u8,
    endpoints: Vec<Endpoint>,
    instances: Vec<Instance>,
    /// The number of requests sent.
    sent: usize,
}

impl Deployment {
    /// Starts the instances and the endpoints, which alternate between the failure domains.
    async fn start(service: &str, model: Option<&str>, endpoints: usize) -> Result<Self> {
        let store = Store::start().await?;
        store.configure(&settings::config(1));
        let mut all = Vec::new();
        for number in 0..endpoints {
            let domain = INSTANCES[number % 2 * 2].1;
            let id = format!("i-{number}");
            let endpoint = Endpoint::start(&id, service, model, domain).await?;
            store.list(endpoint.id(), &endpoint.entry("ready"));
            all.push(endpoint);
        }
        let mut deployment = Self {
            store,
            port: free_port()?,
            last_octet: 0,
            endpoints: all,
            instances: Vec::new(),
            sent: 0,
        };
        for (name, domain) in INSTANCES {
            deployment.start_instance(name, domain, true).await?;
        }
        tokio::time::sleep(DISCOVERY_DELAY).await;
        Ok(deployment)
    }

    /// Starts an instance at a new IP address.
    async fn start_instance(&mut self, name: &str, domain: &str, is_first: bool) -> Result<()> {
        self.last_octet += 1;
        let ip = Ipv4Addr::new(127, 0, 0, self.last_octet);
        let mut settings = settings::of(name, ip, self.port, self.store.address());
        settings.domain = Arc::from(domain);
        settings.first_start = is_first;
        self.instances.push(Instance::start(settings).await?);
        Ok(())
    }

    /// Aborts an instance and starts it again as the last of `instances`.
    async fn restart(&mut self, number: usize) -> Result<()> {
        self.instances.remove(number).served.abort();
        let (name, domain) = INSTANCES[number];
        self.start_instance(name, domain, false).await
    }

    /// Sends a request through the next instance.
    async fn request(&mut self, path: &str, model: Option<&str>) -> Result<ClientResponse> {
        self.sent += 1;
        let mut request = ClientRequest::new(&format!("r{}", self.sent), HOST, path);
        request.model = model.map(str::to_owned);
        let instance = &self.instances[self.sent % self.instances.len()];
        client::send(instance.front, &request).await
    }

    /// Sends requests through the instances in turn for `time` and returns the responses.
    async fn request_for(
        &mut self,
        time: Duration,
        path: &str,
        model: Option<&str>,
    ) -> Result<Vec<ClientResponse>> {
        let started = Instant::now();
        let mut responses = Vec::new();
        while started.elapsed() < time {
            responses.push(self.request(path, model).await?);
            tokio::time::sleep(REQUEST_INTERVAL).await;
        }
        Ok(responses)
    }
}

/// Returns the maximum number of requests that reached an endpoint in any window after `after`.
fn max_in_window(endpoint: &Endpoint, after: Instant) -> usize {
    let mut arrivals = endpoint.arrivals();
    arrivals.retain(|at| *at >= after);
    let windows = arrivals.iter().map(|first| {
        let within = arrivals.iter().filter(|at| *at >= first);
        within.filter(|at| **at - *first <= WINDOW).count()
    });
    windows.max().unwrap_or_default()
}

/// Returns the number of requests that may reach an endpoint with this limit in a window.
fn max_requests(limit: f64) -> usize {
    (MAX_EXCESS.0 * limit * WINDOW.as_secs_f64() + MAX_EXCESS.1) as usize
}

/// Guards against instances that each send as much as the limit allows, or that reject requests although other
/// endpoints have capacity.
#[tokio::test]
async fn limit_holds_over_all_instances() -> Result<()> {
    let mut deployment = Deployment::start("app", None, 4).await?;
    deployment.endpoints[0].set_limit(Some("2.5"));
    deployment.request_for(LIMIT_DELAY, "/safe/", None).await?;
    let in_force_at = Instant::now() + LIMIT_DELAY;
    let responses = deployment
        .request_for(WINDOW + LIMIT_DELAY * 3, "/safe/", None)
        .await?;
    assert_that!(
        responses
            .iter()
            .filter(|response| response.status != StatusCode::OK)
            .count(),
        eq(0)
    );
    assert_that!(
        max_in_window(&deployment.endpoints[0], in_force_at),
        all![ge(1), le(max_requests(2.5))]
    );
    Ok(())
}

/// Guards against requests over the limits of all endpoints, and refusals without `Retry-After`.
#[tokio::test]
async fn limited_endpoints_cause_refusals() -> Result<()> {
    let mut deployment = Deployment::start("app", None, 2).await?;
    for endpoint in &deployment.endpoints {
        endpoint.set_limit(Some("2"));
    }
    deployment.request_for(LIMIT_DELAY, "/once/", None).await?;
    let in_force_at = Instant::now() + LIMIT_DELAY;
    let responses = deployment
        .request_for(WINDOW + LIMIT_DELAY * 3, "/once/", None)
        .await?;
    let refused = responses
        .iter()
        .filter(|response| response.status == StatusCode::TOO_MANY_REQUESTS);
    let with_retry_after = refused
        .filter(|response| response.retry_after.is_some())
        .count();
    let served = responses
        .iter()
        .filter(|response| response.status == StatusCode::OK)
        .count();
    assert_that!(served, ge(4));
    assert_that!(with_retry_after + served, eq(responses.len()));
    for endpoint in &deployment.endpoints {
        assert_that!(max_in_window(endpoint, in_force_at), le(max_requests(2.0)));
    }
    Ok(())
}

/// Guards against an instance that starts without the limits that its peers know.
#[tokio::test]
async fn started_instance_knows_limits() -> Result<()> {
    let mut deployment = Deployment::start("app", None, 4).await?;
    deployment.endpoints[0].set_limit(Some("0"));
    deployment
        .request_for(LIMIT_DELAY * 2, "/safe/", None)
        .await?;
    let before = deployment.endpoints[0].requests_received();
    deployment.restart(1).await?;
    tokio::time::sleep(LIMIT_DELAY).await;
    for _ in 0..20 {
        let instance = deployment.instances.last().expect("one has just started");
        let request = ClientRequest::new("started", HOST, "/safe/");
        let response = client::send(instance.front, &request).await?;
        assert_that!(response.status, eq(StatusCode::OK));
    }
    assert_that!(deployment.endpoints[0].requests_received(), eq(before));
    Ok(())
}

/// Guards against a limit that stays in force after the endpoint has stopped reporting it.
#[tokio::test]
async fn lifted_limit_is_applied() -> Result<()> {
    let mut deployment = Deployment::start("app", None, 4).await?;
    deployment.endpoints[0].set_limit(Some("2.5"));
    deployment
        .request_for(LIMIT_DELAY * 3, "/safe/", None)
        .await?;
    deployment.endpoints[0].set_limit(None);
    deployment
        .request_for(LIMIT_DELAY * 4, "/safe/", None)
        .await?;
    let before = deployment.endpoints[0].requests_received();
    let responses = deployment
        .request_for(LIMIT_DELAY * 4, "/safe/", None)
        .await?;
    let regained = deployment.endpoints[0].requests_received() - before;
    assert_that!(regained, ge(responses.len() / 8));
    Ok(())
}

/// Guards against an adapter that is not loaded at another endpoint when its holder reports a limit below the demand.
#[tokio::test]
async fn adapter_is_loaded_elsewhere() -> Result<()> {
    let mut deployment = Deployment::start("lm", Some("base"), 4).await?;
    let model = Some("base/a1");
    deployment.request_for(LIMIT_DELAY, "/live/", model).await?;
    let holder = deployment
        .endpoints
        .iter()
        .max_by_key(|e| e.requests_received());
    let holder = holder.expect("there are endpoints").clone();
    holder.set_limit(Some("1.5"));
    deployment.request_for(LIMIT_DELAY, "/live/", model).await?;
    let in_force_at = Instant::now() + LIMIT_DELAY;
    let responses = deployment
        .request_for(WINDOW + LIMIT_DELAY * 3, "/live/", model)
        .await?;
    assert_that!(
        responses
            .iter()
            .filter(|response| response.status != StatusCode::OK)
            .count(),
        eq(0)
    );
    assert_that!(max_in_window(&holder, in_force_at), le(max_requests(1.5)));
    Ok(())
}
