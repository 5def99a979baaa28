//! The prompt parts that the requests at a crashed endpoint had in common.

use std::collections::HashMap;
use std::fmt;

use super::Part;
use crate::Suspect;

/// The most parts that are written.
const MAX_WRITTEN: usize = 8;

/// The number of requests that each prompt part occurred in, the most frequent first.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Tally(pub Vec<(Part, usize)>);

impl Tally {
    /// Counts the parts of the requests that ran at an endpoint when it crashed.
    pub fn of(suspects: &[Suspect]) -> Self {
        let mut counts: HashMap<Part, usize> = HashMap::new();
        for suspect in suspects {
            let mut parts = suspect.parts.to_vec();
            parts.sort_unstable();
            parts.dedup();
            for part in parts {
                *counts.entry(part).or_default() += 1;
            }
        }
        let mut counts: Vec<(Part, usize)> = counts.into_iter().collect();
        counts.sort_unstable_by_key(|(part, count)| (std::cmp::Reverse(*count), *part));
        Self(counts)
    }
}

impl fmt::Display for Tally {
    /// Writes the most frequent parts as `PART:REQUESTS`, separated by commas, and how many are left out.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let written = self.0.len().min(MAX_WRITTEN);
        for (index, (part, count)) in self.0[..written].iter().enumerate() {
            let separator = if index == 0 { "" } else { "," };
            write!(f, "{separator}{part}:{count}")?;
        }
        match self.0.len() - written {
            0 if written == 0 => f.write_str("-"),
            0 => Ok(()),
            omitted => write!(f, ",+{omitted}"),
        }
    }
}
