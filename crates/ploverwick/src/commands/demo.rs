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
use crate::{CommandResult, output};

const DEFAULT_SEED: u64 = 1;
/// The time limit of the whole demonstration.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Runs the demonstration. Exits with 1 if a delivery guarantee was violated.
pub(crate) async fn run(flags: Demo) -> CommandResult {
    logging::set_up(&Logging {
        level: "error".to_owned(),
        ..Logging::default()
    })?;
    let spinner = spinner();
    let running = run::run(flags.seed.unwrap_or(DEFAULT_SEED));
    let (report, fleet) = tokio::time::timeout(TIMEOUT, running)
        .await
        .context("the demonstration timed out")??;
    spinner.finish_and_clear();
    let passed = report.tally.is_clean();
    if flags.json {
        output::print(&format!("{}\n", serde_json::to_string(&report)?));
    } else {
        output::print(&format_summary(&report));
        output::print(&format!(
            "timeline page: {}\n",
            write_timeline(&fleet).await?
        ));
    }
    if flags.stay {
        stay(fleet).await?;
    }
    Ok(passed)
}

fn spinner() -> ProgressBar {
    if !std::io::stderr().is_terminal() {
        return ProgressBar::hidden();
    }
    let style = ProgressStyle::with_template("{spinner} {elapsed} running a fleet under load");
    let spinner = ProgressBar::new_spinner();
    if let Ok(style) = style {
        spinner.set_style(style);
    }
    spinner.enable_steady_tick(Duration::from_millis(100));
    spinner
}

fn format_summary(report: &Report) -> String {
    let tally = &report.tally;
    let mut text = String::new();
    let mut line = |name: &str, value: String, passed: Option<bool>| {
        let label = match passed {
            Some(passed) => output::paint(passed, if passed { "kept" } else { "BROKEN" }),
            None => String::new(),
        };
        let _ = writeln!(text, "{name:<46}{value:>8}  {label}");
    };
    let all_answered = tally.answered_whole == tally.requests;
    let must_be_zero = |count: usize| Some(count == 0);
    line("requests", tally.requests.to_string(), None);
    line(
        "answered whole",
        tally.answered_whole.to_string(),
        Some(all_answered),
    );
    line(
        "on a wrong adapter or version",
        tally.wrong_adapter.to_string(),
        must_be_zero(tally.wrong_adapter),
    );
    line(
        "non-idempotent, ran twice",
        tally.run_twice.to_string(),
        must_be_zero(tally.run_twice),
    );
    line("lost", tally.lost.to_string(), must_be_zero(tally.lost));
    line(
        "refused as not run",
        tally.refused_not_run.to_string(),
        None,
    );
    line(
        "refused as not run, but ran",
        tally.refused_but_ran.to_string(),
        must_be_zero(tally.refused_but_ran),
    );
    let unloaded = tally.unloaded_in_use;
    line(
        "adapters unloaded in use",
        unloaded.to_string(),
        Some(unloaded == 0),
    );
    line("adapters loaded", tally.loads.to_string(), None);
    let (updated, total) = report.table_in_force_on;
    let in_force = format!("new table in force on {updated} of {total} daemons, ms");
    line(
        &in_force,
        report.table_in_force_ms.to_string(),
        Some(updated == total),
    );
    line(
        "batch fill, %",
        format!("{:.0}", report.batch_fill * 100.0),
        None,
    );
    line("load took, ms", report.load_ms.to_string(), None);
    text
}

async fn write_timeline(fleet: &Fleet) -> Result<String> {
    let page = run::timeline_page(fleet).await?;
    let file = std::env::temp_dir().join("ploverwick-demo-timeline.html");
    std::fs::write(&file, page).with_context(|| format!("write {}", file.display()))?;
    Ok(format!("file://{}", file.display()))
}

/// Keeps the fleet running until Ctrl-C.
async fn stay(fleet: Fleet) -> Result<()> {
    let fleet = Arc::new(fleet);
    let page = run::serve_timeline(Arc::clone(&fleet)).await?;
    output::print(&format!("live timeline page: http://{}/\n", page.address()));
    for (callers, admin) in fleet.caller_addresses().iter().zip(fleet.admin_addresses()) {
        output::print(&format!("callers http://{callers}  admin http://{admin}\n"));
    }
    output::print(&format!(
        "roster {}  log {}\npress Ctrl-C to stop\n",
        fleet.roster_address(),
        fleet.log_address()
    ));
    tokio::signal::ctrl_c().await.context("listen for Ctrl-C")
}
