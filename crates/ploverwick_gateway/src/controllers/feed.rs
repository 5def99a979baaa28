//! Reads of a topic of the store: the newest records first, then each one that comes.

use std::time::Duration;

use ploverwick_platform::store::{Batch, Error, Record, Snapshot};
use ploverwick_topics::Position;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::shared::Shared;

/// How long a waiting read may stay behind what others tell. The store's answers reach two instances
/// some ms apart; one that lags for longer may wait on a connection that fell silent.
const HINTED: Duration = Duration::from_millis(300);

/// How long after a waiting read went out a look follows. The store may miss to wake a read that arrives
/// while a record is being written, which takes some ms; the look finds it.
const ARMED: Duration = Duration::from_millis(100);

/// The longest pause between looks that fail; each call is priced.
const LOOK_AGAIN: Duration = Duration::from_secs(2);

/// The least number of records that are read before the newest ones: where few keys are left, those that
/// went may have written more.
const LEAST_PAST: u64 = 64;

/// The most such records: some 120 KB where each is an endpoint's heartbeat. The store cuts an answer at
/// 1 MiB from its oldest record on, so that more would leave out the newest.
const MOST_PAST: u64 = 500;

/// How a topic is read.
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
    /// Where the topic ends as others tell, if they do.
    pub(super) hint: Option<&'a watch::Sender<Position>>,
    /// How many records before the newest ones are read with them, for each of these.
    pub(super) past: u64,
}

/// What a feed brings.
#[derive(Debug, Clone, Copy)]
pub(super) enum News<'a> {
    /// A read goes out.
    Asking,
    /// Records that came before those which [`News::Whole`] brings next, as far as they are kept.
    Past { records: &'a [Record] },
    /// The newest record of each key; what is not among them is gone.
    Whole { records: &'a [Record] },
    /// The records that came since, the position up to which the topic was read, and whether the last of
    /// them woke a read that waited, so that it is as new as it seems.
    Next {
        records: &'a [Record],
        end: Position,
        was_woken: bool,
    },
    /// The newest record of each key as a peer has them.
    ToldWhole { records: &'a [Record] },
    /// Records that a peer read, and the longest time for which each can have been there when it was told.
    Told {
        records: &'a [Record],
        ages: &'a [Option<Duration>],
    },
    /// The topic cannot be read now.
    Away,
}

/// Reads once and returns the position to go on from.
pub(super) async fn read(
    shared: &Shared,
    feed: &Feed<'_>,
    next: Option<Position>,
    wait: Duration,
    take: &mut impl FnMut(News<'_>),
) -> Result<Position, Error> {
    take(News::Asking);
    let Some(from) = next else {
        let Snapshot { records, end } = shared.store.newest(feed.topic).await?;
        if let Some(past) = past(shared, feed, records.len(), end).await {
            let records = &past.records;
            take(News::Past { records });
        }
        let records = &records;
        take(News::Whole { records });
        return Ok(end);
    };
    let waiting = shared.store.read(feed.topic, from, wait);
    if wait.is_zero() {
        let batch = waiting.await?;
        return Ok(pass_on(&batch, false, take));
    }
    let waiting = until_doubted(shared, feed.hint, from, waiting);
    let begun = Instant::now();
    let (batch, was_waiting) = tokio::select! {
        ended = waiting => match ended {
            Ended::Read(batch) => (batch?, true),
            Ended::Doubted => (read_again(shared, feed, from, take).await?, false),
        },
        batch = look(shared, feed.topic, from) => (batch, false),
    };
    // Only the record that ends a wait is known to be new; others may have been there for as long.
    let was_woken = was_waiting && begun.elapsed() < wait;
    Ok(pass_on(&batch, was_woken, take))
}

/// Reads the records before the end of a topic of `keys` keys. They may be gone, and are not needed to go
/// on.
async fn past(shared: &Shared, feed: &Feed<'_>, keys: usize, end: Position) -> Option<Batch> {
    if feed.past == 0 || end.offset == 0 {
        return None;
    }
    let past = (feed.past * keys as u64).clamp(LEAST_PAST, MOST_PAST);
    let from = end.with_offset(end.offset.saturating_sub(past));
    let batch = shared.store.read(feed.topic, from, Duration::ZERO).await;
    batch
        .map_err(|error| spdlog::info!("past_unread topic={} cause=\"{}\"", feed.topic, error))
        .ok()
}

/// Passes records on and returns the position to go on from.
fn pass_on(batch: &Batch, was_woken: bool, take: &mut impl FnMut(News<'_>)) -> Position {
    let records = &batch.records;
    let end = batch.next;
    take(News::Next {
        records,
        end,
        was_woken,
    });
    end
}

/// Reads without waiting, after a waiting read was given up.
async fn read_again(
    shared: &Shared,
    feed: &Feed<'_>,
    from: Position,
    take: &mut impl FnMut(News<'_>),
) -> Result<Batch, Error> {
    take(News::Away);
    take(News::Asking);
    let batch = shared.store.read(feed.topic, from, Duration::ZERO).await?;
    if let Some(hint) = feed.hint
        && batch.next == from
    {
        // Whoever told of more was wrong; what it said must not be asked after for ever.
        hint.send_modify(|end| *end = from.min(*end));
    }
    Ok(batch)
}

/// Looks whether a topic has records that the read beside it was not woken for; ends only if it has.
async fn look(shared: &Shared, topic: &str, from: Position) -> Batch {
    let mut pause = ARMED;
    loop {
        tokio::time::sleep(pause).await;
        match shared.store.read(topic, from, Duration::ZERO).await {
            Ok(batch) if batch.next == from => std::future::pending().await,
            Ok(batch) => {
                spdlog::info!("record_missed topic={} offset={}", topic, from);
                return batch;
            }
            // The new era also ends the waiting read, which then reports the restore.
            Err(Error::Restored) => std::future::pending().await,
            // The read that waits may outlast it, so that the look is still owed.
            Err(error) => spdlog::debug!("look_failed topic={} cause=\"{}\"", topic, error),
        }
        pause = (pause * 2).min(LOOK_AGAIN);
    }
}

/// How a waiting read ended.
enum Ended<T> {
    Read(T),
    /// It may wait on a connection that fell silent.
    Doubted,
}

/// Waits for a read, unless others have read further for a while, or another call was silent.
async fn until_doubted<T>(
    shared: &Shared,
    hint: Option<&watch::Sender<Position>>,
    from: Position,
    read: impl Future<Output = T>,
) -> Ended<T> {
    let mut reconnects = shared.store.reconnects();
    tokio::pin!(read);
    tokio::select! {
        got = &mut read => return Ended::Read(got),
        // The sender lives as long as the store, so that it cannot be gone.
        _ = reconnects.changed() => return Ended::Doubted,
        () = behind(hint, from) => {}
    }
    match tokio::time::timeout(HINTED, read).await {
        Ok(got) => Ended::Read(got),
        Err(_) => {
            // What silenced this connection may have silenced the others.
            shared.store.reconnect();
            Ended::Doubted
        }
    }
}

/// Ends once others have read further.
async fn behind(hint: Option<&watch::Sender<Position>>, from: Position) {
    match hint {
        Some(hint) => {
            let mut told = hint.subscribe();
            // The sender is borrowed, so that it cannot be gone.
            drop(told.wait_for(|end| *end > from).await);
        }
        None => std::future::pending().await,
    }
}
