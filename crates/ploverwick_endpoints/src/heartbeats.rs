//! Which heartbeat of an endpoint is its newest, and whether the endpoint left after it.
//!
//! A heartbeat may arrive after a newer one, and after its endpoint was taken off the list. It then
//! proves nothing. What tells it apart is the order in which the topic holds the records, so that a
//! process that starts reads the last of them before it believes the newest one.

use std::collections::HashMap;
use std::sync::Arc;

/// A heartbeat: the start of the endpoint's process, and the number of the heartbeat since.
///
/// An endpoint that starts again counts anew, so that the start decides first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct Heartbeat {
    /// When the process started, in milliseconds of Unix time; 0 if it does not say.
    pub born: u64,
    /// The number since then.
    pub number: u64,
}

#[derive(Debug, Clone, Copy)]
struct Newest {
    heartbeat: Heartbeat,
    has_left: bool,
}

/// The newest heartbeat of each endpoint, those that left included.
#[derive(Debug, Default)]
pub struct Heartbeats {
    newest: HashMap<Arc<str>, Newest>,
}

impl Heartbeats {
    /// Takes in a heartbeat, and returns whether it says what its endpoint is now.
    ///
    /// One that came late does not: a newer one was there before it, or its endpoint left after it.
    /// `is_listed` says whether the endpoint is known from another source; if it is not, an older
    /// heartbeat of one that has not left is better than none.
    pub fn heard(&mut self, endpoint: &Arc<str>, heartbeat: Heartbeat, is_listed: bool) -> bool {
        let newest = self.newest.entry(Arc::clone(endpoint)).or_insert(Newest {
            heartbeat,
            has_left: false,
        });
        if heartbeat > newest.heartbeat {
            *newest = Newest {
                heartbeat,
                has_left: false,
            };
        }
        if newest.has_left || heartbeat.born < newest.heartbeat.born {
            return false;
        }
        heartbeat == newest.heartbeat || !is_listed
    }

    /// Takes in that an endpoint was taken off the list.
    pub fn left(&mut self, endpoint: &str) {
        if let Some(newest) = self.newest.get_mut(endpoint) {
            newest.has_left = true;
        }
    }
}
