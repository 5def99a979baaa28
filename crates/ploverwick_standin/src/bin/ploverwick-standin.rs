//! Runs one stand-in as a process of its own, until Ctrl-C or SIGTERM.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use anyhow::{Context, Result};
use ploverwick_ports::roster::Listing;
use ploverwick_standin::{Running, engine, log, roster, service, store};
use tokio::signal::unix::{SignalKind, signal};

mod flags {
    #![allow(missing_docs, clippy::pedantic)]
    use std::net::SocketAddr;
    use std::path::PathBuf;

    xflags::xflags! {
        /// Runs a small stand-in for an outside system, for tests and demonstrations.
        cmd ploverwick-standin {
            /// The append-only log.
            cmd log {
                /// Where to listen; port 0 takes a free one.
                required --listen address: SocketAddr
                /// The most appends a second; 400 by default.
                optional --appends-per-s number: f64
                /// How long records are kept, in seconds; 3600 by default.
                optional --retention-s seconds: u64
            }
            /// The weight store.
            cmd store {
                /// Where to listen; port 0 takes a free one.
                required --listen address: SocketAddr
                /// Loads started a second; 9 by default.
                optional --loads-per-s number: f64
                /// Loads at full speed; 4 by default.
                optional --loads-at-once number: u32
                /// How long a load takes, in milliseconds; 3000 by default.
                optional --load-ms millis: u64
            }
            /// The list of instances.
            cmd roster {
                /// Where to listen; port 0 takes a free one.
                required --listen address: SocketAddr
                /// The list at the start, as JSON.
                optional --listing file: PathBuf
                /// How long a change takes to show, in milliseconds; 1000 by default.
                optional --lag-ms millis: u64
            }
            /// A model engine.
            cmd engine {
                /// Where to listen; port 0 takes a free one.
                required --listen address: SocketAddr
                /// Its name on the time line.
                required --name name: String
                /// Where the weight store listens; without it a load takes a tenth of a second.
                optional --store address: SocketAddr
                /// Adapter slots; 4 by default.
                optional --slots number: u32
                /// The most runs in one step; 16 by default.
                optional --batch number: u32
                /// How long a step takes, in milliseconds; 10 by default.
                optional --step-ms millis: u64
                /// Follow orders with an old fencing token.
                optional --ignore-tokens
            }
            /// A plain service.
            cmd service {
                /// Where to listen; port 0 takes a free one.
                required --listen address: SocketAddr
                /// Its name on the time line.
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
    let ended = runtime
        .context("start the runtime")
        .and_then(|runtime| runtime.block_on(run(flags.subcommand)));
    match ended {
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

async fn start(command: PloverwickStandinCmd) -> Result<Running> {
    match command {
        PloverwickStandinCmd::Log(flags) => {
            let known = log::Config::default();
            let retention = flags.retention_s.map(Duration::from_secs);
            let config = log::Config {
                address: flags.listen,
                appends_per_s: flags.appends_per_s.unwrap_or(known.appends_per_s),
                retention: retention.unwrap_or(known.retention),
                ..known
            };
            listening(flags.listen, log::start(config).await)
        }
        PloverwickStandinCmd::Store(flags) => {
            let known = store::Config::default();
            let config = store::Config {
                address: flags.listen,
                loads_per_s: flags.loads_per_s.unwrap_or(known.loads_per_s),
                loads_at_once: flags.loads_at_once.unwrap_or(known.loads_at_once),
                load_time: flags.load_ms.map_or(known.load_time, Duration::from_millis),
                ..known
            };
            listening(flags.listen, store::start(config).await)
        }
        PloverwickStandinCmd::Roster(flags) => {
            let config = roster::Config {
                name: "roster".to_owned(),
                address: flags.listen,
                lag: Duration::from_millis(flags.lag_ms.unwrap_or(1000)),
                listing: listing(flags.listing.as_ref())?,
            };
            listening(flags.listen, roster::start(config).await)
        }
        PloverwickStandinCmd::Engine(flags) => {
            let known = engine::Config::default();
            let config = engine::Config {
                name: flags.name,
                address: flags.listen,
                store: flags.store,
                slots: flags.slots.unwrap_or(known.slots),
                batch: flags.batch.unwrap_or(known.batch),
                step: flags.step_ms.map_or(known.step, Duration::from_millis),
                checks_tokens: !flags.ignore_tokens,
                ..known
            };
            listening(flags.listen, engine::start(config).await)
        }
        PloverwickStandinCmd::Service(flags) => {
            let config = service::Config {
                name: flags.name,
                address: flags.listen,
                call_time: Duration::from_millis(5),
            };
            listening(flags.listen, service::start(config).await)
        }
    }
}

fn listening(address: SocketAddr, started: std::io::Result<Running>) -> Result<Running> {
    started.with_context(|| format!("cannot listen on {address}; choose another --listen"))
}

fn listing(file: Option<&PathBuf>) -> Result<Listing> {
    let Some(file) = file else {
        return Ok(Listing::default());
    };
    let name = |what: &str, file: &Path| format!("{what} {}", file.display());
    let text = std::fs::read_to_string(file).with_context(|| name("read", file))?;
    serde_json::from_str(&text).with_context(|| name("understand", file))
}
