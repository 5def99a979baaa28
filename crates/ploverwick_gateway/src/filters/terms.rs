//! What the operators' table says of a request: its limit, its priority and its weight.

use std::time::Duration;

use jiff::Timestamp;
use ploverwick_codes::Code;
use ploverwick_names::{Adapter, Hall};
use ploverwick_table::terms::{DEFAULT_PRIORITY, resolve};

use super::reply::Reply;
use super::task::{MOST_URGENT, Task, Terms};
use crate::shared::Shared;

/// When to come back to an instance that has not read the table yet.
const NO_TABLE: Duration = Duration::from_millis(300);

/// Resolves the terms of a request; an adapter that no row covers has those of its route.
///
/// # Errors
/// Fails if a limit of the table is reached, or if it is not known whether there is one; nothing was
/// sent then.
pub(crate) fn run(shared: &Shared, task: &Task) -> Result<Terms, Reply> {
    let mut terms = Terms::of(&task.route, task.caller.organisation());
    let now = shared.now();
    let mut state = shared.state();
    let Some(key) = &task.call.adapter else {
        return Ok(terms);
    };
    // A table that was not read may hold a limit; only a topic that was read holds none.
    if !state.has_table {
        let detail = "The operators' table was not read yet.";
        return Err(Reply::new(Code::NoConfiguration, detail).retry_after(NO_TABLE));
    }
    let Some(table) = state.table.clone() else {
        return Ok(terms);
    };
    // A name that the table cannot hold is covered by no row.
    let Ok(adapter) = Adapter::new(&key.adapter) else {
        return Ok(terms);
    };
    let hall = Hall::new(&shared.settings.domain).ok();
    let Some(found) = resolve(&table, &adapter, hall.as_ref(), Timestamp::now()) else {
        return Ok(terms);
    };
    let sharers = shared.sharers(&state);
    for limit in &found.limits {
        let (subject, column) = (&limit.subject, &limit.column);
        let taken = state
            .rate_limiter
            .take_shared(subject, column, limit.rate, sharers, now);
        if let Err(wait) = taken {
            let detail = format!("adapter {key}, limit {} a second", limit.rate);
            return Err(Reply::new(Code::LimitReached, detail).retry_after(wait));
        }
    }
    if found.priority != DEFAULT_PRIORITY {
        terms.priority = MOST_URGENT.saturating_sub(found.priority);
    }
    terms.weight = found.weight;
    Ok(terms)
}
