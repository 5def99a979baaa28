//! Endpoints named a limit and got more than it allows.
//!
//! Seen: two endpoints of one service named 2.5 and 2.1 requests a second in their answers, and got 24 and 32
//! in four seconds from the instances that had passed on such answers. How it came about: each instance went
//! on as before, and the placer filled the endpoints with further adapters. Cause: the answer's word was read
//! nowhere, and nothing counts over all instances what one endpoint gets. Proof: each instance's log names the
//! limit (`endpoint_limit`) before the sends that are too many.

mod common;

use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use anyhow::Result;
use common::{HOST, Instance, free_port};
use googletest::prelude::*;
use ploverwick_platform_standin::client::{self, Ask, Got};
use ploverwick_platform_standin::endpoint::Endpoint;
use ploverwick_platform_standin::settings;
use ploverwick_platform_standin::store::Store;

/// The instances, by name and failure domain.
const INSTANCES: [(&str, &str); 4] = [("a", "d1"), ("b", "d1"), ("c", "d2"), ("e", "d2")];
/// Longer than it takes until all instances have heard each other.
const SETTLED: Duration = Duration::from_millis(2_500);
/// How long an endpoint's limit takes to be in force at an instance that has passed on an answer with it.
const TOLD: Duration = Duration::from_millis(500);
/// The window over which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// How many times its limit an endpoint may get in a window, and how many requests more.
const MOST: (f64, f64) = (1.5, 5.0);
/// The pause between two requests to the whole system: some 70 a second.
const PAUSE: Duration = Duration::from_millis(14);

/// Instances in two failure domains before the endpoints of a service.
struct World {
    _store: Store,
    endpoints: Vec<Endpoint>,
    instances: Vec<Instance>,
    /// The requests that were asked for.
    asked: usize,
}

impl World {
    /// Starts the instances before endpoints of a service, in turn in each failure domain.
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
        let port = free_port()?;
        let mut instances = Vec::new();
        for (number, (name, domain)) in (1..).zip(INSTANCES) {
            let ip = Ipv4Addr::new(127, 0, 0, number);
            let mut settings = settings::of(name, ip, port, store.address());
            settings.domain = Arc::from(domain);
            instances.push(Instance::start(settings).await?);
        }
        tokio::time::sleep(SETTLED).await;
        Ok(Self {
            _store: store,
            endpoints: all,
            instances,
            asked: 0,
        })
    }

    /// Asks the next instance.
    async fn ask(&mut self, path: &str, model: Option<&str>) -> Result<Got> {
        self.asked += 1;
        let mut ask = Ask::new(&format!("r{}", self.asked), HOST, path);
        ask.model = model.map(str::to_owned);
        let instance = &self.instances[self.asked % self.instances.len()];
        client::send(instance.front, &ask).await
    }

    /// Asks one instance after the other for some time; returns what clients got.
    async fn ask_for(
        &mut self,
        time: Duration,
        path: &str,
        model: Option<&str>,
    ) -> Result<Vec<Got>> {
        let begun = Instant::now();
        let mut got = Vec::new();
        while begun.elapsed() < time {
            got.push(self.ask(path, model).await?);
            tokio::time::sleep(PAUSE).await;
        }
        Ok(got)
    }
}

/// Returns the most requests that reached an endpoint in a window after a moment.
fn fullest(endpoint: &Endpoint, after: Instant) -> usize {
    let mut arrivals = endpoint.arrivals();
    arrivals.retain(|at| *at >= after);
    let windows = arrivals.iter().map(|first| {
        let within = arrivals.iter().filter(|at| *at >= first);
        within.filter(|at| **at - *first <= WINDOW).count()
    });
    windows.max().unwrap_or_default()
}

/// Returns the most requests that may reach an endpoint with a limit in a window.
fn most(limit: f64) -> usize {
    (MOST.0 * limit * WINDOW.as_secs_f64() + MOST.1) as usize
}

#[tokio::test]
async fn limit_holds_over_all() -> Result<()> {
    let mut world = World::start("app", None, 4).await?;
    world.endpoints[0].limit(Some("2.5"));
    world.ask_for(TOLD, "/safe/", None).await?;
    let named = Instant::now() + TOLD;
    let got = world.ask_for(WINDOW + TOLD * 3, "/safe/", None).await?;
    assert_that!(got.iter().filter(|got| got.status != 200).count(), eq(0));
    assert_that!(
        fullest(&world.endpoints[0], named),
        all![ge(1), le(most(2.5))]
    );
    Ok(())
}

#[tokio::test]
async fn adapter_goes_elsewhere() -> Result<()> {
    let mut world = World::start("lm", Some("base"), 4).await?;
    let model = Some("base/a1");
    world.ask_for(TOLD, "/live/", model).await?;
    let holder = world.endpoints.iter().max_by_key(|e| e.asked());
    let holder = holder.expect("there are endpoints").clone();
    holder.limit(Some("1.5"));
    world.ask_for(TOLD, "/live/", model).await?;
    let named = Instant::now() + TOLD;
    let got = world.ask_for(WINDOW + TOLD * 3, "/live/", model).await?;
    assert_that!(got.iter().filter(|got| got.status != 200).count(), eq(0));
    assert_that!(fullest(&holder, named), le(most(1.5)));
    Ok(())
}
