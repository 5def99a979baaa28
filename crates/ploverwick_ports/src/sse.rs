//! Splits a stream of server-sent events into whole events.

use bytes::{Bytes, BytesMut};

const SEPARATOR: &[u8] = b"\n\n";
const ID_FIELD: &[u8] = b"id:";

/// The largest event that is waited for, in bytes.
const MAX_EVENT: usize = 1 << 20;

/// Whole events, as they came.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Events {
    /// The bytes of the events, with their separators.
    pub bytes: Bytes,
    /// The number of the last event that had one; 0 if none had.
    pub last: u64,
}

/// Collects bytes until they hold whole events.
#[derive(Debug, Default)]
pub struct Splitter {
    held: BytesMut,
}

/// Says that an event is larger than the splitter holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("an event is larger than {MAX_EVENT} bytes")]
pub struct EventTooLarge;

impl Splitter {
    /// Adds bytes and takes out all whole events.
    ///
    /// # Errors
    /// Fails if an event grows too large.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Option<Events>, EventTooLarge> {
        // Only the new bytes, and the one before them, can end an event.
        let searched = self.held.len().saturating_sub(SEPARATOR.len() - 1);
        self.held.extend_from_slice(bytes);
        let Some(end) = last_separator(&self.held[searched..]) else {
            return if self.held.len() > MAX_EVENT {
                Err(EventTooLarge)
            } else {
                Ok(None)
            };
        };
        let whole = self.held.split_to(searched + end).freeze();
        let last = last_id(&whole);
        Ok(Some(Events { bytes: whole, last }))
    }

    /// Returns how many bytes wait for the end of their event.
    pub fn pending(&self) -> usize {
        self.held.len()
    }
}

/// Finds the end of the last separator.
fn last_separator(bytes: &[u8]) -> Option<usize> {
    let start = bytes
        .windows(SEPARATOR.len())
        .rposition(|window| window == SEPARATOR)?;
    Some(start + SEPARATOR.len())
}

/// Reads the last `id:` line, such as `id: 42`.
fn last_id(bytes: &[u8]) -> u64 {
    bytes
        .rsplit(|byte| *byte == b'\n')
        .find_map(|line| line.strip_prefix(ID_FIELD))
        .and_then(|rest| std::str::from_utf8(rest).ok())
        .and_then(|text| text.trim().parse().ok())
        .unwrap_or_default()
}

/// Returns the events whose number is above `number`.
///
/// Example input: `id: 1\ndata: a\n\nid: 2\ndata: b\n\n` with 1 gives the second event.
pub fn after(events: &Bytes, number: u64) -> Bytes {
    let mut start = 0;
    while let Some(end) = first_separator(&events[start..]) {
        if last_id(&events[start..start + end]) > number {
            break;
        }
        start += end;
    }
    events.slice(start..)
}

/// Finds the end of the first separator.
fn first_separator(bytes: &[u8]) -> Option<usize> {
    let mut windows = bytes.windows(SEPARATOR.len());
    let start = windows.position(|window| window == SEPARATOR)?;
    Some(start + SEPARATOR.len())
}
