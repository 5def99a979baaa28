//! Small stand-ins for the platform and the endpoints.
//!
//! Each is a process of its own (`ploverwick-standin`) and can also be embedded. Each serves
//! `GET /timeline`, and takes faults over `PUT /faults`. What they model is stated in
//! `docs/STANDINS.md`; they are for tests, demonstrations and measurements only.

pub mod engine;
mod host;
pub mod log;
pub mod roster;
pub mod service;
pub mod store;

pub use host::Running;
