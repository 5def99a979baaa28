//! `ploverwick table publish`.

use std::time::Duration;

use ploverwick_names::Offset;
use ploverwick_operator::{PublishOutcome, publish};
use ploverwick_table::history::Verdict;

use super::table;
use crate::flags::table::Publish;
use crate::{CommandResult, output, platform};

const DEFAULT_WAIT_MS: u64 = 10_000;

/// Publishes a table, waits for the verdict and then until all daemons have the table in force.
pub(crate) async fn run(flags: Publish) -> CommandResult {
    let table = match table::read(&flags.file)? {
        Ok(table) => table,
        Err(findings) => {
            eprint!("{findings}");
            return Ok(false);
        }
    };
    let log = platform::log_client(flags.log, flags.settings.as_ref())?;
    let default_author = || std::env::var("USER").unwrap_or_else(|_| "unknown".to_owned());
    let author = flags.author.unwrap_or_else(default_author);
    let version = match publish(&log, Offset(flags.base), &table, &author).await? {
        PublishOutcome::Accepted(version) => version,
        PublishOutcome::Unchanged => {
            output::print(&format!(
                "unchanged: the file equals version {}\n",
                flags.base
            ));
            return Ok(true);
        }
        PublishOutcome::Refused(verdict) => {
            eprintln!("refused: {}", describe_verdict(&verdict));
            return Ok(false);
        }
    };
    output::print(&format!("accepted as version {version}\n"));
    if flags.roster.is_none() && flags.settings.is_none() {
        output::print("give --roster or --settings to wait until the table is in force\n");
        return Ok(true);
    }
    let fleet = platform::fleet(flags.roster, flags.settings.as_ref()).await?;
    let timeout = Duration::from_millis(flags.wait_ms.unwrap_or(DEFAULT_WAIT_MS));
    let (updated, total, elapsed) = fleet.wait_in_force(version, timeout).await;
    output::print(&format!(
        "in force on {updated} of {total} daemons after {} ms\n",
        elapsed.as_millis()
    ));
    Ok(updated == total && total > 0)
}

fn describe_verdict(verdict: &Verdict) -> String {
    match verdict {
        Verdict::Clash(rows) => {
            let rows: Vec<String> = rows
                .iter()
                .map(|row| format!("{} (changed in version {})", row.subject, row.version))
                .collect();
            format!(
                "these rows have changed since your base: {}; \
                 edit the output of `table show --csv` and publish it with its version as the base",
                rows.join(", ")
            )
        }
        Verdict::Invalid(rule) => {
            format!(
                "{} {}: {} {}",
                rule.id(),
                rule.name(),
                rule.summary(),
                rule.remedy()
            )
        }
        other => format!("{other:?}"),
    }
}
