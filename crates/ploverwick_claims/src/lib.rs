//! Claims of idempotency keys: at most one request runs per key.
//!
//! Keys are hashed to partitions, and each partition is a stream of the log. [`partition`] folds a
//! stream: the first claim of a key holds it until it is forfeited. The scribe of a partition is
//! the instance that appends its claims; [`scribe`] batches them and answers once the log shows
//! their outcome. If two scribes serve one partition, they append redundant records but never run a
//! request twice, because both fold the same stream.

mod key;
pub mod partition;
pub mod scribe;

pub use key::{Key, KeyError};
