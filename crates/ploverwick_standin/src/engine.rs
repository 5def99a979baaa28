//! A simulated model engine.
//!
//! It uses continuous batching: each step generates one token for up to `batch` runs, in order of
//! priority. It records every run and every violated guarantee that it can observe; tests assert on
//! these records.

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

use crate::host::{self, Handle, lock};
use core::Core;

/// The minimum interval between steps; applies if the configured step time is shorter or zero.
const MIN_STEP: Duration = Duration::from_millis(1);

/// The configuration of the engine.
#[derive(Debug, Clone)]
pub struct Config {
    /// The name in the timeline.
    pub name: String,
    /// The address to listen on.
    pub address: SocketAddr,
    /// The base model that the engine serves.
    pub base: String,
    /// The number of adapter slots.
    pub slots: u32,
    /// The maximum batch size: the number of runs computed per step.
    pub batch: u32,
    /// The duration of a step; with zero, a run generates all its tokens when it starts.
    pub step: Duration,
    /// Whether orders with an old fencing token are refused.
    pub checks_tokens: bool,
    /// The age of the state that reports and cache events show.
    pub report_lag: Duration,
    /// How long the output of a run without a reader is kept for a resumption.
    pub resume_window: Duration,
    /// The address of the weight store; without one, a load takes `load_time`.
    pub store: Option<SocketAddr>,
    /// The duration of a load without a store.
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

/// Faults to inject.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Whether loads fail.
    pub fail_loads: bool,
    /// The number of orders that are carried out but whose responses are dropped.
    pub lose_order_answers: u32,
    /// The delay before an order is carried out, in milliseconds.
    pub delay_orders_ms: u64,
    /// The adapter that responses name instead of the one that ran.
    pub echo_adapter: Option<String>,
    /// The number of streams to abort after their second event.
    pub cut_streams: u32,
    /// The number of run requests to abort before the response head.
    pub cut_heads: u32,
    /// The number of bytes after which the body of the next run ends with its connection. It has neither a length nor
    /// chunks.
    pub end_body_after: Option<usize>,
    /// Whether every run is refused as not run.
    pub refuse_runs: bool,
    /// Whether reports say that the engine is about to shut down.
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
/// Fails if the address cannot be bound.
pub async fn start(config: Config) -> io::Result<Handle> {
    let address = config.address;
    host::run(address, |mut stop| {
        let engine = Arc::new(Engine {
            recorder: host::recorder(&config.name),
            core: Mutex::new(Core::new(&config)),
            config,
            faults: Mutex::default(),
            client: Client::new(),
        });
        let stepper = Arc::clone(&engine);
        tokio::spawn(async move {
            tokio::select! {
                () = stepper.run_steps() => {}
                () = stop.stopped() => {}
            }
        });
        engine
    })
    .await
}

impl Engine {
    async fn run_steps(&self) {
        let step = self.config.step.max(MIN_STEP);
        let mut ticks = tokio::time::interval(step);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            lock(&self.core).step();
        }
    }
}
