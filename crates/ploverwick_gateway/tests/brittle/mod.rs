//! Clients that send requests through several instances to brittle endpoints.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use anyhow::Result;
use http::StatusCode;
use ploverwick_platform::settings::Settings;
use ploverwick_platform_standin::brittle::{Behaviour, BrittleEndpoint, Refusal};
use ploverwick_platform_standin::client::{ClientRequest, Connection};
use ploverwick_platform_standin::settings;
use ploverwick_platform_standin::store::Store;
use tokio::runtime::Runtime;
use tokio::task::JoinSet;

use super::common::{HOST, Instance, free_port};

/// How long clients send before endpoints become brittle.
const WARM_UP: Duration = Duration::from_secs(2);
/// How long endpoints are brittle.
const BRITTLE_TIME: Duration = Duration::from_secs(7);
/// How long a client waits after a request that was not served.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// When further clients join and instances restart, after endpoints become brittle.
const CHANGE_AT: Duration = Duration::from_secs(3);
/// How long an instance that restarts is down.
const RESTART_TIME: Duration = Duration::from_millis(300);
/// The number of endpoints that may crash for each brittle time, besides a tenth of them.
const MAX_CRASHES: usize = 2;

/// Who sends, through what, to what.
#[derive(Debug, Clone, Copy)]
pub struct Workload {
    pub instances: usize,
    pub endpoints: usize,
    pub behaviour: Behaviour,
    pub clients: usize,
    /// The clients that join while endpoints are brittle.
    pub joining: usize,
    /// How long a client pauses after each request that was served.
    pub pause: Duration,
    /// Whether all requests are the same but for the attempt identifier.
    pub are_alike: bool,
    /// The endpoints that fail for the first instance.
    pub failing: usize,
    /// The instances that receive no messages from the others, and they none from these.
    pub partitioned: usize,
    /// The instances that are killed and restarted while endpoints are brittle.
    pub restarts: usize,
}

/// More clients than the endpoints have slots, before endpoints that bear several refusals.
pub const FULL: Workload = Workload {
    instances: 6,
    endpoints: 6,
    behaviour: Behaviour {
        slots: 4,
        listed_slots: 4,
        run_time: Duration::from_millis(150),
        max_refusals: 5,
        crashes: true,
        fails_for: None,
    },
    clients: 96,
    joining: 0,
    pause: Duration::ZERO,
    are_alike: false,
    failing: 0,
    partitioned: 0,
    restarts: 0,
};

/// Fewer clients than the endpoints have slots.
pub const LIGHT: Workload = Workload {
    endpoints: 8,
    behaviour: Behaviour {
        max_refusals: 3,
        ..FULL.behaviour
    },
    clients: 24,
    pause: Duration::from_millis(150),
    ..FULL
};

/// What happened while endpoints were brittle.
#[expect(dead_code, reason = "some fields are only printed when a test fails")]
#[derive(Debug)]
pub struct Outcome {
    pub crashes: usize,
    pub max_crashes: usize,
    /// The requests that an endpoint turned away in its worst second.
    pub worst_second: usize,
    pub refusals: usize,
    pub tries: usize,
    pub served: usize,
    /// The part of the time of all slots in which they were in use.
    pub slot_use: f64,
    /// The same until further clients join and instances restart.
    pub early_slot_use: f64,
    /// The tries that were not served, by result code.
    pub failures: BTreeMap<String, usize>,
}

/// The tries of all clients.
#[derive(Debug, Default)]
struct Tally {
    tries: usize,
    served: usize,
    failures: BTreeMap<String, usize>,
}

/// An instance with a runtime of its own, so that killing it closes all its connections.
struct Process {
    front: SocketAddr,
    runtime: Option<Runtime>,
}

impl Process {
    async fn start(settings: Settings) -> Result<Self> {
        let mut builder = tokio::runtime::Builder::new_multi_thread();
        let runtime = builder.worker_threads(1).enable_all().build()?;
        let instance = runtime.spawn(Instance::start(settings)).await??;
        Ok(Self {
            front: instance.front,
            runtime: Some(runtime),
        })
    }

