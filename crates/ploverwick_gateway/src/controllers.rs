//! Controllers: each keeps one part of the shared state in step with what it follows.

pub(crate) mod demand;
mod feed;
pub(crate) mod instances;
pub(crate) mod operator;
pub(crate) mod orders;
pub(crate) mod roster;
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
        let longest = if shared.is_caller() {
            LONGEST_RETRY
        } else {
            LONGEST_SPARED
        };
        self.0 = (self.0 * 2).min(longest);
    }
}
