//! Whole daemons without requests: what their control costs as the fleet grows.

use std::fmt::Write;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use anyhow::{Context, Result};
use ploverwick_daemon::Daemon;
use ploverwick_demo::fleet::{Fleet, Plan, read_settings, settings};
use ploverwick_demo::run::publish_table;
use ploverwick_names::{Domain, Instance, Offset};
use ploverwick_ports::roster::{InstanceEntry, State};
use ploverwick_standin::engine;
use ploverwick_table::parse;
use tokio::runtime::Runtime;

use super::Slope;
use crate::system;

const SIZES: [usize; 5] = [4, 8, 16, 32, 64];
/// Endpoints for each daemon, as at the two-year size: 870 for 330.
const ENDPOINTS_PER_DAEMON: f64 = 870.0 / 330.0;
const ROWS: usize = 15_000;
const TARGET: f64 = 330.0;
const SETTLE: Duration = Duration::from_secs(6);
const THREADS: &str = "daemons";

/// What a fleet of one size costs.
struct Cost {
    core_percent: f64,
    kib_per_s: f64,
    memory_mib: f64,
}

/// Measures fleets of five sizes.
///
/// # Errors
/// Fails if a fleet does not start.
pub(crate) fn measure(seconds: u64) -> Result<Vec<Slope>> {
    let mut core = Vec::new();
    let mut bytes = Vec::new();
    let mut memory = Vec::new();
    for size in SIZES {
        eprintln!("{size} idle daemons for {seconds} s");
        let cost = fleet(size, seconds)?;
        core.push((size as f64, cost.core_percent));
        bytes.push((size as f64, cost.kib_per_s));
        memory.push((size as f64, cost.memory_mib));
    }
    let slope = |name, what, points| Slope {
        name,
        what,
        size: "daemons",
        points,
        target: TARGET,
    };
    Ok(vec![
        slope("control-core", "control: % of a core a daemon", core),
        slope(
            "control-bytes",
            "control: KiB/s a daemon, all headers included",
            bytes,
        ),
        slope(
            "control-memory",
            "memory: MiB a daemon, table of 15,000 rows",
            memory,
        ),
    ])
}

fn fleet(size: usize, seconds: u64) -> Result<Cost> {
    let outside = system::runtime("standins")?;
    let inside = system::runtime(THREADS)?;
    let mut fleet = outside.block_on(Fleet::start(Plan {
        daemons: 0,
        engines: (size as f64 * ENDPOINTS_PER_DAEMON).round() as usize,
        engine: engine::Config {
            slots: 8,
            step: Duration::from_millis(50),
            ..Plan::default().engine
        },
        ..Plan::default()
    }))?;
    outside.block_on(publish(&fleet))?;
    let before = system::resident()?;
    let daemons = start(&inside, &outside, &mut fleet, size)?;
    outside.block_on(fleet.wait_ready(Duration::from_mins(1)))?;
    std::thread::sleep(SETTLE);
    let grown = system::resident()?.saturating_sub(before);
    let time = system::threads_time(THREADS)?;
    let moved = system::loopback_bytes()?;
    let started = Instant::now();
    std::thread::sleep(Duration::from_secs(seconds));
    let took = started.elapsed().as_secs_f64();
    let busy = system::threads_time(THREADS)?
        .saturating_sub(time)
        .as_secs_f64();
    let moved = system::loopback_bytes()? - moved;
    drop(daemons);
    inside.shutdown_background();
    outside.shutdown_background();
    let each = |value: f64| value / size as f64;
    Ok(Cost {
        core_percent: each(busy / took * 100.0),
        kib_per_s: each(moved as f64 / took / 1024.0),
        memory_mib: each(grown as f64 / f64::from(1 << 20)),
    })
}

async fn publish(fleet: &Fleet) -> Result<()> {
    let mut csv = String::from("name,version,weight,priority\n*,,1,4\n");
    for index in 0..ROWS {
        let _ = writeln!(csv, "adapter-{index:05},v1,1,5");
    }
    let table = parse::parse(&csv).map_err(|findings| anyhow::anyhow!("{findings:?}"))?;
    publish_table(fleet, Offset(0), &table).await.map(drop)
}

fn start(
    inside: &Runtime,
    outside: &Runtime,
    fleet: &mut Fleet,
    size: usize,
) -> Result<Vec<Daemon>> {
    let (log, roster): (SocketAddr, SocketAddr) = (fleet.log_address(), fleet.roster_address());
    let mut daemons = Vec::new();
    for index in 0..size {
        let name = format!("entry-{index}");
        // The intervals that the capacity page proposes for the two-year size.
        let text = settings(&name, "charguia", log, roster)
            .replace("roster_poll_ms = 100", "roster_poll_ms = 2000");
        let text = format!(
            "{text}\n[table]\npoll_ms = 2000\n[ownership]\nreport_ms = 2000\n\
             [membership]\nbeat_ms = 1000\nprobe_timeout_ms = 500\nsuspect_ms = 3000\n"
        );
        let settings = read_settings(&text)?;
        let daemon = inside
            .block_on(Daemon::start(settings))
            .with_context(|| format!("start {name}"))?;
        let entry = InstanceEntry {
            name: Instance::new(&name)?,
            state: State::Live,
            failure_domain: Domain::new("charguia")?,
            peers: daemon.peers(),
            admin: daemon.admin(),
        };
        outside.block_on(fleet.add_external(entry, daemon.callers()))?;
        daemons.push(daemon);
    }
    Ok(daemons)
}
