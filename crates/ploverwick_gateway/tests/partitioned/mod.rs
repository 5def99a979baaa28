//! Instances of two failure domains whose links to the endpoints can be cut.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use anyhow::Result;
use http::StatusCode;
use ploverwick_platform::settings::Settings;
use ploverwick_platform_standin::client::{self, ClientRequest};
use ploverwick_platform_standin::endpoint::Endpoint;
use ploverwick_platform_standin::proxy::{Cut, Proxy};
use ploverwick_platform_standin::settings;
use ploverwick_platform_standin::store::Store;
use serde_json::Value;

use crate::common::{HOST, Instance, free_port};

/// Long enough for instances to discover each other and the placers.
const DISCOVERY: Duration = Duration::from_millis(2_500);
/// The names of the instances and their failure domains.
const INSTANCES: [(&str, &str); 5] = [
    ("one", "d1"),
    ("two", "d1"),
    ("three", "d1"),
    ("four", "d2"),
    ("five", "d2"),
];

/// Five instances before three plain endpoints and two engines, all behind proxies.
pub struct Deployment {
    pub store: Store,
    pub instances: Vec<Option<Instance>>,
    pub fronts: Vec<(IpAddr, SocketAddr)>,
    pub endpoints: Vec<Endpoint>,
    pub proxies: Vec<Proxy>,
}

impl Deployment {
    pub async fn start() -> Result<Self> {
        Self::with_settings(settings::config(1), |_, _| {}).await
    }

    /// Starts the instances with a configuration, and with settings modified by `change`, which receives the name of the
    /// instance.
    pub async fn with_settings(
        config: Value,
        change: impl Fn(&str, &mut Settings),
    ) -> Result<Self> {
        let store = Store::start().await?;
        let mut endpoints = Vec::new();
        let mut proxies = Vec::new();
        for (id, service, model, domain) in [
            ("i-a", "app", None, "d1"),
            ("i-b", "app", None, "d1"),
            ("i-c", "app", None, "d2"),
            ("i-d", "lm", Some("base"), "d1"),
            ("i-e", "lm", Some("base"), "d2"),
        ] {
            let endpoint = Endpoint::start(id, service, model, domain).await?;
            proxies.push(list_behind_proxy(&store, &endpoint).await?);
            endpoints.push(endpoint);
        }
        store.configure(&config);
        let port = free_port()?;
        let relay_port = free_port()?;
        let mut instances = Vec::new();
        let mut fronts = Vec::new();
        for (host, (name, domain)) in (11..).zip(INSTANCES) {
            let ip = Ipv4Addr::new(127, 0, 0, host);
            let mut settings = settings::of(name, ip, port, store.address());
            settings.domain = Arc::from(domain);
            settings.relay_port = Some(relay_port);
            change(name, &mut settings);
            let instance = Instance::start(settings).await?;
            fronts.push((IpAddr::V4(ip), instance.front));
            instances.push(Some(instance));
        }
        tokio::time::sleep(DISCOVERY).await;
        Ok(Self {
            store,
            instances,
            fronts,
            endpoints,
            proxies,
        })
    }

    /// Cuts the links of some instances to all endpoints.
    pub fn cut(&self, instances: std::ops::Range<usize>, cut: Cut) {
        for (ip, _) in &self.fronts[instances] {
            for proxy in &self.proxies {
                proxy.cut(*ip, cut);
            }
        }
    }

    /// Ends all cuts.
    pub fn heal(&self) {
        for proxy in &self.proxies {
            proxy.heal();
        }
    }

    /// Sends requests that may be repeated to an instance until one is served.
    pub async fn wait_until_served(&self, instance: usize) {
        let (_, front) = self.fronts[instance];
        for number in 0.. {
            let request = ClientRequest::new(&format!("w{instance}-{number}"), HOST, "/safe/w")
                .timeout(Duration::from_secs(1));
            let response = client::send(front, &request).await;
            if response.is_ok_and(|response| response.status == StatusCode::OK) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

/// Lists an endpoint under the address of a proxy before it.
async fn list_behind_proxy(store: &Store, endpoint: &Endpoint) -> Result<Proxy> {
    let mut entry = endpoint.entry("ready");
    let address = entry["address"].as_str().unwrap_or_default().parse()?;
    let proxy = Proxy::start(address).await?;
    entry["address"] = proxy.address().to_string().into();
    store.list(endpoint.id(), &entry);
    Ok(proxy)
}
