//! Starts stand-ins and daemons on loopback.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::{Context, Result};
use http::Method;
use ploverwick_daemon::Daemon;
use ploverwick_names::{Domain, Endpoint, Instance};
use ploverwick_ports::client::Client;
use ploverwick_ports::log::Log;
use ploverwick_ports::roster::{EndpointEntry, Fencing, InstanceEntry, Listing, Serves, State};
use ploverwick_settings::Settings;
use ploverwick_standin::engine::Records;
use ploverwick_standin::{Handle, engine, log, roster, service, store};
use serde::Serialize;

const TIMEOUT: Duration = Duration::from_secs(2);
/// The base model of all engines.
pub const BASE: &str = "base";
/// The name of the plain service.
pub const SERVICE: &str = "transcripts";
const DOMAINS: [&str; 3] = ["charguia", "ariana", "lac"];

/// The configuration of a fleet.
#[derive(Debug, Clone)]
pub struct Plan {
    /// The number of daemons.
    pub daemons: usize,
    /// The number of engines. Every second one ignores fencing tokens.
    pub engines: usize,
    /// The configuration of every engine. Name, address, base model, store and token check are set by
    /// the fleet.
    pub engine: engine::Config,
    /// The configuration of the log.
    pub log: log::Config,
    /// The configuration of the weight store.
    pub store: store::Config,
    /// The delay until a roster change becomes visible.
    pub roster_lag: Duration,
    /// Further settings of every daemon: TOML that is appended to [`settings`].
    pub settings: String,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            daemons: 3,
            engines: 4,
            engine: engine::Config {
                slots: 4,
                step: Duration::from_millis(4),
                ..engine::Config::default()
            },
            log: log::Config::default(),
            store: store::Config {
                loads_per_s: 40.0,
                loads_at_once: 6,
                load_time: Duration::from_millis(120),
                ..store::Config::default()
            },
            roster_lag: Duration::from_millis(300),
            settings: String::new(),
        }
    }
}

/// An endpoint and its roster entry.
#[derive(Debug)]
struct ListedEndpoint {
    running: Option<Handle>,
    entry: EndpointEntry,
}

/// A daemon and its roster entry.
struct ListedDaemon {
    daemon: Option<Daemon>,
    callers: SocketAddr,
    entry: InstanceEntry,
}

/// A running fleet.
pub struct Fleet {
    plan: Plan,
    client: Client,
    log: Handle,
    store: Handle,
    roster: Handle,
    endpoints: Vec<ListedEndpoint>,
    daemons: Vec<ListedDaemon>,
}

impl Fleet {
    /// Starts a fleet without a published table.
    ///
    /// # Errors
    /// Fails if a process of the fleet cannot be started.
    pub async fn start(plan: Plan) -> Result<Self> {
        let log = log::start(plan.log.clone())
            .await
            .context("start the log")?;
        let store = store::start(plan.store.clone())
            .await
            .context("start the store")?;
        let endpoints = start_endpoints(&plan, store.address()).await?;
        let listing = Listing {
            instances: Vec::new(),
            endpoints: endpoints
                .iter()
                .map(|listed| listed.entry.clone())
                .collect(),
        };
        let roster = roster::start(roster::Config {
            name: "roster".to_owned(),
            address: loopback(),
            lag: plan.roster_lag,
            listing,
        });
        let mut fleet = Self {
            client: Client::new(),
            log,
            store,
            roster: roster.await.context("start the roster")?,
            endpoints,
            daemons: Vec::new(),
            plan,
        };
        for _ in 0..fleet.plan.daemons {
            fleet.add_daemon().await?;
        }
        Ok(fleet)
    }

    /// Starts another daemon, adds it to the roster and returns its index.
    ///
    /// # Errors
    /// Fails if a process of the fleet cannot be started.
    pub async fn add_daemon(&mut self) -> Result<usize> {
        let index = self.daemons.len();
        let name = format!("entry-{}", index + 1);
        let domain = DOMAINS[index % DOMAINS.len()];
        let settings = settings(&name, domain, self.log_address(), self.roster_address());
        let text = format!("{settings}\n{}", self.plan.settings);
        let daemon = Daemon::start(read_settings(&text)?)
            .await
            .with_context(|| format!("start {name}"))?;
        let entry = InstanceEntry {
            name: Instance::new(&name)?,
            state: State::Live,
            failure_domain: Domain::new(domain)?,
            peers: daemon.peers(),
            admin: daemon.admin(),
        };
        self.daemons.push(ListedDaemon {
            callers: daemon.callers(),
            daemon: Some(daemon),
            entry,
        });
        self.update_roster().await?;
        Ok(index)
    }

