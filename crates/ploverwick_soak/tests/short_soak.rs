//! A short soak of gateway processes.

use std::path::PathBuf;
use std::time::Duration;

use anyhow::Result;
use googletest::prelude::*;
use ploverwick_platform_standin::faulty::{Fault, Kind};
use ploverwick_soak::deployment::{Programs, run_folder};
use ploverwick_soak::plan::{Plan, Scope};
use ploverwick_soak::run::{self, Load};
use ploverwick_soak::verdict::Verdict;

fn scope(seed: u64, traffic: Duration) -> Scope {
    Scope {
        seed,
        traffic,
        gateways: 3,
        endpoints: 4,
    }
}

async fn soak(scope: Scope, plan: Plan) -> Result<Verdict> {
    let programs = Programs {
        soak: PathBuf::from(env!("CARGO_BIN_EXE_ploverwick-soak")),
        gateway: None,
        folder: run_folder(&std::env::temp_dir(), scope.seed),
    };
    let folder = programs.folder.clone();
    let verdict = run::run(scope, Load::CROWD, plan, programs).await?;
    println!("seed {}: {verdict}", scope.seed);
    if verdict.violations.is_empty() {
        std::fs::remove_dir_all(folder)?;
    }
    Ok(verdict)
}

/// Guards against requests that run after a promise or twice while processes are paused, killed and restarted.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn disrupted_processes() -> Result<()> {
    let scope = scope(1, Duration::from_secs(20));
    let verdict = soak(scope, Plan::draw(scope)).await?;
    expect_that!(verdict.violations, is_empty());
    // Neither kind of end is missing, so that the run shows something.
    expect_that!(verdict.served, gt(0));
    expect_that!(verdict.promised, gt(0));
    Ok(())
}

/// Guards against trusting unattributed refusals, and statements that contradict their status, under overload.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn misleading_refusals() -> Result<()> {
    let kinds = [
        Kind::SecondAnswer,
        Kind::UnnamedRefusal,
        Kind::Contradiction,
    ];
    let faults = kinds.map(|kind| Fault { kind, share: 0.2 });
    let scope = scope(2, Duration::from_secs(10));
    let verdict = soak(scope, Plan::of_faults(scope, &faults)).await?;
    expect_that!(verdict.violations, is_empty());
    expect_that!(verdict.promised, gt(0));
    Ok(())
}
