//! `ploverwick table show`.

use anyhow::{Context, Result};
use jiff::Timestamp;
use ploverwick_names::{Adapter, Hall};
use ploverwick_table::policy::{Policy, resolve};
use ploverwick_table::{Subject, Table, parse};

use crate::flags::table::Show;
use crate::{Answer, output, place};

/// Shows what is in force.
pub(crate) async fn run(flags: Show) -> Answer {
    let at = match &flags.at {
        Some(text) => text
            .parse::<Timestamp>()
            .with_context(|| format!("--at {text:?}: write a time such as 2026-12-02T08:00:00Z"))?,
        None => Timestamp::now(),
    };
    let hall = flags
        .hall
        .as_deref()
        .map(Hall::new)
        .transpose()
        .context("--hall")?;
    let fleet = place::fleet(flags.roster, flags.settings.as_ref()).await?;
    let (version, csv) = fleet.table().await.map_err(|fault| match fault {
        Some(fault) => anyhow::anyhow!("no daemon shows its table: {fault}"),
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
        parse::parse(&csv).map_err(|_| anyhow::anyhow!("a daemon's table is unreadable"))?;
    output::print(&format!("version {version} at {at}\n"));
    output::print(&output::columns(&rows(&table, hall.as_ref(), at)?));
    Ok(true)
}

fn rows(table: &Table, hall: Option<&Hall>, at: Timestamp) -> Result<Vec<Vec<String>>> {
    let header = [
        "adapter", "version", "group", "weight", "priority", "limits",
    ];
    let mut rows = vec![header.map(String::from).to_vec()];
    for (subject, _) in table.rows() {
        if let Subject::Adapter(adapter) = subject {
            let terms = resolve(table, adapter, hall, at).context("a listed row resolves")?;
            rows.push(row(adapter, &terms));
        }
    }
    // Adapters without a row of their own, if the table covers them.
    let other = Adapter::new("other").context("the constant is a name")?;
    let covers_all = table.row(&Subject::All).is_some();
    if covers_all && let Some(terms) = resolve(table, &other, hall, at) {
        let mut others = row(&other, &terms);
        "(others)".clone_into(&mut others[0]);
        rows.push(others);
    }
    Ok(rows)
}

fn row(adapter: &Adapter, terms: &Policy) -> Vec<String> {
    let or_dash = |text: Option<String>| text.unwrap_or_else(|| "-".to_owned());
    let limits: Vec<String> = terms
        .limits
        .iter()
        .map(|limit| format!("{}/s ({} of {})", limit.rate, limit.column, limit.subject))
        .collect();
    vec![
        adapter.to_string(),
        or_dash(terms.version.as_ref().map(ToString::to_string)),
        or_dash(terms.group.as_ref().map(ToString::to_string)),
        terms.weight.to_string(),
        terms.priority.to_string(),
        or_dash(Some(limits.join(", ")).filter(|text| !text.is_empty())),
    ]
}
