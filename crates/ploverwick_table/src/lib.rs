//! The operators' table.
//!
//! A table is a set of rows, each a set of cells. [`parse`] reads it from CSV, [`terms`] resolves
//! what is in force for one request, [`patch`] finds what differs between two tables, and
//! [`history`] decides, the same way on every reader of the log, which publications are accepted.

mod cell;
pub mod history;
pub mod parse;
pub mod patch;
mod selector;
mod table;
pub mod terms;

pub use cell::{Column, Field, Subject, Value};
pub use selector::{Selector, Window};
pub use table::{Row, Table};
