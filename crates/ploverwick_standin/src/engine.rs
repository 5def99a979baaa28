//! A stand-in for a model engine.
//!
//! It batches continuously: each step makes one token for up to `batch` runs, most urgent first.
//! It keeps its own records of what ran and of every broken promise that it can see, and tests
//! count from those.

mod cache;
mod core;
mod http;
mod records;

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use ploverwick_ports::client::Client;
use ploverwick_timeline::Recorder;
use serde::{Deserialize, Serialize};

pub use cache::{CacheEvent, Change};
pub use records::{Outcome, Records, Run, Steps};

use crate::host::{self, Running, lock};
use core::Core;

/// The shortest interval at which runs are looked after.
const LEAST_STEP: Duration = Duration::from_millis(1);

/// How the engine behaves.
#[derive(Debug, Clone)]
pub struct Config {
    /// Its name on the time line.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// The base model that it serves.
    pub base: String,
    /// The number of adapter slots.
    pub slots: u32,
    /// The most runs computed in one step.
    pub batch: u32,
    /// How long a step takes; zero makes a run's whole answer at its start.
    pub step: Duration,
    /// Whether it refuses orders with an old fencing token.
    pub checks_tokens: bool,
    /// How far its reports lag behind.
    pub report_lag: Duration,
    /// How long a run whose reader went away is kept for a resumption.
    pub resume_window: Duration,
    /// Where it loads weights from; without one a load takes `load_time`.
    pub store: Option<SocketAddr>,
    /// How long a load takes without a store.
    pub load_time: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            name: "engine".to_owned(),
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            base: "base".to_owned(),
            slots: 4,
            batch: 16,
            step: Duration::from_millis(10),
            checks_tokens: true,
            report_lag: Duration::from_millis(200),
            resume_window: Duration::from_secs(3),
            store: None,
            load_time: Duration::from_millis(100),
        }
    }
}

/// Faults that can be switched on.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Loads fail.
    pub fail_loads: bool,
    /// This many orders are followed, and their answers are lost.
    pub lose_order_answers: u32,
    /// Orders are followed this much later than they arrive, in milliseconds.
    pub delay_orders_ms: u64,
    /// Answers name this adapter in place of the one that ran.
    pub echo_adapter: Option<String>,
    /// This many streams break off after their second event.
    pub cut_streams: u32,
    /// This many runs break off before their answer begins.
    pub cut_heads: u32,
    /// Every run is refused as not run.
    pub refuse_runs: bool,
    /// The engine says that it is leaving.
    pub leaving: bool,
}

#[derive(Debug)]
struct Engine {
    config: Config,
    recorder: Recorder,
    faults: Mutex<Faults>,
    core: Mutex<Core>,
    client: Client,
}

/// Starts the engine.
///
/// # Errors
/// Fails if the address cannot be listened on.
pub async fn start(config: Config) -> io::Result<Running> {
    let address = config.address;
    host::run(address, |mut stop| {
        let engine = Arc::new(Engine {
            recorder: host::recorder(&config.name),
            core: Mutex::new(Core::new(&config)),
            config,
            faults: Mutex::default(),
            client: Client::new(),
        });
        let stepping = Arc::clone(&engine);
        tokio::spawn(async move {
            tokio::select! {
                () = stepping.steps() => {}
                () = stop.stopped() => {}
            }
        });
        engine
    })
    .await
}

impl Engine {
    async fn steps(&self) {
        let step = self.config.step.max(LEAST_STEP);
        let mut ticks = tokio::time::interval(step);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            lock(&self.core).step();
        }
    }
}
