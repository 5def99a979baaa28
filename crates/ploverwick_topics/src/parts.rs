//! Splits messages that are longer than a datagram into parts and reassembles them.
//!
//! The loss of one part loses the whole message, like the loss of a single datagram. The receiver recovers
//! by asking again or reading from the store.

use std::collections::VecDeque;
use std::net::IpAddr;

use xxhash_rust::xxh3::xxh3_64;

/// The first byte of a part. A whole message starts with the number of its kind, which is small.
const PART_MARKER: u8 = 0xff;
/// The length of a part's header: marker, digest of the message, index of the part and number of parts.
const HEADER_BYTES: usize = 7;
/// The maximum length of a message: about twenty datagrams, which take 10 ms on a link of 20 Mbit/s.
pub const MAX_MESSAGE_BYTES: usize = 24 * 1_024;
/// The maximum number of incomplete messages that are kept; the oldest is evicted first.
const MAX_PARTIAL_MESSAGES: usize = 16;

/// Splits a message of at most [`MAX_MESSAGE_BYTES`] bytes into datagrams of at most `size` bytes.
///
/// # Panics
/// Panics if the message needs more than 255 parts.
pub fn split(message: &[u8], size: usize) -> Vec<Vec<u8>> {
    let digest = digest(message);
    let chunks = message.chunks(size - HEADER_BYTES);
    let count = u8::try_from(chunks.len()).expect("the message has at most 255 parts");
    let parts = chunks.zip(0_u8..).map(|(chunk, index)| {
        let mut part = Vec::with_capacity(HEADER_BYTES + chunk.len());
        part.push(PART_MARKER);
        part.extend_from_slice(&digest.to_be_bytes());
        part.push(index);
        part.push(count);
        part.extend_from_slice(chunk);
        part
    });
    parts.collect()
}

/// Returns the digest that identifies the parts of a message, also across restarts of the sender. Instances
/// must agree on it: it is the low half of the 64-bit XXH3 hash.
fn digest(message: &[u8]) -> u32 {
    xxh3_64(message) as u32
}

/// Returns whether a datagram is a part of a longer message.
pub fn is_part(datagram: &[u8]) -> bool {
    datagram.first() == Some(&PART_MARKER)
}

/// A message of which some parts have arrived.
#[derive(Debug)]
struct PartialMessage {
    from: IpAddr,
    digest: u32,
    parts: Vec<Option<Vec<u8>>>,
}

/// Reassembles messages from their parts.
#[derive(Debug, Default)]
pub struct Reassembler {
    partial: VecDeque<PartialMessage>,
}

impl Reassembler {
    /// Adds a part and returns the message once it is complete. Malformed parts are ignored.
    pub fn add_part(&mut self, datagram: &[u8], from: IpAddr) -> Option<Vec<u8>> {
        let (header, payload) = datagram.split_at_checked(HEADER_BYTES)?;
        let digest = u32::from_be_bytes(header[1..5].try_into().ok()?);
        let (index, count) = (usize::from(header[5]), usize::from(header[6]));
        if index >= count {
            return None;
        }
        let at = self.find_or_insert(from, digest, count)?;
        let partial = &mut self.partial[at];
        partial.parts[index] = Some(payload.to_vec());
        if partial.parts.iter().any(Option::is_none) {
            return None;
        }
        let whole = self.partial.remove(at)?;
        let whole: Vec<u8> = whole.parts.into_iter().flatten().flatten().collect();
        (self::digest(&whole) == digest).then_some(whole)
    }

    /// Returns the index of the message that a part belongs to, adding the message if it is new. Returns
    /// `None` if an earlier part stated a different number of parts.
    fn find_or_insert(&mut self, from: IpAddr, digest: u32, count: usize) -> Option<usize> {
        let is_same = |partial: &PartialMessage| partial.from == from && partial.digest == digest;
        if let Some(at) = self.partial.iter().position(is_same) {
            return (self.partial[at].parts.len() == count).then_some(at);
        }
        if self.partial.len() >= MAX_PARTIAL_MESSAGES {
            self.partial.pop_front();
        }
        self.partial.push_back(PartialMessage {
            from,
            digest,
            parts: vec![None; count],
        });
        Some(self.partial.len() - 1)
    }
}
