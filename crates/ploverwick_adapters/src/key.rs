//! Identifiers of adapters and their versions.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Identifies an adapter by name and base model.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key {
    /// The base model's name.
    pub model: Arc<str>,
    /// The adapter's name.
    pub adapter: Arc<str>,
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.model, self.adapter)
    }
}

/// One version of an adapter, as held in a slot of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Copy {
    /// The adapter.
    pub key: Key,
    /// The version number.
    pub version: u64,
}

impl Copy {
    /// Creates a copy from the names of the base model and the adapter and the version.
    pub fn of(model: &Arc<str>, adapter: Arc<str>, version: u64) -> Self {
        let key = Key {
            model: Arc::clone(model),
            adapter,
        };
        Self { key, version }
    }
}
