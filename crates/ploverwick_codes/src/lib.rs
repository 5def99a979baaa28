//! Numbered result codes and the typestate that decides their class.
//!
//! A [`Code`] says how a request ended. Its [`Class`] says whether the request ran, and only an
//! [`attempt::Attempt`] that was never written to an endpoint can end with a code of class
//! [`Class::NotRun`].

pub mod attempt;
mod code;
pub mod diagnostic;

pub use code::{Class, Code, Repeat};
