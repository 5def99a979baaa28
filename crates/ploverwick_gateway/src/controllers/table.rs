//! Follows the operators' table.

use std::sync::Arc;
use std::time::Duration;

use ploverwick_platform::TABLE;
use ploverwick_platform::store::{Error, Record};
use ploverwick_platform::table::Assembly;

use super::Backoff;
use crate::journal::Outage;
use crate::shared::Shared;

/// How long a read waits for a record: a cut may swallow a waiting read without a trace, and a
/// table should be in force within seconds.
const WAIT: Duration = Duration::from_secs(5);

/// Follows the table's topic for as long as the process runs.
pub(crate) async fn follow(shared: Arc<Shared>) {
    let mut outage = Outage::of("table topic");
    let mut backoff = Backoff::new();
    let mut assembly = Assembly::default();
    let mut next: Option<u64> = None;
    loop {
        let result = match next {
            None => shared.store.newest(TABLE).await.map(|snapshot| {
                take(&shared, &mut assembly, &snapshot.records);
                snapshot.end
            }),
            Some(from) => {
                let read = shared.store.read(TABLE, from, WAIT).await;
                read.map(|batch| {
                    take(&shared, &mut assembly, &batch.records);
                    from + batch.records.len() as u64
                })
            }
        };
        match result {
            Ok(end) => {
                next = Some(end);
                outage.works();
                backoff.reset();
            }
            Err(Error::Expired) => next = None,
            Err(error) => {
                outage.fails(&error);
                backoff.pause().await;
            }
        }
    }
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
            let mut state = shared.state();
            state.table = Some(Arc::new(table));
            state.rates.clear();
        }
        // The publisher checks a table before it writes it; the one in force stays.
        Err(findings) => spdlog::error!("table_refused findings={}", findings.len()),
    }
}
