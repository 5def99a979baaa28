//! Replays the table stream in the same way as the daemons.

use std::sync::Arc;
use std::time::Duration;

use ploverwick_names::Offset;
use ploverwick_ports::client::CallError;
use ploverwick_ports::log::Log;
use ploverwick_table::Table;
use ploverwick_table::history::{History, Record, Verdict};

/// The name of the table stream.
pub(crate) const TABLE_STREAM: &str = "table";

/// The reason why the table stream could not be read.
#[derive(Debug, thiserror::Error)]
pub enum StreamError {
    /// The log could not be read.
    #[error("cannot read the table stream")]
    Log(#[from] CallError),
    /// A record could not be decoded; a newer version may have written it.
    #[error("cannot decode record {0} of the table stream: {1}; use a newer version of ploverwick")]
    Record(Offset, serde_json::Error),
    /// Records are missing and the log contains no snapshot, so the table is unknown.
    #[error(
        "table records have expired and the log holds no snapshot; ask a daemon with `table show`"
    )]
    Gap,
}

/// A record and its verdict.
#[derive(Debug, Clone)]
pub struct Entry {
    /// The offset.
    pub offset: Offset,
    /// The time of the append, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The record.
    pub record: Record,
    /// The verdict.
    pub verdict: Verdict,
}

/// A reader of the table stream.
#[derive(Debug, Clone, Default)]
pub struct Stream {
    history: History,
}

impl Stream {
    /// Returns the history replayed from the records read so far.
    pub fn history(&self) -> &History {
        &self.history
    }

    /// Reads to the end of the stream and calls `on_entry` with each entry and the table in force
    /// after it. `wait` is the long-poll timeout of the first read; later reads do not wait.
    ///
    /// # Errors
    /// Fails if the log cannot be read or contains a record that cannot be decoded.
    pub async fn read(
        &mut self,
        log: &Log,
        wait: Duration,
        mut on_entry: impl FnMut(Entry, &Arc<Table>),
    ) -> Result<(), StreamError> {
        let mut wait = wait;
        loop {
            let batch = log.read(TABLE_STREAM, self.history.next(), wait).await?;
            let at_end = batch.reaches_end();
            for record in batch.records {
                let parsed = serde_json::from_str::<Record>(&record.text)
                    .map_err(|error| StreamError::Record(record.offset, error))?;
                let verdict = self.history.apply(record.offset, &parsed);
                let entry = Entry {
                    offset: record.offset,
                    at_ms: record.at_ms,
                    record: parsed,
                    verdict,
                };
                on_entry(entry, self.history.table());
            }
            if at_end {
                return Ok(());
            }
            wait = Duration::ZERO;
        }
    }
}
