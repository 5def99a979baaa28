//! The limits that endpoints in need name in their answers.

use std::collections::HashMap;
use std::sync::Arc;

/// How many requests a second an endpoint takes from all instances together, in thousandths.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limit(u32);

impl Limit {
    /// Makes a limit of so many requests a second. Below zero is zero; above 4 million is no limit that
    /// anything reaches, and counts as that many.
    pub fn per_second(rate: f64) -> Self {
        Self((rate * 1_000.0) as u32)
    }
}

impl std::fmt::Display for Limit {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}", f64::from(self.0) / 1_000.0)
    }
}

/// What an answer changed in what is known of an endpoint's limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// Nothing.
    Unchanged,
    /// It has this limit from now on.
    Named(Limit),
    /// It names no limit any more.
    Lifted,
}

/// The limits in force.
#[derive(Debug, Default)]
pub struct Limits {
    named: HashMap<Arc<str>, Limit>,
}

impl Limits {
    /// Takes in what an answer of an endpoint says: its limit, or `None` if it names none.
    pub fn answered(&mut self, endpoint: &Arc<str>, limit: Option<Limit>) -> Change {
        let before = match limit {
            Some(limit) => self.named.insert(Arc::clone(endpoint), limit),
            None => self.named.remove(endpoint),
        };
        match limit {
            _ if before == limit => Change::Unchanged,
            Some(limit) => Change::Named(limit),
            None => Change::Lifted,
        }
    }

    /// Returns the limit that an endpoint has named, if it has.
    pub fn named(&self, endpoint: &str) -> Option<Limit> {
        self.named.get(endpoint).copied()
    }

    /// Forgets an endpoint that has ended.
    pub fn remove(&mut self, endpoint: &str) {
        self.named.remove(endpoint);
    }

    /// Counts the endpoints that have named a limit.
    pub fn len(&self) -> usize {
        self.named.len()
    }

    /// Returns whether no endpoint has named a limit.
    pub fn is_empty(&self) -> bool {
        self.named.is_empty()
    }
}
