//! Controllers: background tasks and message handlers that keep the shared state up to date, each for one
//! part of it.

mod bootstrap;

pub(crate) mod brittleness;
pub(crate) mod build_registry;
mod calls;
pub(crate) mod crashes;
pub(crate) mod draining;
pub(crate) mod ejections;
pub(crate) mod endpoint_list;
mod feed;
pub(crate) mod freshness;
pub(crate) mod instances;
pub(crate) mod limits;
pub(crate) mod load_requests;
pub(crate) mod operator;
mod order_connections;
pub(crate) mod orders;
pub(crate) mod origins;
pub(crate) mod pauses;
pub(crate) mod placer_lease;
pub(crate) mod quarantine;
pub(crate) mod quotas;
pub(crate) mod reachability;
pub(crate) mod relays;
pub(crate) mod slots;
pub(crate) mod table;
mod topic;

use std::time::Duration;

use crate::shared::Shared;

/// The delay before the first retry of a failed call to the store.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(150);
/// The maximum delay between retries. Each call is charged for, even one that fails.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(600);
/// The same for an instance whose peers call the store for it and relay what they read. It is below the 3 s
/// within which the platform counts on an instance again after an outage.
const MAX_FOLLOWER_RETRY_DELAY: Duration = Duration::from_millis(2_400);

/// How long a topic waits for the probe topic to find that the store is available again before it calls the
/// store itself, because the probe topic alone may be unreadable. An instance for which others call the store
/// waits twice as long.
const PROBE_TIMEOUT: Duration = Duration::from_millis(2_400);

/// Waits until a call for another topic succeeds or the timeout expires.
async fn wait_for_store(shared: &Shared) {
    let timeout = if shared.polls_store() {
        PROBE_TIMEOUT
    } else {
        PROBE_TIMEOUT * 2
    };
    let mut store_unavailable = shared.store_unavailable.subscribe();
    // The sender lives as long as the process, and a timeout is an expected outcome.
    drop(
        tokio::time::timeout(
            timeout,
            store_unavailable.wait_for(|is_unavailable| !is_unavailable),
        )
        .await,
    );
}

/// Exponential backoff between failing calls to the store.
#[derive(Debug)]
struct Backoff(Duration);

impl Backoff {
    fn new() -> Self {
        Self(MIN_RETRY_DELAY)
    }

    fn reset(&mut self) {
        self.0 = MIN_RETRY_DELAY;
    }

    async fn pause(&mut self, shared: &Shared) {
        tokio::time::sleep(self.0).await;
        let max_delay = if shared.polls_store() {
            MAX_RETRY_DELAY
        } else {
            MAX_FOLLOWER_RETRY_DELAY
        };
        self.0 = (self.0 * 2).min(max_delay);
    }
}
