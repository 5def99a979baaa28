//! One request ended eighteen endpoints of a service, one after the other.
//!
//! Seen: endpoints of one service ended every second, each in the middle of answers to up to thirteen
//! callers. How it came about: a caller's request ended the endpoint that ran it, after the head of its
//! answer, and came again with another identifier at another instance. Cause: what became of a request was
//! known to one attempt at one instance, so that nobody saw that it was the same request each time. Proof:
//! its content is the one thing that was under way at all endpoints that ended.

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

/// The instances, by name and failure domain.
const INSTANCES: [(&str, &str); 3] = [("a", "d1"), ("b", "d1"), ("c", "d2")];
/// The endpoints: more than may end.
const ENDPOINTS: usize = 8;
/// The ends that prove what a request does, and those that news of it may still come too late for.
const MOST_ENDED: u64 = 3 + 3;
/// Longer than it takes until all instances have heard each other, and an endpoint that came back.
const SETTLED: Duration = Duration::from_millis(2_500);
/// The pause between two attempts of a caller; an endpoint ends well within it.
const PAUSE: Duration = Duration::from_millis(150);

/// Endpoints of one service and instances in two failure domains before them.
struct World {
    store: Store,
    endpoints: Vec<CrashingEndpoint>,
    port: u16,
    /// The last number of the last address that an instance has.
    host: u8,
    instances: Vec<Instance>,
}

impl World {
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
        let mut world = Self {
            store,
            endpoints,
            port,
            host: 0,
            instances: Vec::new(),
        };
        world.start_all(true).await?;
        Ok(world)
    }

    /// Starts all instances; `is_first` says that the whole system starts for the first time.
    async fn start_all(&mut self, is_first: bool) -> Result<()> {
        for number in 0..INSTANCES.len() {
            self.start_one(number, is_first).await?;
        }
        tokio::time::sleep(SETTLED).await;
        Ok(())
    }

    /// Starts an instance, at an address of its own as the platform does.
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

    /// Ends an instance at once, as a kill does.
    fn kill(&mut self, number: usize) {
        let instance = self.instances.remove(number);
        instance.served.abort();
    }

    async fn send(&self, instance: usize, ask: &ClientRequest) -> Result<ClientResponse> {
        client::send(self.instances[instance].front, ask).await
    }

    /// Sends the same request again and again, each time by the next instance.
    async fn again_and_again(&self, path: &str, times: usize) -> Result<()> {
        for number in 0..times {
            let ask = ask(&format!("again-{number}"), path, FATAL);
            // Its answer breaks off, or it is refused.
            self.send(number % self.instances.len(), &ask).await?;
            tokio::time::sleep(PAUSE).await;
        }
        Ok(())
    }

    fn ended(&self) -> u64 {
        self.endpoints.iter().map(CrashingEndpoint::crashes).sum()
    }

    fn runs(&self, text: &str) -> usize {
        let endpoints = self.endpoints.iter();
        endpoints.map(|endpoint| endpoint.runs(text)).sum()
    }
}

fn ask(id: &str, path: &str, body: &str) -> ClientRequest {
    ClientRequest::new(id, HOST, path).body(body.to_owned())
}

#[tokio::test]
async fn few_endpoints_end() -> Result<()> {
    let world = World::start("lm").await?;
    world.again_and_again("/live/", 24).await?;
    assert_that!(world.ended(), all![ge(3), le(MOST_ENDED)]);
    Ok(())
}

/// A route whose requests the system itself sends again.
#[tokio::test]
async fn repeats_end_few() -> Result<()> {
    let world = World::start("app").await?;
    world.again_and_again("/safe/", 16).await?;
    assert_that!(world.ended(), all![ge(3), le(MOST_ENDED)]);
    Ok(())
}

