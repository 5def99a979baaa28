//! Load and unload orders to endpoints, and the endpoints' answers and reports.

use std::sync::Arc;

use crate::Copy;

/// The operation of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Op {
    /// Loads a base model or an adapter.
    Load,
    /// Unloads a base model or an adapter.
    Unload,
}

/// An order to an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// The operation.
    pub op: Op,
    /// The base model's name.
    pub model: Arc<str>,
    /// The adapter's name and version; `None` for the base model itself.
    pub adapter: Option<(Arc<str>, u64)>,
    /// The sequence number at which the order is valid: an endpoint carries it out only if it has
    /// accepted exactly this many orders.
    pub after: Option<u64>,
}

impl Order {
    /// Creates an order to load an adapter, valid after `after` accepted orders.
    pub fn load(copy: &Copy, after: u64) -> Self {
        Self::of(Op::Load, copy, after)
    }

    /// Creates an order to unload an adapter, valid after `after` accepted orders.
    pub fn unload(copy: &Copy, after: u64) -> Self {
        Self::of(Op::Unload, copy, after)
    }

    /// Creates an order to load a base model, valid after `after` accepted orders.
    pub fn load_base(model: &Arc<str>, after: u64) -> Self {
        Self {
            op: Op::Load,
            model: Arc::clone(model),
            adapter: None,
            after: Some(after),
        }
    }

    /// Returns the adapter to load or unload; `None` for a base model.
    pub fn copy(&self) -> Option<Copy> {
        let (adapter, version) = self.adapter.clone()?;
        Some(Copy::of(&self.model, adapter, version))
    }

    fn of(op: Op, copy: &Copy, after: u64) -> Self {
        Self {
            op,
            model: Arc::clone(&copy.key.model),
            adapter: Some((Arc::clone(&copy.key.adapter), copy.version)),
            after: Some(after),
        }
    }
}

/// An endpoint's answer to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    /// The endpoint is carrying out the order.
    Accepted,
    /// The order was already fulfilled, or was completed immediately.
    Done,
    /// Another order is in progress, or the number of accepted orders differs.
    Conflict,
    /// The endpoint has seen a higher fencing token.
    Fenced,
    /// Another endpoint is at the address, or none is.
    Gone,
    /// The endpoint does not know the model or adapter.
    Invalid,
    /// No answer arrived; the order may have been accepted, or may still be.
    Unknown,
}

/// An endpoint's report of its own state.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Report {
    /// The number of orders that it has accepted.
    pub orders: u64,
    /// Whether an order is in progress.
    pub busy: bool,
    /// The base models that it holds.
    pub models: Vec<Arc<str>>,
    /// The adapters that it holds.
    pub held: Vec<Copy>,
    /// The adapters that it is loading.
    pub loading: Vec<Copy>,
}
