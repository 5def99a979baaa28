//! The settings of an instance.
//!
//! [`read`] parses a TOML text and reports all findings at once; for an unknown key it suggests the
//! nearest known one. The names of keys carry their units: `_ms`, `_bytes`, `_per_s`.

mod check;
mod keys;
mod settings;

pub use check::{load, read};
pub use settings::{
    Access, CallerToken, Claims, Drain, Instance, Limits, Listen, Logging, Membership, Ownership,
    Platform, Requests, Service, Settings, Store, TableStream, Timeline,
};

/// A commented example with every key. A test checks that it is valid.
pub const EXAMPLE: &str = include_str!("../example.toml");
