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
