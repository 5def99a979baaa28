//! `ploverwick table publish`.

use std::time::Duration;

use ploverwick_names::Offset;
use ploverwick_operator::{PublishOutcome, publish};
use ploverwick_table::history::Verdict;

use super::table;
use crate::flags::table::Publish;
use crate::{Answer, output, place};

const WAIT_MS: u64 = 10_000;

/// Publishes a table, waits for the verdict, then for the daemons.
pub(crate) async fn run(flags: Publish) -> Answer {
    let edited = match table::read(&flags.file)? {
        Ok(edited) => edited,
        Err(findings) => {
            eprint!("{findings}");
            return Ok(false);
        }
    };
    let log = place::log(flags.log, flags.settings.as_ref())?;
    let user = || std::env::var("USER").unwrap_or_else(|_| "unknown".to_owned());
    let author = flags.author.unwrap_or_else(user);
    let version = match publish(&log, Offset(flags.base), &edited, &author).await? {
        PublishOutcome::Accepted(version) => version,
        PublishOutcome::Unchanged => {
            output::print(&format!(
                "unchanged: the file equals version {}\n",
                flags.base
            ));
            return Ok(true);
        }
        PublishOutcome::Refused(verdict) => {
            eprintln!("refused: {}", explain(&verdict));
            return Ok(false);
        }
    };
    output::print(&format!("accepted as version {version}\n"));
    if flags.roster.is_none() && flags.settings.is_none() {
        output::print("give --roster or --settings to wait until it is in force\n");
        return Ok(true);
    }
    let fleet = place::fleet(flags.roster, flags.settings.as_ref()).await?;
    let patience = Duration::from_millis(flags.wait_ms.unwrap_or(WAIT_MS));
    let (there, all, took) = fleet.wait_in_force(version, patience).await;
    output::print(&format!(
        "in force on {there} of {all} daemons after {} ms\n",
        took.as_millis()
    ));
    Ok(there == all && all > 0)
}

fn explain(verdict: &Verdict) -> String {
    match verdict {
        Verdict::Clash(rows) => {
            let rows: Vec<String> = rows
                .iter()
                .map(|row| format!("{} (changed in version {})", row.subject, row.version))
                .collect();
            format!(
                "these rows have changed since your base: {}; \
                 take `table show --csv`, edit it and publish it with its version as the base",
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
