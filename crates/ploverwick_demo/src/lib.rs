//! A fleet in one process, with a workload that checks every response.
//!
//! [`fleet`] starts stand-ins and daemons on loopback; [`work`] generates the requests; [`caller`]
//! sends them and checks the responses; [`run`] is the demonstration; [`tally`] counts violated
//! guarantees from the engines' records.

pub mod caller;
pub mod fleet;
pub mod run;
pub mod tally;
pub mod work;
