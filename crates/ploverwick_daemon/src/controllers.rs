//! The controllers: one task for each thing that daemons agree on.

pub(crate) mod claims;
pub(crate) mod members;
pub(crate) mod owners;
pub(crate) mod table;
