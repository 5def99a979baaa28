//! Runs soaks, and the processes of which they consist.

use std::process::ExitCode;
use std::time::Duration;

use anyhow::{Context, Result, bail};
use flags::SoakCmd;
use ploverwick_platform_standin::faulty::{Fault, Kind};
use ploverwick_soak::deployment::{Programs, run_folder};
use ploverwick_soak::endpoint;
use ploverwick_soak::plan::{Plan, Scope};
use ploverwick_soak::run::{self, Load};
use ploverwick_soak::verdict::Verdict;

fn main() -> ExitCode {
    match run() {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            eprintln!("ploverwick-soak: {error:#}");
            ExitCode::from(2)
        }
    }
}

/// Runs the command; returns whether all promises were kept.
fn run() -> Result<bool> {
    match flags::Soak::from_env_or_exit().subcommand {
        SoakCmd::Gateway(_) => {
            ploverwick_gateway::set_up_logs()?;
            let settings = ploverwick_platform::settings::read()?;
            one_thread()?.block_on(ploverwick_gateway::run(settings))?;
            Ok(true)
        }
        SoakCmd::Endpoint(flags) => {
            let start = serde_json::from_str(&flags.start).context("read the argument")?;
            one_thread()?.block_on(endpoint::run(start))?;
            Ok(true)
        }
        SoakCmd::Run(flags) => {
            let runtime = tokio::runtime::Builder::new_multi_thread()
                .worker_threads(2)
                .enable_all()
                .build()?;
            runtime.block_on(run_seeds(&flags))
        }
    }
}

fn one_thread() -> Result<tokio::runtime::Runtime> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    runtime.context("build the runtime")
}

async fn run_seeds(flags: &flags::Run) -> Result<bool> {
    let first = flags.seed.unwrap_or(1);
    let mut is_kept = true;
    for seed in first..first + flags.runs.unwrap_or(1) {
        let scope = Scope {
            seed,
            traffic: Duration::from_secs(flags.seconds.unwrap_or(20)),
            gateways: flags.gateways.unwrap_or(6),
            endpoints: flags.endpoints.unwrap_or(8),
        };
        let plan = match &flags.fault {
            Some(faults) => Plan::of_faults(scope, &parse_faults(faults)?),
            None => Plan::draw(scope),
        };
        let folder = run_folder(&std::env::temp_dir(), seed);
        let programs = Programs {
            soak: std::env::current_exe()?,
            gateway: flags.gateway.clone(),
            folder: folder.clone(),
        };
        let load = if flags.calm { Load::CALM } else { Load::CROWD };
        let verdict = run::run(scope, load, plan, programs).await?;
        println!("seed {seed}: {verdict}");
        is_kept &= verdict.violations.is_empty();
        report(&verdict);
        if verdict.violations.is_empty() && !flags.keep {
            std::fs::remove_dir_all(&folder).context("remove the folder")?;
        } else {
            println!("  logs in {}", folder.display());
        }
    }
    Ok(is_kept)
}

/// Prints the broken promises, so that their attempts can be found in the logs.
fn report(verdict: &Verdict) {
    const MAX_PRINTED: usize = 20;
    for (id, ending, violation) in verdict.violations.iter().take(MAX_PRINTED) {
        println!("  {id} {ending:?}: {violation:?}");
    }
}

/// Parses faults of the form `KIND:SHARE`, separated by commas.
fn parse_faults(text: &str) -> Result<Vec<Fault>> {
    let parse = |fault: &str| {
        let (name, share) = fault.split_once(':').context("a fault is KIND:SHARE")?;
        let kind = Kind::ALL
            .into_iter()
            .find(|kind| format!("{kind:?}") == name);
        let Some(kind) = kind else {
            bail!(
                "{name:?} is no kind of fault; the kinds are {:?}",
                Kind::ALL
            );
        };
        let share = share.parse().context("the share is a number")?;
        Ok(Fault { kind, share })
    };
    text.split(',').map(parse).collect()
}

mod flags {
    use std::path::PathBuf;

    xflags::xflags! {
        /// Runs gateways before faulty endpoints under drawn disruptions.
        cmd soak {
            /// Runs seeds one after the other, and prints which promises were broken.
            default cmd run {
                /// The first seed; 1 by default.
                optional --seed seed: u64
                /// The number of seeds; 1 by default.
                optional --runs runs: u64
                /// How long clients send requests; 20 by default.
                optional --seconds seconds: u64
                /// The number of gateways; 6 by default.
                optional --gateways gateways: usize
                /// The number of endpoints; 8 by default.
                optional --endpoints endpoints: usize
                /// Leaves the endpoints room for all requests.
                optional --calm
                /// Faults of all endpoints all the time, as KIND:SHARE,.. in place of the drawn disruptions.
                optional --fault fault: String
                /// The program of the gateways; the one linked into this program by default.
                optional --gateway gateway: PathBuf
                /// Keeps the settings and logs of runs without a broken promise.
                optional --keep
            }
            /// Runs a gateway; the settings file is found as by the gateway's own program.
            cmd gateway {}
            /// Runs an endpoint.
            cmd endpoint {
                /// Its start, as JSON.
                required start: String
            }
        }
    }
}
