//! Resolves the policy that applies to a request.
//!
//! For weight and priority the most specific row wins (adapter, then its group, then `*`), and
//! within a row the most specific column ([`crate::Selector::specificity`]). The version is set
//! only in adapter rows. A limit is shared by all requests of its row's subject, so the limits of
//! adapter, group and `*` apply together; within each row the most specific column wins.

use jiff::Timestamp;
use ploverwick_names::{Adapter, Group, Hall, Version};

use crate::{Column, Field, Row, Subject, Table, Value};

/// The weight of an adapter without a weight cell.
pub const DEFAULT_WEIGHT: f64 = 1.0;
/// The priority of an adapter without a priority cell.
pub const DEFAULT_PRIORITY: u8 = 5;

/// A limit that applies to a request.
#[derive(Debug, Clone, PartialEq)]
pub struct Limit {
    /// The subject of the row; all requests of this subject share the limit.
    pub subject: Subject,
    /// The column that sets the limit.
    pub column: Column,
    /// The maximum number of requests per second across the fleet.
    pub rate: f64,
}

/// The settings that apply to a request.
#[derive(Debug, Clone, PartialEq)]
pub struct Policy {
    /// The pinned version.
    pub version: Option<Version>,
    /// The adapter's group.
    pub group: Option<Group>,
    /// The adapter's weight.
    pub weight: f64,
    /// The adapter's priority.
    pub priority: u8,
    /// All limits that apply, most specific subject first.
    pub limits: Vec<Limit>,
}

/// Resolves the policy for a request that arrives from `hall` at `at`. Returns `None` if no row
/// covers the adapter.
pub fn resolve(
    table: &Table,
    adapter: &Adapter,
    hall: Option<&Hall>,
    at: Timestamp,
) -> Option<Policy> {
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
            .find_map(|(_, row)| most_specific(row, field, hall, at).map(|(_, value)| value))
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
    Some(Policy {
        version: table.pinned_version(adapter).cloned(),
        group,
        weight,
        priority,
        limits,
    })
}

fn limit(subject: &Subject, row: &Row, hall: Option<&Hall>, at: Timestamp) -> Option<Limit> {
    match most_specific(row, Field::Limit, hall, at) {
        Some((column, Value::Limit(rate))) => Some(Limit {
            subject: subject.clone(),
            column: column.clone(),
            rate: *rate,
        }),
        _ => None,
    }
}

/// Returns the most specific matching cell of a field in a row.
fn most_specific<'a>(
    row: &'a Row,
    field: Field,
    hall: Option<&Hall>,
    at: Timestamp,
) -> Option<(&'a Column, &'a Value)> {
    row.iter()
        .filter(|(column, _)| column.field == field && column.selector.matches(hall, at))
        .max_by_key(|(column, _)| column.selector.specificity())
}
