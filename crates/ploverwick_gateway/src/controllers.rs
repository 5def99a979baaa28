//! Controllers: each keeps one part of the shared state in step with what it follows.

pub(crate) mod crashes;
pub(crate) mod demand;
pub(crate) mod draining;
mod feed;
pub(crate) mod freshness;
pub(crate) mod instances;
pub(crate) mod limits;
pub(crate) mod operator;
pub(crate) mod orders;
pub(crate) mod pauses;
pub(crate) mod quarantine;
pub(crate) mod quotas;
pub(crate) mod roster;
mod starting;
pub(crate) mod table;
pub(crate) mod tenure;
mod topic;

use std::time::Duration;

use crate::shared::Shared;

/// The pause after a call to the store that failed.
const RETRY: Duration = Duration::from_millis(150);
/// The longest such pause; calls are priced, also those that fail.
const LONGEST_RETRY: Duration = Duration::from_millis(600);
/// The longest such pause of an instance whose peers call for it: what they learn they tell. It is
/// below the 3 s within which the platform counts on an instance again after an outage.
const LONGEST_SPARED: Duration = Duration::from_millis(2_400);

/// How long a topic waits for another one to find that the store is back, before it asks by itself: one of
/// them may be unreadable alone. An instance that others call for waits twice as long.
const OTHERS: Duration = Duration::from_millis(2_400);

/// Waits until a call of another topic works again, or it is time to ask by itself.
async fn until_back(shared: &Shared) {
    let longest = if shared.polls_store() {
        OTHERS
    } else {
        OTHERS * 2
    };
    let mut away = shared.store_unavailable.subscribe();
    // The sender lives as long as the process; a wait that ends by its time is what is meant to happen.
    drop(tokio::time::timeout(longest, away.wait_for(|is_away| !is_away)).await);
}

/// Pauses between calls that fail, longer each time.
#[derive(Debug)]
struct Backoff(Duration);

impl Backoff {
    fn new() -> Self {
        Self(RETRY)
    }

    fn reset(&mut self) {
        self.0 = RETRY;
    }

    async fn pause(&mut self, shared: &Shared) {
        tokio::time::sleep(self.0).await;
        let longest = if shared.polls_store() {
            LONGEST_RETRY
        } else {
            LONGEST_SPARED
        };
        self.0 = (self.0 * 2).min(longest);
    }
}