    /// Updates the roster to the current state of the fleet.
    ///
    /// # Errors
    /// Fails if the roster does not respond.
    pub async fn update_roster(&self) -> Result<()> {
        let listing = Listing {
            instances: self
                .daemons
                .iter()
                .map(|listed| listed.entry.clone())
                .collect(),
            endpoints: self
                .endpoints
                .iter()
                .map(|listed| listed.entry.clone())
                .collect(),
        };
        self.put(self.roster_address(), "/listing", &listing).await
    }

    /// Replaces the injected faults of a stand-in.
    ///
    /// # Errors
    /// Fails if the stand-in does not respond.
    pub async fn inject_faults<T: Serialize + Sync>(
        &self,
        address: SocketAddr,
        faults: &T,
    ) -> Result<()> {
        self.put(address, "/faults", faults).await
    }

    async fn put<T: Serialize + Sync>(
        &self,
        address: SocketAddr,
        path: &str,
        value: &T,
    ) -> Result<()> {
        let call = self.client.call::<T, serde_json::Value>(
            Method::PUT,
            address,
            path,
            Some(value),
            TIMEOUT,
        );
        call.await.map(drop).with_context(|| format!("PUT {path}"))
    }

    /// Drains a daemon, as SIGTERM does, and removes it from the roster once it has stopped.
    ///
    /// # Errors
    /// Fails if the roster does not respond.
    pub async fn drain(&mut self, index: usize) -> Result<()> {
        let daemon = self.begin_drain(index).await?;
        if let Some(daemon) = daemon {
            daemon.drain().await;
        }
        self.daemons.remove(index);
        self.update_roster().await
    }

    /// Marks a daemon as leaving in the roster and returns it for draining.
    ///
    /// # Errors
    /// Fails if the roster does not respond.
    pub async fn begin_drain(&mut self, index: usize) -> Result<Option<Daemon>> {
        let listed = &mut self.daemons[index];
        listed.entry.state = State::Leaving;
        let daemon = listed.daemon.take();
        self.update_roster().await?;
        Ok(daemon)
    }

    /// Removes a drained daemon from the roster.
    ///
    /// # Errors
    /// Fails if the roster does not respond.
    pub async fn end_drain(&mut self, index: usize) -> Result<()> {
        self.daemons.remove(index);
        self.update_roster().await
    }

    /// Stops a daemon abruptly and without a roster update, so the roster continues to list it.
    pub fn fail(&mut self, name: &str) {
        self.daemons
            .retain(|listed| listed.entry.name.as_str() != name);
    }

    /// Restarts a model engine, which loses its loaded adapters and running requests.
    ///
    /// # Errors
    /// Fails if the engine does not respond.
    pub async fn restart_engine(&self, index: usize) -> Result<()> {
        let address = self.engine_addresses()[index];
        let call = self.client.call::<(), serde_json::Value>(
            Method::POST,
            address,
            "/standin/restart",
            None,
            TIMEOUT,
        );
        call.await.map(drop).context("restart an engine")
    }

    /// Adds a daemon that the fleet does not run, such as one in its own process, to the roster. It
    /// replaces a daemon of the same name.
    ///
    /// # Errors
    /// Fails if the roster does not respond.
    pub async fn add_external(&mut self, entry: InstanceEntry, callers: SocketAddr) -> Result<()> {
        self.daemons
            .retain(|listed| listed.entry.name != entry.name);
        self.daemons.push(ListedDaemon {
            daemon: None,
            callers,
            entry,
        });
        self.update_roster().await
    }

    /// Returns the address of the plain service.
    pub fn service_address(&self) -> Option<SocketAddr> {
        let mut endpoints = self.endpoints.iter();
        let service = endpoints.find(|listed| matches!(listed.entry.serves, Serves::Service(_)));
        service.map(|listed| listed.entry.address)
    }

