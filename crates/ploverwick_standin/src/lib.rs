//! Stand-ins: simulated platform services and endpoints.
//!
//! Each stand-in can run as its own process (`ploverwick-standin`) or be embedded. Each serves its
//! timeline at `GET /timeline` and accepts fault injection over `PUT /faults`. `docs/STANDINS.md`
//! describes what they model. They are for tests, demonstrations and benchmarks only.

pub mod engine;
mod host;
pub mod log;
pub mod roster;
pub mod service;
pub mod store;

pub use host::Handle;
