//! Membership and failure detection between instances, based on SWIM.
//!
//! It combines three sources: the platform's list of instances, which lags; probes between peers;
//! and updates that peers gossip. In each probe interval an instance probes one peer, in a shuffled
//! round. If the peer does not respond, it asks two other members to probe it, so the traffic of an
//! instance does not grow with the fleet. Updates are piggybacked on probes and their responses.
//! Source: Das, Gupta and Motivala, "SWIM", DSN 2002.
//!
//! A process counts as *ended* only on proof: a newer incarnation of the same instance, or the
//! instance's removal from the platform's list. Without a response a member is only *gone*, which
//! lets another instance take over its work but does not prove that it has stopped.

mod controller;
mod member;

pub use controller::{Action, Config, Controller, ListEntry};
pub use member::{Member, State, Update};
