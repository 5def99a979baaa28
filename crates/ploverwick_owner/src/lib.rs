//! Decides who owns an endpoint, and what its owner does.
//!
//! [`holds`] folds the log's stream of claims into who may order what; [`tenure`] is one daemon's
//! time as an endpoint's owner; [`endpoint`] is the queue, the slots and the dispatch of one
//! endpoint. All are plain state machines: they are told what happened and when, and answer with
//! actions. They do no input or output and read no clock.

pub mod endpoint;
pub mod holds;
pub mod record;
pub mod tenure;
