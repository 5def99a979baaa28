//! Routes and services that a configuration declares.
//!
//! Pure data and the choice of a route for a host and path. Nothing here knows how a configuration
//! travels or who wrote it.

mod config;
mod route;

pub use config::{Config, Engine, Limits, Service};
pub use route::{Kind, Route, Share};
