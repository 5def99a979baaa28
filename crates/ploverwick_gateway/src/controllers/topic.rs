//! Subscribes to a topic of the store: reads it and relays the records to peers, or receives the records
//! from them.

use std::time::Duration;

use ploverwick_adapters::Since;
use ploverwick_platform::store::{Error, Record};
use ploverwick_topics::freshness::Proof;
use ploverwick_topics::{Fit, Position, Reading, Role, Step, Subscription};
use xxhash_rust::xxh3::xxh3_64;

use super::feed::{self, Progress, Update};
use super::{Backoff, bootstrap, wait_for_store};
use crate::broadcast;
use crate::logging::Outage;
use crate::metrics;
use crate::shared::Shared;
use crate::snapshots::{SnapshotRequest, SnapshotResponse};
use crate::topics::{Batch, ReadState, RelayedRecord, Topic, TopicSnapshot};

/// The topic that retries reads while the store is unavailable; the others wait until it succeeds.
const PROBE_TOPIC: Topic = Topic::Operator;

/// The outcome of a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Outcome {
    Idle,
    Read,
}

struct Subscriber<'a, F> {
    shared: &'a Shared,
    topic: Topic,
    feed: feed::Feed<'a>,
    subscription: Subscription,
    /// Whether to ask peers for the topic before reading it as a whole.
    should_ask_peers: bool,
    /// Whether the last read failed. The next one then returns at once, to find out whether the store is
    /// available again.
    has_failed: bool,
    handler: F,
}

