//! A bounded record of events.

use std::borrow::Cow;
use std::collections::VecDeque;
use std::sync::{Arc, Mutex, PoisonError};

use crate::Event;
use crate::clock::{Clock, Stamp};

/// The newest events of a process, up to a fixed number.
#[derive(Debug)]
pub struct Ring {
    events: VecDeque<Event>,
    capacity: usize,
    dropped: u64,
}

impl Ring {
    /// Makes a ring for at most `capacity` events.
    pub fn new(capacity: usize) -> Self {
        Self {
            events: VecDeque::with_capacity(capacity),
            capacity,
            dropped: 0,
        }
    }

    /// Adds an event; the oldest one makes room.
    pub fn push(&mut self, event: Event) {
        if self.events.len() == self.capacity {
            self.events.pop_front();
            self.dropped += 1;
        }
        self.events.push_back(event);
    }

    /// Lists the events stamped after `after`, oldest first.
    pub fn since(&self, after: Stamp) -> impl Iterator<Item = &Event> {
        self.events.iter().filter(move |event| event.stamp > after)
    }

    /// Returns how many events made room for newer ones.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }
}

/// Records the events of one process. Clones share the record.
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
    /// Starts a record for the named process, for at most `capacity` events.
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
        // Stamping under the lock keeps the ring in the order of its stamps.
        event.stamp = self.shared.clock.tick();
        event.process = Cow::Owned(self.shared.process.clone());
        ring.push(event);
    }

    /// Returns the process's hybrid clock.
    pub fn clock(&self) -> &Clock {
        &self.shared.clock
    }

    /// Copies the events stamped after `after`, oldest first.
    pub fn since(&self, after: Stamp) -> Vec<Event> {
        self.lock().since(after).cloned().collect()
    }

    /// Returns how many events made room for newer ones.
    pub fn dropped(&self) -> u64 {
        self.lock().dropped()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Ring> {
        // No code panics while it holds the lock, and a ring is whole after every step.
        self.shared
            .ring
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
