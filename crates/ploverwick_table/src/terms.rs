//! Resolves what is in force for one request.
//!
//! For version, weight and priority the more specific row wins (adapter, then its group, then
//! `*`), and within a row the more specific column ([`crate::Selector::rank`]). A limit bounds the
//! subject of its row as a whole, so the limits of adapter, group and `*` hold together; within
//! each row the more specific column wins.

use jiff::Timestamp;
use ploverwick_names::{Adapter, Group, Hall, Version};

use crate::{Column, Field, Row, Subject, Table, Value};

/// The weight of an adapter for which no cell sets one.
pub const DEFAULT_WEIGHT: f64 = 1.0;
/// The priority of an adapter for which no cell sets one.
pub const DEFAULT_PRIORITY: u8 = 5;

/// A limit that applies to a request.
#[derive(Debug, Clone, PartialEq)]
pub struct Limit {
    /// The row that sets it; the limit bounds all requests of this subject together.
    pub subject: Subject,
    /// The column that sets it.
    pub column: Column,
    /// The most requests a second over the fleet.
    pub rate: f64,
}

/// What the table says of one request.
#[derive(Debug, Clone, PartialEq)]
pub struct Terms {
    /// The pinned version.
    pub version: Option<Version>,
    /// The adapter's group.
    pub group: Option<Group>,
    /// The adapter's weight.
    pub weight: f64,
    /// The adapter's priority.
    pub priority: u8,
    /// Every limit that applies, most specific subject first.
    pub limits: Vec<Limit>,
}

/// Resolves the terms for a request from `hall` at `at`; `None` if no row covers the adapter.
pub fn resolve(
    table: &Table,
    adapter: &Adapter,
    hall: Option<&Hall>,
    at: Timestamp,
) -> Option<Terms> {
    let group = table.group_of(adapter).cloned();
    let subjects = [
        Some(Subject::Adapter(adapter.clone())),
        group.clone().map(Subject::Group),
        Some(Subject::All),
    ];
    let rows: Vec<(Subject, &Row)> = subjects
        .into_iter()
        .flatten()
        .filter_map(|subject| {
            let row = table.row(&subject)?;
            Some((subject, row.as_ref()))
        })
        .collect();
    if rows.is_empty() {
        return None;
    }
    let first = |field| {
        rows.iter()
            .find_map(|(_, row)| best(row, field, hall, at).map(|(_, value)| value))
    };
    let weight = match first(Field::Weight) {
        Some(Value::Weight(weight)) => *weight,
        _ => DEFAULT_WEIGHT,
    };
    let priority = match first(Field::Priority) {
        Some(Value::Priority(priority)) => *priority,
        _ => DEFAULT_PRIORITY,
    };
    let limits = rows
        .iter()
        .filter_map(|(subject, row)| limit(subject, row, hall, at))
        .collect();
    Some(Terms {
        version: table.pinned(adapter).cloned(),
        group,
        weight,
        priority,
        limits,
    })
}

fn limit(subject: &Subject, row: &Row, hall: Option<&Hall>, at: Timestamp) -> Option<Limit> {
    match best(row, Field::Limit, hall, at) {
        Some((column, Value::Limit(rate))) => Some(Limit {
            subject: subject.clone(),
            column: column.clone(),
            rate: *rate,
        }),
        _ => None,
    }
}

/// Finds the most specific cell of a field in a row.
fn best<'a>(
    row: &'a Row,
    field: Field,
    hall: Option<&Hall>,
    at: Timestamp,
) -> Option<(&'a Column, &'a Value)> {
    row.iter()
        .filter(|(column, _)| column.field == field && column.selector.chooses(hall, at))
        .max_by_key(|(column, _)| column.selector.rank())
}
