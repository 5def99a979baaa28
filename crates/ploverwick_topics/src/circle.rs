//! Who reads a topic for its failure domain.

use std::cmp::Reverse;

use serde::{Deserialize, Serialize};

/// The instances of a failure domain that read each topic: one goes on when the other one dies, and what
/// one misses the other one tells.
const READERS: usize = 2;
/// The instances that cannot read and whose part others take. In an outage of the whole store all of them
/// fail, and those that take over would only add calls.
const MOST_REPLACED: usize = 2;

/// What an instance does about a topic.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub enum Reading {
    /// It relies on others.
    #[default]
    Rests,
    /// It reads, and the last read went well.
    Reads,
    /// Its last read failed.
    Fails,
}

/// What instances go by when they agree who comes first: whoever has more of a processor, since reading and
/// telling for others takes it, and then the first by name.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Place<'a> {
    /// The part of a processor, in thousandths of a core.
    pub capacity: u32,
    /// The instance's name.
    pub name: &'a str,
}

impl Place<'_> {
    /// Returns whether it comes before another one.
    pub fn precedes(self, other: Place<'_>) -> bool {
        (Reverse(self.capacity), self.name) < (Reverse(other.capacity), other.name)
    }
}

/// Another instance of the failure domain that was heard lately.
#[derive(Debug, Clone, Copy)]
pub struct Peer<'a> {
    /// Its place.
    pub place: Place<'a>,
    /// What it does about the topic.
    pub reading: Reading,
}

/// What the instances of a failure domain are to each other for a topic.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Circle {
    /// This instance reads for the others.
    Reads,
    /// Another one reads for this one.
    Told,
    /// Others should read, and none of them says that it does.
    Untold,
}

/// Returns what this instance is to its peers. The first by their places read; one that fails is replaced.
pub fn circle<'a>(own: Place<'_>, peers: impl Iterator<Item = Peer<'a>>) -> Circle {
    let (mut before, mut failing, mut is_read) = (0, 0, false);
    for peer in peers {
        let comes_first = peer.place.precedes(own);
        match peer.reading {
            Reading::Fails => failing += usize::from(comes_first),
            Reading::Reads | Reading::Rests => before += usize::from(comes_first),
        }
        is_read |= peer.reading == Reading::Reads;
    }
    if before + failing.saturating_sub(MOST_REPLACED) < READERS {
        Circle::Reads
    } else if is_read {
        Circle::Told
    } else {
        Circle::Untold
    }
}
