//! A time line of events over all processes.
//!
//! Each process records [`Event`]s in a bounded [`Ring`], stamped by a hybrid logical
//! [`clock`], and serves them over HTTP. [`merge`](view::merge) puts them into one order and
//! [`view`] shows them as text, JSON or an HTML page.

pub mod clock;
mod event;
mod page;
mod ring;
pub mod view;

pub use event::{Event, Kind};
pub use page::page;
pub use ring::{Recorder, Ring};
