//! The controllers, which maintain the state shared between daemons: claims of idempotency keys,
//! membership, ownership of endpoints, and the table.

pub(crate) mod claims;
pub(crate) mod members;
pub(crate) mod owners;
pub(crate) mod table;
