//! A deployment on loopback addresses: a store in this process, and gateways and endpoints as processes.

use std::collections::HashMap;
use std::fs::{self, File};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use anyhow::{Context, Result, bail};
use ploverwick_platform_standin::client;
use ploverwick_platform_standin::faulty::{Behaviour, Fault, STREAM_PATH};
use ploverwick_platform_standin::settings::{self, Addresses};
use ploverwick_platform_standin::store::Store;
use rustix::process::Signal;
use serde_json::json;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::process::{ChildStdin, Command};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::endpoint::Start;
use crate::plan::{Disruption, Scope, Target};
use crate::process::Process;

/// The host of all routes.
pub const HOST: &str = "a.example";
/// The path of requests that may run once.
pub const ONCE_PATH: &str = "/once/x";
/// The path of idempotent requests.
pub const SAFE_PATH: &str = "/safe/x";

const DOMAINS: [&str; 3] = ["d1", "d2", "d3"];
const SERVICE: &str = "app";
const ENDPOINT_PORT: u16 = 8_082;
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_200);
/// The silence after which an endpoint's entry is removed.
const EXPIRY: Duration = Duration::from_millis(3_600);
const START_TIMEOUT: Duration = Duration::from_secs(20);
const GRACE: Duration = Duration::from_secs(8);

/// The programs that a deployment runs.
#[derive(Debug, Clone)]
pub struct Programs {
    /// This crate's program, which runs endpoints.
    pub soak: PathBuf,
    /// The gateway; `None` for the one that is linked into this crate's program.
    pub gateway: Option<PathBuf>,
    /// The folder of settings and logs.
    pub folder: PathBuf,
}

/// A running deployment.
pub struct Deployment {
    programs: Programs,
    behaviour: Behaviour,
    seed: u64,
    store: Store,
    _network: Network,
    /// The number of versions of the configuration that were published.
    versions: AtomicU64,
    fronts: Arc<[SocketAddr]>,
    gateways: Vec<Mutex<Gateway>>,
    endpoints: Vec<Mutex<Endpoint>>,
    runs: Arc<Mutex<HashMap<String, usize>>>,
    readers: Mutex<Vec<JoinHandle<()>>>,
}

struct Gateway {
    name: String,
    ready: SocketAddr,
    process: Option<Process>,
}

struct Endpoint {
    address: SocketAddr,
    generation: u32,
    process: Option<Process>,
    is_paused: bool,
    /// Sends faults to the process; its task ends when this is dropped.
    faults: Option<mpsc::UnboundedSender<Vec<Fault>>>,
    /// The listed entries by identifier, and when each was last written.
    listed: HashMap<String, Instant>,
}

impl Endpoint {
    fn id(&self) -> String {
        format!("i-{}-{}", self.address.ip(), self.generation)
    }
}

impl Deployment {
    /// Starts all processes, and waits until the gateways are ready.
    ///
    /// # Errors
    /// Fails if a process does not start, or no addresses are free.
    pub async fn start(
        scope: Scope,
        behaviour: Behaviour,
        programs: Programs,
    ) -> Result<Arc<Self>> {
        fs::create_dir_all(&programs.folder).context("create the folder")?;
        let reserved = Network::reserve()?;
        let network = reserved.number;
        let ports = free_ports(network)?;
        let store = Store::start().await?;
        let mut gateways = Vec::new();
        let mut fronts = Vec::new();
        for index in 0..scope.gateways {
            let host = u8::try_from(index + 1).context("too many gateways")?;
            let ip = Ipv4Addr::new(127, network, 1, host);
            let name = format!("gateway-{index}");
            let addresses = Addresses {
                ip,
                front: ports,
                ready: ports + 1,
                inner: ports + 2,
                store: store.address(),
            };
            let text = settings::file(&name, DOMAINS[index % DOMAINS.len()], &DOMAINS, addresses);
            fs::write(programs.folder.join(format!("{name}.conf")), text)?;
            fronts.push((ip, addresses.front).into());
            gateways.push(Mutex::new(Gateway {
                name,
                ready: (ip, addresses.ready).into(),
                process: None,
            }));
        }
        let endpoint = |index| {
            let host = u8::try_from(index + 1).context("too many endpoints")?;
            Ok(Mutex::new(Endpoint {
                address: (Ipv4Addr::new(127, network, 64, host), ENDPOINT_PORT).into(),
                generation: 0,
                process: None,
                is_paused: false,
                faults: None,
                listed: HashMap::new(),
            }))
        };
        let endpoints: Result<Vec<_>> = (0..scope.endpoints).map(endpoint).collect();
        let deployment = Arc::new(Self {
            programs,
            behaviour,
            seed: scope.seed,
            store,
            _network: reserved,
            versions: AtomicU64::new(0),
            fronts: fronts.into(),
            gateways,
            endpoints: endpoints?,
            runs: Arc::default(),
            readers: Mutex::default(),
        });
        deployment.configure();
        for index in 0..scope.endpoints {
            deployment.start_endpoint(index)?;
        }
        tokio::spawn(send_heartbeats(Arc::clone(&deployment)));
        for gateway in &deployment.gateways {
            deployment.start_gateway(&mut lock(gateway))?;
        }
        deployment.wait_until_ready().await?;
        Ok(deployment)
    }

