//! Runs one stand-in as its own process, until Ctrl-C or SIGTERM.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use anyhow::{Context, Result};
use ploverwick_ports::roster::Listing;
use ploverwick_standin::{Handle, engine, log, roster, service, store};
use tokio::signal::unix::{SignalKind, signal};

mod flags {
    #![allow(missing_docs, clippy::pedantic)]
    use std::net::SocketAddr;
    use std::path::PathBuf;

    xflags::xflags! {
        /// Runs a simulated platform service or endpoint, for tests and demonstrations.
        cmd ploverwick-standin {
            /// The append-only log.
            cmd log {
                /// The address to listen on; port 0 picks a free port.
                required --listen address: SocketAddr
                /// The maximum number of appends per second; 400 by default.
                optional --appends-per-s number: f64
                /// The retention time of records, in seconds; 3600 by default.
                optional --retention-s seconds: u64
            }
            /// The weight store.
            cmd store {
                /// The address to listen on; port 0 picks a free port.
                required --listen address: SocketAddr
                /// The maximum number of loads started per second; 9 by default.
                optional --loads-per-s number: f64
                /// The number of concurrent loads at full speed; 4 by default.
                optional --loads-at-once number: u32
                /// The duration of a load, in milliseconds; 3000 by default.
                optional --load-ms millis: u64
            }
            /// The roster of instances and endpoints.
            cmd roster {
                /// The address to listen on; port 0 picks a free port.
                required --listen address: SocketAddr
                /// The initial listing, as a JSON file; empty by default.
                optional --listing file: PathBuf
                /// The delay until a change becomes visible, in milliseconds; 1000 by default.
                optional --lag-ms millis: u64
            }
            /// A model engine.
            cmd engine {
                /// The address to listen on; port 0 picks a free port.
                required --listen address: SocketAddr
                /// The name in the timeline.
                required --name name: String
                /// The address of the weight store; without it, a load takes a tenth of a second.
                optional --store address: SocketAddr
                /// The number of adapter slots; 4 by default.
                optional --slots number: u32
                /// The maximum number of runs per step; 16 by default.
                optional --batch number: u32
                /// The duration of a step, in milliseconds; 10 by default.
                optional --step-ms millis: u64
                /// Carry out orders with an old fencing token.
                optional --ignore-tokens
            }
            /// A plain service.
            cmd service {
                /// The address to listen on; port 0 picks a free port.
                required --listen address: SocketAddr
                /// The name in the timeline.
                required --name name: String
            }
        }
    }
}

use flags::{PloverwickStandin, PloverwickStandinCmd};

fn main() -> ExitCode {
    let flags = match PloverwickStandin::from_env() {
        Ok(flags) => flags,
        Err(error) => error.exit(),
    };
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build();
    let result = runtime
        .context("start the runtime")
        .and_then(|runtime| runtime.block_on(run(flags.subcommand)));
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("ploverwick-standin: {error:#}");
            ExitCode::from(2)
        }
    }
}

async fn run(command: PloverwickStandinCmd) -> Result<()> {
    let mut terminate = signal(SignalKind::terminate()).context("listen for signals")?;
    let running = start(command).await?;
    println!("listening {}", running.address());
    tokio::select! {
        _ = terminate.recv() => {}
        _ = tokio::signal::ctrl_c() => {}
    }
    Ok(())
}

async fn start(command: PloverwickStandinCmd) -> Result<Handle> {
    match command {
        PloverwickStandinCmd::Log(flags) => {
            let defaults = log::Config::default();
            let retention = flags.retention_s.map(Duration::from_secs);
            let config = log::Config {
                address: flags.listen,
                appends_per_s: flags.appends_per_s.unwrap_or(defaults.appends_per_s),
                retention: retention.unwrap_or(defaults.retention),
                ..defaults
            };
            with_listen_context(flags.listen, log::start(config).await)
        }
        PloverwickStandinCmd::Store(flags) => {
            let defaults = store::Config::default();
            let config = store::Config {
                address: flags.listen,
                loads_per_s: flags.loads_per_s.unwrap_or(defaults.loads_per_s),
                loads_at_once: flags.loads_at_once.unwrap_or(defaults.loads_at_once),
                load_time: flags
                    .load_ms
                    .map_or(defaults.load_time, Duration::from_millis),
                ..defaults
            };
            with_listen_context(flags.listen, store::start(config).await)
        }
        PloverwickStandinCmd::Roster(flags) => {
            let config = roster::Config {
                name: "roster".to_owned(),
                address: flags.listen,
                lag: Duration::from_millis(flags.lag_ms.unwrap_or(1000)),
                listing: read_listing(flags.listing.as_ref())?,
            };
            with_listen_context(flags.listen, roster::start(config).await)
        }
        PloverwickStandinCmd::Engine(flags) => {
            let defaults = engine::Config::default();
            let config = engine::Config {
                name: flags.name,
                address: flags.listen,
                store: flags.store,
                slots: flags.slots.unwrap_or(defaults.slots),
                batch: flags.batch.unwrap_or(defaults.batch),
                step: flags.step_ms.map_or(defaults.step, Duration::from_millis),
                checks_tokens: !flags.ignore_tokens,
                ..defaults
            };
            with_listen_context(flags.listen, engine::start(config).await)
        }
        PloverwickStandinCmd::Service(flags) => {
            let config = service::Config {
                name: flags.name,
                address: flags.listen,
                call_time: Duration::from_millis(5),
            };
            with_listen_context(flags.listen, service::start(config).await)
        }
    }
}

fn with_listen_context(address: SocketAddr, started: std::io::Result<Handle>) -> Result<Handle> {
    started.with_context(|| format!("cannot listen on {address}; choose another --listen"))
}

fn read_listing(file: Option<&PathBuf>) -> Result<Listing> {
    let Some(file) = file else {
        return Ok(Listing::default());
    };
    let context = |action: &str, file: &Path| format!("{action} {}", file.display());
    let text = std::fs::read_to_string(file).with_context(|| context("read", file))?;
    serde_json::from_str(&text).with_context(|| context("understand", file))
}
