//! `ploverwick table history`.

use std::time::Duration;

use jiff::Timestamp;
use ploverwick_operator::{Entry, Stream};
use ploverwick_table::history::{Record, Verdict};
use serde::Serialize;

use crate::flags::table::History;
use crate::{CommandResult, output, platform};

/// A table publication as printed by the command.
#[derive(Serialize)]
struct Publication {
    offset: u64,
    at: String,
    kind: &'static str,
    author: String,
    base: u64,
    rows: usize,
    verdict: String,
}

/// Prints the table publications in the log.
pub(crate) async fn run(flags: History) -> CommandResult {
    let log = platform::log_client(flags.log, flags.settings.as_ref())?;
    let mut history = Vec::new();
    let mut stream = Stream::default();
    stream
        .read(&log, Duration::ZERO, |entry, _| {
            history.push(publication(&entry));
        })
        .await?;
    if flags.json {
        for publication in &history {
            output::print(&format!("{}\n", serde_json::to_string(publication)?));
        }
    } else {
        output::print(&format_history(&history));
    }
    Ok(true)
}

fn publication(entry: &Entry) -> Publication {
    let at = i64::try_from(entry.at_ms).ok();
    let at = at.and_then(|millis| Timestamp::from_millisecond(millis).ok());
    let (kind, author, base, rows) = match &entry.record {
        Record::Patch(patch) => (
            "patch",
            patch.author.clone(),
            patch.base.0,
            patch.edits.len(),
        ),
        Record::Snapshot(snapshot) => ("snapshot", String::new(), snapshot.version.0, 0),
    };
    let verdict = match &entry.verdict {
        Verdict::Accepted(version) => format!("accepted as {version}"),
        Verdict::Clash(rows) => {
            let rows: Vec<String> = rows.iter().map(|row| row.subject.to_string()).collect();
            format!("clashes in {}", rows.join(", "))
        }
        other => format!("{other:?}"),
    };
    Publication {
        offset: entry.offset.0,
        at: at.map(|at| at.to_string()).unwrap_or_default(),
        kind,
        author,
        base,
        rows,
        verdict,
    }
}

fn format_history(history: &[Publication]) -> String {
    if history.is_empty() {
        return "nothing was published\n".to_owned();
    }
    let header = ["offset", "at", "kind", "author", "base", "rows", "verdict"];
    let mut rows = vec![header.map(String::from).to_vec()];
    for publication in history {
        rows.push(vec![
            publication.offset.to_string(),
            publication.at.clone(),
            publication.kind.to_owned(),
            publication.author.clone(),
            publication.base.to_string(),
            publication.rows.to_string(),
            publication.verdict.clone(),
        ]);
    }
    output::format_columns(&rows)
}
