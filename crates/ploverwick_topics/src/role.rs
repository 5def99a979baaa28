//! Selects the instances of a failure domain that read a topic for the others.

use std::cmp::Reverse;

use serde::{Deserialize, Serialize};

/// The number of instances per failure domain that read a topic. With two, each continues if the other fails,
/// and relays the records that the other misses.
const READERS_PER_DOMAIN: usize = 2;
/// The maximum number of failing readers that are replaced. In an outage of the whole store every instance
/// fails, and each replacement would only add calls.
const MAX_REPLACED_READERS: usize = 2;

/// Whether an instance reads a topic, as it reports to its peers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub enum Reading {
    /// It does not read and relies on other instances.
    #[default]
    Rests,
    /// It reads, and the last read succeeded.
    Reads,
    /// Its last read failed.
    Fails,
}

/// The key by which instances rank each other: by descending CPU capacity, because reading and relaying
/// for others costs CPU time, then by name.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate<'a> {
    /// The CPU capacity in thousandths of a core.
    pub capacity: u32,
    /// The instance's name.
    pub name: &'a str,
}

impl Candidate<'_> {
    /// Returns whether this candidate ranks before `other`.
    pub fn precedes(self, other: Candidate<'_>) -> bool {
        (Reverse(self.capacity), self.name) < (Reverse(other.capacity), other.name)
    }
}

/// Another instance of the same failure domain that sent a message recently.
#[derive(Debug, Clone, Copy)]
pub struct Peer<'a> {
    /// Its ranking key.
    pub candidate: Candidate<'a>,
    /// Whether it reads the topic.
    pub reading: Reading,
}

/// The role of an instance in its failure domain for one topic.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// This instance reads for the others.
    Reader,
    /// Another instance reads for this one.
    Follower,
    /// Other instances should read, but none of them reports that it does.
    NoReader,
}

/// Returns the role of this instance. The highest-ranked instances read; the next in rank replaces one that
/// fails.
pub fn role<'a>(own: Candidate<'_>, peers: impl Iterator<Item = Peer<'a>>) -> Role {
    let (mut preceding, mut failing, mut has_reader) = (0, 0, false);
    for peer in peers {
        let comes_first = peer.candidate.precedes(own);
        match peer.reading {
            Reading::Fails => failing += usize::from(comes_first),
            Reading::Reads | Reading::Rests => preceding += usize::from(comes_first),
        }
        has_reader |= peer.reading == Reading::Reads;
    }
    if preceding + failing.saturating_sub(MAX_REPLACED_READERS) < READERS_PER_DOMAIN {
        Role::Reader
    } else if has_reader {
        Role::Follower
    } else {
        Role::NoReader
    }
}
