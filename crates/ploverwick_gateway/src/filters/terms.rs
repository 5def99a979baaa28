//! Applies the operators' table to a request: its limits, priority and weight.

use std::time::Duration;

use jiff::Timestamp;
use ploverwick_codes::Code;
use ploverwick_names::{Adapter, Hall};
use ploverwick_table::policy::{DEFAULT_PRIORITY, resolve};

use super::admitted_request::{AdmittedRequest, MAX_PRIORITY, Terms};
use super::reply::Reply;
use crate::shared::Shared;

/// The `Retry-After` of an instance that has not read the table yet.
const NO_TABLE_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Resolves the terms of a request and checks its limits. If no row covers the adapter, the terms of its
/// organisation and route apply.
///
/// # Errors
/// Fails if a limit of the table is reached, or if the table has not been read yet. Nothing has been sent in
/// either case.
pub(crate) fn run(shared: &Shared, request: &AdmittedRequest) -> Result<Terms, Reply> {
    let mut terms = Terms::of(&request.route, request.caller.organisation());
    let now = shared.now();
    let mut state = shared.state();
    let Some(key) = &request.info.adapter else {
        return Ok(terms);
    };
    // An unread table may contain a limit. Only after the topic has been read does a missing table mean that
    // there are no limits.
    if !state.has_table {
        let detail = "The operators' table was not read yet.";
        return Err(Reply::new(Code::NoConfiguration, detail).retry_after(NO_TABLE_RETRY_AFTER));
    }
    let Some(table) = state.table.clone() else {
        return Ok(terms);
    };
    // The table cannot contain an invalid name, so no row covers it.
    let Ok(adapter) = Adapter::new(&key.adapter) else {
        return Ok(terms);
    };
    let hall = Hall::new(&shared.settings.domain).ok();
    let Some(resolved) = resolve(&table, &adapter, hall.as_ref(), Timestamp::now()) else {
        return Ok(terms);
    };
    let sharers = shared.sharers(&state);
    for limit in &resolved.limits {
        let (subject, column) = (&limit.subject, &limit.column);
        let result = state
            .rate_limiter
            .take_shared(subject, column, limit.rate, sharers, now);
        if let Err(wait) = result {
            let detail = format!("adapter {key}, limit {} a second", limit.rate);
            return Err(Reply::new(Code::LimitReached, detail).retry_after(wait));
        }
    }
    if resolved.priority != DEFAULT_PRIORITY {
        terms.priority = MAX_PRIORITY.saturating_sub(resolved.priority);
    }
    terms.weight = resolved.weight;
    Ok(terms)
}
