//! A timeline of events across all processes.
//!
//! Each process records [`Event`]s in a bounded [`Ring`], timestamped by a hybrid logical
//! [`clock`], and serves them over HTTP. [`merge`](view::merge) combines the events of all
//! processes into one order; [`view::text`] and [`page`] render them as text and HTML.

pub mod clock;
mod event;
mod page;
mod ring;
pub mod view;

pub use event::{Event, Kind};
pub use page::page;
pub use ring::{Recorder, Ring};
