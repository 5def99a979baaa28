//! `ploverwick table show`.

use anyhow::{Context, Result};
use jiff::Timestamp;
use ploverwick_names::{Adapter, Hall};
use ploverwick_table::policy::{Policy, resolve};
use ploverwick_table::{Subject, Table, parse};

use crate::flags::table::Show;
use crate::{CommandResult, output, platform};

/// Prints the policy in force for each adapter, or the table itself as CSV.
pub(crate) async fn run(flags: Show) -> CommandResult {
    let at = match &flags.at {
        Some(text) => text.parse::<Timestamp>().with_context(|| {
            format!("--at {text:?}: expected a time such as 2026-12-02T08:00:00Z")
        })?,
        None => Timestamp::now(),
    };
    let hall = flags
        .hall
        .as_deref()
        .map(Hall::new)
        .transpose()
        .context("--hall")?;
    let fleet = platform::fleet(flags.roster, flags.settings.as_ref()).await?;
    let (version, csv) = fleet.table().await.map_err(|error| match error {
        Some(error) => anyhow::anyhow!("cannot fetch the table from any daemon: {error}"),
        None => anyhow::anyhow!("the platform lists no daemon"),
    })?;
    if flags.csv {
        output::print(&csv);
        eprintln!("version {version}");
        return Ok(version.0 > 0);
    }
    if version.0 == 0 {
        output::print("no table is in force\n");
        return Ok(false);
    }
    let table =
        parse::parse(&csv).map_err(|_| anyhow::anyhow!("cannot parse the table of a daemon"))?;
    output::print(&format!("version {version} at {at}\n"));
    output::print(&output::format_columns(&rows(&table, hall.as_ref(), at)?));
    Ok(true)
}

fn rows(table: &Table, hall: Option<&Hall>, at: Timestamp) -> Result<Vec<Vec<String>>> {
    let header = [
        "adapter", "version", "group", "weight", "priority", "limits",
    ];
    let mut rows = vec![header.map(String::from).to_vec()];
    for (subject, _) in table.rows() {
        if let Subject::Adapter(adapter) = subject {
            let policy =
                resolve(table, adapter, hall, at).context("a row of the table does not resolve")?;
            rows.push(row(adapter, &policy));
        }
    }
    // The last row is for adapters that the table does not list. It exists only if the table has a
    // `*` row, to which any unlisted name resolves.
    let unlisted = Adapter::new("other").context("invalid placeholder name")?;
    let covers_all = table.row(&Subject::All).is_some();
    if covers_all && let Some(policy) = resolve(table, &unlisted, hall, at) {
        let mut default_row = row(&unlisted, &policy);
        "(others)".clone_into(&mut default_row[0]);
        rows.push(default_row);
    }
    Ok(rows)
}

fn row(adapter: &Adapter, policy: &Policy) -> Vec<String> {
    let or_dash = |text: Option<String>| text.unwrap_or_else(|| "-".to_owned());
    let limits: Vec<String> = policy
        .limits
        .iter()
        .map(|limit| format!("{}/s ({} of {})", limit.rate, limit.column, limit.subject))
        .collect();
    vec![
        adapter.to_string(),
        or_dash(policy.version.as_ref().map(ToString::to_string)),
        or_dash(policy.group.as_ref().map(ToString::to_string)),
        policy.weight.to_string(),
        policy.priority.to_string(),
        or_dash(Some(limits.join(", ")).filter(|text| !text.is_empty())),
    ]
}
