//! Orders to endpoints, and what endpoints say about them.

use std::sync::Arc;

use crate::Copy;

/// What an order does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Op {
    /// Loads a base model or an adapter.
    Load,
    /// Unloads a base model or an adapter.
    Unload,
}

/// One order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// What it does.
    pub op: Op,
    /// The base model.
    pub model: Arc<str>,
    /// The adapter and its version; `None` for the base model itself.
    pub adapter: Option<(Arc<str>, u64)>,
    /// The number of accepted orders at which it holds; at any other it must not be carried out.
    pub after: Option<u64>,
}

impl Order {
    /// Makes an order to load an adapter that holds at a number of accepted orders.
    pub fn load(copy: &Copy, after: u64) -> Self {
        Self::of(Op::Load, copy, after)
    }

    /// Makes an order to unload an adapter that holds at a number of accepted orders.
    pub fn unload(copy: &Copy, after: u64) -> Self {
        Self::of(Op::Unload, copy, after)
    }

    /// Makes an order to load a base model that holds at a number of accepted orders.
    pub fn load_base(model: &Arc<str>, after: u64) -> Self {
        Self {
            op: Op::Load,
            model: Arc::clone(model),
            adapter: None,
            after: Some(after),
        }
    }

    /// Returns the adapter that it is about; `None` for a base model.
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

/// How an endpoint answered an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    /// It is being carried out.
    Accepted,
    /// It holds already, or was carried out at once.
    Done,
    /// Another order is under way, or the number of accepted orders differs.
    Conflict,
    /// A higher fencing token was seen.
    Fenced,
    /// Another endpoint is at the address, or nothing is.
    Gone,
    /// The endpoint does not know what was ordered.
    Invalid,
    /// There was no answer: it may have been accepted, or may be later.
    Unknown,
}

/// What an endpoint says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Report {
    /// The orders that it has accepted.
    pub orders: u64,
    /// An order is under way.
    pub busy: bool,
    /// The base models that it holds.
    pub models: Vec<Arc<str>>,
    /// The adapters that it holds.
    pub held: Vec<Copy>,
    /// The adapters on their way.
    pub coming: Vec<Copy>,
}
