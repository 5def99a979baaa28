//! Bounds what an instance holds in memory for its clients.
//!
//! Clients may send and read slowly. What they have not sent or read completely is held here, and an instance that exceeds
//! its memory limit loses the requests of all clients.

use std::time::Duration;

/// The part of the memory limit that may be held for clients: one in so many. The process itself needs the rest.
const MEMORY_PARTS: u64 = 4;
/// How many clients that do not read leave no room for others.
const MIN_CLIENTS: u64 = 64;
/// How long a refused client waits. Others have read some of what is held for them by then.
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// Whether a request may be held.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It is held.
    Accept,
    /// It is refused before it runs, and may be sent again after this delay.
    Refuse(Duration),
}

/// The bytes that an instance holds for its clients.
#[derive(Debug, Clone)]
pub struct ClientMemory {
    limit: u64,
    client_limit: u64,
    held: u64,
}

impl ClientMemory {
    /// Creates the bounds that follow from the memory limit of the process in bytes.
    pub fn within(memory: u64) -> Self {
        let limit = memory / MEMORY_PARTS;
        Self {
            limit,
            client_limit: limit / MIN_CLIENTS,
            held: 0,
        }
    }

    /// Returns the maximum number of bytes of all clients.
    pub fn limit(&self) -> u64 {
        self.limit
    }

    /// Returns the number of bytes of an answer from which on its client has to read.
    pub fn client_limit(&self) -> u64 {
        self.client_limit
    }

    /// Returns the number of bytes held.
    pub fn held(&self) -> u64 {
        self.held
    }

    /// Holds bytes of a request, if there is room.
    pub fn admit(&mut self, bytes: u64) -> Admission {
        if self.held.saturating_add(bytes) > self.limit {
            return Admission::Refuse(RETRY_AFTER);
        }
        self.held += bytes;
        Admission::Accept
    }

    /// Holds bytes that were read already.
    pub fn hold(&mut self, bytes: u64) {
        self.held += bytes;
    }

    /// Releases bytes.
    pub fn release(&mut self, bytes: u64) {
        self.held = self.held.saturating_sub(bytes);
    }

    /// Returns whether more of an answer may be read, of which `own` bytes are held. An answer of which nothing is held goes
    /// on in any case, so that each answer progresses while its client reads.
    pub fn may_read(&self, own: u64) -> bool {
        own == 0 || (own < self.client_limit && self.held < self.limit)
    }
}
