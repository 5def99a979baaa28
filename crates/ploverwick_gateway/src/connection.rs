//! What is known of one connection of a client while it lasts.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use ploverwick_names::Moment;

/// Marks a connection with a request under way.
const BUSY: u64 = u64::MAX;

/// Since when a connection is idle.
#[derive(Debug, Clone)]
pub(crate) struct Activity(Arc<AtomicU64>);

impl Activity {
    pub(crate) fn new(now: Moment) -> Self {
        Self(Arc::new(AtomicU64::new(now.0)))
    }

    pub(crate) fn begin(&self) {
        self.0.store(BUSY, Ordering::Relaxed);
    }

    pub(crate) fn end(&self, now: Moment) {
        self.0.store(now.0, Ordering::Relaxed);
    }

    /// Returns since when the connection is idle; `None` while a request is under way.
    pub(crate) fn idle_since(&self) -> Option<Moment> {
        match self.0.load(Ordering::Relaxed) {
            BUSY => None,
            ms => Some(Moment(ms)),
        }
    }
}
