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
/// The base model that the engines serve.
pub const BASE: &str = "base";
/// The plain service.
pub const SERVICE: &str = "transcripts";
const DOMAINS: [&str; 3] = ["charguia", "ariana", "lac"];

/// The make-up of a fleet.
#[derive(Debug, Clone)]
pub struct Plan {
    /// The number of daemons.
    pub daemons: usize,
    /// The number of engines; every second one ignores fencing tokens.
    pub engines: usize,
    /// What every engine is like; name and address are filled in.
    pub engine: engine::Config,
    /// What the log is like.
    pub log: log::Config,
    /// What the store is like.
    pub store: store::Config,
    /// How far the platform's list lags.
    pub roster_lag: Duration,
    /// Further settings of every daemon, as TOML after the platform's section.
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

/// A stand-in for an endpoint, and how it is listed.
#[derive(Debug)]
struct Back {
    running: Option<Handle>,
    entry: EndpointEntry,
}

/// A daemon, and how it is listed.
struct Front {
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
    backs: Vec<Back>,
    fronts: Vec<Front>,
}

impl Fleet {
    /// Starts a fleet. Nothing is in its table yet.
    ///
    /// # Errors
    /// Fails if an address cannot be listened on.
    pub async fn start(plan: Plan) -> Result<Self> {
        let log = log::start(plan.log.clone())
            .await
            .context("start the log")?;
        let store = store::start(plan.store.clone())
            .await
            .context("start the store")?;
        let backs = start_backs(&plan, store.address()).await?;
        let listing = Listing {
            instances: Vec::new(),
            endpoints: backs.iter().map(|back| back.entry.clone()).collect(),
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
            backs,
            fronts: Vec::new(),
            plan,
        };
        for _ in 0..fleet.plan.daemons {
            fleet.add_daemon().await?;
        }
        Ok(fleet)
    }

    /// Starts one more daemon and has the platform list it.
    ///
    /// # Errors
    /// Fails if an address cannot be listened on.
    pub async fn add_daemon(&mut self) -> Result<usize> {
        let index = self.fronts.len();
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
        self.fronts.push(Front {
            callers: daemon.callers(),
            daemon: Some(daemon),
            entry,
        });
        self.list().await?;
        Ok(index)
    }

    /// Has the platform list the fleet as it is.
    ///
    /// # Errors
    /// Fails if the list does not answer.
    pub async fn list(&self) -> Result<()> {
        let listing = Listing {
            instances: self
                .fronts
                .iter()
                .map(|front| front.entry.clone())
                .collect(),
            endpoints: self.backs.iter().map(|back| back.entry.clone()).collect(),
        };
        self.put(self.roster_address(), "/listing", &listing).await
    }

