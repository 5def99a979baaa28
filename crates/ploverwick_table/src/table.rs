//! A table in memory.

use std::collections::BTreeMap;
use std::sync::Arc;

use ploverwick_names::{Adapter, Group, Version};

use crate::{Column, Field, Selector, Subject, Value};

/// The cells of one row that are not empty.
pub type Row = BTreeMap<Column, Value>;

/// A whole table. Rows are shared, so that a clone and a patch are cheap.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Table {
    rows: BTreeMap<Subject, Arc<Row>>,
}

impl Table {
    /// Returns the row of a subject.
    pub fn row(&self, subject: &Subject) -> Option<&Arc<Row>> {
        self.rows.get(subject)
    }

    /// Lists all rows in the order of their subjects.
    pub fn rows(&self) -> impl Iterator<Item = (&Subject, &Arc<Row>)> {
        self.rows.iter()
    }

    /// Returns the number of rows.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Says whether the table has no row.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Puts a row in place of the subject's earlier one.
    pub fn insert(&mut self, subject: Subject, row: Row) {
        self.rows.insert(subject, Arc::new(row));
    }

    /// Takes the subject's row away.
    pub fn remove(&mut self, subject: &Subject) {
        self.rows.remove(subject);
    }

    /// Sets one cell; `None` empties it. The row is made if need be and stays if it grows empty.
    pub fn set(&mut self, subject: &Subject, column: Column, value: Option<Value>) {
        let row = self.rows.entry(subject.clone()).or_default();
        let row = Arc::make_mut(row);
        match value {
            Some(value) => row.insert(column, value),
            None => row.remove(&column),
        };
    }

    /// Returns the group that an adapter's row names.
    pub fn group_of(&self, adapter: &Adapter) -> Option<&Group> {
        match self.plain(adapter, Field::Group) {
            Some(Value::Group(group)) => Some(group),
            _ => None,
        }
    }

    /// Returns the version that an adapter's row pins.
    pub fn pinned(&self, adapter: &Adapter) -> Option<&Version> {
        match self.plain(adapter, Field::Version) {
            Some(Value::Version(version)) => Some(version),
            _ => None,
        }
    }

    fn plain(&self, adapter: &Adapter, field: Field) -> Option<&Value> {
        let row = self.rows.get(&Subject::Adapter(adapter.clone()))?;
        row.get(&Column {
            field,
            selector: Selector::default(),
        })
    }

    /// Lists the adapters whose group has no row, with that group.
    pub fn orphans(&self) -> impl Iterator<Item = (&Subject, &Group)> {
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
