//! Counts the bytes that this instance holds for its clients.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use bytes::Bytes;
use ploverwick_limits::memory::{Admission, ClientMemory};
use tokio::sync::Notify;

use crate::metrics;

/// The bytes held for clients, if the settings name the memory limit of this instance.
#[derive(Debug)]
pub(crate) struct Memory {
    bound: Option<Mutex<ClientMemory>>,
    /// Wakes answers that wait until others were read.
    released: Notify,
}

impl Memory {
    pub(crate) fn new(limit: Option<u64>) -> Arc<Self> {
        Arc::new(Self {
            bound: limit.map(|limit| Mutex::new(ClientMemory::within(limit))),
            released: Notify::new(),
        })
    }

    fn lock(&self) -> Option<MutexGuard<'_, ClientMemory>> {
        let bound = self.bound.as_ref()?;
        Some(bound.lock().expect("no holder of the lock panics"))
    }

    /// Returns the maximum number of bytes of one answer, if there is one.
    pub(crate) fn client_limit(&self) -> Option<u64> {
        self.lock().map(|bound| bound.client_limit())
    }

    /// Holds bytes of a request.
    ///
    /// # Errors
    /// Returns the delay after which the client may retry if there is no room.
    pub(crate) fn admit(self: &Arc<Self>, bytes: u64) -> Result<Held, Duration> {
        let admission = self
            .lock()
            .map_or(Admission::Accept, |mut bound| bound.admit(bytes));
        match admission {
            Admission::Accept => Ok(Held {
                memory: Arc::clone(self),
                answer: None,
                bytes,
            }),
            Admission::Refuse(delay) => {
                metrics::memory_refused();
                Err(delay)
            }
        }
    }

    /// Holds bytes of an answer that were read already.
    pub(crate) fn hold(self: &Arc<Self>, bytes: u64, answer: &Answer) -> Held {
        if let Some(mut bound) = self.lock() {
            bound.hold(bytes);
        }
        answer.0.fetch_add(bytes, Ordering::Relaxed);
        Held {
            memory: Arc::clone(self),
            answer: Some(answer.clone()),
            bytes,
        }
    }

    /// Returns whether more of an answer may be read.
    pub(crate) fn may_read(&self, answer: &Answer) -> bool {
        let own = answer.0.load(Ordering::Relaxed);
        self.lock().is_none_or(|bound| bound.may_read(own))
    }

    /// Waits until more of an answer may be read.
    pub(crate) async fn wait_to_read(&self, answer: &Answer) {
        loop {
            let released = self.released.notified();
            if self.may_read(answer) {
                return;
            }
            released.await;
        }
    }

    /// Sets the gauges.
    pub(crate) fn report(&self) {
        if let Some(bound) = self.lock() {
            metrics::client_memory(bound.held(), bound.limit());
        }
    }
}

/// The bytes that are held of one answer.
#[derive(Debug, Clone, Default)]
pub(crate) struct Answer(Arc<AtomicU64>);

/// Bytes that are held for a client until this is dropped.
#[derive(Debug)]
pub(crate) struct Held {
    memory: Arc<Memory>,
    answer: Option<Answer>,
    bytes: u64,
}

impl Held {
    /// Adds bytes of the same request.
    ///
    /// # Errors
    /// Returns the delay after which the client may retry if there is no room.
    pub(crate) fn admit(&mut self, bytes: u64) -> Result<(), Duration> {
        let mut more = self.memory.admit(bytes)?;
        self.bytes += std::mem::take(&mut more.bytes);
        Ok(())
    }

    /// Adds bytes of the same answer that were read already.
    pub(crate) fn extend(&mut self, bytes: u64) {
        if let Some(answer) = &self.answer {
            let mut more = self.memory.hold(bytes, answer);
            self.bytes += std::mem::take(&mut more.bytes);
        }
    }

    pub(crate) fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Ties this to the bytes, so that it is dropped with the last reference to them.
    pub(crate) fn attach(self, bytes: Bytes) -> Bytes {
        if self.memory.bound.is_none() {
            return bytes;
        }
        Bytes::from_owner(HeldBytes { bytes, _held: self })
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        if self.bytes == 0 {
            return;
        }
        if let Some(mut bound) = self.memory.lock() {
            bound.release(self.bytes);
        }
        if let Some(Answer(held)) = &self.answer {
            held.fetch_sub(self.bytes, Ordering::Relaxed);
        }
        self.memory.released.notify_waiters();
    }
}

struct HeldBytes {
    bytes: Bytes,
    _held: Held,
}

impl AsRef<[u8]> for HeldBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
