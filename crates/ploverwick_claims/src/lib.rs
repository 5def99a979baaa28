//! Decides which request may run under a key, at most once.
//!
//! Keys are spread over partitions, each a stream of the log. [`partition`] folds a stream: the
//! first claim of a key holds it until it is forfeited. [`scribe`] gathers claims into batches and
//! answers once the log shows how they ended. Two scribes of one partition cost appends, never a
//! second run, because both read the same stream.

mod key;
pub mod partition;
pub mod scribe;

pub use key::{Key, KeyError};
