//! The activity of a client connection.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use ploverwick_names::Moment;

/// Marks a connection with a request in progress.
const BUSY: u64 = u64::MAX;

/// When a connection became idle, or that it is busy, and whether a request body was left unread on it.
#[derive(Debug, Clone)]
pub(crate) struct Activity {
    idle_since: Arc<AtomicU64>,
    has_unread_body: Arc<AtomicBool>,
}

impl Activity {
    pub(crate) fn new(now: Moment) -> Self {
        Self {
            idle_since: Arc::new(AtomicU64::new(now.0)),
            has_unread_body: Arc::default(),
        }
    }

    pub(crate) fn begin(&self) {
        self.idle_since.store(BUSY, Ordering::Relaxed);
    }

    pub(crate) fn end(&self, now: Moment) {
        self.idle_since.store(now.0, Ordering::Relaxed);
    }

    /// Returns since when the connection has been idle; `None` while a request is in progress.
    pub(crate) fn idle_since(&self) -> Option<Moment> {
        match self.idle_since.load(Ordering::Relaxed) {
            BUSY => None,
            ms => Some(Moment(ms)),
        }
    }

    pub(crate) fn set_unread_body(&self, is_unread: bool) {
        self.has_unread_body.store(is_unread, Ordering::Relaxed);
    }

    pub(crate) fn has_unread_body(&self) -> bool {
        self.has_unread_body.load(Ordering::Relaxed)
    }
}
