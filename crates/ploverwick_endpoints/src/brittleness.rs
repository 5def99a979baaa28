//! The services whose endpoints crash if they have to turn many requests away.
//!
//! Endpoints say so in all their answers, but each answer reaches one instance. Instances therefore exchange the latest
//! statement on each service.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use ploverwick_names::Moment;
use serde::{Deserialize, Serialize};

/// How long a statement holds without further answers. A service may get no requests for a while.
const TTL: Duration = Duration::from_secs(30);
/// How long no answer must have said so before one that does not is believed. Answers overtake each other.
const MIN_SILENCE: Duration = Duration::from_secs(3);
/// How long a service counts as settling: requests from before the statement may still be in progress.
const SETTLING_TIME: Duration = Duration::from_secs(5);
/// The longest pause between two requests that an endpoint turns away.
const MAX_PAUSE: Duration = Duration::from_secs(1);
/// The part of the refusals that instances use, as a divisor. Requests that are under way when the first is refused may be
/// refused as well.
const REFUSAL_RESERVE: u32 = 2;

/// What an answer said of its endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Statement {
    /// The endpoint crashes if it turns more requests away in a second.
    Brittle {
        /// The refusals that it bears.
        max_refusals: u32,
    },
    /// The endpoint is not brittle.
    Sound,
}

/// A message from one instance to others about a brittle service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BrittleService {
    /// The service.
    pub service: Arc<str>,
    /// The refusals in a second that its endpoints bear.
    pub max_refusals: u32,
    /// The age of the latest answer that said so, in milliseconds.
    pub age_ms: u32,
}

#[derive(Debug)]
struct Record {
    max_refusals: u32,
    /// When this instance learned of it.
    since: Moment,
    /// When the latest answer that said so was received, on any instance.
    stated_at: Moment,
}

/// The services whose endpoints are brittle.
#[derive(Debug, Default)]
pub struct Brittleness {
    records: HashMap<Arc<str>, Record>,
    /// When an answer showed that the endpoints of a service are no longer brittle. Older messages may still arrive.
    sound_at: HashMap<Arc<str>, Moment>,
}

impl Brittleness {
    /// Records what an answer said of an endpoint of a service; the request was sent at `sent_at`. Returns whether the service
    /// has become brittle.
    pub fn record_answer(
        &mut self,
        service: &Arc<str>,
        statement: Statement,
        sent_at: Moment,
        now: Moment,
    ) -> bool {
        match statement {
            Statement::Brittle { max_refusals } => self.record(service, max_refusals, now, now),
            Statement::Sound => {
                let record = self.records.get(service);
                if record.is_some_and(|record| sent_at > record.stated_at + MIN_SILENCE) {
                    self.records.remove(service);
                    self.sound_at.insert(Arc::clone(service), sent_at);
                }
                false
            }
        }
    }

    /// Applies a message from another instance. Returns whether the service has become brittle.
    pub fn apply(&mut self, message: &BrittleService, now: Moment) -> bool {
        let stated_at = now - Duration::from_millis(message.age_ms.into());
        let sound_at = self.sound_at.get(&message.service);
        if sound_at.is_some_and(|sound_at| stated_at < *sound_at) {
            return false;
        }
        self.record(&message.service, message.max_refusals, stated_at, now)
    }

    fn record(
        &mut self,
        service: &Arc<str>,
        max_refusals: u32,
        stated_at: Moment,
        now: Moment,
    ) -> bool {
        if now.since(stated_at) >= TTL {
            return false;
        }
        let is_new = !self.is_brittle(service, now);
        let record = self.records.entry(Arc::clone(service));
        let record = record.or_insert(Record {
            max_refusals,
            since: now,
            stated_at,
        });
        if is_new {
            record.since = now;
        }
        if stated_at >= record.stated_at {
            record.stated_at = stated_at;
            record.max_refusals = max_refusals;
        }
        is_new
    }

    /// Returns whether the endpoints of a service are brittle, so that no request should have to wait at one.
    pub fn is_brittle(&self, service: &str, now: Moment) -> bool {
        self.current(service, now).is_some()
    }

    /// Returns whether requests from before the statement may still be in progress at the endpoints of a brittle service.
    pub fn is_settling(&self, service: &str, now: Moment) -> bool {
        let record = self.current(service, now);
        record.is_some_and(|record| now.since(record.since) < SETTLING_TIME)
    }

    /// Returns the refusals in a second that the endpoints of a brittle service bear.
    pub fn max_refusals(&self, service: &str, now: Moment) -> Option<u32> {
        self.current(service, now).map(|record| record.max_refusals)
    }

    fn current(&self, service: &str, now: Moment) -> Option<&Record> {
        let record = self.records.get(service);
        record.filter(|record| now.since(record.stated_at) < TTL)
    }

    /// Returns messages on the services on which a statement is at most `max_age` old.
    pub fn messages(&self, max_age: Duration, now: Moment) -> Vec<BrittleService> {
        let records = self.records.iter().filter_map(|(service, record)| {
            let age = now.since(record.stated_at);
            (age < TTL && age <= max_age).then(|| BrittleService {
                service: Arc::clone(service),
                max_refusals: record.max_refusals,
                age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
            })
        });
        records.collect()
    }

    /// Removes expired records.
    pub fn sweep(&mut self, now: Moment) {
        self.records
            .retain(|_, record| now.since(record.stated_at) < TTL);
        self.sound_at
            .retain(|_, sound_at| now.since(*sound_at) < TTL);
    }

    /// Returns whether no service is known to be brittle.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns how long an endpoint that turned a request away gets none from any instance, if it crashes when it turns more
    /// than `max_refusals` away in a second.
    pub fn pause(max_refusals: u32) -> Duration {
        (MAX_PAUSE * REFUSAL_RESERVE / max_refusals.max(1)).min(MAX_PAUSE)
    }
}
