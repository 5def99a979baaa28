//! Tracks the latest heartbeat of each endpoint and whether the endpoint has left since.
//!
//! A heartbeat may arrive after a newer one, or after its endpoint was removed from the list, and must then
//! be ignored. The order of the records in the topic shows which heartbeats are outdated, so a process reads
//! the most recent records of the topic at its start before it trusts the latest heartbeat.

use std::collections::HashMap;
use std::sync::Arc;

/// Identifies a heartbeat by the start time of the endpoint's process and its sequence number.
///
/// Sequence numbers restart with the process, so the start time is compared first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct Heartbeat {
    /// The start time of the process, in Unix milliseconds; 0 if not reported.
    pub born: u64,
    /// The sequence number within this process.
    pub number: u64,
}

#[derive(Debug, Clone, Copy)]
struct Latest {
    heartbeat: Heartbeat,
    has_departed: bool,
}

/// The latest heartbeat of each endpoint, including endpoints that have left.
#[derive(Debug, Default)]
pub struct Heartbeats {
    latest: HashMap<Arc<str>, Latest>,
}

impl Heartbeats {
    /// Records a heartbeat and returns whether it describes the current state of its endpoint.
    ///
    /// An outdated heartbeat does not: a newer one was recorded before it, or its endpoint has left since.
    /// `is_listed` is whether the endpoint is already known from another source. If it is not, an older
    /// heartbeat of the same process is accepted unless the endpoint has left.
    pub fn record(&mut self, endpoint: &Arc<str>, heartbeat: Heartbeat, is_listed: bool) -> bool {
        let latest = self.latest.entry(Arc::clone(endpoint)).or_insert(Latest {
            heartbeat,
            has_departed: false,
        });
        if heartbeat > latest.heartbeat {
            *latest = Latest {
                heartbeat,
                has_departed: false,
            };
        }
        if latest.has_departed || heartbeat.born < latest.heartbeat.born {
            return false;
        }
        heartbeat == latest.heartbeat || !is_listed
    }

    /// Records that an endpoint was removed from the list.
    pub fn record_departure(&mut self, endpoint: &str) {
        if let Some(latest) = self.latest.get_mut(endpoint) {
            latest.has_departed = true;
        }
    }
}
