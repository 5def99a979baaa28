//! Messages that are longer than a datagram, cut into parts and put together again.
//!
//! A part that is lost loses the message, as with a single datagram; whoever waited for it asks again or
//! reads from the store.

use std::collections::VecDeque;
use std::net::IpAddr;

use xxhash_rust::xxh3::xxh3_64;

/// What the first byte of a part is; messages begin with the small number of their kind.
const MARK: u8 = 0xff;
/// The bytes before a part's own: the mark, the message's digest, the part's number and the count.
const HEAD: usize = 7;
/// The longest message, in bytes: some twenty datagrams, which take 10 ms on a link of 20 Mbit/s.
pub const LONGEST: usize = 24 * 1_024;
/// Messages of which parts are kept while others are missing.
const MOST_OPEN: usize = 16;

/// Cuts a message of at most [`LONGEST`] bytes into datagrams of at most `size` bytes.
///
/// # Panics
/// Panics if the message needs more than 255 parts.
pub fn cut(message: &[u8], size: usize) -> Vec<Vec<u8>> {
    let digest = digest(message);
    let chunks = message.chunks(size - HEAD);
    let count = u8::try_from(chunks.len()).expect("the longest message has few parts");
    let parts = chunks.zip(0_u8..).map(|(chunk, index)| {
        let mut part = Vec::with_capacity(HEAD + chunk.len());
        part.push(MARK);
        part.extend_from_slice(&digest.to_be_bytes());
        part.push(index);
        part.push(count);
        part.extend_from_slice(chunk);
        part
    });
    parts.collect()
}

/// Returns the digest by which the parts of a message are told from those of others, also of an earlier life
/// of the sender. Instances compare it, so that it is the low half of XXH3 with 64 bits.
fn digest(message: &[u8]) -> u32 {
    xxh3_64(message) as u32
}

/// Returns whether a datagram is a part of a message.
pub fn is_part(datagram: &[u8]) -> bool {
    datagram.first() == Some(&MARK)
}

/// A message of which some parts are there.
#[derive(Debug)]
struct Open {
    from: IpAddr,
    digest: u32,
    parts: Vec<Option<Vec<u8>>>,
}

/// Puts messages together.
#[derive(Debug, Default)]
pub struct Assembly {
    open: VecDeque<Open>,
}

impl Assembly {
    /// Takes a part in; returns the message once it is whole. What cannot be a part is passed over.
    pub fn take(&mut self, datagram: &[u8], from: IpAddr) -> Option<Vec<u8>> {
        let (head, own) = datagram.split_at_checked(HEAD)?;
        let digest = u32::from_be_bytes(head[1..5].try_into().ok()?);
        let (index, count) = (usize::from(head[5]), usize::from(head[6]));
        if index >= count {
            return None;
        }
        let at = self.find(from, digest, count)?;
        let open = &mut self.open[at];
        open.parts[index] = Some(own.to_vec());
        if open.parts.iter().any(Option::is_none) {
            return None;
        }
        let whole = self.open.remove(at)?;
        let whole: Vec<u8> = whole.parts.into_iter().flatten().flatten().collect();
        (self::digest(&whole) == digest).then_some(whole)
    }

    /// Returns where a message's parts are kept; `None` if an earlier part named another count.
    fn find(&mut self, from: IpAddr, digest: u32, count: usize) -> Option<usize> {
        let is_same = |open: &Open| open.from == from && open.digest == digest;
        if let Some(at) = self.open.iter().position(is_same) {
            return (self.open[at].parts.len() == count).then_some(at);
        }
        if self.open.len() >= MOST_OPEN {
            self.open.pop_front();
        }
        self.open.push_back(Open {
            from,
            digest,
            parts: vec![None; count],
        });
        Some(self.open.len() - 1)
    }
}
