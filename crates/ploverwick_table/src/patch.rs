//! The difference between two tables.

use std::collections::BTreeSet;
use std::fmt;

use ploverwick_codes::diagnostic::Rule;
use serde::{Deserialize, Serialize};

use crate::{Column, Row, Subject, Table, Value};

/// A change of one row.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Edit {
    /// The row.
    pub subject: Subject,
    /// The change to the row.
    pub change: Change,
}

/// How an edit changes a row.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// Removes the row.
    Remove,
    /// Sets cells, creating the row if it does not exist.
    Set(Vec<Cell>),
}

/// A cell that an edit sets.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Cell {
    /// The cell's column.
    pub column: Column,
    /// The new text; `None` clears the cell.
    pub text: Option<String>,
}

/// Computes the edits that turn `before` into `after`.
pub fn diff(before: &Table, after: &Table) -> Vec<Edit> {
    let removed = before
        .rows()
        .filter(|(subject, _)| after.row(subject).is_none())
        .map(|(subject, _)| Edit {
            subject: subject.clone(),
            change: Change::Remove,
        });
    let empty = Row::new();
    let set = after.rows().filter_map(|(subject, row)| {
        let earlier = before.row(subject);
        let cells = diff_row(earlier.map_or(&empty, |row| row), row);
        let differs = earlier.is_none() || !cells.is_empty();
        differs.then(|| Edit {
            subject: subject.clone(),
            change: Change::Set(cells),
        })
    });
    removed.chain(set).collect()
}

fn diff_row(before: &Row, after: &Row) -> Vec<Cell> {
    let columns: BTreeSet<&Column> = before.keys().chain(after.keys()).collect();
    columns
        .into_iter()
        .filter(|column| before.get(column) != after.get(column))
        .map(|column| Cell {
            column: column.clone(),
            text: after.get(column).map(ToString::to_string),
        })
        .collect()
}

/// Applies edits to a table.
///
/// # Errors
/// Returns the rule that a cell violates, or [`Rule::GroupMissing`] if the result refers to a group
/// that has no row. On error the edits may be partly applied, so the table must be discarded.
pub fn apply(table: &mut Table, edits: &[Edit]) -> Result<(), Rule> {
    for edit in edits {
        match &edit.change {
            Change::Remove => table.remove(&edit.subject),
            Change::Set(cells) => set_cells(table, &edit.subject, cells)?,
        }
    }
    match table.missing_groups().next() {
        Some(_) => Err(Rule::GroupMissing),
        None => Ok(()),
    }
}

fn set_cells(table: &mut Table, subject: &Subject, cells: &[Cell]) -> Result<(), Rule> {
    if table.row(subject).is_none() {
        table.insert(subject.clone(), Row::new());
    }
    for cell in cells {
        let field = cell.column.field;
        if !field.is_policy() && !matches!(subject, Subject::Adapter(_)) {
            return Err(Rule::CellMisplaced);
        }
        let value = cell
            .text
            .as_deref()
            .map(|text| Value::parse(field, text))
            .transpose()?;
        table.set(subject, cell.column.clone(), value);
    }
    Ok(())
}

impl fmt::Display for Edit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.change {
            Change::Remove => write!(f, "- {}", self.subject),
            Change::Set(cells) => {
                write!(f, "~ {}", self.subject)?;
                for cell in cells {
                    let text = cell.text.as_deref().unwrap_or("(empty)");
                    write!(f, " {}={text}", cell.column)?;
                }
                Ok(())
            }
        }
    }
}
