//! Reads a topic of the store: first the newest record of each key, then new records as they arrive.

use std::time::Duration;

use ploverwick_platform::store::{Batch, Error, Record, Snapshot};
use ploverwick_topics::Position;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::shared::Shared;

/// The maximum time for which a long poll may lag behind the end of the topic that peers report. The store's
/// answers reach two instances a few milliseconds apart; a longer lag suggests that the connection has gone
/// silent.
const MAX_LAG_BEHIND_PEERS: Duration = Duration::from_millis(300);

/// The delay between the start of a long poll and the first probe for records that it missed. The store may
/// fail to wake a long poll that arrives while a record is being written, which takes a few milliseconds.
const FIRST_PROBE_DELAY: Duration = Duration::from_millis(100);

/// The maximum delay between probes that fail, because each call is charged for.
const MAX_PROBE_RETRY_DELAY: Duration = Duration::from_secs(2);

/// The minimum number of records to read before the newest ones. If few keys are left, removed keys may have
/// written most of the recent records.
const MIN_HISTORY_RECORDS: u64 = 64;

/// The maximum number of such records, about 120 KB if each is an endpoint's heartbeat. The store truncates
/// an answer at 1 MiB, starting from the oldest record, so that a longer read would lack the newest ones.
const MAX_HISTORY_RECORDS: u64 = 500;

/// The options for reading a topic.
#[derive(Debug, Clone, Copy)]
pub(super) struct Feed<'a> {
    /// The name of the topic.
    pub(super) topic: &'a str,
    /// The description of the topic in log lines.
    pub(super) description: &'static str,
    /// The timeout of a long poll.
    pub(super) wait: Duration,
    /// The delay after each read.
    pub(super) delay: Duration,
    /// The end of the topic as peers report it, if they do.
    pub(super) reported_end: Option<&'a watch::Sender<Position>>,
    /// The number of records to read before the newest ones, for each key of the topic; 0 reads none.
    pub(super) history_per_key: u64,
}

