//! Splits a byte stream of server-sent events into complete events.

use bytes::{Bytes, BytesMut};

const SEPARATOR: &[u8] = b"\n\n";
const ID_FIELD: &[u8] = b"id:";

/// The largest event that is buffered, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Complete events, byte for byte as received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Events {
    /// The bytes of the events, including their separators.
    pub bytes: Bytes,
    /// The number of the last event with an `id`; 0 if none has one.
    pub last_id: u64,
}

/// Buffers bytes until they form complete events.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
}

/// The error for an event that exceeds the splitter's buffer limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("an event is larger than {MAX_EVENT_BYTES} bytes")]
pub struct EventTooLarge;

impl Splitter {
    /// Adds bytes and returns all events that are now complete.
    ///
    /// # Errors
    /// Fails if an incomplete event exceeds the size limit.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Option<Events>, EventTooLarge> {
        // A new separator can start at the earliest one byte before the new bytes.
        let searched = self.buffer.len().saturating_sub(SEPARATOR.len() - 1);
        self.buffer.extend_from_slice(bytes);
        let Some(end) = last_separator(&self.buffer[searched..]) else {
            return if self.buffer.len() > MAX_EVENT_BYTES {
                Err(EventTooLarge)
            } else {
                Ok(None)
            };
        };
        let whole = self.buffer.split_to(searched + end).freeze();
        let last_id = last_id(&whole);
        Ok(Some(Events {
            bytes: whole,
            last_id,
        }))
    }

    /// Returns the number of buffered bytes of the incomplete event.
    pub fn pending(&self) -> usize {
        self.buffer.len()
    }
}

/// Returns the end of the last separator.
fn last_separator(bytes: &[u8]) -> Option<usize> {
    let start = bytes
        .windows(SEPARATOR.len())
        .rposition(|window| window == SEPARATOR)?;
    Some(start + SEPARATOR.len())
}

/// Parses the last `id:` line, such as `id: 42`; 0 if there is none.
fn last_id(bytes: &[u8]) -> u64 {
    bytes
        .rsplit(|byte| *byte == b'\n')
        .find_map(|line| line.strip_prefix(ID_FIELD))
        .and_then(|rest| std::str::from_utf8(rest).ok())
        .and_then(|text| text.trim().parse().ok())
        .unwrap_or_default()
}

/// Returns the events starting at the first one whose number is above `number`.
///
/// Example input: `id: 1\ndata: a\n\nid: 2\ndata: b\n\n` with `number` 1 returns the second event.
pub fn events_after(events: &Bytes, number: u64) -> Bytes {
    let mut start = 0;
    while let Some(end) = first_separator(&events[start..]) {
        if last_id(&events[start..start + end]) > number {
            break;
        }
        start += end;
    }
    events.slice(start..)
}

/// Returns the end of the first separator.
fn first_separator(bytes: &[u8]) -> Option<usize> {
    let mut windows = bytes.windows(SEPARATOR.len());
    let start = windows.position(|window| window == SEPARATOR)?;
    Some(start + SEPARATOR.len())
}
