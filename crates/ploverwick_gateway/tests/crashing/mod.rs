//! Endpoints that crash under certain requests, and instances in two failure domains that forward requests to them.

#![expect(dead_code, reason = "each test file uses only some of the helpers")]

use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Result;
use ploverwick_platform_standin::client::{self, ClientRequest, ClientResponse};
use ploverwick_platform_standin::crashing::CrashingEndpoint;
use ploverwick_platform_standin::settings;
use ploverwick_platform_standin::store::Store;

use super::common::{Instance, free_port};

/// The names and failure domains of the instances.
pub const INSTANCES: [(&str, &str); 3] = [("a", "d1"), ("b", "d1"), ("c", "d2")];
/// The number of endpoints; more than may crash.
const ENDPOINTS: usize = 8;
/// Longer than the instances take to discover each other and a restarted endpoint.
pub const SETTLED: Duration = Duration::from_millis(2_500);
/// The pause between two attempts of a caller; an endpoint crashes well within it.
pub const ATTEMPT_INTERVAL: Duration = Duration::from_millis(150);

/// Endpoints of one service, and instances in two failure domains that forward requests to them.
pub struct Deployment {
    pub store: Store,
    endpoints: Vec<CrashingEndpoint>,
    port: u16,
    /// The last octet of the IP address of the most recently started instance.
    host: u8,
    pub instances: Vec<Instance>,
}

impl Deployment {
    pub async fn start(service: &str) -> Result<Self> {
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
    pub async fn start_all(&mut self, is_first: bool) -> Result<()> {
        for number in 0..INSTANCES.len() {
            self.start_one(number, is_first).await?;
        }
        tokio::time::sleep(SETTLED).await;
        Ok(())
    }

    /// Starts an instance at a new IP address, as the platform does.
    pub async fn start_one(&mut self, number: usize, is_first: bool) -> Result<()> {
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
    pub fn kill(&mut self, number: usize) {
        let instance = self.instances.remove(number);
        instance.served.abort();
    }

    pub async fn send(&self, instance: usize, request: &ClientRequest) -> Result<ClientResponse> {
        client::send(self.instances[instance].front, request).await
    }

    pub fn crashes(&self) -> u64 {
        self.endpoints.iter().map(CrashingEndpoint::crashes).sum()
    }

    pub fn runs(&self, text: &str) -> usize {
        let endpoints = self.endpoints.iter();
        endpoints.map(|endpoint| endpoint.runs(text)).sum()
    }

    /// Returns the number of runs of requests whose prompt shares a part.
    pub fn runs_sharing(&self, part: &str) -> usize {
        let endpoints = self.endpoints.iter();
        endpoints.map(|endpoint| endpoint.runs_sharing(part)).sum()
    }
}
