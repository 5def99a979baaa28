//! Publishes a table and waits for its verdict.

use std::sync::Arc;
use std::time::{Duration, Instant};

use ploverwick_names::Offset;
use ploverwick_ports::client::CallError;
use ploverwick_ports::log::Log;
use ploverwick_table::Table;
use ploverwick_table::history::{NO_VERSION, Patch, Record, Verdict};
use ploverwick_table::patch::diff;

use crate::stream::{Entry, Stream, StreamError, TABLE_STREAM};

/// How long one read of the log waits for new records.
const READ_WAIT: Duration = Duration::from_millis(500);
/// How long to wait for the verdict on a published patch.
const VERDICT_TIMEOUT: Duration = Duration::from_secs(10);
/// The maximum number of retries for an append that is known to have had no effect.
const MAX_RETRIES: u32 = 5;
/// The delay before an append or a failed read is retried.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// The outcome of a publication.
#[derive(Debug, Clone, PartialEq)]
pub enum PublishOutcome {
    /// The patch was accepted as this version.
    Accepted(Offset),
    /// The table equals its base version, so nothing was published.
    Unchanged,
    /// The patch was rejected for the reason given by the verdict.
    Refused(Verdict),
}

/// The reason why nothing was published or the outcome is unknown.
#[derive(Debug, thiserror::Error)]
pub enum PublishError {
    /// The table stream could not be read.
    #[error(transparent)]
    Stream(#[from] StreamError),
    /// The base version is no longer in the table stream, or never was.
    #[error("version {0} is not in the log; the newest is {1}: edit that one and publish again")]
    BaseUnknown(Offset, Offset),
    /// The log accepted no record.
    #[error("nothing was published: {0}")]
    NotAppended(CallError),
    /// The verdict on the patch could not be read from the stream in time, for instance because the
    /// response to the append was lost.
    #[error("the outcome is unknown: {0}; look for publication {1} with `table history`")]
    Unknown(CallError, String),
}

/// Publishes `table`, which is based on version `base`.
///
/// # Errors
/// Fails if nothing was published or the outcome is unknown; the error says which.
pub async fn publish(
    log: &Log,
    base: Offset,
    table: &Table,
    author: &str,
) -> Result<PublishOutcome, PublishError> {
    let mut stream = Stream::default();
    let mut base_table = (base == NO_VERSION).then(Arc::default);
    stream
        .read(log, Duration::ZERO, |entry, table| {
            if reaches_version(&entry, base) {
                base_table = Some(Arc::clone(table));
            }
        })
        .await?;
    if stream.history().has_gap() {
        return Err(StreamError::Gap.into());
    }
    let newest = stream.history().version();
    let base_table = base_table.ok_or(PublishError::BaseUnknown(base, newest))?;
    let edits = diff(&base_table, table);
    if edits.is_empty() {
        return Ok(PublishOutcome::Unchanged);
    }
    let patch = Patch {
        id: uuid::Uuid::now_v7().to_string(),
        author: author.to_owned(),
        base,
        edits,
    };
    let id = patch.id.clone();
    let lost_response = append(log, patch).await?;
    await_verdict(log, &mut stream, &id, lost_response).await
}

fn reaches_version(entry: &Entry, base: Offset) -> bool {
    matches!(entry.verdict, Verdict::Accepted(version) | Verdict::Adopted(version) if version == base)
}

/// Appends a patch. Returns the error if the response was lost, in which case the patch may still
/// be in the log.
async fn append(log: &Log, patch: Patch) -> Result<Option<CallError>, PublishError> {
    let text = serde_json::to_string(&Record::Patch(patch)).unwrap_or_default();
    let mut retries = 0;
    loop {
        match log.append(TABLE_STREAM, vec![text.clone()]).await {
            Ok(_) => return Ok(None),
            Err(error) if !error.had_no_effect() => return Ok(Some(error)),
            Err(error) if retries == MAX_RETRIES => return Err(PublishError::NotAppended(error)),
            Err(_) => {
                retries += 1;
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Reads the table stream until it contains the patch `id`, and returns the verdict.
async fn await_verdict(
    log: &Log,
    stream: &mut Stream,
    id: &str,
    lost_response: Option<CallError>,
) -> Result<PublishOutcome, PublishError> {
    let deadline = Instant::now() + VERDICT_TIMEOUT;
    let mut error = lost_response;
    while Instant::now() < deadline {
        let mut verdict = None;
        let read = stream.read(log, READ_WAIT, |entry, _| {
            if matches!(&entry.record, Record::Patch(patch) if patch.id == id) {
                verdict = Some(entry.verdict);
            }
        });
        match read.await {
            Err(StreamError::Log(call_error)) => {
                error = Some(call_error);
                tokio::time::sleep(RETRY_DELAY).await;
            }
            other => other?,
        }
        match verdict {
            Some(Verdict::Accepted(version)) => return Ok(PublishOutcome::Accepted(version)),
            Some(other) => return Ok(PublishOutcome::Refused(other)),
            None => {}
        }
    }
    let error = error.unwrap_or(CallError::Refused {
        address: ([127, 0, 0, 1], 0).into(),
        status: 0,
        body: "the table stream does not contain the publication".to_owned(),
    });
    Err(PublishError::Unknown(error, id.to_owned()))
}
