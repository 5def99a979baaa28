//! Bounds the informational answers (1xx) that may precede an answer.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use hyper::Request;

/// The maximum number of informational answers to one request.
const MAX_ANSWERS: u32 = 16;

/// The number of informational answers to the request in progress on a connection.
#[derive(Debug, Clone, Default)]
pub(crate) struct Counter(Arc<AtomicU32>);

impl Counter {
    /// Counts the informational answers to a request, from 0.
    pub(crate) fn watch<B>(&self, request: &mut Request<B>) {
        self.0.store(0, Ordering::Relaxed);
        let count = Arc::clone(&self.0);
        hyper::ext::on_informational(request, move |_| {
            count.fetch_add(1, Ordering::Relaxed);
        });
    }

    /// Checks that more may follow.
    ///
    /// # Errors
    /// Fails if there were too many.
    pub(crate) fn check(&self) -> io::Result<()> {
        if self.0.load(Ordering::Relaxed) > MAX_ANSWERS {
            return Err(io::Error::other("too many informational answers"));
        }
        Ok(())
    }
}
