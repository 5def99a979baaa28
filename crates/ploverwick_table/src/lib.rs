//! The operators' policy table.
//!
//! A table is a set of rows, each a set of cells. [`parse`] reads and writes it as CSV, [`policy`]
//! resolves the settings that apply to a request, [`patch`] computes the difference between two
//! tables, and [`history`] replays the log deterministically to decide which patches are accepted.

mod cell;
pub mod history;
pub mod parse;
pub mod patch;
pub mod policy;
mod selector;
mod table;

pub use cell::{Column, Field, Subject, Value};
pub use selector::{Selector, Window};
pub use table::{Row, Table};
