//! Bounded in-memory storage of events.

use std::borrow::Cow;
use std::collections::VecDeque;
use std::sync::{Arc, Mutex, PoisonError};

use crate::Event;
use crate::clock::{Clock, Stamp};

/// A ring buffer of a process's newest events.
#[derive(Debug)]
pub struct Ring {
    events: VecDeque<Event>,
    capacity: usize,
    dropped: u64,
}

impl Ring {
    /// Creates a ring buffer for up to `capacity` events.
    pub fn new(capacity: usize) -> Self {
        Self {
            events: VecDeque::with_capacity(capacity),
            capacity,
            dropped: 0,
        }
    }

    /// Adds an event, dropping the oldest one if the buffer is full.
    pub fn push(&mut self, event: Event) {
        if self.events.len() == self.capacity {
            self.events.pop_front();
            self.dropped += 1;
        }
        self.events.push_back(event);
    }

    /// Returns the events stamped after `after`, oldest first.
    pub fn since(&self, after: Stamp) -> impl Iterator<Item = &Event> {
        self.events.iter().filter(move |event| event.stamp > after)
    }

    /// Returns the number of events dropped for newer ones.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }
}

/// Records the events of one process. Clones share the ring buffer and the clock.
#[derive(Debug, Clone)]
pub struct Recorder {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    process: String,
    clock: Clock,
    ring: Mutex<Ring>,
}

impl Recorder {
    /// Creates a recorder for the named process that keeps up to `capacity` events.
    pub fn new(process: &str, capacity: usize) -> Self {
        Self {
            shared: Arc::new(Shared {
                process: process.to_owned(),
                clock: Clock::default(),
                ring: Mutex::new(Ring::new(capacity)),
            }),
        }
    }

    /// Stamps and records an event.
    pub fn record(&self, mut event: Event) {
        let mut ring = self.lock();
        // Stamping under the lock keeps the events in the order of their stamps.
        event.stamp = self.shared.clock.tick();
        event.process = Cow::Owned(self.shared.process.clone());
        ring.push(event);
    }

    /// Returns the process's hybrid logical clock.
    pub fn clock(&self) -> &Clock {
        &self.shared.clock
    }

    /// Returns copies of the events stamped after `after`, oldest first.
    pub fn since(&self, after: Stamp) -> Vec<Event> {
        self.lock().since(after).cloned().collect()
    }

    /// Returns the number of events dropped for newer ones.
    pub fn dropped(&self) -> u64 {
        self.lock().dropped()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Ring> {
        // A poisoned lock is safe to use: no code panics while holding it, and the ring is
        // consistent after every operation.
        self.shared
            .ring
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
