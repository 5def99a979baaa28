//! Instances before endpoints of two builds.

#![expect(dead_code, reason = "each test file uses only some of the helpers")]

use std::collections::HashSet;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use anyhow::Result;
use googletest::prelude::*;
use http::StatusCode;
use ploverwick_platform::settings::Settings;
use ploverwick_platform_standin::client::{self, ClientRequest, ClientResponse};
use ploverwick_platform_standin::endpoint::{Action, EVENTS, Endpoint};
use ploverwick_platform_standin::settings;
use ploverwick_platform_standin::store::Store;
use serde_json::Value;
use tokio::task::JoinHandle;

use crate::common::{HOST, Instance, count_runs, free_port};

/// The time limit of the streams, and of their clients.
pub const TIMEOUT: Duration = Duration::from_secs(20);
/// Ends a test that would hang. A refusal at once takes a small part of it.
pub const HANG_LIMIT: Duration = Duration::from_secs(12);
/// Long enough for instances to discover each other and the placers.
pub const DISCOVERY: Duration = Duration::from_millis(2_500);
/// The distance between the address of an instance and that of its next process.
const RESTART_OFFSET: u32 = 10;
/// So short that instances may use the allowance of retries once they have discovered each other.
pub const RETRY_WINDOW: Duration = Duration::from_secs(1);

/// Instances with a shared store, before endpoints of two builds.
pub struct Fleet {
    pub store: Store,
    pub instances: Vec<Option<Instance>>,
    pub fronts: Vec<SocketAddr>,
    pub old: Vec<Endpoint>,
    pub new: Vec<Endpoint>,
    settings: Vec<Settings>,
    probes: usize,
}

impl Fleet {
    /// Starts instances, and three endpoints of each build, of which the first old one is listed. A stream may be sent
    /// `attempts` times within an answer.
    pub async fn start(instances: usize, attempts: u64) -> Result<Self> {
        let port = free_port()?;
        let store = Store::start().await?;
        Self::start_with(store, instances, attempts, |settings| {
            settings.peer_port = port;
        })
        .await
    }

    /// Starts the same with a store and settings modified by `change`.
    pub async fn start_with(
        store: Store,
        instances: usize,
        attempts: u64,
        mut change: impl FnMut(&mut Settings),
    ) -> Result<Self> {
        store.configure(&config(attempts));
        let mut fleet = Self {
            store,
            instances: Vec::new(),
            fronts: Vec::new(),
            old: start_endpoints(["i-a", "i-b", "i-c"], "v1").await?,
            new: start_endpoints(["i-x", "i-y", "i-z"], "v1.1").await?,
            settings: Vec::new(),
            probes: 0,
        };
        fleet.list(&fleet.old[0]);
        let names = [("one", "d1"), ("two", "d1"), ("three", "d2")];
        for (host, (name, domain)) in (11..).zip(names).take(instances) {
            let ip = Ipv4Addr::new(127, 0, 0, host);
            let mut settings = settings::of(name, ip, 0, fleet.store.address());
            settings.domain = Arc::from(domain);
            settings.repeat_window = RETRY_WINDOW;
            change(&mut settings);
            fleet.settings.push(settings.clone());
            let instance = Instance::start(settings).await?;
            fleet.fronts.push(instance.front);
            fleet.instances.push(Some(instance));
        }
        tokio::time::sleep(DISCOVERY).await;
        let first = fleet.old[0].clone();
        fleet.wait_until_used(&first).await?;
        Ok(fleet)
    }

    /// Kills instances, as a loss of power does.
    pub async fn kill(&mut self, numbers: &[usize]) {
        for number in numbers {
            let instance = self.instances[*number].take().expect("it is running");
            instance.served.abort();
            drop(instance.served.await);
        }
    }

    /// Starts killed instances again, and waits until they have discovered each other.
    pub async fn start_again(&mut self, numbers: &[usize]) -> Result<()> {
        let starts = numbers.iter().map(|number| {
            let mut settings = self.settings[*number].clone();
            settings.first_start = false;
            // Tasks of the killed instance may still hold its sockets.
            settings.ip = Ipv4Addr::from_bits(settings.ip.to_bits() + RESTART_OFFSET);
            settings.front = (settings.ip, 0).into();
            settings.ready = (settings.ip, 0).into();
            Instance::start(settings)
        });
        let instances = futures_util::future::try_join_all(starts).await?;
        for (number, instance) in numbers.iter().zip(instances) {
            self.fronts[*number] = instance.front;
            self.instances[*number] = Some(instance);
        }
        tokio::time::sleep(DISCOVERY).await;
        Ok(())
    }

    /// Kills instances and starts them again.
    pub async fn restart(&mut self, numbers: &[usize]) -> Result<()> {
        self.kill(numbers).await;
        self.start_again(numbers).await
    }

    pub fn list(&self, endpoint: &Endpoint) {
        self.store.list(endpoint.id(), &endpoint.entry("ready"));
    }

    /// Lists an endpoint and waits until all running instances use it, and with it all earlier entries.
    pub async fn add(&mut self, endpoint: &Endpoint) -> Result<()> {
        self.list(endpoint);
        self.wait_until_used(endpoint).await
    }