    fn kill(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

struct Run {
    workload: Workload,
    fronts: Mutex<Vec<SocketAddr>>,
    tally: Mutex<Tally>,
}

impl Run {
    fn front(&self, instance: usize) -> SocketAddr {
        self.fronts.lock().expect("no holder of the lock panics")[instance]
    }

    /// Sends requests one after the other until `end`.
    async fn send_until(self: Arc<Self>, client: usize, end: Instant) {
        let mut connection = None;
        let mut number = 0;
        while Instant::now() < end {
            number += 1;
            let id = format!("r{client}-{number}");
            let failure = self.send(client, &id, &mut connection).await;
            let pause = match failure {
                None => self.workload.pause,
                Some(_) => RETRY_DELAY,
            };
            self.record(failure);
            tokio::time::sleep(pause).await;
        }
    }

    /// Sends a request on the client's connection, which is opened anew if it has ended. Returns why it was not served.
    async fn send(
        &self,
        client: usize,
        id: &str,
        connection: &mut Option<Connection>,
    ) -> Option<String> {
        let content = if self.workload.are_alike { "same" } else { id };
        let request = ClientRequest::new(id, HOST, "/safe/").body(content.to_owned());
        let mut open = match connection.take() {
            Some(open) => open,
            None => match Connection::open(self.front(client % self.workload.instances)).await {
                Ok(open) => open,
                Err(_) => return Some("not connected".to_owned()),
            },
        };
        let Ok(got) = open.send(&request).await else {
            return Some("closed".to_owned());
        };
        if !got.closes {
            *connection = Some(open);
        }
        (got.status != StatusCode::OK).then(|| got.code.unwrap_or_default())
    }

    fn set_front(&self, instance: usize, front: SocketAddr) {
        self.fronts.lock().expect("no holder of the lock panics")[instance] = front;
    }

    fn take_tally(&self) -> Tally {
        std::mem::take(&mut *self.tally.lock().expect("no holder of the lock panics"))
    }

    fn record(&self, failure: Option<String>) {
        let mut tally = self.tally.lock().expect("no holder of the lock panics");
        tally.tries += 1;
        match failure {
            None => tally.served += 1,
            Some(failure) => *tally.failures.entry(failure).or_default() += 1,
        }
    }
}

/// Returns the address of an instance. `host` counts the starts of all instances.
fn instance_ip(host: usize) -> Result<Ipv4Addr> {
    Ok(Ipv4Addr::new(127, 0, 0, u8::try_from(host + 1)?))
}

fn instance_settings(number: usize, host: usize, port: u16, store: &Store) -> Result<Settings> {
    let ip = instance_ip(host)?;
    let mut settings = settings::of(&format!("n{number}"), ip, port, store.address());
    settings.repeat_ratio = 1.0;
    Ok(settings)
}

/// Runs a workload and records what happens while endpoints are brittle.
pub async fn run(workload: Workload) -> Result<Outcome> {
    let store = Store::start().await?;
    store.configure(&settings::config(1));
    let mut endpoints = Vec::new();
    for number in 0..workload.endpoints {
        let name = format!("i-{number}");
        let behaviour = Behaviour {
            fails_for: (number < workload.failing).then_some(instance_ip(0)?.into()),
            ..workload.behaviour
        };
        endpoints.push(BrittleEndpoint::start(&name, behaviour, &store).await?);
    }
    let port = free_port()?;
    let other_port = free_port()?;
    let mut instances = Vec::new();
    for number in 0..workload.instances {
        let is_partitioned = number < workload.partitioned;
        let port = if is_partitioned { other_port } else { port };
        let settings = instance_settings(number, number, port, &store)?;
        instances.push(Process::start(settings).await?);
    }
    let run = Arc::new(Run {
        workload,
        fronts: Mutex::new(instances.iter().map(|instance| instance.front).collect()),
        tally: Mutex::default(),
    });
    let brittle_at = Instant::now() + WARM_UP;
    let end = brittle_at + BRITTLE_TIME;
    let mut clients = JoinSet::new();
    for client in 0..workload.clients {
        clients.spawn(Arc::clone(&run).send_until(client, end));
    }
    tokio::time::sleep_until(brittle_at.into()).await;
    drop(run.take_tally());
    let busy_before = total_busy(&endpoints);
    for endpoint in &endpoints {
        endpoint.set_brittle();
    }
    tokio::time::sleep(CHANGE_AT).await;
    let early_busy = total_busy(&endpoints) - busy_before;
    for client in workload.clients..workload.clients + workload.joining {
        clients.spawn(Arc::clone(&run).send_until(client, end));
    }
    restart_instances(&run, &mut instances, port, &store).await?;
    while clients.join_next().await.is_some() {}
    let busy = total_busy(&endpoints) - busy_before;
    let tally = run.take_tally();
    Ok(outcome(workload, &endpoints, tally, [early_busy, busy]))
}

/// Kills instances and starts them again at other addresses, as the platform does.
async fn restart_instances(
    run: &Run,
    instances: &mut [Process],
    port: u16,
    store: &Store,
) -> Result<()> {
    let count = instances.len();
    let restarted = &mut instances[..run.workload.restarts];
    for instance in &mut *restarted {
        instance.kill();
    }
    tokio::time::sleep(RESTART_TIME).await;
    for (number, instance) in restarted.iter_mut().enumerate() {
        let mut settings = instance_settings(number, count + number, port, store)?;
        settings.first_start = false;
        *instance = Process::start(settings).await?;
        run.set_front(number, instance.front);
    }
    Ok(())
}

/// Returns the seconds for which slots were in use.
fn total_busy(endpoints: &[BrittleEndpoint]) -> f64 {
    let busy: Duration = endpoints.iter().map(BrittleEndpoint::busy).sum();
    busy.as_secs_f64()
}

/// `early_busy` is the part of `busy` until the change.
fn outcome(
    workload: Workload,
    endpoints: &[BrittleEndpoint],
    tally: Tally,
    [early_busy, busy]: [f64; 2],
) -> Outcome {
    let refusals: Vec<Vec<Refusal>> = endpoints.iter().map(BrittleEndpoint::refusals).collect();
    let worst = refusals.iter().map(|list| most_in_a_second(list)).max();
    let crashes = endpoints.iter().map(|endpoint| endpoint.crashes().len());
    let slots = (workload.endpoints * workload.behaviour.slots) as f64;
    Outcome {
        crashes: crashes.sum(),
        max_crashes: MAX_CRASHES + workload.endpoints / 10,
        worst_second: worst.unwrap_or(0),
        refusals: refusals.iter().map(Vec::len).sum(),
        tries: tally.tries,
        served: tally.served,
        slot_use: busy / (slots * BRITTLE_TIME.as_secs_f64()),
        early_slot_use: early_busy / (slots * CHANGE_AT.as_secs_f64()),
        failures: tally.failures,
    }
}

/// Returns the most refusals in any second.
fn most_in_a_second(refusals: &[Refusal]) -> usize {
    let windows = refusals.iter().enumerate().map(|(first, begin)| {
        let within = |later: &&Refusal| later.at - begin.at < Duration::from_secs(1);
        refusals[first..].iter().take_while(within).count()
    });
    windows.max().unwrap_or(0)
}