/// The refusal is final, at once and at each instance; nobody else's request is refused for it.
#[tokio::test]
async fn others_are_served() -> Result<()> {
    let world = World::start("lm").await?;
    world.again_and_again("/live/", 8).await?;
    let before = world.runs(FATAL);
    for instance in 0..INSTANCES.len() {
        let got = world.send(instance, &ask("same", "/live/", FATAL)).await?;
        assert_that!(got.status, eq(StatusCode::BAD_REQUEST));
        assert_that!(got.is_signed, eq(false));
        assert_that!(got.retry_after, none());
        assert_that!(got.body, starts_with("PW2014"));
    }
    assert_that!(world.runs(FATAL), eq(before));
    for (id, path, body) in [
        ("other", "/live/", "another body"),
        ("path", "/live/x", ""),
        ("empty", "/live/", ""),
    ] {
        let got = world.send(0, &ask(id, path, body)).await?;
        assert_that!(got.status, eq(StatusCode::OK), "{id}");
        assert_that!(got.is_whole, eq(true), "{id}");
    }
    // Whether another caller's or another body ends endpoints is seen anew: they reach one.
    let spaced = format!("{FATAL} ");
    world.send(0, &ask("spaced", "/live/", &spaced)).await?;
    assert_that!(world.runs(&spaced), eq(1));
    let caller = ask("caller", "/live/", FATAL).caller("Bearer other");
    world.send(0, &caller).await?;
    assert_that!(world.runs(FATAL), eq(before + 2));
    Ok(())
}

/// Connections that break at endpoints which live on prove nothing.
#[tokio::test]
async fn breaks_prove_nothing() -> Result<()> {
    let endpoint = Endpoint::start("i-a", "app", None, "d1").await?;
    let world = common::World::with(&[&endpoint]).await?;
    endpoint.script(&[Action::Disconnect; 6]);
    for number in 0..6 {
        let ask = ask(&format!("broken-{number}"), "/once/", "body");
        let got = client::send(world.front, &ask).await?;
        assert_that!(got.status, eq(StatusCode::BAD_GATEWAY));
    }
    // Longer than what is looked for proof of.
    tokio::time::sleep(SETTLED).await;
    let got = client::send(world.front, &ask("served", "/once/", "body")).await?;
    assert_that!(got.status, eq(StatusCode::OK));
    Ok(())
}

/// An instance that starts hears from peers.
#[tokio::test]
async fn start_is_told() -> Result<()> {
    let mut world = World::start("lm").await?;
    world.again_and_again("/live/", 8).await?;
    let before = world.runs(FATAL);
    world.kill(2);
    world.start_one(2, false).await?;
    tokio::time::sleep(SETTLED).await;
    let got = world.send(2, &ask("late", "/live/", FATAL)).await?;
    assert_that!(got.status, eq(StatusCode::BAD_REQUEST));
    assert_that!(world.runs(FATAL), eq(before));
    Ok(())
}

/// All instances are killed and start again; an operator lets the request through.
#[tokio::test]
async fn store_remembers() -> Result<()> {
    let mut world = World::start("lm").await?;
    world.again_and_again("/live/", 8).await?;
    let before = world.runs(FATAL);
    while !world.instances.is_empty() {
        world.kill(0);
    }
    world.start_all(false).await?;
    let got = world.send(0, &ask("after", "/live/", FATAL)).await?;
    assert_that!(got.status, eq(StatusCode::BAD_REQUEST));
    assert_that!(world.runs(FATAL), eq(before));
    let store = world.store.address();
    let refused = quarantine::list(store).await?;
    assert_that!(refused, len(eq(1)));
    quarantine::release(store, refused[0].fingerprint).await?;
    assert_that!(quarantine::list(store).await?, is_empty());
    tokio::time::sleep(SETTLED).await;
    world.send(1, &ask("released", "/live/", FATAL)).await?;
    assert_that!(world.runs(FATAL), eq(before + 1));
    let again = quarantine::release(store, refused[0].fingerprint).await;
    assert_that!(
        again,
        err(displays_as(contains_substring("is not refused")))
    );
    Ok(())
}