    pub async fn wait_until_used(&mut self, endpoint: &Endpoint) -> Result<()> {
        for number in 0..self.fronts.len() {
            if self.instances[number].is_some() {
                self.wait_until_used_by(number, endpoint).await?;
            }
        }
        Ok(())
    }

    pub async fn wait_until_used_by(&mut self, instance: usize, endpoint: &Endpoint) -> Result<()> {
        let is_used = |id: &str| count_runs(&[endpoint], id) > 0;
        tokio::time::timeout(HANG_LIMIT, async {
            loop {
                self.probes += 1;
                let id = format!("probe-{}", self.probes);
                let request = ClientRequest::new(&id, HOST, "/live/");
                client::send(self.fronts[instance], &request).await?;
                if is_used(&id) {
                    return Ok(());
                }
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        })
        .await?
    }

    pub fn endpoints(&self) -> impl Iterator<Item = &Endpoint> {
        self.old.iter().chain(&self.new)
    }

    pub fn script(&self, actions: &[Action]) {
        self.endpoints()
            .for_each(|endpoint| endpoint.script(actions));
    }

    /// Returns the software versions at which a request ran, in no particular order.
    pub fn software(&self, id: &str) -> Vec<Arc<str>> {
        let runs = self.endpoints().flat_map(Endpoint::runs);
        runs.filter(|run| run.id == id)
            .map(|run| run.software)
            .collect()
    }

    pub fn runs(&self, id: &str) -> usize {
        self.software(id).len()
    }

    /// Starts to send a request to the first instance, and waits until an endpoint has run it.
    pub async fn begin(&self, request: ClientRequest) -> JoinHandle<Result<ClientResponse>> {
        let id = request.id.clone();
        let front = self.fronts[0];
        let pending = tokio::spawn(async move { send(front, &request).await });
        while self.runs(&id) == 0 && !pending.is_finished() {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        pending
    }

    /// Sends a request whose endpoint sends one event and then breaks the stream off, or stalls; so do those at which it
    /// goes on, `breaks` in all.
    pub async fn send_breaking(
        &self,
        request: ClientRequest,
        breaks: u64,
        is_broken: bool,
    ) -> Result<ClientResponse> {
        let id = request.id.clone();
        self.script(&[Action::Stall(0)]);
        let pending = self.begin(request).await;
        let mut broken = HashSet::new();
        for number in 1..=breaks {
            let has_run = |endpoint: &&Endpoint| count_runs(&[endpoint], &id) > 0;
            let held: Vec<&Endpoint> = self.endpoints().filter(has_run).collect();
            let next = (number < breaks).then_some(Action::Stall(number));
            self.script(next.as_slice());
            for endpoint in &held {
                if is_broken && broken.insert(endpoint.id()) {
                    endpoint.break_stalled();
                }
            }
            while self.runs(&id) <= held.len() && !pending.is_finished() {
                tokio::time::sleep(Duration::from_millis(2)).await;
            }
        }
        pending.await?
    }
}

pub async fn start_endpoints(ids: [&str; 3], software: &str) -> Result<Vec<Endpoint>> {
    let mut endpoints = Vec::new();
    for id in ids {
        let endpoint = Endpoint::start(id, "lm", Some("base"), "d1").await?;
        endpoint.set_software(software);
        endpoints.push(endpoint);
    }
    Ok(endpoints)
}

pub fn config(attempts: u64) -> Value {
    let mut config = settings::config(1);
    settings::set_attempts(&mut config, "/resume/", attempts);
    settings::set_timeout(&mut config, "/resume/", TIMEOUT);
    config
}

pub fn stream(id: &str) -> ClientRequest {
    ClientRequest::new(id, HOST, "/resume/").timeout(TIMEOUT)
}

pub async fn send(front: SocketAddr, request: &ClientRequest) -> Result<ClientResponse> {
    tokio::time::timeout(HANG_LIMIT, client::send(front, request)).await?
}

pub fn events(got: &ClientResponse) -> Vec<u64> {
    let ids = got
        .body
        .lines()
        .filter_map(|line| line.strip_prefix("id: "));
    ids.filter_map(|id| id.parse().ok()).collect()
}

/// Expects a stream that is complete after an event.
pub fn expect_complete(got: &ClientResponse, from: u64, what: &str) {
    expect_that!(got.status, eq(StatusCode::OK), "{what}: {got:?}");
    expect_that!(got.is_whole, eq(true), "{what}");
    expect_that!(
        events(got),
        eq(&(from..EVENTS).collect::<Vec<_>>()),
        "{what}"
    );
}

/// Expects that requests ran, all of them at one build.
pub fn expect_one_build(fleet: &Fleet, ids: &[&str]) {
    let seen: Vec<_> = ids.iter().map(|id| (*id, fleet.software(id))).collect();
    let builds: HashSet<_> = seen.iter().flat_map(|(_, software)| software).collect();
    expect_that!(builds.len(), eq(1), "{seen:?}");
}
