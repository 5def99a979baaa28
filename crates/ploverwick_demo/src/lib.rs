//! A whole fleet in one process, and a load on it that checks every answer.
//!
//! [`fleet`] starts stand-ins and daemons on loopback; [`caller`] sends requests and checks what
//! comes back; [`run`] is the demonstration; [`tally`] counts broken promises from the engines'
//! own records.

pub mod caller;
pub mod fleet;
pub mod run;
pub mod tally;
pub mod work;
