//! The cost of control traffic in idle daemons as a function of the fleet size.

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

use super::Series;
use crate::system;

const FLEET_SIZES: [usize; 5] = [4, 8, 16, 32, 64];
/// The ratio expected in two years: 870 endpoints for 330 daemons.
const ENDPOINTS_PER_DAEMON: f64 = 870.0 / 330.0;
const ROWS: usize = 15_000;
const TARGET_DAEMONS: f64 = 330.0;
const SETTLE_TIME: Duration = Duration::from_secs(6);
const DAEMON_THREADS: &str = "daemons";

/// The cost per daemon in a fleet of a given size.
struct DaemonCost {
    core_percent: f64,
    kib_per_s: f64,
    memory_mib: f64,
}

/// Measures idle fleets of five sizes.
///
/// # Errors
/// Fails if a fleet does not start.
pub(crate) fn measure(seconds: u64) -> Result<Vec<Series>> {
    let mut core = Vec::new();
    let mut bytes = Vec::new();
    let mut memory = Vec::new();
    for size in FLEET_SIZES {
        eprintln!("{size} idle daemons for {seconds} s");
        let cost = measure_fleet(size, seconds)?;
        core.push((size as f64, cost.core_percent));
        bytes.push((size as f64, cost.kib_per_s));
        memory.push((size as f64, cost.memory_mib));
    }
    let series = |name, title, points| Series {
        name,
        title,
        x_label: "daemons",
        points,
        target: TARGET_DAEMONS,
    };
    Ok(vec![
        series("control-core", "control: % of a core a daemon", core),
        series(
            "control-bytes",
            "control: KiB/s a daemon, all headers included",
            bytes,
        ),
        series(
            "control-memory",
            "memory: MiB a daemon, table of 15,000 rows",
            memory,
        ),
    ])
}

fn measure_fleet(size: usize, seconds: u64) -> Result<DaemonCost> {
    let standin_runtime = system::runtime("standins")?;
    let daemon_runtime = system::runtime(DAEMON_THREADS)?;
    let mut fleet = standin_runtime.block_on(Fleet::start(Plan {
        daemons: 0,
        engines: (size as f64 * ENDPOINTS_PER_DAEMON).round() as usize,
        engine: engine::Config {
            slots: 8,
            step: Duration::from_millis(50),
            ..Plan::default().engine
        },
        ..Plan::default()
    }))?;
    standin_runtime.block_on(publish_large_table(&fleet))?;
    let memory_before = system::resident_bytes()?;
    let daemons = start_daemons(&daemon_runtime, &standin_runtime, &mut fleet, size)?;
    standin_runtime.block_on(fleet.wait_ready(Duration::from_mins(1)))?;
    std::thread::sleep(SETTLE_TIME);
    let memory_growth = system::resident_bytes()?.saturating_sub(memory_before);
    let cpu_time_before = system::thread_cpu_time(DAEMON_THREADS)?;
    let bytes_before = system::loopback_bytes()?;
    let started = Instant::now();
    std::thread::sleep(Duration::from_secs(seconds));
    let elapsed = started.elapsed().as_secs_f64();
    let cpu_time = system::thread_cpu_time(DAEMON_THREADS)?
        .saturating_sub(cpu_time_before)
        .as_secs_f64();
    let bytes = system::loopback_bytes()? - bytes_before;
    drop(daemons);
    daemon_runtime.shutdown_background();
    standin_runtime.shutdown_background();
    let per_daemon = |value: f64| value / size as f64;
    Ok(DaemonCost {
        core_percent: per_daemon(cpu_time / elapsed * 100.0),
        kib_per_s: per_daemon(bytes as f64 / elapsed / 1024.0),
        memory_mib: per_daemon(memory_growth as f64 / f64::from(1 << 20)),
    })
}

async fn publish_large_table(fleet: &Fleet) -> Result<()> {
    let mut csv = String::from("name,version,weight,priority\n*,,1,4\n");
    for index in 0..ROWS {
        let _ = writeln!(csv, "adapter-{index:05},v1,1,5");
    }
    let table = parse::parse(&csv).map_err(|findings| anyhow::anyhow!("{findings:?}"))?;
    publish_table(fleet, Offset(0), &table).await.map(drop)
}

fn start_daemons(
    daemon_runtime: &Runtime,
    standin_runtime: &Runtime,
    fleet: &mut Fleet,
    size: usize,
) -> Result<Vec<Daemon>> {
    let (log, roster): (SocketAddr, SocketAddr) = (fleet.log_address(), fleet.roster_address());
    let mut daemons = Vec::new();
    for index in 0..size {
        let name = format!("entry-{index}");
        // The intervals that the capacity page recommends for the fleet size expected in two years.
        let text = settings(&name, "charguia", log, roster)
            .replace("roster_poll_ms = 100", "roster_poll_ms = 2000");
        let text = format!(
            "{text}\n[table]\npoll_ms = 2000\n[ownership]\nreport_ms = 2000\n\
             [membership]\nbeat_ms = 1000\nprobe_timeout_ms = 500\nsuspect_ms = 3000\n"
        );
        let settings = read_settings(&text)?;
        let daemon = daemon_runtime
            .block_on(Daemon::start(settings))
            .with_context(|| format!("start {name}"))?;
        let entry = InstanceEntry {
            name: Instance::new(&name)?,
            state: State::Live,
            failure_domain: Domain::new("charguia")?,
            peers: daemon.peers(),
            admin: daemon.admin(),
        };
        standin_runtime.block_on(fleet.add_external(entry, daemon.callers()))?;
        daemons.push(daemon);
    }
    Ok(daemons)
}
