//! Routes, services and organisations that a configuration declares.
//!
//! Pure data and the choice of a route for a host and path. Nothing here knows how a configuration
//! travels or who wrote it.

mod config;
mod organisation;
mod route;

pub use config::{Config, Engine, Limits, Service};
pub use organisation::{Declaration, Fault, KeyDigest, Organisation, Organisations, Quota, Unit};
pub use route::{Kind, Route, Share};
