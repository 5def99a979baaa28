//! Follows a topic of the store: the newest records first, then each one that comes.

use std::time::Duration;

use ploverwick_platform::store::{Error, Record, Snapshot};
use tokio::sync::watch;

use super::Backoff;
use crate::journal::Outage;
use crate::shared::Shared;

/// How long a waiting read may stay behind what others tell. The store's answers reach two instances
/// some ms apart; one that lags for longer may wait on a connection that fell silent.
const HINTED: Duration = Duration::from_millis(300);

/// How often a topic of which others tell is looked at again.
const LOOK: Duration = Duration::from_millis(200);

/// How a topic is followed.
#[derive(Debug, Clone, Copy)]
pub(super) struct Feed<'a> {
    /// The topic.
    pub(super) topic: &'a str,
    /// What it is, for the log.
    pub(super) what: &'static str,
    /// How long a read waits for a record.
    pub(super) wait: Duration,
    /// How long the first read after a failure waits. One that does not wait proves what came meanwhile
    /// and what came later.
    pub(super) first_wait: Duration,
    /// The pause after each read.
    pub(super) pause: Duration,
    /// Where the topic ends as others tell, if they do.
    pub(super) hint: Option<&'a watch::Sender<u64>>,
    /// Whether others tell what the topic holds, so that it need not be read now.
    pub(super) is_told: fn(&Shared) -> bool,
}

/// For a topic of which nobody else tells.
pub(super) fn never(_: &Shared) -> bool {
    false
}

/// What a feed brings.
#[derive(Debug, Clone, Copy)]
pub(super) enum News<'a> {
    /// A read goes out.
    Asking,
    /// The newest record of each key, and the offset at which the topic ended; what is not among them
    /// is gone.
    Whole { records: &'a [Record], end: u64 },
    /// The records that came since, and the offset up to which the topic was read.
    Next { records: &'a [Record], end: u64 },
    /// The topic cannot be read now.
    Away,
}

/// Follows a topic for as long as the process runs.
pub(super) async fn follow(shared: &Shared, feed: Feed<'_>, mut take: impl FnMut(News<'_>)) {
    let mut outage = Outage::of(feed.what);
    let mut backoff = Backoff::new();
    let mut next: Option<u64> = None;
    let mut wait = feed.wait;
    loop {
        if (feed.is_told)(shared) {
            // Whatever comes meanwhile is read anew as a whole.
            next = None;
            tokio::time::sleep(LOOK).await;
            continue;
        }
        match read(shared, &feed, next, wait, &mut take).await {
            Ok(end) => {
                next = Some(end);
                wait = feed.wait;
                outage.works();
                backoff.reset();
                tokio::time::sleep(feed.pause).await;
            }
            Err(Error::Expired) => {
                spdlog::info!("history_lost topic={}", feed.topic);
                next = None;
            }
            Err(error) => {
                outage.fails(&error);
                take(News::Away);
                wait = feed.first_wait;
                backoff.pause(shared).await;
            }
        }
    }
}

/// Reads once and returns the offset to go on from.
async fn read(
    shared: &Shared,
    feed: &Feed<'_>,
    next: Option<u64>,
    wait: Duration,
    take: &mut impl FnMut(News<'_>),
) -> Result<u64, Error> {
    take(News::Asking);
    let Some(from) = next else {
        let Snapshot { records, end } = shared.store.newest(feed.topic).await?;
        let records = &records;
        take(News::Whole { records, end });
        return Ok(end);
    };
    let batch = match until_behind(feed.hint, from, shared.store.read(feed.topic, from, wait)).await
    {
        Some(batch) => batch?,
        None => {
            take(News::Away);
            // What silenced this connection may have silenced the others.
            shared.store.reconnect();
            take(News::Asking);
            let read = shared.store.read(feed.topic, from, Duration::ZERO);
            read.await?
        }
    };
    let records = &batch.records;
    let end = from + records.len() as u64;
    take(News::Next { records, end });
    Ok(end)
}

/// Waits for a read; returns `None` if others have read further for a while.
async fn until_behind<T>(
    hint: Option<&watch::Sender<u64>>,
    from: u64,
    read: impl Future<Output = T>,
) -> Option<T> {
    let Some(hint) = hint else {
        return Some(read.await);
    };
    tokio::pin!(read);
    let mut told = hint.subscribe();
    tokio::select! {
        got = &mut read => return Some(got),
        // The sender is borrowed, so that it cannot be gone.
        _ = told.wait_for(|end| *end > from) => {}
    }
    tokio::time::timeout(HINTED, read).await.ok()
}
