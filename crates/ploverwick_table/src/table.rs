//! The in-memory table.

use std::collections::BTreeMap;
use std::sync::Arc;

use ploverwick_names::{Adapter, Group, Version};

use crate::{Column, Field, Selector, Subject, Value};

/// The non-empty cells of a row.
pub type Row = BTreeMap<Column, Value>;

/// A table. Rows are reference-counted, so cloning and patching a table is cheap.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Table {
    rows: BTreeMap<Subject, Arc<Row>>,
}

impl Table {
    /// Returns the row of a subject.
    pub fn row(&self, subject: &Subject) -> Option<&Arc<Row>> {
        self.rows.get(subject)
    }

    /// Returns all rows, ordered by subject.
    pub fn rows(&self) -> impl Iterator<Item = (&Subject, &Arc<Row>)> {
        self.rows.iter()
    }

    /// Returns the number of rows.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns whether the table has no rows.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Inserts a row, replacing the subject's existing one.
    pub fn insert(&mut self, subject: Subject, row: Row) {
        self.rows.insert(subject, Arc::new(row));
    }

    /// Removes the subject's row.
    pub fn remove(&mut self, subject: &Subject) {
        self.rows.remove(subject);
    }

    /// Sets one cell; `None` clears it. Creates the row if it does not exist, and keeps a row whose
    /// last cell is cleared.
    pub fn set(&mut self, subject: &Subject, column: Column, value: Option<Value>) {
        let row = self.rows.entry(subject.clone()).or_default();
        let row = Arc::make_mut(row);
        match value {
            Some(value) => row.insert(column, value),
            None => row.remove(&column),
        };
    }

    /// Returns the group set in an adapter's row.
    pub fn group_of(&self, adapter: &Adapter) -> Option<&Group> {
        match self.default_cell(adapter, Field::Group) {
            Some(Value::Group(group)) => Some(group),
            _ => None,
        }
    }

    /// Returns the version pinned in an adapter's row.
    pub fn pinned_version(&self, adapter: &Adapter) -> Option<&Version> {
        match self.default_cell(adapter, Field::Version) {
            Some(Value::Version(version)) => Some(version),
            _ => None,
        }
    }

    /// Returns an adapter's cell in the column without a selector.
    fn default_cell(&self, adapter: &Adapter, field: Field) -> Option<&Value> {
        let row = self.rows.get(&Subject::Adapter(adapter.clone()))?;
        row.get(&Column {
            field,
            selector: Selector::default(),
        })
    }

    /// Returns the adapters whose group has no row, with that group.
    pub fn missing_groups(&self) -> impl Iterator<Item = (&Subject, &Group)> {
        self.rows.iter().filter_map(|(subject, row)| {
            let group = row.values().find_map(|value| match value {
                Value::Group(group) => Some(group),
                _ => None,
            })?;
            let declared = self.rows.contains_key(&Subject::Group(group.clone()));
            (!declared).then_some((subject, group))
        })
    }
}