    /// Switches faults of a stand-in on or off.
    ///
    /// # Errors
    /// Fails if the stand-in does not answer.
    pub async fn faults<T: Serialize + Sync>(&self, address: SocketAddr, faults: &T) -> Result<()> {
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

    /// Lets a daemon leave, as SIGTERM would, and takes it off the list when it is gone.
    ///
    /// # Errors
    /// Fails if the list does not answer.
    pub async fn drain(&mut self, index: usize) -> Result<()> {
        let daemon = self.begin_drain(index).await?;
        if let Some(daemon) = daemon {
            daemon.drain().await;
        }
        self.fronts.remove(index);
        self.list().await
    }

    /// Has the platform list a daemon as leaving, and hands it out to be drained.
    ///
    /// # Errors
    /// Fails if the list does not answer.
    pub async fn begin_drain(&mut self, index: usize) -> Result<Option<Daemon>> {
        let front = &mut self.fronts[index];
        front.entry.state = State::Leaving;
        let daemon = front.daemon.take();
        self.list().await?;
        Ok(daemon)
    }

    /// Takes a daemon that has left off the list.
    ///
    /// # Errors
    /// Fails if the list does not answer.
    pub async fn end_drain(&mut self, index: usize) -> Result<()> {
        self.fronts.remove(index);
        self.list().await
    }

    /// Ends a daemon without a word. The platform's list lags: it goes on naming it.
    pub fn fail(&mut self, name: &str) {
        self.fronts
            .retain(|front| front.entry.name.as_str() != name);
    }

    /// Restarts a model engine: nothing is loaded and nothing runs.
    ///
    /// # Errors
    /// Fails if the engine does not answer.
    pub async fn restart_engine(&self, index: usize) -> Result<()> {
        let address = self.engines()[index];
        let call = self.client.call::<(), serde_json::Value>(
            Method::POST,
            address,
            "/standin/restart",
            None,
            TIMEOUT,
        );
        call.await.map(drop).context("restart an engine")
    }

    /// Has the platform list a daemon that runs elsewhere, such as in a process of its own.
    ///
    /// # Errors
    /// Fails if the list does not answer.
    pub async fn adopt(&mut self, entry: InstanceEntry, callers: SocketAddr) -> Result<()> {
        self.fronts.retain(|front| front.entry.name != entry.name);
        self.fronts.push(Front {
            daemon: None,
            callers,
            entry,
        });
        self.list().await
    }

    /// Returns where the plain service listens.
    pub fn service(&self) -> Option<SocketAddr> {
        let mut backs = self.backs.iter();
        let service = backs.find(|back| matches!(back.entry.serves, Serves::Service(_)));
        service.map(|back| back.entry.address)
    }

    /// Returns where callers reach the daemons.
    pub fn callers(&self) -> Vec<SocketAddr> {
        self.fronts.iter().map(|front| front.callers).collect()
    }

    /// Returns where operators reach the daemons.
    pub fn admins(&self) -> Vec<SocketAddr> {
        self.fronts.iter().map(|front| front.entry.admin).collect()
    }

    /// Returns where the log listens.
    pub fn log_address(&self) -> SocketAddr {
        self.log.address()
    }

    /// Returns where the list of instances listens.
    pub fn roster_address(&self) -> SocketAddr {
        self.roster.address()
    }

    /// Returns where the store listens.
    pub fn store_address(&self) -> SocketAddr {
        self.store.address()
    }

    /// Returns a client of the log.
    pub fn log(&self) -> Log {
        Log::new(self.client.clone(), self.log_address(), TIMEOUT)
    }

    /// Returns where the model engines listen.
    pub fn engines(&self) -> Vec<SocketAddr> {
        let models = self
            .backs
            .iter()
            .filter(|back| matches!(back.entry.serves, Serves::Model(_)));
        models.map(|back| back.entry.address).collect()
    }

    /// Has the platform list an endpoint as leaving.
    ///
    /// # Errors
    /// Fails if the list does not answer.
    pub async fn leave_endpoint(&mut self, index: usize) -> Result<()> {
        self.backs[index].entry.state = State::Leaving;
        self.list().await
    }

    /// Reads the records of every model engine.
    ///
    /// # Errors
    /// Fails if an engine does not answer.
    pub async fn records(&self) -> Result<Vec<Records>> {
        let mut all = Vec::new();
        for address in self.engines() {
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

    /// Waits until every daemon is ready and every engine has an owner.
    ///
    /// # Errors
    /// Fails if that takes longer than `patience`.
    pub async fn wait_ready(&self, patience: Duration) -> Result<()> {
        let waiting = async {
            while !self.is_ready().await {
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        };
        tokio::time::timeout(patience, waiting)
            .await
            .context("the fleet did not become ready in time")
    }

    async fn is_ready(&self) -> bool {
        let Ok(fleet) = ploverwick_operator::Fleet::read(self.roster_address()).await else {
            return false;
        };
        let status = fleet.status().await;
        let all = status.answers.len() == self.fronts.len();
        all && status.answers.iter().all(|status| {
            let owned = status
                .endpoints
                .iter()
                .all(|endpoint| endpoint.owner.is_some());
            owned && !status.endpoints.is_empty() && status.table.0 > 0
        })
    }
}

async fn start_backs(plan: &Plan, store: SocketAddr) -> Result<Vec<Back>> {
    let mut backs = Vec::new();
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
        backs.push(back(&name, running, serves, fencing, index)?);
    }
    let config = service::Config {
        name: "service-1".to_owned(),
        address: loopback(),
        call_time: Duration::from_millis(5),
    };
    let running = service::start(config).await.context("start the service")?;
    let serves = Serves::Service(SERVICE.to_owned());
    backs.push(back("service-1", running, serves, Fencing::Ignored, 0)?);
    Ok(backs)
}

fn back(
    name: &str,
    running: Handle,
    serves: Serves,
    fencing: Fencing,
    index: usize,
) -> Result<Back> {
    let entry = EndpointEntry {
        name: Endpoint::new(name)?,
        state: State::Live,
        failure_domain: Domain::new(DOMAINS[index % DOMAINS.len()])?,
        address: running.address(),
        serves,
        fencing,
    };
    Ok(Back {
        running: Some(running),
        entry,
    })
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Writes the settings of a daemon on loopback with free ports.
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

/// Reads settings, with every finding in the error.
///
/// # Errors
/// Fails if there is a finding.
pub fn read_settings(text: &str) -> Result<Settings> {
    ploverwick_settings::read(text).map_err(|findings| {
        let lines: Vec<String> = findings.iter().map(ToString::to_string).collect();
        anyhow::anyhow!("{}", lines.join("\n"))
    })
}

impl Drop for Fleet {
    fn drop(&mut self) {
        // Daemons go first, so that they do not report lost endpoints.
        self.fronts.clear();
        for back in &mut self.backs {
            back.running.take();
        }
    }
}
