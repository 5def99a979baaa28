//! Clients of the platform's services and of endpoints.
//!
//! The real wire formats are not known yet. Each outside system is met in one file that holds its
//! whole dialect, so that another dialect is another file.

pub mod client;
pub mod engine;
pub mod header;
pub mod log;
pub mod roster;
pub mod sse;
