//! What names an adapter.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// An adapter of a base model.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key {
    /// The base model.
    pub model: Arc<str>,
    /// The adapter.
    pub adapter: Arc<str>,
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.model, self.adapter)
    }
}

/// An adapter in one version, as it takes a place at an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Copy {
    /// The adapter.
    pub key: Key,
    /// Its version.
    pub version: u64,
}

impl Copy {
    /// Makes a copy of its parts.
    pub fn of(model: &Arc<str>, adapter: Arc<str>, version: u64) -> Self {
        let key = Key {
            model: Arc::clone(model),
            adapter,
        };
        Self { key, version }
    }
}
