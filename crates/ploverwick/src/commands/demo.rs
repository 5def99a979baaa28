//! `ploverwick demo`.

use std::fmt::Write;
use std::io::IsTerminal;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context, Result};
use indicatif::{ProgressBar, ProgressStyle};
use ploverwick_daemon::logging;
use ploverwick_demo::fleet::Fleet;
use ploverwick_demo::run::{self, Report};
use ploverwick_settings::Logging;

use crate::flags::Demo;
use crate::{Answer, output};

const DEFAULT_SEED: u64 = 1;
/// The whole demonstration ends within this time.
const PATIENCE: Duration = Duration::from_secs(20);

/// Runs the demonstration. Exits with 1 if a promise was broken.
pub(crate) async fn run(flags: Demo) -> Answer {
    logging::set_up(&Logging {
        level: "error".to_owned(),
        ..Logging::default()
    })?;
    let spinner = spinner();
    let running = run::run(flags.seed.unwrap_or(DEFAULT_SEED));
    let (report, fleet) = tokio::time::timeout(PATIENCE, running)
        .await
        .context("the demonstration did not end in time")??;
    spinner.finish_and_clear();
    let good = report.tally.is_clean();
    if flags.json {
        output::print(&format!("{}\n", serde_json::to_string(&report)?));
    } else {
        output::print(&summary(&report));
        output::print(&format!("time line page: {}\n", write_page(&fleet).await?));
    }
    if flags.stay {
        stay(fleet).await?;
    }
    Ok(good)
}

fn spinner() -> ProgressBar {
    if !std::io::stderr().is_terminal() {
        return ProgressBar::hidden();
    }
    let style = ProgressStyle::with_template("{spinner} {elapsed} a fleet under load");
    let spinner = ProgressBar::new_spinner();
    if let Ok(style) = style {
        spinner.set_style(style);
    }
    spinner.enable_steady_tick(Duration::from_millis(100));
    spinner
}

fn summary(report: &Report) -> String {
    let tally = &report.tally;
    let mut text = String::new();
    let mut line = |name: &str, value: String, good: Option<bool>| {
        let mark = match good {
            Some(good) => output::verdict(good, if good { "kept" } else { "BROKEN" }),
            None => String::new(),
        };
        let _ = writeln!(text, "{name:<46}{value:>8}  {mark}");
    };
    let whole = tally.answered_whole == tally.requests;
    let zero = |count: usize| Some(count == 0);
    line("requests", tally.requests.to_string(), None);
    line(
        "answered whole",
        tally.answered_whole.to_string(),
        Some(whole),
    );
    line(
        "on a wrong adapter or version",
        tally.wrong_adapter.to_string(),
        zero(tally.wrong_adapter),
    );
    line(
        "non-idempotent, ran twice",
        tally.run_twice.to_string(),
        zero(tally.run_twice),
    );
    line("lost", tally.lost.to_string(), zero(tally.lost));
    line(
        "refused as not run",
        tally.refused_not_run.to_string(),
        None,
    );
    line(
        "refused as not run, but ran",
        tally.refused_but_ran.to_string(),
        zero(tally.refused_but_ran),
    );
    let unloaded = tally.unloaded_in_use;
    line(
        "adapters unloaded in use",
        unloaded.to_string(),
        Some(unloaded == 0),
    );
    line("adapters loaded", tally.loads.to_string(), None);
    let (there, all) = report.table_in_force_on;
    let in_force = format!("new table in force on {there} of {all} daemons, ms");
    line(
        &in_force,
        report.table_in_force_ms.to_string(),
        Some(there == all),
    );
    line(
        "batch fill, %",
        format!("{:.0}", report.batch_fill * 100.0),
        None,
    );
    line("load took, ms", report.load_ms.to_string(), None);
    text
}

async fn write_page(fleet: &Fleet) -> Result<String> {
    let page = run::timeline_page(fleet).await?;
    let file = std::env::temp_dir().join("ploverwick-demo-timeline.html");
    std::fs::write(&file, page).with_context(|| format!("write {}", file.display()))?;
    Ok(format!("file://{}", file.display()))
}

/// Keeps the fleet up until Ctrl-C.
async fn stay(fleet: Fleet) -> Result<()> {
    let fleet = Arc::new(fleet);
    let page = run::serve_timeline(Arc::clone(&fleet)).await?;
    output::print(&format!(
        "time line page, live: http://{}/\n",
        page.address()
    ));
    for (callers, admin) in fleet.caller_addresses().iter().zip(fleet.admin_addresses()) {
        output::print(&format!("callers http://{callers}  admin http://{admin}\n"));
    }
    output::print(&format!(
        "roster {}  log {}\nCtrl-C ends it\n",
        fleet.roster_address(),
        fleet.log_address()
    ));
    tokio::signal::ctrl_c().await.context("listen for Ctrl-C")
}