    /// Returns the daemons' addresses for callers.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.daemons.iter().map(|listed| listed.callers).collect()
    }

    /// Returns the daemons' admin addresses.
    pub fn admin_addresses(&self) -> Vec<SocketAddr> {
        self.daemons
            .iter()
            .map(|listed| listed.entry.admin)
            .collect()
    }

    /// Returns the address of the log.
    pub fn log_address(&self) -> SocketAddr {
        self.log.address()
    }

    /// Returns the address of the roster.
    pub fn roster_address(&self) -> SocketAddr {
        self.roster.address()
    }

    /// Returns the address of the weight store.
    pub fn store_address(&self) -> SocketAddr {
        self.store.address()
    }

    /// Returns a client of the log.
    pub fn log(&self) -> Log {
        Log::new(self.client.clone(), self.log_address(), TIMEOUT)
    }

    /// Returns the addresses of the model engines.
    pub fn engine_addresses(&self) -> Vec<SocketAddr> {
        let models = self
            .endpoints
            .iter()
            .filter(|listed| matches!(listed.entry.serves, Serves::Model(_)));
        models.map(|listed| listed.entry.address).collect()
    }

    /// Marks an endpoint as leaving in the roster.
    ///
    /// # Errors
    /// Fails if the roster does not respond.
    pub async fn mark_endpoint_leaving(&mut self, index: usize) -> Result<()> {
        self.endpoints[index].entry.state = State::Leaving;
        self.update_roster().await
    }

    /// Returns the records of all model engines.
    ///
    /// # Errors
    /// Fails if an engine does not respond.
    pub async fn records(&self) -> Result<Vec<Records>> {
        let mut all = Vec::new();
        for address in self.engine_addresses() {
            let call = self.client.call::<(), Records>(
                Method::GET,
                address,
                "/standin/records",
                None,
                TIMEOUT,
            );
            all.push(call.await.context("read an engine's records")?);
        }
        Ok(all)
    }

    /// Waits until every daemon has a table and knows the owner of every model endpoint.
    ///
    /// # Errors
    /// Fails after `timeout`.
    pub async fn wait_ready(&self, timeout: Duration) -> Result<()> {
        let waiting = async {
            while !self.is_ready().await {
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        };
        tokio::time::timeout(timeout, waiting)
            .await
            .context("the fleet did not become ready in time")
    }

    async fn is_ready(&self) -> bool {
        let Ok(fleet) = ploverwick_operator::Fleet::read(self.roster_address()).await else {
            return false;
        };
        let status = fleet.status().await;
        let all = status.answers.len() == self.daemons.len();
        all && status.answers.iter().all(|status| {
            let owned = status
                .endpoints
                .iter()
                .all(|endpoint| endpoint.owner.is_some());
            owned && !status.endpoints.is_empty() && status.table.0 > 0
        })
    }
}

async fn start_endpoints(plan: &Plan, store: SocketAddr) -> Result<Vec<ListedEndpoint>> {
    let mut endpoints = Vec::new();
    for index in 0..plan.engines {
        let name = format!("engine-{}", index + 1);
        let checks_tokens = index % 2 == 0;
        let config = engine::Config {
            name: name.clone(),
            address: loopback(),
            base: BASE.to_owned(),
            store: Some(store),
            checks_tokens,
            ..plan.engine.clone()
        };
        let running = engine::start(config)
            .await
            .with_context(|| format!("start {name}"))?;
        let fencing = if checks_tokens {
            Fencing::Checked
        } else {
            Fencing::Ignored
        };
        let serves = Serves::Model(BASE.to_owned());
        endpoints.push(list_endpoint(&name, running, serves, fencing, index)?);
    }
    let config = service::Config {
        name: "service-1".to_owned(),
        address: loopback(),
        call_time: Duration::from_millis(5),
    };
    let running = service::start(config).await.context("start the service")?;
    let serves = Serves::Service(SERVICE.to_owned());
    endpoints.push(list_endpoint(
        "service-1",
        running,
        serves,
        Fencing::Ignored,
        0,
    )?);
    Ok(endpoints)
}

fn list_endpoint(
    name: &str,
    running: Handle,
    serves: Serves,
    fencing: Fencing,
    index: usize,
) -> Result<ListedEndpoint> {
    let entry = EndpointEntry {
        name: Endpoint::new(name)?,
        state: State::Live,
        failure_domain: Domain::new(DOMAINS[index % DOMAINS.len()])?,
        address: running.address(),
        serves,
        fencing,
    };
    Ok(ListedEndpoint {
        running: Some(running),
        entry,
    })
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Returns the settings of a daemon on loopback with free ports, as TOML.
pub fn settings(name: &str, domain: &str, log: SocketAddr, roster: SocketAddr) -> String {
    format!(
        r#"[instance]
name = "{name}"
failure_domain = "{domain}"
region = "tunis-north"
[listen]
callers = "127.0.0.1:0"
peers = "127.0.0.1:0"
admin = "127.0.0.1:0"
[platform]
log = "{log}"
roster = "{roster}"
roster_poll_ms = 100
[store]
loads_per_s = 40.0
loads_at_once = 6
[drain]
announce_ms = 300
grace_ms = 10000
[[service]]
prefix = "/apps/{SERVICE}/"
serves = "{SERVICE}"
"#
    )
}

/// Parses settings. The error lists all findings.
///
/// # Errors
/// Fails if the settings have a finding.
pub fn read_settings(text: &str) -> Result<Settings> {
    ploverwick_settings::read(text).map_err(|findings| {
        let lines: Vec<String> = findings.iter().map(ToString::to_string).collect();
        anyhow::anyhow!("{}", lines.join("\n"))
    })
}

impl Drop for Fleet {
    fn drop(&mut self) {
        // Daemons stop first, so that they do not report lost endpoints.
        self.daemons.clear();
        for listed in &mut self.endpoints {
            listed.running.take();
        }
    }
}
