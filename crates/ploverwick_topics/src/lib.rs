//! Follows the topics of a store with a few readers per failure domain.
//!
//! If every instance kept a long poll open, each record would cost one store call per instance. Instead, a
//! few instances of each failure domain read the store and relay new records to the others in datagrams.
//! An instance that misses a datagram reads the store itself. The number of store calls grows with the
//! number of failure domains and not with the number of instances.
//!
//! This crate only keeps state: callers pass in the time, call the store and send the messages.

pub mod freshness;
pub mod parts;
mod position;
mod role;
mod subscription;

pub use position::Position;
pub use role::{Candidate, Peer, Reading, Role, role};
pub use subscription::{Fit, Step, Subscription};
