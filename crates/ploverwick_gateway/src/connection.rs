//! The activity of a client connection.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use ploverwick_names::Moment;

/// Marks a connection with a request in progress.
const BUSY: u64 = u64::MAX;

/// Marks a connection without bytes that its client has to read by a deadline.
const READ: u64 = u64::MAX;

/// Whether a connection has brought a request, when it became idle, or that it is busy, by when its client has to read, and
/// whether a request body was left unread on it.
#[derive(Debug, Clone)]
pub(crate) struct Activity(Arc<State>);

#[derive(Debug)]
struct State {
    has_begun: AtomicBool,
    idle_since: AtomicU64,
    read_deadline: AtomicU64,
    has_unread_body: AtomicBool,
}

impl Activity {
    pub(crate) fn new(now: Moment) -> Self {
        Self(Arc::new(State {
            has_begun: AtomicBool::new(false),
            idle_since: AtomicU64::new(now.0),
            read_deadline: AtomicU64::new(READ),
            has_unread_body: AtomicBool::new(false),
        }))
    }

    pub(crate) fn begin(&self) {
        self.0.has_begun.store(true, Ordering::Relaxed);
        self.0.idle_since.store(BUSY, Ordering::Relaxed);
    }

    /// Returns whether the head of a request has been read.
    pub(crate) fn has_begun(&self) -> bool {
        self.0.has_begun.load(Ordering::Relaxed)
    }

    pub(crate) fn end(&self, now: Moment) {
        self.set_read();
        self.0.idle_since.store(now.0, Ordering::Relaxed);
    }

    /// Records that bytes were handed over, which the client has to read by `deadline`.
    pub(crate) fn set_unread(&self, deadline: Moment) {
        self.0.read_deadline.store(deadline.0, Ordering::Relaxed);
    }

    /// Records that the client has read what was handed over, except for what the connection buffers.
    pub(crate) fn set_read(&self) {
        self.0.read_deadline.store(READ, Ordering::Relaxed);
    }

    /// Returns whether the client has not read in time.
    pub(crate) fn is_read_overdue(&self, now: Moment) -> bool {
        now.0 > self.0.read_deadline.load(Ordering::Relaxed)
    }

    /// Returns since when the connection has been idle; `None` while a request is in progress.
    pub(crate) fn idle_since(&self) -> Option<Moment> {
        match self.0.idle_since.load(Ordering::Relaxed) {
            BUSY => None,
            ms => Some(Moment(ms)),
        }
    }

    pub(crate) fn set_unread_body(&self, is_unread: bool) {
        self.0.has_unread_body.store(is_unread, Ordering::Relaxed);
    }

    pub(crate) fn has_unread_body(&self) -> bool {
        self.0.has_unread_body.load(Ordering::Relaxed)
    }
}
