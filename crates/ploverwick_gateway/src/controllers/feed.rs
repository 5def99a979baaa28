//! Follows a topic of the store: the newest records first, then each one that comes.

use std::time::Duration;

use ploverwick_platform::store::{Error, Record};
use tokio::sync::Notify;

use super::Backoff;
use crate::journal::Outage;
use crate::shared::Shared;

/// The least time between two reads that a hint caused.
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
    /// The pause after each read.
    pub(super) pause: Duration,
    /// Says that there is something to read although the waiting read is silent.
    pub(super) hint: Option<&'a Notify>,
    /// Whether others tell what the topic holds, so that it need not be read now.
    pub(super) is_told: fn(&Shared) -> bool,
}

/// For a topic of which nobody else tells.
pub(super) fn never(_: &Shared) -> bool {
    false
}

/// What a feed brings.
#[derive(Debug)]
pub(super) enum News<'a> {
    /// The newest record of each key; what is not among them is gone.
    Whole(&'a [Record]),
    /// The records that came since.
    Next(&'a [Record]),
    /// The topic cannot be read now.
    Away,
}

/// Follows a topic for as long as the process runs.
pub(super) async fn follow(shared: &Shared, feed: Feed<'_>, mut take: impl FnMut(News<'_>)) {
    let mut outage = Outage::of(feed.what);
    let mut backoff = Backoff::new();
    let mut next: Option<u64> = None;
    loop {
        if (feed.is_told)(shared) {
            // Whatever comes meanwhile is read anew as a whole.
            next = None;
            tokio::time::sleep(LOOK).await;
            continue;
        }
        match read(shared, &feed, next, &mut take).await {
            Ok(end) => {
                next = Some(end);
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
    take: &mut impl FnMut(News<'_>),
) -> Result<u64, Error> {
    let Some(from) = next else {
        let snapshot = shared.store.newest(feed.topic).await?;
        take(News::Whole(&snapshot.records));
        return Ok(snapshot.end);
    };
    let waiting = shared.store.read(feed.topic, from, feed.wait);
    let batch = tokio::select! {
        batch = waiting => batch,
        () = hinted(feed.hint) => {
            tokio::time::sleep(HINTED).await;
            shared.store.read(feed.topic, from, Duration::ZERO).await
        }
    }?;
    take(News::Next(&batch.records));
    Ok(from + batch.records.len() as u64)
}

async fn hinted(hint: Option<&Notify>) {
    match hint {
        Some(hint) => hint.notified().await,
        None => std::future::pending().await,
    }
}
