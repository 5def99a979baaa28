//! Splits streams into events.

use bytes::{Bytes, BytesMut};

/// The maximum size of an event in bytes. Events that may be forwarded from another endpoint are held until they end.
const MAX_EVENT_BYTES: usize = 256 * 1_024;

/// Splits a stream into complete events and keeps the identifier of the last one.
#[derive(Debug, Default)]
pub(crate) struct EventSplitter {
    pending: BytesMut,
    last: Option<u64>,
}

impl EventSplitter {
    /// Appends bytes, in which the last event ends at `end`, and returns the complete events so far, if any.
    pub(crate) fn push(&mut self, data: &[u8], end: Option<usize>) -> Option<Bytes> {
        let end = end.map(|end| self.pending.len() + end);
        self.pending.extend_from_slice(data);
        let events = self.pending.split_to(end?).freeze();
        self.last = last_id(&events).or(self.last);
        Some(events)
    }

    /// Returns the identifier of the last complete event.
    pub(crate) fn last(&self) -> Option<u64> {
        self.last
    }

    /// Returns whether the incomplete event is too large.
    pub(crate) fn is_overfull(&self) -> bool {
        self.pending.len() > MAX_EVENT_BYTES
    }

    /// Discards an incomplete event.
    pub(crate) fn discard_partial(&mut self) {
        self.pending.clear();
    }

    /// Returns the remaining bytes at the end of the stream: an event whose last line end is a CR, which no byte follows.
    pub(crate) fn take_rest(&mut self) -> Bytes {
        self.pending.split().freeze()
    }
}

fn last_id(events: &[u8]) -> Option<u64> {
    let mut lines = events.rsplit(|byte| matches!(byte, b'\n' | b'\r'));
    let id = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(id).ok()?.trim().parse().ok()
}
