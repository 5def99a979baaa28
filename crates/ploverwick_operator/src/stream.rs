//! Reads the table's stream as daemons do.

use std::sync::Arc;
use std::time::Duration;

use ploverwick_names::Offset;
use ploverwick_ports::client::CallError;
use ploverwick_ports::log::Log;
use ploverwick_table::Table;
use ploverwick_table::history::{History, Record, Verdict};

/// The name of the stream.
pub(crate) const TABLE: &str = "table";

/// Says why the stream could not be read.
#[derive(Debug, thiserror::Error)]
pub enum StreamError {
    /// The log did not answer.
    #[error("cannot read the table's stream")]
    Log(#[from] CallError),
    /// A record is not one that this version knows.
    #[error("record {0} of the table's stream cannot be read: {1}; use a newer ploverwick")]
    Record(Offset, serde_json::Error),
    /// The log no longer holds a snapshot, so the table is not known.
    #[error(
        "the log lost records of the table and holds no snapshot; ask a daemon with `table show`"
    )]
    Gap,
}

/// A record and what became of it.
#[derive(Debug, Clone)]
pub struct Entry {
    /// Its offset.
    pub offset: Offset,
    /// When the log took it, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The record.
    pub record: Record,
    /// What became of it.
    pub verdict: Verdict,
}

/// The stream as far as it was read.
#[derive(Debug, Clone, Default)]
pub struct Stream {
    history: History,
}

impl Stream {
    /// Returns what the records read so far amount to.
    pub fn history(&self) -> &History {
        &self.history
    }

    /// Reads everything there is; `seen` gets every entry with the table that it left in force.
    ///
    /// # Errors
    /// Fails if the log does not answer or holds an unknown record.
    pub async fn read(
        &mut self,
        log: &Log,
        wait: Duration,
        mut seen: impl FnMut(Entry, &Arc<Table>),
    ) -> Result<(), StreamError> {
        let mut wait = wait;
        loop {
            let batch = log.read(TABLE, self.history.next(), wait).await?;
            let ends = batch.reaches_end();
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
                seen(entry, self.history.table());
            }
            if ends {
                return Ok(());
            }
            wait = Duration::ZERO;
        }
    }
}
