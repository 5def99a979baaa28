//! Runs gateways and endpoints as separate processes under drawn disruptions, and judges the run by what the clients and
//! the endpoints saw.
//!
//! All draws come from a seed. The processes run on the machine's own clock and scheduler, so that two runs of a seed have
//! the same disruptions, but not the same interleavings.

pub mod client;
pub mod deployment;
pub mod endpoint;
pub mod plan;
mod process;
pub mod run;
pub mod verdict;