    /// Returns the addresses of the gateways for clients.
    pub fn fronts(&self) -> Arc<[SocketAddr]> {
        Arc::clone(&self.fronts)
    }

    async fn wait_until_ready(&self) -> Result<()> {
        let deadline = Instant::now() + START_TIMEOUT;
        for gateway in &self.gateways {
            let ready = lock(gateway).ready;
            while !client::is_ready(ready).await.unwrap_or(false) {
                if Instant::now() >= deadline {
                    bail!("{} is not ready", lock(gateway).name);
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
        Ok(())
    }

    fn start_gateway(&self, gateway: &mut Gateway) -> Result<()> {
        let folder = &self.programs.folder;
        let log = folder.join(format!("{}.log", gateway.name));
        let log = File::options().create(true).append(true).open(log)?;
        let mut command = match &self.programs.gateway {
            Some(program) => Command::new(program),
            None => {
                let mut command = Command::new(&self.programs.soak);
                command.arg("gateway");
                command
            }
        };
        let settings = folder.join(format!("{}.conf", gateway.name));
        command
            .env(ploverwick_platform::settings::PATH_VARIABLE, settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log);
        gateway.process = Some(Process::spawn(&mut command).context("start a gateway")?);
        Ok(())
    }

    fn start_endpoint(&self, index: usize) -> Result<()> {
        let mut endpoint = lock(&self.endpoints[index]);
        endpoint.generation += 1;
        let start = Start {
            id: endpoint.id(),
            address: endpoint.address,
            behaviour: Behaviour {
                drops_abandoned: index % 4 != 3,
                ..self.behaviour
            },
            seed: self.seed.wrapping_mul(1_000)
                + u64::from(endpoint.generation) * 100
                + index as u64,
        };
        let mut command = Command::new(&self.programs.soak);
        command
            .arg("endpoint")
            .arg(serde_json::to_string(&start)?)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped());
        let mut process = Process::spawn(&mut command).context("start an endpoint")?;
        let child = process.child();
        let output = child.stdout.take().context("the output is piped")?;
        let input = child.stdin.take().context("the input is piped")?;
        let runs = Arc::clone(&self.runs);
        let reader = tokio::spawn(async move {
            let mut lines = BufReader::new(output).lines();
            while let Ok(Some(id)) = lines.next_line().await {
                *lock(&runs).entry(id).or_default() += 1;
            }
        });
        lock(&self.readers).push(reader);
        let (faults, receiver) = mpsc::unbounded_channel();
        tokio::spawn(send_faults(receiver, input));
        endpoint.faults = Some(faults);
        endpoint.process = Some(process);
        endpoint.is_paused = false;
        Ok(())
    }

    /// Carries out a disruption, up to its end.
    ///
    /// # Errors
    /// Fails if a process cannot be started again.
    pub async fn disrupt(&self, disruption: Disruption) -> Result<()> {
        match disruption {
            Disruption::Pause(target, duration) => {
                self.signal(target, Signal::STOP);
                tokio::time::sleep(duration).await;
                self.signal(target, Signal::CONT);
            }
            Disruption::Kill(Target::Gateway(index), down) => {
                self.restart_gateway(index, async |process| {
                    process.kill().await;
                    tokio::time::sleep(down).await;
                })
                .await?;
            }
            Disruption::Restart(index) => {
                self.restart_gateway(index, async |process| {
                    process.signal(Signal::TERM);
                    // Dropping the process kills it.
                    drop(tokio::time::timeout(GRACE, process.ended()).await);
                })
                .await?;
            }
            Disruption::Kill(Target::Endpoint(index), down) => {
                let process = lock(&self.endpoints[index]).process.take();
                if let Some(process) = process {
                    process.kill().await;
                    tokio::time::sleep(down).await;
                    self.start_endpoint(index)?;
                }
            }
            Disruption::Configure => self.configure(),
            Disruption::StoreOutage(duration) => {
                self.store.set_unavailable(true);
                tokio::time::sleep(duration).await;
                self.store.set_unavailable(false);
            }
            Disruption::Faults(index, faults, duration) => {
                self.set_faults(index, faults);
                tokio::time::sleep(duration).await;
                self.set_faults(index, Vec::new());
            }
        }
        Ok(())
    }

    /// Ends a gateway's process by `end` and starts it again, unless another disruption does so already.
    async fn restart_gateway(&self, index: usize, end: impl AsyncFnOnce(Process)) -> Result<()> {
        let process = lock(&self.gateways[index]).process.take();
        if let Some(process) = process {
            end(process).await;
            self.start_gateway(&mut lock(&self.gateways[index]))?;
        }
        Ok(())
    }

    fn signal(&self, target: Target, signal: Signal) {
        match target {
            Target::Gateway(index) => {
                if let Some(process) = &lock(&self.gateways[index]).process {
                    process.signal(signal);
                }
            }
            Target::Endpoint(index) => {
                let mut endpoint = lock(&self.endpoints[index]);
                endpoint.is_paused = signal == Signal::STOP;
                if let Some(process) = &endpoint.process {
                    process.signal(signal);
                }
            }
        }
    }

    /// Publishes the next version of the configuration, under which one route has another time limit.
    fn configure(&self) {
        let version = 1 + self.versions.fetch_add(1, Ordering::Relaxed);
        self.store.configure(&config(version));
    }

    fn set_faults(&self, index: usize, faults: Vec<Fault>) {
        if let Some(sender) = &lock(&self.endpoints[index]).faults {
            // The process may have ended.
            drop(sender.send(faults));
        }
    }

    /// Ends all processes, and returns how often the endpoints ran each attempt.
    pub async fn stop(&self) -> HashMap<String, usize> {
        for gateway in &self.gateways {
            let process = lock(gateway).process.take();
            if let Some(process) = process {
                process.kill().await;
            }
        }
        for endpoint in &self.endpoints {
            let process = lock(endpoint).process.take();
            if let Some(process) = process {
                process.kill().await;
            }
        }
        let readers = std::mem::take(&mut *lock(&self.readers));
        for reader in readers {
            drop(reader.await);
        }
        lock(&self.runs).clone()
    }

    /// Writes the entries of the endpoints that run, and removes those of endpoints that were silent for too long.
    fn write_entries(&self) {
        let now = Instant::now();
        for (index, endpoint) in self.endpoints.iter().enumerate() {
            let mut endpoint = lock(endpoint);
            let id = endpoint.id();
            let last = endpoint.listed.get(&id);
            let is_due = last.is_none_or(|last| now - *last >= HEARTBEAT_INTERVAL);
            if endpoint.process.is_some() && !endpoint.is_paused && is_due {
                let entry = json!({
                    "service": SERVICE, "address": endpoint.address.to_string(),
                    "zone": DOMAINS[index % DOMAINS.len()], "version": "v1", "slots": self.behaviour.slots,
                    "state": "ready", "models": [], "seq": 1,
                });
                self.store.list(&id, &entry);
                endpoint.listed.insert(id, now);
            }
            endpoint.listed.retain(|id, last| {
                let is_live = now - *last < EXPIRY;
                if !is_live {
                    self.store.unlist(id);
                }
                is_live
            });
        }
    }
}

async fn send_heartbeats(deployment: Arc<Deployment>) {
    loop {
        deployment.write_entries();
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

/// Writes faults to an endpoint's process until the channel closes.
async fn send_faults(mut faults: mpsc::UnboundedReceiver<Vec<Fault>>, mut input: ChildStdin) {
    while let Some(faults) = faults.recv().await {
        let line = serde_json::to_string(&faults).expect("faults are valid JSON") + "\n";
        if input.write_all(line.as_bytes()).await.is_err() {
            return;
        }
    }
}

fn config(version: u64) -> serde_json::Value {
    let mut config = settings::config(version);
    let timeout = Duration::from_millis(1_500 + version % 2 * 500);
    settings::set_timeout(&mut config, "/once/", timeout);
    settings::add_stream_route(&mut config, STREAM_PATH, SERVICE);
    settings::set_max_body(&mut config, 1_000_000);
    config
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no holder of the lock panics")
}

/// A network 127.N.0.0 of which no other deployment uses an address.
struct Network {
    number: u8,
    /// Keeps the network from other deployments.
    _reservation: TcpListener,
}

impl Network {
    fn reserve() -> Result<Self> {
        let first = std::process::id() % 200;
        let mut numbers = (0..200).map(|n| 20 + ((first + n) % 200) as u8);
        let reserved = numbers.find_map(|number| {
            let address = (Ipv4Addr::new(127, number, 255, 1), ENDPOINT_PORT);
            let reservation = TcpListener::bind(address).ok()?;
            Some(Self {
                number,
                _reservation: reservation,
            })
        });
        reserved.context("no network is free")
    }
}

/// Finds four consecutive ports below those that the system gives to connections, and returns the first.
fn free_ports(network: u8) -> Result<u16> {
    let ip = Ipv4Addr::new(127, network, 1, 1);
    let is_free =
        |port: u16| TcpListener::bind((ip, port)).is_ok() && UdpSocket::bind((ip, port)).is_ok();
    let mut ports = (10_000..30_000).step_by(4);
    let port = ports.find(|first| (*first..first + 4).all(is_free));
    port.context("no ports are free")
}

/// Returns a folder for the settings and logs of a run.
pub fn run_folder(parent: &Path, seed: u64) -> PathBuf {
    parent.join(format!("ploverwick-soak-{}-{seed}", std::process::id()))
}
