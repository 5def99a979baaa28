//! Runs gateways in the test process, with a stand-in store and stand-in endpoints.

#![expect(dead_code, reason = "each test file uses only some of the helpers")]

use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use anyhow::{Result, bail};
use ploverwick_gateway::Daemon;
use ploverwick_platform::settings::Settings;
use ploverwick_platform_standin::client::{self, ClientRequest, ClientResponse};
use ploverwick_platform_standin::endpoint::Endpoint;
use ploverwick_platform_standin::settings;
use ploverwick_platform_standin::store::Store;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

/// The host name of all routes.
pub const HOST: &str = "a.example";

/// A running gateway and the store that it uses.
pub struct Gateway {
    pub store: Store,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    stop: Option<oneshot::Sender<()>>,
    pub served: JoinHandle<()>,
}

impl Gateway {
    /// Starts a gateway with an empty store.
    pub async fn unconfigured() -> Result<Self> {
        Self::start(Store::start().await?, true).await
    }

    /// Starts a gateway that uses `store`; `first_start` is whether the whole deployment starts for the first time.
    pub async fn start(store: Store, first_start: bool) -> Result<Self> {
        Self::with_settings(store, |settings| settings.first_start = first_start).await
    }

    /// Starts a gateway that uses `store`, with settings modified by `change`.
    pub async fn with_settings(store: Store, change: impl FnOnce(&mut Settings)) -> Result<Self> {
        let mut settings = settings::of("one", Ipv4Addr::LOCALHOST, 0, store.address());
        change(&mut settings);
        let daemon = Daemon::open(settings).await?;
        let (front, ready) = (daemon.front()?, daemon.ready()?);
        let (stop, stopped) = oneshot::channel::<()>();
        let served = tokio::spawn(async move {
            let stop = async move { drop(stopped.await) };
            daemon.serve(stop).await;
        });
        Ok(Self {
            store,
            front,
            ready,
            stop: Some(stop),
            served,
        })
    }

    /// Starts a gateway with a configuration and listed endpoints, and waits until it is ready.
    pub async fn with_endpoints(endpoints: &[&Endpoint]) -> Result<Self> {
        Self::configured(endpoints, |_| {}).await
    }

    /// Like `with_endpoints`, where each request earns `retry_ratio` retries. A process that has just started has no
    /// other retries.
    pub async fn with_retry_ratio(endpoints: &[&Endpoint], retry_ratio: f64) -> Result<Self> {
        Self::configured(endpoints, |settings| settings.repeat_ratio = retry_ratio).await
    }

    async fn configured(
        endpoints: &[&Endpoint],
        change: impl FnOnce(&mut Settings),
    ) -> Result<Self> {
        let gateway = Self::with_settings(Store::start().await?, change).await?;
        for endpoint in endpoints {
            gateway.store.list(endpoint.id(), &endpoint.entry("ready"));
        }
        gateway.store.configure(&settings::config(1));
        gateway.wait_until_ready(true).await?;
        // The endpoint list is polled independently of the configuration.
        gateway.wait_until_listed(endpoints).await;
        Ok(gateway)
    }

    /// Sends requests until each endpoint of the service `app` has received one.
    async fn wait_until_listed(&self, endpoints: &[&Endpoint]) {
        let app_endpoints: Vec<_> = endpoints.iter().filter(|e| e.service() == "app").collect();
        let mut number = 0;
        while app_endpoints
            .iter()
            .any(|endpoint| endpoint.requests_received() == 0)
        {
            number += 1;
            let request = ClientRequest::new(&format!("warm-{number}"), HOST, "/safe/warm");
            drop(client::send(self.front, &request).await);
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    /// Waits until the readiness check returns `expected`.
    pub async fn wait_until_ready(&self, expected: bool) -> Result<()> {
        while client::is_ready(self.ready).await? != expected {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        Ok(())
    }

    /// Sends a request without a model.
    pub async fn request(&self, id: &str, path: &str) -> Result<ClientResponse> {
        client::send(self.front, &ClientRequest::new(id, HOST, path)).await
    }

    /// Sends a request for an adapter of the model `base`.
    pub async fn stream(&self, id: &str, path: &str, adapter: &str) -> Result<ClientResponse> {
        let request = ClientRequest::new(id, HOST, path).model(&format!("base/{adapter}"));
        client::send(self.front, &request).await
    }

    /// Requests a graceful shutdown; `served` ends once it is complete.
    pub fn stop(&mut self) {
        if let Some(stop) = self.stop.take() {
            stop.send(()).expect("the gateway is running");
        }
    }
}

/// One of several gateways of a test, each at its own address. It runs until it is stopped or the test ends.
pub struct Instance {
    pub front: SocketAddr,
    stop: oneshot::Sender<()>,
    pub served: JoinHandle<()>,
}

impl Instance {
    /// Starts a gateway and waits until it is ready.
    pub async fn start(settings: Settings) -> Result<Self> {
        let daemon = Daemon::open(settings).await?;
        let (front, ready) = (daemon.front()?, daemon.ready()?);
        let (stop, stopped) = oneshot::channel::<()>();
        let stop_requested = async move {
            if stopped.await.is_err() {
                // The handle was dropped without a stop; keep running.
                std::future::pending::<()>().await;
            }
        };
        let served = tokio::spawn(daemon.serve(stop_requested));
        while !client::is_ready(ready).await? {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        Ok(Self {
            front,
            stop,
            served,
        })
    }

    /// Requests a graceful shutdown, as the platform does. The returned task ends with the instance.
    pub fn stop(self) -> JoinHandle<()> {
        self.stop.send(()).expect("the instance is running");
        self.served
    }
}

/// Finds a port that is free for both protocols at all addresses. All instances use the same port at different IP addresses.
///
/// The ports that the system gives to connections are left out: instances connect from their own addresses, where such a
/// connection would take the port that another instance is about to listen on.
pub fn free_port() -> Result<u16> {
    const FIRST: u16 = 10_000;
    const COUNT: u32 = 20_000;
    static NEXT: AtomicU32 = AtomicU32::new(0);
    // Test programs that run at the same time begin at different ports.
    let offset = std::process::id().wrapping_mul(101);
    for _ in 0..COUNT {
        let number = NEXT.fetch_add(1, Ordering::Relaxed).wrapping_add(offset) % COUNT;
        let port = FIRST + u16::try_from(number)?;
        let address = (Ipv4Addr::UNSPECIFIED, port);
        if UdpSocket::bind(address).is_ok() && TcpListener::bind(address).is_ok() {
            return Ok(port);
        }
    }
    bail!("no port is free")
}

/// Starts two endpoints of the service `app`, which runs no models.
pub async fn two_app_endpoints() -> Result<(Endpoint, Endpoint)> {
    let a = Endpoint::start("i-a", "app", None, "d1").await?;
    let b = Endpoint::start("i-b", "app", None, "d1").await?;
    Ok((a, b))
}

/// Counts how many times the endpoints ran a request.
pub fn count_runs(endpoints: &[&Endpoint], id: &str) -> usize {
    let all = endpoints.iter().flat_map(|endpoint| endpoint.runs());
    all.filter(|run| run.id == id).count()
}
