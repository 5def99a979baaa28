//! A gateway in this process, before a stand-in store and stand-in endpoints.

#![expect(dead_code, reason = "each test file uses a part of it")]

use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::time::Duration;

use anyhow::Result;
use ploverwick_gateway::Daemon;
use ploverwick_platform::settings::Settings;
use ploverwick_platform_standin::client::{self, ClientRequest, ClientResponse};
use ploverwick_platform_standin::endpoint::Endpoint;
use ploverwick_platform_standin::settings;
use ploverwick_platform_standin::store::Store;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

/// The host of all routes.
pub const HOST: &str = "a.example";

pub struct World {
    pub store: Store,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    stop: Option<oneshot::Sender<()>>,
    pub served: JoinHandle<()>,
}

impl World {
    /// Starts a gateway that knows nothing yet.
    pub async fn bare() -> Result<Self> {
        Self::of(Store::start().await?, true).await
    }

    /// Starts a gateway before a store; `first_start` says that the whole system starts.
    pub async fn of(store: Store, first_start: bool) -> Result<Self> {
        Self::changed(store, |settings| settings.first_start = first_start).await
    }

    /// Starts a gateway before a store with settings that `change` has changed.
    pub async fn changed(store: Store, change: impl FnOnce(&mut Settings)) -> Result<Self> {
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

    /// Starts a gateway with a configuration and endpoints, and waits until it is ready.
    pub async fn with(endpoints: &[&Endpoint]) -> Result<Self> {
        Self::ready(endpoints, |_| {}).await
    }

    /// Starts it where each request earns so many repeats: a process that has just started has none
    /// but those.
    pub async fn earning(endpoints: &[&Endpoint], repeats: f64) -> Result<Self> {
        Self::ready(endpoints, |settings| settings.repeat_ratio = repeats).await
    }

    async fn ready(endpoints: &[&Endpoint], change: impl FnOnce(&mut Settings)) -> Result<Self> {
        let world = Self::changed(Store::start().await?, change).await?;
        for endpoint in endpoints {
            world.store.list(endpoint.id(), &endpoint.entry("ready"));
        }
        world.store.configure(&settings::config(1));
        world.until_ready(true).await?;
        // The list of endpoints is read at a pace of its own.
        world.until_listed(endpoints).await;
        Ok(world)
    }

    async fn until_listed(&self, endpoints: &[&Endpoint]) {
        let plain: Vec<_> = endpoints.iter().filter(|e| e.service() == "app").collect();
        let mut number = 0;
        while plain
            .iter()
            .any(|endpoint| endpoint.requests_received() == 0)
        {
            number += 1;
            let ask = ClientRequest::new(&format!("warm-{number}"), HOST, "/safe/warm");
            drop(client::send(self.front, &ask).await);
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    pub async fn until_ready(&self, wanted: bool) -> Result<()> {
        while client::is_ready(self.ready).await? != wanted {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        Ok(())
    }

    pub async fn ask(&self, id: &str, path: &str) -> Result<ClientResponse> {
        client::send(self.front, &ClientRequest::new(id, HOST, path)).await
    }

    pub async fn stream(&self, id: &str, path: &str, adapter: &str) -> Result<ClientResponse> {
        let ask = ClientRequest::new(id, HOST, path).model(&format!("base/{adapter}"));
        client::send(self.front, &ask).await
    }

    pub fn stop(&mut self) {
        if let Some(stop) = self.stop.take() {
            stop.send(()).expect("the gateway runs");
        }
    }
}

/// A gateway at an address of its own. It runs until it is stopped, or to the end of the test.
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
        let stop_asked = async move {
            if stopped.await.is_err() {
                // Nobody can ask any more.
                std::future::pending::<()>().await;
            }
        };
        let served = tokio::spawn(daemon.serve(stop_asked));
        while !client::is_ready(ready).await? {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        Ok(Self {
            front,
            stop,
            served,
        })
    }

    /// Asks it to stop, as the platform does; the task that is returned ends with it.
    pub fn stop(self) -> JoinHandle<()> {
        self.stop.send(()).expect("the instance runs");
        self.served
    }
}

/// Finds a port for messages between instances, which all use the same on addresses of their own.
pub fn free_port() -> Result<u16> {
    let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))?;
    Ok(socket.local_addr()?.port())
}

/// Starts two endpoints of the plain service.
pub async fn two_plain() -> Result<(Endpoint, Endpoint)> {
    let a = Endpoint::start("i-a", "app", None, "d1").await?;
    let b = Endpoint::start("i-b", "app", None, "d1").await?;
    Ok((a, b))
}

/// Counts the runs of a request at some endpoints.
pub fn runs(endpoints: &[&Endpoint], id: &str) -> usize {
    let all = endpoints.iter().flat_map(|endpoint| endpoint.runs());
    all.filter(|run| run.id == id).count()
}
