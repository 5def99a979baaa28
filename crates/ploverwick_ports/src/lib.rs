//! Clients of the platform's services and of endpoints.
//!
//! The production wire formats are not known yet. Each external system is therefore accessed
//! through a single module that contains its entire protocol, so that supporting another protocol
//! means replacing one file.

pub mod client;
pub mod engine;
pub mod header;
pub mod log;
pub mod roster;
pub mod sse;
pub mod truncation;