/// An event while a topic is read.
#[derive(Debug, Clone, Copy)]
pub(super) enum Update<'a> {
    /// A read is starting.
    ReadStarted,
    /// Records before those of the following [`Update::Snapshot`], as far as the store retains them.
    History { records: &'a [Record] },
    /// The newest record of each key. A key without one has been removed.
    Snapshot { records: &'a [Record] },
    /// The records since the last read, the position after them, and whether the last one ended a long poll,
    /// which proves that it is new.
    Records {
        records: &'a [Record],
        end: Position,
        was_woken: bool,
    },
    /// The newest record of each key, as received from a peer.
    PeerSnapshot { records: &'a [Record] },
    /// Records that a peer read, with the maximum age of each when the peer sent it.
    PeerRecords {
        records: &'a [Record],
        ages: &'a [Option<Duration>],
    },
    /// The read failed or was abandoned.
    ReadFailed,
}

/// How far a read got. The store truncates long responses, so that a read may end before its topic does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Progress {
    /// The position to continue from.
    pub(super) next: Position,
    /// The end of the topic.
    pub(super) end: Position,
}

/// Reads once.
pub(super) async fn read(
    shared: &Shared,
    feed: &Feed<'_>,
    next: Option<Position>,
    wait: Duration,
    handler: &mut impl FnMut(Update<'_>),
) -> Result<Progress, Error> {
    handler(Update::ReadStarted);
    let Some(from) = next else {
        let Snapshot { records, end } = shared.store.newest(feed.topic).await?;
        if let Some(history) = read_history(shared, feed, records.len(), end).await {
            let records = &history.records;
            handler(Update::History { records });
        }
        let records = &records;
        handler(Update::Snapshot { records });
        return Ok(Progress { next: end, end });
    };
    let long_poll = shared.store.read(feed.topic, from, wait);
    if wait.is_zero() {
        let batch = long_poll.await?;
        return Ok(deliver(&batch, false, handler));
    }
    let long_poll = wait_unless_stale(shared, feed.reported_end, from, long_poll);
    let started_at = Instant::now();
    let (batch, is_from_long_poll) = tokio::select! {
        ended = long_poll => match ended {
            WaitResult::Read(batch) => (batch?, true),
            WaitResult::Stale => (reread(shared, feed, from, handler).await?, false),
        },
        batch = probe(shared, feed.topic, from) => (batch, false),
    };
    // Only a record that ends a long poll is known to be new; others may be as old as the previous read.
    let was_woken = is_from_long_poll && started_at.elapsed() < wait;
    Ok(deliver(&batch, was_woken, handler))
}

/// Reads the records before the end of a topic with `keys` keys. Returns `None` if they cannot be read; they
/// are optional.
async fn read_history(
    shared: &Shared,
    feed: &Feed<'_>,
    keys: usize,
    end: Position,
) -> Option<Batch> {
    if feed.history_per_key == 0 || end.offset == 0 {
        return None;
    }
    let history =
        (feed.history_per_key * keys as u64).clamp(MIN_HISTORY_RECORDS, MAX_HISTORY_RECORDS);
    let from = end.with_offset(end.offset.saturating_sub(history));
    let batch = shared.store.read(feed.topic, from, Duration::ZERO).await;
    batch
        .map_err(|error| spdlog::info!("past_unread topic={} cause=\"{}\"", feed.topic, error))
        .ok()
}

/// Passes records to the handler.
fn deliver(batch: &Batch, was_woken: bool, handler: &mut impl FnMut(Update<'_>)) -> Progress {
    let records = &batch.records;
    let end = batch.next;
    handler(Update::Records {
        records,
        end,
        was_woken,
    });
    Progress {
        next: end,
        end: batch.end,
    }
}

/// Reads without waiting, after a long poll was abandoned.
async fn reread(
    shared: &Shared,
    feed: &Feed<'_>,
    from: Position,
    handler: &mut impl FnMut(Update<'_>),
) -> Result<Batch, Error> {
    handler(Update::ReadFailed);
    handler(Update::ReadStarted);
    let batch = shared.store.read(feed.topic, from, Duration::ZERO).await?;
    if let Some(reported_end) = feed.reported_end
        && batch.end <= from
    {
        // The reported end was wrong. Lower it, so that it does not cause reads forever.
        reported_end.send_modify(|end| *end = from.min(*end));
    }
    Ok(batch)
}

/// Checks for records that the concurrent long poll was not woken for. Completes only if there are any.
async fn probe(shared: &Shared, topic: &str, from: Position) -> Batch {
    let mut delay = FIRST_PROBE_DELAY;
    loop {
        tokio::time::sleep(delay).await;
        match shared.store.read(topic, from, Duration::ZERO).await {
            Ok(batch) if batch.end <= from => std::future::pending().await,
            Ok(batch) if batch.next == from => {
                spdlog::debug!("look_short topic={} offset={}", topic, from);
            }
            Ok(batch) => {
                spdlog::info!("record_missed topic={} offset={}", topic, from);
                return batch;
            }
            // The new era also ends the long poll, which then reports the restore.
            Err(Error::Restored) => std::future::pending().await,
            // The long poll may outlast the failure, so the check must be retried.
            Err(error) => spdlog::debug!("look_failed topic={} cause=\"{}\"", topic, error),
        }
        delay = (delay * 2).min(MAX_PROBE_RETRY_DELAY);
    }
}

/// The result of a long poll.
enum WaitResult<T> {
    Read(T),
    /// The connection may have gone silent.
    Stale,
}

/// Waits for a read. Gives up if peers have read further for a while, or if another call found its connection
/// silent.
async fn wait_unless_stale<T>(
    shared: &Shared,
    reported_end: Option<&watch::Sender<Position>>,
    from: Position,
    read: impl Future<Output = T>,
) -> WaitResult<T> {
    let mut reconnects = shared.store.reconnects();
    tokio::pin!(read);
    tokio::select! {
        got = &mut read => return WaitResult::Read(got),
        // The sender lives as long as the store, so this cannot fail.
        _ = reconnects.changed() => return WaitResult::Stale,
        () = wait_until_behind(reported_end, from) => {}
    }
    match tokio::time::timeout(MAX_LAG_BEHIND_PEERS, read).await {
        Ok(got) => WaitResult::Read(got),
        Err(_) => {
            // The other connections may be affected too.
            shared.store.reconnect();
            WaitResult::Stale
        }
    }
}

/// Completes once peers have read beyond `from`.
async fn wait_until_behind(reported_end: Option<&watch::Sender<Position>>, from: Position) {
    match reported_end {
        Some(reported_end) => {
            let mut end_receiver = reported_end.subscribe();
            // The sender is borrowed, so this cannot fail.
            drop(end_receiver.wait_for(|end| *end > from).await);
        }
        None => std::future::pending().await,
    }
}
