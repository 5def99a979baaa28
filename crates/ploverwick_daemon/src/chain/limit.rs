//! Holds requests to the table's limits.

use ploverwick_codes::Code;
use ploverwick_codes::attempt::Verdict;

use super::{Exchange, refuse};
use crate::lock::lock;
use crate::node::Node;

/// Takes a token of every limit that applies.
pub(super) fn apply(node: &Node, exchange: &mut Exchange) -> Result<(), Verdict> {
    let Some(terms) = &exchange.terms else {
        return Ok(());
    };
    if terms.limits.is_empty() {
        return Ok(());
    }
    let sharers = node.sharers();
    let now = node.now();
    let mut rates = lock(&node.rates);
    for limit in &terms.limits {
        rates
            .take_shared(&limit.subject, &limit.column, limit.rate, sharers, now)
            .map_err(|wait| {
                let message = format!("{} of {} is reached", limit.column, limit.subject);
                refuse(Code::LimitReached, message).retry_after(wait)
            })?;
    }
    Ok(())
}
