//! Messages with the load of all instances at the endpoints of a failure domain.
//!
//! Each instance receives the totals of every domain several times a second, so their size determines what an
//! instance receives in a large fleet. Endpoints are identified by numbers, loads are rounded, and a load is sent
//! again only when it changed noticeably or its last message is about to expire.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use ploverwick_names::Moment;
use serde::{Deserialize, Serialize};

use crate::numbering::{self, Numbered, Numbering};
use crate::{Load, LogByte};

/// The unit of unread tokens in messages. Reading this many takes an endpoint a few milliseconds.
const TOKENS_PER_UNIT: u32 = 128;
/// The unit of the tokens in memory.
const MIN_HELD_TOKENS: f64 = 100.0;
/// The change of the number of requests that is sent. A few more or less do not change the choice of an endpoint
/// that processes dozens.
const MIN_CHANGED_REQUESTS: u32 = 3;
/// The change of the unread tokens that is sent, in units. A shorter queue is read before the next message.
const MIN_CHANGED_UNITS: u32 = 16;
/// The age after which a received load expires. By then a lost placer has been replaced, and the next one sends
/// its own totals.
pub(crate) const MAX_AGE: Duration = Duration::from_secs(4);
/// The age at which an unchanged load is sent again. It is below half of [`MAX_AGE`], so that one message may be
/// lost.
const REFRESH_AGE: Duration = Duration::from_millis(1_700);
/// The maximum number of loads in one message, which then fits into a datagram.
const MAX_LOADS_PER_MESSAGE: usize = 200;

/// A rounded load.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
struct RoundedLoad {
    requests: u32,
    unread_units: u32,
    held: LogByte,
}

impl From<Load> for RoundedLoad {
    fn from(load: Load) -> Self {
        Self {
            requests: load.requests,
            unread_units: load.unread_tokens.div_ceil(TOKENS_PER_UNIT),
            held: LogByte::round(load.held_tokens.into(), MIN_HELD_TOKENS),
        }
    }
}

impl From<RoundedLoad> for Load {
    fn from(rounded: RoundedLoad) -> Self {
        Self {
            requests: rounded.requests,
            unread_tokens: rounded.unread_units.saturating_mul(TOKENS_PER_UNIT),
            held_tokens: rounded.held.value(MIN_HELD_TOKENS) as u32,
        }
    }
}

/// A message with loads of endpoints of one failure domain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The failure domain.
    pub domain: Arc<str>,
    /// The checksum of the numbering that the loads refer to.
    checksum: u32,
    loads: Vec<Numbered<RoundedLoad>>,
}

impl Message {
    /// Returns the loads by endpoint, or none if the receiver numbers the endpoints of the domain differently.
    pub fn loads(&self, numbering: &Numbering) -> Vec<(Arc<str>, Load)> {
        if numbering.checksum() != self.checksum {
            return Vec::new();
        }
        let loads = numbering.resolve(&self.loads);
        loads
            .map(|(endpoint, rounded)| (Arc::clone(endpoint), rounded.into()))
            .collect()
    }
}

/// What was last sent about an endpoint.
#[derive(Debug, Clone, Copy)]
struct Sent {
    load: RoundedLoad,
    at: Moment,
}

impl Sent {
    /// Returns whether a load has to be sent.
    fn is_outdated(&self, load: RoundedLoad, now: Moment) -> bool {
        let idle = RoundedLoad::default();
        if load == idle || self.load == idle {
            return load != self.load;
        }
        self.load.requests.abs_diff(load.requests) >= MIN_CHANGED_REQUESTS
            || self.load.unread_units.abs_diff(load.unread_units) >= MIN_CHANGED_UNITS
            || now.since(self.at) >= REFRESH_AGE
    }
}

/// Decides which loads of a domain are sent to one group of receivers.
#[derive(Debug, Default)]
pub struct Sender {
    sent: HashMap<Arc<str>, Sent>,
}

impl Sender {
    /// Returns the messages to send now.
    pub fn next_messages(
        &mut self,
        domain: &Arc<str>,
        numbering: &Numbering,
        load_of: impl Fn(&str) -> Load,
        now: Moment,
    ) -> Vec<Message> {
        let mut before = std::mem::take(&mut self.sent);
        let mut due = Vec::new();
        for (number, endpoint) in numbering.endpoints().iter().enumerate() {
            let load = RoundedLoad::from(load_of(endpoint));
            let mut sent = before.remove(endpoint).unwrap_or(Sent {
                load: RoundedLoad::default(),
                at: now,
            });
            if sent.is_outdated(load, now) {
                sent = Sent { load, at: now };
                due.push((number, load));
            }
            self.sent.insert(Arc::clone(endpoint), sent);
        }
        let messages = due.chunks(MAX_LOADS_PER_MESSAGE).map(|due| Message {
            domain: Arc::clone(domain),
            checksum: numbering.checksum(),
            loads: numbering::encode(due),
        });
        messages.collect()
    }
}
