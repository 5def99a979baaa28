//! `ploverwick table history`.

use std::time::Duration;

use jiff::Timestamp;
use ploverwick_operator::{Entry, Stream};
use ploverwick_table::history::{Record, Verdict};
use serde::Serialize;

use crate::flags::table::History;
use crate::{Answer, output, place};

/// A publication as the history shows it.
#[derive(Serialize)]
struct Line {
    offset: u64,
    at: String,
    kind: &'static str,
    author: String,
    base: u64,
    rows: usize,
    verdict: String,
}

/// Lists the publications in the log.
pub(crate) async fn run(flags: History) -> Answer {
    let log = place::log(flags.log, flags.settings.as_ref())?;
    let mut lines = Vec::new();
    let mut stream = Stream::default();
    stream
        .read(&log, Duration::ZERO, |entry, _| lines.push(line(&entry)))
        .await?;
    if flags.json {
        for line in &lines {
            output::print(&format!("{}\n", serde_json::to_string(line)?));
        }
    } else {
        output::print(&text(&lines));
    }
    Ok(true)
}

fn line(entry: &Entry) -> Line {
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
    Line {
        offset: entry.offset.0,
        at: at.map(|at| at.to_string()).unwrap_or_default(),
        kind,
        author,
        base,
        rows,
        verdict,
    }
}

fn text(lines: &[Line]) -> String {
    if lines.is_empty() {
        return "nothing was published\n".to_owned();
    }
    let header = ["offset", "at", "kind", "author", "base", "rows", "verdict"];
    let mut rows = vec![header.map(String::from).to_vec()];
    for line in lines {
        rows.push(vec![
            line.offset.to_string(),
            line.at.clone(),
            line.kind.to_owned(),
            line.author.clone(),
            line.base.to_string(),
            line.rows.to_string(),
            line.verdict.clone(),
        ]);
    }
    output::columns(&rows)
}
