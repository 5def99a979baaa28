//! Publishes a table and waits for the verdict.

use std::sync::Arc;
use std::time::{Duration, Instant};

use ploverwick_names::Offset;
use ploverwick_ports::client::CallError;
use ploverwick_ports::log::Log;
use ploverwick_table::Table;
use ploverwick_table::history::{NO_VERSION, Patch, Record, Verdict};
use ploverwick_table::patch::diff;

use crate::stream::{Entry, Stream, StreamError, TABLE};

/// How long one read waits for the publication to show.
const WAIT: Duration = Duration::from_millis(500);
/// How long the publication is looked for altogether.
const PATIENCE: Duration = Duration::from_secs(10);
/// How often an append that certainly had no effect is tried again.
const TRIES: u32 = 5;
const PAUSE: Duration = Duration::from_millis(200);

/// How a publication ended.
#[derive(Debug, Clone, PartialEq)]
pub enum Published {
    /// It is accepted as this version.
    Accepted(Offset),
    /// The table is the same as the base: nothing was published.
    Unchanged,
    /// It was refused, for the reason given by the verdict.
    Refused(Verdict),
}

/// Says why a publication's outcome is not known, or nothing was published.
#[derive(Debug, thiserror::Error)]
pub enum PublishError {
    /// The stream could not be read.
    #[error(transparent)]
    Stream(#[from] StreamError),
    /// The base is not a version that the stream still shows.
    #[error("version {0} is not in the log; the newest is {1}: edit that one and publish again")]
    BaseUnknown(Offset, Offset),
    /// The log took nothing.
    #[error("nothing was published: {0}")]
    NotAppended(CallError),
    /// The append's answer was lost, and the stream did not show it in time.
    #[error("the outcome is not known: {0}; look for publication {1} with `table history`")]
    Unknown(CallError, String),
}

/// Publishes `table`, which was edited from version `base`.
///
/// # Errors
/// Fails if nothing was published or the outcome is not known; the error says which.
pub async fn publish(
    log: &Log,
    base: Offset,
    table: &Table,
    author: &str,
) -> Result<Published, PublishError> {
    let mut stream = Stream::default();
    let mut at_base = (base == NO_VERSION).then(Arc::default);
    stream
        .read(log, Duration::ZERO, |entry, table| {
            if reached(&entry, base) {
                at_base = Some(Arc::clone(table));
            }
        })
        .await?;
    if stream.history().has_gap() {
        return Err(StreamError::Gap.into());
    }
    let newest = stream.history().version();
    let at_base = at_base.ok_or(PublishError::BaseUnknown(base, newest))?;
    let edits = diff(&at_base, table);
    if edits.is_empty() {
        return Ok(Published::Unchanged);
    }
    let patch = Patch {
        id: uuid::Uuid::now_v7().to_string(),
        author: author.to_owned(),
        base,
        edits,
    };
    let id = patch.id.clone();
    let lost = append(log, patch).await?;
    find(log, &mut stream, &id, lost).await
}

fn reached(entry: &Entry, base: Offset) -> bool {
    matches!(entry.verdict, Verdict::Accepted(version) | Verdict::Adopted(version) if version == base)
}

/// Appends a patch. Returns the fault if the answer was lost, so that it may stand in the log.
async fn append(log: &Log, patch: Patch) -> Result<Option<CallError>, PublishError> {
    let text = serde_json::to_string(&Record::Patch(patch)).unwrap_or_default();
    let mut tries = 0;
    loop {
        match log.append(TABLE, vec![text.clone()]).await {
            Ok(_) => return Ok(None),
            Err(fault) if !fault.had_no_effect() => return Ok(Some(fault)),
            Err(fault) if tries == TRIES => return Err(PublishError::NotAppended(fault)),
            Err(_) => {
                tries += 1;
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
}

/// Reads on until the publication shows.
async fn find(
    log: &Log,
    stream: &mut Stream,
    id: &str,
    lost: Option<CallError>,
) -> Result<Published, PublishError> {
    let deadline = Instant::now() + PATIENCE;
    let mut fault = lost;
    while Instant::now() < deadline {
        let mut verdict = None;
        let read = stream.read(log, WAIT, |entry, _| {
            if matches!(&entry.record, Record::Patch(patch) if patch.id == id) {
                verdict = Some(entry.verdict);
            }
        });
        match read.await {
            Err(StreamError::Log(unread)) => {
                fault = Some(unread);
                tokio::time::sleep(PAUSE).await;
            }
            other => other?,
        }
        match verdict {
            Some(Verdict::Accepted(version)) => return Ok(Published::Accepted(version)),
            Some(other) => return Ok(Published::Refused(other)),
            None => {}
        }
    }
    let fault = fault.unwrap_or(CallError::Refused {
        address: ([127, 0, 0, 1], 0).into(),
        status: 0,
        body: "the stream does not show the publication".to_owned(),
    });
    Err(PublishError::Unknown(fault, id.to_owned()))
}