/// Follows a topic for as long as the process runs.
pub(super) async fn follow(
    shared: &Shared,
    topic: Topic,
    feed: feed::Feed<'_>,
    handler: impl FnMut(Update<'_>),
) {
    let mut outage = Outage::new(feed.description);
    let mut backoff = Backoff::new();
    let mut subscriber = Subscriber {
        shared,
        topic,
        feed,
        subscription: Subscription::new(jitter(&shared.settings.instance), shared.now()),
        should_ask_peers: true,
        has_failed: false,
        handler,
    };
    loop {
        match subscriber.step().await {
            Ok(Outcome::Idle) => {}
            Ok(Outcome::Read) => {
                outage.record_success();
                backoff.reset();
                shared.store_unavailable.send_replace(false);
            }
            Err(Error::Expired) => {
                spdlog::info!("history_lost topic={}", feed.topic);
                subscriber.subscription.reset();
            }
            Err(Error::Restored) => {
                spdlog::info!(
                    "history_restored topic={} era={}",
                    feed.topic,
                    shared.store.era()
                );
                subscriber.subscription.reset();
            }
            Err(error) => {
                outage.record_failure(&error);
                subscriber.handle_failure();
                shared.store_unavailable.send_replace(true);
                if topic == PROBE_TOPIC {
                    backoff.pause(shared).await;
                } else {
                    wait_for_store(shared).await;
                }
            }
        }
    }
}

/// Returns a number from 0 to 1 that is specific to the instance.
fn jitter(instance: &str) -> f64 {
    xxh3_64(instance.as_bytes()) as f64 / u64::MAX as f64
}

impl<F: FnMut(Update<'_>)> Subscriber<'_, F> {
    /// Performs the next step of the subscription.
    async fn step(&mut self) -> Result<Outcome, Error> {
        let now = self.shared.now();
        self.receive_batches();
        let inbox = self.shared.inboxes.of(self.topic);
        self.subscription.observe_end(*inbox.end.borrow(), now);
        let role = self.shared.role(self.topic);
        match self.subscription.step(role, now) {
            Step::Idle { until } => {
                if role != Role::Reader && !self.has_failed {
                    self.publish_reading(Reading::Rests);
                }
                let until = self.shared.clock.instant(until);
                tokio::select! {
                    () = tokio::time::sleep_until(until) => {}
                    () = inbox.added.notified() => {}
                }
                Ok(Outcome::Idle)
            }
            Step::ReadAll if self.should_ask_peers => {
                self.should_ask_peers = false;
                let request = SnapshotRequest::Topic(self.topic);
                if let Some(SnapshotResponse::Topic(snapshot)) =
                    bootstrap::fetch(self.shared, request).await
                {
                    self.apply_snapshot(snapshot);
                }
                Ok(Outcome::Idle)
            }
            Step::ReadAll => self.read(None, Duration::ZERO).await,
            Step::ReadOn { from, waits } => {
                let is_proof = self.has_failed || !waits;
                let wait = if is_proof {
                    Duration::ZERO
                } else {
                    self.feed.wait
                };
                self.read(Some(from), wait).await
            }
        }
    }

    /// Reads once; `from` is `None` to read the newest record of each key.
    async fn read(&mut self, from: Option<Position>, wait: Duration) -> Result<Outcome, Error> {
        let (shared, topic) = (self.shared, self.topic);
        let is_reader = shared.role(topic) == Role::Reader;
        let started_at = shared.now();
        self.subscription.start_read(started_at);
        if !wait.is_zero() {
            self.publish_reading(Reading::Reads);
        }
        let handler = &mut self.handler;
        let mut relay = |update: Update<'_>| {
            let earlier = shared.state().watermark.unread();
            handler(update);
            match update {
                Update::Snapshot { records } => shared.inboxes.of(topic).cache(records, true),
                Update::Records { records, .. } => shared.inboxes.of(topic).cache(records, false),
                Update::ReadStarted
                | Update::History { .. }
                | Update::PeerRecords { .. }
                | Update::PeerSnapshot { .. }
                | Update::ReadFailed => {}
            }
            let last = shared.state().watermark.last_read();
            if let (Update::Records { records, end, .. }, Some(from), true) =
                (update, from, is_reader)
                && end > from
            {
                let records = with_ages(shared, records, earlier, last);
                broadcast::send_records(shared, topic, from, end, records);
            }
        };
        let Progress { next, end } = feed::read(shared, &self.feed, from, wait, &mut relay).await?;
        self.subscription.finish_read(next);
        if topic == Topic::Operator {
            let proof = Proof::new(end, started_at);
            shared.state().freshness.add_proof(proof);
        }
        let inbox = shared.inboxes.of(topic);
        inbox.truncate_end(end);
        if end > next {
            inbox.observe_end(end);
        }
        self.has_failed = false;
        self.publish_reading(if is_reader {
            Reading::Reads
        } else {
            Reading::Rests
        });
        if from.is_some() {
            tokio::time::sleep(self.feed.delay).await;
        }
        Ok(Outcome::Read)
    }

    /// Applies the record batches that peers have sent in the meantime.
    fn receive_batches(&mut self) {
        let now = self.shared.now();
        while let Some(batch) = self.shared.inboxes.of(self.topic).pop() {
            let fit = self.subscription.receive(batch.from, batch.next, now);
            spdlog::info!(
                "topic_told topic={} from={} next={} fit={:?}",
                self.topic.name(),
                batch.from,
                batch.next,
                fit
            );
            if fit == Fit::Next {
                self.apply_batch(batch);
            }
        }
    }

    /// Applies a peer's snapshot of the topic.
    fn apply_snapshot(&mut self, snapshot: TopicSnapshot) {
        if snapshot.end.era < self.shared.store.era() {
            // The peer read these records before the store was restored.
            return;
        }
        let records: Vec<Record> = snapshot.records.into_iter().map(record).collect();
        (self.handler)(Update::PeerSnapshot { records: &records });
        self.shared.inboxes.of(self.topic).cache(&records, true);
        let age = snapshot.age_ms.map(Duration::from_millis);
        self.shared.state().watermark.apply_relayed(age);
        self.subscription.finish_read(snapshot.end);
        self.publish_reading(Reading::Rests);
    }

    fn apply_batch(&mut self, batch: Batch) {
        let Batch { records, .. } = batch;
        let ages = records
            .iter()
            .map(|record| record.age_ms.map(Duration::from_millis));
        let ages: Vec<Option<Duration>> = ages.collect();
        let records: Vec<Record> = records.into_iter().map(record).collect();
        self.shared.inboxes.of(self.topic).cache(&records, false);
        (self.handler)(Update::PeerRecords {
            records: &records,
            ages: &ages,
        });
        self.publish_reading(Reading::Rests);
    }

    fn handle_failure(&mut self) {
        self.subscription.record_failure();
        self.has_failed = true;
        // An instance that starts while the store is unavailable serves requests from what its peers know.
        self.should_ask_peers = true;
        (self.handler)(Update::ReadFailed);
        self.publish_reading(Reading::Fails);
    }

    /// Updates the position and reading state that this instance reports in its status messages.
    fn publish_reading(&self, reading: Reading) {
        let end = self.subscription.next().unwrap_or_default();
        let read_state = ReadState { end, reading };
        let mut state = self.shared.state();
        let before = state.read_states.of(self.topic);
        state.read_states.set(self.topic, read_state);
        if self.topic == Topic::Operator {
            state.freshness.advance(end);
        }
        drop(state);
        if before.reading != reading {
            spdlog::info!(
                "topic_reading topic={} reading={:?} before={:?} end={}",
                self.topic.name(),
                reading,
                before.reading,
                end
            );
        }
        if before.reading != reading || before.end != end {
            metrics::topic(self.topic, read_state, self.shared.now());
        }
    }
}

fn record(relayed: RelayedRecord) -> Record {
    Record {
        key: relayed.key,
        value: relayed.value.map(Into::into),
        offset: relayed.offset,
    }
}

/// Returns records with their maximum ages. Only the last one may have ended a long poll, so the others may
/// be older.
fn with_ages(
    shared: &Shared,
    records: &[Record],
    earlier: Since,
    last: Since,
) -> Vec<RelayedRecord> {
    let now = shared.now();
    let age = |since: Since| match since {
        Since::LongAgo => None,
        Since::NotBefore(at) => u64::try_from(now.since(at).as_millis()).ok(),
    };
    let count = records.len();
    let records = records
        .iter()
        .enumerate()
        .map(|(index, record)| RelayedRecord {
            key: record.key.clone(),
            value: record.value.as_ref().map(|value| value.to_vec()),
            offset: record.offset,
            age_ms: age(if index + 1 == count { last } else { earlier }),
        });
    records.collect()
}
