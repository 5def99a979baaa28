//! Numbers that stand for the endpoints of a failure domain in messages.
//!
//! An identifier takes a dozen bytes, more than most of what is sent about an endpoint. Instances that know the
//! same endpoints of a domain number them alike, by the order of their identifiers, and a checksum shows whether
//! they do.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

/// A value that belongs to an endpoint, in a list that is sorted by number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Numbered<T> {
    /// The count of endpoints between the previous entry of the list and this one.
    skipped: u32,
    value: T,
}

/// The endpoints of one failure domain, in the order of their identifiers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Numbering {
    endpoints: Vec<Arc<str>>,
    checksum: u32,
}

impl Numbering {
    /// Numbers endpoints.
    pub fn of(endpoints: impl IntoIterator<Item = Arc<str>>) -> Self {
        let mut endpoints: Vec<Arc<str>> = endpoints.into_iter().collect();
        endpoints.sort_unstable();
        let mut hash = Xxh3::new();
        for endpoint in &endpoints {
            hash.update(endpoint.as_bytes());
            // Separates the identifiers, which contain no line break.
            hash.update(b"\n");
        }
        let checksum = hash.digest() as u32;
        Self {
            endpoints,
            checksum,
        }
    }

    /// Returns the checksum by which instances recognise equal numberings. The algorithm, the lower half of the
    /// 64-bit XXH3 hash, is part of the protocol between them.
    pub fn checksum(&self) -> u32 {
        self.checksum
    }

    /// Returns the endpoints in the order of their numbers.
    pub fn endpoints(&self) -> &[Arc<str>] {
        &self.endpoints
    }

    /// Returns the endpoints of a list with their values. Numbers without an endpoint are left out.
    pub fn resolve<'a, T: Copy>(
        &'a self,
        list: &'a [Numbered<T>],
    ) -> impl Iterator<Item = (&'a Arc<str>, T)> {
        let mut next = 0_usize;
        list.iter().filter_map(move |numbered| {
            let number = next.saturating_add(numbered.skipped as usize);
            next = number.saturating_add(1);
            let endpoint = self.endpoints.get(number)?;
            Some((endpoint, numbered.value))
        })
    }
}

/// Encodes values by number; the numbers must ascend.
pub fn encode<T: Copy>(values: &[(usize, T)]) -> Vec<Numbered<T>> {
    let mut next = 0;
    let list = values.iter().map(|(number, value)| {
        let skipped = u32::try_from(number - next).unwrap_or(u32::MAX);
        next = number + 1;
        Numbered {
            skipped,
            value: *value,
        }
    });
    list.collect()
}
