//! The daemon's settings.
//!
//! [`read`] takes a TOML text, refuses unknown keys with the nearest known one, and reports every
//! finding at once. Units stand in the keys' names: `_ms`, `_bytes`, `_per_s`.

mod check;
mod keys;
mod settings;

pub use check::{load, read};
pub use settings::{
    Access, CallerToken, Claims, Drain, Instance, Limits, Listen, Logging, Membership, Ownership,
    Platform, Requests, Service, Settings, Store, TableStream, Timeline,
};

/// A commented example that holds every key; a test reads it.
pub const EXAMPLE: &str = include_str!("../example.toml");
