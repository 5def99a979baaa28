//! The routes, services and organisations that a configuration declares.
//!
//! This crate holds the data and selects the route for a host and path. It does not depend on how a
//! configuration is encoded or distributed.

mod config;
mod organisation;
mod punctuality;
mod route;

pub use config::{Config, Engine, Limits, Model, Service};
pub use organisation::{
    Declaration, DeclarationError, KeyDigest, Organisation, Organisations, Quota, Unit,
};
pub use punctuality::{EventTimes, Punctuality};
pub use route::{Kind, Route, Share};
