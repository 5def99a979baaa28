//! Selects the instances that share what an endpoint accepts from all of them together.
//!
//! Each instance selects by itself. An instance that is silent has probably ended, and the others take over its share. But an
//! instance that receives messages from few others may be partitioned from them, and they may still use theirs.

use std::time::Duration;

/// The number of missing messages after which an instance counts as silent.
const MISSING_MESSAGES: u32 = 4;
/// The shortest silence after which an instance counts as silent.
const MIN_SILENCE: Duration = Duration::from_millis(2_500);
/// How long an instance that receives messages from few others assumes that it is partitioned. Partitions last some seconds.
const MAX_PARTITION: Duration = Duration::from_secs(10);

/// Another instance of the failure domain.
#[derive(Debug, Clone, Copy)]
pub struct Peer<'a> {
    /// Its name.
    pub name: &'a str,
    /// The time since its last message.
    pub silence: Duration,
}

/// Returns the names of the other instances of a failure domain that have a share, out of those that are listed. Each of them
/// sends a message every `interval`.
pub fn select<'a>(listed: &[Peer<'a>], interval: Duration) -> Vec<&'a str> {
    let max_silence = interval.saturating_mul(MISSING_MESSAGES).max(MIN_SILENCE);
    let heard = listed.iter().filter(|peer| peer.silence <= max_silence);
    let is_majority = 2 * (heard.count() + 1) > listed.len() + 1;
    let limit = if is_majority {
        max_silence
    } else {
        MAX_PARTITION.max(max_silence)
    };
    let sharing = listed.iter().filter(|peer| peer.silence <= limit);
    sharing.map(|peer| peer.name).collect()
}
