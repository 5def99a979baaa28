//! Numbered result codes, and the typestate that enforces their class.
//!
//! A [`Code`] describes how a request ended. Its [`Class`] says whether the request ran. Only an
//! [`attempt::Attempt`] that was never sent, or that the endpoint or its owner refused, can end
//! with a code of class [`Class::NotRun`].

pub mod attempt;
mod code;
pub mod diagnostic;

pub use code::{Class, Code, Repeat};
