//! Follows a topic of the store beside peers: reads it for them, or is told by them.

use std::time::Duration;

use ploverwick_adapters::Since;
use ploverwick_platform::store::{Error, Record};
use ploverwick_topics::freshness::Proof;
use ploverwick_topics::{Fit, Position, Reading, Role, Step, Subscription};
use xxhash_rust::xxh3::xxh3_64;

use super::feed::{self, News};
use super::{Backoff, starting, until_back};
use crate::handover::{SnapshotRequest, SnapshotResponse};
use crate::logging::Outage;
use crate::metrics;
use crate::shared::Shared;
use crate::tell;
use crate::topics::{Batch, ReadState, RelayedRecord, Topic, TopicSnapshot};

/// The topic that asks again and again while the store is away; the others wait for it.
const PROBE: Topic = Topic::Operator;

/// What a step did.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Done {
    Rested,
    Read,
}

struct Follower<'a, F> {
    shared: &'a Shared,
    topic: Topic,
    feed: feed::Feed<'a>,
    place: Subscription,
    /// Whether peers are still to be asked what the topic holds.
    asks_peers: bool,
    /// Whether the last read failed, so that the next one must prove that the store is back.
    has_failed: bool,
    take: F,
}

/// Follows a topic for as long as the process runs.
pub(super) async fn follow(
    shared: &Shared,
    topic: Topic,
    feed: feed::Feed<'_>,
    take: impl FnMut(News<'_>),
) {
    let mut outage = Outage::new(feed.what);
    let mut backoff = Backoff::new();
    let mut follower = Follower {
        shared,
        topic,
        feed,
        place: Subscription::new(chance(&shared.settings.instance), shared.now()),
        asks_peers: true,
        has_failed: false,
        take,
    };
    loop {
        match follower.next().await {
            Ok(Done::Rested) => {}
            Ok(Done::Read) => {
                outage.record_success();
                backoff.reset();
                shared.store_unavailable.send_replace(false);
            }
            Err(Error::Expired) => {
                spdlog::info!("history_lost topic={}", feed.topic);
                follower.place.reset();
            }
            Err(Error::Restored) => {
                spdlog::info!(
                    "history_restored topic={} era={}",
                    feed.topic,
                    shared.store.era()
                );
                follower.place.reset();
            }
            Err(error) => {
                outage.record_failure(&error);
                follower.fail();
                shared.store_unavailable.send_replace(true);
                if topic == PROBE {
                    backoff.pause(shared).await;
                } else {
                    until_back(shared).await;
                }
            }
        }
    }
}

/// Returns a number from 0 to 1 by which instances differ.
fn chance(instance: &str) -> f64 {
    xxh3_64(instance.as_bytes()) as f64 / u64::MAX as f64
}

impl<F: FnMut(News<'_>)> Follower<'_, F> {
    /// Takes the next step.
    async fn next(&mut self) -> Result<Done, Error> {
        let now = self.shared.now();
        self.hear();
        let inbox = self.shared.inboxes.of(self.topic);
        self.place.observe_end(*inbox.end.borrow(), now);
        let circle = self.shared.role(self.topic);
        match self.place.step(circle, now) {
            Step::Idle { until } => {
                if circle != Role::Reader && !self.has_failed {
                    self.stand(Reading::Rests);
                }
                let until = self.shared.clock.instant(until);
                tokio::select! {
                    () = tokio::time::sleep_until(until) => {}
                    () = inbox.added.notified() => {}
                }
                Ok(Done::Rested)
            }
            Step::ReadAll if self.asks_peers => {
                self.asks_peers = false;
                let wanted = SnapshotRequest::Topic(self.topic);
                if let Some(SnapshotResponse::Topic(whole)) =
                    starting::ask(self.shared, wanted).await
                {
                    self.take_whole(whole);
                }
                Ok(Done::Rested)
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

    /// Reads once; `from` is `None` for the whole topic.
    async fn read(&mut self, from: Option<Position>, wait: Duration) -> Result<Done, Error> {
        let (shared, topic) = (self.shared, self.topic);
        let is_reader = shared.role(topic) == Role::Reader;
        let asked = shared.now();
        self.place.start_read(asked);
        if !wait.is_zero() {
            self.stand(Reading::Reads);
        }
        let hear = &mut self.take;
        let mut take = |news: News<'_>| {
            let earlier = shared.state().watermark.unread();
            hear(news);
            match news {
                News::Whole { records } => shared.inboxes.of(topic).cache(records, true),
                News::Next { records, .. } => shared.inboxes.of(topic).cache(records, false),
                News::Asking
                | News::Past { .. }
                | News::Told { .. }
                | News::ToldWhole { .. }
                | News::Away => {}
            }
            let last = shared.state().watermark.last_read();
            if let (News::Next { records, end, .. }, Some(from), true) = (news, from, is_reader)
                && end > from
            {
                let records = dated(shared, records, earlier, last);
                tell::records(shared, topic, from, end, records);
            }
        };
        let next = feed::read(shared, &self.feed, from, wait, &mut take).await?;
        self.place.finish_read(next);
        if topic == Topic::Operator {
            let statement = Proof::new(next, asked);
            shared.state().freshness.add_proof(statement);
        }
        shared.inboxes.of(topic).truncate_end(next);
        self.has_failed = false;
        self.stand(if is_reader {
            Reading::Reads
        } else {
            Reading::Rests
        });
        if from.is_some() {
            tokio::time::sleep(self.feed.pause).await;
        }
        Ok(Done::Read)
    }

    /// Takes in what peers told meanwhile.
    fn hear(&mut self) {
        let now = self.shared.now();
        while let Some(batch) = self.shared.inboxes.of(self.topic).pop() {
            let fit = self.place.receive(batch.from, batch.next, now);
            spdlog::info!(
                "topic_told topic={} from={} next={} fit={:?}",
                self.topic.name(),
                batch.from,
                batch.next,
                fit
            );
            if fit == Fit::Next {
                self.take_told(batch);
            }
        }
    }

    /// Takes in the newest records as a peer has them.
    fn take_whole(&mut self, whole: TopicSnapshot) {
        if whole.end.era < self.shared.store.era() {
            // The peer read these records before the store was restored.
            return;
        }
        let records: Vec<Record> = whole.records.into_iter().map(record).collect();
        (self.take)(News::ToldWhole { records: &records });
        self.shared.inboxes.of(self.topic).cache(&records, true);
        let age = whole.age_ms.map(Duration::from_millis);
        self.shared.state().watermark.apply_relayed(age);
        self.place.finish_read(whole.end);
        self.stand(Reading::Rests);
    }

    fn take_told(&mut self, batch: Batch) {
        let Batch { records, .. } = batch;
        let ages = records
            .iter()
            .map(|told| told.age_ms.map(Duration::from_millis));
        let ages: Vec<Option<Duration>> = ages.collect();
        let records: Vec<Record> = records.into_iter().map(record).collect();
        self.shared.inboxes.of(self.topic).cache(&records, false);
        (self.take)(News::Told {
            records: &records,
            ages: &ages,
        });
        self.stand(Reading::Rests);
    }

    fn fail(&mut self) {
        self.place.record_failure();
        self.has_failed = true;
        // An instance that starts while the store is away serves by what its peers know.
        self.asks_peers = true;
        (self.take)(News::Away);
        self.stand(Reading::Fails);
    }

    /// Says where this instance stands, for its next messages.
    fn stand(&self, reading: Reading) {
        let end = self.place.next().unwrap_or_default();
        let stand = ReadState { end, reading };
        let mut state = self.shared.state();
        let before = state.read_states.of(self.topic);
        state.read_states.set(self.topic, stand);
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
            metrics::topic(self.topic, stand, self.shared.now());
        }
    }
}

fn record(told: RelayedRecord) -> Record {
    Record {
        key: told.key,
        value: told.value.map(Into::into),
        offset: told.offset,
    }
}

/// Returns records with the longest time for which each can have been there: only the last one may have
/// woken a read that waited for it.
fn dated(shared: &Shared, records: &[Record], earlier: Since, last: Since) -> Vec<RelayedRecord> {
    let now = shared.now();
    let age = |since: Since| match since {
        Since::LongAgo => None,
        Since::NotBefore(at) => u64::try_from(now.since(at).as_millis()).ok(),
    };
    let count = records.len();
    let told = records
        .iter()
        .enumerate()
        .map(|(index, record)| RelayedRecord {
            key: record.key.clone(),
            value: record.value.as_ref().map(|value| value.to_vec()),
            offset: record.offset,
            age_ms: age(if index + 1 == count { last } else { earlier }),
        });
    told.collect()
}
