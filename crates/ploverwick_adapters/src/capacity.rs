//! What an endpoint can hold at once.

use std::collections::HashMap;
use std::sync::Arc;

/// The sizes of a base model and of each of its adapters, in kilobytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ModelSize {
    /// The base model.
    pub base_kb: u64,
    /// An adapter.
    pub adapter_kb: u64,
}

/// The limits on what an endpoint holds and loads.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Capacity {
    /// The number of adapters.
    pub adapters: usize,
    /// The memory for base models and adapters in kilobytes; `None` if it is not limited.
    pub memory_kb: Option<u64>,
    /// The sizes by base model. Those of other models are unknown and count as 0.
    pub sizes: HashMap<Arc<str>, ModelSize>,
}

impl From<usize> for Capacity {
    /// Returns the capacity for a number of adapters of any size.
    fn from(adapters: usize) -> Self {
        Self {
            adapters,
            memory_kb: None,
            sizes: HashMap::new(),
        }
    }
}

impl Capacity {
    pub(crate) fn size(&self, model: &str) -> ModelSize {
        self.sizes.get(model).copied().unwrap_or_default()
    }

    /// Returns the size of the largest adapter of any model.
    pub(crate) fn max_adapter_kb(&self) -> u64 {
        let sizes = self.sizes.values().map(|size| size.adapter_kb);
        sizes.max().unwrap_or(0)
    }

    /// Returns whether this much fits into the memory.
    pub(crate) fn fits(&self, mb: u64) -> bool {
        self.memory_kb.is_none_or(|memory| mb <= memory)
    }
}
