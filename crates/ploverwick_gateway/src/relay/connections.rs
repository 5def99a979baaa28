//! The number of connections that an instance relays, and its limit.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// The maximum number of connections relayed at a time. With two buffers of 8 KiB each they take 2 MiB, and with two
/// sockets each a fifth of the descriptors reserved for other uses than client connections.
const MAX_CONNECTIONS: usize = 128;

/// The number of connections that this instance relays.
#[derive(Debug, Default)]
pub(crate) struct RelayedConnections(AtomicUsize);

impl RelayedConnections {
    pub(crate) fn count(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }

    /// Reserves a connection; `None` if the maximum is reached.
    pub(super) fn reserve(self: &Arc<Self>) -> Option<Reservation> {
        let reserved = self
            .0
            .try_update(Ordering::Relaxed, Ordering::Relaxed, |count| {
                (count < MAX_CONNECTIONS).then_some(count + 1)
            });
        reserved.ok().map(|_| Reservation(Arc::clone(self)))
    }
}

/// Counts a relayed connection until it is dropped.
pub(super) struct Reservation(Arc<RelayedConnections>);

impl Drop for Reservation {
    fn drop(&mut self) {
        self.0.0.fetch_sub(1, Ordering::Relaxed);
    }
}
