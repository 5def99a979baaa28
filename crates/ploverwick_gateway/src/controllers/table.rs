//! Follows the operators' table.

use std::sync::Arc;
use std::time::Duration;

use ploverwick_platform::TABLE;
use ploverwick_platform::store::Record;
use ploverwick_platform::table::Assembly;

use super::feed::{Feed, News};
use super::topic;
use crate::shared::Shared;
use crate::topics::Topic;

/// How long a read waits for a record, near the longest that the store allows: each return is a
/// call. A silent connection breaks by itself.
const WAIT: Duration = Duration::from_secs(28);

/// Follows the table's topic for as long as the process runs.
pub(crate) async fn follow(shared: Arc<Shared>) {
    let mut assembly = Assembly::default();
    let feed = Feed {
        topic: TABLE,
        what: "table topic",
        wait: WAIT,
        pause: Duration::ZERO,
        past: 0,
        hint: Some(&shared.inboxes.of(Topic::Table).end),
    };
    topic::follow(&shared, Topic::Table, feed, |news| match news {
        News::Whole { records } | News::ToldWhole { records } => {
            take(&shared, &mut assembly, records);
            shared.state().has_table = true;
        }
        News::Next { records, .. } | News::Told { records, .. } => {
            take(&shared, &mut assembly, records);
        }
        News::Asking | News::Away | News::Past { .. } => {}
    })
    .await;
}

fn take(shared: &Shared, assembly: &mut Assembly, records: &[Record]) {
    for record in records {
        match assembly.take(record) {
            Ok(Some(text)) => put_in_force(shared, &text, record.offset),
            Ok(None) => {}
            Err(error) => spdlog::error!("table_malformed cause=\"{}\"", error),
        }
    }
}

fn put_in_force(shared: &Shared, text: &str, version: u64) {
    match ploverwick_table::parse::parse(text) {
        Ok(table) => {
            spdlog::info!("table_in_force version={} rows={}", version, table.len());
            let now = shared.now();
            let mut state = shared.state();
            state.table = Some(Arc::new(table));
            state.rates.forget_full(now);
        }
        // The publisher checks a table before it writes it; the one in force stays.
        Err(findings) => spdlog::error!("table_refused findings={}", findings.len()),
    }
}
