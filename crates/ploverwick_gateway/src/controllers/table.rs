//! Follows the operators' table.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use ploverwick_platform::TABLE_TOPIC;
use ploverwick_platform::store::Record;
use ploverwick_platform::table::{Assembler, encode};
use xxhash_rust::xxh3::xxh3_64;

use super::feed::{Feed, Update};
use super::topic;
use crate::shared::Shared;
use crate::topics::Topic;

/// The timeout of a long poll, close to the maximum that the store allows, because each return costs a call.
/// A connection that goes silent is detected separately.
const LONG_POLL_TIMEOUT: Duration = Duration::from_secs(28);

/// Follows the table's topic for as long as the process runs.
pub(crate) async fn follow(shared: Arc<Shared>) {
    let mut subscriber = Subscriber::new(Arc::clone(&shared));
    let feed = Feed {
        topic: TABLE_TOPIC,
        description: "table topic",
        wait: LONG_POLL_TIMEOUT,
        delay: Duration::ZERO,
        history_per_key: 0,
        reported_end: Some(&shared.inboxes.of(Topic::Table).end),
    };
    topic::follow(&shared, Topic::Table, feed, |update| match update {
        Update::Snapshot { records } | Update::PeerSnapshot { records } => {
            subscriber.apply_snapshot(records);
        }
        Update::Records { records, .. } | Update::PeerRecords { records, .. } => {
            if let Some((text, offset)) = subscriber.apply_records(records) {
                subscriber.put_in_force(text, offset);
            }
        }
        Update::ReadStarted | Update::ReadFailed | Update::History { .. } => {}
    })
    .await;
}

/// Keeps the table in force up to date with the topic, including across restores of the store.
struct Subscriber {
    shared: Arc<Shared>,
    assembler: Assembler,
    /// The store's era when the last snapshot was applied.
    era: u64,
    /// The text of the table in force.
    in_force: Option<Arc<str>>,
    /// Hashes of the tables that were in force before another one replaced them.
    superseded: HashSet<u64>,
}

impl Subscriber {
    fn new(shared: Arc<Shared>) -> Self {
        Self {
            shared,
            assembler: Assembler::default(),
            era: 0,
            in_force: None,
            superseded: HashSet::new(),
        }
    }

    /// Applies the newest record of each key. If the store was restored since the last snapshot and the topic
    /// now holds a superseded table or none, the table in force is kept and published again.
    fn apply_snapshot(&mut self, records: &[Record]) {
        let previous_era = std::mem::replace(&mut self.era, self.shared.store.era());
        let found = self.apply_records(records);
        let is_outdated = match &found {
            Some((text, _)) => self.superseded.contains(&hash(text)),
            None => self.in_force.is_some(),
        };
        if previous_era != self.era && is_outdated {
            let last = records.iter().map(|record| record.offset).max();
            self.republish(last.map_or(0, |last| last + 1));
        } else if let Some((text, offset)) = found {
            self.put_in_force(text, offset);
        }
        self.shared.state().has_table = true;
    }

    /// Applies records and returns the text of the last table that they complete, with the offset of the
    /// record that completes it.
    fn apply_records(&mut self, records: &[Record]) -> Option<(String, u64)> {
        let mut found = None;
        for record in records {
            match self.assembler.take(record) {
                Ok(Some(text)) => found = Some((text, record.offset)),
                Ok(None) => {}
                Err(error) => spdlog::error!("table_malformed cause=\"{}\"", error),
            }
        }
        found
    }

    fn put_in_force(&mut self, text: String, version: u64) {
        match ploverwick_table::parse::parse(&text) {
            Ok(table) => {
                spdlog::info!("table_in_force version={} rows={}", version, table.len());
                let now = self.shared.now();
                let mut state = self.shared.state();
                state.table = Some(Arc::new(table));
                state.rate_limiter.remove_full(now);
                drop(state);
                if let Some(previous) = &self.in_force {
                    self.superseded.insert(hash(previous));
                }
                self.superseded.remove(&hash(&text));
                self.in_force = Some(Arc::from(text));
            }
            // The publisher validates a table before it writes it, so this is unexpected. The table in force
            // stays.
            Err(findings) => spdlog::error!("table_refused findings={}", findings.len()),
        }
    }

    /// Publishes the table in force again in the background, unless the topic no longer ends at `end` because
    /// something has been written to it.
    fn republish(&self, end: u64) {
        let Some(text) = self.in_force.clone() else {
            return;
        };
        spdlog::info!("table_republishing era={} end={}", self.era, end);
        let shared = Arc::clone(&self.shared);
        tokio::spawn(async move {
            if let Err(error) = shared
                .store
                .append(TABLE_TOPIC, &encode(&text), Some(end))
                .await
            {
                spdlog::info!("table_republish_failed cause=\"{}\"", error);
            }
        });
    }
}

fn hash(text: &str) -> u64 {
    xxh3_64(text.as_bytes())
}
