//! Benchmarks of relay overhead, recovery after failures and the scaling of control traffic, from
//! which the capacity page is generated.
//!
//! Each command prints its results as text; with `--json`, `relay`, `streams` and `recovery` print
//! one object per line instead. Results depend on the machine; pages that quote results state the
//! command that produced them.

mod capacity;
mod decide;
mod fit;
mod origins;
mod plot;
mod prompts;
mod recovery;
mod relay;
mod slots;
mod streams;
mod system;

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use anyhow::Result;

mod flags {
    #![allow(missing_docs, clippy::pedantic)]
    use std::path::PathBuf;

    xflags::xflags! {
        /// Measures relay overhead, recovery and capacity on loopback.
        cmd ploverwick-bench {
            /// Compares requests through two daemons with requests sent directly to the engine.
            cmd relay {
                /// The number of requests per row; 4000 by default.
                optional --requests number: usize
                /// Print one JSON object per line.
                optional --json
            }
            /// Compares streams through two daemons with streams directly from the engine.
            cmd streams {
                /// The number of tokens per stream; 100 by default.
                optional --tokens number: usize
                /// Print one JSON object per line.
                optional --json
            }
            /// Measures how long it takes until a new table is in force and until a failed owner is
            /// replaced.
            cmd recovery {
                /// The number of table publications per measurement; 20 by default.
                optional --times number: usize
                /// Print one JSON object per line.
                optional --json
            }
            /// Measures the gateway's decisions for one request: key lookup, quota, choice of
            /// endpoint.
            cmd decide {
                /// The number of iterations per decision; 20000 by default.
                optional --times number: u32
            }
            /// Simulates how often the build that began a stream is found, and what it costs.
            cmd origins {
                /// The number of streams in each cell of the tables; 1000 by default.
                optional --times number: u64
                /// How long origins are collected into one message, in milliseconds; 0 by default, as the gateway sends them at once.
                optional --delay number: u64
            }
            /// Simulates how many endpoints a fatal request crashes, and which sound ones are refused as endpoints are lost.
            cmd requests {
                /// The number of simulations in each cell; 20 by default.
                optional --times times: u64
            }
            /// Simulates how many endpoints a fatal part of prompts crashes, and what sound requests it costs.
            cmd prompts {
                /// The number of simulations in each cell of the tables; 20 by default.
                optional --times number: u64
            }
            /// Simulates how many requests brittle endpoints turn away, and how much of their slots is used.
            cmd slots {
                /// The number of simulations in each cell of the tables; 5 by default.
                optional --times number: u64
            }
            /// Measures how control traffic scales and updates the capacity page.
            cmd capacity {
                /// The page whose generated section is replaced.
                optional --page file: PathBuf
                /// The directory for the plots.
                optional --plots folder: PathBuf
                /// The duration of each measurement in seconds; 8 by default.
                optional --seconds number: u64
            }
        }
    }
}

use flags::{PloverwickBench, PloverwickBenchCmd};

fn main() -> ExitCode {
    let flags = match PloverwickBench::from_env() {
        Ok(flags) => flags,
        Err(error) => error.exit(),
    };
    match run(flags.subcommand) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("ploverwick-bench: {error:#}");
            ExitCode::from(2)
        }
    }
}

fn run(command: PloverwickBenchCmd) -> Result<()> {
    match command {
        PloverwickBenchCmd::Relay(flags) => system::runtime("bench")?
            .block_on(relay::run(flags.requests.unwrap_or(4000), flags.json)),
        PloverwickBenchCmd::Streams(flags) => system::runtime("bench")?
            .block_on(streams::run(flags.tokens.unwrap_or(100), flags.json)),
        PloverwickBenchCmd::Recovery(flags) => {
            system::runtime("bench")?.block_on(recovery::run(flags.times.unwrap_or(20), flags.json))
        }
        PloverwickBenchCmd::Decide(flags) => {
            decide::run(flags.times.unwrap_or(20_000));
            Ok(())
        }
        PloverwickBenchCmd::Origins(flags) => {
            let batch_delay = Duration::from_millis(flags.delay.unwrap_or(0));
            origins::run(flags.times.unwrap_or(1_000), batch_delay);
            Ok(())
        }
        PloverwickBenchCmd::Requests(flags) => {
            prompts::run_requests(flags.times.unwrap_or(20));
            Ok(())
        }
        PloverwickBenchCmd::Prompts(flags) => {
            prompts::run(flags.times.unwrap_or(20));
            Ok(())
        }
        PloverwickBenchCmd::Slots(flags) => {
            slots::run(flags.times.unwrap_or(5));
            Ok(())
        }
        PloverwickBenchCmd::Capacity(flags) => {
            let page = flags
                .page
                .unwrap_or_else(|| PathBuf::from("docs/CAPACITY.md"));
            let plots = flags.plots.unwrap_or_else(|| PathBuf::from("docs/plots"));
            capacity::run(&page, &plots, flags.seconds.unwrap_or(8))
        }
    }
}
