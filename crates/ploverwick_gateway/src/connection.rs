//! The activity of a client connection.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use ploverwick_names::Moment;

/// Marks a connection with a request in progress.
const BUSY: u64 = u64::MAX;

/// When a connection became idle, or that it is busy.
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

    /// Returns since when the connection has been idle; `None` while a request is in progress.
    pub(crate) fn idle_since(&self) -> Option<Moment> {
        match self.0.load(Ordering::Relaxed) {
            BUSY => None,
            ms => Some(Moment(ms)),
        }
    }
}
