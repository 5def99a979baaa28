//! Measures relay cost, recovery and the slopes behind the capacity page.
//!
//! Each command prints a table and, with `--json`, one object a line. Figures depend on the
//! machine; pages state the command that gave theirs.

mod capacity;
mod decide;
mod fit;
mod plot;
mod recovery;
mod relay;
mod streams;
mod system;

use std::path::PathBuf;
use std::process::ExitCode;

use anyhow::Result;

mod flags {
    #![allow(missing_docs, clippy::pedantic)]
    use std::path::PathBuf;

    xflags::xflags! {
        /// Measures relay cost, recovery and capacity on loopback.
        cmd ploverwick-bench {
            /// Compares requests through two daemons with requests straight to the engine.
            cmd relay {
                /// Requests for each row; 4000 by default.
                optional --requests number: usize
                /// Print one JSON object a line.
                optional --json
            }
            /// Compares streams through two daemons with streams straight from the engine.
            cmd streams {
                /// Tokens of each stream; 100 by default.
                optional --tokens number: usize
                /// Print one JSON object a line.
                optional --json
            }
            /// Measures how long tables take to be in force, and owners to be replaced.
            cmd recovery {
                /// How often each is measured; 20 by default.
                optional --times number: usize
                /// Print one JSON object a line.
                optional --json
            }
            /// Measures what the gateway decides for one request: key, quota, endpoint.
            cmd decide {
                /// How often each is decided; 20000 by default.
                optional --times number: u32
            }
            /// Measures the slopes of the control traffic and rewrites the capacity page.
            cmd capacity {
                /// The page whose measured part is rewritten.
                optional --page file: PathBuf
                /// Where plots are written.
                optional --plots folder: PathBuf
                /// Seconds for each size; 8 by default.
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
        PloverwickBenchCmd::Capacity(flags) => {
            let page = flags
                .page
                .unwrap_or_else(|| PathBuf::from("docs/CAPACITY.md"));
            let plots = flags.plots.unwrap_or_else(|| PathBuf::from("docs/plots"));
            capacity::run(&page, &plots, flags.seconds.unwrap_or(8))
        }
    }
}
